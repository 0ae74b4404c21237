"""State machine of the attempts of one request, without I/O: events in, commands out.

`meadowworks.attempts.retry_policy` decides whether a retry may follow. This module decides what the end of an
attempt proves and which response the client gets. An unsafe request is retried, or answered with 503, only
with proof that it did not run. A request without further attempts is answered at once.
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
# Fraction of the hedging delay after which a hedge is sent if a slot is free: no other request waits for it.
EARLY_HEDGE_SHARE = 0.5
# Basis of Retry-After: a slot is likely to become free within this time.
RETRY_AFTER_BASE_NS = 60 * MS
# Minimum time left to start an attempt: connecting and receiving a response take longer than this.
MIN_ATTEMPT_NS = 20 * MS
RETRY_BUDGET_EXHAUSTED = NoRetry("the retry budget of the service is exhausted")
CLIENT_DISCONNECTED = NoRetry("the client has disconnected")


class RetryLimiter(Protocol):
    """Limit on the retries of a service's requests."""

    def take_retry(self, now: int) -> bool:
        """Return whether a retry may be sent at `now`, and count it if so."""


# -- events


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """Event: the request was read and admitted."""


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Event: an attempt ended.

    :param outcome: its state: `ANSWERED`, `NEVER_RAN`, `FAILED` or `CANCELLED` of the retry policy
    :param status: the status code of its response; 0 without a valid response
    """

    number: int
    outcome: int
    status: int


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """Event: the time that `RequestAttempts.next_timer_ns` returned has been reached."""


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """Event: the client closed its connection before the response."""


Event = RequestReceived | AttemptEnded | TimerExpired | ClientDisconnected

# -- commands


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Command: send the request to an endpoint and set a timer for `wait_until_ns`."""

    number: int
    endpoint: int
    wait_until_ns: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Command: wait until an attempt ends, or until `until_ns`."""

    until_ns: int


@dataclass(frozen=True, slots=True)
class CancelAttempts:
    """Command: cancel the attempts in flight; the client has disconnected and the request is safe."""


@dataclass(frozen=True, slots=True)
class ForwardResponse:
    """Command: forward the response of an attempt to the client unchanged."""

    number: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Command: respond to the client with an error of the proxy.

    :param retry_after_ns: the delay after which the client may retry; if not 0, the request has not run and
        never will
    """

    status: int
    retry_after_ns: int = 0


Command = SendAttempt | Wait | CancelAttempts | ForwardResponse | RejectRequest


@dataclass(slots=True)
class RequestAttempts:
    """The attempts of one request. All times are monotonic, in nanoseconds.

    :param route_policy: the retry settings of the route
    :param retry_policy: the number of the policy, 0 to 3; see `meadowworks.attempts.retry_policy`
    :param deadline_ns: the earlier of the client's deadline and the route's
    :param retry_budget: the limit on the service's retries
    """

    route_policy: RouteRetryPolicy
    retry_policy: int
    deadline_ns: int
    retry_budget: RetryLimiter
    attempts: dict[int, Attempt] = field(default_factory=dict)  # by number, from 1
    # Statuses of attempts that the backend itself answered with a failure, by attempt number.
    backend_failures: dict[int, int] = field(default_factory=dict)
    latest_hedge_ns: int = 0  # when the newest attempt is hedged if no slot becomes free before
    client_disconnected: bool = False

    def handle_event(self, event: Event, now: int, choices: EndpointChoices, random_value: float) -> Command:
        """Process an event and return the command that follows from it.

        :param now: the time of the event
        :param choices: the endpoints that another attempt could be sent to now
        :param random_value: a random number in [0, 1)
        """
        if isinstance(event, AttemptEnded):
            return self._on_attempt_ended(event, now, choices, random_value)
        if isinstance(event, RequestReceived):
            return self._on_request(now, choices, random_value)
        if isinstance(event, TimerExpired):
            return self._on_timer(now, choices, random_value)
        return self._on_client_disconnected(now)

    def next_timer_ns(self, now: int) -> int:
        """Return when `TimerExpired` is due, unless an attempt ends before."""
        due = [
            attempt.wait_until_ns
            for attempt in self.attempts.values()
            if attempt.state == SENT and attempt.wait_until_ns > now
        ]
        return min([*due, self.deadline_ns])

    def _on_request(self, now: int, choices: EndpointChoices, random_value: float) -> Command:
        if self.deadline_ns - now < MIN_ATTEMPT_NS:
            return self._reject(now, random_value)
        endpoint = retries.pick_fastest(choices.weights, (), choices.delays_ns, random_value)
        # Prevents wasted work: a request is rejected at once if no response is expected before its deadline.
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
        if any(attempt.state in (SENT, OVERDUE) for attempt in self.attempts.values()):
            return self._wait(now)
        return self._retry_or_finish(now, choices, random_value)

    def _on_timer(self, now: int, choices: EndpointChoices, random_value: float) -> Command:
        """Hedge an attempt that is overdue; reject the request at its deadline.

        The first response counts. The hedge is sent earlier if a slot is free.
        """
        if now >= self.deadline_ns:
            return self._reject(now, random_value)
        for attempt in self.attempts.values():
            if (
                attempt.state == SENT
                and attempt.wait_until_ns <= now < self.latest_hedge_ns
                and not choices.has_free_slot
            ):
                attempt.wait_until_ns = self.latest_hedge_ns
            elif attempt.state == SENT and attempt.wait_until_ns <= now:
                attempt.state = OVERDUE
                decision = self._decide_retry(now, choices, random_value)
                if isinstance(decision, Retry):
                    return self._send(now, decision.backend, choices.weights)
        return self._wait(now)

    def _on_client_disconnected(self, now: int) -> Command:
        """Stop sending attempts. Those of an unsafe request continue, because they may have run already."""
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

    def _decide_retry(self, now: int, choices: EndpointChoices, random_value: float) -> Retry | NoRetry:
        if self.client_disconnected:
            return CLIENT_DISCONNECTED
        decision = retries.decide_retry(
            self.route_policy,
            self.retry_policy,
            [*self.attempts.values()],
            choices.weights,
            self.deadline_ns - now,
            random_value,
            choices.delays_ns,
        )
        if isinstance(decision, NoRetry) or self.retry_budget.take_retry(now):
            return decision
        return RETRY_BUDGET_EXHAUSTED

    def _retry_or_finish(self, now: int, choices: EndpointChoices, random_value: float) -> Command:
        decision = self._decide_retry(now, choices, random_value)
        if isinstance(decision, Retry):
            return self._send(now, decision.backend, choices.weights)
        if self.backend_failures:  # forward the first failure that a backend responded with
            return ForwardResponse(next(iter(self.backend_failures)))
        return self._reject(now, random_value)

    def _reject(self, now: int, random_value: float) -> RejectRequest:
        if retries.proven_not_run([*self.attempts.values()]):
            return RejectRequest(503, retries.retry_after_ns(RETRY_AFTER_BASE_NS, 1.0, random_value))
        return RejectRequest(504 if now >= self.deadline_ns else 502)


def route_retry_policy(safe: bool, time_left_ns: int, hedge_wait_ns: int) -> RouteRetryPolicy:
    """Return the settings of a route that the retry policy needs.

    :param time_left_ns: the time until the request's deadline
    :param hedge_wait_ns: how long an attempt may take before it is hedged
    """
    return RouteRetryPolicy(
        idempotent=safe,
        timeout_ns=time_left_ns,
        attempt_timeout_ns=hedge_wait_ns,
        min_remaining_ns=MIN_ATTEMPT_NS,
        reply_retention_ns=0,
    )


def choose_retry_policy(safe: bool, max_attempts: int, overloaded: bool) -> int:
    """Return the number of the retry policy that the route allows; 0, no retries, under overload."""
    if max_attempts <= 1 or overloaded:
        return 0
    return 1 if not safe else RETRY_ANY_FAILURE + (max_attempts > 2)
