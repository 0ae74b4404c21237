"""Who holds the controller's descriptors: how many connections may be open, which stranger gives way when
there is none left, which collector when a zone has too many. Decided here; `listener` does it."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

W = TypeVar("W")


class Crowd(Generic[W]):
    """`most` connections at a time; a stranger is left alone for `grace_ns`, so that what it sent has had
    time to arrive. A peer with a name is never sent away for another."""

    def __init__(self, most: int, grace_ns: int) -> None:
        self.most, self.grace_ns = max(1, most), grace_ns
        self.open = 0
        self.strangers: dict[W, int] = {}  # since when, oldest first

    def come(self, now: int, who: W) -> None:
        self.open += 1
        self.strangers[who] = now

    def named(self, who: W) -> None:
        """It has a name, or is on its way out."""
        self.strangers.pop(who, None)

    def idle(self, now: int, who: W) -> None:
        """It may be sent away again."""
        self.strangers[who] = now

    def gone(self, who: W) -> None:
        self.open -= 1
        self.strangers.pop(who, None)

    def full(self) -> bool:
        return self.open >= self.most

    def gives_way(self, now: int) -> tuple[W | None, int]:
        """Who is to go so that the next can come in, or how long to wait for that (0: till somebody goes)."""
        if not self.full() or not self.strangers:
            return None, 0
        oldest, since = next(iter(self.strangers.items()))
        left = since + self.grace_ns - now
        return (None, left) if left > 0 else (oldest, 0)


class Collectors(Generic[W]):
    """The newest few of each zone: older ones may have been cut off without a word."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.here: dict[str, deque[W]] = {}

    def come(self, zone: str, who: W) -> W | None:
        """Who of the zone's has to go for this one."""
        here = self.here.setdefault(zone, deque())
        here.append(who)
        return here.popleft() if len(here) > self.most else None
