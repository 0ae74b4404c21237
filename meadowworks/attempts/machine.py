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
    OVERDUE,
    SENT,
    Attempt,
    Retry,
    RouteRetryPolicy,
    attempt_wait_ns,
    decide_retry,
    none_ran,
    pick_by_weight,
    retry_after_ns,
)

NO_RETRY_NS = 0  # as a time to come back: do not, ask what became of it


@dataclass(frozen=True, slots=True)
class FinalReply:
    """What a client is told, once. `back_ns` is how long to stay away; NO_BACK where a repeat might run
    twice."""

    kind: str  # answered, throttled or dropped
    may_have_run: bool
    retry_after_ns: int


class Host(Protocol):
    """What the machine may do. Tries are numbered through a machine's life, and a number is never given
    again.
    A cancel is a wish: the try may have run, and may run yet."""

    def send(self, key: int, number: int, backend: int) -> None: ...
    def cancel(self, number: int) -> None: ...
    def reply(self, key: int, asker: int, told: FinalReply) -> None: ...
    def count(self, what: str) -> None: ...


@dataclass(slots=True)
class Call:
    route: int
    deadline_ns: int  # when its time is over
    waiters: list[int] = field(default_factory=list)  # who waits for its answer
    attempts: dict[int, Attempt] = field(default_factory=dict)  # by number, in order
    outcome: FinalReply | None = None
    keep_until_ns: int = 0  # once over: how long it is kept


@dataclass(slots=True)
class RouteTable:
    """What a controller ordered for a route."""

    weights: dict[int, float] = field(default_factory=dict)
    admission_ratio: float = 1.0
    retry_policy: int = 0


class AttemptMachine:
    """`pace_ns` is the time in which levels may move; `kept_most` bounds the answers kept for repeats."""

    def __init__(
        self, host: Host, ways: Sequence[RouteRetryPolicy], pace_ns: int, kept_most: int, seed: int
    ) -> None:
        self.host, self.route_policies, self.admission_interval_ns, self.max_kept_replies, self.seed = (
            host,
            ways,
            pace_ns,
            kept_most,
            seed,
        )
        self.draw_count = self.attempt_count = 0
        self.calls: dict[int, Call] = {}
        self.kept: dict[int, None] = {}  # calls that are over, oldest first
        self.tables = [RouteTable() for _ in ways]
        self.timers: list[tuple[int, int]] = []  # when, and the call's key

    def random(self) -> float:
        self.draw_count += 1
        return zlib.crc32(f"{self.seed}:{self.draw_count}".encode()) / 2**32

    # -- orders

    def on_table(self, route: int, lines: dict[int, float], level: float, policy: int) -> None:
        """What the table of a route holds from now on. Tries under way go on, whatever it lacks."""
        self.tables[route] = RouteTable(lines, level, policy)

    # -- clients

    def on_request(self, now: int, key: int, route: int, asker: int, repeat: bool) -> None:
        """A client asks; `repeat` says that it asked before and was told nothing final."""
        way, table, call = self.route_policies[route], self.tables[route], self.calls.get(key)
        if call is not None and call.outcome is None:
            # Guards against a client's repeat that runs beside its first: both wait for the one answer.
            call.waiters.append(asker)
            return
        if call is not None and call.outcome is not None:
            if call.outcome.kind == "answered" or call.outcome.may_have_run and not way.idempotent:
                return self.host.reply(key, asker, call.outcome)
            self.forget(key)  # it never ran, or may run again
        elif repeat and not way.idempotent:
            # Guards against a first that ran under a proxy that has died since, or that was long ago.
            self.host.count("repeats of mutating calls not known here")
            return self.host.reply(key, asker, FinalReply("dropped", True, NO_RETRY_NS))
        if self.random() >= table.admission_ratio:
            back_ns = retry_after_ns(self.admission_interval_ns, table.admission_ratio, self.random())
            return self.host.reply(key, asker, FinalReply("throttled", False, back_ns))
        place = pick_by_weight(table.weights, (), self.random())
        if place is None:
            return self.host.reply(key, asker, FinalReply("dropped", False, self.back_ns()))
        self.calls[key] = call = Call(route, now + way.timeout_ns, [asker])
        self.send(now, key, call, place)

    def on_client_gone(self, now: int, key: int, asker: int) -> None:
        """A client went away. A mutating call is still heard out: its answer is for the client's repeat."""
        call = self.calls.get(key)
        if call is None or asker not in call.waiters:
            return
        call.waiters.remove(asker)
        if not call.waiters and self.route_policies[call.route].idempotent:
            self.finish(
                now, key, call, FinalReply("dropped", not none_ran([*call.attempts.values()]), self.back_ns())
            )

    # -- backends

    def on_attempt_ended(self, now: int, key: int, number: int, state: int) -> None:
        """A try ended: ANSWERED, UNRUN (with proof that it never ran) or DROPPED (it may have run)."""
        call = self.calls.get(key)
        # Guards against a reply to an earlier life of the same key, which is not this one's.
        one = call.attempts.get(number) if call else None
        if call is None or one is None:
            return self.host.count("replies to calls that are forgotten")
        if one.state not in (SENT, OVERDUE, CANCELLED):
            return self.host.count("replies told twice")
        waited, one.state = one.state == SENT, state
        if call.outcome is not None:
            if call.outcome.kind == "answered":
                return
            # Too late for who asked; a client that comes again is told, and nothing runs twice.
            if state == ANSWERED:
                call.outcome = FinalReply("answered", True, NO_RETRY_NS)
            elif none_ran([*call.attempts.values()]):
                call.outcome = FinalReply("dropped", False, self.back_ns())
            return
        if state == ANSWERED:
            return self.finish(now, key, call, FinalReply("answered", True, NO_RETRY_NS))
        if waited:
            self.retry_or_give_up(now, key, call)

    def tick(self, now: int) -> None:
        """What has come due: tries that were waited for long enough, the last of them to the time limit;
        answers kept long enough."""
        while self.timers and self.timers[0][0] <= now:
            key = heapq.heappop(self.timers)[1]
            call = self.calls.get(key)
            if call is None:
                continue
            if call.outcome is not None:
                if call.keep_until_ns <= now:
                    self.forget(key)
                continue
            for one in [*call.attempts.values()]:
                if one.state == SENT and one.wait_until_ns <= now:
                    one.state = OVERDUE
                    self.retry_or_give_up(now, key, call)

    # -- what follows

    def retry_or_give_up(self, now: int, key: int, call: Call) -> None:
        """A try has ended without an answer, or was waited for long enough."""
        way, table = self.route_policies[call.route], self.tables[call.route]
        # Guards against trying again for nobody: a mutating call that is only heard out.
        policy, tries = table.retry_policy if call.waiters else 0, [*call.attempts.values()]
        found = decide_retry(way, policy, tries, table.weights, call.deadline_ns - now, self.random())
        if isinstance(found, Retry):
            self.send(now, key, call, found.backend)
        else:
            self.give_up(now, key, call)

    def send(self, now: int, key: int, call: Call, place: int) -> None:
        way, table = self.route_policies[call.route], self.tables[call.route]
        wait = attempt_wait_ns(
            way, table.retry_policy, [*call.attempts.values()], table.weights, call.deadline_ns - now
        )
        self.attempt_count += 1
        call.attempts[self.attempt_count] = Attempt(place, SENT, now + wait)
        heapq.heappush(self.timers, (now + wait, key))
        self.host.send(key, self.attempt_count, place)

    def give_up(self, now: int, key: int, call: Call) -> None:
        """At once, and not near the time limit: the client is told whether and when to come back."""
        ran = not none_ran([*call.attempts.values()])
        stay = ran and not self.route_policies[call.route].idempotent
        self.finish(now, key, call, FinalReply("dropped", ran, NO_RETRY_NS if stay else self.back_ns()))

    def back_ns(self) -> int:
        return retry_after_ns(self.admission_interval_ns, 1.0, self.random())

    def finish(self, now: int, key: int, call: Call, told: FinalReply) -> None:
        call.outcome = told
        for number, one in call.attempts.items():
            if one.state in (SENT, OVERDUE):
                one.state = CANCELLED
                self.host.cancel(number)
        askers, call.waiters = call.waiters, []
        for asker in askers:
            self.host.reply(key, asker, told)
        call.keep_until_ns = now + self.route_policies[call.route].reply_retention_ns
        heapq.heappush(self.timers, (call.keep_until_ns, key))
        self.kept[key] = None
        while len(self.kept) > self.max_kept_replies:  # the oldest; its repeat is then one not known here
            self.forget(next(iter(self.kept)))

    def forget(self, key: int) -> None:
        self.calls.pop(key, None)
        self.kept.pop(key, None)
