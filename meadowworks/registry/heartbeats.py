"""The backend instances that send their heartbeats to this control-plane node.

Source: the backend protocol page of the user documentation. An instance is published when it registers and
when its state changes, not at each heartbeat, so that heartbeats cause no load on other nodes. An instance
whose heartbeats stop, for example after a crash, is published as suspect; only a leave call makes it gone.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeAlias

from meadowworks.registry.backend_state import (
    BACKEND_KEY_PREFIX,
    GONE,
    STATE_RANK,
    UP,
    furthest_state,
)
from meadowworks.registry.heartbeat_schema import (
    MAX_TEXT_LENGTH,
    BackendHeartbeat,
    InvalidHeartbeatError,
    parse_heartbeat,
)

# A restart of this node or a slow network loses one or two heartbeats of an instance, not four.
MISSED_HEARTBEATS_UNTIL_SUSPECT = 4
# Instances that are gone or suspect stay registered for this long, so that late calls are recognized.
RETENTION_NS = 60_000_000_000
# Bounds the memory for instance ids. A new instance replaces the one that has been silent the longest if that
# is suspect, otherwise it is rejected.
MAX_REGISTRATIONS = 16384
# Registrations of instances that left before any node had reported them. Each takes a record in the drain log
# of every node, which holds 8,192: the departures of nine nodes leave room for the drains of other backends.
MAX_UNKNOWN_DEPARTURES = 512


@dataclass(frozen=True, slots=True)
class InvalidCall:
    """The call is malformed; a retry of the same call fails, too.

    :ivar reason: one short sentence.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class CallAccepted:
    """The call is accepted.

    :ivar version: the version of this node's updates that has to be on enough disks before the call may be
        acknowledged; 0 if it may be acknowledged at once.
    """

    version: int


@dataclass(frozen=True, slots=True)
class RegistryFull:
    """Too many instances are registered at this node; a retry at another node may succeed."""


CallOutcome: TypeAlias = CallAccepted | InvalidCall | RegistryFull


@dataclass(slots=True)
class Registration:
    """An instance that sends its heartbeats to this node.

    :ivar sequence: the highest sequence number of its heartbeats.
    :ivar last_heartbeat_ns: the time of its last heartbeat, or of its departure.
    :ivar published_version: the version under which its current state was published.
    """

    service: str
    address: str
    zone: str
    capacity: float
    state: str
    sequence: int
    warmup_ms: float
    last_heartbeat_ns: int
    is_suspect: bool = False
    published_version: int = 0

    def to_value(self) -> list[Any]:
        """Return the value to publish, in the order of the fields of ``BackendValue``."""
        return [
            self.service,
            self.address,
            self.zone,
            self.capacity,
            self.state,
            self.sequence,
            round(self.warmup_ms),
            int(self.is_suspect),
        ]


class HeartbeatRegistry:
    """The registry of the instances that send their heartbeats to this node; publishes their states.

    :ivar suspect_after_ns: the time without a heartbeat after which an instance is suspect.
    :ivar registrations: by instance id, the most recent caller last.
    :ivar unknown_departures: ids of registered instances that left before any node had reported them.
    """

    def __init__(
        self,
        publish: Callable[[str, Any], int],
        heartbeat_ms: int,
        drain_state: Callable[[str], str] = lambda _: UP,
        is_reported: Callable[[str], bool] = lambda _: False,
        max_registrations: int = MAX_REGISTRATIONS,
    ) -> None:
        """Create an empty registry.

        :param publish: publishes the value of a key, or deletes the key if the value is None; returns the
            version of the update.
        :param heartbeat_ms: the interval of heartbeats.
        :param drain_state: returns the state of an instance in the drain log; up for an unknown instance.
        :param is_reported: returns whether any node has reported an instance.
        """
        self._publish_value = publish
        self._drain_state = drain_state
        self._is_reported = is_reported
        self._max_registrations = max_registrations
        self.suspect_after_ns = MISSED_HEARTBEATS_UNTIL_SUSPECT * heartbeat_ms * 1_000_000
        self.registrations: dict[str, Registration] = {}
        self.unknown_departures: set[str] = set()

    def record_heartbeat(self, now_ns: int, instance_id: str, document: Any) -> CallOutcome:
        """Record a heartbeat, given as a JSON document."""
        try:
            heartbeat = parse_heartbeat(document)
        except InvalidHeartbeatError as error:
            return InvalidCall(str(error))
        if not is_valid_id(instance_id):
            return InvalidCall("no id")
        registration = self.registrations.pop(instance_id, None)
        registered_state = registration.state if registration else UP
        # Prevents a late heartbeat from setting back a state that this or another node has reported.
        state = furthest_state(heartbeat.state, self._drain_state(instance_id), registered_state)
        if registration is not None:
            self.registrations[instance_id] = registration
            self._renew(now_ns, instance_id, heartbeat, state)
        elif self._make_room(now_ns):
            registration = self._register(now_ns, instance_id, heartbeat, state)
        else:
            return RegistryFull()
        return CallAccepted(registration.published_version if registration.state != UP else 0)

    def leave(self, now_ns: int, instance_id: str) -> CallOutcome:
        """Record the departure of an instance, on a call of the instance itself or of its platform.

        An instance without a registration here may be registered at a node whose report has not arrived yet.
        Its departure is published, too, and is therefore on disk before it is acknowledged.
        """
        if not is_valid_id(instance_id):
            return InvalidCall("no id")
        registration = self.registrations.pop(instance_id, None)
        if registration is None:
            is_unknown = not self._is_reported(instance_id)
            if is_unknown and len(self.unknown_departures) >= MAX_UNKNOWN_DEPARTURES:
                return RegistryFull()
            if not self._make_room(now_ns):
                return RegistryFull()
            if is_unknown:
                self.unknown_departures.add(instance_id)
            registration = Registration("", "", "", 0.0, UP, 0, 0.0, now_ns)
        self.registrations[instance_id] = registration
        if registration.state != GONE:
            registration.state, registration.last_heartbeat_ns = GONE, now_ns
            self._publish(instance_id, registration)
        return CallAccepted(registration.published_version)

    def tick(self, now_ns: int) -> None:
        """Publish state changes due to missing heartbeats or reports of other nodes; called every second."""
        for instance_id, registration in list(self.registrations.items()):
            silence_ns = now_ns - registration.last_heartbeat_ns
            drain_state = self._drain_state(instance_id)
            is_alive = registration.state != GONE and not registration.is_suspect
            if is_alive and silence_ns > self.suspect_after_ns:
                registration.is_suspect = True
                self._publish(instance_id, registration)
            if STATE_RANK[drain_state] > STATE_RANK[registration.state]:
                # Prevents a return to this node's older report when the node that reported the drain ends.
                registration.state = drain_state
                self._publish(instance_id, registration)
            if silence_ns > RETENTION_NS + self.suspect_after_ns:
                self._delete(instance_id)

    def durable_values(self) -> dict[str, list[Any]]:
        """Return the values of all instances neither gone nor suspect, to be stored for a restart."""
        return {
            instance_id: registration.to_value()
            for instance_id, registration in self.registrations.items()
            if registration.state != GONE and not registration.is_suspect
        }

    def restore(self, now_ns: int, values: dict[str, list[Any]]) -> None:
        """Publish stored values after a restart, as if each instance had just sent a heartbeat.

        Instances that send no further heartbeat become suspect. A drain in the drain log takes precedence.
        """
        for instance_id, (service, address, zone, capacity, state, sequence, _, _) in values.items():
            registration = Registration(
                service,
                address,
                zone,
                capacity,
                state=furthest_state(state, self._drain_state(instance_id)),
                sequence=sequence,
                warmup_ms=0.0,
                last_heartbeat_ns=now_ns,
            )
            self.registrations[instance_id] = registration
            self._publish(instance_id, registration)

    def _register(
        self, now_ns: int, instance_id: str, heartbeat: BackendHeartbeat, state: str
    ) -> Registration:
        registration = Registration(
            service=heartbeat.service,
            address=heartbeat.address,
            zone=heartbeat.zone,
            capacity=heartbeat.capacity,
            state=state,
            sequence=heartbeat.sequence,
            warmup_ms=heartbeat.warmup_ms,
            last_heartbeat_ns=now_ns,
        )
        self.registrations[instance_id] = registration
        self._publish(instance_id, registration)
        return registration

    def _renew(self, now_ns: int, instance_id: str, heartbeat: BackendHeartbeat, state: str) -> None:
        """Record a heartbeat of a registered instance; publish a new state or the end of suspicion."""
        registration = self.registrations[instance_id]
        registration.last_heartbeat_ns = now_ns
        is_late = heartbeat.sequence <= registration.sequence
        registration.sequence = max(registration.sequence, heartbeat.sequence)
        has_recovered = registration.is_suspect and not is_late and registration.state != GONE
        if state != registration.state or has_recovered:
            registration.state = state
            registration.is_suspect = False
            registration.warmup_ms = heartbeat.warmup_ms
            self._publish(instance_id, registration)

    def _make_room(self, now_ns: int) -> bool:
        """Drop suspect instances if the registry is full; return whether one more instance may register."""
        while len(self.registrations) >= self._max_registrations:
            instance_id, registration = next(iter(self.registrations.items()))
            if now_ns - registration.last_heartbeat_ns <= self.suspect_after_ns:
                return False
            self._delete(instance_id)
        return True

    def _publish(self, instance_id: str, registration: Registration) -> None:
        registration.published_version = self._publish_value(
            BACKEND_KEY_PREFIX + instance_id, registration.to_value()
        )

    def _delete(self, instance_id: str) -> None:
        del self.registrations[instance_id]
        self.unknown_departures.discard(instance_id)
        self._publish_value(BACKEND_KEY_PREFIX + instance_id, None)


def is_valid_id(instance_id: str) -> bool:
    """Return whether an id is neither empty nor too long."""
    return 0 < len(instance_id) <= MAX_TEXT_LENGTH
