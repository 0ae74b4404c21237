"""Periodic decisions of a replica, and the delays before them."""

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


def new_monitor(acceptor: Acceptor, now_ns: int, *answering: str) -> MembershipMonitor:
    """Return the monitor of a replica that started at 0 and just received replies from members."""
    lease = LeaseTracker(acceptor)
    monitor = MembershipMonitor(acceptor, lease, 1)
    monitor.on_start(0)
    for member_id in answering:
        lease.on_query_reply(now_ns, now_ns, member(member_id).query_reply())
    return monitor


def decide(monitor: MembershipMonitor, now_ns: int) -> list[Decision]:
    return list(monitor.decisions(now_ns, {}, leaving=False))


def test_an_undecided_version_is_finished_after_a_delay_unless_an_operation_exists() -> None:
    acceptor = member("a")
    acceptor.slots[1] = AcceptorSlot(BALLOT, BALLOT, b"one")
    monitor = new_monitor(acceptor, SETTLED_NS, "b", "c")
    due_ns = SETTLED_NS + FINISH_DELAY_NS
    assert decide(monitor, SETTLED_NS) == [InstallLaggingMembers()]
    assert decide(monitor, due_ns - 1) == [InstallLaggingMembers()]
    operation = Operation(OperationKind.FINISH, 1, None, due_ns + 1, [])
    assert list(monitor.decisions(due_ns, {1: operation}, False)) == [InstallLaggingMembers()]
    assert decide(monitor, due_ns) == [FinishVersion(1), InstallLaggingMembers()]


def test_members_complete_a_reconfiguration_with_a_delay_by_rank() -> None:
    next_epoch = Epoch(2, (A, B, D))
    first, second = member("a"), member("b")
    first.sealed_by = second.sealed_by = next_epoch
    assert decide(new_monitor(first, 0, "b", "c"), 0) == [CompleteReconfiguration(ABC, next_epoch)]
    monitor = new_monitor(second, 0, "a", "c")
    assert decide(monitor, 0) == []
    assert decide(monitor, RANK_DELAY_NS - 1) == []
    assert decide(monitor, RANK_DELAY_NS) == [CompleteReconfiguration(ABC, next_epoch)]


def test_a_candidate_replaces_a_silent_member_and_a_leaving_replica_proposes_no_members() -> None:
    acceptor = member("a")
    now_ns = MEMBER_SILENCE_TIMEOUT_NS + 1
    monitor = new_monitor(acceptor, now_ns, "b", "d")
    assert monitor.silent_members(now_ns) == ["c"]
    assert monitor.membership_candidates(now_ns) == dict([D])
    assert decide(monitor, now_ns) == [InstallLaggingMembers(), ProposeMembers((A, B, D))]
    assert list(monitor.decisions(now_ns, {}, leaving=True)) == [InstallLaggingMembers()]


def leaving_member(member_id: str) -> Acceptor:
    acceptor = member(member_id)
    acceptor.is_eligible = False
    return acceptor


def test_a_leaving_member_counts_as_silent_at_once_and_is_replaced() -> None:
    acceptor, now_ns = member("a"), SETTLED_NS
    monitor = new_monitor(acceptor, now_ns, "b", "d")
    monitor._lease.on_query_reply(now_ns, now_ns, leaving_member("c").query_reply())
    assert monitor.silent_members(now_ns) == ["c"]
    assert decide(monitor, now_ns)[-1] == ProposeMembers((A, B, D))
    monitor._lease.on_query_reply(now_ns, now_ns, member("c").query_reply())  # it has restarted
    assert monitor.silent_members(now_ns) == []


def test_a_leaving_member_remains_without_a_replacement() -> None:
    acceptor, now_ns = member("a"), SETTLED_NS
    monitor = new_monitor(acceptor, now_ns, "b")
    monitor._lease.on_query_reply(now_ns, now_ns, leaving_member("c").query_reply())
    assert decide(monitor, now_ns) == [InstallLaggingMembers()]


def test_no_proposed_membership_depends_on_a_leaving_member_for_its_majority() -> None:
    acceptor, now_ns = member("a"), SETTLED_NS
    monitor = new_monitor(acceptor, now_ns, "d")
    monitor._lease.on_query_reply(now_ns, now_ns, leaving_member("c").query_reply())
    silent_ns = SETTLED_NS + MEMBER_SILENCE_TIMEOUT_NS
    monitor._lease.on_query_reply(silent_ns, silent_ns, member("d").query_reply())
    assert sorted(monitor.silent_members(silent_ns)) == ["b", "c"]
    desired = monitor.desired_members(silent_ns, monitor.silent_members(silent_ns))
    assert desired is None or len([entry for entry in desired if entry[0] in "ad"]) > len(desired) // 2
