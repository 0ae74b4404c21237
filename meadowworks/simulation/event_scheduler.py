"""Simulated time: events in order, no sleep, the same for the same seed."""

from __future__ import annotations

import heapq
from collections.abc import Callable

MS, SECOND = 1_000_000, 1_000_000_000  # nanoseconds
Callback = Callable[[], None]


class EventScheduler:
    """Calls back in the order of time, and of scheduling where times are equal. Times in nanoseconds."""

    def __init__(self) -> None:
        self.now = 0
        self.events: list[tuple[int, int, Callback]] = []  # a heap; the second item is the event's number
        self._event_count = 0

    def call_at(self, when_ns: int, callback: Callback) -> None:
        """Call back at a time, or now if it has passed."""
        self._event_count += 1
        heapq.heappush(self.events, (max(when_ns, self.now), self._event_count, callback))

    def call_later(self, wait_ns: int, callback: Callback) -> None:
        """Call back after a time."""
        self.call_at(self.now + wait_ns, callback)

    def run_until(self, until_ns: int) -> None:
        """Let everything happen up to a time."""
        while self.events and self.events[0][0] <= until_ns:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        self.now = until_ns
