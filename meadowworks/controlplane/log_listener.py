"""The interface between the driver of the consensus replica and the state machine behind its log."""

from __future__ import annotations

from typing import Protocol

from meadowworks.consensus.effects import CommittedEntry, LeaderChanged


class LogListener(Protocol):
    """Receives the effects of the replicated log, in their order.

    The methods must not call the replica or its driver; a task or a later call may.
    """

    def on_entries(self, entries: tuple[CommittedEntry, ...]) -> None:
        """Apply committed entries."""

    def on_snapshot(self, index: int, content: bytes) -> None:
        """Replace the state by a snapshot that contains all entries up to `index`."""

    def on_leader_changed(self, change: LeaderChanged) -> None:
        """Handle a change of the leader or of its term."""

    def on_barrier(self, waiter_id: int, index: int | None) -> None:
        """Handle the end of the read barrier that began with `waiter_id`; None if it failed."""
