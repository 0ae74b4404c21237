"""Sums of the proxies' load reports by zone, so that cross-zone traffic is independent of their number."""

from __future__ import annotations

from typing import Any

from meadowworks.gossip.updates import UpdateStore
from meadowworks.load_balancing.load_reports import LOAD_REPORT_PREFIX, LoadReport
from meadowworks.runtime.clock import NS_PER_MS


class ZoneLoads:
    """Aggregates load reports by zone and publishes the sums.

    :param updates: the store that publishes the sums.
    :param now_ns: the start of the first period.
    """

    def __init__(self, updates: UpdateStore, now_ns: int) -> None:
        self._updates = updates
        self._period_start_ns = now_ns
        self._reports: dict[str, LoadReport] = {}

    def add(self, zone: str, report: Any) -> None:
        """Add the report contained in a proxy's pull.

        :raises ValueError: the report is malformed; or TypeError.
        """
        self._reports.setdefault(zone, LoadReport()).merge(report)

    def publish(self, now_ns: int) -> None:
        """Publish each zone's sum with its period in milliseconds, then start a new period."""
        covered_ms = (now_ns - self._period_start_ns) // NS_PER_MS
        self._period_start_ns = now_ns
        for zone, report in self._reports.items():
            if report:
                self._updates.publish(LOAD_REPORT_PREFIX + zone, [covered_ms, *report.pack()])
            elif self._is_published(zone):
                self._updates.publish(LOAD_REPORT_PREFIX + zone, None)
        self._reports = {zone: LoadReport() for zone in self._reports}

    def _is_published(self, zone: str) -> bool:
        own_entries = self._updates.sources[self._updates.source_id].entries
        return bool(own_entries.get(LOAD_REPORT_PREFIX + zone, (0, None))[1])
