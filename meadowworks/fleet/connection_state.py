"""The life of one connection, from its being taken in to its end, as a machine: a stranger, then a peer with
a name, then gone. It decides what each line and each thing that befalls a connection leads to; it acts by the
host that it is handed, reads no clock and no socket.

Two tasks drive it: the protocol on the socket for what comes in and for the transport, and the peer's actor
for its mailbox. `meadowworks/modelcheck` explores this very class.
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
    """What a connection may leave undone before it is ended. The bytes are many times what a queue at its cap
    holds; one line may be spoilt on its way, so many in a row are another protocol."""

    unsent_bytes: int = 1 << 18  # bytes written that the other side has not read
    unreadable_lines: int = 8  # lines in a row that are no message
    unknown_bytes: int = 1 << 12  # bytes without a line's end, as long as nothing tells what it is


class ConnectionHost(Protocol):
    """What the machine may do with its connection. `employ` starts its actor, `put` goes to the actor's
    mailbox, `tell` to the module's."""

    def write(self, data: bytes) -> None: ...
    def unsent_bytes(self) -> int: ...
    def close(self) -> None: ...  # once what was written has gone
    def abort(self) -> None: ...
    def mark_identified(self) -> None: ...
    def start_peer(self, first: ProxyHello | CollectorHello) -> None: ...
    def enqueue(self, item: ConnectionItem, report: bool) -> None: ...
    def joined_event(self, first: ProxyHello) -> ProxyJoined: ...
    def left_event(self, first: ProxyHello) -> ProxyLeft: ...
    def publish(self, item: ControllerEvent, report: bool) -> None: ...
    def count(self, what: str) -> None: ...


class ConnectionState:
    """`knows` says whether the settings have such a peer."""

    def __init__(
        self,
        line: ConnectionHost,
        knows: Callable[[ProxyHello | CollectorHello], bool],
        bounds: ConnectionLimits,
    ) -> None:
        self.host, self.is_known_peer, self.limits = line, knows, bounds
        self.peer: ProxyHello | CollectorHello | None = None  # who it is, once it has said so
        self.close_reason = ""  # why nothing is read any more
        self.finish_reason = ""  # why its actor has ended
        self.unreadable_lines = 0

    # -- what the socket brings

    def on_message(self, item: PeerMessage) -> None:
        if self.close_reason:
            return
        self.unreadable_lines = 0
        if self.peer:
            return self.host.enqueue(item, isinstance(item, Report))
        match item:
            case Heartbeat():
                self.write(HEARTBEAT_REPLY)
            case ProxyHello() | CollectorHello() if self.is_known_peer(item):
                self.peer = item
                self.host.mark_identified()
                self.host.start_peer(item)
            case ProxyHello() | CollectorHello():
                self.reject("no such peer")
            case _:
                self.reject("has not joined")

    def on_malformed_message(self) -> None:
        """A message with a field that makes no sense: it costs a peer that message alone."""
        if not self.close_reason and not self.peer:
            self.reject("cannot be read")

    def on_unreadable_line(self) -> None:
        """A line that is no message."""
        if self.close_reason:
            return
        self.unreadable_lines += 1
        if not self.peer:
            self.reject("cannot be read")
        elif self.unreadable_lines >= self.limits.unreadable_lines:
            self.terminate("goes on with what cannot be read")

    def on_partial_line(self, size: int, is_unknown: bool) -> None:
        """So many bytes have come without a line's end; `strange`: they begin no message."""
        if self.close_reason or size <= self.limits.unknown_bytes:
            return
        if not self.peer:
            self.reject("a line too long")
        elif size > MAX_LINE_BYTES or is_unknown:
            self.terminate("a line too long")

    def on_handshake_timeout(self) -> None:
        """It has not said who it is in time, whatever else it said: a sign of life holds a descriptor too."""
        if not self.close_reason and not self.peer:
            self.reject("no name in time")

    def on_evicted(self) -> None:
        """Others wait for its descriptor. Told to strangers alone: `crowd` keeps those who have a name
        out."""
        self.reject("too many")

    def on_connection_lost(self, why: str) -> None:
        """The connection has ended, from either side."""
        self.close_reason = self.close_reason or why
        self.host.mark_identified()
        if self.peer:
            self.host.enqueue(ConnectionEnd(self.close_reason), False)

    # -- what the actor's mailbox brings

    def on_actor_started(self) -> None:
        """The actor has started."""
        if isinstance(self.peer, ProxyHello):
            self.host.publish(self.host.joined_event(self.peer), False)

    def on_mailbox_item(self, item: ConnectionItem) -> None:
        if self.finish_reason:
            return
        match item:
            case ConnectionEnd(why):
                return self.finish(why)
            case UpdateMessage(text, parts):
                check_invariant(
                    parts <= MAX_MESSAGE_PARTS and len(text) <= MAX_LINE_BYTES, "a message's most"
                )
                self.write(text)
            case Heartbeat():
                self.write(HEARTBEAT_REPLY)
            case _ if self.may_send(item):
                self.host.publish(item, True)  # type: ignore[arg-type]
            case BackendReport():
                self.host.count("lines passed over: another zone's report")
            case _:
                self.host.count("lines passed over: not a stream's own")

    def may_send(self, item: ConnectionItem) -> bool:
        """What this peer may say: a proxy its own usage and marks, a collector its zone's reports and any
        usage. What the backends met never comes by a proxy, nor a second joining by the same stream."""
        if isinstance(self.peer, ProxyHello):
            return isinstance(item, DemandReport | UpdateApplied) and item.proxy == self.peer.proxy
        assert self.peer is not None
        return (
            isinstance(item, DemandReport) or isinstance(item, BackendReport) and item.zone == self.peer.zone
        )

    def finish(self, why: str) -> None:
        """The actor ends, and its connection with it. A proxy has left, and says so once."""
        if self.finish_reason:
            return
        self.finish_reason, self.close_reason = why, self.close_reason or why
        self.host.abort()
        if isinstance(self.peer, ProxyHello):
            self.host.publish(self.host.left_event(self.peer), False)

    # -- what follows

    def write(self, data: bytes) -> None:
        """Guards against memory for who reads nothing: it is ended, and nobody waits for it."""
        if self.close_reason:
            return
        self.host.write(data)
        if self.host.unsent_bytes() > self.limits.unsent_bytes:
            self.terminate("does not read")

    def reject(self, why: str) -> None:
        """Ends a stranger at once, with a word; one that reads nothing goes without it."""
        self.close_reason = why
        self.host.count(f"strangers ended: {why}")
        self.host.mark_identified()
        self.host.write(encode_rejection(why))
        if self.host.unsent_bytes():
            self.host.abort()
        else:
            self.host.close()

    def terminate(self, why: str) -> None:
        """Ends the connection at once. A peer's actor hears of it as of any end."""
        self.close_reason = why
        self.host.count(f"connections ended: {why}")
        self.host.abort()
