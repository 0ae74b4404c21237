"""A member whose disk refuses writes or does not end them: no vote, no lease, bounded queues, a way back."""

from __future__ import annotations

import pytest

from meadowworks.consensus.effects import CompleteOperation, LogEntry, Persist, SendReply, Undecided
from meadowworks.consensus.messages import NotAMemberReply, PrepareRequest, PromiseReply
from meadowworks.consensus.replica import Replica
from meadowworks.consensus.timing import DISK_FAILURE_TIMEOUT_NS, WRITE_RETRY_DELAY_NS
from meadowworks.consensus.values import Ballot
from meadowworks.consensus.write_queue import MAX_AWAITING_WRITE
from tests.consensus.helpers import member, started_replica

STEP_NS = WRITE_RETRY_DELAY_NS // 2


def hear_from_all(replica: Replica, now_ns: int) -> None:
    for member_id in ("b", "c"):
        replica.on_query_reply(now_ns, now_ns, member(member_id).query_reply())


def prepare(number: int) -> PrepareRequest:
    return PrepareRequest(1, 5, Ballot(1, number, "b.1"))


def run(replica: Replica, from_ns: int, until_ns: int, refuses: bool) -> list[Persist]:
    """Let time pass with a disk that refuses each write, or ends none; the writes that were handed out."""
    writes = []
    for now_ns in range(from_ns, until_ns, STEP_NS):
        replica.tick(now_ns)
        for effect in replica.take_effects():
            if isinstance(effect, Persist):
                writes.append(effect)
                if refuses:
                    replica.on_persist_failed(now_ns, effect.write_id)
    return writes


def failed_replica(refuses: bool) -> tuple[Replica, list[Persist], int]:
    """A member that has been asked for a promise and cannot write it, a while later."""
    replica = started_replica(member("a"))
    replica.tick(1)
    hear_from_all(replica, 1)
    assert replica.holds_lease(2)
    replica.on_request(2, "first", prepare(1))
    write = next(effect for effect in replica.take_effects() if isinstance(effect, Persist))
    if refuses:
        replica.on_persist_failed(2, write.write_id)
    writes = [write, *run(replica, 3, DISK_FAILURE_TIMEOUT_NS + 4 * STEP_NS, refuses)]
    now_ns = DISK_FAILURE_TIMEOUT_NS + 4 * STEP_NS
    hear_from_all(replica, now_ns)
    return replica, writes, now_ns


@pytest.mark.parametrize("refuses", [True, False])
def test_a_disk_that_takes_no_writes_costs_vote_and_lease(refuses: bool) -> None:
    replica, _, now_ns = failed_replica(refuses)
    assert not replica.acceptor.may_vote()
    assert not replica.holds_lease(now_ns)
    said = replica.acceptor.query_reply()
    assert not said.may_vote
    assert not said.is_eligible  # so the others may replace it at once
    assert replica.status(now_ns)["disk_failed"] is True
    replica.propose(now_ns, 7, 9, b"nine", now_ns + 10**9)
    outcomes = [effect for effect in replica.take_effects() if isinstance(effect, CompleteOperation)]
    assert len(outcomes) == 1
    assert isinstance(outcomes[0].outcome, Undecided)  # at once


@pytest.mark.parametrize("refuses", [True, False])
def test_requests_to_it_are_answered_at_once_and_do_not_pile_up(refuses: bool) -> None:
    replica, _, now_ns = failed_replica(refuses)
    waiting = len(replica.writes.awaiting_write)
    for number in range(300):
        replica.on_request(now_ns, number, prepare(number + 2))
    replies = [effect for effect in replica.take_effects() if isinstance(effect, SendReply)]
    assert len(replies) == 300
    assert all(isinstance(one.reply, NotAMemberReply) for one in replies)
    assert len(replica.writes.awaiting_write) == waiting


@pytest.mark.parametrize("refuses", [True, False])
def test_it_comes_back_without_a_restart_when_the_disk_works_again(refuses: bool) -> None:
    replica, writes, now_ns = failed_replica(refuses)
    assert len({write.write_id for write in writes}) == 1  # the same write, tried again where it was refused
    assert (len(writes) > 2) == refuses
    replica.on_persisted(now_ns, writes[-1].write_id)
    effects = replica.take_effects()
    assert [effect.event for effect in effects if isinstance(effect, LogEntry)] == ["disk_recovered"]
    reply = next(effect for effect in effects if isinstance(effect, SendReply))
    assert isinstance(reply.reply, PromiseReply)  # what has waited for the write is said now
    hear_from_all(replica, now_ns)
    assert replica.acceptor.may_vote()
    assert replica.holds_lease(now_ns)
    assert "disk_failed" not in replica.status(now_ns)


def test_what_waits_for_a_write_is_bounded_in_number() -> None:
    replica = started_replica(member("a"))
    for number in range(MAX_AWAITING_WRITE + 5):
        replica.on_request(2, number, prepare(number + 1))
    refused = [effect for effect in replica.take_effects() if isinstance(effect, SendReply)]
    assert [one.ticket for one in refused] == list(range(MAX_AWAITING_WRITE, MAX_AWAITING_WRITE + 5))
    assert len(replica.writes.awaiting_write) == MAX_AWAITING_WRITE


def test_its_failure_is_logged_once() -> None:
    replica = started_replica(member("a"))
    replica.on_request(2, "first", prepare(1))
    replica.take_effects()
    logged = []
    for now_ns in range(3, 5 * DISK_FAILURE_TIMEOUT_NS, STEP_NS):
        replica.tick(now_ns)
        logged += [effect.event for effect in replica.take_effects() if isinstance(effect, LogEntry)]
    assert logged.count("disk_failed") == 1


@pytest.mark.parametrize("frozen", [False, True])
def test_neither_a_slow_disk_nor_a_frozen_process_is_a_failed_disk(frozen: bool) -> None:
    replica = started_replica(member("a"))
    replica.tick(1)
    replica.take_effects()
    replica.on_request(1, "first", prepare(1))
    write = next(effect for effect in replica.take_effects() if isinstance(effect, Persist))
    now_ns = 10 * DISK_FAILURE_TIMEOUT_NS if frozen else DISK_FAILURE_TIMEOUT_NS
    if not frozen:
        run(replica, 2, now_ns, refuses=False)
    replica.tick(now_ns)  # the write's end is reported after it
    assert replica.acceptor.may_vote()
    replica.on_persisted(now_ns, write.write_id)
    assert replica.acceptor.may_vote()
