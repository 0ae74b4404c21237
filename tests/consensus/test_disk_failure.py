"""A member whose disk rejects or never completes writes: no vote, no lease, bounded queues, recovery."""

from __future__ import annotations

import pytest

from meadowworks.consensus.effects import CompleteOperation, LogEntry, Persist, SendReply, Undecided
from meadowworks.consensus.messages import NotAMemberReply, PrepareRequest, PromiseReply
from meadowworks.consensus.replica import Replica
from meadowworks.consensus.replicated_log import Entry, ReplicatedLog
from meadowworks.consensus.timing import DISK_FAILURE_TIMEOUT_NS, WRITE_RETRY_DELAY_NS
from meadowworks.consensus.values import Ballot, Term
from meadowworks.consensus.write_queue import MAX_AWAITING_WRITE
from tests.consensus.helpers import member, started_replica

STEP_NS = WRITE_RETRY_DELAY_NS // 2


def reply_from_all(replica: Replica, now_ns: int) -> None:
    for member_id in ("b", "c"):
        replica.on_query_reply(now_ns, now_ns, member(member_id).query_reply())


def prepare(number: int) -> PrepareRequest:
    return PrepareRequest(1, 5, Ballot(1, number, "b.1"))


def run_ticks(replica: Replica, from_ns: int, until_ns: int, rejects: bool) -> list[Persist]:
    """Return the writes issued while the disk rejects every write or completes none."""
    writes = []
    for now_ns in range(from_ns, until_ns, STEP_NS):
        replica.tick(now_ns)
        for effect in replica.take_effects():
            if isinstance(effect, Persist):
                writes.append(effect)
                if rejects:
                    replica.on_persist_failed(now_ns, effect.write_id)
    return writes


def failed_replica(rejects: bool) -> tuple[Replica, list[Persist], int]:
    """Return a member whose promise could not be written in time, with its writes and the current time."""
    replica = started_replica(member("a"))
    replica.tick(1)
    reply_from_all(replica, 1)
    assert replica.holds_lease(2)
    replica.on_request(2, "first", prepare(1))
    write = next(effect for effect in replica.take_effects() if isinstance(effect, Persist))
    if rejects:
        replica.on_persist_failed(2, write.write_id)
    writes = [write, *run_ticks(replica, 3, DISK_FAILURE_TIMEOUT_NS + 4 * STEP_NS, rejects)]
    now_ns = DISK_FAILURE_TIMEOUT_NS + 4 * STEP_NS
    reply_from_all(replica, now_ns)
    return replica, writes, now_ns


# A snapshot of some megabytes takes over a second on a slow disk; all members write theirs at about one time.
def test_a_large_write_has_time_by_its_size() -> None:
    acceptor = member("a")
    acceptor.log = ReplicatedLog(1, Term(1, 1), entries=[Entry(Term(1, 1), b"entry")])
    replica = started_replica(acceptor)
    assert replica.acceptor.log is not None
    replica.acceptor.log.compact(1, bytes(20_000_000))
    replica.flush(1)
    run_ticks(replica, 2, 2 * DISK_FAILURE_TIMEOUT_NS, rejects=False)
    assert not replica.acceptor.disk_failed
    run_ticks(replica, 2 * DISK_FAILURE_TIMEOUT_NS, 4 * DISK_FAILURE_TIMEOUT_NS, rejects=False)
    assert replica.acceptor.disk_failed


@pytest.mark.parametrize("rejects", [True, False])
def test_a_failed_disk_ends_vote_and_lease(rejects: bool) -> None:
    replica, _, now_ns = failed_replica(rejects)
    assert not replica.acceptor.may_vote()
    assert not replica.holds_lease(now_ns)
    reply = replica.acceptor.query_reply()
    assert not reply.may_vote
    assert not reply.is_eligible  # the other members may replace it at once
    assert replica.status(now_ns)["disk_failed"] is True
    replica.propose(now_ns, 7, 9, b"nine", now_ns + 10**9)
    outcomes = [effect for effect in replica.take_effects() if isinstance(effect, CompleteOperation)]
    assert len(outcomes) == 1
    assert isinstance(outcomes[0].outcome, Undecided)  # without waiting for the deadline


@pytest.mark.parametrize("rejects", [True, False])
def test_requests_to_a_failed_disk_are_rejected_at_once_and_not_queued(rejects: bool) -> None:
    replica, _, now_ns = failed_replica(rejects)
    waiting_count = len(replica.writes.awaiting_write)
    for number in range(300):
        replica.on_request(now_ns, number, prepare(number + 2))
    replies = [effect for effect in replica.take_effects() if isinstance(effect, SendReply)]
    assert len(replies) == 300
    assert all(isinstance(effect.reply, NotAMemberReply) for effect in replies)
    assert len(replica.writes.awaiting_write) == waiting_count


@pytest.mark.parametrize("rejects", [True, False])
def test_a_member_recovers_without_a_restart_when_the_disk_recovers(rejects: bool) -> None:
    replica, writes, now_ns = failed_replica(rejects)
    assert len({write.write_id for write in writes}) == 1  # a rejected write is retried under its id
    assert (len(writes) > 2) == rejects
    replica.on_persisted(now_ns, writes[-1].write_id)
    effects = replica.take_effects()
    assert [effect.event for effect in effects if isinstance(effect, LogEntry)] == ["disk_recovered"]
    reply = next(effect for effect in effects if isinstance(effect, SendReply))
    assert isinstance(reply.reply, PromiseReply)  # the reply that waited for the write
    reply_from_all(replica, now_ns)
    assert replica.acceptor.may_vote()
    assert replica.holds_lease(now_ns)
    assert "disk_failed" not in replica.status(now_ns)


def test_the_number_of_replies_that_wait_for_a_write_is_bounded() -> None:
    replica = started_replica(member("a"))
    for number in range(MAX_AWAITING_WRITE + 5):
        replica.on_request(2, number, prepare(number + 1))
    rejected = [effect for effect in replica.take_effects() if isinstance(effect, SendReply)]
    assert [effect.ticket for effect in rejected] == list(range(MAX_AWAITING_WRITE, MAX_AWAITING_WRITE + 5))
    assert len(replica.writes.awaiting_write) == MAX_AWAITING_WRITE


def test_a_disk_failure_is_logged_once() -> None:
    replica = started_replica(member("a"))
    replica.on_request(2, "first", prepare(1))
    replica.take_effects()
    logged = []
    for now_ns in range(3, 5 * DISK_FAILURE_TIMEOUT_NS, STEP_NS):
        replica.tick(now_ns)
        logged += [effect.event for effect in replica.take_effects() if isinstance(effect, LogEntry)]
    assert logged.count("disk_failed") == 1


@pytest.mark.parametrize("suspended", [False, True])
def test_a_slow_disk_or_a_suspended_process_is_not_a_failed_disk(suspended: bool) -> None:
    replica = started_replica(member("a"))
    replica.tick(1)
    replica.take_effects()
    replica.on_request(1, "first", prepare(1))
    write = next(effect for effect in replica.take_effects() if isinstance(effect, Persist))
    now_ns = 10 * DISK_FAILURE_TIMEOUT_NS if suspended else DISK_FAILURE_TIMEOUT_NS
    if not suspended:
        run_ticks(replica, 2, now_ns, rejects=False)
    replica.tick(now_ns)  # before the completion of the write is reported
    assert replica.acceptor.may_vote()
    replica.on_persisted(now_ns, write.write_id)
    assert replica.acceptor.may_vote()
