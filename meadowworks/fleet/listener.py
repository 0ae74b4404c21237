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
from meadowworks.fleet.connection_state import ConnectionLimits, ConnectionState
from meadowworks.fleet.invariants import count
from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import (
    CollectorHello,
    ConnectionEnd,
    ConnectionItem,
    ControllerEvent,
    ProxyHello,
    ProxyJoined,
    ProxyLeft,
    UnknownMessage,
    decode,
    is_unknown_message,
)
from meadowworks.runtime.connection_limit import CollectorLimit, ConnectionLimit

SECOND_NS = 1_000_000_000
CONNECTION_LIMITS = ConnectionLimits()
HANDSHAKE_TIMEOUT_S = 1.5  # who has not joined after 1 s may be let go; half as long again for a busy machine
# With no descriptor to spare the oldest stranger gives way, once what it sent has had time to arrive.
EVICTION_GRACE_S = 0.2
RESERVED_DESCRIPTORS = (
    24  # descriptors for the loop, the log, the configuration, discovery's connections old and new
)
ACCEPT_RETRY_S = 0.02  # between looks for a descriptor while peers hold them all
ACCEPT_BACKLOG = (
    1024  # connections that may wait to be taken: a fleet that dials at once, with strangers among it
)
MAX_QUEUED_REPORTS = 4096  # waiting on one connection: many times what the report rate brings in a stall
BIND_TIMEOUT_S, BIND_RETRY_S = 10.0, 0.05  # how long to try for the address, and how often
MAX_COLLECTORS_PER_ZONE = 4  # of one zone: each zone has one, and older ones may be cut off without a word


class Listener:
    """The listening socket, who has come in, and who of them has no name so far."""

    def __init__(
        self, module: Mailbox[ControllerEvent], zones: Container[str], proxies: int, sockets: int
    ) -> None:
        self.events, self.zones, self.proxy_count = module, zones, proxies
        self.connection_slots: ConnectionLimit[Connection] = ConnectionLimit(
            sockets - RESERVED_DESCRIPTORS, int(EVICTION_GRACE_S * SECOND_NS)
        )
        self.collectors: CollectorLimit[Mailbox[ConnectionItem]] = CollectorLimit(MAX_COLLECTORS_PER_ZONE)
        self.peer_tasks: set[asyncio.Task[None]] = set()

    async def open_socket(self, host: str, port: int) -> socket.socket:
        """Guards against an address that a predecessor, killed a moment ago, still holds."""
        loop = asyncio.get_running_loop()
        end = loop.time() + BIND_TIMEOUT_S
        while True:
            try:
                found = socket.create_server((host, port), backlog=ACCEPT_BACKLOG)
                found.setblocking(False)
                return found
            except OSError as trouble:
                if loop.time() > end:
                    raise
                if count("address not free"):
                    logger.warning("{}:{} is not free yet: {}", host, port, trouble)
            await asyncio.sleep(BIND_RETRY_S)

    async def run(self, listening: socket.socket) -> None:
        """Takes in one connection after another, each only once there is a descriptor for it.

        Guards against crowds: asyncio's own server accepts all that wait before any has been read, and
        stops for a second when descriptors run out. A first line that has come is read before the next
        connection is taken, so a proxy is never one of the crowd; the rest waits in the backlog."""
        loop = asyncio.get_running_loop()
        while True:
            await self.wait_for_slot()
            try:
                taken, _ = await loop.sock_accept(listening)
                await loop.connect_accepted_socket(lambda: Connection(loop, self), taken)
            except OSError as trouble:  # gone again, or not a descriptor left in spite of all
                if count("connections not taken"):
                    logger.warning("a connection could not be taken: {}", trouble)
                await asyncio.sleep(ACCEPT_RETRY_S)

    async def wait_for_slot(self) -> None:
        loop = asyncio.get_running_loop()
        while self.connection_slots.is_full():
            oldest, wait_ns = self.connection_slots.next_eviction(int(loop.time() * SECOND_NS))
            if oldest:
                oldest.state.on_evicted()
            await asyncio.sleep(
                min(ACCEPT_RETRY_S, wait_ns / SECOND_NS) if oldest or wait_ns else ACCEPT_RETRY_S
            )

    def is_known_peer(self, first: ProxyHello | CollectorHello) -> bool:
        """Whether the settings have such a peer."""
        return first.zone in self.zones and (
            isinstance(first, CollectorHello) or first.proxy < self.proxy_count
        )

    def start_peer(
        self, first: ProxyHello | CollectorHello, life: ConnectionState, mailbox: Mailbox[ConnectionItem]
    ) -> None:
        """Starts the actor of a peer that has said who it is."""
        if isinstance(first, CollectorHello) and (old := self.collectors.add(first.zone, mailbox)):
            old.put(ConnectionEnd("newer ones of its zone have come"))
        task = asyncio.get_running_loop().create_task(peers.run_peer(life, mailbox))
        self.peer_tasks.add(task)
        task.add_done_callback(self.on_peer_ended)

    def on_peer_ended(self, task: asyncio.Task[None]) -> None:
        self.peer_tasks.discard(task)
        if not task.cancelled() and (trouble := task.exception()) is not None:
            told = {"message": "a peer's actor failed; its connection is ended", "exception": trouble}
            task.get_loop().call_exception_handler(told)


class Connection(BaseProtocol):
    """One connection: bytes to lines, lines to messages, messages to its life, whose host it is."""

    def __init__(self, loop: asyncio.AbstractEventLoop, door: Listener) -> None:
        super().__init__(loop)
        self.listener = door
        self.state = ConnectionState(self, door.is_known_peer, CONNECTION_LIMITS)
        self.buffer = bytearray()
        self.scanned_bytes = 0
        self.mailbox: Mailbox[ConnectionItem]  # of a peer: strangers are many, and need none
        self.handshake_timer: asyncio.TimerHandle | None = None

    # -- what the transport brings

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.listener.connection_slots.on_open(int(self._loop.time() * SECOND_NS), self)
        # Never put off: who only asks for signs of life holds a descriptor as the silent do.
        self.handshake_timer = self._loop.call_later(HANDSHAKE_TIMEOUT_S, self.state.on_handshake_timeout)

    def data_received(self, data: bytes) -> None:
        if self.state.close_reason:
            return
        self.buffer += data
        start = 0
        while (
            not self.state.close_reason
            and (end := self.buffer.find(b"\n", max(start, self.scanned_bytes))) >= 0
        ):
            self.on_line(bytes(self.buffer[start:end]))
            start = end + 1
        del self.buffer[:start]
        if self.state.close_reason:
            return self.buffer.clear()
        self.scanned_bytes = len(self.buffer)
        if self.buffer:
            self.state.on_partial_line(
                len(self.buffer), is_unknown_message(bytes(self.buffer[: CONNECTION_LIMITS.unknown_bytes]))
            )

    def on_line(self, line: bytes) -> None:
        try:
            said = decode(line)
        except ValueError as trouble:
            if count(
                "lines passed over: " + ("unreadable" if isinstance(trouble, UnknownMessage) else "spoilt")
            ):
                logger.warning("passed over {!r}: {}", line[:120], trouble)
            return (
                self.state.on_unreadable_line()
                if isinstance(trouble, UnknownMessage)
                else self.state.on_malformed_message()
            )
        self.state.on_message(said)

    def connection_lost(self, exc: BaseException | None) -> None:
        super().connection_lost(exc)
        self.listener.connection_slots.on_close(self)
        self.state.on_connection_lost("closed" if exc is None else f"{exc}")
        if not self.state.peer:
            del self.state.host  # guards against crowds that only a collection of garbage would free

    # -- its life's host

    def write(self, data: bytes) -> None:
        if self.transport:
            self.transport.write(data)

    def unsent_bytes(self) -> int:
        return self.transport.get_write_buffer_size() if self.transport else 0

    def close(self) -> None:
        if self.transport:
            self.transport.close()

    def abort(self) -> None:
        if self.transport:
            self.transport.abort()

    def mark_identified(self) -> None:
        self.listener.connection_slots.protect(self)
        if self.handshake_timer:
            self.handshake_timer.cancel()

    def start_peer(self, first: ProxyHello | CollectorHello) -> None:
        self.mailbox = Mailbox(MAX_QUEUED_REPORTS)
        self.listener.start_peer(first, self.state, self.mailbox)

    def enqueue(self, item: ConnectionItem, report: bool) -> None:
        self.mailbox.put(item, report)

    def joined_event(self, first: ProxyHello) -> ProxyJoined:
        return ProxyJoined(first, self.mailbox)

    def left_event(self, first: ProxyHello) -> ProxyLeft:
        return ProxyLeft(first.proxy, self.mailbox)

    def publish(self, item: ControllerEvent, report: bool) -> None:
        self.listener.events.put(item, report)

    def count(self, what: str) -> None:
        count(what)
