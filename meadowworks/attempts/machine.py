"""All calls at one proxy, as a machine: one method for each thing that can happen, acting by its host.

Used by whoever plays a proxy in this repository; `meadowworks/modelcheck` explores this very class. It
keeps these rules: a mutating call never runs twice by its doing, each asking gets one final answer, at most
two further tries, none to a backend that the table lacks, and what is given up is answered at once.
"""

from __future__ import annotations

import heapq
import zlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from meadowworks.attempts.retry_policy import (
    ANSWERED,
    CANCELLED,
    LATE,
    SENT,
    Again,
    Try,
    Way,
    again,
    come_back_ns,
    pick,
    sure,
    wait_ns,
)

NO_BACK = 0  # as a time to come back: do not, ask what became of it


@dataclass(frozen=True, slots=True)
class Final:
    """What a client is told, once. `back_ns` is how long to stay away; NO_BACK where a repeat might run
    twice."""

    kind: str  # answered, throttled or dropped
    may_have_run: bool
    back_ns: int


class Host(Protocol):
    """What the machine may do. Tries are numbered through a machine's life, and a number is never given
    again.
    A cancel is a wish: the try may have run, and may run yet."""

    def send(self, key: int, number: int, backend: int) -> None: ...
    def cancel(self, number: int) -> None: ...
    def final(self, key: int, asker: int, told: Final) -> None: ...
    def note(self, what: str) -> None: ...


@dataclass(slots=True)
class Call:
    route: int
    limit_ns: int  # when its time is over
    askers: list[int] = field(default_factory=list)  # who waits for its answer
    tries: dict[int, Try] = field(default_factory=dict)  # by number, in order
    over: Final | None = None
    until_ns: int = 0  # once over: how long it is kept


@dataclass(slots=True)
class Table:
    """What a controller ordered for a route."""

    lines: dict[int, float] = field(default_factory=dict)
    level: float = 1.0
    policy: int = 0


class Attempts:
    """`pace_ns` is the time in which levels may move; `kept_most` bounds the answers kept for repeats."""

    def __init__(self, host: Host, ways: Sequence[Way], pace_ns: int, kept_most: int, seed: int) -> None:
        self.host, self.ways, self.pace_ns, self.kept_most, self.seed = host, ways, pace_ns, kept_most, seed
        self.count = self.sent = 0
        self.calls: dict[int, Call] = {}
        self.kept: dict[int, None] = {}  # calls that are over, oldest first
        self.tables = [Table() for _ in ways]
        self.due: list[tuple[int, int]] = []  # when, and the call's key

    def chance(self) -> float:
        self.count += 1
        return zlib.crc32(f"{self.seed}:{self.count}".encode()) / 2**32

    # -- orders

    def ordered(self, route: int, lines: dict[int, float], level: float, policy: int) -> None:
        """What the table of a route holds from now on. Tries under way go on, whatever it lacks."""
        self.tables[route] = Table(lines, level, policy)

    # -- clients

    def came(self, now: int, key: int, route: int, asker: int, repeat: bool) -> None:
        """A client asks; `repeat` says that it asked before and was told nothing final."""
        way, table, call = self.ways[route], self.tables[route], self.calls.get(key)
        if call is not None and call.over is None:
            # Guards against a client's repeat that runs beside its first: both wait for the one answer.
            call.askers.append(asker)
            return
        if call is not None and call.over is not None:
            if call.over.kind == "answered" or call.over.may_have_run and not way.repeatable:
                return self.host.final(key, asker, call.over)
            self.forget(key)  # it never ran, or may run again
        elif repeat and not way.repeatable:
            # Guards against a first that ran under a proxy that has died since, or that was long ago.
            self.host.note("repeats of mutating calls not known here")
            return self.host.final(key, asker, Final("dropped", True, NO_BACK))
        if self.chance() >= table.level:
            back_ns = come_back_ns(self.pace_ns, table.level, self.chance())
            return self.host.final(key, asker, Final("throttled", False, back_ns))
        place = pick(table.lines, (), self.chance())
        if place is None:
            return self.host.final(key, asker, Final("dropped", False, self.back_ns()))
        self.calls[key] = call = Call(route, now + way.limit_ns, [asker])
        self.send(now, key, call, place)

    def cancelled(self, now: int, key: int, asker: int) -> None:
        """A client went away. A mutating call is still heard out: its answer is for the client's repeat."""
        call = self.calls.get(key)
        if call is None or asker not in call.askers:
            return
        call.askers.remove(asker)
        if not call.askers and self.ways[call.route].repeatable:
            self.end(now, key, call, Final("dropped", not sure([*call.tries.values()]), self.back_ns()))

    # -- backends

    def replied(self, now: int, key: int, number: int, state: int) -> None:
        """A try ended: ANSWERED, UNRUN (with proof that it never ran) or DROPPED (it may have run)."""
        call = self.calls.get(key)
        # Guards against a reply to an earlier life of the same key, which is not this one's.
        one = call.tries.get(number) if call else None
        if call is None or one is None:
            return self.host.note("replies to calls that are forgotten")
        if one.state not in (SENT, LATE, CANCELLED):
            return self.host.note("replies told twice")
        waited, one.state = one.state == SENT, state
        if call.over is not None:
            if call.over.kind == "answered":
                return
            # Too late for who asked; a client that comes again is told, and nothing runs twice.
            if state == ANSWERED:
                call.over = Final("answered", True, NO_BACK)
            elif sure([*call.tries.values()]):
                call.over = Final("dropped", False, self.back_ns())
            return
        if state == ANSWERED:
            return self.end(now, key, call, Final("answered", True, NO_BACK))
        if waited:
            self.follow(now, key, call)

    def tick(self, now: int) -> None:
        """What has come due: tries that were waited for long enough, the last of them to the time limit;
        answers kept long enough."""
        while self.due and self.due[0][0] <= now:
            key = heapq.heappop(self.due)[1]
            call = self.calls.get(key)
            if call is None:
                continue
            if call.over is not None:
                if call.until_ns <= now:
                    self.forget(key)
                continue
            for one in [*call.tries.values()]:
                if one.state == SENT and one.due_ns <= now:
                    one.state = LATE
                    self.follow(now, key, call)

    # -- what follows

    def follow(self, now: int, key: int, call: Call) -> None:
        """A try has ended without an answer, or was waited for long enough."""
        way, table = self.ways[call.route], self.tables[call.route]
        # Guards against trying again for nobody: a mutating call that is only heard out.
        policy, tries = table.policy if call.askers else 0, [*call.tries.values()]
        found = again(way, policy, tries, table.lines, call.limit_ns - now, self.chance())
        if isinstance(found, Again):
            self.send(now, key, call, found.backend)
        else:
            self.give_up(now, key, call)

    def send(self, now: int, key: int, call: Call, place: int) -> None:
        way, table = self.ways[call.route], self.tables[call.route]
        wait = wait_ns(way, table.policy, [*call.tries.values()], table.lines, call.limit_ns - now)
        self.sent += 1
        call.tries[self.sent] = Try(place, SENT, now + wait)
        heapq.heappush(self.due, (now + wait, key))
        self.host.send(key, self.sent, place)

    def give_up(self, now: int, key: int, call: Call) -> None:
        """At once, and not near the time limit: the client is told whether and when to come back."""
        ran = not sure([*call.tries.values()])
        stay = ran and not self.ways[call.route].repeatable
        self.end(now, key, call, Final("dropped", ran, NO_BACK if stay else self.back_ns()))

    def back_ns(self) -> int:
        return come_back_ns(self.pace_ns, 1.0, self.chance())

    def end(self, now: int, key: int, call: Call, told: Final) -> None:
        call.over = told
        for number, one in call.tries.items():
            if one.state in (SENT, LATE):
                one.state = CANCELLED
                self.host.cancel(number)
        askers, call.askers = call.askers, []
        for asker in askers:
            self.host.final(key, asker, told)
        call.until_ns = now + self.ways[call.route].hold_ns
        heapq.heappush(self.due, (call.until_ns, key))
        self.kept[key] = None
        while len(self.kept) > self.kept_most:  # the oldest; its repeat is then one not known here
            self.forget(next(iter(self.kept)))

    def forget(self, key: int) -> None:
        self.calls.pop(key, None)
        self.kept.pop(key, None)
