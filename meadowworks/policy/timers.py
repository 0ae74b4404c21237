"""Timers and random numbers that are reproducible from a seed; reads no clock."""

from __future__ import annotations

import heapq
import zlib
from collections.abc import Callable


class TimerQueue:
    """A queue of timed actions, and random numbers.

    Timers and random numbers share one counter, so that a run is determined by the seed and the events.
    """

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._count = 0
        self._due: list[tuple[int, int, Callable[[], None]]] = []

    def random(self) -> float:
        """Return the next random number, at least 0 and less than 1."""
        self._count += 1
        return zlib.crc32(f"{self._seed}:{self._count}".encode()) / 2**32

    def schedule(self, when_ns: int, action: Callable[[], None]) -> None:
        """Schedule an action for the first `run_due` at or after `when_ns`."""
        self._count += 1
        heapq.heappush(self._due, (when_ns, self._count, action))

    def run_due(self, now: int) -> None:
        """Run the actions that are due, in the order of their times."""
        while self._due and self._due[0][0] <= now:
            heapq.heappop(self._due)[2]()
