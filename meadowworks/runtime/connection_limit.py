"""How many connections a server holds at once, and which one it closes so that the next can come in.

Decides only; the servers act. The fleet controller imports this module at its start: it may pull in nothing
else of the project or of a library.
"""

from __future__ import annotations

from typing import Generic, NamedTuple, TypeVar

ConnectionT = TypeVar("ConnectionT")


class Eviction(NamedTuple, Generic[ConnectionT]):
    """What makes way for the next connection.

    :ivar connection: the one to close; None if there is none that may be closed now.
    :ivar wait_ns: how long until there may be one; 0 if only the end of some connection makes way.
    """

    connection: ConnectionT | None
    wait_ns: int


class ConnectionLimit(Generic[ConnectionT]):
    """At most `max_connections` at once; an idle or unidentified one makes way for a new one.

    A connection that is protected, because its peer is known or because a request of it is served, is never
    closed for another. A new or idle one is left alone for `grace_ns`, so that what its peer has sent has
    time to arrive.
    """

    def __init__(self, max_connections: int, grace_ns: int) -> None:
        self.max_connections = max(1, max_connections)
        self.grace_ns = grace_ns
        self.open_count = 0
        self.evictable: dict[ConnectionT, int] = {}  # with the time since when, oldest first

    def on_open(self, now_ns: int, connection: ConnectionT) -> None:
        """Count a new connection, which may be evicted after its grace time."""
        self.open_count += 1
        self.evictable[connection] = now_ns

    def protect(self, connection: ConnectionT) -> None:
        """Exempt a connection from eviction: it is identified, in use, or already closing."""
        self.evictable.pop(connection, None)

    def on_idle(self, now_ns: int, connection: ConnectionT) -> None:
        """Let a connection be evicted again, after its grace time."""
        self.evictable[connection] = now_ns

    def on_close(self, connection: ConnectionT) -> None:
        """Give back the place of a connection that has ended."""
        self.open_count -= 1
        self.evictable.pop(connection, None)

    def is_full(self) -> bool:
        """Whether the next connection has to wait for an eviction or an end."""
        return self.open_count >= self.max_connections

    def next_eviction(self, now_ns: int) -> Eviction[ConnectionT]:
        """Which connection to close so that the next can come in, or how long to wait for one."""
        if not self.is_full() or not self.evictable:
            return Eviction(None, 0)
        oldest, since_ns = next(iter(self.evictable.items()))
        left_ns = since_ns + self.grace_ns - now_ns
        return Eviction(None, left_ns) if left_ns > 0 else Eviction(oldest, 0)
