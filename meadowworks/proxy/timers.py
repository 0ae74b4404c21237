"""What a proxy does from time to time."""

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
# The balancers' own turns come every half second: twice as often, so that none comes late by a whole turn.
POLICY_TICK_S = 0.25
COUNTER_LOG_INTERVAL_S = 10.0
log = logs.get_logger("proxy")


class Timers:
    """The periodic work of a proxy.

    :param pending_requests: the number of requests that are not answered yet
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
        """Begin; the work ends with its tasks."""
        tasks.start(tasks.run_periodically(HOUSEKEEPING_INTERVAL_S, self.run_housekeeping))
        tasks.start(tasks.run_periodically(POLICY_TICK_S, self.tick_balancers))
        tasks.start(tasks.run_periodically(COUNTER_LOG_INTERVAL_S, self.log_counters))

    def run_housekeeping(self) -> None:
        """Let go of what is old, once a second."""
        now = now_ns()
        self._client.advance_heartbeat(now)
        self._view.expire(now)
        self._reporter.replace_overdue_report(now)
        self._view.evict_connections(now)

    def tick_balancers(self) -> None:
        """Give each balancer its turn, and log what it has decided."""
        now = now_ns()
        for balancer in self._view.balancers.values():
            balancer.tick(now)
            for entry in balancer.log_entries:
                log.info("policy_decision", service=balancer.name, decision=entry)
            balancer.log_entries.clear()

    def log_counters(self) -> None:
        """Log what was counted."""
        self._counters.log_changes(self._pending_requests(), self._forwarder.retry_windows(now_ns()))
