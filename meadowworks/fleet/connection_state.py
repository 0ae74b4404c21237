"""The state of one connection: unidentified after it is accepted, then a known peer's, then closed.

A state machine without I/O: it handles each line and event of a connection through the given host, and reads
neither clock nor socket. Two tasks drive it: the socket's protocol delivers lines and transport events, and
the peer's actor delivers the items of its mailbox. `meadowworks/modelcheck` explores this class.
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
    """The limits beyond which a connection is closed.

    :ivar max_unsent_bytes: written and not yet read by the peer; far more than a full channel queue holds.
    :ivar max_unreadable_lines: consecutive lines that are not messages. A single line may be corrupted on its
        way; many in a row mean another protocol.
    :ivar max_unrecognized_bytes: of an incomplete line from an unidentified peer or of an unknown message.
    """

    max_unsent_bytes: int = 1 << 18
    max_unreadable_lines: int = 8
    max_unrecognized_bytes: int = 1 << 12


class ConnectionHost(Protocol):
    """The operations of a connection that its state machine uses."""

    def write(self, data: bytes) -> None:
        """Write without waiting."""

    def unsent_bytes(self) -> int:
        """Return how many written bytes have not been sent."""

    def close(self) -> None:
        """Close the connection once all written bytes are sent."""

    def abort(self) -> None:
        """Close the connection at once."""

    def mark_identified(self) -> None:
        """Protect the connection from eviction: its peer is identified, or it is closing."""

    def start_peer(self, hello: ProxyHello | CollectorHello) -> None:
        """Start the peer's actor."""

    def enqueue(self, item: ConnectionItem, is_report: bool) -> None:
        """Put an item into the mailbox of the peer's actor."""

    def joined_event(self, hello: ProxyHello) -> ProxyJoined:
        """Return the event that a proxy has joined on this connection."""

    def left_event(self, hello: ProxyHello) -> ProxyLeft:
        """Return the event that a proxy has left this connection."""

    def publish(self, item: ControllerEvent, is_report: bool) -> None:
        """Put an event into the controller's mailbox."""

    def count(self, event: str) -> None:
        """Count an event for the log."""


class ConnectionState:
    """The state machine of one connection.

    :param is_known_peer: returns whether the settings contain a peer.
    """

    def __init__(
        self,
        host: ConnectionHost,
        is_known_peer: Callable[[ProxyHello | CollectorHello], bool],
        limits: ConnectionLimits,
    ) -> None:
        self.host, self.is_known_peer, self.limits = host, is_known_peer, limits
        self.peer: ProxyHello | CollectorHello | None = None  # once it is identified
        self.close_reason = ""  # why the connection no longer handles input; empty while it does
        self.finish_reason = ""  # why its actor has ended; empty before that
        self.unreadable_lines = 0  # consecutive

    # -- from the socket

    def on_message(self, message: PeerMessage) -> None:
        """Handle a message."""
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
        """Handle a message with a malformed field: an identified peer only loses this message."""
        if not self.close_reason and not self.peer:
            self.reject("cannot be read")

    def on_unreadable_line(self) -> None:
        """Handle a line that is not a message."""
        if self.close_reason:
            return
        self.unreadable_lines += 1
        if not self.peer:
            self.reject("cannot be read")
        elif self.unreadable_lines >= self.limits.max_unreadable_lines:
            self.terminate("goes on with what cannot be read")

    def on_partial_line(self, size: int, is_unknown: bool) -> None:
        """Handle an incomplete line.

        :param size: its bytes so far.
        :param is_unknown: whether no message starts like this.
        """
        if self.close_reason or size <= self.limits.max_unrecognized_bytes:
            return
        if not self.peer:
            self.reject("a line too long")
        elif size > MAX_LINE_BYTES or is_unknown:
            self.terminate("a line too long")

    def on_handshake_timeout(self) -> None:
        """Reject a peer that has not identified itself in time; heartbeats do not extend the time."""
        if not self.close_reason and not self.peer:
            self.reject("no name in time")

    def on_evicted(self) -> None:
        """Close an unidentified connection whose descriptor is needed for another one."""
        self.reject("too many")

    def on_connection_lost(self, reason: str) -> None:
        """Handle the end of the connection, whichever side closed it."""
        self.close_reason = self.close_reason or reason
        self.host.mark_identified()
        if self.peer:
            self.host.enqueue(ConnectionEnd(self.close_reason), False)

    # -- from the actor

    def publish_proxy_joined(self) -> None:
        """Publish that the proxy has joined. Called when its actor starts; collectors are not published."""
        if isinstance(self.peer, ProxyHello):
            self.host.publish(self.host.joined_event(self.peer), False)

    def on_mailbox_item(self, item: ConnectionItem) -> None:
        """Handle the next item of the mailbox."""
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
        """Return whether this peer may send a message.

        A proxy may send its own demand reports and acknowledgements; a collector may send backend reports of
        its zone and any demand report. A second hello on a connection is not allowed.
        """
        if isinstance(self.peer, ProxyHello):
            return isinstance(item, DemandReport | UpdateApplied) and item.proxy == self.peer.proxy
        assert self.peer is not None
        if isinstance(item, BackendReport):
            return item.zone == self.peer.zone
        return isinstance(item, DemandReport)

    def finish(self, reason: str) -> None:
        """End the actor and its connection; publish once that a proxy has left."""
        if self.finish_reason:
            return
        self.finish_reason, self.close_reason = reason, self.close_reason or reason
        self.host.abort()
        if isinstance(self.peer, ProxyHello):
            self.host.publish(self.host.left_event(self.peer), False)

    # -- output

    def write(self, data: bytes) -> None:
        """Write, and close a connection whose unsent bytes exceed the limit. Bounds memory for slow peers."""
        if self.close_reason:
            return
        self.host.write(data)
        if self.host.unsent_bytes() > self.limits.max_unsent_bytes:
            self.terminate("does not read")

    def reject(self, reason: str) -> None:
        """Send the reason and close an unidentified connection; abort it if the peer does not read."""
        self.close_reason = reason
        self.host.count(f"unidentified connections rejected: {reason}")
        self.host.mark_identified()
        self.host.write(encode_rejection(reason))
        if self.host.unsent_bytes():
            self.host.abort()
        else:
            self.host.close()

    def terminate(self, reason: str) -> None:
        """Close a connection at once. Its actor is notified by `on_connection_lost`."""
        self.close_reason = reason
        self.host.count(f"connections ended: {reason}")
        self.host.abort()
