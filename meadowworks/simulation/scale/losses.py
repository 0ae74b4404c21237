"""Losses of machines, zones and links, and the times until proxies detect them."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from meadowworks.simulation.event_scheduler import SECOND
from meadowworks.simulation.scale.churn import Churn
from meadowworks.simulation.scale.deployment import AnyProxyHost, Deployment
from meadowworks.simulation.scale.pulls import Pulls
from meadowworks.simulation.scale.quantiles import summarize
from meadowworks.simulation.scale.scheduler import SimulatedNode
from meadowworks.simulation.scale.settings import Loss

MACHINES_PER_RACK = 40  # all in one zone; proxies and backends in the proportion of their numbers
DETECTION_INTERVAL_NS = SECOND // 20


@dataclass(frozen=True, slots=True)
class LastZone:
    """The zone that losses affect, with its proxies and the instances of its backends."""

    name: str
    proxies: list[AnyProxyHost]
    instances: list[str]


class Losses:
    """Injects the loss of the settings into a deployment, and records when each proxy detects it.

    `detected_s` maps a proxy's name to the seconds until it detected the loss of backends, or, depending on
    the loss, until a pull was answered or a configuration was applied again.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._scheduler = deployment.scheduler
        self.detected_s: dict[str, float] = {}
        self._restarted: set[str] = set()  # names of proxies
        self._without_control_plane: set[str] = set()  # names of proxies

    def inject(self, loss: Loss, pulls: Pulls, churn: Churn) -> None:
        """Inject a loss now, and check periodically which proxies have detected it."""
        self._deployment.failed.lost_ns = self._deployment.now
        zone = self._last_zone()
        match loss:
            case Loss.BACKEND:
                self._end_backends(zone.instances[:1])
            case Loss.PROXY:
                self._restart(zone.proxies[:1], churn)
            case Loss.CONTROL_PLANE:
                self._lose_control_plane(pulls)
            case Loss.RACK:
                self._lose_rack(zone)
            case Loss.ZONE:
                self._lose_zone(zone)
            case Loss.REGION:
                self._isolate_region(pulls)
            case Loss.RESTART:
                self._restart(zone.proxies, churn)
        self._detect()

    def on_answered(self, node: SimulatedNode) -> None:
        """Record that a proxy's pull was answered."""
        if node.name in self._without_control_plane:
            self._detected(node)

    def on_applied(self, node: SimulatedNode) -> None:
        """Record that a proxy has applied a configuration."""
        if node.name in self._restarted:
            self._detected(node)

    def _detected(self, node: SimulatedNode) -> None:
        elapsed_ns = self._deployment.now - self._deployment.failed.lost_ns
        self.detected_s.setdefault(node.name, elapsed_ns / SECOND)

    def _last_zone(self) -> LastZone:
        name = self._deployment.topology.zones[-1]
        proxies = [host for host in self._deployment.all_proxies() if host.node.zone == name]
        backends = self._deployment.backends.items()
        return LastZone(name, proxies, [instance for instance, backend in backends if backend.zone == name])

    # -- kinds of loss

    def _end_backends(self, instances: Sequence[str]) -> None:
        """Stop backends without a drain or a departure message."""
        for instance in instances:
            control_plane = self._deployment.control_plane_of(instance).node.name
            self._deployment.failed.backends[instance] = control_plane
            zone = self._deployment.backends[instance].zone
            self._deployment.instances_of_zone[zone].remove(instance)

    def _restart(self, proxies: Sequence[AnyProxyHost], churn: Churn) -> None:
        for host in proxies:
            churn.restart_proxy(host)
        self._restarted = {host.node.name for host in proxies}

    def _lose_control_plane(self, pulls: Pulls) -> None:
        lost = self._deployment.control_planes[-1]
        proxies = self._deployment.all_proxies()
        self._without_control_plane = {
            host.node.name for host in proxies if pulls.control_plane_for(host) is lost
        }
        self._scheduler.powered_off.add(lost.node.name)

    def _lose_rack(self, zone: LastZone) -> None:
        machines = max(1, len(zone.proxies) + len(zone.instances))
        proxies_lost = MACHINES_PER_RACK * len(zone.proxies) // machines
        self._power_off(zone.proxies[::-1][:proxies_lost])
        self._end_backends(zone.instances[: MACHINES_PER_RACK - proxies_lost])

    def _lose_zone(self, zone: LastZone) -> None:
        self._power_off(zone.proxies)
        for host in self._deployment.control_planes:
            if host.node.zone == zone.name:
                self._scheduler.powered_off.add(host.node.name)
        self._end_backends(zone.instances)

    def _power_off(self, proxies: Sequence[AnyProxyHost]) -> None:
        self._scheduler.powered_off.update(host.node.name for host in proxies)

    def _isolate_region(self, pulls: Pulls) -> None:
        """Isolate the last region from the others for half the run."""
        topology = self._deployment.topology
        topology.isolated_regions.add(topology.region_of(topology.zones[-1]))
        self._without_control_plane = {
            host.node.name
            for host in self._deployment.all_proxies()
            if not topology.is_reachable(host.node.zone, pulls.control_plane_for(host).node.zone)
        }
        half_ns = int(self._deployment.settings.seconds * SECOND / 2)
        self._scheduler.call_later(half_ns, topology.isolated_regions.clear)

    # -- detection

    def _detect(self) -> None:
        """Record which proxies have detected the loss of all lost backends, and schedule the next check."""
        failed = self._deployment.failed.backends
        for host in self._deployment.proxies:
            name = host.node.name
            if not failed or name in self._scheduler.powered_off or name in self.detected_s:
                continue
            states = (host.program.backends.instances.get(instance) for instance in failed)
            if all(state is None or state.state != "up" for state in states):
                self._detected(host.node)
        self._scheduler.call_later(DETECTION_INTERVAL_NS, self._detect)

    def result(self, until_ns: int) -> dict[str, Any]:
        """Return the JSON object of the loss, empty if the settings have none."""
        kind, failed = self._deployment.settings.loss, self._deployment.failed
        if not kind:
            return {}
        return {
            "kind": kind,
            "controllers lost": len(self._scheduler.powered_off),
            "backends lost": len(failed.backends),
            "junctions concerned": len(self._without_control_plane | self._restarted),
            "lives that beat elsewhere": len(self._deployment.failover_targets),
            "followed for_s": (until_ns - failed.lost_ns) / SECOND,
            "known_s": summarize(list(self.detected_s.values())),
        }
