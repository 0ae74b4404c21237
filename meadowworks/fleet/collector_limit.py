"""How many collectors of one zone may be connected, and which one makes way for the next."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

CollectorT = TypeVar("CollectorT")


class CollectorLimit(Generic[CollectorT]):
    """Keeps the newest collectors of each zone: older ones may have been cut off without notice."""

    def __init__(self, max_per_zone: int) -> None:
        self.max_per_zone = max_per_zone
        self._by_zone: dict[str, deque[CollectorT]] = {}

    def add(self, zone: str, collector: CollectorT) -> CollectorT | None:
        """Adds a collector.

        :returns: the zone's oldest, which has to make way for it, if there are too many.
        """
        collectors = self._by_zone.setdefault(zone, deque())
        collectors.append(collector)
        return collectors.popleft() if len(collectors) > self.max_per_zone else None
