"""One service: its controller, fed by figures, and the table of the junction's own zone that comes of it.

Figures are sums over a second: what all junctions of a zone met at a backend, and what was asked of them.
The zone's view is built of the whole zone's figures, so each junction's views stand for the whole service and
all come to nearly the same tables and level.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from meadowworks.fleet.names import NameIndex
from meadowworks.policy import Controller
from meadowworks.policy.interface import AttemptReport, EndpointEntry, Route, Settings
from meadowworks.registry.backend_state import DRAINING, UP
from meadowworks.registry.backends import BackendInstance

SECOND = 1_000_000_000
REPORT_INTERVAL_NS = SECOND
DEFAULT_SLOW_START_NS = 30 * SECOND  # of backends that do not tell how long they are slow
UNLIMITED = 1e12  # what the channel to a table in the same process bears
RESPONSE_SIZE_GAIN = 0.05  # that a new answer has in what answers are taken to measure
REPORT_OVERDUE_NS = 3 * SECOND  # figures of the zone older than this are replaced by this junction's own


@dataclass(frozen=True, slots=True)
class BackendLoad:
    """At one backend: tries, those that failed, and the mean latency of the good ones in nanoseconds."""

    attempts: int
    failures: int
    latency_ns: int
    queue_length: float = -1.0  # calls waiting there in the mean; under 0: not told


def policy_settings(zones: int, target_ns: int, slow_start_ns: int) -> Settings:
    return Settings(
        routes=(Route(1.0, target_ns, False),),
        zone_count=zones,
        proxy_count=zones,
        backend_connections=0.0,
        controller_count=1,
        proxies_join_own_zone=False,
        watches_list=False,
        list_refresh_ns=SECOND,
        removals_uncertain=True,
        health_checks=False,
        admission_unit="share",
        base_retry_policy=1,
        proxy_ejects_after=0,
        report_interval_ns=REPORT_INTERVAL_NS,
        fixed_weights=True,
        channel_rate=UNLIMITED,
        queue_limit=UNLIMITED,
        message_overhead=1.0,
        message_limit=0,
        message_window_ns=SECOND,
        max_delay_ns=REPORT_INTERVAL_NS,
        slow_start_share=0.1,
        overload_factor=1.0,
        slow_start_ns=slow_start_ns,
        slice_count=0,
        exclusive_slices=False,
        slice_lease_ns=0,
        max_in_flight_ns=0,
    )


class ServiceBalancer:
    """The controller's host. Zones are in the order given; `mine` is the junction's own."""

    def __init__(
        self, name: str, zones: Sequence[str], local_zone: str, target_ns: int, seed: int, now: int
    ) -> None:
        self.name, self.zone_index = name, {zone: place for place, zone in enumerate(zones)}
        self.local_zone = self.zone_index[local_zone]
        self.endpoint_ids = NameIndex()
        self.weights: dict[int, float] = {}  # the table of the own zone
        self.remote_weights: dict[int, float] = {}  # lines of the other zones' tables to their own backends
        self.admission_ratio, self.max_retries = 1.0, 1
        self.response_bytes = 0.0  # bytes of an answer, in the mean of late
        self.pending_marks: list[int] = []
        self.slow_start_ns = DEFAULT_SLOW_START_NS
        self.next_tick_ns = now
        self.backend_states: dict[str, str] = {}
        self.reported_ns: dict[int, int] = {}  # by zone: when figures of it last came
        self.log_entries: list[str] = []
        self.controller = Controller(
            self, policy_settings(len(zones), target_ns, DEFAULT_SLOW_START_NS), seed, now
        )
        for place in self.zone_index.values():
            self.controller.on_proxy_joined(now, place, place, 0.0)

    # -- the controller's host

    def log(self, line: str) -> None:
        self.log_entries.append(line)

    def watch_list(self, on: bool) -> None:
        pass

    def check_health(self, backend: int) -> None:
        pass

    def release_backend(self, backend: int) -> None:
        if name := self.endpoint_ids.name_by_index.get(backend):
            self.backend_states.pop(name, None)
            self.endpoint_ids.release(backend)

    def request_ack(self, number: int) -> None:
        self.pending_marks.append(number)

    def set_timer(self, wait_ns: int) -> None:
        self.next_tick_ns += wait_ns

    def set_weight(self, table: int, backend: int, weight: float) -> None:
        if table != self.local_zone:
            known = self.controller.backends.get(backend)
            if known is None or known.zone == table:
                store_weight(self.remote_weights, backend, weight)
        else:
            store_weight(self.weights, backend, weight)

    def assign_table(self, routes: int, proxy: int, table: int) -> None:
        pass

    def set_admission(self, table: int, routes: int, level: float, retry: int) -> None:
        if table == self.local_zone:
            self.admission_ratio, self.max_retries = level, retry

    # -- what happens

    def set_latency_target(self, target_ns: int) -> None:
        """The time within which the operator wants this service's answers, as a new configuration says."""
        old = self.controller.settings
        self.controller.settings = replace(old, routes=(replace(old.routes[0], slo_ns=target_ns),))

    def acknowledge_marks(self, now: int) -> None:
        """Orders within one process are carried out at once."""
        while self.pending_marks:
            self.controller.on_ack(now, self.pending_marks.pop(0))

    def update_backends(self, now: int, backends: Iterable[BackendInstance]) -> None:
        """The lives of this service as they are now; only what has changed is handed on."""
        entries, named = [], set()
        for b in backends:
            named.add(b.instance_id)
            if self.backend_states.get(b.instance_id) == b.state or b.zone not in self.zone_index:
                continue
            if b.warm_at_ns and self.slow_start_ns == DEFAULT_SLOW_START_NS:
                # The backends tell how long they are slow: that takes the place of the usual time.
                self.slow_start_ns = b.warm_at_ns - b.first_seen_ns
                self.controller.settings = replace(self.controller.settings, slow_start_ns=self.slow_start_ns)
            self.backend_states[b.instance_id] = b.state
            state = {UP: "ready", DRAINING: "draining"}.get(b.state, "gone")
            entries.append(
                EndpointEntry(
                    self.endpoint_ids.index(b.instance_id),
                    self.zone_index[b.zone],
                    state,
                    b.first_seen_ns if b.warm_at_ns else 0,
                    b.capacity,
                )
            )
        for ident in [i for i, state in self.backend_states.items() if i not in named and state != "over"]:
            self.backend_states[ident] = "over"
            place = self.endpoint_ids.index(ident)
            known = self.controller.backends.get(place)
            if known is not None:
                # First draining, so that it is not held as one that the list only misses.
                entries.append(EndpointEntry(place, known.zone, "draining", known.since_ns, known.weight))
                entries.append(EndpointEntry(place, known.zone, "gone", known.since_ns, known.weight))
        if entries:
            self.controller.on_endpoints(now, "changes", entries)
            self.acknowledge_marks(now)

    def record_zone_report(
        self, now: int, zone: int, loads: Mapping[str, BackendLoad], requests: int, covers_ns: int
    ) -> None:
        """The figures of one zone over a stretch of time."""
        for ident, m in loads.items():
            if (place := self.endpoint_ids.index_by_name.get(ident)) is not None:
                self.controller.on_backend_report(
                    now,
                    zone,
                    place,
                    AttemptReport(
                        m.attempts,
                        m.failures,
                        m.latency_ns,
                        covers_ns,
                        {} if m.queue_length < 0 else {"queue": m.queue_length},
                    ),
                )
        self.controller.on_demand_report(now, zone, 0, requests, covers_ns)
        self.reported_ns[zone] = now

    def record_response(self, size: int) -> None:
        self.response_bytes += RESPONSE_SIZE_GAIN * (size - self.response_bytes)

    def report_overdue(self, now: int, zone: int) -> bool:
        return now - self.reported_ns.get(zone, 0) > REPORT_OVERDUE_NS

    def explain(self, now: int) -> dict[str, Any]:
        """What the last decisions rest on: calls a second, the parts of weights, and rungs of suspects."""
        c = self.controller
        return {
            "level": self.admission_ratio,
            "further tries allowed": bool(self.max_retries),
            "asked": round(c.demand, 2),
            "proven": round(c.proven_rate, 2),
            "zones": {
                zone: {
                    "view": round(view.capacity, 2),
                    "asked": round(view.admitted_rate, 2),
                    "keeps": round(view.local_share, 3),
                    "waiting": round(view.mean_queue, 2),
                    "jammed": view.overloaded,
                    "calm": view.latency_ok,
                    "figures_s": round((now - self.reported_ns[k]) / SECOND, 1)
                    if k in self.reported_ns
                    else None,
                }
                for (zone, k), view in zip(self.zone_index.items(), c.views, strict=True)
            },
            "table": {
                self.endpoint_ids.name_by_index[p]: round(w, 3) for p, w in sorted(self.weights.items())
            },
            "abroad": {
                self.endpoint_ids.name_by_index[p]: round(w, 3)
                for p, w in sorted(self.remote_weights.items())
            },
            "held back": {
                self.endpoint_ids.name_by_index[p]: {
                    "rung": b.ejection_step,
                    "part": round(c.weight_factor(now, b), 3),
                    "ready": b.ready,
                }
                for p, b in c.backends.items()
                if p in self.endpoint_ids.name_by_index
                and (b.ejection_step or not b.ready or c.weight_factor(now, b) < 1)
            },
        }

    def tick(self, now: int) -> None:
        if now >= self.next_tick_ns:
            self.next_tick_ns = max(self.next_tick_ns, now - REPORT_INTERVAL_NS)
            self.controller.tick(now)
            self.acknowledge_marks(now)


def store_weight(weights: dict[int, float], backend: int, weight: float) -> None:
    if weight > 0:
        weights[backend] = weight
    else:
        weights.pop(backend, None)
