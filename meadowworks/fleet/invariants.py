"""Invariants: asserted in debug builds, counted in release builds (`python -O`).

The same counters record ignored and dropped items and faults; the controller logs them every ten seconds.
"""

from __future__ import annotations

from collections import Counter

counters: Counter[str] = Counter()


def count(event: str, times: int = 1) -> bool:
    """Count an event.

    :returns: whether the count is a power of two, so that a caller can log ever fewer of these events.
    """
    counters[event] += times
    return counters[event] & (counters[event] - 1) == 0


def check_invariant(holds: bool, description: str) -> None:
    """Count a violated invariant, and fail in a debug build.

    :raises AssertionError: in debug builds, if the invariant does not hold.
    """
    if holds:
        return
    count("BROKEN " + description)
    assert holds, description


def format_counters() -> str:
    """Return all counters in one line."""
    return ", ".join(f"{event}: {times}" for event, times in sorted(counters.items())) or "none"
