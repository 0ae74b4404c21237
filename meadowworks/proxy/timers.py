"""Periodic work of a proxy."""

from __future__ import annotations

from collections.abc import Callable

from meadowworks.proxy.control_plane_client import ControlPlaneClient
from meadowworks.proxy.control_plane_view import ControlPlaneView
from meadowworks.proxy.counters import ProxyCounters
from meadowworks.proxy.forwarder import Forwarder
from meadowworks.proxy.load_reporting import LoadReporter
from meadowworks.runtime import logging as logs
from meadowworks.runtime.background_tasks import BackgroundTasks
from meadowworks.runtime.clock import now_ns

HOUSEKEEPING_INTERVAL_S = 1.0
# Half of the balancers' own interval of 0.5 s, so that none of their ticks is late by a whole interval.
POLICY_TICK_S = 0.25
COUNTER_LOG_INTERVAL_S = 10.0
log = logs.get_logger("proxy")


class Timers:
    """Scheduler of a proxy's periodic work.

    :param pending_requests: returns the number of requests without a response so far
    """

    def __init__(
        self,
        view: ControlPlaneView,
        client: ControlPlaneClient,
        reporter: LoadReporter,
        forwarder: Forwarder,
        counters: ProxyCounters,
        pending_requests: Callable[[], int],
    ) -> None:
        self._view = view
        self._client = client
        self._reporter = reporter
        self._forwarder = forwarder
        self._counters = counters
        self._pending_requests = pending_requests

    def start(self, tasks: BackgroundTasks) -> None:
        """Start the periodic tasks, which run until `tasks` is closed."""
        tasks.start(tasks.run_periodically(HOUSEKEEPING_INTERVAL_S, self.run_housekeeping))
        tasks.start(tasks.run_periodically(POLICY_TICK_S, self.tick_balancers))
        tasks.start(tasks.run_periodically(COUNTER_LOG_INTERVAL_S, self.log_counters))

    def run_housekeeping(self) -> None:
        """Advance the heartbeat, discard expired state and replace an overdue load report."""
        now = now_ns()
        self._client.advance_heartbeat(now)
        self._view.expire(now)
        self._reporter.replace_overdue_report(now)
        self._view.evict_connections(now)

    def tick_balancers(self) -> None:
        """Run a tick of each balancer and log its decisions."""
        now = now_ns()
        for balancer in self._view.balancers.values():
            balancer.tick(now)
            for entry in balancer.log_entries:
                log.info("policy_decision", service=balancer.name, decision=entry)
            balancer.log_entries.clear()

    def log_counters(self) -> None:
        """Log the counters."""
        self._counters.log_changes(self._pending_requests(), self._forwarder.retry_windows(now_ns()))
