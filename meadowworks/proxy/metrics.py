"""Prometheus metrics of a proxy; docs/metrics.md lists them."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator

from meadowworks.forwarding.memory_budget import MemoryBudget
from meadowworks.proxy import counters as counter_names
from meadowworks.proxy.control_plane_view import ControlPlaneView
from meadowworks.proxy.counters import ProxyCounters
from meadowworks.proxy.forwarder import Forwarder
from meadowworks.registry.backend_metrics import backend_metrics
from meadowworks.runtime.clock import now_ns
from meadowworks.runtime.metrics import MetricFamily, Sample, counter, gauge

PREFIX = "meadowworks_proxy_"
BACKEND_STATUS = re.compile(r"\d{3}")
PROXY_STATUS = re.compile(r"own (\d{3})")
BODY_ERROR = re.compile(r"bodies (\w+)")
EVENT_METRICS = {
    counter_names.CLIENT_DISCONNECTED: (
        "clients_gone",
        "Requests whose client had gone before the response.",
    ),
    counter_names.NOT_ADMITTED: ("admission_rejections", "Requests that admission control has refused."),
    counter_names.CROSS_ZONE_ATTEMPTS: ("cross_zone_attempts", "Attempts at backends of another zone."),
}


class ProxyMetrics:
    """Collector that reads the metrics from a proxy's parts.

    :param is_ready: returns whether the platform may route clients to this proxy
    :param pending_requests: returns the number of requests without a response so far
    """

    def __init__(
        self,
        view: ControlPlaneView,
        forwarder: Forwarder,
        counters: ProxyCounters,
        memory: MemoryBudget,
        is_ready: Callable[[], bool],
        pending_requests: Callable[[], int],
    ) -> None:
        self._view = view
        self._forwarder = forwarder
        self._counters = counters
        self._memory = memory
        self._is_ready = is_ready
        self._pending_requests = pending_requests

    def collect(self) -> Iterator[MetricFamily]:
        """Yield all metrics with their current values."""
        now = now_ns()
        yield from self._counted()
        yield from self._state(now)
        yield from self._services(now)
        yield from backend_metrics(self._view.backends)

    def _counted(self) -> Iterator[MetricFamily]:
        counts = self._counters.responses
        yield counter(
            PREFIX + "responses",
            "Responses to clients, by who gave them (backend or proxy) and status code.",
            *(
                Sample(count, ("backend", name))
                for name, count in counts.items()
                if BACKEND_STATUS.fullmatch(name)
            ),
            *(
                Sample(count, ("proxy", match[1]))
                for name, count in counts.items()
                if (match := PROXY_STATUS.fullmatch(name))
            ),
            labels=("origin", "code"),
        )
        yield counter(
            PREFIX + "incomplete_bodies",
            "Requests without a complete body.",
            *(
                Sample(count, (match[1],))
                for name, count in counts.items()
                if (match := BODY_ERROR.fullmatch(name))
            ),
            labels=("reason",),
        )
        for name, (metric, help_text) in EVENT_METRICS.items():
            yield counter(PREFIX + metric, help_text, Sample(counts.get(name, 0)))
        yield counter(
            PREFIX + "route_failures",
            "Requests that failed, by route and kind.",
            *(
                Sample(count, (route, kind))
                for route, failures in self._counters.route_failures.items()
                for kind, count in failures.items()
            ),
            labels=("route", "kind"),
        )

    def _state(self, now: int) -> Iterator[MetricFamily]:
        view = self._view
        yield gauge(PREFIX + "ready", "1 if clients may be sent here.", Sample(self._is_ready()))
        yield gauge(
            PREFIX + "view_fresh",
            "1 if a lease holder of the control plane has answered lately.",
            Sample(view.staleness.is_fresh(now)),
        )
        yield gauge(
            PREFIX + "config_version",
            "Configuration in force; 0: none.",
            Sample(view.config_version),
        )
        yield gauge(
            PREFIX + "pending_requests",
            "Requests without an answer yet.",
            Sample(self._pending_requests()),
        )
        yield gauge(
            PREFIX + "body_memory_bytes",
            "Memory that bodies of requests and responses hold.",
            Sample(self._memory.reserved_bytes),
        )

    def _services(self, now: int) -> Iterator[MetricFamily]:
        balancers = self._view.balancers
        yield gauge(
            PREFIX + "admission_ratio",
            "Part of a service's requests that is let in.",
            *(Sample(balancer.admission_ratio, (name,)) for name, balancer in balancers.items()),
            labels=("service",),
        )
        yield gauge(
            PREFIX + "priority_admission_ratio",
            "Part of a service's requests of a priority that is let in; 0 is the most urgent.",
            *(
                Sample(balancer.admission_ratio_of(priority), (name, str(priority)))
                for name, balancer in balancers.items()
                for priority in sorted(balancer.priority_admission.counts)
            ),
            labels=("service", "priority"),
        )
        yield gauge(
            PREFIX + "demand_requests_per_second",
            "Requests a second that clients of all zones ask of a service.",
            *(Sample(balancer.controller.demand, (name,)) for name, balancer in balancers.items()),
            labels=("service",),
        )
        windows = self._forwarder.retry_windows(now)
        yield gauge(
            PREFIX + "retry_window_retries",
            "Retries in the window of a service's retry budget.",
            *(Sample(retries, (name,)) for name, (retries, _) in windows.items()),
            labels=("service",),
        )
        yield gauge(
            PREFIX + "retry_window_requests",
            "Requests in the window of a service's retry budget.",
            *(Sample(requests, (name,)) for name, (_, requests) in windows.items()),
            labels=("service",),
        )
