"""The coordination state of one node, as the replicated log builds it, and access to that log."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple, Protocol

from meadowworks.consensus.effects import CommittedEntry, LeaderChanged
from meadowworks.consensus.replicated_log import EntryPosition
from meadowworks.consensus.values import NO_TERM, Term
from meadowworks.controlplane.notifier import Notifier
from meadowworks.coordination.command_codec import decode_command, encode_command
from meadowworks.coordination.commands import Command, PutCell
from meadowworks.coordination.results import Result
from meadowworks.coordination.state import CoordinationState
from meadowworks.gossip.messages import DECODE_ERRORS
from meadowworks.runtime import logging as logs
from meadowworks.runtime.clock import now_ns
from meadowworks.runtime.errors import InvariantError

MAX_ENTRIES_SINCE_SNAPSHOT = 2048
MAX_BYTES_SINCE_SNAPSHOT = 1 << 20
log = logs.get_logger("coordination")


class LogReplica(Protocol):
    """The part of `consensus.replica.Replica` that this module uses."""

    def propose_entry(self, now_ns: int, payload: bytes) -> EntryPosition | None:
        """Append an entry; None if nothing was proposed, as there are too many entries or another leader."""

    def begin_barrier(self, now_ns: int, waiter_id: int) -> None:
        """Begin a read barrier; `CompleteBarrier` reports its end."""

    def compact_log(self, now_ns: int, index: int, content: bytes) -> None:
        """Replace the entries up to an index by a snapshot."""

    def log_entry_count(self) -> int:
        """Return the number of entries since the last snapshot."""

    def log_bytes(self) -> int:
        """Return the size of these entries."""

    def is_log_leader(self) -> bool:
        """Return whether this replica is the leader."""

    def log_leader_address(self) -> str:
        """Return the peer address of the leader, empty if it is not known."""


class ProposalFailure(Enum):
    """Why a proposal has no result."""

    NOT_PROPOSED = auto()  # not the leader, handing the lead over, or too many uncommitted entries
    IN_DOUBT = auto()  # the entry may have been committed, or may be later


class StateObserver(Protocol):
    """Is called after changes of the state, and must not call the replica or its driver."""

    def on_applied(self, command: Command, result: Result) -> None:
        """Handle a command that was applied."""

    def on_restored(self) -> None:
        """Handle the replacement of the state by a snapshot."""

    def on_leader_changed(self, change: LeaderChanged) -> None:
        """Handle a change of the leader or of its term."""


class Proposal(NamedTuple):
    """A proposed entry whose result is waited for."""

    term: Term
    waiter: asyncio.Future[Result | ProposalFailure]

    def complete(self, outcome: Result | ProposalFailure) -> None:
        """Report the outcome unless the waiter has given up."""
        if not self.waiter.done():
            self.waiter.set_result(outcome)


class ReplicatedState:
    """Applies the entries of the log, and reports the results to those who proposed them.

    Implements `log_listener.LogListener`.

    :param replica: the owner of the log.
    :param run_effects: executes the effects of the replica; called after each input.
    """

    def __init__(self, replica: LogReplica, run_effects: Callable[[], None]) -> None:
        self.replica = replica
        self.state = CoordinationState()
        self.applied_index = 0  # includes entries without a command, unlike `state.applied_index`
        self.latest_put_index = 0  # or a later index, after a restart
        self.leader_term = NO_TERM
        self.leader_changed = Notifier()
        self.observers: list[StateObserver] = []
        self._run_effects = run_effects
        self._applied = Notifier()
        self._proposals: dict[int, Proposal] = {}
        self._barriers: dict[int, asyncio.Future[int | None]] = {}
        self._last_waiter_id = 0
        self._snapshot_index = 0

    # -- access to the log

    async def propose(self, command: Command, timeout_s: float) -> Result | ProposalFailure:
        """Propose a command and wait for its result."""
        position = self.replica.propose_entry(now_ns(), encode_command(command))
        if position is None:
            return ProposalFailure.NOT_PROPOSED
        proposal = Proposal(position.term, asyncio.get_running_loop().create_future())
        self._replace_proposal(position.index, proposal)
        self._run_effects()
        try:
            async with asyncio.timeout(timeout_s):
                return await proposal.waiter
        except TimeoutError:
            return ProposalFailure.IN_DOUBT
        finally:
            if self._proposals.get(position.index) is proposal:
                del self._proposals[position.index]

    def propose_without_result(self, command: Command) -> bool:
        """Propose a command of the leader itself.

        :returns: whether it was proposed. It may be lost, like any proposal.
        """
        position = self.replica.propose_entry(now_ns(), encode_command(command))
        self._run_effects()
        return position is not None

    async def read_barrier(self, timeout_s: float) -> int | None:
        """Return an index that covers everything acknowledged before the call and that is applied here.

        :returns: None if this node is not the leader, or could not confirm it in time.
        """
        self._last_waiter_id += 1
        waiter_id = self._last_waiter_id
        waiter: asyncio.Future[int | None] = asyncio.get_running_loop().create_future()
        self._barriers[waiter_id] = waiter
        self.replica.begin_barrier(now_ns(), waiter_id)
        self._run_effects()
        try:
            async with asyncio.timeout(timeout_s):
                return await waiter
        except TimeoutError:
            return None
        finally:
            self._barriers.pop(waiter_id, None)

    async def wait_until_applied(self, index: int, timeout_s: float) -> bool:
        """Wait until the entry at an index is applied here.

        :returns: false on timeout.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while self.applied_index < index:
            if (remaining_s := deadline_s - loop.time()) <= 0:
                return False
            await self._applied.wait(remaining_s)
        return True

    def compact_if_due(self) -> None:
        """Hand the replica a snapshot if the log has grown."""
        replica = self.replica
        has_grown = (
            replica.log_entry_count() > MAX_ENTRIES_SINCE_SNAPSHOT
            or replica.log_bytes() > MAX_BYTES_SINCE_SNAPSHOT
        )
        if not has_grown or self.applied_index <= self._snapshot_index:
            return
        content = self.state.encode()
        self._snapshot_index = self.applied_index
        log.info("coordination_snapshot_written", index=self.applied_index, bytes=len(content))
        replica.compact_log(now_ns(), self.applied_index, content)
        self._run_effects()

    # -- effects of the log

    def on_entries(self, entries: tuple[CommittedEntry, ...]) -> None:
        """Apply committed entries."""
        for entry in entries:
            outcome = self._apply(entry)
            self.applied_index = entry.index
            if (proposal := self._proposals.pop(entry.index, None)) is not None:
                proposal.complete(outcome if proposal.term == entry.term else ProposalFailure.IN_DOUBT)
        self._applied.notify_all()

    def on_snapshot(self, index: int, content: bytes) -> None:
        """Replace the state.

        :raises InvariantError: the snapshot can't be decoded; any answer would be wrong.
        """
        try:
            self.state = CoordinationState.decode(content) if content else CoordinationState()
        except DECODE_ERRORS as error:
            raise InvariantError(f"the snapshot at log index {index} cannot be read: {error}") from None
        log.info("coordination_snapshot_restored", index=index, bytes=len(content))
        self.applied_index = self.latest_put_index = self._snapshot_index = index
        for proposed_index in [i for i in self._proposals if i <= index]:
            self._proposals.pop(proposed_index).complete(ProposalFailure.IN_DOUBT)
        for observer in self.observers:
            observer.on_restored()
        self._applied.notify_all()

    def on_leader_changed(self, change: LeaderChanged) -> None:
        """Report proposals of earlier terms as in doubt."""
        self.leader_term = change.term
        for index, proposal in list(self._proposals.items()):
            if not change.is_own or proposal.term != change.term:
                del self._proposals[index]
                proposal.complete(ProposalFailure.IN_DOUBT)
        for observer in self.observers:
            observer.on_leader_changed(change)
        self.leader_changed.notify_all()

    def on_barrier(self, waiter_id: int, index: int | None) -> None:
        """Report the end of a read barrier."""
        waiter = self._barriers.pop(waiter_id, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(index)

    def _apply(self, entry: CommittedEntry) -> Result | ProposalFailure:
        """Apply an entry; one without a command that can be decoded has no effect on any node."""
        if not entry.payload:
            return ProposalFailure.IN_DOUBT
        try:
            command = decode_command(entry.payload)
        except DECODE_ERRORS as error:
            log.warning("coordination_entry_unreadable", index=entry.index, reason=str(error))
            return ProposalFailure.IN_DOUBT
        result = self.state.apply(entry.index, command)
        if isinstance(command, PutCell):
            self.latest_put_index = entry.index
        for observer in self.observers:
            observer.on_applied(command, result)
        return result

    def _replace_proposal(self, index: int, proposal: Proposal) -> None:
        """Register a proposal; an earlier one at the same index belongs to an earlier term."""
        earlier = self._proposals.get(index)
        self._proposals[index] = proposal
        if earlier is not None:
            earlier.complete(ProposalFailure.IN_DOUBT)
