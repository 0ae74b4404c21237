"""The monotonic clock of the programs and their tests."""

from __future__ import annotations

import time

NS_PER_MS = 1_000_000
NS_PER_SECOND = 1_000_000_000


def now_ns() -> int:
    """Return the monotonic time in nanoseconds; comparable only within one process."""
    return time.monotonic_ns()
