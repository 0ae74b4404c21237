"""The I/O driver of the consensus replica, which executes its effects in order and reports their results.

The replica makes all decisions, including the order of writes and sends. The proposed and read value is the
operator's configuration.
"""

from __future__ import annotations

import asyncio
import random
import sqlite3
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Protocol
from uuid import uuid4

from meadowworks.consensus.effects import (
    ApplyEntries,
    Committed,
    CompleteBarrier,
    CompleteOperation,
    Conflict,
    Effect,
    LeaderChanged,
    LogEffect,
    LogEntry,
    Persist,
    RestoreSnapshot,
    SendReply,
    SendRequest,
    Undecided,
    ValueCommitted,
)
from meadowworks.consensus.messages import POSITION_REQUEST_TYPES, Reply, Request
from meadowworks.consensus.metadata import load_acceptor
from meadowworks.consensus.operations import LEAVE_WAITER_ID
from meadowworks.consensus.replica import Replica
from meadowworks.consensus.replicated_log import ReplicatedLog
from meadowworks.consensus.values import CommittedValue
from meadowworks.controlplane import consensus_envelope
from meadowworks.controlplane.async_store import AsyncStore
from meadowworks.controlplane.log_listener import LogListener
from meadowworks.gossip.messages import DECODE_ERRORS, MalformedMessageError
from meadowworks.runtime import logging as logs
from meadowworks.runtime.background_tasks import BackgroundTasks
from meadowworks.runtime.clock import NS_PER_SECOND, now_ns
from meadowworks.runtime.errors import InvariantError, RequestError, UnexpectedStatusError
from meadowworks.runtime.node_settings import NodeSettings
from meadowworks.storage.sqlite_store import StoredState

REQUEST_PATH = b"/letter"
REQUEST_TIMEOUT_S = 1.0  # longer than the replica's resend interval
HTTP_BAD_REQUEST = 400
MIN_TICK_DELAY_S = 0.001  # lets the event loop run other tasks when a tick is overdue
MEMBER_ID_LOG_LENGTH = 8
Outcome = Committed | Conflict | Undecided | CommittedValue
log = logs.get_logger("consensus")


class PeerCaller(Protocol):
    """The part of `PeerClient` that this module uses."""

    async def call(self, path: bytes, body: bytes, timeout_s: float) -> bytes:
        """Send a request and return the body of its reply.

        :raises RequestError: the request failed.
        """


class PeerCallerPool(Protocol):
    """The part of `PeerClientPool` that this module uses."""

    def client(self, host: str, port: int) -> PeerCaller:
        """Return the client for an address."""


def is_from_old_release(request: Request, error: Exception) -> bool:
    """Return whether a request failed because the other member's release cannot read it."""
    if not isinstance(request, POSITION_REQUEST_TYPES) or not isinstance(error, UnexpectedStatusError):
        return False
    return error.status == HTTP_BAD_REQUEST


def create_replica(settings: NodeSettings, stored: StoredState) -> Replica:
    """Return a node's replica, restored from its disk; an empty disk gets a new member id."""
    port = settings.peer_port  # the same on all nodes
    acceptor = load_acceptor(
        stored.metadata,
        new_member_id=uuid4().hex,
        address=f"{settings.ip}:{port}",
        seeds=tuple(f"{host}:{port}" for host, _ in settings.seeds),
        bootstrap=settings.bootstrap,
        voting=settings.voting,
        committed=stored.committed,
        history=stored.history,
        slots=stored.slots,
        log=ReplicatedLog() if stored.log is None else ReplicatedLog.from_stored(stored.log),
    )
    return Replica(acceptor, settings.tolerated_failures, random.random)


class ConfigService:
    """Reads and replaces the configuration by consensus.

    :param replica: the consensus state machine; whoever calls its inputs must call `run_effects` afterwards.
    :param store: the store for the replica's state.
    :param peer_clients: clients for the other members.
    :param tasks: runs the pending writes and requests.
    :param on_commit: called with each value that this node learns to be committed.
    :ivar log_listener: receives the effects of the replicated log; must be set before `start`.
    """

    def __init__(
        self,
        replica: Replica,
        store: AsyncStore,
        peer_clients: PeerCallerPool,
        tasks: BackgroundTasks,
        on_commit: Callable[[CommittedValue], None],
    ) -> None:
        self.replica = replica
        self.peer_clients = peer_clients
        self._store = store
        self._tasks = tasks
        self._on_commit = on_commit
        self.log_listener: LogListener | None = None
        self._waiters: dict[int, asyncio.Future[Outcome]] = {}
        self._last_waiter_id = 0
        self._tick_timer: asyncio.TimerHandle | None = None
        self._is_closed = False
        # Caches the last compressed request, since the same request is sent to several members.
        self._last_compressed: tuple[Request, bytes] | None = None

    async def start(self) -> None:
        """Start the replica, and return once the number of its incarnation is on disk.

        :raises sqlite3.Error: the write failed; the node must not participate in the consensus.
        """
        self.replica.start(now_ns())
        for effect in self.replica.take_effects():
            if isinstance(effect, Persist):
                await self._store.save_consensus_state(effect.update)
                self.replica.on_persisted(now_ns(), effect.write_id)
            elif isinstance(effect, LogEffect):
                self._run_log_effect(effect)  # for example the snapshot that the disk contains
        acceptor = self.replica.acceptor
        log.info(
            "member_started",
            member=acceptor.member_id[:MEMBER_ID_LOG_LENGTH],
            incarnation=acceptor.incarnation,
            version=f"{acceptor.committed.version:08x}",
            epoch=acceptor.epoch.number,
        )
        self.run_effects()

    async def propose(self, version: int, value: bytes, timeout_ns: int) -> Committed | Conflict | Undecided:
        """Propose a configuration under a version."""
        waiter_id, waiter = self._new_waiter()
        now = now_ns()
        self.replica.propose(now, waiter_id, version, value, now + timeout_ns)
        self.run_effects()
        outcome = await waiter
        assert not isinstance(outcome, CommittedValue)
        return outcome

    async def read(self, timeout_ns: int) -> CommittedValue | Undecided:
        """Return a configuration at least as new as any that was acknowledged before this call."""
        waiter_id, waiter = self._new_waiter()
        now = now_ns()
        self.replica.read(now, waiter_id, now + timeout_ns)
        self.run_effects()
        outcome = await waiter
        assert isinstance(outcome, CommittedValue | Undecided)
        return outcome

    async def hand_over(self, timeout_ns: int) -> bool:
        """Leave the membership and transfer the state to the other members.

        :returns: whether that completed within the timeout.
        """
        waiter = self._waiters[LEAVE_WAITER_ID] = asyncio.get_running_loop().create_future()
        now = now_ns()
        self.replica.leave(now, now + timeout_ns)
        self.run_effects()
        return isinstance(await waiter, Committed)

    async def handle_request(self, body: bytes) -> bytes:
        """Return the reply to another member's request, once the replica releases it.

        :raises MalformedMessageError: the body can't be decoded; or another of `DECODE_ERRORS`.
        """
        envelope = consensus_envelope.decode_request(body)
        ticket: asyncio.Future[tuple[str, Reply]] = asyncio.get_running_loop().create_future()
        with self._invariants_are_fatal():
            self.replica.on_request(now_ns(), ticket, envelope.request)
        self.run_effects()
        member_id, reply = await ticket
        compressed = await consensus_envelope.compress_message(reply)
        return consensus_envelope.encode_reply(envelope.request_id, member_id, compressed)

    def run_effects(self) -> None:
        """Execute the replica's effects in order, then schedule its next tick."""
        if self._is_closed:
            return  # prevents writes and sends after the shutdown
        with self._invariants_are_fatal():
            while effects := self.replica.take_effects():
                for effect in effects:
                    self._run_effect(effect)
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        delay_s = max(MIN_TICK_DELAY_S, (self.replica.next_tick_ns() - now_ns()) / NS_PER_SECOND)
        self._tick_timer = asyncio.get_running_loop().call_later(delay_s, self._tick)

    def close(self) -> None:
        """Stop executing effects. The owner closes the store and the tasks."""
        self._is_closed = True
        if self._tick_timer is not None:
            self._tick_timer.cancel()

    def _run_effect(self, effect: Effect) -> None:
        match effect:
            case Persist():
                self._tasks.start(self._persist(effect))
            case SendRequest():
                self._tasks.start(self.send_request(effect))
            case SendReply(ticket, member_id, reply):
                if not ticket.done():
                    ticket.set_result((member_id, reply))
            case CompleteOperation(waiter_id, outcome):
                waiter = self._waiters.pop(waiter_id, None)
                if waiter is not None and not waiter.done():
                    waiter.set_result(outcome)
            case ValueCommitted(committed):
                log.info("config_committed", version=f"{committed.version:08x}")
                self._on_commit(committed)
            case LogEntry(event, fields):
                log.info(event, **fields)
            case ApplyEntries() | RestoreSnapshot() | LeaderChanged() | CompleteBarrier():
                self._run_log_effect(effect)

    def _run_log_effect(self, effect: LogEffect) -> None:
        listener = self.log_listener
        if listener is None:
            return
        match effect:
            case ApplyEntries(entries):
                listener.on_entries(entries)
            case RestoreSnapshot(index, content):
                listener.on_snapshot(index, content)
            case LeaderChanged():
                listener.on_leader_changed(effect)
            case CompleteBarrier(waiter_id, index):
                listener.on_barrier(waiter_id, index)

    def _tick(self) -> None:
        with self._invariants_are_fatal():
            self.replica.tick(now_ns())
        self.run_effects()

    @contextmanager
    def _invariants_are_fatal(self) -> Iterator[None]:
        """End the program if the replica's state is invalid, also where a server handles the exception."""
        try:
            yield
        except InvariantError as error:
            self._tasks.report_fatal(error)
            raise

    async def _persist(self, effect: Persist) -> None:
        try:
            await self._store.save_consensus_state(effect.update)
        except sqlite3.Error as error:
            log.warning("consensus_write_failed", reason=str(error))
            self.replica.on_persist_failed(now_ns(), effect.write_id)
        else:
            self.replica.on_persisted(now_ns(), effect.write_id)
        self.run_effects()

    async def send_request(self, effect: SendRequest) -> None:
        """Send a request to a member and pass the reply or the failure to the replica."""
        try:
            envelope = await self._call_member(effect)
        except (RequestError, *DECODE_ERRORS) as error:
            log.debug("consensus_request_failed", peer=effect.address, reason=str(error))
            if is_from_old_release(effect.request, error):
                self.replica.on_request_unreadable(now_ns(), effect.request_id)
            else:
                self.replica.on_request_failed(now_ns(), effect.request_id)
        else:
            self.replica.on_reply(now_ns(), effect.request_id, envelope.member_id, envelope.reply)
        self.run_effects()

    async def _call_member(self, effect: SendRequest) -> consensus_envelope.ReplyEnvelope:
        host, _, port = effect.address.rpartition(":")
        if self._last_compressed is None or self._last_compressed[0] is not effect.request:
            self._last_compressed = (
                effect.request,
                await consensus_envelope.compress_message(effect.request),
            )
        body = consensus_envelope.encode_request(effect.request_id, self._last_compressed[1])
        client = self.peer_clients.client(host, int(port))
        envelope = consensus_envelope.decode_reply(await client.call(REQUEST_PATH, body, REQUEST_TIMEOUT_S))
        if envelope.request_id != effect.request_id:
            raise MalformedMessageError(f"reply to request {envelope.request_id}, not {effect.request_id}")
        return envelope

    def _new_waiter(self) -> tuple[int, asyncio.Future[Outcome]]:
        self._last_waiter_id += 1
        waiter: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self._waiters[self._last_waiter_id] = waiter
        return self._last_waiter_id, waiter
