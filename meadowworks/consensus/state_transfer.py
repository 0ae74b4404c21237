"""Transfer of a leaving member's committed value to a majority of the other members."""

from __future__ import annotations

from meadowworks.consensus.messages import LearnRequest, QueryReply, Reply
from meadowworks.consensus.outcomes import QuorumReadResult
from meadowworks.consensus.values import CommittedValue, DigestHistory, Epoch


class StateTransfer:
    """Sends the committed value to the other members until a majority has stored it."""

    def __init__(
        self, epoch: Epoch, member_id: str, committed: CommittedValue, history: DigestHistory
    ) -> None:
        self.epoch, self.committed, self.history = epoch, committed, history
        self.other_members = tuple(
            (other_id, address) for other_id, address in epoch.members if other_id != member_id
        )
        self.acknowledged: set[str] = set()
        self.outcome: QuorumReadResult | None = None

    def request(self) -> LearnRequest:
        """Return the only request of a transfer."""
        return LearnRequest(self.epoch.number, self.committed, self.history)

    def unanswered_members(self) -> list[tuple[str, str]]:
        """Return the ids and addresses of members that have not acknowledged the value."""
        return [
            (member_id, address)
            for member_id, address in self.other_members
            if member_id not in self.acknowledged
        ]

    def on_reply(self, member_id: str, reply: Reply) -> bool:
        """Handle a member's reply.

        :returns: whether the outcome is known.
        """
        if self.outcome is not None or not isinstance(reply, QueryReply):
            return False
        if reply.committed_version < self.committed.version:
            return False
        if not any(member_id == other_id for other_id, _ in self.other_members):
            return False
        self.acknowledged.add(member_id)
        if len(self.acknowledged) < min(self.epoch.majority, len(self.other_members)):
            return False
        self.outcome = QuorumReadResult(self.committed.version, self.committed.version, "")
        return True
