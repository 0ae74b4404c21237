"""`AttemptMachine` on random events, and regression tests."""

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

IDEMPOTENT, NOT_IDEMPOTENT = (
    RouteRetryPolicy(True, 1000 * MS, 200 * MS, 50 * MS, 500 * MS),
    RouteRetryPolicy(False, 1000 * MS, 200 * MS, 50 * MS, 500 * MS),
)

WEIGHTS = {1: 1.0, 2: 1.0, 3: 2.0}


class RecordingHost:
    """A host that records attempts by number, replies by waiter, and counted events."""

    def __init__(self) -> None:
        self.sent: dict[int, tuple[int, int]] = {}
        self.replies: dict[int, list[FinalReply]] = {}
        self.events: list[str] = []

    def send(self, key: int, number: int, backend: int) -> None:
        self.sent[number] = key, backend

    def cancel(self, number: int) -> None:
        assert number in self.sent

    def reply(self, key: int, waiter: int, reply: FinalReply) -> None:
        self.replies.setdefault(waiter, []).append(reply)

    def count(self, event: str) -> None:
        self.events.append(event)


def new_machine(max_kept_replies: int = 4) -> tuple[RecordingHost, AttemptMachine]:
    host = RecordingHost()
    machine = AttemptMachine(host, (IDEMPOTENT, NOT_IDEMPOTENT), 1000 * MS, max_kept_replies, 7)
    for route in (0, 1):
        machine.on_table(route, dict(WEIGHTS), 1.0, 3)
    return host, machine


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
def test_random_events_keep_the_invariants_in_larger_worlds_than_the_explored_ones(steps: list[Any]) -> None:
    host, machine = new_machine(max_kept_replies=2)
    now = waiter = 0
    # By call that is not idempotent: attempts without proof that they never ran.
    unproven: dict[int, set[int]] = {}
    requests: dict[int, int] = {}  # key of the call by waiter
    ended: set[int] = set()
    for kind, *arguments in [*steps, ("pass", 2000)]:
        before = set(host.sent)
        if kind == "came":
            key = 10 * arguments[1] + arguments[0]
            earlier = [host.replies.get(w, []) for w, k in requests.items() if k == key]
            if any(replies and replies[0].retry_after_ns == NO_RETRY_NS for replies in earlier):
                continue  # the client must not retry
            waiter += 1
            requests[waiter] = key
            # A client without a final reply marks its next request as a repeat.
            machine.on_request(
                now, key, arguments[1], waiter, arguments[2] or any(not replies for replies in earlier)
            )
        elif kind == "reply" and arguments[0] in host.sent and arguments[0] not in ended:
            ended.add(arguments[0])
            key = host.sent[arguments[0]][0]
            if arguments[1] == NEVER_RAN:
                unproven.get(key, set()).discard(arguments[0])
            machine.on_attempt_ended(now, key, arguments[0], arguments[1])
        elif kind == "leave" and arguments[0] in requests:
            machine.on_client_gone(now, requests[arguments[0]], arguments[0])
        elif kind == "pass":
            now += arguments[0] * MS
            machine.tick(now)
        elif kind == "lines":
            for route in (0, 1):
                machine.on_table(route, {b: 1.0 for b in arguments[0]}, arguments[2], arguments[1])
        for number in set(host.sent) - before:
            key, backend = host.sent[number]
            assert backend in machine.tables[key // 10].weights
            if key >= 10:
                unproven.setdefault(key, set()).add(number)
        assert len(machine.finished_calls) <= 2 and all(len(numbers) <= 1 for numbers in unproven.values())
    assert all(len(replies) == 1 for replies in host.replies.values())
    assert all(call.outcome for call in machine.calls.values())  # all deadlines have passed
    assert all(len(call.attempts) <= 1 + max(MAX_RETRIES) for call in machine.calls.values())


def test_call_that_is_not_idempotent_continues_after_its_client_has_left() -> None:
    host, machine = new_machine()
    machine.on_request(0, 5, 1, 1, False)
    machine.on_client_gone(1, 5, 1)
    machine.on_attempt_ended(2, 5, 1, ANSWERED)
    machine.on_request(3, 5, 1, 2, True)
    assert (
        list(host.replies) == [2]
        and host.replies[2] == [FinalReply("answered", True, NO_RETRY_NS)]
        and len(host.sent) == 1
    )


def test_reply_to_an_earlier_call_with_the_same_key_is_ignored() -> None:
    host, machine = new_machine()
    machine.on_request(0, 5, 0, 1, False)
    machine.on_attempt_ended(1, 5, 1, FAILED)
    machine.on_attempt_ended(2, 5, 2, FAILED)
    machine.on_attempt_ended(3, 5, 3, FAILED)  # given up, then requested again
    machine.on_request(4, 5, 0, 2, False)
    machine.on_attempt_ended(5, 5, 1, ANSWERED)
    assert 2 not in host.replies and host.events == ["replies to unknown attempts"]
    machine.on_attempt_ended(6, 5, 4, ANSWERED)
    assert host.replies[2][0].kind == "answered"
