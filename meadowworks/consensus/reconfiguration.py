"""Completion of a chosen membership change: stop the old epoch, transfer its state, start the next one.

A majority of epoch n chooses epoch n+1 as the value of `MEMBERSHIP_VERSION`. Epoch n is then sealed at a
majority of its members, which no longer promise or accept in it. Their merged state is installed at a
majority of epoch n+1.

The messages have positions of the log, not its content, so their size does not follow the size of the log.
A member that lacks entries fetches them from the member whose log is the most up to date (`log_fetcher`);
usually a majority of the next epoch has them already.

Source: L. Lamport, D. Malkhi, L. Zhou, "Reconfiguring a State Machine" (2010).
"""

from __future__ import annotations

from dataclasses import replace

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.messages import (
    InstalledReply,
    InstallPositionRequest,
    InstallRequest,
    Reply,
    SealedPositionReply,
    SealedReply,
    SealPositionRequest,
    SealRequest,
    StaleEpochReply,
)
from meadowworks.consensus.outcomes import EpochChanged
from meadowworks.consensus.replicated_log import LogSource, best_log_source, most_up_to_date
from meadowworks.consensus.values import AcceptorState, Epoch


class Reconfiguration:
    """Completes a chosen membership change; replicas may run this concurrently and repeatedly."""

    def __init__(self, epoch: Epoch, next_epoch: Epoch) -> None:
        self.epoch, self.next_epoch = epoch, next_epoch
        self.sealed_states: dict[str, AcceptorState] = {}  # by member id
        self.log_sources: dict[str, LogSource | None] = {}  # by member id
        self.installed_members: set[str] = set()
        self.sends_whole_states = False  # in messages that earlier releases read
        self.installing = False  # whether a majority has been sealed
        self.outcome: EpochChanged | None = None

    def send_whole_states(self) -> None:
        """Begin again with messages that earlier releases read; the seals stay."""
        self.sends_whole_states, self.installing = True, False
        self.sealed_states, self.log_sources, self.installed_members = {}, {}, set()

    def request(self) -> SealRequest | SealPositionRequest | InstallRequest | InstallPositionRequest:
        """Return the request of the current round."""
        if not self.installing and self.sends_whole_states:
            return SealRequest(self.epoch.number, self.next_epoch)
        if not self.installing:
            return SealPositionRequest(self.epoch.number, self.next_epoch)
        merged = Acceptor("")
        for state in self.sealed_states.values():
            merged.merge_state(state)
        registers = merged.export_registers()
        if self.sends_whole_states:
            log = most_up_to_date(state.log for state in self.sealed_states.values())
            return InstallRequest(self.next_epoch.number, self.next_epoch, replace(registers, log=log))
        source = best_log_source(self.log_sources.values())
        return InstallPositionRequest(self.next_epoch.number, self.next_epoch, registers, source)

    def unanswered_members(self) -> list[tuple[str, str]]:
        """Return the ids and addresses of members that have not answered in this round."""
        if self.installing:
            return [
                (member_id, address)
                for member_id, address in self.next_epoch.members
                if member_id not in self.installed_members
            ]
        return [
            (member_id, address)
            for member_id, address in self.epoch.members
            if member_id not in self.sealed_states
        ]

    def on_reply(self, member_id: str, reply: Reply) -> bool:
        """Handle a member's reply.

        :returns: whether the next round is due or the outcome is known.
        """
        if self.outcome is not None:
            return False
        match reply:
            case SealedReply(_, state) if state is not None and self.sends_whole_states:
                return self._on_sealed(member_id, state, None)
            case SealedPositionReply(_, state, source) if not self.sends_whole_states:
                return self._on_sealed(member_id, state, source)
            case StaleEpochReply(epoch) if epoch.number > self.next_epoch.number or not self.installing:
                self.outcome = EpochChanged(epoch, False)
                return True
            case InstalledReply(number) if self.installing and number >= self.next_epoch.number:
                return self.next_epoch.has_member(member_id) and self._on_installed(member_id)
        return False

    def _on_sealed(self, member_id: str, state: AcceptorState, source: LogSource | None) -> bool:
        if self.installing or not self.epoch.has_member(member_id):
            return False
        self.sealed_states[member_id], self.log_sources[member_id] = state, source
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
