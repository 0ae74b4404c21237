"""A change of members, once it is chosen: stop the old epoch, transfer its state, start the next.

Epoch n+1 is chosen by a majority of epoch n as the value of `MEMBERSHIP_VERSION`. Epoch n is then sealed at a
majority of its members, which from then on neither promise nor accept in it, and what these held, merged, is
installed with a majority of n+1.

Source: L. Lamport, D. Malkhi, L. Zhou, "Reconfiguring a State Machine" (2010).
"""

from __future__ import annotations

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.messages import (
    InstalledReply,
    InstallRequest,
    Reply,
    SealedReply,
    SealRequest,
    StaleEpochReply,
)
from meadowworks.consensus.outcomes import EpochChanged
from meadowworks.consensus.values import AcceptorState, Epoch


class Reconfiguration:
    """Completes a chosen change of members. Several replicas may do so at once, and repeat it."""

    def __init__(self, epoch: Epoch, next_epoch: Epoch) -> None:
        self.epoch, self.next_epoch = epoch, next_epoch
        self.sealed_states: dict[str, AcceptorState] = {}  # of the members that are sealed
        self.installed_members: set[str] = set()
        self.installing = False  # a majority is sealed
        self.outcome: EpochChanged | None = None

    def request(self) -> SealRequest | InstallRequest:
        """The request of the present round."""
        if not self.installing:
            return SealRequest(self.epoch.number, self.next_epoch)
        merged = Acceptor("")
        for state in self.sealed_states.values():
            merged.merge_state(state)
        return InstallRequest(self.next_epoch.number, self.next_epoch, merged.export_state())

    def unanswered_members(self) -> list[tuple[str, str]]:
        """Members that have not answered this round, with their addresses."""
        if self.installing:
            return [(d, a) for d, a in self.next_epoch.members if d not in self.installed_members]
        return [(d, a) for d, a in self.epoch.members if d not in self.sealed_states]

    def on_reply(self, member_id: str, reply: Reply) -> bool:
        """Takes in a member's reply.

        :returns: whether the next request is due, or the outcome is there.
        """
        if self.outcome is not None:
            return False
        match reply:
            case SealedReply(_, state) if state is not None and not self.installing:
                return self.epoch.has_member(member_id) and self._on_sealed(member_id, state)
            case StaleEpochReply(epoch) if epoch.number > self.next_epoch.number or not self.installing:
                self.outcome = EpochChanged(epoch, False)
                return True
            case InstalledReply(number) if self.installing and number >= self.next_epoch.number:
                return self.next_epoch.has_member(member_id) and self._on_installed(member_id)
        return False

    def _on_sealed(self, member_id: str, state: AcceptorState) -> bool:
        self.sealed_states[member_id] = state
        if len(self.sealed_states) < self.epoch.majority:
            return False
        self.installing = True
        return True

    def _on_installed(self, member_id: str) -> bool:
        self.installed_members.add(member_id)
        if len(self.installed_members) < self.next_epoch.majority:
            return False
        self.outcome = EpochChanged(self.next_epoch, False)
        return True
