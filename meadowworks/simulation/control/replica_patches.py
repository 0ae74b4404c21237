"""Replacements for methods of the replica and its parts, each without one guard."""

from __future__ import annotations

from typing import Any

from meadowworks.consensus.call_factory import QuorumCallFactory
from meadowworks.consensus.effects import Committed, CompleteOperation, Conflict, Undecided
from meadowworks.consensus.membership_monitor import MembershipMonitor
from meadowworks.consensus.messages import QueryReply
from meadowworks.consensus.operations import LEAVE_WAITER_ID, Operation
from meadowworks.consensus.proposer import Proposer
from meadowworks.consensus.replica import Replica
from meadowworks.consensus.timing import MEMBER_SILENCE_TIMEOUT_NS
from meadowworks.consensus.values import Ballot, Epoch
from meadowworks.consensus.write_queue import WriteQueue

NEVER_NS = 1 << 60

# The original methods, which some of the replacements call.
_desired_members = MembershipMonitor.desired_members
_on_query_reply = Replica.on_query_reply
_complete_operation = Replica.complete_operation
_send_round = Replica.send_round


def proposer_without_incarnation(
    self: QuorumCallFactory, epoch: Epoch, version: int, operation: Operation
) -> Proposer:
    """Create a proposer whose ballot another incarnation can reuse."""
    slot = self._acceptor.slots.get(version)
    promised = slot.promised.number if slot else 0
    self.last_ballot_number = max(self.last_ballot_number, operation.min_ballot_number, promised) + 1
    ballot = Ballot(epoch.number, self.last_ballot_number, self._acceptor.member_id)
    return Proposer(epoch, version, ballot, operation.value)


def reply_before_write(self: WriteQueue, item: Any) -> None:
    """Send a reply before the write that it depends on."""
    self.ready.append(item)


def leave_at_once(self: Replica, _now_ns: int, _deadline_ns: int) -> None:
    """Report the hand-over as complete at once."""
    self.leaving, self.acceptor.is_eligible = True, False
    self.effects.append(CompleteOperation(LEAVE_WAITER_ID, Committed()))


def candidates_from_before_epoch(self: MembershipMonitor, now_ns: int) -> dict[str, str]:
    """Return also candidates that last replied before the epoch began and may have left."""
    acceptor = self._acceptor
    candidates = {
        member_id: peer.last_reply.address
        for member_id, peer in self._lease.peers.items()
        if peer.last_reply.is_eligible
        and now_ns - peer.last_reply_ns < MEMBER_SILENCE_TIMEOUT_NS
        and not acceptor.epoch.has_member(member_id)
    }
    if acceptor.is_eligible and not acceptor.epoch.has_member(acceptor.member_id):
        candidates[acceptor.member_id] = acceptor.address
    return candidates


def never_reconfigure(self: MembershipMonitor, now_ns: int, silent: list[str]) -> Any:
    """Keep the members of the first epoch."""
    return None if self._acceptor.epoch.number > 0 else _desired_members(self, now_ns, silent)


def lease_from_reply_time(self: Replica, now_ns: int, _sent_ns: int, reply: QueryReply) -> None:
    """Start a lease when the reply arrives instead of when the query was sent."""
    _on_query_reply(self, now_ns, now_ns, reply)


def lease_always_held(self: Replica, now_ns: int) -> int | None:
    """Hold a lease without replies of a majority."""
    return now_ns if self.started and self.acceptor.newest_epoch().number > 0 else None


def acknowledge_by_version(_self: Replica, _version: int, _value: bytes) -> Committed | Conflict:
    """Acknowledge a decided version without comparing the values."""
    return Committed()


def acknowledge_by_committed_value(self: Replica, version: int, value: bytes) -> Committed | Conflict:
    """Compare with the latest committed value only."""
    committed = self.acceptor.committed
    return Committed() if (committed.version, committed.value) == (version, value) else Conflict()


def timeout_is_conflict(self: Replica, operation_id: int, outcome: Any) -> None:
    """Report an undecided operation as a conflict."""
    outcome = Conflict() if isinstance(outcome, Undecided) else outcome
    _complete_operation(self, operation_id, outcome)


def do_nothing(*_arguments: Any) -> None:
    """Do nothing, whatever the arguments."""


def send_round_once(self: Replica, now_ns: int, operation_id: int, operation: Any) -> None:
    """Send a request once and never resend it."""
    _send_round(self, now_ns, operation_id, operation)
    operation.due_ns = NEVER_NS
