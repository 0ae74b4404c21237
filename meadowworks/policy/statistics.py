"""Data structures that statistics are kept in; what is made of them is decided elsewhere."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(slots=True)
class AttemptStats:
    """Recent attempts, decaying exponentially."""

    attempts: float = 0.0
    failures: float = 0.0
    latency_sum: float = 0.0  # nanoseconds, of the successful ones
    updated_ns: int = 0

    def add(self, now: int, half_life_ns: float, attempts: int, failures: int, latency_ns: int) -> None:
        """Adds attempts, of which the successful ones took `latency_ns` in the mean."""
        decay = 0.5 ** ((now - self.updated_ns) / half_life_ns)
        self.attempts = self.attempts * decay + attempts
        self.failures = self.failures * decay + failures
        self.latency_sum = self.latency_sum * decay + latency_ns * (attempts - failures)
        self.updated_ns = now

    @property
    def successes(self) -> float:
        """How many did not fail."""
        return self.attempts - self.failures

    def failure_ratio(self, least_attempts: float) -> float:
        """The part that failed, of `least_attempts` where there were fewer."""
        return self.failures / max(self.attempts, least_attempts)


class SlidingMinimum:
    """The least of the values of a time window."""

    __slots__ = ("candidates", "window_ns")

    def __init__(self, window_ns: int) -> None:
        self.window_ns = window_ns
        self.candidates: deque[tuple[int, float]] = deque()  # when and value, both rising

    def add(self, now: int, value: float) -> float:
        """Adds a value.

        :returns: the minimum of the window that ends now.
        """
        candidates = self.candidates
        while candidates and candidates[-1][1] >= value:
            candidates.pop()
        candidates.append((now, value))
        while candidates[0][0] < now - self.window_ns:
            candidates.popleft()
        return candidates[0][1]

    @property
    def value(self) -> float:
        """The minimum as of the last value added."""
        return self.candidates[0][1]
