"""A read ends once a majority has answered or no majority can be reached."""

from __future__ import annotations

from meadowworks.consensus.effects import CompleteOperation, SendRequest, Undecided
from meadowworks.consensus.quorum_read import QuorumRead
from meadowworks.consensus.replica import Replica
from tests.consensus.helpers import ABC, member, started_replica

DEADLINE_NS = 800_000_000


def begin_read(now_ns: int) -> tuple[Replica, list[SendRequest]]:
    replica = started_replica(member("a"))
    replica.tick(now_ns)
    replica.take_effects()
    replica.read(now_ns, 1, now_ns + DEADLINE_NS)
    return replica, [effect for effect in replica.take_effects() if isinstance(effect, SendRequest)]


def outcomes(replica: Replica) -> list[object]:
    return [effect.outcome for effect in replica.take_effects() if isinstance(effect, CompleteOperation)]


def test_a_read_ends_at_once_when_no_majority_can_be_reached() -> None:
    replica, (first, second) = begin_read(1)
    replica.on_request_failed(2, first.request_id)
    assert outcomes(replica) == []  # a majority is still possible
    replica.on_request_failed(3, second.request_id)
    (outcome,) = outcomes(replica)
    assert isinstance(outcome, Undecided)


def test_a_read_returns_the_committed_value_of_a_majority() -> None:
    replica, (first, second) = begin_read(1)
    replica.on_request_failed(2, first.request_id)
    replica.on_reply(3, second.request_id, "c", member("c").query_reply())
    assert outcomes(replica) == [replica.acceptor.committed]


def test_a_member_that_answers_after_a_failure_counts_again() -> None:
    read = QuorumRead(ABC)
    assert not read.on_failure("b")
    read.on_reply("b", member("b").query_reply())
    assert not read.on_failure("c")
    assert not read.on_failure("b")  # a late failure of an earlier request
    assert read.on_reply("a", member("a").query_reply())
    assert read.outcome is not None
