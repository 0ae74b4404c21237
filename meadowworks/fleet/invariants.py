"""What must hold: asserted in debug builds, counted in release builds (`python -O`).

The same counter holds what is passed over, dropped or at fault; the controller writes it to the log.
"""

from __future__ import annotations

from collections import Counter

counts: Counter[str] = Counter()


def count(what: str, times: int = 1) -> bool:
    """Whether this is the first, second, fourth, eighth such thing: a log that tells of these stays short."""
    counts[what] += times
    return counts[what] & (counts[what] - 1) == 0


def holds(truth: bool, what: str) -> None:
    if truth:
        return
    count("BROKEN " + what)
    assert truth, what


def summary() -> str:
    return ", ".join(f"{what}: {times}" for what, times in sorted(counts.items())) or "none"
