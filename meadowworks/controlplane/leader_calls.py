"""The answers of the leader of the coordination log to calls from its own API and from other nodes."""

from __future__ import annotations

from typing import assert_never

from meadowworks.controlplane.coordination_calls import (
    Answer,
    BarrierIndex,
    Call,
    CellContent,
    CommandResult,
    GroupRevision,
    HistoryRetained,
    InDoubt,
    NotLeader,
    Overloaded,
    ReadBarrier,
    ReadCall,
    ReadCell,
    ReadGroupRevision,
    Reply,
    RetainHistory,
    SubmitCommand,
)
from meadowworks.controlplane.replicated_state import ProposalFailure, ReplicatedState
from meadowworks.coordination.commands import Command
from meadowworks.coordination.history_retention import HistoryRetention
from meadowworks.runtime.clock import now_ns

MAX_WAITING_CALLS = 512


class LeaderCalls:
    """Answers calls while this node is the leader.

    :param retention: decides which events this node keeps as the leader.
    """

    def __init__(self, replicated: ReplicatedState, retention: HistoryRetention) -> None:
        self._replicated, self._retention = replicated, retention
        self.waiting_count = 0

    async def answer(self, call: Call, timeout_s: float) -> Reply:
        """Return the answer to a call, or why there is none.

        :param timeout_s: after this time, a command is in doubt.
        """
        if self.waiting_count >= MAX_WAITING_CALLS:
            return Overloaded()
        self.waiting_count += 1
        try:
            if isinstance(call, SubmitCommand):
                return await self._submit(call.command, timeout_s)
            return await self._read(call, timeout_s)
        finally:
            self.waiting_count -= 1

    async def _submit(self, command: Command, timeout_s: float) -> Reply:
        outcome = await self._replicated.propose(command, timeout_s)
        if not isinstance(outcome, ProposalFailure):
            return CommandResult(outcome)
        return InDoubt() if outcome is ProposalFailure.IN_DOUBT else self._not_leader()

    async def _read(self, call: ReadCall, timeout_s: float) -> Reply:
        index = await self._replicated.read_barrier(timeout_s)
        return self._not_leader() if index is None else self._answer_read(call, index)

    def _answer_read(self, call: ReadCall, index: int) -> Answer:
        state = self._replicated.state
        match call:
            case ReadCell(name):
                return CellContent(state.read_cell(name))
            case ReadGroupRevision(group):
                return GroupRevision(state.group_revision(group))
            case ReadBarrier():
                return BarrierIndex(index)
            case RetainHistory():
                return HistoryRetained(self._retain(call))
            case _:
                assert_never(call)

    def _retain(self, call: RetainHistory) -> bool:
        """Keep events for a watch, unless they are gone or there is no room.

        A majority has just confirmed this leader, and all entries of earlier leaders are applied. A later
        leader keeps all events that it finds for longer.
        """
        state, now = self._replicated.state, now_ns()
        if state.has_discarded_after(call.group, call.after):
            return False
        first_index = state.index_after(call.group, call.after)
        if first_index is None:
            return True  # no put is above `after`, so none is older than this call
        if state.is_half_full and not self._retention.must_keep(now, first_index):
            return False
        next_index = state.index_after(call.group, call.revision)
        return next_index is None or self._retention.retain(now, next_index)

    def _not_leader(self) -> NotLeader:
        return NotLeader(self._replicated.replica.log_leader_address())
