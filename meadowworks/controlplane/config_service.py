"""The timetable's desk in a signalbox: what its `Replica` wants written, sent and answered is done here, in
the order in which it comes; the machine decides all else.
"""

from __future__ import annotations

import asyncio
import random
import sqlite3
import zlib
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any
from uuid import uuid4

from meadowworks.consensus import codec
from meadowworks.consensus.effects import (
    CompleteOperation,
    LogEntry,
    Persist,
    SendReply,
    SendRequest,
    Undecided,
    ValueCommitted,
)
from meadowworks.consensus.messages import Reply, Request
from meadowworks.consensus.metadata import load_acceptor
from meadowworks.consensus.operations import LEAVE_WAITER_ID
from meadowworks.consensus.replica import Replica
from meadowworks.consensus.values import CommittedValue
from meadowworks.gossip import messages as post
from meadowworks.runtime import logging as logs
from meadowworks.runtime.errors import RequestError
from meadowworks.runtime.node_settings import NodeSettings
from meadowworks.runtime.peer_client import PeerClient
from meadowworks.runtime.process import BackgroundTasks, now_ns
from meadowworks.storage.sqlite_store import SqliteStore

REQUEST_TIMEOUT_S = 1.0  # that a request's reply is waited for
INLINE_COMPRESSION_MAX_BYTES = 4096  # bytes above which a body is compressed off the loop
log = logs.get_logger("table")
OperationOutcome = Any  # of an order: what replica.Answer holds


class ConfigService:
    """`in_force` is called with each version that comes to be known as chosen."""

    def __init__(
        self,
        settings: NodeSettings,
        store: SqliteStore,
        peer_client: Callable[[str, int], PeerClient],
        on_commit: Callable[[CommittedValue], None],
        tasks: BackgroundTasks,
    ) -> None:
        self.store, self.peer_client, self.on_commit, self.tasks = store, peer_client, on_commit, tasks
        stored = store.load()
        acceptor = load_acceptor(
            stored.metadata,
            new_member_id=uuid4().hex,
            address=f"{settings.ip}:{settings.peer_port}",
            seeds=tuple(
                f"{host}:{settings.peer_port}" for host, _ in settings.seeds
            ),  # ports are alike on all machines
            bootstrap=settings.bootstrap,
            voting=settings.voting,
            committed=stored.committed,
            history=stored.history,
            slots=stored.slots,
        )
        self.replica = Replica(acceptor, settings.tolerated_failures, random.random)
        self.disk_executor = ThreadPoolExecutor(1)
        self.pending_operations: dict[int, asyncio.Future[OperationOutcome]] = {}
        self.last_operation_id = 0
        self.tick_timer: asyncio.TimerHandle | None = None
        self.last_encoded_request: tuple[Request, bytes] | None = (
            None  # the request that went out last, to several
        )

    async def start(self) -> None:
        """Returns once the number of this life is on the disk. Raises sqlite3.Error."""
        self.replica.start(now_ns())
        effects = self.replica.take_effects()
        for effect in effects:
            if isinstance(effect, Persist):
                await asyncio.get_running_loop().run_in_executor(
                    self.disk_executor, self.store.save, effect.update
                )
                self.replica.on_persisted(now_ns(), effect.write_id)
        acceptor = self.replica.acceptor
        log.info(
            "disk {} in its life {}: version {:08x}, epoch {}",
            acceptor.member_id[:8],
            acceptor.incarnation,
            acceptor.committed.version,
            acceptor.epoch.number,
        )
        self.run_effects()

    # -- effects

    def run_effects(self) -> None:
        """Does what the machine wants done, in order."""
        while effects := self.replica.take_effects():
            for effect in effects:
                match effect:
                    case Persist():
                        self.tasks.start(self.persist(effect))
                    case SendRequest():
                        self.tasks.start(self.send_request(effect))
                    case SendReply(ticket, who, reply):
                        if not ticket.done():
                            ticket.set_result((who, reply))
                    case CompleteOperation(order, outcome):
                        waiting = self.pending_operations.pop(order, None)
                        if waiting is not None and not waiting.done():
                            waiting.set_result(outcome)
                    case ValueCommitted(held):
                        log.info("version {:08x} is in force", held.version)
                        self.on_commit(held)
                    case LogEntry(text):
                        log.info("{}", text)
        if self.tick_timer is not None:
            self.tick_timer.cancel()
        wait_s = max(0.001, (self.replica.next_tick_ns() - now_ns()) / 1e9)
        self.tick_timer = asyncio.get_running_loop().call_later(wait_s, self.on_tick)

    def on_tick(self) -> None:
        self.replica.tick(now_ns())
        self.run_effects()

    async def persist(self, effect: Persist) -> None:
        try:
            await asyncio.get_running_loop().run_in_executor(
                self.disk_executor, self.store.save, effect.update
            )
        except sqlite3.Error as trouble:
            log.warning("the disk refuses: {}", trouble)
            self.replica.on_persist_failed(now_ns(), effect.write_id)
        else:
            self.replica.on_persisted(now_ns(), effect.write_id)
        self.run_effects()

    async def send_request(self, effect: SendRequest) -> None:
        host, _, port = effect.address.rpartition(":")
        try:
            if self.last_encoded_request is None or self.last_encoded_request[0] is not effect.request:
                self.last_encoded_request = effect.request, await encode_message(effect.request)
            body = post.encode([effect.request_id, self.last_encoded_request[1]])
            raw = await self.peer_client(host, int(port)).call(b"/letter", body, REQUEST_TIMEOUT_S)
            question, who, reply = decode_reply(raw)
            if question != effect.request_id:
                raise post.MalformedMessageError("the reply to another question")
        except (RequestError, *post.DECODE_ERRORS) as trouble:
            log.debug("a request without reply: {}", trouble)
            self.replica.on_request_failed(now_ns(), effect.request_id)
        else:
            self.replica.on_reply(now_ns(), effect.request_id, who, reply)
        self.run_effects()

    # -- inputs

    async def handle_request(self, body: bytes) -> bytes:
        """The reply to another signalbox's request, once it may leave. Raises post.SHAPE."""
        question, request = decode_request(body)
        ticket: asyncio.Future[tuple[str, Reply]] = asyncio.get_running_loop().create_future()
        self.replica.on_request(now_ns(), ticket, request)
        self.run_effects()
        who, reply = await ticket
        return post.encode([question, who, await encode_message(reply)])

    def register_operation(self) -> tuple[int, asyncio.Future[OperationOutcome]]:
        self.last_operation_id += 1
        waiting: asyncio.Future[OperationOutcome] = asyncio.get_running_loop().create_future()
        self.pending_operations[self.last_operation_id] = waiting
        return self.last_operation_id, waiting

    async def propose(self, version: int, content: bytes, timeout_ns: int) -> OperationOutcome:
        """replica.Taken, Another or Late."""
        number, waiting = self.register_operation()
        now = now_ns()
        self.replica.propose(now, number, version, content, now + timeout_ns)
        self.run_effects()
        return await waiting

    async def read(self, timeout_ns: int) -> CommittedValue | Undecided:
        number, waiting = self.register_operation()
        now = now_ns()
        self.replica.read(now, number, now + timeout_ns)
        self.run_effects()
        return await waiting  # type: ignore[no-any-return]

    async def hand_over(self, timeout_ns: int) -> OperationOutcome:
        """Returns when what is held here has been handed over, or the time is over."""
        waiting: asyncio.Future[OperationOutcome] = asyncio.get_running_loop().create_future()
        self.pending_operations[LEAVE_WAITER_ID] = waiting
        now = now_ns()
        self.replica.leave(now, now + timeout_ns)
        self.run_effects()
        return await waiting

    def close(self) -> None:
        """What is being written is written."""
        if self.tick_timer is not None:
            self.tick_timer.cancel()
        self.disk_executor.shutdown()
        self.store.close()


async def encode_message(message: Request | Reply) -> bytes:
    """A large body is compressed off the loop."""
    body = post.encode(codec.encode(message))
    if len(body) <= INLINE_COMPRESSION_MAX_BYTES:
        return zlib.compress(body, 6)
    return await asyncio.get_running_loop().run_in_executor(None, zlib.compress, body, 6)


def decode_message(body: bytes) -> Any:
    try:
        return codec.decode(post.decode(zlib.decompress(body)))
    except zlib.error as trouble:
        raise post.MalformedMessageError(f"no letter: {trouble}") from None


def decode_request(body: bytes) -> tuple[int, Request]:
    """Raises post.SHAPE."""
    question, inner = post.decode(body)
    return int(question), decode_message(inner)


def decode_reply(body: bytes) -> tuple[int, str, Reply]:
    """The question that it answers, who says it, and what. Raises post.SHAPE."""
    question, who, inner = post.decode(body)
    return int(question), str(who), decode_message(inner)
