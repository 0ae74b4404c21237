"""The periodic work for the coordination log: snapshots on each node, expiry on the leader."""

from __future__ import annotations

from meadowworks.consensus.effects import LeaderChanged
from meadowworks.controlplane.replicated_state import ReplicatedState
from meadowworks.coordination.commands import (
    AcquireLock,
    Command,
    DiscardHistory,
    ExpireLock,
    ReleaseLock,
    RenewLock,
)
from meadowworks.coordination.history_retention import HistoryRetention
from meadowworks.coordination.hold_deadlines import HoldDeadlines
from meadowworks.coordination.results import Result
from meadowworks.runtime import logging as logs
from meadowworks.runtime.clock import now_ns

INTERVAL_S = 0.05
log = logs.get_logger("coordination")


class LeaderDuties:
    """Proposes that holds expire and that old events are discarded while this node is the leader.

    :param replicated: this node's state and log.
    :param retention: decides which events must be kept.
    """

    def __init__(self, replicated: ReplicatedState, retention: HistoryRetention) -> None:
        self._replicated, self._retention = replicated, retention
        self._hold_deadlines = HoldDeadlines()
        self._is_leader = False
        replicated.observers.append(self)

    def run(self) -> None:
        """Run one round of the periodic work."""
        self._replicated.compact_if_due()
        if self._is_leader:
            now = now_ns()
            self._expire_holds(now)
            self._discard_history(now)

    def on_applied(self, command: Command, result: Result) -> None:  # noqa: ARG002  (the state has the outcome)
        """Update the deadline of a lock."""
        if self._is_leader and isinstance(command, AcquireLock | RenewLock | ReleaseLock | ExpireLock):
            hold = self._replicated.state.hold(command.name)
            self._hold_deadlines.update(now_ns(), command.name, hold)

    def on_restored(self) -> None:
        """Start the deadlines again for the holds of a snapshot."""
        if self._is_leader:
            self._hold_deadlines.restart(now_ns(), self._replicated.state.holds())

    def on_leader_changed(self, change: LeaderChanged) -> None:
        """Start or stop the work of the leader."""
        if change.is_own:
            log.info("coordination_leader_gained", epoch=change.term.epoch, term=change.term.number)
            self._hold_deadlines.restart(now_ns(), self._replicated.state.holds())
        else:
            if self._is_leader:
                log.info("coordination_leader_lost", epoch=change.term.epoch, term=change.term.number)
            self._hold_deadlines.clear()
        self._retention.restart()
        self._is_leader = change.is_own

    def _expire_holds(self, now: int) -> None:
        for command in self._hold_deadlines.take_due(now):
            self._replicated.propose_without_result(command)

    def _discard_history(self, now: int) -> None:
        self._retention.note_put(now, self._replicated.latest_put_index)
        index = self._retention.discardable_index(now)
        if index is not None and self._replicated.propose_without_result(DiscardHistory(index)):
            self._retention.on_discard_proposed(index)
