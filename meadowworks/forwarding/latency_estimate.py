"""Which backends a request may go to at this moment, and how long each would take.

The table is the controller's: capacity-weighted, of the own zone. Two things are decided here from what the
junction sees request by request, and the table cannot know: how long a backend would take just now, and that
a request whose zone has no free slot may take one that is free in another zone.
"""

from __future__ import annotations

from collections.abc import Mapping

CROSS_ZONE_PENALTY = (
    1.4  # times the delay that one abroad must undercut: what is known of it is older, and bytes cost
)
# Part of the target that home's expected delay may take before other zones are thought of: calls of one route
# differ severalfold in their work. More for larger answers, whose bytes between zones must be worth it.
LOCAL_DELAY_SHARE, LOCAL_DELAY_SHARE_PER_KB, MAX_LOCAL_DELAY_SHARE = 0.5, 0.1, 1.0
SERVICE_TIME_GAIN = 0.1  # part that a new answer has in what a backend is taken to need for a call


def estimate_delays(
    weights: Mapping[int, float], load: Mapping[int, float], service_times: Mapping[int, float]
) -> dict[int, float]:
    """How long a call would take at each of the lines: what it needs alone, more if calls wait there already.
    A line's weight is its slots, less while it is cold: a cold one is never taken to be free."""
    usual = sorted(service_times.values())[len(service_times) // 2] if service_times else 1.0
    return {
        place: service_times.get(place, usual) * max(1.0, (load.get(place, 0.0) + 1) / max(weight, 1e-3))
        for place, weight in weights.items()
    }


def local_zone_suffices(
    local: Mapping[int, float], load: Mapping[int, float], service_times: Mapping[int, float]
) -> bool:
    """Whether `reach` would take the own zone's lines alone, and their delays by themselves, whatever there
    is abroad: a slot is free at home, and what each of them needs is known."""
    return local.keys() <= service_times.keys() and any(
        load.get(place, 0.0) + 1 <= weight for place, weight in local.items()
    )


def choose_endpoints(
    local: Mapping[int, float],
    remote: Mapping[int, float],
    load: Mapping[int, float],
    service_times: Mapping[int, float],
    target_ns: float,
    response_bytes: float = 0.0,
) -> tuple[dict[int, float], dict[int, float], bool]:
    """The lines that a request may take and the delay of each: those of its own zone, and the other zones'
    too if no slot is free at home and none there is likely to answer within the route's target. Last,
    whether a slot is free. `size` is the bytes that an answer of the service has as a rule."""
    hope = min(MAX_LOCAL_DELAY_SHARE, LOCAL_DELAY_SHARE + LOCAL_DELAY_SHARE_PER_KB * response_bytes / 1000)
    waits = estimate_delays({**local, **remote}, load, service_times)
    free = any(load.get(place, 0.0) + 1 <= weight for place, weight in local.items())
    if free or local and min(waits[place] for place in local) <= hope * target_ns:
        return dict(local), {place: waits[place] for place in local}, free
    return (
        {**remote, **local},
        {place: wait * (1.0 if place in local else CROSS_ZONE_PENALTY) for place, wait in waits.items()},
        free,
    )


def update_service_time(estimate: float | None, elapsed_ns: float, load: float, weight: float) -> float:
    """What a backend needs for a call alone, after one that took `spent` beside `busy` others."""
    alone = elapsed_ns / max(1.0, (load + 1) / max(weight, 1e-3))
    return alone if estimate is None else estimate + SERVICE_TIME_GAIN * (alone - estimate)
