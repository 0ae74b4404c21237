"""Who holds the controller's descriptors: how many connections may be open, which stranger gives way when
there is none left, which collector when a zone has too many. Decided here; `listener` does it."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

W = TypeVar("W")


class ConnectionLimit(Generic[W]):
    """`most` connections at a time; a stranger is left alone for `grace_ns`, so that what it sent has had
    time to arrive. A peer with a name is never sent away for another."""

    def __init__(self, max_connections: int, grace_ns: int) -> None:
        self.max_connections, self.grace_ns = max(1, max_connections), grace_ns
        self.open_count = 0
        self.evictable: dict[W, int] = {}  # since when, oldest first

    def on_open(self, now_ns: int, connection: W) -> None:
        self.open_count += 1
        self.evictable[connection] = now_ns

    def protect(self, connection: W) -> None:
        """It has a name, or is on its way out."""
        self.evictable.pop(connection, None)

    def on_idle(self, now_ns: int, connection: W) -> None:
        """It may be sent away again."""
        self.evictable[connection] = now_ns

    def on_close(self, connection: W) -> None:
        self.open_count -= 1
        self.evictable.pop(connection, None)

    def is_full(self) -> bool:
        return self.open_count >= self.max_connections

    def next_eviction(self, now_ns: int) -> tuple[W | None, int]:
        """Who is to go so that the next can come in, or how long to wait for that (0: till somebody goes)."""
        if not self.is_full() or not self.evictable:
            return None, 0
        oldest, since = next(iter(self.evictable.items()))
        left = since + self.grace_ns - now_ns
        return (None, left) if left > 0 else (oldest, 0)


class CollectorLimit(Generic[W]):
    """The newest few of each zone: older ones may have been cut off without a word."""

    def __init__(self, most: int) -> None:
        self.max_per_zone = most
        self.by_zone: dict[str, deque[W]] = {}

    def add(self, zone: str, who: W) -> W | None:
        """Who of the zone's has to go for this one."""
        here = self.by_zone.setdefault(zone, deque())
        here.append(who)
        return here.popleft() if len(here) > self.max_per_zone else None
