"""The proposer of single-decree Paxos, with two rounds under one ballot.

Source: L. Lamport, "Paxos Made Simple" (2001), section 2.2.
"""

from __future__ import annotations

from meadowworks.consensus.messages import (
    AcceptedReply,
    AcceptRequest,
    BallotRejectedReply,
    PrepareRequest,
    PromiseReply,
    Reply,
    SealedReply,
    StaleEpochReply,
    VersionDecidedReply,
    VoteRequest,
)
from meadowworks.consensus.outcomes import (
    Chosen,
    EpochChanged,
    ProposalOutcome,
    RetryWithHigherBallot,
    Superseded,
)
from meadowworks.consensus.values import NO_BALLOT, Ballot, Epoch


class Proposer:
    """One attempt, under one ballot, to have a value chosen for a version.

    A proposer without a value finishes the proposal of another proposer. A majority of the epoch's members
    must reply in each round; each member is counted once, by its id, and other replies are ignored.
    """

    def __init__(self, epoch: Epoch, version: int, ballot: Ballot, value: bytes | None) -> None:
        self.epoch, self.version, self.ballot, self.value = epoch, version, ballot, value
        self.promises: dict[str, PromiseReply] = {}
        self.acceptances: set[str] = set()
        self.accepting = False  # whether the second round has started
        self.outcome: ProposalOutcome | None = None

    def request(self) -> VoteRequest:
        """Return the request of the current round."""
        if self.accepting:
            assert self.value is not None
            return AcceptRequest(self.epoch.number, self.version, self.ballot, self.value)
        return PrepareRequest(self.epoch.number, self.version, self.ballot)

    def unanswered_members(self) -> list[tuple[str, str]]:
        """Return the ids and addresses of members that have not answered in this round."""
        answered = self.acceptances if self.accepting else self.promises.keys()
        return [
            (member_id, address) for member_id, address in self.epoch.members if member_id not in answered
        ]

    def on_reply(self, member_id: str, reply: Reply) -> bool:
        """Handle a member's reply.

        :returns: whether the next round is due or the outcome is known.
        """
        if self.outcome is not None:
            return False
        match reply:
            case VersionDecidedReply(committed, history):
                self.outcome = Superseded(committed, history)
            case StaleEpochReply(epoch):
                self.outcome = EpochChanged(epoch, False)
            case SealedReply(next_epoch) if self.epoch.has_member(member_id):
                self.outcome = EpochChanged(next_epoch, True)
            case BallotRejectedReply(ballot):
                self.outcome = RetryWithHigherBallot(ballot)
            case PromiseReply(ballot) if ballot == self.ballot and not self.accepting:
                return self.epoch.has_member(member_id) and self._on_promise(member_id, reply)
            case AcceptedReply(ballot) if ballot == self.ballot and self.accepting:
                return self.epoch.has_member(member_id) and self._on_accepted(member_id)
            case _:
                return False
        return True

    def _on_promise(self, member_id: str, reply: PromiseReply) -> bool:
        self.promises[member_id] = reply
        if len(self.promises) < self.epoch.majority:
            return False
        highest_promise = max(self.promises.values(), key=lambda p: p.accepted)
        if highest_promise.accepted > NO_BALLOT:
            self.value = highest_promise.value
        if self.value is None:
            self.outcome = RetryWithHigherBallot(NO_BALLOT)
            return True
        self.accepting = True
        return True

    def _on_accepted(self, member_id: str) -> bool:
        self.acceptances.add(member_id)
        if len(self.acceptances) < self.epoch.majority:
            return False
        assert self.value is not None
        self.outcome = Chosen(self.version, self.value)
        return True
