"""The hand-over of a member that leaves: what it knows as committed goes to a majority of the others."""

from __future__ import annotations

from meadowworks.consensus.messages import LearnRequest, QueryReply, Reply
from meadowworks.consensus.outcomes import QuorumReadResult
from meadowworks.consensus.values import CommittedValue, DigestHistory, Epoch


class StateTransfer:
    """Sends the committed value to the other members until a majority has it on their disks."""

    def __init__(
        self, epoch: Epoch, member_id: str, committed: CommittedValue, history: DigestHistory
    ) -> None:
        self.epoch, self.committed, self.history = epoch, committed, history
        self.other_members = tuple((d, a) for d, a in epoch.members if d != member_id)
        self.acknowledged: set[str] = set()
        self.outcome: QuorumReadResult | None = None

    def request(self) -> LearnRequest:
        """The only request of a transfer."""
        return LearnRequest(self.epoch.number, self.committed, self.history)

    def unanswered_members(self) -> list[tuple[str, str]]:
        """Members that have not acknowledged the value, with their addresses."""
        return [(d, a) for d, a in self.other_members if d not in self.acknowledged]

    def on_reply(self, member_id: str, reply: Reply) -> bool:
        """Takes in a member's reply.

        :returns: whether the outcome is there.
        """
        if self.outcome is not None or not isinstance(reply, QueryReply):
            return False
        if reply.committed_version < self.committed.version:
            return False
        if not any(member_id == d for d, _ in self.other_members):
            return False
        self.acknowledged.add(member_id)
        if len(self.acknowledged) < min(self.epoch.majority, len(self.other_members)):
            return False
        self.outcome = QuorumReadResult(self.committed.version, self.committed.version, "")
        return True
