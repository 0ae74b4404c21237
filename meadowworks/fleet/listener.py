"""The controller's socket: accepts connections, splits lines, and does what a connection's state decides.

Streams are not HTTP, so aiohttp's low-level server cannot read them; each connection stands on the protocol
class under that server (`aiohttp.base_protocol.BaseProtocol`), accepted one by one with asyncio.
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
HANDSHAKE_TIMEOUT_S = 1.5  # who has not joined after 1 s may be ended; half as long again for a busy machine
# With no descriptor to spare the oldest unidentified connection gives way, once its bytes may have come.
EVICTION_GRACE_S = 0.2
# For the loop, the log, the configuration, discovery's connections old and new.
RESERVED_DESCRIPTORS = 24
ACCEPT_RETRY_S = 0.02  # between looks for a descriptor while peers hold them all
ACCEPT_BACKLOG = 1024  # connections that may wait to be accepted: a fleet that dials at once, with others
MAX_QUEUED_REPORTS = 4096  # on one connection: many times what the report rate brings in a stall
BIND_TIMEOUT_S, BIND_RETRY_S = 10.0, 0.05  # how long to try for the address, and how often
MAX_COLLECTORS_PER_ZONE = 4  # each zone has one, and older ones may be cut off without notice
LOGGED_LINE_BYTES = 120  # of a line that is passed over


class Listener:
    """The listening socket, the connections, and which of them are unidentified so far.

    :param zones: the zones that the settings name.
    :param proxy_count: proxies are numbered below this.
    :param descriptor_limit: how many the process may hold.
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
        """Binds the address; waits for a predecessor that was killed a moment ago and still holds it.

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
        """Accepts one connection after another, each only once there is a descriptor for it.

        Guards against crowds: asyncio's own server accepts all that wait before any has been read, and stops
        for a second when descriptors run out. A first line that has come is read before the next connection
        is accepted, so a proxy is never one of the crowd; the rest waits in the backlog.
        """
        loop = asyncio.get_running_loop()
        while True:
            await self.wait_for_slot()
            try:
                accepted, _ = await loop.sock_accept(listening)
                await loop.connect_accepted_socket(lambda: PeerConnection(loop, self), accepted)
            except OSError as error:  # gone again, or not a descriptor left in spite of all
                if count("connections not accepted"):
                    logger.warning("a connection could not be accepted: {}", error)
                await asyncio.sleep(ACCEPT_RETRY_S)

    async def wait_for_slot(self) -> None:
        """Returns once there is a descriptor; unidentified connections give way for it."""
        loop = asyncio.get_running_loop()
        while self.connection_slots.is_full():
            oldest, wait_ns = self.connection_slots.next_eviction(int(loop.time() * SECOND_NS))
            if oldest:
                oldest.state.on_evicted()
            wait_s = min(ACCEPT_RETRY_S, wait_ns / SECOND_NS) if oldest or wait_ns else ACCEPT_RETRY_S
            await asyncio.sleep(wait_s)

    def is_known_peer(self, hello: ProxyHello | CollectorHello) -> bool:
        """Whether the settings have such a peer."""
        if hello.zone not in self.zones:
            return False
        return isinstance(hello, CollectorHello) or hello.proxy < self.proxy_count

    def start_peer(
        self,
        hello: ProxyHello | CollectorHello,
        state: ConnectionState,
        mailbox: Mailbox[ConnectionItem],
    ) -> None:
        """Starts the actor of a peer that has said who it is."""
        if isinstance(hello, CollectorHello) and (oldest := self.collectors.add(hello.zone, mailbox)):
            oldest.put(ConnectionEnd("newer ones of its zone have come"))
        task = asyncio.get_running_loop().create_task(peers.run_peer(state, mailbox))
        self.peer_tasks.add(task)
        task.add_done_callback(self.on_peer_ended)

    def on_peer_ended(self, task: asyncio.Task[None]) -> None:
        """Hands the fault of a failed actor to the loop's handler."""
        self.peer_tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            context = {"message": "a peer's actor failed; its connection is ended", "exception": error}
            task.get_loop().call_exception_handler(context)


class PeerConnection(BaseProtocol):
    """One connection: bytes to lines, lines to messages, messages to its state, whose host it is."""

    def __init__(self, loop: asyncio.AbstractEventLoop, listener: Listener) -> None:
        super().__init__(loop)
        self.listener = listener
        self.state = ConnectionState(self, listener.is_known_peer, CONNECTION_LIMITS)
        self.buffer = bytearray()
        self.scanned_bytes = 0  # of the buffer, that hold no line's end
        self.mailbox: Mailbox[ConnectionItem]  # of a known peer: the others are many, and need none
        self.handshake_timer: asyncio.TimerHandle | None = None

    # -- from the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the connection, and gives it time to say who it is."""
        super().connection_made(transport)
        self.listener.connection_slots.on_open(int(self._loop.time() * SECOND_NS), self)
        # Never put off: who only sends heartbeats holds a descriptor as the silent do.
        self.handshake_timer = self._loop.call_later(HANDSHAKE_TIMEOUT_S, self.state.on_handshake_timeout)

    def data_received(self, data: bytes) -> None:
        """Takes in whole lines, and keeps the rest."""
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
        """Decodes a line and hands it to the state."""
        try:
            message = decode_line(line)
        except UnknownMessageError as error:
            self._log_passed_over("unreadable", line, error)
            self.state.on_unreadable_line()
        except ValueError as error:
            self._log_passed_over("malformed", line, error)
            self.state.on_malformed_message()
        else:
            self.state.on_message(message)

    def _log_passed_over(self, kind: str, line: bytes, error: ValueError) -> None:
        if count(f"lines passed over: {kind}"):
            logger.warning("passed over {!r}: {}", line[:LOGGED_LINE_BYTES], error)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Gives the connection's place back."""
        super().connection_lost(exc)
        self.listener.connection_slots.on_close(self)
        self.state.on_connection_lost("closed" if exc is None else f"{exc}")
        if not self.state.peer:
            del self.state.host  # guards against crowds that only a collection of garbage would free

    # -- the state's host

    def write(self, data: bytes) -> None:
        """Writes without waiting."""
        if self.transport:
            self.transport.write(data)

    def unsent_bytes(self) -> int:
        """How much has been written and not sent."""
        return self.transport.get_write_buffer_size() if self.transport else 0

    def close(self) -> None:
        """Closes the connection once what was written has gone."""
        if self.transport:
            self.transport.close()

    def abort(self) -> None:
        """Closes the connection at once."""
        if self.transport:
            self.transport.abort()

    def mark_identified(self) -> None:
        """Keeps the connection from being evicted, and stops the handshake's timer."""
        self.listener.connection_slots.protect(self)
        if self.handshake_timer:
            self.handshake_timer.cancel()

    def start_peer(self, hello: ProxyHello | CollectorHello) -> None:
        """Starts the peer's actor."""
        self.mailbox = Mailbox(MAX_QUEUED_REPORTS)
        self.listener.start_peer(hello, self.state, self.mailbox)

    def enqueue(self, item: ConnectionItem, is_report: bool) -> None:
        """Puts an item into the mailbox of the peer's actor."""
        self.mailbox.put(item, is_report)

    def joined_event(self, hello: ProxyHello) -> ProxyJoined:
        """The event that this proxy has joined by this connection."""
        return ProxyJoined(hello, self.mailbox)

    def left_event(self, hello: ProxyHello) -> ProxyLeft:
        """The event that this proxy has left by this connection."""
        return ProxyLeft(hello.proxy, self.mailbox)

    def publish(self, item: ControllerEvent, is_report: bool) -> None:
        """Puts an event into the controller's mailbox."""
        self.listener.events.put(item, is_report)

    def count(self, event: str) -> None:
        """Counts an event for the log."""
        count(event)
