"""The balancer of one service: a policy controller, fed by load reports, and the weights that come of it.

A load report holds the sums of a second: what all proxies of a zone met at each backend, and what their
clients asked of the service. The policy sees whole zones, so that the balancers of all proxies stand for the
whole service, and come to nearly the same weights and admission ratios.
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

SECOND = 1_000_000_000
# How long a backend is slow after its start, until one has said so itself.
DEFAULT_SLOW_START_NS = 30 * SECOND
# Weight of a new response in the moving average of response sizes: the last twenty or so count.
RESPONSE_SIZE_GAIN = 0.05
# A zone's report that is older is replaced by this proxy's own counts: two have not come.
REPORT_OVERDUE_NS = 3 * SECOND
# The state of a backend that is not listed any more, beside those that backends have.
REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class BackendLoad:
    """What the proxies of a zone met at one backend.

    :param latency_ns: the mean of the attempts that were answered
    :param queue_length: the mean of the requests that waited there; negative if it is not known
    """

    attempts: int
    failures: int
    latency_ns: int
    queue_length: float = -1.0


class ServiceBalancer:
    """The host of one policy controller: it hands events in, and carries orders out at once.

    :param zones: all zones, in an order that is the same in all proxies
    :param local_zone: the proxy's own
    :param target_ns: the latency target of the service
    :param seed: of the policy's random numbers
    """

    def __init__(
        self, name: str, zones: Sequence[str], local_zone: str, target_ns: int, seed: int, now: int
    ) -> None:
        self.name = name
        self.zone_index = {zone: index for index, zone in enumerate(zones)}
        self.local_zone = self.zone_index[local_zone]
        self.endpoint_ids = NameIndex()
        self.weights: dict[int, float] = {}  # of the local zone's table, by endpoint
        self.remote_weights: dict[int, float] = {}  # of the other zones' tables, of their own backends alone
        self.admission_ratio = 1.0  # the part of requests that are let in
        self.priority_admission = PriorityAdmission()
        self.max_retries = 1  # 0 under overload
        self.response_bytes = 0.0  # moving average
        self.log_entries: list[str] = []  # what the policy has decided, not logged yet
        self._unacknowledged: list[int] = []  # orders of the policy
        self._slow_start_ns = DEFAULT_SLOW_START_NS
        self._next_tick_ns = now
        self._backend_states: dict[str, str] = {}  # by id, as they were handed to the policy
        self._reported_ns: dict[int, int] = {}  # by zone: when its last report came
        settings = policy_settings(len(zones), target_ns, DEFAULT_SLOW_START_NS)
        self.controller = Controller(self, settings, seed, now)
        for zone in self.zone_index.values():
            self.controller.on_proxy_joined(now, zone, zone, 0.0)

    # -- what the policy calls

    def log(self, line: str) -> None:
        """Keep a decision for the log."""
        self.log_entries.append(line)

    def watch_list(self, on: bool) -> None:
        """Do nothing: changes of the list come without being asked for."""

    def check_health(self, backend: int) -> None:
        """Do nothing: health is derived from requests alone."""

    def release_backend(self, backend: int) -> None:
        """Forget a backend that the policy holds no longer."""
        if name := self.endpoint_ids.name_by_index.get(backend):
            self._backend_states.pop(name, None)
            self.endpoint_ids.release(backend)

    def request_ack(self, nonce: int) -> None:
        """Acknowledge the orders up to here when the policy's turn is over."""
        self._unacknowledged.append(nonce)

    def set_timer(self, wait_ns: int) -> None:
        """Set when the policy's next turn is due."""
        self._next_tick_ns += wait_ns

    def set_weight(self, table: int, backend: int, weight: float) -> None:
        """Set a weight in a zone's table; 0 takes the backend out."""
        if table == self.local_zone:
            store_weight(self.weights, backend, weight)
            return
        known = self.controller.backends.get(backend)
        if known is None or known.zone == table:
            store_weight(self.remote_weights, backend, weight)

    def assign_table(self, routes: int, proxy: int, table: int) -> None:
        """Do nothing: each zone has one table."""

    def set_admission(self, table: int, routes: int, limit: float, retry_policy: int) -> None:  # noqa: ARG002
        """Set which part of requests the local zone lets in, and whether retries are allowed."""
        if table == self.local_zone:
            self.admission_ratio, self.max_retries = limit, retry_policy

    # -- events

    def set_latency_target(self, target_ns: int) -> None:
        """Set the time within which the operator wants responses, as a new configuration says."""
        old = self.controller.settings
        self.controller.settings = replace(old, routes=(replace(old.routes[0], slo_ns=target_ns),))

    def update_backends(self, now: int, backends: Iterable[BackendInstance]) -> None:
        """Hand what has changed to the policy, of the backends of this service as they are now."""
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
        self, now: int, zone: int, loads: Mapping[str, BackendLoad], requests: int, covers_ns: int
    ) -> None:
        """Hand a zone's load report to the policy.

        :param zone: its number in the order of zones
        :param loads: by backend
        :param requests: of all clients in the zone
        :param covers_ns: the time over which they were counted
        """
        for instance_id, load in loads.items():
            endpoint = self.endpoint_ids.index_by_name.get(instance_id)
            if endpoint is None:
                continue
            queue = {} if load.queue_length < 0 else {"queue": load.queue_length}
            report = AttemptReport(load.attempts, load.failures, load.latency_ns, covers_ns, queue)
            self.controller.on_backend_report(now, zone, endpoint, report)
        self.controller.on_demand_report(now, zone, 0, requests, covers_ns)
        self._reported_ns[zone] = now

    def record_response(self, size: int) -> None:
        """Record the size of a response's body in bytes."""
        self.response_bytes += RESPONSE_SIZE_GAIN * (size - self.response_bytes)

    def admission_ratio_of(self, priority: int) -> float:
        """The part of the requests of a priority that are let in; 0 is the most urgent."""
        return self.priority_admission.ratio(priority, self.admission_ratio)

    def is_report_overdue(self, now: int, zone: int) -> bool:
        """Whether a zone's reports have not come for a while."""
        return now - self._reported_ns.get(zone, 0) > REPORT_OVERDUE_NS

    def tick(self, now: int) -> None:
        """Give the policy its turn, if it is due."""
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
            # The backends say how long they are slow: that takes the place of the usual time.
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
        known = self.controller.backends.get(endpoint)
        if known is None:
            return []
        # First draining, so that it is not held as one that the list only misses.
        return [
            EndpointEntry(endpoint, known.zone, state, known.started_ns, known.weight)
            for state in ("draining", "gone")
        ]

    # -- what operators ask

    def explain(self, now: int) -> dict[str, Any]:
        """What the last decisions rest on: requests a second, weights, and who is held back and why."""
        policy = self.controller
        return {
            "level": self.admission_ratio,
            "further tries allowed": bool(self.max_retries),
            "asked": round(policy.demand, 2),
            "proven": round(policy.proven_rate, 2),
            "zones": self._explain_zones(now),
            "table": self._named(self.weights),
            "abroad": self._named(self.remote_weights),
            "held back": self._explain_held_back(now),
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
        return round((now - self._reported_ns[zone]) / SECOND, 1)

    def _named(self, weights: Mapping[int, float]) -> dict[str, float]:
        names = self.endpoint_ids.name_by_index
        return {names[endpoint]: round(weight, 3) for endpoint, weight in sorted(weights.items())}

    def _explain_held_back(self, now: int) -> dict[str, Any]:
        """The backends that have not their whole weight."""
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
    """Set a weight, or take the endpoint out if it has none."""
    if weight > 0:
        weights[endpoint] = weight
    else:
        weights.pop(endpoint, None)
