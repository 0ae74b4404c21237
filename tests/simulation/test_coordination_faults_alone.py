"""Guards of the replicated log whose absence the scenario of `lab coordination` does not find."""

from __future__ import annotations

import pytest

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.effects import Effect
from meadowworks.consensus.log_host import OwnAppend, OwnVote
from meadowworks.consensus.log_messages import AppendReply, LogRequest, LogVoteReply
from meadowworks.consensus.log_replica import LogReplica
from meadowworks.consensus.log_timing import MAX_ELECTION_TIMEOUT_NS
from meadowworks.consensus.replicated_log import Entry, ReplicatedLog
from meadowworks.consensus.values import NOTHING_COMMITTED, Epoch, Term
from meadowworks.simulation.coordination.seeded_faults import seeded_fault

MEMBERS = tuple((name, f"{name}:1") for name in "abcde")
EARLIER_TERM, LEADER_TERM = Term(1, 1), Term(1, 2)


class RecordingHost:
    """A host of member `a` that drops effects and requests, and records what waits for the disk."""

    def __init__(self, log: ReplicatedLog) -> None:
        epoch = Epoch(1, MEMBERS)
        self.acceptor = Acceptor("a", "a:1", "", True, 1, epoch, True, None, NOTHING_COMMITTED, {}, {})
        self.acceptor.log = log
        self.deferred: list[OwnVote | OwnAppend] = []

    def emit(self, effect: Effect) -> None:
        pass

    def send_log_request(self, member_id: str, address: str, request: LogRequest) -> None:
        pass

    def reads_positions(self, member_id: str) -> bool:
        return True

    def defer_until_durable(self, item: OwnVote | OwnAppend) -> None:
        self.deferred.append(item)

    def random_fraction(self) -> float:
        return 0.5

    def log(self, event: str, **fields: str | int) -> None:
        pass


def leader_with_entry_of_earlier_term() -> LogReplica:
    log = ReplicatedLog(epoch=1, term=EARLIER_TERM, entries=[Entry(EARLIER_TERM, b"entry")])
    host = RecordingHost(log)
    leader = LogReplica(host, log)
    leader.start(0)
    now_ns = MAX_ELECTION_TIMEOUT_NS
    leader.tick(now_ns)
    for is_pre_vote in (True, False):
        for member in "bc":
            leader.on_reply(now_ns, member, LogVoteReply(log.term, LEADER_TERM, is_pre_vote, True))
        leader.on_durable(now_ns, host.deferred.pop())
    assert leader.is_leader
    assert leader.own_durable_index == 2
    return leader


def commit_index_after_replies(last_index: int) -> int:
    leader = leader_with_entry_of_earlier_term()
    for member in "bcd":
        reply = AppendReply(LEADER_TERM, True, last_index, round_number=0)
        leader.on_reply(MAX_ELECTION_TIMEOUT_NS, member, reply)
    return leader.commit_index


@pytest.mark.parametrize(("last_index", "commit_index"), [(1, 0), (2, 2)])
def test_entry_of_an_earlier_term_is_committed_with_one_of_the_own_term(
    last_index: int, commit_index: int
) -> None:
    assert commit_index_after_replies(last_index) == commit_index


def test_planted_fault_commits_it_by_counting() -> None:
    with seeded_fault("own-term"):
        assert commit_index_after_replies(1) == 1
