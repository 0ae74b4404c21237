"""Creation of the quorum call that an attempt of an operation starts with."""

from __future__ import annotations

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.membership import decode_member_list, encode_member_list
from meadowworks.consensus.operations import Operation, QuorumCall
from meadowworks.consensus.proposer import Proposer
from meadowworks.consensus.quorum_read import QuorumRead
from meadowworks.consensus.reconfiguration import Reconfiguration
from meadowworks.consensus.values import MEMBERSHIP_VERSION, Ballot, Epoch


class QuorumCallFactory:
    """Creates the quorum calls of a replica; each proposer has a unique ballot."""

    def __init__(self, acceptor: Acceptor, tolerated_failures: int) -> None:
        self._acceptor = acceptor
        self.tolerated_failures = tolerated_failures
        self.last_ballot_number = 0  # in this incarnation

    def new_proposer(self, epoch: Epoch, version: int, operation: Operation) -> Proposer:
        """Return a proposer for the operation's value with a ballot that this replica has never used."""
        slot = self._acceptor.slots.get(version)
        promised_number = slot.promised.number if slot else 0
        self.last_ballot_number = (
            max(self.last_ballot_number, operation.min_ballot_number, promised_number) + 1
        )
        proposer_id = f"{self._acceptor.member_id}.{self._acceptor.incarnation}"
        ballot = Ballot(epoch.number, self.last_ballot_number, proposer_id)
        return Proposer(epoch, version, ballot, operation.value)

    def membership_call(self, epoch: Epoch, operation: Operation) -> QuorumCall | None:
        """Return a call that proposes members or completes a chosen change; None if voting is impossible."""
        if (previous := operation.previous_epoch) is not None:
            members = decode_member_list(operation.value or b"")
            return Reconfiguration(previous, Epoch(previous.number + 1, members))
        if self._acceptor.epoch.number != epoch.number or not self._acceptor.may_vote():
            return None
        return self.new_proposer(epoch, MEMBERSHIP_VERSION, operation)

    def leave_call(self, epoch: Epoch, operation: Operation) -> QuorumCall:
        """Return the first call of a leaving replica.

        It proposes the membership without this replica if the epoch has more than
        `2 * tolerated_failures + 1` members and this replica may vote. Otherwise it is a quorum read, which
        precedes the state transfer.
        """
        if len(epoch.members) <= 2 * self.tolerated_failures + 1 or not self._acceptor.may_vote():
            return QuorumRead(epoch)
        remaining = tuple(
            (member_id, address)
            for member_id, address in epoch.members
            if member_id != self._acceptor.member_id
        )
        operation.value = operation.value or encode_member_list(remaining)
        return self.new_proposer(epoch, MEMBERSHIP_VERSION, operation)
