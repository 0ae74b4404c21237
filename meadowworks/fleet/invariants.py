"""Invariants: asserted in debug builds, counted in release builds (`python -O`).

The same counters hold what is passed over, dropped or at fault; the controller logs them every ten seconds.
"""

from __future__ import annotations

from collections import Counter

counters: Counter[str] = Counter()


def count(event: str, times: int = 1) -> bool:
    """Counts an event.

    :returns: whether it is the first, second, fourth, eighth of its kind, so that a log of these stays short.
    """
    counters[event] += times
    return counters[event] & (counters[event] - 1) == 0


def check_invariant(holds: bool, description: str) -> None:
    """Counts an invariant that does not hold, and fails in a debug build.

    :raises AssertionError: in debug builds, if it does not hold.
    """
    if holds:
        return
    count("BROKEN " + description)
    assert holds, description


def format_counters() -> str:
    """All counters in one line."""
    return ", ".join(f"{event}: {times}" for event, times in sorted(counters.items())) or "none"
