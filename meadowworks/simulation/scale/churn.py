"""Planned replacement of backends and restarts of proxies."""

from __future__ import annotations

from dataclasses import replace
from functools import partial

from meadowworks.simulation.event_scheduler import SECOND
from meadowworks.simulation.scale.control_plane import peer_record
from meadowworks.simulation.scale.deployment import AnyProxyHost, Deployment, ProxyHost
from meadowworks.simulation.scale.heartbeats import DRAINING, Heartbeats
from meadowworks.simulation.scale.proxy import SimulatedProxy
from meadowworks.simulation.scale.pulls import Pulls

DRAIN_BEFORE_LEAVE_NS = 2 * SECOND


class Churn:
    """Replaces backends and restarts proxies at random."""

    def __init__(self, deployment: Deployment, pulls: Pulls, heartbeats: Heartbeats) -> None:
        self._deployment = deployment
        self._scheduler = deployment.scheduler
        self._pulls, self._heartbeats = pulls, heartbeats

    def replace_random_instance(self, interval_ns: int) -> None:
        """Replace a random backend or restart a random proxy, and schedule the next after the interval."""
        deployment = self._deployment
        self._scheduler.call_later(interval_ns, partial(self.replace_random_instance, interval_ns))
        proxies = deployment.all_proxies()
        if deployment.random.random() * (len(deployment.backends) + len(proxies)) < len(proxies):
            self.restart_proxy(proxies[deployment.random.randrange(len(proxies))])
        else:
            self._replace_backend()

    def _replace_backend(self) -> None:
        """Drain a random backend, which leaves later, and start another one at its address."""
        deployment = self._deployment
        not_draining = [name for names in deployment.instances_of_zone.values() for name in names]
        instance = deployment.random.choice(not_draining)
        backend = deployment.backends[instance]
        self._heartbeats.send(instance, DRAINING)
        deployment.instances_of_zone[backend.zone].remove(instance)
        self._heartbeats.send(deployment.add_backend(replace(backend, heartbeats=0)))
        self._scheduler.call_later(DRAIN_BEFORE_LEAVE_NS, partial(self._leave, instance))

    def _leave(self, instance: str) -> None:
        host = self._deployment.control_plane_of(instance)
        del self._deployment.backends[instance]
        self._scheduler.enqueue(host.node, partial(host.program.on_leave, instance, lambda: None))

    def restart_proxy(self, host: AnyProxyHost) -> None:
        """Start a new incarnation of a proxy, which has no state."""
        node = host.node
        node.incarnation += 1
        if isinstance(host, ProxyHost):
            address = host.program.peers.local.host
            record = peer_record(node.name, address, node.zone, False, node.incarnation)
            zones = self._deployment.topology.zones
            host.program = SimulatedProxy(record, zones, self._deployment.clock, node.meter)
            self._pulls.start_proxy(host)
        else:
            address = host.program.record.host
            host.program.restart(peer_record(node.name, address, node.zone, False, node.incarnation))
            self._pulls.pull_of_stub(host)
