"""How busy one backend instance is taken to be, and how long a request takes there.

Three sources are joined: the proxy's own requests in flight, what the backend's responses say of its load,
and the load reports of its zone.
"""

from __future__ import annotations

from dataclasses import dataclass

from meadowworks.forwarding.endpoint_selection import update_service_time

SECOND = 1_000_000_000
# A backend that could not be reached is passed over for so long: a restart takes a second or more.
UNREACHABLE_PENALTY_NS = SECOND
# For so long what a response said of its backend's load counts, less and less: requests take about as long.
BACKEND_LOAD_TTL_NS = 400_000_000
# Part of a local backend's requests that is taken to be of other proxies.
OTHER_PROXIES_SHARE = 0.6
# For so long the load report of its zone counts: three reports.
ZONE_LOAD_TTL_NS = 3 * SECOND


@dataclass(slots=True)
class EndpointLoad:
    """The load of one instance; times of a steady clock in nanoseconds, loads in requests."""

    in_flight: int = 0  # this proxy's attempts
    other_proxies_in_flight: float = 0.0  # requests of other proxies, as its newest response said
    backend_load_reported_ns: int = 0
    zone_load: float = 0.0  # requests there by its zone's load report
    zone_load_reported_ns: int = -ZONE_LOAD_TTL_NS
    service_time_ns: float | None = None  # what a request takes there alone
    avoided_until_ns: int = 0

    def record_backend_load(self, now: int, running: int, waiting: int) -> None:
        """Record what a response says of its backend's load, the response's own request left out."""
        self.other_proxies_in_flight = max(0.0, running + waiting - self.in_flight)
        self.backend_load_reported_ns = now

    def record_zone_load(self, now: int, in_flight: float) -> None:
        """Record what the proxies of its zone have said of its load."""
        self.zone_load, self.zone_load_reported_ns = in_flight, now

    def record_service_time(self, elapsed_ns: int, load: float, capacity: float) -> None:
        """Record a response after `elapsed_ns` to a request that found `load` others there."""
        self.service_time_ns = update_service_time(self.service_time_ns, elapsed_ns, load, capacity)

    def mark_unreachable(self, now: int) -> None:
        """Pass it over for a moment: no connection came up."""
        self.avoided_until_ns = now + UNREACHABLE_PENALTY_NS

    def is_avoided(self, now: int) -> bool:
        """Whether it could not be reached a moment ago."""
        return now < self.avoided_until_ns

    def estimate(self, now: int, same_zone: bool) -> float:
        """The requests that it is taken to work on: this proxy's, and others' as its newest response said.

        As that grows old, the zone's load report takes its place: guards against a backend that looks idle
        because it is too busy to answer.
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
