"""Losses of machines, zones and links, and how long it takes until they are known."""

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

MACHINES_PER_RACK = 40  # of one zone, proxies and backends by how many there are
DETECTION_INTERVAL_NS = SECOND // 20


@dataclass(frozen=True, slots=True)
class LastZone:
    """What is in the zone that losses strike: proxies, and backends by instance."""

    name: str
    proxies: list[AnyProxyHost]
    instances: list[str]


class Losses:
    """Takes from a deployment what its settings name, and notes when each proxy knows of it.

    `detected_s` is by the proxies' names: the seconds until they knew, or until their pulls were answered or
    a configuration was in force again.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._scheduler = deployment.scheduler
        self.detected_s: dict[str, float] = {}
        self._restarted: set[str] = set()  # names of proxies
        self._without_control_plane: set[str] = set()  # names of proxies

    def inject(self, loss: Loss, pulls: Pulls, churn: Churn) -> None:
        """Let a loss happen now, and look from now on who knows of it."""
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
        """Note that a proxy's pull was answered."""
        if node.name in self._without_control_plane:
            self._detected(node)

    def on_applied(self, node: SimulatedNode) -> None:
        """Note that a configuration has come into force at a proxy."""
        if node.name in self._restarted:
            self._detected(node)

    def _detected(self, node: SimulatedNode) -> None:
        elapsed_ns = self._deployment.now - self._deployment.failed.lost_ns
        self.detected_s.setdefault(node.name, elapsed_ns / SECOND)

    def _last_zone(self) -> LastZone:
        name = self._deployment.topology.zones[-1]
        proxies = [host for host in self._deployment.all_proxies() if host.node.zone == name]
        backends = self._deployment.backends.items()
        return LastZone(name, proxies, [instance for instance, one in backends if one.zone == name])

    # -- kinds of loss

    def _end_backends(self, instances: Sequence[str]) -> None:
        """End backends without a word."""
        for instance in instances:
            calls = self._deployment.control_plane_of(instance).node.name
            self._deployment.failed.backends[instance] = calls
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
        """Cut the last region off for half the run."""
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
        """Note which of the whole proxies know that all lost backends are gone, and look again."""
        failed = self._deployment.failed.backends
        for host in self._deployment.proxies:
            name = host.node.name
            if not failed or name in self._scheduler.powered_off or name in self.detected_s:
                continue
            known = (host.program.backends.instances.get(instance) for instance in failed)
            if all(one is None or one.state != "up" for one in known):
                self._detected(host.node)
        self._scheduler.call_later(DETECTION_INTERVAL_NS, self._detect)

    def result(self, until_ns: int) -> dict[str, Any]:
        """Return the JSON object of the loss, empty if there was to be none."""
        kind, failed = self._deployment.settings.loss, self._deployment.failed
        if not kind:
            return {}
        return {
            "kind": kind,
            "controllers lost": len(self._scheduler.powered_off),
            "backends lost": len(failed.backends),
            "junctions concerned": len(self._without_control_plane | self._restarted),
            "lives that beat elsewhere": len(self._deployment.rehomed),
            "followed for_s": (until_ns - failed.lost_ns) / SECOND,
            "known_s": summarize(list(self.detected_s.values())),
        }
