"""The directory of backend instances, merged from the reports of all control-plane nodes.

Each node and each proxy merges its own directory. An instance that any node reports as draining or gone stays
in that state. An instance is suspect only if every live node with a report of it reports it as suspect: a
backend may send its heartbeats to any node and may change the node.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from meadowworks.gossip.updates import KeyUpdate
from meadowworks.registry.backend_state import (
    BACKEND_KEY_PREFIX,
    DRAINING,
    GONE,
    STATE_RANK,
    SUSPECT,
    UP,
    BackendValue,
)

# The reports of a source without updates for this long do not keep an instance from being suspect. Nodes
# publish every second.
SOURCE_TIMEOUT_NS = 8_000_000_000
NS_PER_MS = 1e6


@dataclass(slots=True)
class InstanceReport:
    """The report of one control-plane node on an instance."""

    service: str
    address: str
    zone: str
    capacity: float
    state: str
    sequence: int
    warmup_ms: float
    is_suspect: bool

    @classmethod
    def from_value(cls, raw: Any) -> InstanceReport:
        """Convert a published value with the fields of ``BackendValue``.

        :raises TypeError, ValueError: if the value is malformed.
        """
        value = BackendValue._make(raw)
        if value.state not in STATE_RANK:
            raise ValueError(f"unknown state {value.state!r}")
        if value.address:
            split_address(str(value.address))
        warmup_ms = float(value.warmup_ms)
        if not 0 <= warmup_ms < math.inf:
            raise ValueError(f"warm-up time of {warmup_ms} ms is negative or not finite")
        return cls(
            service=str(value.service),
            address=str(value.address),
            zone=str(value.zone),
            capacity=float(value.capacity),
            state=str(value.state),
            sequence=int(value.sequence),
            warmup_ms=warmup_ms,
            is_suspect=bool(value.is_suspect),
        )


@dataclass(slots=True)
class BackendInstance:
    """An instance as merged from all reports. Times are of this process's clock.

    :ivar state: up, draining, gone or suspect.
    :ivar first_seen_ns: the time of the first report.
    :ivar warm_at_ns: the end of its slow start; 0 if it needed none when first seen.
    """

    instance_id: str
    service: str
    host: str
    port: int
    zone: str
    capacity: float
    state: str
    first_seen_ns: int
    warm_at_ns: int

    @property
    def accepts_requests(self) -> bool:
        """Whether requests may be sent to it. A suspect instance may be alive and accepts requests."""
        return self.state not in (DRAINING, GONE)


def split_address(address: str) -> tuple[str, int]:
    """Split an address into host and port.

    :raises ValueError: if it has no port.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


class BackendDirectory:
    """The backend instances of all services, with the reports that they are merged from.

    :ivar source_silence_ns: returns the time since a source's last update.
    :ivar clock: returns the time in nanoseconds.
    :ivar reports: by instance id, then by source.
    :ivar instances: by id, without instances whose address is unknown.
    :ivar superseded: ids of instances whose address another instance has taken over.
    :ivar changed_ids: ids of instances whose state has changed since the caller last cleared this set.
    """

    def __init__(self, source_silence_ns: Callable[[str], int], clock: Callable[[], int]) -> None:
        self.source_silence_ns = source_silence_ns
        self.clock = clock
        self.reports: dict[str, dict[str, InstanceReport]] = {}
        self.instances: dict[str, BackendInstance] = {}
        self.superseded: set[str] = set()
        self.changed_ids: set[str] = set()
        self._sources: set[str] = set()

    def on_update(self, update: KeyUpdate) -> None:
        """Merge an update. Updates of other keys and malformed values are ignored."""
        if not update.key.startswith(BACKEND_KEY_PREFIX):
            return
        instance_id = update.key.removeprefix(BACKEND_KEY_PREFIX)
        if update.value is None:
            self._remove_report(instance_id, update.source)
        else:
            try:
                report = InstanceReport.from_value(update.value)
            except (TypeError, ValueError):
                return
            self.reports.setdefault(instance_id, {})[update.source] = report
            self._sources.add(update.source)
            if instance_id not in self.instances:
                self._add_instance(instance_id, report)
        self._refresh(instance_id)

    def mark_superseded(self, instance_id: str) -> None:
        """Mark an instance as gone because another instance has answered at its address."""
        self.superseded.add(instance_id)
        self._refresh(instance_id)

    def refresh_all(self) -> None:
        """Merge all instances again, since the silence of a source changes states without an update."""
        for instance_id in list(self.instances):
            self._refresh(instance_id)

    def merged_state(self, instance_id: str) -> str:
        """Return the state of an instance, merged from all reports."""
        reports = self.reports.get(instance_id)
        if not reports or instance_id in self.superseded:
            return GONE
        rank = max(STATE_RANK[report.state] for report in reports.values())
        if rank:
            return GONE if rank == STATE_RANK[GONE] else DRAINING
        alive = [
            report for source, report in reports.items() if self.source_silence_ns(source) < SOURCE_TIMEOUT_NS
        ]
        if not alive and all(self.source_silence_ns(name) >= SOURCE_TIMEOUT_NS for name in self._sources):
            # Prevents all backends from becoming suspect when a partition cuts this process off.
            return UP
        return SUSPECT if all(report.is_suspect for report in alive) else UP

    def is_reported(self, instance_id: str) -> bool:
        """Return whether any source reports an instance."""
        return instance_id in self.reports

    def is_draining_or_gone(self, instance_id: str) -> bool:
        """Return whether any source reports an instance as draining or gone."""
        return any(STATE_RANK[report.state] for report in self.reports.get(instance_id, {}).values())

    def instances_by_service(self) -> dict[str, list[BackendInstance]]:
        """Return the instances of each service, without those that are gone."""
        services: dict[str, list[BackendInstance]] = {}
        for instance in self.instances.values():
            if instance.state != GONE:
                services.setdefault(instance.service, []).append(instance)
        return services

    def summary(self) -> dict[str, list[str]]:
        """Return service, address, zone and state of each instance for the status endpoint."""
        return {
            instance_id: [
                instance.service,
                f"{instance.host}:{instance.port}",
                instance.zone,
                instance.state,
            ]
            for instance_id, instance in sorted(self.instances.items())
        }

    def _remove_report(self, instance_id: str, source: str) -> None:
        reports = self.reports.get(instance_id, {})
        reports.pop(source, None)
        if not reports:
            self.reports.pop(instance_id, None)

    def _add_instance(self, instance_id: str, report: InstanceReport) -> None:
        if not report.address:  # departure of an instance that the reporting node had no heartbeat of
            return
        host, port = split_address(report.address)
        now_ns = self.clock()
        self.instances[instance_id] = BackendInstance(
            instance_id,
            report.service,
            host,
            port,
            report.zone,
            report.capacity,
            "",  # differs from every state: the first merge sets the state and marks it as changed
            now_ns,
            now_ns + int(report.warmup_ms * NS_PER_MS) if report.warmup_ms else 0,
        )

    def _refresh(self, instance_id: str) -> None:
        instance = self.instances.get(instance_id)
        if instance is None:
            return
        state = self.merged_state(instance_id)
        if state == instance.state:
            return
        instance.state = state
        self.changed_ids.add(instance_id)
        if instance_id not in self.reports:
            del self.instances[instance_id]
            self.superseded.discard(instance_id)
