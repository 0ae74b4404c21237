"""The proposer of single-decree Paxos: two rounds under one ballot.

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
    """One attempt, under one ballot, to get a value chosen for a version.

    Without a value it finishes what another proposer has begun. A majority of the epoch's members must agree;
    each is counted once, by its id, and nobody else is.
    """

    def __init__(self, epoch: Epoch, version: int, ballot: Ballot, value: bytes | None) -> None:
        self.epoch, self.version, self.ballot, self.value = epoch, version, ballot, value
        self.promises: dict[str, PromiseReply] = {}
        self.acceptances: set[str] = set()
        self.accepting = False  # in the second round
        self.outcome: ProposalOutcome | None = None

    def request(self) -> VoteRequest:
        """The request of the present round."""
        if self.accepting:
            assert self.value is not None
            return AcceptRequest(self.epoch.number, self.version, self.ballot, self.value)
        return PrepareRequest(self.epoch.number, self.version, self.ballot)

    def unanswered_members(self) -> list[tuple[str, str]]:
        """Members that have not answered this round, with their addresses."""
        answered = self.acceptances if self.accepting else self.promises.keys()
        return [
            (member_id, address) for member_id, address in self.epoch.members if member_id not in answered
        ]

    def on_reply(self, member_id: str, reply: Reply) -> bool:
        """Takes in a member's reply.

        :returns: whether the next request is due, or the outcome is there.
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
        best = max(self.promises.values(), key=lambda p: p.accepted)
        if best.accepted > NO_BALLOT:
            self.value = best.value
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
