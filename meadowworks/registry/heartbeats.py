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
RANK = {UP: 0, DRAINING: 1, GONE: 2}
QUIET_BEATS = 4  # beats missed until a life is told to be quiet
AVOID_NS = 10_000_000_000  # that an address is not named again after a beat has failed there
KEEP_NS = 60_000_000_000  # that one that is gone, or quiet, is remembered
PREFIX = "b/"  # of the keys under which lives are said
LIVES_MOST = 16384  # that call here; beyond it who has been silent longest gives way, else a new one waits
STRANGERS_MOST = 1024  # ids that left and that nobody has heard of
TEXT_MOST = 200  # characters of an id and of each name in a beat
OTHER_NAMES = {"service": "svc", "version": "ver", "slots": "capacity"}  # the pages' words for the same


class Loose(Schema):
    class Meta:
        unknown = EXCLUDE


class DetailFields(Loose):
    svc = fields.String(required=True, validate=validate.Length(min=1, max=TEXT_MOST))
    zone = fields.String(required=True, validate=validate.Length(max=TEXT_MOST))
    capacity = fields.Float(required=True, validate=validate.Range(min=0, max=1e6))
    ver = fields.String(load_default="", validate=validate.Length(max=TEXT_MOST))


class StatusFields(Loose):
    state = fields.String(required=True, validate=validate.OneOf([UP, DRAINING]))
    calls = fields.Integer(required=True, validate=validate.Range(min=0))
    warmupMs = fields.Float(load_default=0.0, validate=validate.Range(min=0, max=3.6e6))


class BeatFields(Loose):
    addr = fields.String(required=True, validate=validate.Regexp(r"^[^:\s]{1,200}:[0-9]{1,5}\Z"))
    details = fields.Nested(DetailFields, required=True)
    status = fields.Nested(StatusFields, required=True)


BEAT = BeatFields()


def nested(document: Any) -> Any:
    """A beat in the form of the example, `details` and `status` as tables. The pages' text names the fields
    side by side, and calls some otherwise: that is taken too; what stands in a table goes first."""
    if not isinstance(document, dict):
        return document
    whole = {"addr": document["addr"]} if "addr" in document else {}
    for name, schema in (("details", DetailFields), ("status", StatusFields)):
        table = document.get(name, {})
        if not isinstance(table, dict):
            return document
        for place in (table, document):
            for key, value in place.items():
                plain = OTHER_NAMES.get(key, key)
                if plain in schema._declared_fields:
                    whole.setdefault(name, {}).setdefault(plain, value)
    return whole


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


@dataclass(frozen=True, slots=True)
class Full:
    """So many call here already that this one is not taken now; another signalbox may."""


class Beats:
    """`say` publishes a key's value and returns its version. `fenced` tells how far a life has gone by
    anyone's word, `known` whether anyone has spoken of it."""

    def __init__(
        self,
        say: Callable[[str, Any], int],
        beat_ms: int,
        fenced: Callable[[str], str] = lambda ident: UP,
        known: Callable[[str], bool] = lambda ident: False,
        most: int = LIVES_MOST,
    ) -> None:
        self.say, self.fenced, self.known, self.most = say, fenced, known, most
        self.quiet_ns = QUIET_BEATS * beat_ms * 1_000_000
        self.lives: dict[str, Life] = {}  # who was heard last stands last
        self.strangers: dict[str, int] = {}  # by id: when it left, of which nobody has heard

    def beat(self, now: int, ident: str, document: Any) -> Taken | Bad | Full:
        try:
            found = BEAT.load(nested(document))
        except ValidationError as trouble:
            return Bad(
                f"no heartbeat: {', '.join(sorted(map(str, trouble.messages)))}"
                if isinstance(trouble.messages, dict)
                else "no heartbeat"
            )
        if not proper(ident):
            return Bad("no id")
        if ident in self.strangers:
            return Taken(0)  # Guards against a late beat of one that has left: it makes no life.
        details, status = found["details"], found["status"]
        life = self.lives.pop(ident, None)
        told = (status["state"], self.fenced(ident), life.state if life else UP)
        # Guards against a beat that says less than is known, here or anywhere: a life never goes back.
        state = max(told, key=RANK.__getitem__)
        if life is None:
            if not self.room(now):
                return Full()
            life = self.lives[ident] = Life(
                details["svc"],
                found["addr"],
                details["zone"],
                details["capacity"],
                state,
                status["calls"],
                status["warmupMs"],
                now,
            )
            life.said = self.say(PREFIX + ident, life.value())
        else:
            self.lives[ident] = life
            life.heard_ns = now
            late = status["calls"] <= life.calls
            life.calls = max(life.calls, status["calls"])
            worse = state != life.state
            if worse or life.quiet and not late and life.state != GONE:
                life.state = state
                life.quiet = False
                life.warm_ms = status["warmupMs"]
                life.said = self.say(PREFIX + ident, life.value())
        return Taken(life.said if life.state != UP else 0)

    def room(self, now: int) -> bool:
        """Whether one more fits. Guards against ids without end."""
        while len(self.lives) >= self.most:
            ident, oldest = next(iter(self.lives.items()))
            if now - oldest.heard_ns <= self.quiet_ns:
                return False
            del self.lives[ident]
            self.say(PREFIX + ident, None)
        return True

    def leave(self, now: int, ident: str) -> Taken | Bad | Full:
        """One that was never heard of here may be known elsewhere: its end is said all the same. One that
        nobody has heard of is kept in mind, and said once somebody does."""
        if not proper(ident):
            return Bad("no id")
        life = self.lives.pop(ident, None)
        if life is None:
            if not self.known(ident):
                self.strangers.pop(ident, None)
                self.strangers[ident] = now
                while len(self.strangers) > STRANGERS_MOST:
                    del self.strangers[next(iter(self.strangers))]
                return Taken(0)
            if not self.room(now):
                return Full()
            life = Life("", "", "", 0.0, UP, 0, 0.0, now)
        self.lives[ident] = life
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
        one that does not falls silent as ever. What was fenced since stays so."""
        for ident, (svc, addr, zone, capacity, state, calls, _, _) in kept.items():
            state = max(state, self.fenced(ident), key=RANK.__getitem__)
            life = self.lives[ident] = Life(svc, addr, zone, capacity, state, calls, 0.0, now)
            life.said = self.say(PREFIX + ident, life.value())

    def tick(self, now: int) -> None:
        for ident, life in list(self.lives.items()):
            silent = now - life.heard_ns
            state = self.fenced(ident)
            if life.state != GONE and not life.quiet and silent > self.quiet_ns:
                life.quiet = True
                life.said = self.say(PREFIX + ident, life.value())
            if RANK[state] > RANK[life.state]:
                # Guards against the end of whoever said so: this source's older word would stand again.
                life.state = state
                life.said = self.say(PREFIX + ident, life.value())
            if silent > KEEP_NS + self.quiet_ns:
                del self.lives[ident]
                self.say(PREFIX + ident, None)
        for ident, left in list(self.strangers.items()):
            if now - left > KEEP_NS:
                del self.strangers[ident]
            elif self.known(ident) and self.room(now):  # somebody has heard of it after all
                del self.strangers[ident]
                self.leave(now, ident)


def proper(ident: str) -> bool:
    return 0 < len(ident) <= TEXT_MOST


class Nearby:
    """Which signalbox of its own zone a backend is asked to call from now on (`beatUrl`). One that is called
    here all the same has failed to reach it there: then that address is not named for a while."""

    def __init__(self) -> None:
        self.named: dict[str, str] = {}  # by id: the address that it was told
        self.until_ns: dict[str, int] = {}  # by address: when it may be named again

    def came(self, now: int, ident: str) -> None:
        if (at := self.named.pop(ident, None)) is not None:
            self.until_ns[at] = now + AVOID_NS
        self.until_ns = {at: until for at, until in self.until_ns.items() if until > now}

    def choose(self, now: int, ident: str, found: Iterable[str]) -> str | None:
        """An address for a backend, out of those in its zone."""
        for at in found:
            if self.until_ns.get(at, 0) <= now:
                self.named[ident] = at
                while len(self.named) > LIVES_MOST:
                    del self.named[next(iter(self.named))]
                return at
        return None
