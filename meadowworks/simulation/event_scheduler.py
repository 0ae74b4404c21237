"""A deterministic event scheduler with simulated time."""

from __future__ import annotations

import heapq
from collections.abc import Callable

MS, SECOND = 1_000_000, 1_000_000_000  # nanoseconds
Callback = Callable[[], None]


class EventScheduler:
    """Runs callbacks in order of time, then in order of scheduling. Times are in nanoseconds."""

    def __init__(self) -> None:
        self.now = 0
        self.events: list[tuple[int, int, Callback]] = []  # heap of (time, sequence number, callback)
        self._event_count = 0

    def call_at(self, when_ns: int, callback: Callback) -> None:
        """Schedule a callback at a time, or now if that time has passed."""
        self._event_count += 1
        heapq.heappush(self.events, (max(when_ns, self.now), self._event_count, callback))

    def call_later(self, wait_ns: int, callback: Callback) -> None:
        """Schedule a callback after a delay."""
        self.call_at(self.now + wait_ns, callback)

    def run_until(self, until_ns: int) -> None:
        """Run all events up to and including a time, and advance the clock to it."""
        while self.events and self.events[0][0] <= until_ns:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        self.now = until_ns
