"""Zones, regions and the links between them."""

from __future__ import annotations

ZONES_PER_REGION = 4
IN_ZONE_NS, IN_REGION_NS, BETWEEN_REGIONS_NS = 200_000, 900_000, 20_000_000  # that a message takes one way


class Topology:
    """The zones of a deployment, four to a region, of which some may reach nothing but themselves."""

    def __init__(self, zones: int) -> None:
        self.zones = [f"zone-{number:02}" for number in range(zones)]
        self.isolated_regions: set[int] = set()

    def zone(self, number: int) -> str:
        """Return the zone of a machine, which are dealt to the zones in turn."""
        return self.zones[number % len(self.zones)]

    def region_of(self, zone: str) -> int:
        """Return the number of the region that a zone is in."""
        return self.zones.index(zone) // ZONES_PER_REGION

    def link_delay_ns(self, one: str, other: str) -> int:
        """Return how long a message takes from a zone to a zone."""
        if one == other:
            return IN_ZONE_NS
        return IN_REGION_NS if self.region_of(one) == self.region_of(other) else BETWEEN_REGIONS_NS

    def is_reachable(self, one: str, other: str) -> bool:
        """Tell whether bytes pass between two zones."""
        regions = {self.region_of(one), self.region_of(other)}
        return len(regions) == 1 or not regions & self.isolated_regions
