"""The load balancer of one service: a policy controller that computes weights from load reports.

A load report has the sums over a second: the attempts of a zone's proxies at each backend, and the requests
of their clients. As all proxies get the same reports of whole zones, their balancers compute nearly the same
weights and admission ratios.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from meadowworks.fleet.names import NameIndex
from meadowworks.load_balancing.policy_settings import REPORT_INTERVAL_NS, policy_settings
from meadowworks.load_balancing.priority_admission import PriorityAdmission
from meadowworks.policy import Controller
from meadowworks.policy.interface import AttemptReport, EndpointEntry
from meadowworks.registry.backend_state import DRAINING, UP
from meadowworks.registry.backends import BackendInstance

SECOND_NS = 1_000_000_000
DEFAULT_SLOW_START_NS = 30 * SECOND_NS  # until a backend states the duration
RESPONSE_SIZE_GAIN = 0.05  # weight of a new response in the moving average: about the last twenty count
# Age of a zone's report at which this proxy's own counts replace it: two reports have not arrived.
REPORT_OVERDUE_NS = 3 * SECOND_NS
REMOVED = "removed"  # state of a backend that is no longer listed, in addition to those of the registry


@dataclass(frozen=True, slots=True)
class BackendLoad:
    """The attempts of a zone's proxies at one backend.

    :param latency_ns: mean of the answered attempts
    :param queue_length: mean of the requests waiting there; negative if unknown
    """

    attempts: int
    failures: int
    latency_ns: int
    queue_length: float = -1.0


class ServiceBalancer:
    """The host of one policy controller, which applies orders at once.

    :param zones: all zones, in the same order in all proxies
    :param local_zone: the zone of this proxy
    :param target_ns: the latency target of the service
    :param seed: seed of the policy's random numbers
    """

    def __init__(
        self, name: str, zones: Sequence[str], local_zone: str, target_ns: int, seed: int, now: int
    ) -> None:
        self.name = name
        self.zone_index = {zone: index for index, zone in enumerate(zones)}
        self.local_zone = self.zone_index[local_zone]
        self.endpoint_ids = NameIndex()
        self.weights: dict[int, float] = {}  # of the local zone's table, by endpoint
        self.remote_weights: dict[int, float] = {}  # of the other zones' tables, only for their own backends
        self.admission_ratio = 1.0  # part of requests to admit
        self.priority_admission = PriorityAdmission()
        self.max_retries = 1  # 0 under overload
        self.response_bytes = 0.0  # moving average
        self.log_entries: list[str] = []  # decisions of the policy that are not logged yet
        self._unacknowledged: list[int] = []  # nonces of the policy's orders
        self._slow_start_ns = DEFAULT_SLOW_START_NS
        self._next_tick_ns = now
        self._backend_states: dict[str, str] = {}  # by id, as last reported to the policy
        self._reported_ns: dict[int, int] = {}  # by zone: time of its last report
        settings = policy_settings(len(zones), target_ns, DEFAULT_SLOW_START_NS)
        self.controller = Controller(self, settings, seed, now)
        for zone in self.zone_index.values():
            self.controller.on_proxy_joined(now, zone, zone, 0.0)

    # -- the host protocol of the policy

    def log(self, line: str) -> None:
        """Store a decision for the log."""
        self.log_entries.append(line)

    def watch_list(self, on: bool) -> None:
        """Do nothing: `update_backends` receives all changes of the list."""

    def check_health(self, backend: int) -> None:
        """Do nothing: health is derived from requests only."""

    def release_backend(self, backend: int) -> None:
        """Forget a backend that the policy has dropped."""
        if name := self.endpoint_ids.name_by_index.get(backend):
            self._backend_states.pop(name, None)
            self.endpoint_ids.release(backend)

    def request_ack(self, nonce: int) -> None:
        """Store a nonce, to be acknowledged after the policy has handled the event."""
        self._unacknowledged.append(nonce)

    def set_timer(self, wait_ns: int) -> None:
        """Set the time of the policy's next tick."""
        self._next_tick_ns += wait_ns

    def set_weight(self, table: int, backend: int, weight: float) -> None:
        """Set a weight in a zone's table; 0 removes the backend."""
        if table == self.local_zone:
            store_weight(self.weights, backend, weight)
            return
        policy_backend = self.controller.backends.get(backend)
        if policy_backend is None or policy_backend.zone == table:
            store_weight(self.remote_weights, backend, weight)

    def assign_table(self, routes: int, proxy: int, table: int) -> None:
        """Do nothing: each zone has one table."""

    def set_admission(self, table: int, routes: int, limit: float, retry_policy: int) -> None:  # noqa: ARG002
        """Set the part of requests that the local zone admits, and whether retries are allowed."""
        if table == self.local_zone:
            self.admission_ratio, self.max_retries = limit, retry_policy

    # -- events

    def set_latency_target(self, target_ns: int) -> None:
        """Set the latency target of a new configuration."""
        settings = self.controller.settings
        self.controller.settings = replace(settings, routes=(replace(settings.routes[0], slo_ns=target_ns),))

    def update_backends(self, now: int, backends: Iterable[BackendInstance]) -> None:
        """Report changes of state to the policy.

        :param backends: all current backends of this service
        """
        listed = {backend.instance_id: backend for backend in backends}
        entries = [
            self._changed_entry(backend)
            for backend in listed.values()
            if self._backend_states.get(backend.instance_id) != backend.state
            and backend.zone in self.zone_index
        ]
        for instance_id, state in [*self._backend_states.items()]:
            if instance_id not in listed and state != REMOVED:
                entries += self._removed_entries(instance_id)
        if entries:
            self.controller.on_endpoints(now, "changes", entries)
            self._acknowledge(now)

    def record_zone_report(
        self, now: int, zone: int, loads: Mapping[str, BackendLoad], requests: int, period_ns: int
    ) -> None:
        """Pass a zone's load report to the policy.

        :param zone: position of the zone in the order of zones
        :param loads: by instance id of the backend
        :param requests: number of requests of all clients in the zone
        :param period_ns: the time over which they were counted
        """
        for instance_id, load in loads.items():
            endpoint = self.endpoint_ids.index_by_name.get(instance_id)
            if endpoint is None:
                continue
            queue = {} if load.queue_length < 0 else {"queue": load.queue_length}
            report = AttemptReport(load.attempts, load.failures, load.latency_ns, period_ns, queue)
            self.controller.on_backend_report(now, zone, endpoint, report)
        self.controller.on_demand_report(now, zone, 0, requests, period_ns)
        self._reported_ns[zone] = now

    def record_response(self, size: int) -> None:
        """Record the size of a response's body in bytes."""
        self.response_bytes += RESPONSE_SIZE_GAIN * (size - self.response_bytes)

    def admission_ratio_of(self, priority: int) -> float:
        """Return the part of the requests of a priority to admit; 0 is the most urgent."""
        return self.priority_admission.ratio(priority, self.admission_ratio)

    def is_report_overdue(self, now: int, zone: int) -> bool:
        """Return whether the last report of a zone is too old."""
        return now - self._reported_ns.get(zone, 0) > REPORT_OVERDUE_NS

    def tick(self, now: int) -> None:
        """Run the policy's tick if it is due."""
        if now >= self._next_tick_ns:
            self._next_tick_ns = max(self._next_tick_ns, now - REPORT_INTERVAL_NS)
            self.controller.tick(now)
            self.priority_admission.decay()
            self._acknowledge(now)

    def _acknowledge(self, now: int) -> None:
        while self._unacknowledged:
            self.controller.on_ack(now, self._unacknowledged.pop(0))

    def _changed_entry(self, backend: BackendInstance) -> EndpointEntry:
        if backend.warm_at_ns and self._slow_start_ns == DEFAULT_SLOW_START_NS:
            # The first duration that a backend states replaces the default.
            self._slow_start_ns = backend.warm_at_ns - backend.first_seen_ns
            self.controller.settings = replace(self.controller.settings, slow_start_ns=self._slow_start_ns)
        self._backend_states[backend.instance_id] = backend.state
        return EndpointEntry(
            self.endpoint_ids.index(backend.instance_id),
            self.zone_index[backend.zone],
            {UP: "ready", DRAINING: "draining"}.get(backend.state, "gone"),
            backend.first_seen_ns if backend.warm_at_ns else 0,
            backend.capacity,
        )

    def _removed_entries(self, instance_id: str) -> list[EndpointEntry]:
        self._backend_states[instance_id] = REMOVED
        endpoint = self.endpoint_ids.index(instance_id)
        policy_backend = self.controller.backends.get(endpoint)
        if policy_backend is None:
            return []
        # First draining: prevents the policy from retaining it as wrongly missing from the list.
        return [
            EndpointEntry(
                endpoint, policy_backend.zone, state, policy_backend.started_ns, policy_backend.weight
            )
            for state in ("draining", "gone")
        ]

    # -- diagnostics for operators

    def explain(self, now: int) -> dict[str, Any]:
        """Return the inputs and results of the last decisions, and the backends with reduced weight."""
        policy = self.controller
        return {
            "level": self.admission_ratio,
            "further tries allowed": bool(self.max_retries),
            "asked": round(policy.demand, 2),
            "proven": round(policy.proven_rate, 2),
            "zones": self._explain_zones(now),
            "table": self._weights_by_name(self.weights),
            "abroad": self._weights_by_name(self.remote_weights),
            "held back": self._explain_reduced_weights(now),
        }

    def _explain_zones(self, now: int) -> dict[str, Any]:
        return {
            name: {
                "view": round(view.capacity, 2),
                "asked": round(view.admitted_rate, 2),
                "keeps": round(view.local_share, 3),
                "waiting": round(view.mean_queue, 2),
                "jammed": view.overloaded,
                "calm": view.latency_ok,
                "figures_s": self._report_age_s(now, zone),
            }
            for (name, zone), view in zip(self.zone_index.items(), self.controller.views, strict=True)
        }

    def _report_age_s(self, now: int, zone: int) -> float | None:
        if zone not in self._reported_ns:
            return None
        return round((now - self._reported_ns[zone]) / SECOND_NS, 1)

    def _weights_by_name(self, weights: Mapping[int, float]) -> dict[str, float]:
        names = self.endpoint_ids.name_by_index
        return {names[endpoint]: round(weight, 3) for endpoint, weight in sorted(weights.items())}

    def _explain_reduced_weights(self, now: int) -> dict[str, Any]:
        """Return the backends with less than their full weight."""
        names, policy = self.endpoint_ids.name_by_index, self.controller
        return {
            names[endpoint]: {
                "rung": backend.ejection_step,
                "part": round(policy.weight_factor(now, backend), 3),
                "ready": backend.ready,
            }
            for endpoint, backend in policy.backends.items()
            if endpoint in names
            and (backend.ejection_step or not backend.ready or policy.weight_factor(now, backend) < 1)
        }


def store_weight(weights: dict[int, float], endpoint: int, weight: float) -> None:
    """Set a weight, or remove the endpoint if the weight is 0."""
    if weight > 0:
        weights[endpoint] = weight
    else:
        weights.pop(endpoint, None)
