"""Which backends a request may go to at this moment, and how long each would take.

The table is the controller's: capacity-weighted, of the own zone. Two things are decided here from what the
junction sees request by request, and the table cannot know: how long a backend would take just now, and that
a request whose zone has no free slot may take one that is free in another zone.
"""

from __future__ import annotations

from collections.abc import Mapping

FAR = 1.4  # times the delay that one abroad must undercut: what is known of it is older, and bytes cost
# Part of the target that home's expected delay may take before other zones are thought of: calls of one route
# differ severalfold in their work. More for larger answers, whose bytes between zones must be worth it.
HOPE, HOPE_KB, HOPE_MOST = 0.5, 0.1, 1.0
LEARN = 0.1  # part that a new answer has in what a backend is taken to need for a call


def delays(
    lines: Mapping[int, float], busy: Mapping[int, float], needs: Mapping[int, float]
) -> dict[int, float]:
    """How long a call would take at each of the lines: what it needs alone, more if calls wait there already.
    A line's weight is its slots, less while it is cold: a cold one is never taken to be free."""
    usual = sorted(needs.values())[len(needs) // 2] if needs else 1.0
    return {
        place: needs.get(place, usual) * max(1.0, (busy.get(place, 0.0) + 1) / max(weight, 1e-3))
        for place, weight in lines.items()
    }


def suffices(own: Mapping[int, float], busy: Mapping[int, float], needs: Mapping[int, float]) -> bool:
    """Whether `reach` would take the own zone's lines alone, and their delays by themselves, whatever there
    is abroad: a slot is free at home, and what each of them needs is known."""
    return own.keys() <= needs.keys() and any(
        busy.get(place, 0.0) + 1 <= weight for place, weight in own.items()
    )


def reach(
    own: Mapping[int, float],
    abroad: Mapping[int, float],
    busy: Mapping[int, float],
    needs: Mapping[int, float],
    target: float,
    size: float = 0.0,
) -> tuple[dict[int, float], dict[int, float], bool]:
    """The lines that a request may take and the delay of each: those of its own zone, and the other zones'
    too if no slot is free at home and none there is likely to answer within the route's target. Last,
    whether a slot is free. `size` is the bytes that an answer of the service has as a rule."""
    hope = min(HOPE_MOST, HOPE + HOPE_KB * size / 1000)
    waits = delays({**own, **abroad}, busy, needs)
    free = any(busy.get(place, 0.0) + 1 <= weight for place, weight in own.items())
    if free or own and min(waits[place] for place in own) <= hope * target:
        return dict(own), {place: waits[place] for place in own}, free
    return (
        {**abroad, **own},
        {place: wait * (1.0 if place in own else FAR) for place, wait in waits.items()},
        free,
    )


def learn(old: float | None, spent: float, busy: float, weight: float) -> float:
    """What a backend needs for a call alone, after one that took `spent` beside `busy` others."""
    alone = spent / max(1.0, (busy + 1) / max(weight, 1e-3))
    return alone if old is None else old + LEARN * (alone - old)
