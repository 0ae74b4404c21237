"""Which quorum call an attempt of an operation begins with, and under which ballot."""

from __future__ import annotations

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.membership import decode_member_list, encode_member_list
from meadowworks.consensus.operations import Operation, QuorumCall
from meadowworks.consensus.proposer import Proposer
from meadowworks.consensus.quorum_read import QuorumRead
from meadowworks.consensus.reconfiguration import Reconfiguration
from meadowworks.consensus.values import MEMBERSHIP_VERSION, Ballot, Epoch


class QuorumCallFactory:
    """Makes quorum calls for a replica, no two under one ballot."""

    def __init__(self, acceptor: Acceptor, tolerated_failures: int) -> None:
        self._acceptor = acceptor
        self.tolerated_failures = tolerated_failures
        self.last_ballot_number = 0  # of this incarnation

    def new_proposer(self, epoch: Epoch, version: int, operation: Operation) -> Proposer:
        """A proposer of the operation's value, under a ballot that this replica has never used."""
        slot = self._acceptor.slots.get(version)
        promised_number = slot.promised.number if slot else 0
        self.last_ballot_number = (
            max(self.last_ballot_number, operation.min_ballot_number, promised_number) + 1
        )
        proposer_id = f"{self._acceptor.member_id}.{self._acceptor.incarnation}"
        ballot = Ballot(epoch.number, self.last_ballot_number, proposer_id)
        return Proposer(epoch, version, ballot, operation.value)

    def membership_call(self, epoch: Epoch, operation: Operation) -> QuorumCall | None:
        """To propose members or to complete a change that is chosen; none if the members have changed."""
        if (previous := operation.previous_epoch) is not None:
            members = decode_member_list(operation.value or b"")
            return Reconfiguration(previous, Epoch(previous.number + 1, members))
        if self._acceptor.epoch.number != epoch.number or not self._acceptor.may_vote():
            return None
        return self.new_proposer(epoch, MEMBERSHIP_VERSION, operation)

    def leave_call(self, epoch: Epoch, operation: Operation) -> QuorumCall:
        """With members to spare, to propose them without this replica; else to read, and then hand over."""
        if len(epoch.members) <= 2 * self.tolerated_failures + 1 or not self._acceptor.may_vote():
            return QuorumRead(epoch)
        others = tuple((d, a) for d, a in epoch.members if d != self._acceptor.member_id)
        operation.value = operation.value or encode_member_list(others)
        return self.new_proposer(epoch, MEMBERSHIP_VERSION, operation)
