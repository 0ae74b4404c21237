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
from meadowworks.runtime.peer_client import Peer
from meadowworks.runtime.process import Tasks, now_ns
from meadowworks.storage.sqlite_store import Disk

LETTER_S = 1.0  # that a request's reply is waited for
SMALL = 4096  # bytes above which a body is compressed off the loop
log = logs.get_logger("table")
Outcome = Any  # of an order: what replica.Answer holds


class Office:
    """`in_force` is called with each version that comes to be known as chosen."""

    def __init__(
        self,
        boot: NodeSettings,
        disk: Disk,
        peers: Callable[[str, int], Peer],
        in_force: Callable[[Held], None],
        tasks: Tasks,
    ) -> None:
        self.disk, self.peers, self.in_force, self.tasks = disk, peers, in_force, tasks
        stored = disk.load()
        acceptor = acceptor_for(
            stored.meta,
            disk=uuid4().hex,
            address=f"{boot.ip}:{boot.peer_port}",
            seeds=tuple(
                f"{host}:{boot.peer_port}" for host, _ in boot.seeds
            ),  # ports are alike on all machines
            bootstrap=boot.bootstrap,
            voting=boot.voting,
            held=stored.held,
            history=stored.history,
            slots=stored.slots,
        )
        self.replica = Replica(acceptor, boot.tolerated_failures, random.random)
        self.thread = ThreadPoolExecutor(1)
        self.orders: dict[int, asyncio.Future[Outcome]] = {}
        self.count = 0
        self.timer: asyncio.TimerHandle | None = None
        self.packed: tuple[Request, bytes] | None = None  # the request that went out last, to several

    async def begin(self) -> None:
        """Returns once the number of this life is on the disk. Raises sqlite3.Error."""
        self.replica.start(now_ns())
        effects = self.replica.take()
        for effect in effects:
            if isinstance(effect, Write):
                await asyncio.get_running_loop().run_in_executor(self.thread, self.disk.save, effect.rows)
                self.replica.written(now_ns(), effect.mark)
        acceptor = self.replica.acceptor
        log.info(
            "disk {} in its life {}: version {:08x}, epoch {}",
            acceptor.disk[:8],
            acceptor.life,
            acceptor.held.version,
            acceptor.epoch.number,
        )
        self.pump()

    # -- effects

    def pump(self) -> None:
        """Does what the machine wants done, in order."""
        while effects := self.replica.take():
            for effect in effects:
                match effect:
                    case Write():
                        self.tasks.start(self.write(effect))
                    case Ask():
                        self.tasks.start(self.send(effect))
                    case Tell(ticket, who, reply):
                        if not ticket.done():
                            ticket.set_result((who, reply))
                    case Answer(order, outcome):
                        waiting = self.orders.pop(order, None)
                        if waiting is not None and not waiting.done():
                            waiting.set_result(outcome)
                    case InForce(held):
                        log.info("version {:08x} is in force", held.version)
                        self.in_force(held)
                    case Note(text):
                        log.info("{}", text)
        if self.timer is not None:
            self.timer.cancel()
        wait_s = max(0.001, (self.replica.due() - now_ns()) / 1e9)
        self.timer = asyncio.get_running_loop().call_later(wait_s, self.turn)

    def turn(self) -> None:
        self.replica.tick(now_ns())
        self.pump()

    async def write(self, what: Write) -> None:
        try:
            await asyncio.get_running_loop().run_in_executor(self.thread, self.disk.save, what.rows)
        except sqlite3.Error as trouble:
            log.warning("the disk refuses: {}", trouble)
            self.replica.unwritten(now_ns(), what.mark)
        else:
            self.replica.written(now_ns(), what.mark)
        self.pump()

    async def send(self, what: Ask) -> None:
        host, _, port = what.address.rpartition(":")
        try:
            if self.packed is None or self.packed[0] is not what.request:
                self.packed = what.request, await squeezed(what.request)
            body = post.encode([what.question, self.packed[1]])
            raw = await self.peers(host, int(port)).call(b"/letter", body, LETTER_S)
            question, who, reply = read_reply(raw)
            if question != what.question:
                raise post.MalformedMessageError("the reply to another question")
        except (RequestError, *post.DECODE_ERRORS) as trouble:
            log.debug("a request without reply: {}", trouble)
            self.replica.failed(now_ns(), what.question)
        else:
            self.replica.heard(now_ns(), what.question, who, reply)
        self.pump()

    # -- inputs

    async def asked(self, body: bytes) -> bytes:
        """The reply to another signalbox's request, once it may leave. Raises post.SHAPE."""
        question, request = read_request(body)
        ticket: asyncio.Future[tuple[str, Reply]] = asyncio.get_running_loop().create_future()
        self.replica.asked(now_ns(), ticket, request)
        self.pump()
        who, reply = await ticket
        return post.encode([question, who, await squeezed(reply)])

    def ordered(self) -> tuple[int, asyncio.Future[Outcome]]:
        self.count += 1
        waiting: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self.orders[self.count] = waiting
        return self.count, waiting

    async def order(self, version: int, content: bytes, within_ns: int) -> Outcome:
        """replica.Taken, Another or Late."""
        number, waiting = self.ordered()
        now = now_ns()
        self.replica.order(now, number, version, content, now + within_ns)
        self.pump()
        return await waiting

    async def read(self, within_ns: int) -> Held | Late:
        number, waiting = self.ordered()
        now = now_ns()
        self.replica.read(now, number, now + within_ns)
        self.pump()
        return await waiting  # type: ignore[no-any-return]

    async def leave(self, within_ns: int) -> Outcome:
        """Returns when what is held here has been handed over, or the time is over."""
        waiting: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self.orders[LEAVE] = waiting
        now = now_ns()
        self.replica.leave(now, now + within_ns)
        self.pump()
        return await waiting

    def close(self) -> None:
        """What is being written is written."""
        if self.timer is not None:
            self.timer.cancel()
        self.thread.shutdown()
        self.disk.close()


async def squeezed(what: Request | Reply) -> bytes:
    """A large body is compressed off the loop."""
    body = post.encode(register.pack(what))
    if len(body) <= SMALL:
        return zlib.compress(body, 6)
    return await asyncio.get_running_loop().run_in_executor(None, zlib.compress, body, 6)


def opened(body: bytes) -> Any:
    try:
        return register.unpack(post.decode(zlib.decompress(body)))
    except zlib.error as trouble:
        raise post.MalformedMessageError(f"no letter: {trouble}") from None


def read_request(body: bytes) -> tuple[int, Request]:
    """Raises post.SHAPE."""
    question, inner = post.decode(body)
    return int(question), opened(inner)


def read_reply(body: bytes) -> tuple[int, str, Reply]:
    """The question that it answers, who says it, and what. Raises post.SHAPE."""
    question, who, inner = post.decode(body)
    return int(question), str(who), opened(inner)
