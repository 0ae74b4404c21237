"""One request's tries as a machine: sent, sent again or not, and what its client is told.

Whether a further try may follow is decided by `attempts`; here stands what each end of a try proves, and
which answer may be given. The rules it keeps: an unsafe request is sent again only with proof that it did not
run, and is answered 503 only with that proof; what is given up is answered at once.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from meadowworks.attempts.retry_policy import (
    ANSWERED,
    FAILED,
    OVERDUE,
    RETRY_ANY_FAILURE,
    SENT,
    Attempt,
    NoRetry,
    Retry,
    RouteRetryPolicy,
    attempt_wait_ns,
    decide_retry,
    none_ran,
    pick_fastest,
    retry_after_ns,
)
from meadowworks.forwarding.response_check import NOT_RUN_STATUSES

MS = 1_000_000
HEDGE_WAIT_SHARE = 0.5  # part of the usual wait after which a try has another beside it, where a slot is free
RETRY_AFTER_BASE_NS = 60 * MS  # in which room may be found again: what a time to come back is reckoned with
MIN_ATTEMPT_NS = 20 * MS  # with less time left no further try begins
RETRY_BUDGET_EXHAUSTED = NoRetry("no further try is within the service's budget")
CLIENT_GONE = NoRetry("its client has gone")


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """One try: to a backend, waited for until `until_ns` before another may go beside it."""

    number: int
    endpoint: int
    wait_until_ns: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Nothing to do until a try ends or `until_ns` is there."""

    until_ns: int


@dataclass(frozen=True, slots=True)
class ForwardResponse:
    """The answer of this try goes to the client as it is."""

    number: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """An answer of our own. With `back_ns`: it has not run and never will, and may come back then."""

    status: int
    retry_after_ns: int = 0


Command = SendAttempt | Wait | ForwardResponse | RejectRequest


@dataclass(slots=True)
class RequestAttempts:
    """`limit_ns` is when the client's or the operator's time is over. `policy` as `attempts` numbers it."""

    rules: RouteRetryPolicy
    retry_policy: int
    deadline_ns: int
    attempts: dict[int, Attempt] = field(default_factory=dict)
    backend_failures: dict[int, int] = field(
        default_factory=dict
    )  # tries whose answer is a backend's own failure
    finished: bool = False
    unhedged_until_ns: int = 0  # until when the newest try is waited for where no slot is free
    client_gone: bool = False  # its client has

    def start(
        self, now: int, weights: Mapping[int, float], delays: Mapping[int, float], chance: float
    ) -> Command:
        if self.deadline_ns - now < MIN_ATTEMPT_NS:
            return self.reject(now, chance)
        place = pick_fastest(weights, (), delays, chance)
        # Guards against work for nobody: with no hope of an answer in time it is refused at once.
        if place is None or delays.get(place, 0.0) > self.deadline_ns - now:
            return self.reject(now, chance)
        return self.send_attempt(now, place, weights)

    def send_attempt(self, now: int, place: int, weights: Mapping[int, float]) -> SendAttempt:
        left = self.deadline_ns - now
        wait = attempt_wait_ns(self.rules, self.retry_policy, [*self.attempts.values()], weights, left)
        number = len(self.attempts) + 1
        self.unhedged_until_ns = now + wait
        until = now + (int(HEDGE_WAIT_SHARE * wait) if wait < left else wait)
        self.attempts[number] = Attempt(place, SENT, until)
        return SendAttempt(number, place, until)

    def on_attempt_ended(
        self,
        now: int,
        number: int,
        outcome: int,
        status: int,
        weights: Mapping[int, float],
        delays: Mapping[int, float],
        chance: float,
        take_retry: Callable[[], bool],
    ) -> Command:
        """A try has ended; `status` is its answer's, 0 if it has none. `budget` takes a further one out of
        the service's budget, if there is room."""
        self.attempts[number].state = outcome
        if outcome == ANSWERED:
            return ForwardResponse(number)
        if outcome == FAILED and status and status not in NOT_RUN_STATUSES:
            self.backend_failures[number] = status
        if any(one.state in (SENT, OVERDUE) for one in self.attempts.values()):
            return self.wait(now)
        return self.retry_or_finish(now, weights, delays, chance, take_retry)

    def on_timer(
        self,
        now: int,
        weights: Mapping[int, float],
        delays: Mapping[int, float],
        chance: float,
        take_retry: Callable[[], bool],
        slot_free: bool = True,
    ) -> Command:
        """A try was waited for long enough: another may go beside it, whose answer counts as well; sooner
        where a slot is `free`, so that it takes nobody's turn. At the limit all is over."""
        if now >= self.deadline_ns:
            return self.reject(now, chance)
        for one in self.attempts.values():
            if one.state == SENT and one.wait_until_ns <= now < self.unhedged_until_ns and not slot_free:
                one.wait_until_ns = self.unhedged_until_ns
            elif one.state == SENT and one.wait_until_ns <= now:
                one.state = OVERDUE
                found = self.next_attempt(now, weights, delays, chance, take_retry)
                if isinstance(found, Retry):
                    return self.send_attempt(now, found.backend, weights)
        return self.wait(now)

    def on_client_gone(self) -> bool:
        """Its client has gone: nothing is sent any more. Whether what is under way may be ended: an unsafe
        request that may have run goes on, as its client has wanted it."""
        self.client_gone = True
        return self.rules.idempotent

    def wait(self, now: int) -> Wait:
        due = [
            one.wait_until_ns
            for one in self.attempts.values()
            if one.state == SENT and one.wait_until_ns > now
        ]
        return Wait(min([*due, self.deadline_ns]))

    def next_attempt(
        self,
        now: int,
        weights: Mapping[int, float],
        delays: Mapping[int, float],
        chance: float,
        take_retry: Callable[[], bool],
    ) -> Retry | NoRetry:
        if self.client_gone:
            return CLIENT_GONE
        tries = [*self.attempts.values()]
        found = decide_retry(
            self.rules, self.retry_policy, tries, weights, self.deadline_ns - now, chance, delays
        )
        return found if isinstance(found, NoRetry) or take_retry() else RETRY_BUDGET_EXHAUSTED

    def retry_or_finish(
        self,
        now: int,
        weights: Mapping[int, float],
        delays: Mapping[int, float],
        chance: float,
        take_retry: Callable[[], bool],
    ) -> Command:
        found = self.next_attempt(now, weights, delays, chance, take_retry)
        if isinstance(found, Retry):
            return self.send_attempt(now, found.backend, weights)
        if self.backend_failures:  # the backend's own failure is the answer
            return ForwardResponse(next(iter(self.backend_failures)))
        return self.reject(now, chance)

    def reject(self, now: int, chance: float) -> RejectRequest:
        self.finished = True
        if none_ran([*self.attempts.values()]):
            return RejectRequest(503, retry_after_ns(RETRY_AFTER_BASE_NS, 1.0, chance))
        return RejectRequest(504 if now >= self.deadline_ns else 502)


def retry_rules(safe: bool, time_left_ns: int, hedge_wait_ns: int) -> RouteRetryPolicy:
    """What `attempts` reads of a route."""
    return RouteRetryPolicy(
        idempotent=safe,
        timeout_ns=time_left_ns,
        attempt_timeout_ns=hedge_wait_ns,
        min_remaining_ns=MIN_ATTEMPT_NS,
        reply_retention_ns=0,
    )


def choose_retry_policy(safe: bool, max_attempts: int, overloaded: bool) -> int:
    """The way of trying again, by what the operator allows; in a jam none."""
    if max_attempts <= 1 or overloaded:
        return 0
    return 1 if not safe else RETRY_ANY_FAILURE + (max_attempts > 2)
