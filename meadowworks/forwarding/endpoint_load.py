"""Estimated load and service time of one backend instance.

The estimate combines three sources: this proxy's requests in flight, the load that the backend reports in
its responses, and the load reports of its zone.
"""

from __future__ import annotations

from dataclasses import dataclass

from meadowworks.forwarding.endpoint_selection import update_service_time

SECOND = 1_000_000_000
# How long a backend is avoided after a failed connection attempt; a restart takes at least a second.
UNREACHABLE_PENALTY_NS = SECOND
# The load reported in a response loses its weight linearly over this time, about the duration of a request.
BACKEND_LOAD_TTL_NS = 400_000_000
# Assumed fraction of a local backend's requests that come from other proxies.
OTHER_PROXIES_SHARE = 0.6
# How long a zone's load report is valid: three report intervals.
ZONE_LOAD_TTL_NS = 3 * SECOND


@dataclass(slots=True)
class EndpointLoad:
    """Load of one instance, in requests. All times are monotonic, in nanoseconds."""

    in_flight: int = 0  # attempts of this proxy
    other_proxies_in_flight: float = 0.0  # requests of other proxies, by the newest response
    backend_load_reported_ns: int = 0
    zone_load: float = 0.0  # requests of all proxies, by the zone's load report
    zone_load_reported_ns: int = -ZONE_LOAD_TTL_NS
    service_time_ns: float | None = None  # average time of a request without queueing
    avoided_until_ns: int = 0

    def record_backend_load(self, now: int, running: int, waiting: int) -> None:
        """Record the load that a backend reports in a response; it excludes that response's request."""
        self.other_proxies_in_flight = max(0.0, running + waiting - self.in_flight)
        self.backend_load_reported_ns = now

    def record_zone_load(self, now: int, in_flight: float) -> None:
        """Record the number of requests in flight that the zone's load report states."""
        self.zone_load, self.zone_load_reported_ns = in_flight, now

    def record_service_time(self, elapsed_ns: int, load: float, capacity: float) -> None:
        """Update the service time with a response.

        :param elapsed_ns: the duration of the request
        :param load: the other requests in flight when it was sent
        :param capacity: the slots of the instance
        """
        self.service_time_ns = update_service_time(self.service_time_ns, elapsed_ns, load, capacity)

    def mark_unreachable(self, now: int) -> None:
        """Avoid the instance for `UNREACHABLE_PENALTY_NS` after a failed connection attempt."""
        self.avoided_until_ns = now + UNREACHABLE_PENALTY_NS

    def is_avoided(self, now: int) -> bool:
        """Return whether the instance is still avoided after a failed connection attempt."""
        return now < self.avoided_until_ns

    def estimate(self, now: int, same_zone: bool) -> float:
        """Return the estimated number of requests in flight at the instance.

        That is this proxy's attempts, plus the requests of other proxies as the newest response reports them.
        As that response ages, the zone's load report replaces it. Prevents a backend that is too busy to
        respond from being taken for idle.
        """
        freshness = max(0.0, 1 - (now - self.backend_load_reported_ns) / BACKEND_LOAD_TTL_NS)
        report_is_fresh = now - self.zone_load_reported_ns < ZONE_LOAD_TTL_NS
        zone_load = self.zone_load if report_is_fresh else self.other_proxies_in_flight
        others_share = OTHER_PROXIES_SHARE if same_zone else 1.0
        return (
            self.in_flight
            + self.other_proxies_in_flight * freshness
            + zone_load * others_share * (1 - freshness)
        )
