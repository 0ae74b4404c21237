"""Load reports: this proxy's requests and attempts, and the sums over the proxies of each zone.

A proxy sends its report to the control plane with its pulls. The sums by zone come back as updates, and the
balancers base their decisions on them.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from meadowworks.attempts.retry_policy import ANSWERED
from meadowworks.forwarding.connection_pool import ConnectionPool
from meadowworks.gossip.updates import KeyUpdate
from meadowworks.load_balancing.load_reports import LOAD_REPORT_PREFIX, BackendSums, LoadReport
from meadowworks.load_balancing.service_balancer import BackendLoad
from meadowworks.proxy.control_plane_view import ControlPlaneView
from meadowworks.proxy.upstream_attempt import AttemptResult
from meadowworks.runtime import logging as logs
from meadowworks.runtime.clock import now_ns
from meadowworks.runtime.http_connection import ClientConnection
from meadowworks.runtime.live_settings import LiveSettings

MS = 1_000_000
OWN_REPORT_MS = 1000  # period covered by the proxy's own report when it replaces its zone's
log = logs.get_logger("proxy")


class LoadReporter:
    """Collector of this proxy's load report; it passes the zones' reports on to the balancers."""

    def __init__(
        self,
        settings: LiveSettings,
        view: ControlPlaneView,
        pool: ConnectionPool[ClientConnection],
    ) -> None:
        self._settings = settings
        self._view = view
        self._pool = pool
        self._unsent = LoadReport()
        self._last_second = LoadReport()
        self._withdrawn: dict[str, int] = {}  # withdrawn requests already reported as demand, by service
        view.gossip.update_listeners.append(self.on_update)

    # -- this proxy's own report

    def record_request(self, service: str) -> None:
        """Count a request, admitted or rejected by the proxy, unless it offsets a withdrawn one."""
        if self._withdrawn.get(service, 0):
            self._withdrawn[service] -= 1
            return
        self._unsent.record_request(service)
        self._last_second.record_request(service)

    def withdraw_request(self, service: str) -> None:
        """Subtract a request that was not served because its client disconnected.

        Prevents abandoned requests from counting as demand, for which the policy would reject other requests.
        """
        if self._unsent.service_requests.get(service, 0):
            self._unsent.service_requests[service] -= 1
        else:
            self._withdrawn[service] = self._withdrawn.get(service, 0) + 1
        if self._last_second.service_requests.get(service, 0):
            self._last_second.service_requests[service] -= 1

    def record_attempt(self, instance_id: str, result: AttemptResult) -> None:
        """Count an attempt that ended."""
        answered, elapsed_ms = result.outcome == ANSWERED, result.elapsed_ns / MS
        for report in (self._unsent, self._last_second):
            report.record_attempt(instance_id, answered, elapsed_ms)
            if result.backend_load is not None:
                report.record_backend_load(
                    instance_id, result.backend_load.running, result.backend_load.waiting
                )

    def take_unsent(self) -> LoadReport:
        """Return the counts since the last call and reset them."""
        report, self._unsent = self._unsent, LoadReport()
        return report

    def restore_unsent(self, report: LoadReport) -> None:
        """Add a report that could not be sent to the current counts."""
        self._unsent.merge(report.pack())

    # -- the zones' reports

    def on_update(self, update: KeyUpdate) -> None:
        """Apply a zone's report, which the control plane has summed up; ignore other updates."""
        zone = update.key.removeprefix(LOAD_REPORT_PREFIX)
        if not update.key.startswith(LOAD_REPORT_PREFIX) or update.value is None:
            return
        if zone not in self._settings.current.zones:
            return
        try:
            covers_ms, backends, requests = update.value
            self.apply_zone_report(zone, int(covers_ms), backends, dict(requests))
        except (TypeError, ValueError) as error:
            log.warning("malformed_load_report", zone=zone, reason=str(error))

    def apply_zone_report(
        self, zone: str, covers_ms: int, backends: Iterable[Sequence[Any]], requests: Mapping[str, int]
    ) -> None:
        """Pass a zone's sums on to the balancers.

        :param covers_ms: the period over which they were counted, in milliseconds
        :param backends: a row with the fields of `BackendSums` for each backend
        :param requests: the number of requests by service
        """
        now, zone_number = now_ns(), self._settings.current.zones.index(zone)
        loads: dict[str, dict[str, BackendLoad]] = {}
        for row in backends:
            sums = BackendSums(*row)
            instance = self._view.backends.instances.get(sums.instance_id)
            if instance is None:
                continue
            mean_ns = int(sums.elapsed_ms * MS / max(1, sums.attempts - sums.failures))
            queue_length = sums.waiting / sums.load_samples if sums.load_samples else -1.0
            loads.setdefault(instance.service, {})[sums.instance_id] = BackendLoad(
                sums.attempts, sums.failures, mean_ns, queue_length
            )
            if sums.load_samples:
                in_flight = (sums.running + sums.waiting) / sums.load_samples
                self._pool.record_zone_load(now, sums.instance_id, in_flight)
        covers_ns = max(1, covers_ms) * MS
        for name, balancer in self._view.balancers.items():
            balancer.record_zone_report(
                now, zone_number, loads.get(name, {}), requests.get(name, 0), covers_ns
            )

    def replace_overdue_report(self, now: int) -> None:
        """Replace the report of the proxy's zone by its own counts of the last second if it is overdue.

        Must be called every second.
        """
        last_second, self._last_second = self._last_second, LoadReport()
        settings = self._settings.current
        local_zone = settings.zones.index(settings.zone)
        if any(balancer.is_report_overdue(now, local_zone) for balancer in self._view.balancers.values()):
            self.apply_zone_report(
                settings.zone, OWN_REPORT_MS, last_second.backend_sums(), last_second.service_requests
            )
