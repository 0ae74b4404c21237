"""The directory of backend instances, merged from what all control-plane nodes publish.

Every node and proxy merges its own. An instance that any node reports as draining or gone is so for good. It
is suspect only if every node that is alive and knows it says so: a backend may call any node, and change to
another.
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

# A source that has published nothing for this long has no say on who is alive. Nodes publish each second.
SOURCE_TIMEOUT_NS = 8_000_000_000
NS_PER_MS = 1e6


@dataclass(slots=True)
class InstanceReport:
    """What one control-plane node says of an instance."""

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
        """Converts a published value, by place as in ``BackendValue``.

        :raises TypeError, ValueError: if it is malformed.
        """
        value = BackendValue._make(raw)
        if value.state not in STATE_RANK:
            raise ValueError("unknown state")
        if value.address:
            split_address(str(value.address))
        warmup_ms = float(value.warmup_ms)
        if not 0 <= warmup_ms < math.inf:
            raise ValueError("no time to warm up")
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
    """An instance by all reports together.

    :ivar state: up, draining, gone or suspect.
    :ivar first_seen_ns: when this process first learnt of it.
    :ivar warm_at_ns: when its slow start ends, by this process's clock; 0 if it was warm when first seen.
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
        """Whether a request may go there; a suspect instance may well be alive."""
        return self.state not in (DRAINING, GONE)


def split_address(address: str) -> tuple[str, int]:
    """The host and the port of an address.

    :raises ValueError: if it has no port.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


class BackendDirectory:
    """The instances that this process knows.

    :ivar source_silence_ns: returns for how long a source has published nothing.
    :ivar clock: returns the time in nanoseconds.
    :ivar reports: by instance id, then by source.
    :ivar instances: by id; one without an address is not among them.
    :ivar superseded: ids of instances at whose address another has answered.
    :ivar changed_ids: instances whose state has changed since the caller last cleared this.
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
        """Merges an update; one that is of no instance, or malformed, changes no instance."""
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
        """Takes an instance as gone: another one has answered at its address."""
        self.superseded.add(instance_id)
        self._refresh(instance_id)

    def refresh_all(self) -> None:
        """Merges anew: sources fall silent without an update."""
        for instance_id in list(self.instances):
            self._refresh(instance_id)

    def merged_state(self, instance_id: str) -> str:
        """Returns the state of an instance by all reports together."""
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
            # Guards against a partition: where no source is received, silence says nothing of the backends.
            return UP
        return SUSPECT if all(report.is_suspect for report in alive) else UP

    def is_reported(self, instance_id: str) -> bool:
        """Returns whether any source reports an instance."""
        return instance_id in self.reports

    def is_draining_or_gone(self, instance_id: str) -> bool:
        """Returns whether any source reports an instance as draining or gone."""
        return any(STATE_RANK[report.state] for report in self.reports.get(instance_id, {}).values())

    def instances_by_service(self) -> dict[str, list[BackendInstance]]:
        """Returns the instances of each service, without those that are gone."""
        services: dict[str, list[BackendInstance]] = {}
        for instance in self.instances.values():
            if instance.state != GONE:
                services.setdefault(instance.service, []).append(instance)
        return services

    def summary(self) -> dict[str, list[str]]:
        """Returns service, address, zone and state of each instance, as the programs' status shows them."""
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
        if not report.address:  # the departure of an instance that was unknown to its node
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
            "",  # no state yet: the first merge sets it, and counts as a change
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
