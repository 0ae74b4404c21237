"""The calls at one proxy as a state machine: one method for each event, actions through a host.

`meadowworks/modelcheck` explores this class. Its invariants: a call that is not idempotent never runs twice,
each request gets one final reply, a call has at most two retries, attempts go only to backends in the table,
and a call that is given up is answered at once.
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
    pick_by_weight,
    proven_not_run,
    retry_after_ns,
)

NO_RETRY_NS = 0  # as a retry delay: do not retry, but query the outcome of the call


@dataclass(frozen=True, slots=True)
class FinalReply:
    """The final reply to a client's request.

    :ivar kind: answered, throttled or dropped.
    :ivar may_have_run: whether a backend may have run the call.
    :ivar retry_after_ns: delay before the client may retry; NO_RETRY_NS if the call might then run twice.
    """

    kind: str
    may_have_run: bool
    retry_after_ns: int


class Host(Protocol):
    """The actions of the machine. Numbers of attempts are unique within a machine."""

    def send(self, key: int, number: int, backend: int) -> None:
        """Send an attempt of the call `key` to a backend."""

    def cancel(self, number: int) -> None:
        """Request the cancellation of an attempt, which may have run or may still run."""

    def reply(self, key: int, waiter: int, reply: FinalReply) -> None:
        """Send the outcome to a client."""

    def count(self, event: str) -> None:
        """Count an event for the log."""


@dataclass(slots=True)
class Call:
    """A call at the proxy.

    :ivar waiters: the requests that wait for its outcome.
    :ivar attempts: by number, in the order of sending.
    :ivar keep_until_ns: when it is forgotten; set together with the outcome.
    """

    route: int
    deadline_ns: int
    waiters: list[int] = field(default_factory=list)
    attempts: dict[int, Attempt] = field(default_factory=dict)
    outcome: FinalReply | None = None
    keep_until_ns: int = 0


@dataclass(slots=True)
class RouteTable:
    """The table, admission ratio and retry policy that a controller ordered for a route."""

    weights: dict[int, float] = field(default_factory=dict)
    admission_ratio: float = 1.0
    retry_policy: int = 0


class AttemptMachine:
    """The calls at one proxy.

    :param admission_interval_ns: shortest interval at which admission ratios change.
    :param max_kept_replies: maximum number of outcomes kept for repeated requests.
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
        self.finished_calls: dict[int, None] = {}  # keys of calls with an outcome, oldest first
        self.tables = [RouteTable() for _ in route_policies]
        self.timers: list[tuple[int, int]] = []  # due time, key of the call

    def random(self) -> float:
        """Return the next random number, at least 0 and less than 1."""
        self.draw_count += 1
        return zlib.crc32(f"{self.seed}:{self.draw_count}".encode()) / 2**32

    # -- orders of a controller

    def on_table(self, route: int, weights: dict[int, float], ratio: float, retry_policy: int) -> None:
        """Apply a controller's order for a route; attempts in flight continue even at removed backends."""
        self.tables[route] = RouteTable(weights, ratio, retry_policy)

    # -- clients

    def on_request(self, now: int, key: int, route: int, waiter: int, is_repeat: bool) -> None:
        """Handle a client's request.

        :param is_repeat: whether the client has sent it before and received no final reply.
        """
        route_policy, call = self.route_policies[route], self.calls.get(key)
        if call is not None and call.outcome is None:
            # Prevents a repeat from running beside the first request: both wait for the same outcome.
            call.waiters.append(waiter)
            return
        if call is not None and call.outcome is not None:
            if call.outcome.kind == "answered" or call.outcome.may_have_run and not route_policy.idempotent:
                self.host.reply(key, waiter, call.outcome)
                return
            self.forget(key)  # it has not run, or may run again
        elif is_repeat and not route_policy.idempotent:
            # Prevents a second run if the first request was at a crashed proxy, or its outcome is forgotten.
            self.host.count("repeats of unknown calls that are not idempotent")
            self.host.reply(key, waiter, FinalReply("dropped", True, NO_RETRY_NS))
            return
        self.admit(now, key, route, waiter)

    def admit(self, now: int, key: int, route: int, waiter: int) -> None:
        """Throttle a new call, drop it if there is no backend, or send its first attempt."""
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
        """Handle a client's disconnect; a call that is not idempotent continues, for a repeated request."""
        call = self.calls.get(key)
        if call is None or waiter not in call.waiters:
            return
        call.waiters.remove(waiter)
        if not call.waiters and self.route_policies[call.route].idempotent:
            may_have_run = not proven_not_run([*call.attempts.values()])
            self.finish(now, key, call, FinalReply("dropped", may_have_run, self.retry_delay_ns()))

    # -- backends

    def on_attempt_ended(self, now: int, key: int, number: int, state: int) -> None:
        """Handle the end of an attempt: ANSWERED, NEVER_RAN (with proof) or FAILED (it may have run)."""
        call = self.calls.get(key)
        # Prevents a reply to an earlier call with the same key from being used for this one.
        attempt = call.attempts.get(number) if call else None
        if call is None or attempt is None:
            self.host.count("replies to unknown attempts")
            return
        if attempt.state not in (SENT, OVERDUE, CANCELLED):
            self.host.count("duplicate replies")
            return
        was_awaited, attempt.state = attempt.state == SENT, state
        if call.outcome is not None:
            self.on_late_result(call, state)
        elif state == ANSWERED:
            self.finish(now, key, call, FinalReply("answered", True, NO_RETRY_NS))
        elif was_awaited:
            self.retry_or_give_up(now, key, call)

    def on_late_result(self, call: Call, state: int) -> None:
        """Update the kept outcome after an attempt ended late, for the reply to a repeated request."""
        if call.outcome is not None and call.outcome.kind == "answered":
            return
        if state == ANSWERED:
            call.outcome = FinalReply("answered", True, NO_RETRY_NS)
        elif proven_not_run([*call.attempts.values()]):
            call.outcome = FinalReply("dropped", False, self.retry_delay_ns())

    def tick(self, now: int) -> None:
        """Handle the timers that are due.

        An attempt whose wait is over becomes overdue, and its call is retried or given up. A call is
        forgotten at the end of its outcome's retention.
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

    # -- retries and outcomes

    def retry_or_give_up(self, now: int, key: int, call: Call) -> None:
        """Retry a call whose attempt ended without an answer or is overdue, or give it up."""
        route_policy, table = self.route_policies[call.route], self.tables[call.route]
        # Prevents retries of a call that no client waits for.
        policy, attempts = table.retry_policy if call.waiters else 0, [*call.attempts.values()]
        remaining_ns = call.deadline_ns - now
        decision = decide_retry(route_policy, policy, attempts, table.weights, remaining_ns, self.random())
        if isinstance(decision, Retry):
            self.send(now, key, call, decision.backend)
        else:
            self.give_up(now, key, call)

    def send(self, now: int, key: int, call: Call, backend: int) -> None:
        """Send another attempt."""
        route_policy, table = self.route_policies[call.route], self.tables[call.route]
        attempts, remaining_ns = [*call.attempts.values()], call.deadline_ns - now
        wait_ns = attempt_wait_ns(route_policy, table.retry_policy, attempts, table.weights, remaining_ns)
        self.attempt_count += 1
        call.attempts[self.attempt_count] = Attempt(backend, SENT, now + wait_ns)
        heapq.heappush(self.timers, (now + wait_ns, key))
        self.host.send(key, self.attempt_count, backend)

    def give_up(self, now: int, key: int, call: Call) -> None:
        """Drop a call at once, without waiting for its deadline; the reply says whether and when to retry."""
        may_have_run = not proven_not_run([*call.attempts.values()])
        no_repeat = may_have_run and not self.route_policies[call.route].idempotent
        delay_ns = NO_RETRY_NS if no_repeat else self.retry_delay_ns()
        self.finish(now, key, call, FinalReply("dropped", may_have_run, delay_ns))

    def retry_delay_ns(self) -> int:
        """Return the delay after which a client may retry a dropped call."""
        return retry_after_ns(self.admission_interval_ns, 1.0, self.random())

    def finish(self, now: int, key: int, call: Call, reply: FinalReply) -> None:
        """Send the outcome to all waiters, cancel attempts in flight, and keep the outcome for repeats."""
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
        while len(self.finished_calls) > self.max_kept_replies:  # forget the oldest
            self.forget(next(iter(self.finished_calls)))

    def forget(self, key: int) -> None:
        """Forget a call and its outcome."""
        self.calls.pop(key, None)
        self.finished_calls.pop(key, None)
