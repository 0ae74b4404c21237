"""A linearizable read of the versions held by a majority of the members."""

from __future__ import annotations

from meadowworks.consensus.messages import QueryReply, QueryRequest, Reply, StaleEpochReply
from meadowworks.consensus.outcomes import EpochChanged, QuorumReadResult
from meadowworks.consensus.values import Epoch


class QuorumRead:
    """Queries a majority of an epoch's members for their versions.

    No version acknowledged before the first request was sent is above the outcome's `highest_version`.
    """

    def __init__(self, epoch: Epoch) -> None:
        self.epoch = epoch
        self.replies: dict[str, QueryReply] = {}
        self.unreachable_members: set[str] = set()
        self.outcome: EpochChanged | QuorumReadResult | None = None

    def request(self) -> QueryRequest:
        """Return the only request of a read."""
        return QueryRequest(self.epoch.number)

    def unanswered_members(self) -> list[tuple[str, str]]:
        """Return the ids and addresses of members that have not answered."""
        return [
            (member_id, address) for member_id, address in self.epoch.members if member_id not in self.replies
        ]

    def on_failure(self, member_id: str) -> bool:
        """Record that a member could not be reached.

        :returns: whether a majority can no longer be reached.
        """
        if member_id not in self.replies:
            self.unreachable_members.add(member_id)
        return len(self.epoch.members) - len(self.unreachable_members) < self.epoch.majority

    def on_reply(self, member_id: str, reply: Reply) -> bool:
        """Handle a member's reply.

        :returns: whether the outcome is known.
        """
        if self.outcome is not None:
            return False
        match reply:
            case StaleEpochReply(epoch):
                self.outcome = EpochChanged(epoch, False)
                return True
            case QueryReply(epoch=number, may_vote=True) if number == self.epoch.number:
                return self.epoch.has_member(member_id) and self._on_query_reply(member_id, reply)
        return False

    def _on_query_reply(self, member_id: str, reply: QueryReply) -> bool:
        self.replies[member_id] = reply
        self.unreachable_members.discard(member_id)
        if len(self.replies) < self.epoch.majority:
            return False
        newest = max(self.replies.values(), key=lambda r: r.committed_version)
        highest_version = max(r.highest_version for r in self.replies.values())
        self.outcome = QuorumReadResult(highest_version, newest.committed_version, newest.address)
        return True
