"""What follows from the end of an attempt, from time that passes, and from a client that goes."""

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


class RetriesAllowed:
    """A retry budget that allows all, or none."""

    def __init__(self, allowed: bool = True) -> None:
        self.allowed = allowed

    def take_retry(self, now: int) -> bool:
        return self.allowed


def attempts_of(
    safe: bool, target_ns: int = SECOND, limit_ns: int = 2 * SECOND, tries: int = 2, retries: bool = True
) -> RequestAttempts:
    rules, policy = route_retry_policy(safe, limit_ns, target_ns), choose_retry_policy(safe, tries, False)
    return RequestAttempts(rules, policy, limit_ns, RetriesAllowed(retries))


ENDS = {
    "no connection": (NEVER_RAN, 0),
    "a reset": (FAILED, 0),
    "503 stating not run": (outcome_of_status(503, True), 503),
    "421": (outcome_of_status(421, False), 421),
    "a bare 503": (outcome_of_status(503, False), 503),
    "a bare 429": (outcome_of_status(429, False), 429),
    "500": (outcome_of_status(500, False), 500),
    "200": (outcome_of_status(200, False), 200),
}


@given(parsers.parse("a {kind} request with two backends and {tries:d} tries"), target_fixture="attempts")
def a_request(kind: str, tries: int) -> RequestAttempts:
    safe = kind == "safe"
    return attempts_of(safe, tries=tries)


@when(parsers.parse("its first try ends by {end}"), target_fixture="command")
def first_ends(attempts: RequestAttempts, end: str) -> Any:
    first = attempts.handle_event(RequestReceived(), 0, CHOICES, 0.3)
    assert isinstance(first, SendAttempt)
    state, status = ENDS[end]
    return attempts.handle_event(AttemptEnded(first.number, state, status), 1000, CHOICES, 0.3)


@then(parsers.parse("it is {outcome}"))
def it_is(attempts: RequestAttempts, command: Any, outcome: str) -> None:
    if outcome == "sent elsewhere":
        assert isinstance(command, SendAttempt)
        assert command.endpoint != attempts.attempts[1].backend
        return
    word, status = outcome.split()
    if word == "forwarded":
        assert isinstance(command, ForwardResponse)
        assert command.number == 1
        return
    assert isinstance(command, RejectRequest)
    assert command.status == int(status)
    assert (command.retry_after_ns > 0) == (
        command.status == 503
    )  # who was not run is told when to come back


def test_a_silent_safe_attempt_has_another_beside_it_and_the_first_response_counts() -> None:
    attempts = attempts_of(True, SECOND // 2)
    first = attempts.handle_event(RequestReceived(), 0, CHOICES, 0.1)
    assert isinstance(first, SendAttempt)
    assert first.wait_until_ns == SECOND // 4
    full = attempts.handle_event(TimerExpired(), first.wait_until_ns, NO_FREE_SLOT, 0.1)
    assert full == Wait(SECOND // 2)  # it would take another's turn
    second = attempts.handle_event(TimerExpired(), SECOND // 2, NO_FREE_SLOT, 0.1)
    assert isinstance(second, SendAttempt)
    assert second.endpoint != first.endpoint
    not_run = AttemptEnded(second.number, NEVER_RAN, 503)
    assert isinstance(attempts.handle_event(not_run, SECOND, CHOICES, 0.1), Wait)
    answered = AttemptEnded(first.number, ANSWERED, 200)
    assert isinstance(attempts.handle_event(answered, SECOND, CHOICES, 0.1), ForwardResponse)


def test_a_silent_unsafe_attempt_is_waited_for_alone_and_never_promised_not_to_have_run() -> None:
    attempts = attempts_of(False, SECOND // 2)
    first = attempts.handle_event(RequestReceived(), 0, CHOICES, 0.1)
    assert isinstance(first, SendAttempt)
    assert first.wait_until_ns == 2 * SECOND
    command = attempts.handle_event(TimerExpired(), 2 * SECOND, CHOICES, 0.1)
    assert isinstance(command, RejectRequest)
    assert (command.status, command.retry_after_ns) == (504, 0)


def test_without_a_retry_left_in_the_budget_no_further_attempt_is_sent() -> None:
    attempts = attempts_of(True, retries=False)
    attempts.handle_event(RequestReceived(), 0, CHOICES, 0.1)
    command = attempts.handle_event(AttemptEnded(1, FAILED, 0), 1, CHOICES, 0.1)
    assert isinstance(command, RejectRequest)
    assert command.status == 502
    budget = RetryBudget(0.2, 10 * SECOND)
    for k in range(100):
        budget.record_request(k)
    taken = sum(budget.take_retry(1000) for _ in range(100))
    assert 10 <= taken <= 0.2 * 100 + 2
    assert not budget.take_retry(1000)
    assert budget.take_retry(11 * SECOND)  # the window has moved on


def test_with_no_hope_of_an_response_in_time_it_is_rejected_at_once() -> None:
    attempts = attempts_of(False, SECOND, SECOND)
    slow = CHOICES._replace(delays_ns={1: 3.0 * SECOND, 2: 3.0 * SECOND})
    command = attempts.handle_event(RequestReceived(), 0, slow, 0.1)
    assert isinstance(command, RejectRequest)
    assert command.status == 503
    assert command.retry_after_ns < SECOND


@pytest.mark.parametrize("safe", [True, False])
def test_for_a_client_that_has_gone_nothing_more_is_sent(safe: bool) -> None:
    rules, policy = route_retry_policy(safe, 2 * SECOND, SECOND // 2), choose_retry_policy(safe, 3, False)
    attempts = RequestAttempts(rules, policy, 2 * SECOND, RetryBudget(1.0, 10 * SECOND))
    choices = EndpointChoices({1: 1.0, 2: 1.0, 3: 1.0}, {})
    first = attempts.handle_event(RequestReceived(), 0, choices, 0.1)
    left = attempts.handle_event(ClientDisconnected(), 1, choices, 0.1)
    assert isinstance(first, SendAttempt)
    assert isinstance(left, CancelAttempts) == safe
    assert isinstance(attempts.handle_event(TimerExpired(), SECOND, choices, 0.1), Wait)
    ended = AttemptEnded(1, CANCELLED if safe else FAILED, 0)
    command = attempts.handle_event(ended, SECOND, choices, 0.1)
    assert isinstance(command, RejectRequest)
    assert command.status == 502
    assert len(attempts.attempts) == 1
