"""A limit on the open connections of a server, and the choice of the connection to evict.

This module only decides; the servers close connections. The fleet controller imports it at startup, so it
must not import other modules of the project or third-party libraries.
"""

from __future__ import annotations

from typing import Generic, NamedTuple, TypeVar

ConnectionT = TypeVar("ConnectionT")


class Eviction(NamedTuple, Generic[ConnectionT]):
    """The connection to close so that another one can be accepted.

    :ivar connection: the connection to close; None if no connection may be closed now.
    :ivar wait_ns: the time until a connection may be evicted; 0 if only the end of a connection makes room.
    """

    connection: ConnectionT | None
    wait_ns: int


class ConnectionLimit(Generic[ConnectionT]):
    """A limit of `max_connections` open connections; idle or unidentified ones are evicted for new ones.

    A protected connection is never evicted: its peer is identified, or one of its requests is being served. A
    new or idle connection is not evicted for `grace_ns`, so that data in transit from its peer can arrive.
    """

    def __init__(self, max_connections: int, grace_ns: int) -> None:
        self.max_connections = max(1, max_connections)
        self.grace_ns = grace_ns
        self.open_count = 0
        self.evictable: dict[ConnectionT, int] = {}  # value: time since when it is evictable; oldest first

    def on_open(self, now_ns: int, connection: ConnectionT) -> None:
        """Add a new connection, which may be evicted after the grace period."""
        self.open_count += 1
        self.evictable[connection] = now_ns

    def protect(self, connection: ConnectionT) -> None:
        """Exempt a connection from eviction because it is identified, in use, or already closing."""
        self.evictable.pop(connection, None)

    def on_idle(self, now_ns: int, connection: ConnectionT) -> None:
        """Allow eviction of a connection again, after the grace period."""
        self.evictable[connection] = now_ns

    def on_close(self, connection: ConnectionT) -> None:
        """Remove a closed connection."""
        self.open_count -= 1
        self.evictable.pop(connection, None)

    def is_full(self) -> bool:
        """Whether another connection must be evicted or closed before the next one is accepted."""
        return self.open_count >= self.max_connections

    def next_eviction(self, now_ns: int) -> Eviction[ConnectionT]:
        """Return the connection to close for the next one, or the time to wait for a candidate."""
        if not self.is_full() or not self.evictable:
            return Eviction(None, 0)
        oldest, since_ns = next(iter(self.evictable.items()))
        remaining_ns = since_ns + self.grace_ns - now_ns
        return Eviction(None, remaining_ns) if remaining_ns > 0 else Eviction(oldest, 0)
