"""Data structures for decaying and sliding-window statistics."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(slots=True)
class AttemptStats:
    """Counts of recent attempts that decay exponentially."""

    attempts: float = 0.0
    failures: float = 0.0
    latency_sum: float = 0.0  # nanoseconds, of the successful attempts
    updated_ns: int = 0

    def add(self, now: int, half_life_ns: float, attempts: int, failures: int, latency_ns: int) -> None:
        """Add attempts; the successful ones took `latency_ns` on average."""
        decay = 0.5 ** ((now - self.updated_ns) / half_life_ns)
        self.attempts = self.attempts * decay + attempts
        self.failures = self.failures * decay + failures
        self.latency_sum = self.latency_sum * decay + latency_ns * (attempts - failures)
        self.updated_ns = now

    @property
    def successes(self) -> float:
        """The number of attempts that did not fail."""
        return self.attempts - self.failures

    def failure_ratio(self, min_attempts: float) -> float:
        """Return the part of attempts that failed; the divisor is at least `min_attempts`."""
        return self.failures / max(self.attempts, min_attempts)


class SlidingMinimum:
    """The minimum of the values in a time window, kept as a monotonic queue."""

    __slots__ = ("candidates", "window_ns")

    def __init__(self, window_ns: int) -> None:
        self.window_ns = window_ns
        self.candidates: deque[tuple[int, float]] = deque()  # time and value, both ascending

    def add(self, now: int, value: float) -> float:
        """Add a value.

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
