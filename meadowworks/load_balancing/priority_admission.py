"""Divides the admission ratio of a service among the priorities of its routes.

The policy orders one ratio for all requests of a service. It is divided by strict priority, except for a
minimum share: the least urgent requests are rejected first, but no priority is starved. The total over all
priorities stays at the policy's ratio.
"""

from __future__ import annotations

# Part of the service's ratio that is reserved for each priority; below a quarter it would count as starved.
RESERVED_SHARE = 0.35
COUNT_RETENTION = 0.7  # factor of the counts at each tick, so that the last few seconds count
MIN_COUNT = 0.05  # lower counts are removed, with the priorities that are no longer requested


class PriorityAdmission:
    """Recent requests for a service at one proxy by priority, and admission ratios; 0 is the most urgent."""

    def __init__(self) -> None:
        self.counts: dict[int, float] = {}  # recent requests by priority, whether admitted or not

    def record_request(self, priority: int) -> None:
        """Count a request."""
        self.counts[priority] = self.counts.get(priority, 0.0) + 1.0

    def decay(self) -> None:
        """Reduce the weight of earlier requests; must be called at a constant interval."""
        decayed = {priority: count * COUNT_RETENTION for priority, count in self.counts.items()}
        self.counts = {priority: count for priority, count in decayed.items() if count >= MIN_COUNT}

    def ratios(self, service_ratio: float) -> dict[int, float]:
        """Return the admission ratio, from 0 to 1, of each priority with recent requests.

        :param service_ratio: the part of all requests for the service that may be admitted
        """
        total = sum(self.counts.values())
        reserved = RESERVED_SHARE * service_ratio
        remaining = service_ratio - reserved  # beyond the reserved part, as a part of all requests
        ratios = {}
        for priority in sorted(self.counts):
            share = self.counts[priority] / total
            extra = min(1.0 - reserved, remaining / share)
            remaining -= extra * share
            ratios[priority] = reserved + extra
        return ratios

    def ratio(self, priority: int, service_ratio: float) -> float:
        """Return the admission ratio of one priority.

        :param service_ratio: the part of all requests for the service that may be admitted
        """
        if service_ratio >= 1.0 or len(self.counts) < 2:
            return service_ratio
        return self.ratios(service_ratio).get(priority, service_ratio)
