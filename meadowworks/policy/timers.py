"""Timers and random numbers that a seed makes reproducible: no clock of the machine is read here."""

from __future__ import annotations

import heapq
import zlib
from collections.abc import Callable


class TimerQueue:
    """Actions by when they are due. Each timer and each random number takes the next of one counter."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._count = 0
        self._due: list[tuple[int, int, Callable[[], None]]] = []

    def random(self) -> float:
        """The next random number, from 0 up to, not with, 1."""
        self._count += 1
        return zlib.crc32(f"{self._seed}:{self._count}".encode()) / 2**32

    def schedule(self, when_ns: int, action: Callable[[], None]) -> None:
        """Runs the action in the first `run_due` from `when_ns` on."""
        self._count += 1
        heapq.heappush(self._due, (when_ns, self._count, action))

    def run_due(self, now: int) -> None:
        """Runs what has come due, in the order of its times."""
        while self._due and self._due[0][0] <= now:
            heapq.heappop(self._due)[2]()
