"""State machine of a request's attempts: ends of attempts, timers, and clients that disconnect."""

from __future__ import annotations

from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from meadowworks.attempts.retry_policy import ANSWERED, CANCELLED, FAILED, NEVER_RAN
from meadowworks.forwarding.endpoint_selection import (
    EndpointChoices,
)
from meadowworks.forwarding.request_attempts import (
    AttemptEnded,
    CancelAttempts,
    ClientDisconnected,
    ForwardResponse,
    RejectRequest,
    RequestAttempts,
    RequestReceived,
    SendAttempt,
    TimerExpired,
    Wait,
    choose_retry_policy,
    route_retry_policy,
)
from meadowworks.forwarding.response_check import outcome_of_status
from meadowworks.forwarding.retry_budget import RetryBudget
from tests.gateway.helpers import SECOND
from tests.gateway.test_fleet import ROUTES, Fleet, fleet  # noqa: F401  # the fixture

scenarios("features/request_attempts.feature")


CHOICES = EndpointChoices({1: 2.0, 2: 2.0}, {})


NO_FREE_SLOT = CHOICES._replace(has_free_slot=False)


class FixedRetryLimiter:
    """Retry limiter that allows all retries or none."""

    def __init__(self, allowed: bool = True) -> None:
        self.allowed = allowed

    def take_retry(self, now: int) -> bool:
        return self.allowed


def make_attempts(
    safe: bool,
    target_ns: int = SECOND,
    deadline_ns: int = 2 * SECOND,
    max_attempts: int = 2,
    retries: bool = True,
) -> RequestAttempts:
    route_policy, retry_policy = (
        route_retry_policy(safe, deadline_ns, target_ns),
        choose_retry_policy(safe, max_attempts, False),
    )
    return RequestAttempts(route_policy, retry_policy, deadline_ns, FixedRetryLimiter(retries))


ATTEMPT_ENDS = {
    "no connection": (NEVER_RAN, 0),
    "a reset": (FAILED, 0),
    "503 with X-Not-Run": (outcome_of_status(503, True), 503),
    "421": (outcome_of_status(421, False), 421),
    "503": (outcome_of_status(503, False), 503),
    "429": (outcome_of_status(429, False), 429),
    "500": (outcome_of_status(500, False), 500),
    "200": (outcome_of_status(200, False), 200),
}


@given(
    parsers.parse("a {kind} request with two backends and at most {max_attempts:d} attempts"),
    target_fixture="attempts",
)
def a_request(kind: str, max_attempts: int) -> RequestAttempts:
    safe = kind == "safe"
    return make_attempts(safe, max_attempts=max_attempts)


@when(parsers.parse("its first attempt ends with {end}"), target_fixture="command")
def first_attempt_ends(attempts: RequestAttempts, end: str) -> Any:
    first = attempts.handle_event(RequestReceived(), 0, CHOICES, 0.3)
    assert isinstance(first, SendAttempt)
    outcome, status = ATTEMPT_ENDS[end]
    return attempts.handle_event(AttemptEnded(first.number, outcome, status), 1000, CHOICES, 0.3)


@then(parsers.parse("the request is {result}"))
def request_is(attempts: RequestAttempts, command: Any, result: str) -> None:
    if result == "sent to the other backend":
        assert isinstance(command, SendAttempt)
        assert command.endpoint != attempts.attempts[1].backend
        return
    action, status = result.split()
    if action == "forwarded":
        assert isinstance(command, ForwardResponse)
        assert command.number == 1
        return
    assert isinstance(command, RejectRequest)
    assert command.status == int(status)
    # A client whose request did not run gets a Retry-After.
    assert (command.retry_after_ns > 0) == (command.status == 503)


def test_a_slow_safe_attempt_is_hedged_and_the_first_response_counts() -> None:
    attempts = make_attempts(True, SECOND // 2)
    first = attempts.handle_event(RequestReceived(), 0, CHOICES, 0.1)
    assert isinstance(first, SendAttempt)
    assert first.wait_until_ns == SECOND // 4
    without_slot = attempts.handle_event(TimerExpired(), first.wait_until_ns, NO_FREE_SLOT, 0.1)
    assert without_slot == Wait(SECOND // 2)  # an early hedge would delay another request
    second = attempts.handle_event(TimerExpired(), SECOND // 2, NO_FREE_SLOT, 0.1)
    assert isinstance(second, SendAttempt)
    assert second.endpoint != first.endpoint
    not_run = AttemptEnded(second.number, NEVER_RAN, 503)
    assert isinstance(attempts.handle_event(not_run, SECOND, CHOICES, 0.1), Wait)
    answered = AttemptEnded(first.number, ANSWERED, 200)
    assert isinstance(attempts.handle_event(answered, SECOND, CHOICES, 0.1), ForwardResponse)


def test_a_slow_unsafe_attempt_is_not_hedged_and_not_rejected_as_not_run() -> None:
    attempts = make_attempts(False, SECOND // 2)
    first = attempts.handle_event(RequestReceived(), 0, CHOICES, 0.1)
    assert isinstance(first, SendAttempt)
    assert first.wait_until_ns == 2 * SECOND
    command = attempts.handle_event(TimerExpired(), 2 * SECOND, CHOICES, 0.1)
    assert isinstance(command, RejectRequest)
    assert (command.status, command.retry_after_ns) == (504, 0)


def test_no_retry_is_sent_once_the_retry_budget_is_exhausted() -> None:
    attempts = make_attempts(True, retries=False)
    attempts.handle_event(RequestReceived(), 0, CHOICES, 0.1)
    command = attempts.handle_event(AttemptEnded(1, FAILED, 0), 1, CHOICES, 0.1)
    assert isinstance(command, RejectRequest)
    assert command.status == 502
    budget = RetryBudget(0.2, 10 * SECOND)
    for now in range(100):
        budget.record_request(now)
    taken = sum(budget.take_retry(1000) for _ in range(100))
    assert 10 <= taken <= 0.2 * 100 + 2
    assert not budget.take_retry(1000)
    assert budget.take_retry(11 * SECOND)  # the window has moved


def test_a_request_is_rejected_at_once_if_no_response_is_expected_in_time() -> None:
    attempts = make_attempts(False, SECOND, SECOND)
    slow = CHOICES._replace(delays_ns={1: 3.0 * SECOND, 2: 3.0 * SECOND})
    command = attempts.handle_event(RequestReceived(), 0, slow, 0.1)
    assert isinstance(command, RejectRequest)
    assert command.status == 503
    assert command.retry_after_ns < SECOND


@pytest.mark.parametrize("safe", [True, False])
def test_nothing_more_is_sent_after_the_client_disconnected(safe: bool) -> None:
    route_policy, retry_policy = (
        route_retry_policy(safe, 2 * SECOND, SECOND // 2),
        choose_retry_policy(safe, 3, False),
    )
    attempts = RequestAttempts(route_policy, retry_policy, 2 * SECOND, RetryBudget(1.0, 10 * SECOND))
    choices = EndpointChoices({1: 1.0, 2: 1.0, 3: 1.0}, {})
    first = attempts.handle_event(RequestReceived(), 0, choices, 0.1)
    on_disconnect = attempts.handle_event(ClientDisconnected(), 1, choices, 0.1)
    assert isinstance(first, SendAttempt)
    assert isinstance(on_disconnect, CancelAttempts) == safe
    assert isinstance(attempts.handle_event(TimerExpired(), SECOND, choices, 0.1), Wait)
    ended = AttemptEnded(1, CANCELLED if safe else FAILED, 0)
    command = attempts.handle_event(ended, SECOND, choices, 0.1)
    assert isinstance(command, RejectRequest)
    assert command.status == 502
    assert len(attempts.attempts) == 1
