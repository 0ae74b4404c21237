"""Locks, numbers and keys for the API of one node, which finds the leader of the coordination log."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

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
    ReadCell,
    ReadGroupRevision,
    Reply,
    RetainHistory,
    SubmitCommand,
    decode_call,
    encode_reply,
)
from meadowworks.controlplane.leader_calls import LeaderCalls
from meadowworks.controlplane.leader_client import LeaderClient, LeaderSearch
from meadowworks.controlplane.replicated_state import ReplicatedState
from meadowworks.controlplane.stall_guard import StallGuard
from meadowworks.coordination.commands import Command
from meadowworks.coordination.history_retention import HistoryRetention
from meadowworks.coordination.results import Cell, Result, TooManyNames
from meadowworks.runtime.clock import now_ns

CALL_TIMEOUT_S = 0.85  # callers turn to another node after one second
ATTEMPT_TIMEOUT_S = 0.3  # for a call to another node
RETRY_DELAY_S = 0.03  # while there is no known leader
MAX_WAITING_CALLS = 512
MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class Unavailable:
    """There is no result.

    :ivar is_certain: whether the call has had no effect and never will; otherwise it is in doubt.
    :ivar overloaded: whether that is because too many calls wait.
    """

    is_certain: bool
    overloaded: bool = False


class CoordinationService:
    """Answers calls on any node, as the leader or through it.

    :param replicated: this node's state and log.
    :param leader_client: sends calls to other nodes.
    :param own_address: the peer address of this node.
    :param members: returns the peer addresses of the members of the newest epoch.
    :param retention: decides which events this node keeps as the leader.
    """

    def __init__(
        self,
        replicated: ReplicatedState,
        leader_client: LeaderClient,
        own_address: str,
        members: Callable[[], Sequence[str]],
        retention: HistoryRetention,
    ) -> None:
        self._replicated = replicated
        self._leader_client = leader_client
        self._own_address = own_address
        self._members = members
        self.leader_calls = LeaderCalls(replicated, retention)
        self.stall_guard = StallGuard()
        self.waiting_count = 0
        self._is_shutting_down = False

    async def submit(self, command: Command) -> Result | Unavailable:
        """Commit a command and return its result.

        All commands tolerate copies, so a command in doubt is sent again until the call's deadline.
        """
        answer = await self._call(SubmitCommand(command))
        if isinstance(answer, Unavailable):
            return answer
        assert isinstance(answer, CommandResult)
        return answer.result

    async def read_cell(self, name: str) -> Cell | None | Unavailable:
        """Return a key's newest content, None if it does not exist."""
        answer = await self._call(ReadCell(name))
        if isinstance(answer, Unavailable):
            return answer
        assert isinstance(answer, CellContent)
        return answer.cell

    async def group_revision(self, group: str) -> int | Unavailable:
        """Return the revision of the latest put of a group, 0 if there was none."""
        answer = await self._call(ReadGroupRevision(group))
        if isinstance(answer, Unavailable):
            return answer
        assert isinstance(answer, GroupRevision)
        return answer.revision

    async def barrier_index(self) -> int | Unavailable:
        """Return a log index that covers all commands acknowledged before the call."""
        answer = await self._call(ReadBarrier())
        if isinstance(answer, Unavailable):
            return answer
        assert isinstance(answer, BarrierIndex)
        return answer.index

    async def retain_history(self, group: str, after: int, revision: int) -> bool | Unavailable:
        """Keep the events of a group above a revision for callers that resume from it.

        :param after: the revision that the watch resumed from.
        :returns: whether they are kept.
        """
        # Also while this node shuts down, as it then answers the waiting watches.
        answer = await self._call_counted(RetainHistory(group, after, revision))
        if isinstance(answer, Unavailable):
            return answer
        assert isinstance(answer, HistoryRetained)
        return answer.is_kept

    async def answer_forwarded(self, body: bytes) -> bytes:
        """Return the encoded reply to another node's call, which is not forwarded again.

        :raises MalformedMessageError: the body can't be decoded; or another of `DECODE_ERRORS`.
        """
        call, timeout_ms = decode_call(body)
        if self.stall_guard.refuses(now_ns()):
            return encode_reply(NotLeader())
        timeout_s = min(timeout_ms / MS_PER_SECOND, CALL_TIMEOUT_S)
        return encode_reply(await self.leader_calls.answer(call, timeout_s))

    def shut_down(self) -> None:
        """Refuse new calls of the API; calls of other nodes are answered on."""
        self._is_shutting_down = True

    async def _call(self, call: Call) -> Answer | Unavailable:
        if self._is_shutting_down:
            return Unavailable(is_certain=True)
        return await self._call_counted(call)

    async def _call_counted(self, call: Call) -> Answer | Unavailable:
        if self.stall_guard.refuses(now_ns()):
            return Unavailable(is_certain=True)
        if self.waiting_count >= MAX_WAITING_CALLS:
            return Unavailable(is_certain=True, overloaded=True)
        self.waiting_count += 1
        try:
            return await self._call_until_deadline(call)
        finally:
            self.waiting_count -= 1

    async def _call_until_deadline(self, call: Call) -> Answer | Unavailable:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + CALL_TIMEOUT_S
        search = self._new_search()
        may_have_run = False
        while (remaining_s := deadline_s - loop.time()) > 0:
            match await self._attempt(search, call, remaining_s):
                case Overloaded() if not may_have_run:
                    return Unavailable(is_certain=True, overloaded=True)
                case CommandResult(TooManyNames()) if may_have_run:
                    # An earlier copy may still be committed, when there is room again.
                    return Unavailable(is_certain=False)
                case (
                    (
                        CommandResult()
                        | CellContent()
                        | GroupRevision()
                        | BarrierIndex()
                        | HistoryRetained()
                    ) as answer
                ):
                    return answer
                case InDoubt():
                    may_have_run = may_have_run or isinstance(call, SubmitCommand)
            if not search.has_named_leader():
                search.on_pause()
                await self._replicated.leader_changed.wait(min(RETRY_DELAY_S, deadline_s - loop.time()))
        return Unavailable(is_certain=not may_have_run)

    async def _attempt(self, search: LeaderSearch, call: Call, remaining_s: float) -> Reply | None:
        """Return the reply of the supposed leader, or None if the call was certainly not handled."""
        if self._replicated.replica.is_log_leader():
            return await self.leader_calls.answer(call, remaining_s)
        address = search.next_address()
        if not address:
            return None
        reply = await self._leader_client.send(address, call, min(ATTEMPT_TIMEOUT_S, remaining_s))
        search.on_reply(address, reply)
        return reply

    def _new_search(self) -> LeaderSearch:
        known_leader = self._replicated.replica.log_leader_address
        return LeaderSearch(self._own_address, known_leader, self._members, random.choice)
