"""The controller's address: takes connections, cuts lines, and lets the first line tell who speaks.

Streams are not HTTP, so aiohttp's low-level server cannot read them; each connection stands on the protocol
class under that server (`aiohttp.base_protocol.BaseProtocol`), taken in one by one with asyncio.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Container

from aiohttp.base_protocol import BaseProtocol
from loguru import logger

from meadowworks.node import collectors, proxies
from meadowworks.node.invariants import count
from meadowworks.node.mailbox import Mailbox
from meadowworks.node.messages import (
    BEAT_OK,
    LINE_MOST,
    Attach,
    Beat,
    Collector,
    End,
    News,
    Report,
    Spoken,
    Told,
    Unreadable,
    decode,
    reject,
    strange,
)

STRANGE_MOST = 1 << 12  # a first line is short, and so is all that can't be read: memory is for peers
STRANGER_S = 1.5  # who has not joined after 1 s may be let go; half as long again for a busy machine
# With no descriptor to spare the oldest stranger gives way, once what it sent has had time to arrive.
GRACE_S = 0.2
SPARE = 24  # descriptors for the loop, the log, the configuration, discovery's connections old and new
AGAIN_S = 0.02  # between looks for a descriptor while peers hold them all
BACKLOG = 1024  # connections that may wait to be taken: a fleet that dials at once, with strangers among it
REPORTS_MOST = 4096  # waiting on one connection: many times what the report rate brings in a stall
OPEN_S, OPEN_AGAIN_S = 10.0, 0.05  # how long to try for the address, and how often
COLLECTORS_MOST = 4  # of one zone: each zone has one, and older ones may be cut off without a word
UNREADABLE_MOST = 8  # in a row from a peer: one may be spoilt on its way, so many are another protocol


class Door:
    """The listening socket, who has come in, and who of them has no name so far."""

    def __init__(self, module: Mailbox[News], zones: Container[str], proxies: int, sockets: int) -> None:
        self.module, self.zones, self.proxies = module, zones, proxies
        self.collectors: dict[str, deque[Mailbox[Told]]] = {}
        self.open_most = max(1, sockets - SPARE)
        self.open = 0
        self.strangers: dict[Connection, float] = {}  # since when, oldest first
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
        while self.open >= self.open_most:
            oldest, since = next(iter(self.strangers.items()), (None, 0.0))
            wait_s = since + GRACE_S - loop.time() if oldest else AGAIN_S
            if oldest and wait_s <= 0:
                oldest.refuse("too many")
            await asyncio.sleep(min(AGAIN_S, max(0.0, wait_s)))  # others may go of themselves meanwhile

    def come(self, connection: Connection) -> None:
        self.open += 1
        self.strangers[connection] = asyncio.get_running_loop().time()

    def named(self, connection: Connection) -> None:
        self.strangers.pop(connection, None)

    def unknown(self, first: Attach | Collector) -> bool:
        """Whether no such peer is in the settings."""
        return first.zone not in self.zones or isinstance(first, Attach) and first.proxy >= self.proxies

    def employ(self, first: Attach | Collector, transport: asyncio.Transport, mailbox: Mailbox[Told]) -> None:
        """Starts the actor of a peer that has said who it is."""
        if isinstance(first, Collector):
            others = self.collectors.setdefault(first.zone, deque())
            others.append(mailbox)
            if len(others) > COLLECTORS_MOST:
                others.popleft().put(End("newer ones of its zone have come"))
        work = (proxies.serve(first, transport, mailbox, self.module) if isinstance(first, Attach)
                else collectors.serve(first, transport, mailbox, self.module))
        task = asyncio.get_running_loop().create_task(work)
        self.peers.add(task)
        task.add_done_callback(self.ended)

    def ended(self, task: asyncio.Task[None]) -> None:
        self.peers.discard(task)
        if not task.cancelled() and (trouble := task.exception()) is not None:
            told = {"message": "a peer's actor failed; its connection is ended", "exception": trouble}
            task.get_loop().call_exception_handler(told)


class Connection(BaseProtocol):
    """One connection: bytes to lines, lines to messages, messages to its peer's mailbox."""

    def __init__(self, loop: asyncio.AbstractEventLoop, door: Door) -> None:
        super().__init__(loop)
        self.door = door
        self.rest = bytearray()
        self.scanned = self.unreadable = 0
        self.over = False  # whatever still comes is not looked at
        self.mailbox: Mailbox[Told] | None = None
        self.limit: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.door.come(self)
        # Never put off: who only asks for signs of life holds a descriptor as the silent do.
        self.limit = self._loop.call_later(STRANGER_S, self.refuse, "no name in time")

    def refuse(self, why: str) -> None:
        """Ends a stranger at once, with a word; one that reads nothing goes without it."""
        count(f"strangers ended: {why}")
        self.door.named(self)
        self.over = True
        if self.transport:
            self.transport.write(reject(why))
            if self.transport.get_write_buffer_size():
                self.transport.abort()
            else:
                self.transport.close()

    def end(self, why: str) -> None:
        count(f"connections ended: {why}")
        self.over = True
        self.rest.clear()
        if self.transport:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        self.rest += data
        start = 0
        while not self.over and (end := self.rest.find(b"\n", max(start, self.scanned))) >= 0:
            self.line(bytes(self.rest[start:end]))
            start = end + 1
        del self.rest[:start]
        self.scanned = len(self.rest)
        if not self.over and len(self.rest) > STRANGE_MOST:
            if not self.mailbox:
                self.refuse("a line too long")
            elif len(self.rest) > LINE_MOST or strange(bytes(self.rest[:STRANGE_MOST])):
                self.end("a line too long")
        if self.transport and self.transport.get_write_buffer_size() > proxies.UNSENT_MOST:
            self.end("asks and does not read")

    def line(self, line: bytes) -> None:
        try:
            said = decode(line)
        except ValueError as trouble:
            if count("lines passed over: " + ("unreadable" if isinstance(trouble, Unreadable) else "spoilt")):
                logger.warning("passed over {!r}: {}", line[:120], trouble)
            self.unreadable += isinstance(trouble, Unreadable)
            if not self.mailbox:
                self.refuse("cannot be read")
            elif self.unreadable >= UNREADABLE_MOST:
                self.end("goes on with what cannot be read")
            return
        self.unreadable = 0
        if self.mailbox:
            self.mailbox.put(said, report=isinstance(said, Report))
        else:
            self.first(said)

    def first(self, said: Spoken) -> None:
        assert self.transport is not None
        match said:
            case Beat():
                self.transport.write(BEAT_OK)
            case Attach() | Collector() if self.door.unknown(said):
                self.refuse("no such peer")
            case Attach() | Collector():
                self.door.named(self)
                if self.limit:
                    self.limit.cancel()
                self.mailbox = Mailbox(REPORTS_MOST)
                self.door.employ(said, self.transport, self.mailbox)
            case _:
                self.refuse("has not joined")

    def connection_lost(self, exc: BaseException | None) -> None:
        super().connection_lost(exc)
        self.door.open -= 1
        self.door.named(self)
        self.over = True
        if self.limit:
            self.limit.cancel()
        if self.mailbox:
            self.mailbox.put(End("closed" if exc is None else f"{exc}"))
            self.mailbox = None
