"""The clock that both programs and their tests read."""

from __future__ import annotations

import time


def now_ns() -> int:
    """Return the monotonic time in nanoseconds; comparable only within one process."""
    return time.monotonic_ns()
