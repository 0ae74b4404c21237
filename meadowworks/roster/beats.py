"""What a signalbox makes of backends' calls: a life's entry is said anew only when it has changed.

Source: the users' page on the protocol. A life goes from up to draining to gone and never back: `calls`
rises with each call, so a late one is known; a crash says nothing, so silence is told as such.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from marshmallow import EXCLUDE, Schema, ValidationError, fields, validate

UP, DRAINING, GONE = "up", "draining", "gone"
RANK = {UP: 0, DRAINING: 1, GONE: 2}
QUIET_BEATS = 4  # beats missed until a life is told to be quiet
KEEP_NS = 60_000_000_000  # that one that is gone, or quiet, is remembered
PREFIX = "b/"  # of the keys under which lives are said


class Loose(Schema):
    class Meta:
        unknown = EXCLUDE


class DetailFields(Loose):
    svc = fields.String(required=True, validate=validate.Length(min=1))
    zone = fields.String(required=True)
    capacity = fields.Float(required=True, validate=validate.Range(min=0, max=1e6))
    ver = fields.String(load_default="")


class StatusFields(Loose):
    state = fields.String(required=True, validate=validate.OneOf([UP, DRAINING]))
    calls = fields.Integer(required=True, validate=validate.Range(min=0))
    warmupMs = fields.Float(load_default=0.0, validate=validate.Range(min=0, max=3.6e6))


class BeatFields(Loose):
    addr = fields.String(required=True, validate=validate.Regexp(r"^[^:\s]+:[0-9]{1,5}$"))
    details = fields.Nested(DetailFields, required=True)
    status = fields.Nested(StatusFields, required=True)


BEAT = BeatFields()


@dataclass(frozen=True, slots=True)
class Bad:
    """The call makes no sense; one short sentence."""

    why: str


@dataclass(frozen=True, slots=True)
class Taken:
    """`version` is the one of the news that others must hold before the call may be acknowledged; 0: none."""

    version: int


@dataclass(slots=True)
class Life:
    svc: str
    addr: str
    zone: str
    capacity: float
    state: str
    calls: int
    warm_ms: float
    heard_ns: int
    quiet: bool = False
    said: int = 0  # the version under which its newest state was said

    def value(self) -> list[Any]:
        return [
            self.svc,
            self.addr,
            self.zone,
            self.capacity,
            self.state,
            self.calls,
            round(self.warm_ms),
            int(self.quiet),
        ]


class Beats:
    """`say` publishes a key's value and returns its version."""

    def __init__(self, say: Callable[[str, Any], int], beat_ms: int) -> None:
        self.say = say
        self.quiet_ns = QUIET_BEATS * beat_ms * 1_000_000
        self.lives: dict[str, Life] = {}

    def beat(self, now: int, ident: str, document: Any) -> Taken | Bad:
        try:
            found = BEAT.load(document)
        except ValidationError as trouble:
            return Bad(
                f"no heartbeat: {', '.join(sorted(map(str, trouble.messages)))}"
                if isinstance(trouble.messages, dict)
                else "no heartbeat"
            )
        if not ident or len(ident) > 200:
            return Bad("no id")
        details, status = found["details"], found["status"]
        life = self.lives.get(ident)
        if life is None:
            life = self.lives[ident] = Life(
                details["svc"],
                found["addr"],
                details["zone"],
                details["capacity"],
                status["state"],
                status["calls"],
                status["warmupMs"],
                now,
            )
            life.said = self.say(PREFIX + ident, life.value())
        else:
            life.heard_ns = now
            late = status["calls"] <= life.calls
            life.calls = max(life.calls, status["calls"])
            worse = RANK[status["state"]] > RANK[life.state]
            # Guards against a late beat from before the drain: a life never goes back.
            if worse or life.quiet and not late and life.state != GONE:
                life.state = status["state"] if worse else life.state
                life.quiet = False
                life.warm_ms = status["warmupMs"]
                life.said = self.say(PREFIX + ident, life.value())
        return Taken(life.said if life.state != UP else 0)

    def leave(self, now: int, ident: str) -> Taken:
        """A life that was never heard of here may be known elsewhere: its end is said all the same."""
        life = self.lives.get(ident)
        if life is None:
            life = self.lives[ident] = Life("", "", "", 0.0, UP, 0, 0.0, now)
        if life.state != GONE:
            life.state, life.heard_ns = GONE, now
            life.said = self.say(PREFIX + ident, life.value())
        return Taken(life.said)

    def kept(self) -> dict[str, list[Any]]:
        """Lives that are not over, for the disk."""
        return {
            ident: life.value() for ident, life in self.lives.items() if life.state != GONE and not life.quiet
        }

    def restore(self, now: int, kept: dict[str, list[Any]]) -> None:
        """What was kept before a start is said again, as if it had been heard just now: backends beat on, and
        one that does not falls silent as ever."""
        for ident, (svc, addr, zone, capacity, state, calls, _, _) in kept.items():
            life = self.lives[ident] = Life(svc, addr, zone, capacity, state, calls, 0.0, now)
            life.said = self.say(PREFIX + ident, life.value())

    def tick(self, now: int) -> None:
        for ident, life in list(self.lives.items()):
            silent = now - life.heard_ns
            if life.state != GONE and not life.quiet and silent > self.quiet_ns:
                life.quiet = True
                life.said = self.say(PREFIX + ident, life.value())
            if silent > KEEP_NS + self.quiet_ns:
                del self.lives[ident]
                self.say(PREFIX + ident, None)
