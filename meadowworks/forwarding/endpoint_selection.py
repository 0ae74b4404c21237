"""Which endpoints a request may go to at this moment, and how long each would take.

The weights come from the policy: they follow capacity, and stay within the proxy's zone. Two things are
decided here from what the proxy sees request by request, and the policy cannot know: how long an endpoint
would take just now, and that a request may leave a zone without a free slot for one that has a slot free.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

# A remote endpoint must promise a delay this many times shorter: what is known of it is older, and bytes
# between zones cost.
CROSS_ZONE_PENALTY = 1.4
# Part of the latency target that the delay in the local zone may take before other zones are considered:
# requests of one route differ severalfold in their work. More for larger responses, whose bytes between zones
# must be worth it.
LOCAL_DELAY_SHARE, LOCAL_DELAY_SHARE_PER_KB, MAX_LOCAL_DELAY_SHARE = 0.5, 0.1, 1.0
# Weight of a new response in the moving average of the service time.
SERVICE_TIME_GAIN = 0.1


class EndpointChoices(NamedTuple):
    """The endpoints that a request may go to at this moment, by number.

    `weights` are slots; `delays_ns` is how long a request would take at each, in nanoseconds; `has_free_slot`
    says whether any endpoint of the local zone has a free slot.
    """

    weights: Mapping[int, float]
    delays_ns: Mapping[int, float]
    has_free_slot: bool = True


NO_ENDPOINTS = EndpointChoices({}, {}, False)


def estimate_delays(
    weights: Mapping[int, float], load: Mapping[int, float], service_times: Mapping[int, float]
) -> dict[int, float]:
    """How long a request would take at each endpoint: its service time, times the queue before it.

    :param weights: the slots of an endpoint, fewer while it warms up: such a one never counts as free
    :param load: the requests in flight at each
    :param service_times: what is known of the time that a request takes there alone, in nanoseconds
    """
    usual = sorted(service_times.values())[len(service_times) // 2] if service_times else 1.0
    return {
        endpoint: service_times.get(endpoint, usual)
        * max(1.0, (load.get(endpoint, 0.0) + 1) / max(weight, 1e-3))
        for endpoint, weight in weights.items()
    }


def has_free_slot(weights: Mapping[int, float], load: Mapping[int, float]) -> bool:
    """Whether one of the endpoints can take a request without a queue."""
    return any(load.get(endpoint, 0.0) + 1 <= weight for endpoint, weight in weights.items())


def local_zone_suffices(
    local: Mapping[int, float], load: Mapping[int, float], service_times: Mapping[int, float]
) -> bool:
    """Whether `choose_endpoints` would take the local endpoints alone, whatever there is in other zones.

    So it is where a slot is free, and all service times are known.
    """
    return local.keys() <= service_times.keys() and has_free_slot(local, load)


def choose_endpoints(
    local: Mapping[int, float],
    remote: Mapping[int, float],
    load: Mapping[int, float],
    service_times: Mapping[int, float],
    target_ns: float,
    response_bytes: float = 0.0,
) -> EndpointChoices:
    """The endpoints of the local zone, and those of other zones too where the local ones are too busy.

    They are if no slot is free there, and no endpoint is likely to answer within the latency target.

    :param target_ns: the route's latency target
    :param response_bytes: what a response of the service measures as a rule
    """
    share = min(MAX_LOCAL_DELAY_SHARE, LOCAL_DELAY_SHARE + LOCAL_DELAY_SHARE_PER_KB * response_bytes / 1000)
    delays = estimate_delays({**local, **remote}, load, service_times)
    slot_free = has_free_slot(local, load)
    if slot_free or (local and min(delays[endpoint] for endpoint in local) <= share * target_ns):
        return EndpointChoices(dict(local), {endpoint: delays[endpoint] for endpoint in local}, slot_free)
    penalized = {
        endpoint: delay * (1.0 if endpoint in local else CROSS_ZONE_PENALTY)
        for endpoint, delay in delays.items()
    }
    return EndpointChoices({**remote, **local}, penalized, slot_free)


def update_service_time(estimate: float | None, elapsed_ns: float, load: float, weight: float) -> float:
    """The moving average of the time that a request takes alone, in nanoseconds.

    :param estimate: the average so far, if any
    :param elapsed_ns: how long the newest request took
    :param load: the other requests that it found in flight
    :param weight: the slots of the endpoint
    """
    alone = elapsed_ns / max(1.0, (load + 1) / max(weight, 1e-3))
    return alone if estimate is None else estimate + SERVICE_TIME_GAIN * (alone - estimate)
