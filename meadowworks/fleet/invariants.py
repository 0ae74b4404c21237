"""What must hold: asserted in debug builds, counted in release builds (`python -O`).

The same counter holds what is passed over, dropped or at fault; the controller writes it to the log.
"""

from __future__ import annotations

from collections import Counter

counters: Counter[str] = Counter()


def count(what: str, times: int = 1) -> bool:
    """Whether this is the first, second, fourth, eighth such thing: a log that tells of these stays short."""
    counters[what] += times
    return counters[what] & (counters[what] - 1) == 0


def check_invariant(truth: bool, what: str) -> None:
    if truth:
        return
    count("BROKEN " + what)
    assert truth, what


def format_counters() -> str:
    return ", ".join(f"{what}: {times}" for what, times in sorted(counters.items())) or "none"
