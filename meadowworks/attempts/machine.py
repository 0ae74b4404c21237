"""All calls at one proxy, as a state machine: one method for each event, acting by its host.

Used by whoever plays a proxy in this repository; `meadowworks/modelcheck` explores this very class. It keeps
these rules: a call that is not idempotent never runs twice by its doing, each request gets one final reply,
there are at most two retries, none at a backend that the table lacks, and what is given up is answered at
once.
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

NO_RETRY_NS = 0  # as a time to come back: do not, but ask what became of the call


@dataclass(frozen=True, slots=True)
class FinalReply:
    """What a client is answered, once.

    :ivar kind: answered, throttled or dropped.
    :ivar retry_after_ns: how long to stay away; NO_RETRY_NS where a repeat might run twice.
    """

    kind: str
    may_have_run: bool
    retry_after_ns: int


class Host(Protocol):
    """What the machine may do. An attempt's number is never given again by the same machine."""

    def send(self, key: int, number: int, backend: int) -> None:
        """Sends an attempt of the call `key` to a backend."""

    def cancel(self, number: int) -> None:
        """Asks to cancel an attempt: it may have run, and may run yet."""

    def reply(self, key: int, waiter: int, reply: FinalReply) -> None:
        """Tells a client the outcome."""

    def count(self, event: str) -> None:
        """Counts an event for the log."""


@dataclass(slots=True)
class Call:
    """A call; `attempts` by number, in order, `keep_until_ns` once it has an outcome."""

    route: int
    deadline_ns: int
    waiters: list[int] = field(default_factory=list)  # the requests that wait for its outcome
    attempts: dict[int, Attempt] = field(default_factory=dict)
    outcome: FinalReply | None = None
    keep_until_ns: int = 0


@dataclass(slots=True)
class RouteTable:
    """What a controller ordered for a route."""

    weights: dict[int, float] = field(default_factory=dict)
    admission_ratio: float = 1.0
    retry_policy: int = 0


class AttemptMachine:
    """The calls at one proxy.

    :param admission_interval_ns: the time within which admission may change.
    :param max_kept_replies: bounds the outcomes kept for the clients' repeats.
    """

    def __init__(
        self,
        host: Host,
        route_policies: Sequence[RouteRetryPolicy],
        admission_interval_ns: int,
        max_kept_replies: int,
        seed: int,
    ) -> None:
        self.host, self.route_policies, self.seed = host, route_policies, seed
        self.admission_interval_ns, self.max_kept_replies = admission_interval_ns, max_kept_replies
        self.draw_count = self.attempt_count = 0
        self.calls: dict[int, Call] = {}
        self.finished_calls: dict[int, None] = {}  # calls that have an outcome, oldest first
        self.tables = [RouteTable() for _ in route_policies]
        self.timers: list[tuple[int, int]] = []  # when, and the call's key

    def random(self) -> float:
        """The next random number, from 0 up to, not with, 1."""
        self.draw_count += 1
        return zlib.crc32(f"{self.seed}:{self.draw_count}".encode()) / 2**32

    # -- orders

    def on_table(self, route: int, weights: dict[int, float], ratio: float, retry_policy: int) -> None:
        """What a controller orders for a route from now on. Attempts in flight go on, whatever it lacks."""
        self.tables[route] = RouteTable(weights, ratio, retry_policy)

    # -- clients

    def on_request(self, now: int, key: int, route: int, waiter: int, is_repeat: bool) -> None:
        """A client asks; `is_repeat` says that it asked before and had no final reply."""
        route_policy, call = self.route_policies[route], self.calls.get(key)
        if call is not None and call.outcome is None:
            # Guards against a client's repeat that runs beside its first: both wait for the one outcome.
            call.waiters.append(waiter)
            return
        if call is not None and call.outcome is not None:
            if call.outcome.kind == "answered" or call.outcome.may_have_run and not route_policy.idempotent:
                self.host.reply(key, waiter, call.outcome)
                return
            self.forget(key)  # it never ran, or may run again
        elif is_repeat and not route_policy.idempotent:
            # Guards against a first that ran under a proxy that has died since, or that was long ago.
            self.host.count("repeats of mutating calls not known here")
            self.host.reply(key, waiter, FinalReply("dropped", True, NO_RETRY_NS))
            return
        self.admit(now, key, route, waiter)

    def admit(self, now: int, key: int, route: int, waiter: int) -> None:
        """Throttles a new call, drops it for want of a backend, or sends its first attempt."""
        table = self.tables[route]
        if self.random() >= table.admission_ratio:
            delay_ns = retry_after_ns(self.admission_interval_ns, table.admission_ratio, self.random())
            self.host.reply(key, waiter, FinalReply("throttled", False, delay_ns))
            return
        backend = pick_by_weight(table.weights, (), self.random())
        if backend is None:
            self.host.reply(key, waiter, FinalReply("dropped", False, self.retry_delay_ns()))
            return
        deadline_ns = now + self.route_policies[route].timeout_ns
        self.calls[key] = call = Call(route, deadline_ns, [waiter])
        self.send(now, key, call, backend)

    def on_client_gone(self, now: int, key: int, waiter: int) -> None:
        """A client went away. A call that is not idempotent goes on, for the client's repeat."""
        call = self.calls.get(key)
        if call is None or waiter not in call.waiters:
            return
        call.waiters.remove(waiter)
        if not call.waiters and self.route_policies[call.route].idempotent:
            may_have_run = not none_ran([*call.attempts.values()])
            self.finish(now, key, call, FinalReply("dropped", may_have_run, self.retry_delay_ns()))

    # -- backends

    def on_attempt_ended(self, now: int, key: int, number: int, state: int) -> None:
        """An attempt ended: ANSWERED, NEVER_RAN (there is proof) or FAILED (it may have run)."""
        call = self.calls.get(key)
        # Guards against a reply to an earlier call of the same key, which is not this one's.
        attempt = call.attempts.get(number) if call else None
        if call is None or attempt is None:
            self.host.count("replies to calls that are forgotten")
            return
        if attempt.state not in (SENT, OVERDUE, CANCELLED):
            self.host.count("replies told twice")
            return
        was_awaited, attempt.state = attempt.state == SENT, state
        if call.outcome is not None:
            self.on_late_result(call, state)
        elif state == ANSWERED:
            self.finish(now, key, call, FinalReply("answered", True, NO_RETRY_NS))
        elif was_awaited:
            self.retry_or_give_up(now, key, call)

    def on_late_result(self, call: Call, state: int) -> None:
        """Too late for who asked; a client that asks again gets the kept reply, and nothing runs twice."""
        if call.outcome is not None and call.outcome.kind == "answered":
            return
        if state == ANSWERED:
            call.outcome = FinalReply("answered", True, NO_RETRY_NS)
        elif none_ran([*call.attempts.values()]):
            call.outcome = FinalReply("dropped", False, self.retry_delay_ns())

    def tick(self, now: int) -> None:
        """Handles what has come due.

        That is attempts that were waited for long enough, the last of them to the deadline, and outcomes that
        were kept long enough.
        """
        while self.timers and self.timers[0][0] <= now:
            key = heapq.heappop(self.timers)[1]
            call = self.calls.get(key)
            if call is None:
                continue
            if call.outcome is not None:
                if call.keep_until_ns <= now:
                    self.forget(key)
                continue
            for attempt in [*call.attempts.values()]:
                if attempt.state == SENT and attempt.wait_until_ns <= now:
                    attempt.state = OVERDUE
                    self.retry_or_give_up(now, key, call)

    # -- what follows

    def retry_or_give_up(self, now: int, key: int, call: Call) -> None:
        """An attempt has ended without an answer, or was waited for long enough."""
        route_policy, table = self.route_policies[call.route], self.tables[call.route]
        # Guards against retries for nobody: of a call that only goes on for the client's repeat.
        policy, attempts = table.retry_policy if call.waiters else 0, [*call.attempts.values()]
        remaining_ns = call.deadline_ns - now
        decision = decide_retry(route_policy, policy, attempts, table.weights, remaining_ns, self.random())
        if isinstance(decision, Retry):
            self.send(now, key, call, decision.backend)
        else:
            self.give_up(now, key, call)

    def send(self, now: int, key: int, call: Call, backend: int) -> None:
        """Sends one more attempt."""
        route_policy, table = self.route_policies[call.route], self.tables[call.route]
        attempts, remaining_ns = [*call.attempts.values()], call.deadline_ns - now
        wait_ns = attempt_wait_ns(route_policy, table.retry_policy, attempts, table.weights, remaining_ns)
        self.attempt_count += 1
        call.attempts[self.attempt_count] = Attempt(backend, SENT, now + wait_ns)
        heapq.heappush(self.timers, (now + wait_ns, key))
        self.host.send(key, self.attempt_count, backend)

    def give_up(self, now: int, key: int, call: Call) -> None:
        """At once, and not near the deadline: the reply says whether and when to retry."""
        may_have_run = not none_ran([*call.attempts.values()])
        no_repeat = may_have_run and not self.route_policies[call.route].idempotent
        delay_ns = NO_RETRY_NS if no_repeat else self.retry_delay_ns()
        self.finish(now, key, call, FinalReply("dropped", may_have_run, delay_ns))

    def retry_delay_ns(self) -> int:
        """When a call that was dropped may come back."""
        return retry_after_ns(self.admission_interval_ns, 1.0, self.random())

    def finish(self, now: int, key: int, call: Call, reply: FinalReply) -> None:
        """Tells the outcome to all that wait, cancels what is in flight, and keeps the outcome."""
        call.outcome = reply
        for number, attempt in call.attempts.items():
            if attempt.state in (SENT, OVERDUE):
                attempt.state = CANCELLED
                self.host.cancel(number)
        waiters, call.waiters = call.waiters, []
        for waiter in waiters:
            self.host.reply(key, waiter, reply)
        call.keep_until_ns = now + self.route_policies[call.route].reply_retention_ns
        heapq.heappush(self.timers, (call.keep_until_ns, key))
        self.finished_calls[key] = None
        while (
            len(self.finished_calls) > self.max_kept_replies
        ):  # the oldest; its repeat is then one not known here
            self.forget(next(iter(self.finished_calls)))

    def forget(self, key: int) -> None:
        """Forgets a call and its outcome."""
        self.calls.pop(key, None)
        self.finished_calls.pop(key, None)
