"""Decisions of the retry policy."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from meadowworks.attempts.retry_policy import (
    FAILED,
    MAY_HAVE_RUN,
    NEVER_RAN,
    NO_OTHER_BACKEND,
    OVERDUE,
    RETRIES_EXHAUSTED,
    TOO_LITTLE_TIME,
    Attempt,
    NoRetry,
    Retry,
    RouteRetryPolicy,
    attempt_wait_ns,
    decide_retry,
    pick_by_weight,
    retry_after_ns,
)

MS = 1_000_000

IDEMPOTENT, NOT_IDEMPOTENT = (
    RouteRetryPolicy(True, 1000 * MS, 200 * MS, 50 * MS, 500 * MS),
    RouteRetryPolicy(False, 1000 * MS, 200 * MS, 50 * MS, 500 * MS),
)

WEIGHTS = {1: 1.0, 2: 1.0, 3: 2.0}


@pytest.mark.parametrize(
    ("route_policy", "retry_policy", "states", "remaining_ms", "weights", "expected"),
    [
        (IDEMPOTENT, 0, [NEVER_RAN], 900, WEIGHTS, RETRIES_EXHAUSTED),
        (IDEMPOTENT, 1, [FAILED], 900, WEIGHTS, MAY_HAVE_RUN),
        (IDEMPOTENT, 2, [FAILED], 900, WEIGHTS, Retry(2)),
        (IDEMPOTENT, 2, [FAILED, FAILED], 900, WEIGHTS, RETRIES_EXHAUSTED),
        (IDEMPOTENT, 3, [OVERDUE, FAILED], 900, WEIGHTS, Retry(3)),
        (IDEMPOTENT, 3, [FAILED, FAILED, FAILED], 900, WEIGHTS | {4: 1.0}, RETRIES_EXHAUSTED),
        (NOT_IDEMPOTENT, 3, [FAILED], 900, WEIGHTS, MAY_HAVE_RUN),
        (NOT_IDEMPOTENT, 3, [OVERDUE], 900, WEIGHTS, MAY_HAVE_RUN),
        (NOT_IDEMPOTENT, 3, [NEVER_RAN, FAILED], 900, WEIGHTS, MAY_HAVE_RUN),
        (NOT_IDEMPOTENT, 1, [NEVER_RAN], 900, WEIGHTS, Retry(2)),
        (NOT_IDEMPOTENT, 1, [NEVER_RAN], 49, WEIGHTS, TOO_LITTLE_TIME),
        (NOT_IDEMPOTENT, 1, [NEVER_RAN], 900, {1: 1.0}, NO_OTHER_BACKEND),
        (NOT_IDEMPOTENT, 1, [NEVER_RAN], 900, {1: 1.0, 2: 0.0}, NO_OTHER_BACKEND),
    ],
)
def test_retry_depends_on_policy_idempotence_proof_time_and_table(
    route_policy: RouteRetryPolicy,
    retry_policy: int,
    states: list[int],
    remaining_ms: int,
    weights: dict[int, float],
    expected: Retry | NoRetry,
) -> None:
    attempts = [Attempt(backend, state, 0) for backend, state in enumerate(states, 1)]
    assert decide_retry(route_policy, retry_policy, attempts, weights, remaining_ms * MS, 0.0) == expected


@settings(derandomize=True, database=None, deadline=None)
@given(
    st.dictionaries(st.integers(0, 9), st.floats(0, 9)),
    st.sets(st.integers(0, 9)),
    st.floats(0, 1, exclude_max=True),
)
def test_pick_by_weight_returns_an_untried_backend_with_a_weight(
    weights: dict[int, float], tried: set[int], random_fraction: float
) -> None:
    picked = pick_by_weight(weights, tried, random_fraction)
    candidates = {backend for backend, weight in weights.items() if weight > 0} - tried
    assert picked in candidates if candidates else picked is None


def test_picks_are_proportional_to_the_weights() -> None:
    counts = {b: sum(pick_by_weight(WEIGHTS, (), k / 400) == b for k in range(400)) for b in WEIGHTS}
    assert counts == {1: 100, 2: 100, 3: 200}


def test_wait_for_an_attempt_is_limited_only_if_a_retry_may_follow() -> None:
    assert attempt_wait_ns(IDEMPOTENT, 2, [], WEIGHTS, 1000 * MS) == 200 * MS
    for route_policy, retry_policy, weights, remaining_ms in (
        (IDEMPOTENT, 1, WEIGHTS, 1000),
        (NOT_IDEMPOTENT, 3, WEIGHTS, 1000),
        (IDEMPOTENT, 2, {1: 1.0}, 1000),
        (IDEMPOTENT, 3, WEIGHTS, 240),
    ):
        assert (
            attempt_wait_ns(route_policy, retry_policy, [], weights, remaining_ms * MS) == remaining_ms * MS
        )
    assert attempt_wait_ns(IDEMPOTENT, 2, [Attempt(1, OVERDUE, 0)], WEIGHTS, 800 * MS) == 800 * MS


def test_retry_delay_is_random_and_longer_at_lower_admission_ratios() -> None:
    assert retry_after_ns(MS, 1.0, 0.0) == MS and retry_after_ns(MS, 0.5, 0.0) == 2 * MS
    assert retry_after_ns(MS, 0.0, 0.0) == 10 * MS and retry_after_ns(MS, 1.0, 0.5) == 1.5 * MS
