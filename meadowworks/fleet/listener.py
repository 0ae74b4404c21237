"""The controller's listening socket: accepts connections, splits lines, and hosts the connection states.

The streams are not HTTP, so aiohttp's server cannot read them. Each connection extends the protocol class
under that server (`aiohttp.base_protocol.BaseProtocol`); asyncio accepts the connections one by one.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Container

from aiohttp.base_protocol import BaseProtocol
from loguru import logger

from meadowworks.fleet import peers
from meadowworks.fleet.collector_limit import CollectorLimit
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
    UnknownMessageError,
    decode_line,
    is_unknown_message,
)
from meadowworks.runtime.connection_limit import ConnectionLimit

SECOND_NS = 1_000_000_000
CONNECTION_LIMITS = ConnectionLimits()
HANDSHAKE_TIMEOUT_S = 1.5  # the protocol allows 1 s; the rest is a margin for a busy machine
# The age from which an unidentified connection may be evicted: its first bytes have had time to arrive.
EVICTION_GRACE_S = 0.2
# For the event loop, the log, the configuration, and old and new connections to discovery.
RESERVED_DESCRIPTORS = 24
ACCEPT_RETRY_S = 0.02  # between checks for a free descriptor
ACCEPT_BACKLOG = 1024  # room for all proxies of a fleet that connect at once
MAX_QUEUED_REPORTS = 4096  # per connection; far more than arrive during a stall
BIND_TIMEOUT_S, BIND_RETRY_S = 10.0, 0.05  # how long to retry binding the address, and the interval
MAX_COLLECTORS_PER_ZONE = 4  # each zone has one; older connections may be dead without notice
LOGGED_LINE_BYTES = 120  # of an ignored line


class Listener:
    """Accepts connections within the descriptor limit, and starts the actors of identified peers.

    :param zones: the zones of the settings.
    :param proxy_count: proxies have numbers below this.
    :param descriptor_limit: how many file descriptors the process may open.
    """

    def __init__(
        self,
        events: Mailbox[ControllerEvent],
        zones: Container[str],
        proxy_count: int,
        descriptor_limit: int,
    ) -> None:
        self.events, self.zones, self.proxy_count = events, zones, proxy_count
        self.connection_slots: ConnectionLimit[PeerConnection] = ConnectionLimit(
            descriptor_limit - RESERVED_DESCRIPTORS, int(EVICTION_GRACE_S * SECOND_NS)
        )
        self.collectors: CollectorLimit[Mailbox[ConnectionItem]] = CollectorLimit(MAX_COLLECTORS_PER_ZONE)
        self.peer_tasks: set[asyncio.Task[None]] = set()

    async def open_socket(self, host: str, port: int) -> socket.socket:
        """Bind the address; retry while a predecessor that was killed still holds it.

        :raises OSError: if the address is not free in time.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + BIND_TIMEOUT_S
        while True:
            try:
                listening = socket.create_server((host, port), backlog=ACCEPT_BACKLOG)
                listening.setblocking(False)
                return listening
            except OSError as error:
                if loop.time() > deadline:
                    raise
                if count("address not free"):
                    logger.warning("{}:{} is not free yet: {}", host, port, error)
            await asyncio.sleep(BIND_RETRY_S)

    async def run(self, listening: socket.socket) -> None:
        """Accept connections one by one, each only once a descriptor is free.

        Prevents lost proxies under a flood of connections: asyncio's own server accepts the whole backlog
        before it reads any of it, and pauses for a second when descriptors run out. Here a first line that
        has arrived is read before the next connection is accepted; the other connections stay in the backlog.
        """
        loop = asyncio.get_running_loop()
        while True:
            await self.wait_for_slot()
            try:
                accepted, _ = await loop.sock_accept(listening)
                await loop.connect_accepted_socket(lambda: PeerConnection(loop, self), accepted)
            except OSError as error:  # closed by the peer meanwhile, or no descriptor is left after all
                if count("connections not accepted"):
                    logger.warning("a connection could not be accepted: {}", error)
                await asyncio.sleep(ACCEPT_RETRY_S)

    async def wait_for_slot(self) -> None:
        """Wait until a descriptor is free; evict unidentified connections for it."""
        loop = asyncio.get_running_loop()
        while self.connection_slots.is_full():
            oldest, wait_ns = self.connection_slots.next_eviction(int(loop.time() * SECOND_NS))
            if oldest:
                oldest.state.on_evicted()
            wait_s = min(ACCEPT_RETRY_S, wait_ns / SECOND_NS) if oldest or wait_ns else ACCEPT_RETRY_S
            await asyncio.sleep(wait_s)

    def is_known_peer(self, hello: ProxyHello | CollectorHello) -> bool:
        """Return whether the settings contain a peer."""
        if hello.zone not in self.zones:
            return False
        return isinstance(hello, CollectorHello) or hello.proxy < self.proxy_count

    def start_peer(
        self,
        hello: ProxyHello | CollectorHello,
        state: ConnectionState,
        mailbox: Mailbox[ConnectionItem],
    ) -> None:
        """Start the actor of an identified peer."""
        if isinstance(hello, CollectorHello) and (oldest := self.collectors.add(hello.zone, mailbox)):
            oldest.put(ConnectionEnd("replaced by newer collectors of its zone"))
        task = asyncio.get_running_loop().create_task(peers.run_peer(state, mailbox))
        self.peer_tasks.add(task)
        task.add_done_callback(self.on_peer_ended)

    def on_peer_ended(self, task: asyncio.Task[None]) -> None:
        """Pass the exception of a failed actor to the event loop's exception handler."""
        self.peer_tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            context = {"message": "a peer's actor failed; its connection is closed", "exception": error}
            task.get_loop().call_exception_handler(context)


class PeerConnection(BaseProtocol):
    """One connection: splits bytes into lines, decodes them, and hosts the connection's state machine."""

    def __init__(self, loop: asyncio.AbstractEventLoop, listener: Listener) -> None:
        super().__init__(loop)
        self.listener = listener
        self.state = ConnectionState(self, listener.is_known_peer, CONNECTION_LIMITS)
        self.buffer = bytearray()
        self.scanned_bytes = 0  # of the buffer, without a line feed
        self.mailbox: Mailbox[ConnectionItem]  # set by `start_peer`: unidentified connections need none
        self.handshake_timer: asyncio.TimerHandle | None = None

    # -- from the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection, and start its handshake timer."""
        super().connection_made(transport)
        self.listener.connection_slots.on_open(int(self._loop.time() * SECOND_NS), self)
        # Never extended: a peer that only sends heartbeats also holds a descriptor.
        self.handshake_timer = self._loop.call_later(HANDSHAKE_TIMEOUT_S, self.state.on_handshake_timeout)

    def data_received(self, data: bytes) -> None:
        """Handle complete lines, and buffer the rest."""
        if self.state.close_reason:
            return
        self.buffer += data
        start = 0
        while not self.state.close_reason:
            end = self.buffer.find(b"\n", max(start, self.scanned_bytes))
            if end < 0:
                break
            self.on_line(bytes(self.buffer[start:end]))
            start = end + 1
        del self.buffer[:start]
        if self.state.close_reason:
            self.buffer.clear()
            return
        self.scanned_bytes = len(self.buffer)
        if self.buffer:
            beginning = bytes(self.buffer[: CONNECTION_LIMITS.max_unrecognized_bytes])
            self.state.on_partial_line(len(self.buffer), is_unknown_message(beginning))

    def on_line(self, line: bytes) -> None:
        """Decode a line and pass it to the state machine."""
        try:
            message = decode_line(line)
        except UnknownMessageError as error:
            self._log_ignored("unreadable", line, error)
            self.state.on_unreadable_line()
        except ValueError as error:
            self._log_ignored("malformed", line, error)
            self.state.on_malformed_message()
        else:
            self.state.on_message(message)

    def _log_ignored(self, kind: str, line: bytes, error: ValueError) -> None:
        if count(f"lines passed over: {kind}"):
            logger.warning("passed over {!r}: {}", line[:LOGGED_LINE_BYTES], error)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release the connection's slot."""
        super().connection_lost(exc)
        self.listener.connection_slots.on_close(self)
        self.state.on_connection_lost("closed" if exc is None else f"{exc}")
        if not self.state.peer:
            del self.state.host  # prevents a reference cycle, which keeps memory until garbage collection

    # -- the state machine's host

    def write(self, data: bytes) -> None:
        """Write without waiting."""
        if self.transport:
            self.transport.write(data)

    def unsent_bytes(self) -> int:
        """Return how many written bytes have not been sent."""
        return self.transport.get_write_buffer_size() if self.transport else 0

    def close(self) -> None:
        """Close the connection once all written bytes are sent."""
        if self.transport:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport:
            self.transport.abort()

    def mark_identified(self) -> None:
        """Protect the connection from eviction, and stop the handshake timer."""
        self.listener.connection_slots.protect(self)
        if self.handshake_timer:
            self.handshake_timer.cancel()

    def start_peer(self, hello: ProxyHello | CollectorHello) -> None:
        """Start the peer's actor."""
        self.mailbox = Mailbox(MAX_QUEUED_REPORTS)
        self.listener.start_peer(hello, self.state, self.mailbox)

    def enqueue(self, item: ConnectionItem, is_report: bool) -> None:
        """Put an item into the mailbox of the peer's actor."""
        self.mailbox.put(item, is_report)

    def joined_event(self, hello: ProxyHello) -> ProxyJoined:
        """Return the event that a proxy has joined on this connection."""
        return ProxyJoined(hello, self.mailbox)

    def left_event(self, hello: ProxyHello) -> ProxyLeft:
        """Return the event that a proxy has left this connection."""
        return ProxyLeft(hello.proxy, self.mailbox)

    def publish(self, item: ControllerEvent, is_report: bool) -> None:
        """Put an event into the controller's mailbox."""
        self.listener.events.put(item, is_report)

    def count(self, event: str) -> None:
        """Count an event for the log."""
        count(event)
