"""A few figures that stand for many."""

from __future__ import annotations

from collections.abc import Sequence


def summarize(values: Sequence[float]) -> dict[str, float]:
    """Return how many values there are, their median and the greatest; nothing if there are none."""
    if not values:
        return {}
    ordered = sorted(values)
    return {"many": len(ordered), "median": ordered[len(ordered) // 2], "most": ordered[-1]}
