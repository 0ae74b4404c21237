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

from meadowworks.consensus import register
from meadowworks.consensus.register import Held, Reply, Request
from meadowworks.consensus.replica import (
    LEAVE,
    Answer,
    Ask,
    InForce,
    Late,
    Note,
    Replica,
    Tell,
    Write,
    acceptor_for,
)
from meadowworks.gossip import messages as post
from meadowworks.runtime import logging as logs
from meadowworks.runtime.errors import RequestError
from meadowworks.runtime.node_settings import NodeSettings
from meadowworks.runtime.peer_client import PeerClient
from meadowworks.runtime.process import BackgroundTasks, now_ns
from meadowworks.storage.sqlite_store import Disk

REQUEST_TIMEOUT_S = 1.0  # that a request's reply is waited for
INLINE_COMPRESSION_MAX_BYTES = 4096  # bytes above which a body is compressed off the loop
log = logs.get_logger("table")
OperationOutcome = Any  # of an order: what replica.Answer holds


class ConfigService:
    """`in_force` is called with each version that comes to be known as chosen."""

    def __init__(
        self,
        settings: NodeSettings,
        store: Disk,
        peer_client: Callable[[str, int], PeerClient],
        on_commit: Callable[[Held], None],
        tasks: BackgroundTasks,
    ) -> None:
        self.store, self.peer_client, self.on_commit, self.tasks = store, peer_client, on_commit, tasks
        stored = store.load()
        acceptor = acceptor_for(
            stored.meta,
            disk=uuid4().hex,
            address=f"{settings.ip}:{settings.peer_port}",
            seeds=tuple(
                f"{host}:{settings.peer_port}" for host, _ in settings.seeds
            ),  # ports are alike on all machines
            bootstrap=settings.bootstrap,
            voting=settings.voting,
            held=stored.held,
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
        effects = self.replica.take()
        for effect in effects:
            if isinstance(effect, Write):
                await asyncio.get_running_loop().run_in_executor(
                    self.disk_executor, self.store.save, effect.rows
                )
                self.replica.written(now_ns(), effect.mark)
        acceptor = self.replica.acceptor
        log.info(
            "disk {} in its life {}: version {:08x}, epoch {}",
            acceptor.disk[:8],
            acceptor.life,
            acceptor.held.version,
            acceptor.epoch.number,
        )
        self.run_effects()

    # -- effects

    def run_effects(self) -> None:
        """Does what the machine wants done, in order."""
        while effects := self.replica.take():
            for effect in effects:
                match effect:
                    case Write():
                        self.tasks.start(self.persist(effect))
                    case Ask():
                        self.tasks.start(self.send_request(effect))
                    case Tell(ticket, who, reply):
                        if not ticket.done():
                            ticket.set_result((who, reply))
                    case Answer(order, outcome):
                        waiting = self.pending_operations.pop(order, None)
                        if waiting is not None and not waiting.done():
                            waiting.set_result(outcome)
                    case InForce(held):
                        log.info("version {:08x} is in force", held.version)
                        self.on_commit(held)
                    case Note(text):
                        log.info("{}", text)
        if self.tick_timer is not None:
            self.tick_timer.cancel()
        wait_s = max(0.001, (self.replica.due() - now_ns()) / 1e9)
        self.tick_timer = asyncio.get_running_loop().call_later(wait_s, self.on_tick)

    def on_tick(self) -> None:
        self.replica.tick(now_ns())
        self.run_effects()

    async def persist(self, effect: Write) -> None:
        try:
            await asyncio.get_running_loop().run_in_executor(self.disk_executor, self.store.save, effect.rows)
        except sqlite3.Error as trouble:
            log.warning("the disk refuses: {}", trouble)
            self.replica.unwritten(now_ns(), effect.mark)
        else:
            self.replica.written(now_ns(), effect.mark)
        self.run_effects()

    async def send_request(self, effect: Ask) -> None:
        host, _, port = effect.address.rpartition(":")
        try:
            if self.last_encoded_request is None or self.last_encoded_request[0] is not effect.request:
                self.last_encoded_request = effect.request, await encode_message(effect.request)
            body = post.encode([effect.question, self.last_encoded_request[1]])
            raw = await self.peer_client(host, int(port)).call(b"/letter", body, REQUEST_TIMEOUT_S)
            question, who, reply = decode_reply(raw)
            if question != effect.question:
                raise post.MalformedMessageError("the reply to another question")
        except (RequestError, *post.DECODE_ERRORS) as trouble:
            log.debug("a request without reply: {}", trouble)
            self.replica.failed(now_ns(), effect.question)
        else:
            self.replica.heard(now_ns(), effect.question, who, reply)
        self.run_effects()

    # -- inputs

    async def handle_request(self, body: bytes) -> bytes:
        """The reply to another signalbox's request, once it may leave. Raises post.SHAPE."""
        question, request = decode_request(body)
        ticket: asyncio.Future[tuple[str, Reply]] = asyncio.get_running_loop().create_future()
        self.replica.asked(now_ns(), ticket, request)
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
        self.replica.order(now, number, version, content, now + timeout_ns)
        self.run_effects()
        return await waiting

    async def read(self, timeout_ns: int) -> Held | Late:
        number, waiting = self.register_operation()
        now = now_ns()
        self.replica.read(now, number, now + timeout_ns)
        self.run_effects()
        return await waiting  # type: ignore[no-any-return]

    async def hand_over(self, timeout_ns: int) -> OperationOutcome:
        """Returns when what is held here has been handed over, or the time is over."""
        waiting: asyncio.Future[OperationOutcome] = asyncio.get_running_loop().create_future()
        self.pending_operations[LEAVE] = waiting
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
    body = post.encode(register.pack(message))
    if len(body) <= INLINE_COMPRESSION_MAX_BYTES:
        return zlib.compress(body, 6)
    return await asyncio.get_running_loop().run_in_executor(None, zlib.compress, body, 6)


def decode_message(body: bytes) -> Any:
    try:
        return register.unpack(post.decode(zlib.decompress(body)))
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
