"""What a signalbox makes of backends' calls: a life's entry is said anew only when it has changed.

Source: the users' page on the protocol. A life goes from up to draining to gone and never back: `calls`
rises with each call, so a late one is known; a crash says nothing, so silence is told as such.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from marshmallow import EXCLUDE, Schema, ValidationError, fields, validate

UP, DRAINING, GONE = "up", "draining", "gone"
STATE_RANK = {UP: 0, DRAINING: 1, GONE: 2}
MISSED_HEARTBEATS_UNTIL_SUSPECT = 4  # beats missed until a life is told to be quiet
REDIRECT_BACKOFF_NS = 10_000_000_000  # that an address is not named again after a beat has failed there
RETENTION_NS = 60_000_000_000  # that one that is gone, or quiet, is remembered
BACKEND_KEY_PREFIX = "b/"  # of the keys under which lives are said
MAX_REGISTRATIONS = (
    16384  # that call here; beyond it who has been silent longest gives way, else a new one waits
)
MAX_UNKNOWN_DEPARTURES = 1024  # ids that left and that nobody has heard of
MAX_TEXT_LENGTH = 200  # characters of an id and of each name in a beat
FIELD_ALIASES = {"service": "svc", "version": "ver", "slots": "capacity"}  # the pages' words for the same


class LenientSchema(Schema):
    class Meta:
        unknown = EXCLUDE


class DetailsSchema(LenientSchema):
    svc = fields.String(required=True, validate=validate.Length(min=1, max=MAX_TEXT_LENGTH))
    zone = fields.String(required=True, validate=validate.Length(max=MAX_TEXT_LENGTH))
    capacity = fields.Float(required=True, validate=validate.Range(min=0, max=1e6))
    ver = fields.String(load_default="", validate=validate.Length(max=MAX_TEXT_LENGTH))


class StatusSchema(LenientSchema):
    state = fields.String(required=True, validate=validate.OneOf([UP, DRAINING]))
    calls = fields.Integer(required=True, validate=validate.Range(min=0))
    warmupMs = fields.Float(load_default=0.0, validate=validate.Range(min=0, max=3.6e6))


class HeartbeatSchema(LenientSchema):
    addr = fields.String(required=True, validate=validate.Regexp(r"^[^:\s]{1,200}:[0-9]{1,5}\Z"))
    details = fields.Nested(DetailsSchema, required=True)
    status = fields.Nested(StatusSchema, required=True)


HEARTBEAT_SCHEMA = HeartbeatSchema()


def normalize(document: Any) -> Any:
    """A beat in the form of the example, `details` and `status` as tables. The pages' text names the fields
    side by side, and calls some otherwise: that is taken too; what stands in a table goes first."""
    if not isinstance(document, dict):
        return document
    whole = {"addr": document["addr"]} if "addr" in document else {}
    for name, schema in (("details", DetailsSchema), ("status", StatusSchema)):
        table = document.get(name, {})
        if not isinstance(table, dict):
            return document
        for place in (table, document):
            for key, value in place.items():
                plain = FIELD_ALIASES.get(key, key)
                if plain in schema._declared_fields:
                    whole.setdefault(name, {}).setdefault(plain, value)
    return whole


@dataclass(frozen=True, slots=True)
class InvalidCall:
    """The call makes no sense; one short sentence."""

    reason: str


@dataclass(frozen=True, slots=True)
class CallAccepted:
    """`version` is the one of the news that others must hold before the call may be acknowledged; 0: none."""

    version: int


@dataclass(slots=True)
class Registration:
    service: str
    address: str
    zone: str
    capacity: float
    state: str
    sequence: int
    warmup_ms: float
    last_heartbeat_ns: int
    suspect: bool = False
    published_version: int = 0  # the version under which its newest state was said

    def to_value(self) -> list[Any]:
        return [
            self.service,
            self.address,
            self.zone,
            self.capacity,
            self.state,
            self.sequence,
            round(self.warmup_ms),
            int(self.suspect),
        ]


@dataclass(frozen=True, slots=True)
class RegistryFull:
    """So many call here already that this one is not taken now; another signalbox may."""


class HeartbeatRegistry:
    """`say` publishes a key's value and returns its version. `fenced` tells how far a life has gone by
    anyone's word, `known` whether anyone has spoken of it."""

    def __init__(
        self,
        publish: Callable[[str, Any], int],
        heartbeat_ms: int,
        drain_state: Callable[[str], str] = lambda ident: UP,
        is_known: Callable[[str], bool] = lambda ident: False,
        max_registrations: int = MAX_REGISTRATIONS,
    ) -> None:
        self.publish, self.drain_state, self.is_known, self.max_registrations = (
            publish,
            drain_state,
            is_known,
            max_registrations,
        )
        self.suspect_after_ns = MISSED_HEARTBEATS_UNTIL_SUSPECT * heartbeat_ms * 1_000_000
        self.registrations: dict[str, Registration] = {}  # who was heard last stands last
        self.unknown_departures: dict[str, int] = {}  # by id: when it left, of which nobody has heard

    def heartbeat(
        self, now_ns: int, instance_id: str, document: Any
    ) -> CallAccepted | InvalidCall | RegistryFull:
        try:
            found = HEARTBEAT_SCHEMA.load(normalize(document))
        except ValidationError as trouble:
            return InvalidCall(
                f"no heartbeat: {', '.join(sorted(map(str, trouble.messages)))}"
                if isinstance(trouble.messages, dict)
                else "no heartbeat"
            )
        if not is_valid_id(instance_id):
            return InvalidCall("no id")
        if instance_id in self.unknown_departures:
            return CallAccepted(0)  # Guards against a late beat of one that has left: it makes no life.
        details, status = found["details"], found["status"]
        life = self.registrations.pop(instance_id, None)
        told = (status["state"], self.drain_state(instance_id), life.state if life else UP)
        # Guards against a beat that says less than is known, here or anywhere: a life never goes back.
        state = max(told, key=STATE_RANK.__getitem__)
        if life is None:
            if not self.make_room(now_ns):
                return RegistryFull()
            life = self.registrations[instance_id] = Registration(
                details["svc"],
                found["addr"],
                details["zone"],
                details["capacity"],
                state,
                status["calls"],
                status["warmupMs"],
                now_ns,
            )
            life.published_version = self.publish(BACKEND_KEY_PREFIX + instance_id, life.to_value())
        else:
            self.registrations[instance_id] = life
            life.last_heartbeat_ns = now_ns
            late = status["calls"] <= life.sequence
            life.sequence = max(life.sequence, status["calls"])
            worse = state != life.state
            if worse or life.suspect and not late and life.state != GONE:
                life.state = state
                life.suspect = False
                life.warmup_ms = status["warmupMs"]
                life.published_version = self.publish(BACKEND_KEY_PREFIX + instance_id, life.to_value())
        return CallAccepted(life.published_version if life.state != UP else 0)

    def make_room(self, now_ns: int) -> bool:
        """Whether one more fits. Guards against ids without end."""
        while len(self.registrations) >= self.max_registrations:
            ident, oldest = next(iter(self.registrations.items()))
            if now_ns - oldest.last_heartbeat_ns <= self.suspect_after_ns:
                return False
            del self.registrations[ident]
            self.publish(BACKEND_KEY_PREFIX + ident, None)
        return True

    def leave(self, now_ns: int, instance_id: str) -> CallAccepted | InvalidCall | RegistryFull:
        """One that was never heard of here may be known elsewhere: its end is said all the same. One that
        nobody has heard of is kept in mind, and said once somebody does."""
        if not is_valid_id(instance_id):
            return InvalidCall("no id")
        life = self.registrations.pop(instance_id, None)
        if life is None:
            if not self.is_known(instance_id):
                self.unknown_departures.pop(instance_id, None)
                self.unknown_departures[instance_id] = now_ns
                while len(self.unknown_departures) > MAX_UNKNOWN_DEPARTURES:
                    del self.unknown_departures[next(iter(self.unknown_departures))]
                return CallAccepted(0)
            if not self.make_room(now_ns):
                return RegistryFull()
            life = Registration("", "", "", 0.0, UP, 0, 0.0, now_ns)
        self.registrations[instance_id] = life
        if life.state != GONE:
            life.state, life.last_heartbeat_ns = GONE, now_ns
            life.published_version = self.publish(BACKEND_KEY_PREFIX + instance_id, life.to_value())
        return CallAccepted(life.published_version)

    def durable_values(self) -> dict[str, list[Any]]:
        """Lives that are not over, for the disk."""
        return {
            ident: life.to_value()
            for ident, life in self.registrations.items()
            if life.state != GONE and not life.suspect
        }

    def restore(self, now_ns: int, values: dict[str, list[Any]]) -> None:
        """What was kept before a start is said again, as if it had been heard just now: backends beat on, and
        one that does not falls silent as ever. What was fenced since stays so."""
        for ident, (svc, addr, zone, capacity, state, calls, _, _) in values.items():
            state = max(state, self.drain_state(ident), key=STATE_RANK.__getitem__)
            life = self.registrations[ident] = Registration(
                svc, addr, zone, capacity, state, calls, 0.0, now_ns
            )
            life.published_version = self.publish(BACKEND_KEY_PREFIX + ident, life.to_value())

    def tick(self, now_ns: int) -> None:
        for ident, life in list(self.registrations.items()):
            silent = now_ns - life.last_heartbeat_ns
            state = self.drain_state(ident)
            if life.state != GONE and not life.suspect and silent > self.suspect_after_ns:
                life.suspect = True
                life.published_version = self.publish(BACKEND_KEY_PREFIX + ident, life.to_value())
            if STATE_RANK[state] > STATE_RANK[life.state]:
                # Guards against the end of whoever said so: this source's older word would stand again.
                life.state = state
                life.published_version = self.publish(BACKEND_KEY_PREFIX + ident, life.to_value())
            if silent > RETENTION_NS + self.suspect_after_ns:
                del self.registrations[ident]
                self.publish(BACKEND_KEY_PREFIX + ident, None)
        for ident, left in list(self.unknown_departures.items()):
            if now_ns - left > RETENTION_NS:
                del self.unknown_departures[ident]
            elif self.is_known(ident) and self.make_room(now_ns):  # somebody has heard of it after all
                del self.unknown_departures[ident]
                self.leave(now_ns, ident)


def is_valid_id(instance_id: str) -> bool:
    return 0 < len(instance_id) <= MAX_TEXT_LENGTH


class ZoneRedirects:
    """Which signalbox of its own zone a backend is asked to call from now on (`beatUrl`). One that is called
    here all the same has failed to reach it there: then that address is not named for a while."""

    def __init__(self) -> None:
        self.redirected: dict[str, str] = {}  # by id: the address that it was told
        self.avoid_until_ns: dict[str, int] = {}  # by address: when it may be named again

    def on_heartbeat(self, now_ns: int, instance_id: str) -> None:
        if (at := self.redirected.pop(instance_id, None)) is not None:
            self.avoid_until_ns[at] = now_ns + REDIRECT_BACKOFF_NS
        self.avoid_until_ns = {at: until for at, until in self.avoid_until_ns.items() if until > now_ns}

    def choose(self, now_ns: int, instance_id: str, addresses: Iterable[str]) -> str | None:
        """An address for a backend, out of those in its zone."""
        for at in addresses:
            if self.avoid_until_ns.get(at, 0) <= now_ns:
                self.redirected[instance_id] = at
                while len(self.redirected) > MAX_REGISTRATIONS:
                    del self.redirected[next(iter(self.redirected))]
                return at
        return None
