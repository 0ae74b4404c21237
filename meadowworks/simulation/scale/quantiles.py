"""A summary of measured values."""

from __future__ import annotations

from collections.abc import Sequence


def summarize(values: Sequence[float]) -> dict[str, float]:
    """Return the number of values, their median and their maximum; empty without values."""
    if not values:
        return {}
    ordered = sorted(values)
    return {"many": len(ordered), "median": ordered[len(ordered) // 2], "most": ordered[-1]}
