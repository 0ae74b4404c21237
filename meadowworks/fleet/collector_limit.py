"""Limits the number of connected collectors of each zone."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

CollectorT = TypeVar("CollectorT")


class CollectorLimit(Generic[CollectorT]):
    """Keeps the newest collectors of each zone; older connections may be dead without notice."""

    def __init__(self, max_per_zone: int) -> None:
        self.max_per_zone = max_per_zone
        self._by_zone: dict[str, deque[CollectorT]] = {}

    def add(self, zone: str, collector: CollectorT) -> CollectorT | None:
        """Add a collector.

        :returns: the zone's oldest collector, which has to be closed, if there are too many; else None.
        """
        collectors = self._by_zone.setdefault(zone, deque())
        collectors.append(collector)
        return collectors.popleft() if len(collectors) > self.max_per_zone else None
