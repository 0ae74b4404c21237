"""Selection of the endpoints that a request may be sent to, with the expected delay of each.

The weights come from the balancing policy: they follow capacity and stay within the proxy's zone. This module
adds what needs per-request data, which the policy does not have: the expected delay of each endpoint, and
whether a request may leave its zone because no slot is free there.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

# Factor on the expected delay of remote endpoints: their load data is older, and cross-zone traffic costs.
CROSS_ZONE_PENALTY = 1.4
# Fraction of the latency target that the local delay may reach before other zones are considered. It leaves
# room because requests of one route differ severalfold in their work.
LOCAL_DELAY_SHARE = 0.5
# Added to that fraction per kB of response: cross-zone traffic costs more for larger responses.
LOCAL_DELAY_SHARE_PER_KB = 0.1
MAX_LOCAL_DELAY_SHARE = 1.0
# Weight of a new sample in the moving average of the service time.
SERVICE_TIME_GAIN = 0.1


class EndpointChoices(NamedTuple):
    """Endpoints that a request may be sent to, by endpoint number.

    `weights` are in slots; `delays_ns` are the expected times to a response, in nanoseconds; `has_free_slot`
    is whether any endpoint of the local zone has a free slot.
    """

    weights: Mapping[int, float]
    delays_ns: Mapping[int, float]
    has_free_slot: bool = True


NO_ENDPOINTS = EndpointChoices({}, {}, False)


def estimate_delays(
    weights: Mapping[int, float], load: Mapping[int, float], service_times: Mapping[int, float]
) -> dict[int, float]:
    """Return the expected time to a response at each endpoint, in nanoseconds.

    That is the service time, multiplied by the load per slot if there is a queue. Endpoints without a known
    service time get the median of the others.

    :param weights: the slots of each endpoint; fewer while it warms up, so that it does not count as free
    :param load: the requests in flight at each endpoint
    :param service_times: the known times of a request without queueing, in nanoseconds
    """
    median = sorted(service_times.values())[len(service_times) // 2] if service_times else 1.0
    return {
        endpoint: service_times.get(endpoint, median)
        * max(1.0, (load.get(endpoint, 0.0) + 1) / max(weight, 1e-3))
        for endpoint, weight in weights.items()
    }


def has_free_slot(weights: Mapping[int, float], load: Mapping[int, float]) -> bool:
    """Return whether any endpoint can take a request without queueing."""
    return any(load.get(endpoint, 0.0) + 1 <= weight for endpoint, weight in weights.items())


def local_zone_suffices(
    local: Mapping[int, float], load: Mapping[int, float], service_times: Mapping[int, float]
) -> bool:
    """Return whether `choose_endpoints` would ignore the endpoints of other zones.

    This holds if an endpoint has a free slot and all local service times are known.
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
    """Return the endpoints of the local zone, with those of other zones if the local zone is too busy.

    The local zone is too busy if it has no free slot, and if every expected delay there exceeds the share of
    the latency target that `LOCAL_DELAY_SHARE` and the response size allow.

    :param target_ns: the latency target of the route, in nanoseconds
    :param response_bytes: the average size of the service's responses
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
    """Return the updated moving average of the service time without queueing, in nanoseconds.

    :param estimate: the average so far; None before the first sample
    :param elapsed_ns: the duration of the newest request
    :param load: the other requests in flight when it was sent
    :param weight: the slots of the endpoint
    """
    sample_ns = elapsed_ns / max(1.0, (load + 1) / max(weight, 1e-3))
    return sample_ns if estimate is None else estimate + SERVICE_TIME_GAIN * (sample_ns - estimate)
