"""Which backends a request may go to at this moment, and how long each would take.

The table is the controller's: capacity-weighted, of the own zone. Two things are decided here from what the
junction sees request by request, and the table cannot know: how long a backend would take just now, and that
a request whose zone has no free slot may take one that is free in another zone.
"""

from __future__ import annotations

from collections.abc import Mapping

FAR = 1.4  # times the delay that one abroad must undercut: what is known of it is older, and bytes cost
LEARN = 0.1  # part that a new answer has in what a backend is taken to need for a call


def reach(own: Mapping[int, float], abroad: Mapping[int, float], busy: Mapping[int, float]) -> dict[int, float]:
    """The own table; with it the other zones' lines, if no slot is free at home. A line's weight is its
    slots, less while it is cold: a cold one is never taken to be free."""
    if any(busy.get(place, 0.0) + 1 <= weight for place, weight in own.items()):
        return dict(own)
    return {**abroad, **own}


def delays(own: Mapping[int, float], lines: Mapping[int, float], busy: Mapping[int, float],
           needs: Mapping[int, float]) -> dict[int, float]:
    """How long a call would take at each of the lines: what it needs alone, more if calls wait there already;
    more again for one that is not of the own table."""
    usual = sorted(needs.values())[len(needs) // 2] if needs else 1.0
    return {place: needs.get(place, usual) * max(1.0, (busy.get(place, 0.0) + 1) / max(weight, 1e-3))
            * (1.0 if place in own else FAR) for place, weight in lines.items()}


def learn(old: float | None, spent: float, busy: float, weight: float) -> float:
    """What a backend needs for a call alone, after one that took `spent` beside `busy` others."""
    alone = spent / max(1.0, (busy + 1) / max(weight, 1e-3))
    return alone if old is None else old + LEARN * (alone - old)
