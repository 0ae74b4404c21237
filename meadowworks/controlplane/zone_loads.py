"""Sums of the load reports of a zone's proxies: traffic between zones doesn't grow with their number."""

from __future__ import annotations

from typing import Any

from meadowworks.gossip.updates import UpdateStore
from meadowworks.load_balancing.load_reports import LOAD_REPORT_PREFIX, LoadReport
from meadowworks.runtime.clock import NS_PER_MS


class ZoneLoads:
    """Adds up load reports by zone and publishes the sums.

    :param updates: where the sums are published.
    :param now_ns: when the first sum begins.
    """

    def __init__(self, updates: UpdateStore, now_ns: int) -> None:
        self._updates = updates
        self._since_ns = now_ns
        self._reports: dict[str, LoadReport] = {}

    def add(self, zone: str, report: Any) -> None:
        """Add a proxy's report, as its pull carries it.

        :raises ValueError: it is malformed; or TypeError.
        """
        self._reports.setdefault(zone, LoadReport()).merge(report)

    def publish(self, now_ns: int) -> None:
        """Publish each zone's sum and the milliseconds it covers, then begin anew."""
        covered_ms = (now_ns - self._since_ns) // NS_PER_MS
        self._since_ns = now_ns
        for zone, report in self._reports.items():
            if report:
                self._updates.publish(LOAD_REPORT_PREFIX + zone, [covered_ms, *report.pack()])
            elif self._is_published(zone):
                self._updates.publish(LOAD_REPORT_PREFIX + zone, None)
        self._reports = {zone: LoadReport() for zone in self._reports}

    def _is_published(self, zone: str) -> bool:
        own_entries = self._updates.sources[self._updates.source_id].entries
        return bool(own_entries.get(LOAD_REPORT_PREFIX + zone, (0, None))[1])
