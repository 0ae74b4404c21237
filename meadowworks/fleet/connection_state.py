"""The state of one connection: unidentified once it is accepted, then a known peer's, then over.

A state machine without I/O: it decides what each line and each event of a connection leads to, acts by the
host that it is given, and reads no clock and no socket. Two tasks drive it: the protocol on the socket for
what comes in and for the transport, and the peer's actor for its mailbox. `meadowworks/modelcheck` explores
this very class.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from meadowworks.fleet.invariants import check_invariant
from meadowworks.fleet.messages import (
    HEARTBEAT_REPLY,
    MAX_LINE_BYTES,
    MAX_MESSAGE_PARTS,
    BackendReport,
    CollectorHello,
    ConnectionEnd,
    ConnectionItem,
    ControllerEvent,
    DemandReport,
    Heartbeat,
    PeerMessage,
    ProxyHello,
    ProxyJoined,
    ProxyLeft,
    Report,
    UpdateApplied,
    UpdateMessage,
    encode_rejection,
)


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """What a connection may leave undone before it is ended.

    The bytes are many times what a channel queue at its limit holds; one line may be corrupted on its way, so
    only many in a row are another protocol.
    """

    max_unsent_bytes: int = 1 << 18  # written, and not read by the other side
    max_unreadable_lines: int = 8  # in a row, that are no message
    max_unrecognized_bytes: int = 1 << 12  # without a line's end, as long as nothing tells what it is


class ConnectionHost(Protocol):
    """What the state machine may do with its connection."""

    def write(self, data: bytes) -> None:
        """Writes without waiting."""

    def unsent_bytes(self) -> int:
        """How much has been written and not sent."""

    def close(self) -> None:
        """Closes the connection once what was written has gone."""

    def abort(self) -> None:
        """Closes the connection at once."""

    def mark_identified(self) -> None:
        """Keeps the connection from being evicted: its peer is known, or it is closing."""

    def start_peer(self, hello: ProxyHello | CollectorHello) -> None:
        """Starts the peer's actor."""

    def enqueue(self, item: ConnectionItem, is_report: bool) -> None:
        """Puts an item into the mailbox of the peer's actor."""

    def joined_event(self, hello: ProxyHello) -> ProxyJoined:
        """The event that this proxy has joined by this connection."""

    def left_event(self, hello: ProxyHello) -> ProxyLeft:
        """The event that this proxy has left by this connection."""

    def publish(self, item: ControllerEvent, is_report: bool) -> None:
        """Puts an event into the controller's mailbox."""

    def count(self, event: str) -> None:
        """Counts an event for the log."""


class ConnectionState:
    """The state machine of one connection.

    :param is_known_peer: whether the settings have such a peer.
    """

    def __init__(
        self,
        host: ConnectionHost,
        is_known_peer: Callable[[ProxyHello | CollectorHello], bool],
        limits: ConnectionLimits,
    ) -> None:
        self.host, self.is_known_peer, self.limits = host, is_known_peer, limits
        self.peer: ProxyHello | CollectorHello | None = None  # once it has said who it is
        self.close_reason = ""  # why nothing is read any more
        self.finish_reason = ""  # why its actor has ended
        self.unreadable_lines = 0  # in a row

    # -- from the socket

    def on_message(self, message: PeerMessage) -> None:
        """A line that is a message."""
        if self.close_reason:
            return
        self.unreadable_lines = 0
        if self.peer:
            self.host.enqueue(message, isinstance(message, Report))
            return
        match message:
            case Heartbeat():
                self.write(HEARTBEAT_REPLY)
            case ProxyHello() | CollectorHello() if self.is_known_peer(message):
                self.peer = message
                self.host.mark_identified()
                self.host.start_peer(message)
            case ProxyHello() | CollectorHello():
                self.reject("no such peer")
            case _:
                self.reject("has not joined")

    def on_malformed_message(self) -> None:
        """A message with a field that makes no sense: it costs a known peer that message alone."""
        if not self.close_reason and not self.peer:
            self.reject("cannot be read")

    def on_unreadable_line(self) -> None:
        """A line that is no message."""
        if self.close_reason:
            return
        self.unreadable_lines += 1
        if not self.peer:
            self.reject("cannot be read")
        elif self.unreadable_lines >= self.limits.max_unreadable_lines:
            self.terminate("goes on with what cannot be read")

    def on_partial_line(self, size: int, is_unknown: bool) -> None:
        """So many bytes have come without a line's end; with `is_unknown` no message begins so."""
        if self.close_reason or size <= self.limits.max_unrecognized_bytes:
            return
        if not self.peer:
            self.reject("a line too long")
        elif size > MAX_LINE_BYTES or is_unknown:
            self.terminate("a line too long")

    def on_handshake_timeout(self) -> None:
        """It has not said who it is in time; heartbeats do not count, since they hold a descriptor too."""
        if not self.close_reason and not self.peer:
            self.reject("no name in time")

    def on_evicted(self) -> None:
        """Others wait for its descriptor. Only unidentified connections are evicted."""
        self.reject("too many")

    def on_connection_lost(self, reason: str) -> None:
        """The connection has ended, from either side."""
        self.close_reason = self.close_reason or reason
        self.host.mark_identified()
        if self.peer:
            self.host.enqueue(ConnectionEnd(self.close_reason), False)

    # -- from the actor

    def on_actor_started(self) -> None:
        """The peer's actor runs: a proxy has joined."""
        if isinstance(self.peer, ProxyHello):
            self.host.publish(self.host.joined_event(self.peer), False)

    def on_mailbox_item(self, item: ConnectionItem) -> None:
        """Takes the next item of the mailbox."""
        if self.finish_reason:
            return
        match item:
            case ConnectionEnd(reason):
                self.finish(reason)
            case UpdateMessage(data, part_count):
                fits = part_count <= MAX_MESSAGE_PARTS and len(data) <= MAX_LINE_BYTES
                check_invariant(fits, "a message's most")
                self.write(data)
            case Heartbeat():
                self.write(HEARTBEAT_REPLY)
            case _ if self.may_send(item):
                self.host.publish(item, True)  # type: ignore[arg-type]
            case BackendReport():
                self.host.count("lines passed over: another zone's report")
            case _:
                self.host.count("lines passed over: not a stream's own")

    def may_send(self, item: ConnectionItem) -> bool:
        """Whether this peer may send such a message.

        A proxy may send its own demand and acknowledgements, a collector its zone's reports and any demand.
        What the backends met never comes by a proxy, nor a second joining by the same stream.
        """
        if isinstance(self.peer, ProxyHello):
            return isinstance(item, DemandReport | UpdateApplied) and item.proxy == self.peer.proxy
        assert self.peer is not None
        if isinstance(item, BackendReport):
            return item.zone == self.peer.zone
        return isinstance(item, DemandReport)

    def finish(self, reason: str) -> None:
        """Ends the actor, and its connection with it. A proxy has left, which is published once."""
        if self.finish_reason:
            return
        self.finish_reason, self.close_reason = reason, self.close_reason or reason
        self.host.abort()
        if isinstance(self.peer, ProxyHello):
            self.host.publish(self.host.left_event(self.peer), False)

    # -- what follows

    def write(self, data: bytes) -> None:
        """Writes, and ends a connection that reads nothing: nobody waits for it, nor keeps memory for it."""
        if self.close_reason:
            return
        self.host.write(data)
        if self.host.unsent_bytes() > self.limits.max_unsent_bytes:
            self.terminate("does not read")

    def reject(self, reason: str) -> None:
        """Ends an unidentified connection at once, and tells it why unless it reads nothing."""
        self.close_reason = reason
        self.host.count(f"unidentified connections rejected: {reason}")
        self.host.mark_identified()
        self.host.write(encode_rejection(reason))
        if self.host.unsent_bytes():
            self.host.abort()
        else:
            self.host.close()

    def terminate(self, reason: str) -> None:
        """Ends a connection at once. A peer's actor learns of it as of any end."""
        self.close_reason = reason
        self.host.count(f"connections ended: {reason}")
        self.host.abort()
