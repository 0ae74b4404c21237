"""The state machine of a proxy's calls, on inputs that are drawn."""

from __future__ import annotations

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from meadowworks.attempts.machine import NO_RETRY_NS, AttemptMachine, FinalReply
from meadowworks.attempts.retry_policy import (
    ANSWERED,
    FAILED,
    MAX_RETRIES,
    NEVER_RAN,
    RouteRetryPolicy,
)

MS = 1_000_000


SAFE, ONCE = (
    RouteRetryPolicy(True, 1000 * MS, 200 * MS, 50 * MS, 500 * MS),
    RouteRetryPolicy(False, 1000 * MS, 200 * MS, 50 * MS, 500 * MS),
)


LINES = {1: 1.0, 2: 1.0, 3: 2.0}


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
        assert len(machine.finished_calls) <= 2 and all(len(numbers) <= 1 for numbers in unproven.values())
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
