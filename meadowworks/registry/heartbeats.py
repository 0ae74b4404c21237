"""The backend instances that call this control-plane node.

Source: the users' page on the protocol of backends. An instance is published when it registers and when its
state changes, not at each heartbeat, so that heartbeats cost the other nodes nothing. A crash sends nothing:
an instance without heartbeats is published as suspect, and only a call to leave makes it gone.
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

# A restart of this node or a slow network costs an instance one heartbeat or two, not four.
MISSED_HEARTBEATS_UNTIL_SUSPECT = 4
# For this long an instance that is gone or suspect is remembered: its late calls must find it.
RETENTION_NS = 60_000_000_000
# Instances that call this node. Beyond it the one that was silent the longest gives way if it is suspect,
# otherwise a new one is refused: guards against ids without end.
MAX_REGISTRATIONS = 16384
# Registrations of ids that left before anything was known of them. Each is a record in every drain log, which
# holds 8,192: those of nine nodes fit in beside the drains of known backends.
MAX_UNKNOWN_DEPARTURES = 512


@dataclass(frozen=True, slots=True)
class InvalidCall:
    """The call makes no sense, for a reason in one short sentence; a retry fails alike."""

    reason: str


@dataclass(frozen=True, slots=True)
class CallAccepted:
    """The call has been taken.

    :ivar version: of this node's updates: the call may be acknowledged once that is on enough disks; 0 if
        it may be at once.
    """

    version: int


@dataclass(frozen=True, slots=True)
class RegistryFull:
    """Too many instances call this node; a retry at another node may succeed."""


CallOutcome: TypeAlias = CallAccepted | InvalidCall | RegistryFull


@dataclass(slots=True)
class Registration:
    """An instance that calls this node.

    :ivar sequence: the highest of its heartbeats.
    :ivar last_heartbeat_ns: when it last called; when it left, if it is gone.
    :ivar published_version: the version under which its present state was published.
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
        """Returns the value to publish, by place as in ``BackendValue``."""
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
    """Decides what this node publishes of the instances that call it.

    :ivar suspect_after_ns: the silence after which an instance is suspect.
    :ivar registrations: by instance id; who called last stands last.
    :ivar unknown_departures: ids of registrations that left before anything was known of them.
    """

    def __init__(
        self,
        publish: Callable[[str, Any], int],
        heartbeat_ms: int,
        drain_state: Callable[[str], str] = lambda _: UP,
        is_reported: Callable[[str], bool] = lambda _: False,
        max_registrations: int = MAX_REGISTRATIONS,
    ) -> None:
        """Begins without instances.

        :param publish: publishes the value of a key, or deletes the key for None; returns the version.
        :param heartbeat_ms: the interval at which backends call.
        :param drain_state: how far an instance has gone by any node's report; up for an unknown one.
        :param is_reported: whether any node has reported an instance.
        """
        self._publish_value = publish
        self._drain_state = drain_state
        self._is_reported = is_reported
        self._max_registrations = max_registrations
        self.suspect_after_ns = MISSED_HEARTBEATS_UNTIL_SUSPECT * heartbeat_ms * 1_000_000
        self.registrations: dict[str, Registration] = {}
        self.unknown_departures: set[str] = set()

    def record_heartbeat(self, now_ns: int, instance_id: str, document: Any) -> CallOutcome:
        """Takes a heartbeat, given as a JSON document."""
        try:
            heartbeat = parse_heartbeat(document)
        except InvalidHeartbeatError as error:
            return InvalidCall(str(error))
        if not is_valid_id(instance_id):
            return InvalidCall("no id")
        registration = self.registrations.pop(instance_id, None)
        known_state = registration.state if registration else UP
        # Guards against a heartbeat that is behind what is known, here or anywhere: no state goes back.
        state = furthest_state(heartbeat.state, self._drain_state(instance_id), known_state)
        if registration is not None:
            self.registrations[instance_id] = registration
            self._renew(now_ns, instance_id, heartbeat, state)
        elif self._make_room(now_ns):
            registration = self._register(now_ns, instance_id, heartbeat, state)
        else:
            return RegistryFull()
        return CallAccepted(registration.published_version if registration.state != UP else 0)

    def leave(self, now_ns: int, instance_id: str) -> CallOutcome:
        """Takes the call of an instance that leaves, or of the platform in its place.

        An instance that never called this node may be known elsewhere, also where nobody has told this node
        of it yet: its end is published all the same, and so is on disk before it is acknowledged.
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
        """Publishes what comes of silence and of other nodes' reports; called each second."""
        for instance_id, registration in list(self.registrations.items()):
            silence_ns = now_ns - registration.last_heartbeat_ns
            drain_state = self._drain_state(instance_id)
            is_alive = registration.state != GONE and not registration.is_suspect
            if is_alive and silence_ns > self.suspect_after_ns:
                registration.is_suspect = True
                self._publish(instance_id, registration)
            if STATE_RANK[drain_state] > STATE_RANK[registration.state]:
                # Guards against the end of the node that reported it: this node's older report would count.
                registration.state = drain_state
                self._publish(instance_id, registration)
            if silence_ns > RETENTION_NS + self.suspect_after_ns:
                self._delete(instance_id)

    def durable_values(self) -> dict[str, list[Any]]:
        """Returns the values of the instances that call and are not gone, to be stored for a restart."""
        return {
            instance_id: registration.to_value()
            for instance_id, registration in self.registrations.items()
            if registration.state != GONE and not registration.is_suspect
        }

    def restore(self, now_ns: int, values: dict[str, list[Any]]) -> None:
        """Publishes stored values after a restart, as if each instance had called just now.

        Those that live call again, and the others become suspect as ever. A drain reported since holds.
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
        """Notes a further heartbeat; publishes a new state, and the end of a suspicion."""
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
        """Returns whether one more instance may register, having dropped suspect ones for it."""
        while len(self.registrations) >= self._max_registrations:
            instance_id, oldest = next(iter(self.registrations.items()))
            if now_ns - oldest.last_heartbeat_ns <= self.suspect_after_ns:
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
    """Returns whether an id is neither empty nor too long."""
    return 0 < len(instance_id) <= MAX_TEXT_LENGTH
