"""What a replica decides to do from time to time, and after how long."""

from __future__ import annotations

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.lease import LeaseTracker
from meadowworks.consensus.membership_monitor import (
    CompleteReconfiguration,
    Decision,
    FinishVersion,
    InstallLaggingMembers,
    MembershipMonitor,
    ProposeMembers,
)
from meadowworks.consensus.operations import Operation, OperationKind
from meadowworks.consensus.timing import (
    EPOCH_SETTLING_NS,
    FINISH_DELAY_NS,
    MEMBER_SILENCE_TIMEOUT_NS,
    RANK_DELAY_NS,
)
from meadowworks.consensus.values import AcceptorSlot, Ballot, Epoch
from tests.consensus.helpers import ABC, A, B, D, member

SETTLED_NS = EPOCH_SETTLING_NS + 1
BALLOT = Ballot(1, 1, "b.1")


def monitor_of(acceptor: Acceptor, now_ns: int, *heard: str) -> MembershipMonitor:
    """Of a replica that started at 0 and has just heard from members."""
    lease = LeaseTracker(acceptor)
    monitor = MembershipMonitor(acceptor, lease, 1)
    monitor.on_start(0)
    for member_id in heard:
        lease.on_query_reply(now_ns, now_ns, member(member_id).query_reply())
    return monitor


def decide(monitor: MembershipMonitor, now_ns: int) -> list[Decision]:
    return list(monitor.decisions(now_ns, {}, leaving=False))


def test_a_version_that_another_has_begun_is_finished_after_a_while_unless_that_is_under_way() -> None:
    acceptor = member("a")
    acceptor.slots[1] = AcceptorSlot(BALLOT, BALLOT, b"one")
    monitor = monitor_of(acceptor, SETTLED_NS, "b", "c")
    due_ns = SETTLED_NS + FINISH_DELAY_NS
    assert decide(monitor, SETTLED_NS) == [InstallLaggingMembers()]
    assert decide(monitor, due_ns - 1) == [InstallLaggingMembers()]
    operation = Operation(OperationKind.FINISH, 1, None, due_ns + 1, [])
    assert list(monitor.decisions(due_ns, {1: operation}, False)) == [InstallLaggingMembers()]
    assert decide(monitor, due_ns) == [FinishVersion(1), InstallLaggingMembers()]


def test_the_second_member_completes_a_reconfiguration_later_than_the_first() -> None:
    next_epoch = Epoch(2, (A, B, D))
    first, second = member("a"), member("b")
    first.sealed_by = second.sealed_by = next_epoch
    assert decide(monitor_of(first, 0, "b", "c"), 0) == [CompleteReconfiguration(ABC, next_epoch)]
    monitor = monitor_of(second, 0, "a", "c")
    assert decide(monitor, 0) == []
    assert decide(monitor, RANK_DELAY_NS - 1) == []
    assert decide(monitor, RANK_DELAY_NS) == [CompleteReconfiguration(ABC, next_epoch)]


def test_a_candidate_takes_a_silent_members_place_and_a_leaver_proposes_nobody() -> None:
    acceptor = member("a")
    now_ns = MEMBER_SILENCE_TIMEOUT_NS + 1
    monitor = monitor_of(acceptor, now_ns, "b", "d")
    assert monitor.silent_members(now_ns) == ["c"]
    assert monitor.membership_candidates(now_ns) == dict([D])
    assert decide(monitor, now_ns) == [InstallLaggingMembers(), ProposeMembers((A, B, D))]
    assert list(monitor.decisions(now_ns, {}, leaving=True)) == [InstallLaggingMembers()]


def leaving(member_id: str) -> Acceptor:
    acceptor = member(member_id)
    acceptor.is_eligible = False
    return acceptor


def test_a_leaving_member_counts_as_silent_at_once_and_a_newcomer_takes_its_place() -> None:
    acceptor, now_ns = member("a"), SETTLED_NS
    monitor = monitor_of(acceptor, now_ns, "b", "d")
    monitor._lease.on_query_reply(now_ns, now_ns, leaving("c").query_reply())
    assert monitor.silent_members(now_ns) == ["c"]
    assert decide(monitor, now_ns)[-1] == ProposeMembers((A, B, D))
    monitor._lease.on_query_reply(now_ns, now_ns, member("c").query_reply())  # it has started again
    assert monitor.silent_members(now_ns) == []


def test_a_leaving_member_stays_where_nobody_takes_its_place() -> None:
    acceptor, now_ns = member("a"), SETTLED_NS
    monitor = monitor_of(acceptor, now_ns, "b")
    monitor._lease.on_query_reply(now_ns, now_ns, leaving("c").query_reply())
    assert decide(monitor, now_ns) == [InstallLaggingMembers()]


def test_no_membership_is_proposed_whose_majority_needs_a_leaving_member() -> None:
    acceptor, now_ns = member("a"), SETTLED_NS
    monitor = monitor_of(acceptor, now_ns, "d")
    monitor._lease.on_query_reply(now_ns, now_ns, leaving("c").query_reply())
    silent_ns = SETTLED_NS + MEMBER_SILENCE_TIMEOUT_NS
    monitor._lease.on_query_reply(silent_ns, silent_ns, member("d").query_reply())
    assert sorted(monitor.silent_members(silent_ns)) == ["b", "c"]
    desired = monitor.desired_members(silent_ns, monitor.silent_members(silent_ns))
    assert desired is None or len([one for one in desired if one[0] in "ad"]) > len(desired) // 2
