"""The controller's address: takes connections, cuts lines, and lets the first line tell who speaks.

Streams are not HTTP, so aiohttp's low-level server cannot read them; each connection stands on the protocol
class under that server (`aiohttp.base_protocol.BaseProtocol`) with asyncio's `create_server`.
"""

from __future__ import annotations

import asyncio
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
    Asked,
    Attach,
    Beat,
    Collector,
    End,
    Met,
    News,
    Spoken,
    Told,
    decode,
)

FIRST_LINE_MOST = 1 << 12  # a first line is short; many strangers must not fill the memory
STRANGER_S = 10.0  # a peer names itself at once; one that has not by now will not
STRANGERS_PART = 0.25  # of the sockets; beyond that the oldest stranger gives way
BACKLOG = 512  # connections that may wait to be taken: a fleet that dials at once, with strangers among it
REPORTS_MOST = 4096  # waiting on one connection: many times what the report rate brings in a stall
OPEN_S, OPEN_AGAIN_S = 10.0, 0.05  # how long to try for the address, and how often
COLLECTORS_MOST = 4  # of one zone: each zone has one, and older ones may be cut off without a word


class Door:
    """The listening socket, and who has come in without a name so far."""

    def __init__(self, module: Mailbox[News], zones: Container[str], sockets: int) -> None:
        self.module, self.zones = module, zones
        self.collectors: dict[str, deque[Mailbox[Told]]] = {}
        self.strangers: dict[Connection, None] = {}  # oldest first
        self.strangers_most = max(1, int(sockets * STRANGERS_PART))
        self.peers: set[asyncio.Task[None]] = set()

    async def open(self, host: str, port: int) -> asyncio.Server:
        """Guards against an address that a predecessor, killed a moment ago, still holds."""
        loop = asyncio.get_running_loop()
        end = loop.time() + OPEN_S
        while True:
            try:
                return await loop.create_server(lambda: Connection(loop, self), host, port, backlog=BACKLOG)
            except OSError as trouble:
                if loop.time() > end:
                    raise
                if count("address not free"):
                    logger.warning("{}:{} is not free yet: {}", host, port, trouble)
            await asyncio.sleep(OPEN_AGAIN_S)

    def come(self, connection: Connection) -> None:
        if len(self.strangers) >= self.strangers_most:
            count("strangers ended: too many")
            oldest = next(iter(self.strangers))
            self.named(oldest)
            oldest.end()
        self.strangers[connection] = None

    def named(self, connection: Connection) -> None:
        self.strangers.pop(connection, None)

    def employ(self, first: Attach | Collector, transport: asyncio.Transport, mailbox: Mailbox[Told]) -> None:
        """Starts the actor of a peer that has said who it is."""
        if isinstance(first, Collector):
            if first.zone not in self.zones:
                count("collectors refused: unknown zone")
                return transport.abort()
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
        self.scanned = 0
        self.mailbox: Mailbox[Told] | None = None
        self.limit: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.door.come(self)
        self.wait_for_name()

    def wait_for_name(self) -> None:
        if self.limit:
            self.limit.cancel()
        self.limit = self._loop.call_later(STRANGER_S, self.too_late)

    def too_late(self) -> None:
        count("strangers ended: no name in time")
        self.end()

    def end(self) -> None:
        if self.transport:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        self.rest += data
        while (end := self.rest.find(b"\n", self.scanned)) >= 0:
            line = bytes(self.rest[:end])
            del self.rest[:end + 1]
            self.scanned = 0
            self.line(line)
        self.scanned = len(self.rest)
        if len(self.rest) > (LINE_MOST if self.mailbox else FIRST_LINE_MOST):
            count("connections ended: a line too long")
            self.rest.clear()
            self.scanned = 0
            self.end()
        if self.transport and self.transport.get_write_buffer_size() > proxies.UNSENT_MOST:
            count("connections ended: asks and does not read")
            self.end()

    def line(self, line: bytes) -> None:
        try:
            said = decode(line)
        except ValueError as trouble:
            if count("lines passed over: unreadable"):
                logger.warning("passed over {!r}: {}", line[:120], trouble)
            return
        if self.mailbox:
            self.mailbox.put(said, report=isinstance(said, Met | Asked))
        else:
            self.first(said)

    def first(self, said: Spoken) -> None:
        assert self.transport is not None
        match said:
            case Beat():
                self.transport.write(BEAT_OK)
                self.wait_for_name()
            case Attach() | Collector():
                self.door.named(self)
                if self.limit:
                    self.limit.cancel()
                self.mailbox = Mailbox(REPORTS_MOST)
                self.door.employ(said, self.transport, self.mailbox)
            case _:
                count("lines passed over: from a stranger")

    def connection_lost(self, exc: BaseException | None) -> None:
        super().connection_lost(exc)
        self.door.named(self)
        if self.limit:
            self.limit.cancel()
        if self.mailbox:
            self.mailbox.put(End("closed" if exc is None else f"{exc}"))
            self.mailbox = None
