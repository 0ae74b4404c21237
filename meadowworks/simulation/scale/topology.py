"""Zones, regions and the links between zones."""

from __future__ import annotations

ZONES_PER_REGION = 4
IN_ZONE_NS, IN_REGION_NS, BETWEEN_REGIONS_NS = 200_000, 900_000, 20_000_000  # one-way delays


class Topology:
    """The zones of a deployment, four per region; isolated regions can't reach other regions."""

    def __init__(self, zones: int) -> None:
        self.zones = [f"zone-{number:02}" for number in range(zones)]
        self.isolated_regions: set[int] = set()

    def zone(self, number: int) -> str:
        """Return the zone of a machine by its number; machines are assigned to the zones in turn."""
        return self.zones[number % len(self.zones)]

    def region_of(self, zone: str) -> int:
        """Return the number of a zone's region."""
        return self.zones.index(zone) // ZONES_PER_REGION

    def link_delay_ns(self, zone: str, other: str) -> int:
        """Return the one-way delay between two zones."""
        if zone == other:
            return IN_ZONE_NS
        return IN_REGION_NS if self.region_of(zone) == self.region_of(other) else BETWEEN_REGIONS_NS

    def is_reachable(self, zone: str, other: str) -> bool:
        """Return whether messages can pass between two zones."""
        regions = {self.region_of(zone), self.region_of(other)}
        return len(regions) == 1 or not regions & self.isolated_regions
