"""The controller's address: takes connections, cuts lines, and does what a connection's life decides.

Streams are not HTTP, so aiohttp's low-level server cannot read them; each connection stands on the protocol
class under that server (`aiohttp.base_protocol.BaseProtocol`), taken in one by one with asyncio.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Container

from aiohttp.base_protocol import BaseProtocol
from loguru import logger

from meadowworks.fleet import peers
from meadowworks.fleet.connection_state import Bounds, Life
from meadowworks.fleet.invariants import count
from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import (
    Attach,
    Collector,
    End,
    Joined,
    Left,
    News,
    Told,
    Unreadable,
    decode,
    strange,
)
from meadowworks.runtime.connection_limit import Collectors, ConnectionLimit

SECOND = 1_000_000_000
BOUNDS = Bounds()
STRANGER_S = 1.5  # who has not joined after 1 s may be let go; half as long again for a busy machine
# With no descriptor to spare the oldest stranger gives way, once what it sent has had time to arrive.
GRACE_S = 0.2
SPARE = 24  # descriptors for the loop, the log, the configuration, discovery's connections old and new
AGAIN_S = 0.02  # between looks for a descriptor while peers hold them all
BACKLOG = 1024  # connections that may wait to be taken: a fleet that dials at once, with strangers among it
REPORTS_MOST = 4096  # waiting on one connection: many times what the report rate brings in a stall
OPEN_S, OPEN_AGAIN_S = 10.0, 0.05  # how long to try for the address, and how often
COLLECTORS_MOST = 4  # of one zone: each zone has one, and older ones may be cut off without a word


class Door:
    """The listening socket, who has come in, and who of them has no name so far."""

    def __init__(self, module: Mailbox[News], zones: Container[str], proxies: int, sockets: int) -> None:
        self.module, self.zones, self.proxies = module, zones, proxies
        self.crowd: ConnectionLimit[Connection] = ConnectionLimit(sockets - SPARE, int(GRACE_S * SECOND))
        self.collectors: Collectors[Mailbox[Told]] = Collectors(COLLECTORS_MOST)
        self.peers: set[asyncio.Task[None]] = set()

    async def listen(self, host: str, port: int) -> socket.socket:
        """Guards against an address that a predecessor, killed a moment ago, still holds."""
        loop = asyncio.get_running_loop()
        end = loop.time() + OPEN_S
        while True:
            try:
                found = socket.create_server((host, port), backlog=BACKLOG)
                found.setblocking(False)
                return found
            except OSError as trouble:
                if loop.time() > end:
                    raise
                if count("address not free"):
                    logger.warning("{}:{} is not free yet: {}", host, port, trouble)
            await asyncio.sleep(OPEN_AGAIN_S)

    async def run(self, listening: socket.socket) -> None:
        """Takes in one connection after another, each only once there is a descriptor for it.

        Guards against crowds: asyncio's own server accepts all that wait before any has been read, and
        stops for a second when descriptors run out. A first line that has come is read before the next
        connection is taken, so a proxy is never one of the crowd; the rest waits in the backlog."""
        loop = asyncio.get_running_loop()
        while True:
            await self.room()
            try:
                taken, _ = await loop.sock_accept(listening)
                await loop.connect_accepted_socket(lambda: Connection(loop, self), taken)
            except OSError as trouble:  # gone again, or not a descriptor left in spite of all
                if count("connections not taken"):
                    logger.warning("a connection could not be taken: {}", trouble)
                await asyncio.sleep(AGAIN_S)

    async def room(self) -> None:
        loop = asyncio.get_running_loop()
        while self.crowd.is_full():
            oldest, wait_ns = self.crowd.next_eviction(int(loop.time() * SECOND))
            if oldest:
                oldest.life.crowded()
            await asyncio.sleep(min(AGAIN_S, wait_ns / SECOND) if oldest or wait_ns else AGAIN_S)

    def knows(self, first: Attach | Collector) -> bool:
        """Whether the settings have such a peer."""
        return first.zone in self.zones and (isinstance(first, Collector) or first.proxy < self.proxies)

    def employ(self, first: Attach | Collector, life: Life, mailbox: Mailbox[Told]) -> None:
        """Starts the actor of a peer that has said who it is."""
        if isinstance(first, Collector) and (old := self.collectors.come(first.zone, mailbox)):
            old.put(End("newer ones of its zone have come"))
        task = asyncio.get_running_loop().create_task(peers.serve(life, mailbox))
        self.peers.add(task)
        task.add_done_callback(self.ended)

    def ended(self, task: asyncio.Task[None]) -> None:
        self.peers.discard(task)
        if not task.cancelled() and (trouble := task.exception()) is not None:
            told = {"message": "a peer's actor failed; its connection is ended", "exception": trouble}
            task.get_loop().call_exception_handler(told)


class Connection(BaseProtocol):
    """One connection: bytes to lines, lines to messages, messages to its life, whose host it is."""

    def __init__(self, loop: asyncio.AbstractEventLoop, door: Door) -> None:
        super().__init__(loop)
        self.door = door
        self.life = Life(self, door.knows, BOUNDS)
        self.rest = bytearray()
        self.scanned = 0
        self.mailbox: Mailbox[Told]  # of a peer: strangers are many, and need none
        self.limit: asyncio.TimerHandle | None = None

    # -- what the transport brings

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.door.crowd.on_open(int(self._loop.time() * SECOND), self)
        # Never put off: who only asks for signs of life holds a descriptor as the silent do.
        self.limit = self._loop.call_later(STRANGER_S, self.life.late)

    def data_received(self, data: bytes) -> None:
        if self.life.over:
            return
        self.rest += data
        start = 0
        while not self.life.over and (end := self.rest.find(b"\n", max(start, self.scanned))) >= 0:
            self.line(bytes(self.rest[start:end]))
            start = end + 1
        del self.rest[:start]
        if self.life.over:
            return self.rest.clear()
        self.scanned = len(self.rest)
        if self.rest:
            self.life.unended(len(self.rest), strange(bytes(self.rest[: BOUNDS.strange])))

    def line(self, line: bytes) -> None:
        try:
            said = decode(line)
        except ValueError as trouble:
            if count("lines passed over: " + ("unreadable" if isinstance(trouble, Unreadable) else "spoilt")):
                logger.warning("passed over {!r}: {}", line[:120], trouble)
            return self.life.babbled() if isinstance(trouble, Unreadable) else self.life.spoilt()
        self.life.said(said)

    def connection_lost(self, exc: BaseException | None) -> None:
        super().connection_lost(exc)
        self.door.crowd.on_close(self)
        self.life.lost("closed" if exc is None else f"{exc}")
        if not self.life.first:
            del self.life.line  # guards against crowds that only a collection of garbage would free

    # -- its life's host

    def write(self, data: bytes) -> None:
        if self.transport:
            self.transport.write(data)

    def unsent(self) -> int:
        return self.transport.get_write_buffer_size() if self.transport else 0

    def close(self) -> None:
        if self.transport:
            self.transport.close()

    def abort(self) -> None:
        if self.transport:
            self.transport.abort()

    def named(self) -> None:
        self.door.crowd.protect(self)
        if self.limit:
            self.limit.cancel()

    def employ(self, first: Attach | Collector) -> None:
        self.mailbox = Mailbox(REPORTS_MOST)
        self.door.employ(first, self.life, self.mailbox)

    def put(self, item: Told, report: bool) -> None:
        self.mailbox.put(item, report)

    def joined(self, first: Attach) -> Joined:
        return Joined(first, self.mailbox)

    def left(self, first: Attach) -> Left:
        return Left(first.proxy, self.mailbox)

    def tell(self, item: News, report: bool) -> None:
        self.door.module.put(item, report)

    def count(self, what: str) -> None:
        count(what)
