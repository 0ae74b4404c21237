"""The life of calls: the decision by itself, and the machine on inputs that are drawn."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from meadowworks.attempts.machine import NO_RETRY_NS, AttemptMachine, FinalReply
from meadowworks.attempts.retry_policy import (
    ANSWERED,
    FAILED,
    MAX_RETRIES,
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


class Wire:
    """The machine's host: what it sent, and what was told to whom."""

    def __init__(self) -> None:
        self.sent: dict[int, tuple[int, int]] = {}
        self.told: dict[int, list[FinalReply]] = {}
        self.notes: list[str] = []

    def send(self, key: int, number: int, backend: int) -> None:
        self.sent[number] = key, backend

    def cancel(self, number: int) -> None:
        assert number in self.sent

    def reply(self, key: int, asker: int, told: FinalReply) -> None:
        self.told.setdefault(asker, []).append(told)

    def count(self, what: str) -> None:
        self.notes.append(what)


def proxy(kept: int = 4) -> tuple[Wire, AttemptMachine]:
    wire = Wire()
    machine = AttemptMachine(wire, (SAFE, ONCE), 1000 * MS, kept, 7)
    for route in (0, 1):
        machine.on_table(route, dict(LINES), 1.0, 3)
    return wire, machine


STEP = st.one_of(
    st.tuples(st.just("came"), st.integers(0, 3), st.integers(0, 1), st.booleans()),
    st.tuples(st.just("reply"), st.integers(1, 12), st.sampled_from([ANSWERED, NEVER_RAN, FAILED])),
    st.tuples(st.just("leave"), st.integers(0, 20)),
    st.tuples(st.just("pass"), st.integers(1, 300)),
    st.tuples(
        st.just("lines"), st.sets(st.integers(1, 3)), st.integers(0, 3), st.sampled_from([0.0, 0.5, 1.0])
    ),
)


@settings(derandomize=True, database=None, deadline=None, max_examples=300)
@given(st.lists(STEP, max_size=40))
def test_larger_than_the_explored_worlds_the_machine_keeps_the_same_promises(steps: list[Any]) -> None:
    wire, machine = proxy(kept=2)
    now = asker = 0
    unproven: dict[int, set[int]] = {}  # tries of each mutating call without proof that they never ran
    asked: dict[int, int] = {}
    replied: set[int] = set()
    for kind, *what in [*steps, ("pass", 2000)]:
        before = set(wire.sent)
        if kind == "came":
            key = 10 * what[1] + what[0]
            earlier = [wire.told.get(a, []) for a, k in asked.items() if k == key]
            if any(told and told[0].retry_after_ns == NO_RETRY_NS for told in earlier):
                continue  # it was told not to come again
            asker += 1
            asked[asker] = key
            # A client that was told nothing final says so when it asks again.
            machine.on_request(now, key, what[1], asker, what[2] or any(not told for told in earlier))
        elif kind == "reply" and what[0] in wire.sent and what[0] not in replied:
            replied.add(what[0])
            key = wire.sent[what[0]][0]
            if what[1] == NEVER_RAN:
                unproven.get(key, set()).discard(what[0])
            machine.on_attempt_ended(now, key, what[0], what[1])
        elif kind == "leave" and what[0] in asked:
            machine.on_client_gone(now, asked[what[0]], what[0])
        elif kind == "pass":
            now += what[0] * MS
            machine.tick(now)
        elif kind == "lines":
            for route in (0, 1):
                machine.on_table(route, {b: 1.0 for b in what[0]}, what[2], what[1])
        for number in set(wire.sent) - before:
            key, backend = wire.sent[number]
            assert backend in machine.tables[key // 10].weights
            if key >= 10:
                unproven.setdefault(key, set()).add(number)
        assert len(machine.kept) <= 2 and all(len(numbers) <= 1 for numbers in unproven.values())
    assert all(len(told) == 1 for told in wire.told.values())
    assert all(call.outcome for call in machine.calls.values())  # time has gone by: nothing is open
    assert all(len(call.attempts) <= 1 + max(MAX_RETRIES) for call in machine.calls.values())


def test_a_mutating_call_that_its_client_left_is_heard_out_for_the_clients_repeat() -> None:
    wire, machine = proxy()
    machine.on_request(0, 5, 1, 1, False)
    machine.on_client_gone(1, 5, 1)
    machine.on_attempt_ended(2, 5, 1, ANSWERED)
    machine.on_request(3, 5, 1, 2, True)
    assert (
        list(wire.told) == [2]
        and wire.told[2] == [FinalReply("answered", True, NO_RETRY_NS)]
        and len(wire.sent) == 1
    )


def test_a_reply_to_an_earlier_life_of_a_key_is_not_this_ones() -> None:
    wire, machine = proxy()
    machine.on_request(0, 5, 0, 1, False)
    machine.on_attempt_ended(1, 5, 1, FAILED)
    machine.on_attempt_ended(2, 5, 2, FAILED)
    machine.on_attempt_ended(3, 5, 3, FAILED)  # given up, and asked for anew
    machine.on_request(4, 5, 0, 2, False)
    machine.on_attempt_ended(5, 5, 1, ANSWERED)
    assert 2 not in wire.told and wire.notes == ["replies to calls that are forgotten"]
    machine.on_attempt_ended(6, 5, 4, ANSWERED)
    assert wire.told[2][0].kind == "answered"
