"""The attempts of one request as a state machine free of I/O: events in, commands out.

Whether a retry may follow is decided by `meadowworks.attempts.retry_policy`; here stands what the end of each
attempt proves, and which response may be given. Two rules hold: an unsafe request is retried only with proof
that it did not run, and is answered 503 only with that proof. What is given up is answered at once.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from meadowworks.attempts import retry_policy as retries
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
)
from meadowworks.forwarding.endpoint_selection import EndpointChoices
from meadowworks.forwarding.response_check import NOT_RUN_STATUSES

MS = 1_000_000
# Part of the hedging delay after which a second request is sent beside the first where a slot is free: it
# takes nobody's turn there.
EARLY_HEDGE_SHARE = 0.5
# Basis of Retry-After: within this time another slot is likely to be free.
RETRY_AFTER_BASE_NS = 60 * MS
# With less time left no attempt begins: a connection and a response take longer.
MIN_ATTEMPT_NS = 20 * MS
RETRY_BUDGET_EXHAUSTED = NoRetry("no retry is left in the service's budget")
CLIENT_DISCONNECTED = NoRetry("the client has disconnected")


class RetryLimiter(Protocol):
    """Bounds the retries of a service's requests."""

    def take_retry(self, now: int) -> bool:
        """Whether a retry may be sent at the time `now`; it is counted if so."""


# -- events


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """The request has been read and admitted."""


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt is over.

    :param outcome: what is known of it: `ANSWERED`, `NEVER_RAN`, `FAILED` or `CANCELLED` of the retry policy
    :param status: the status code of its response; 0 without a response that is valid
    """

    number: int
    outcome: int
    status: int


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """The time that `RequestAttempts.next_timer_ns` names has come."""


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """Nobody waits for the response any more."""


Event = RequestReceived | AttemptEnded | TimerExpired | ClientDisconnected

# -- commands


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request to this endpoint, and set a timer for `wait_until_ns`."""

    number: int
    endpoint: int
    wait_until_ns: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Do nothing until an attempt ends, or until the time `until_ns`."""

    until_ns: int


@dataclass(frozen=True, slots=True)
class CancelAttempts:
    """End the attempts in flight: nobody waits for them, and they may run again."""


@dataclass(frozen=True, slots=True)
class ForwardResponse:
    """Send the response of this attempt to the client as it is."""

    number: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Send a response of the proxy's own.

    :param retry_after_ns: if not 0, the request has not run and never will, and may be sent again then
    """

    status: int
    retry_after_ns: int = 0


Command = SendAttempt | Wait | CancelAttempts | ForwardResponse | RejectRequest


@dataclass(slots=True)
class RequestAttempts:
    """The attempts of one request. All times are of one steady clock, in nanoseconds.

    :param route_policy: what the retry policy reads of the route
    :param retry_policy: the number of the policy, as `meadowworks.attempts.retry_policy` counts them
    :param deadline_ns: when the client's time or the operator's is over
    :param retry_budget: what bounds the retries of the service
    """

    route_policy: RouteRetryPolicy
    retry_policy: int
    deadline_ns: int
    retry_budget: RetryLimiter
    attempts: dict[int, Attempt] = field(default_factory=dict)  # by number, from 1
    # Statuses of attempts that the backend itself answered with a failure, by number.
    backend_failures: dict[int, int] = field(default_factory=dict)
    latest_hedge_ns: int = 0  # until when the newest attempt is waited for where no slot is free
    client_disconnected: bool = False

    def handle_event(self, event: Event, now: int, choices: EndpointChoices, random_value: float) -> Command:
        """Decide what follows from an event.

        :param now: the time of the event
        :param choices: the endpoints that another attempt could go to at this moment
        :param random_value: a random number from 0 up to, but not including, 1
        """
        if isinstance(event, AttemptEnded):
            return self._on_attempt_ended(event, now, choices, random_value)
        if isinstance(event, RequestReceived):
            return self._on_request(now, choices, random_value)
        if isinstance(event, TimerExpired):
            return self._on_timer(now, choices, random_value)
        return self._on_client_disconnected(now)

    def next_timer_ns(self, now: int) -> int:
        """When `TimerExpired` is due, unless an attempt ends before."""
        due = [
            one.wait_until_ns
            for one in self.attempts.values()
            if one.state == SENT and one.wait_until_ns > now
        ]
        return min([*due, self.deadline_ns])

    def _on_request(self, now: int, choices: EndpointChoices, random_value: float) -> Command:
        if self.deadline_ns - now < MIN_ATTEMPT_NS:
            return self._reject(now, random_value)
        endpoint = retries.pick_fastest(choices.weights, (), choices.delays_ns, random_value)
        # Guards against work for nobody: without hope of a response in time the request is rejected at once.
        if endpoint is None or choices.delays_ns.get(endpoint, 0.0) > self.deadline_ns - now:
            return self._reject(now, random_value)
        return self._send(now, endpoint, choices.weights)

    def _on_attempt_ended(
        self, event: AttemptEnded, now: int, choices: EndpointChoices, random_value: float
    ) -> Command:
        number, outcome, status = event.number, event.outcome, event.status
        self.attempts[number].state = outcome
        if outcome == ANSWERED:
            return ForwardResponse(number)
        if outcome == FAILED and status and status not in NOT_RUN_STATUSES:
            self.backend_failures[number] = status
        if any(one.state in (SENT, OVERDUE) for one in self.attempts.values()):
            return self._wait(now)
        return self._retry_or_finish(now, choices, random_value)

    def _on_timer(self, now: int, choices: EndpointChoices, random_value: float) -> Command:
        """Hedge: an attempt was waited for long enough, and another may go beside it.

        The first response counts. Where a slot is free the second request goes sooner. At the deadline all
        is over.
        """
        if now >= self.deadline_ns:
            return self._reject(now, random_value)
        for one in self.attempts.values():
            if (
                one.state == SENT
                and one.wait_until_ns <= now < self.latest_hedge_ns
                and not choices.has_free_slot
            ):
                one.wait_until_ns = self.latest_hedge_ns
            elif one.state == SENT and one.wait_until_ns <= now:
                one.state = OVERDUE
                found = self._next_attempt(now, choices, random_value)
                if isinstance(found, Retry):
                    return self._send(now, found.backend, choices.weights)
        return self._wait(now)

    def _on_client_disconnected(self, now: int) -> Command:
        """Nothing more is sent. An unsafe request that may have run goes on, as its client wanted it."""
        self.client_disconnected = True
        return CancelAttempts() if self.route_policy.idempotent else self._wait(now)

    def _send(self, now: int, endpoint: int, weights: Mapping[int, float]) -> SendAttempt:
        time_left_ns = self.deadline_ns - now
        wait_ns = retries.attempt_wait_ns(
            self.route_policy, self.retry_policy, [*self.attempts.values()], weights, time_left_ns
        )
        number = len(self.attempts) + 1
        self.latest_hedge_ns = now + wait_ns
        until_ns = now + (int(EARLY_HEDGE_SHARE * wait_ns) if wait_ns < time_left_ns else wait_ns)
        self.attempts[number] = Attempt(endpoint, SENT, until_ns)
        return SendAttempt(number, endpoint, until_ns)

    def _wait(self, now: int) -> Wait:
        return Wait(self.next_timer_ns(now))

    def _next_attempt(self, now: int, choices: EndpointChoices, random_value: float) -> Retry | NoRetry:
        if self.client_disconnected:
            return CLIENT_DISCONNECTED
        found = retries.decide_retry(
            self.route_policy,
            self.retry_policy,
            [*self.attempts.values()],
            choices.weights,
            self.deadline_ns - now,
            random_value,
            choices.delays_ns,
        )
        if isinstance(found, NoRetry) or self.retry_budget.take_retry(now):
            return found
        return RETRY_BUDGET_EXHAUSTED

    def _retry_or_finish(self, now: int, choices: EndpointChoices, random_value: float) -> Command:
        found = self._next_attempt(now, choices, random_value)
        if isinstance(found, Retry):
            return self._send(now, found.backend, choices.weights)
        if self.backend_failures:  # the backend's own failure is the response
            return ForwardResponse(next(iter(self.backend_failures)))
        return self._reject(now, random_value)

    def _reject(self, now: int, random_value: float) -> RejectRequest:
        if retries.none_ran([*self.attempts.values()]):
            return RejectRequest(503, retries.retry_after_ns(RETRY_AFTER_BASE_NS, 1.0, random_value))
        return RejectRequest(504 if now >= self.deadline_ns else 502)


def route_retry_policy(safe: bool, time_left_ns: int, hedge_wait_ns: int) -> RouteRetryPolicy:
    """What the retry policy reads of a route.

    :param hedge_wait_ns: how long an attempt is waited for before another may go beside it
    """
    return RouteRetryPolicy(
        idempotent=safe,
        timeout_ns=time_left_ns,
        attempt_timeout_ns=hedge_wait_ns,
        min_remaining_ns=MIN_ATTEMPT_NS,
        reply_retention_ns=0,
    )


def choose_retry_policy(safe: bool, max_attempts: int, overloaded: bool) -> int:
    """The number of the retry policy: what the operator allows; without retries under overload."""
    if max_attempts <= 1 or overloaded:
        return 0
    return 1 if not safe else RETRY_ANY_FAILURE + (max_attempts > 2)
