"""Splits the admission ratio of a service over the priorities of its routes.

The policy orders one ratio for all requests of a service, which keeps all grants under the estimate of its
capacity. Here it is shared out by strict priority: the least urgent requests are refused first, but no
priority is starved. What all priorities are granted together stays the policy's ratio.
"""

from __future__ import annotations

# Part of the service's ratio that each priority keeps: more than the quarter below which users call a kind of
# request starved.
RESERVED_SHARE = 0.35
# Part of the counted requests that is left after a tick: the last few seconds count.
COUNT_RETENTION = 0.7
# Counts below it are forgotten: a priority that nobody asks for any more.
MIN_COUNT = 0.05


class PriorityAdmission:
    """The requests of one service by priority, as one proxy counts them; 0 is the most urgent."""

    def __init__(self) -> None:
        self.counts: dict[int, float] = {}  # recent requests by priority, whether admitted or not

    def record_request(self, priority: int) -> None:
        """Count a request."""
        self.counts[priority] = self.counts.get(priority, 0.0) + 1.0

    def decay(self) -> None:
        """Let older requests count for less; to be called at a steady interval."""
        faded = {priority: count * COUNT_RETENTION for priority, count in self.counts.items()}
        self.counts = {priority: count for priority, count in faded.items() if count >= MIN_COUNT}

    def ratios(self, service_ratio: float) -> dict[int, float]:
        """The admission ratio of each priority that has been asked for, from 0 to 1.

        :param service_ratio: the part of all requests of the service that may be admitted
        """
        total = sum(self.counts.values())
        reserved = RESERVED_SHARE * service_ratio
        remaining = (
            service_ratio - reserved
        )  # to be granted beyond what is reserved, as a part of all requests
        ratios = {}
        for priority in sorted(self.counts):
            share = self.counts[priority] / total
            extra = min(1.0 - reserved, remaining / share)
            remaining -= extra * share
            ratios[priority] = reserved + extra
        return ratios

    def ratio(self, priority: int, service_ratio: float) -> float:
        """The admission ratio of one priority.

        :param service_ratio: the part of all requests of the service that may be admitted
        """
        if service_ratio >= 1.0 or len(self.counts) < 2:
            return service_ratio
        return self.ratios(service_ratio).get(priority, service_ratio)
