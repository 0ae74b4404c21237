"""The decision whether a call is retried, and where."""

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


SAFE, ONCE = (
    RouteRetryPolicy(True, 1000 * MS, 200 * MS, 50 * MS, 500 * MS),
    RouteRetryPolicy(False, 1000 * MS, 200 * MS, 50 * MS, 500 * MS),
)


LINES = {1: 1.0, 2: 1.0, 3: 2.0}


@pytest.mark.parametrize(
    ("way", "policy", "states", "left_ms", "lines", "found"),
    [
        (SAFE, 0, [NEVER_RAN], 900, LINES, RETRIES_EXHAUSTED),
        (SAFE, 1, [FAILED], 900, LINES, MAY_HAVE_RUN),
        (SAFE, 2, [FAILED], 900, LINES, Retry(2)),
        (SAFE, 2, [FAILED, FAILED], 900, LINES, RETRIES_EXHAUSTED),
        (SAFE, 3, [OVERDUE, FAILED], 900, LINES, Retry(3)),
        (SAFE, 3, [FAILED, FAILED, FAILED], 900, LINES | {4: 1.0}, RETRIES_EXHAUSTED),
        (ONCE, 3, [FAILED], 900, LINES, MAY_HAVE_RUN),
        (ONCE, 3, [OVERDUE], 900, LINES, MAY_HAVE_RUN),
        (ONCE, 3, [NEVER_RAN, FAILED], 900, LINES, MAY_HAVE_RUN),
        (ONCE, 1, [NEVER_RAN], 900, LINES, Retry(2)),
        (ONCE, 1, [NEVER_RAN], 49, LINES, TOO_LITTLE_TIME),
        (ONCE, 1, [NEVER_RAN], 900, {1: 1.0}, NO_OTHER_BACKEND),
        (ONCE, 1, [NEVER_RAN], 900, {1: 1.0, 2: 0.0}, NO_OTHER_BACKEND),
    ],
)
def test_a_further_try_only_as_order_kind_proof_time_and_table_allow(
    way: RouteRetryPolicy,
    policy: int,
    states: list[int],
    left_ms: int,
    lines: dict[int, float],
    found: Retry | NoRetry,
) -> None:
    tries = [Attempt(place, state, 0) for place, state in enumerate(states, 1)]
    assert decide_retry(way, policy, tries, lines, left_ms * MS, 0.0) == found


@settings(derandomize=True, database=None, deadline=None)
@given(
    st.dictionaries(st.integers(0, 9), st.floats(0, 9)),
    st.sets(st.integers(0, 9)),
    st.floats(0, 1, exclude_max=True),
)
def test_a_pick_is_a_line_with_weight_that_was_not_tried(
    lines: dict[int, float], tried: set[int], draw: float
) -> None:
    found = pick_by_weight(lines, tried, draw)
    open_to = {place for place, weight in lines.items() if weight > 0} - tried
    assert found in open_to if open_to else found is None


def test_picks_follow_the_weights() -> None:
    counts = {place: sum(pick_by_weight(LINES, (), k / 400) == place for k in range(400)) for place in LINES}
    assert counts == {1: 100, 2: 100, 3: 200}


def test_a_try_is_given_up_early_only_for_one_that_may_follow() -> None:
    assert attempt_wait_ns(SAFE, 2, [], LINES, 1000 * MS) == 200 * MS
    for way, policy, lines, left in (
        (SAFE, 1, LINES, 1000),
        (ONCE, 3, LINES, 1000),
        (SAFE, 2, {1: 1.0}, 1000),
        (SAFE, 3, LINES, 240),
    ):
        assert attempt_wait_ns(way, policy, [], lines, left * MS) == left * MS
    assert attempt_wait_ns(SAFE, 2, [Attempt(1, OVERDUE, 0)], LINES, 800 * MS) == 800 * MS


def test_who_is_turned_away_comes_back_later_the_less_is_let_in_and_not_all_at_once() -> None:
    assert retry_after_ns(MS, 1.0, 0.0) == MS and retry_after_ns(MS, 0.5, 0.0) == 2 * MS
    assert retry_after_ns(MS, 0.0, 0.0) == 10 * MS and retry_after_ns(MS, 1.0, 0.5) == 1.5 * MS
