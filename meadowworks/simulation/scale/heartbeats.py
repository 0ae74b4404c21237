"""The heartbeats of backends in simulated time."""

from __future__ import annotations

from functools import partial

from meadowworks.simulation.event_scheduler import MS, SECOND
from meadowworks.simulation.scale.deployment import HEARTBEAT_MS, Deployment
from meadowworks.simulation.scale.topology import IN_ZONE_NS

HEARTBEAT_TIMEOUT_NS = SECOND  # after which a backend calls another control plane
UP, DRAINING = "up", "draining"  # states in heartbeats


class Heartbeats:
    """Sends the heartbeats of all backends, and records how long the acknowledgement of each drain took."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._scheduler = deployment.scheduler
        self.drain_latencies_ns: list[int] = []

    def start(self, instance: str) -> None:
        """Start a backend's heartbeats, at a random time within the interval."""
        offset_ns = self._deployment.random_offset_ns(HEARTBEAT_MS / 1000)
        self._scheduler.call_later(offset_ns, partial(self.send, instance))

    def send(self, instance: str, state: str = UP, is_retry: bool = False) -> None:
        """Send a heartbeat; if the backend is up, schedule the next one after the interval."""
        deployment, scheduler = self._deployment, self._scheduler
        if instance not in deployment.backends or instance in deployment.failed.backends:
            return
        host = deployment.control_plane_of(instance)
        if state == UP and not is_retry:
            scheduler.call_later(HEARTBEAT_MS * MS, partial(self.send, instance))
        zone = deployment.backends[instance].zone
        if not self._can_reach(host.node.name, host.node.zone, zone):
            self._retry_elsewhere(instance, zone, state)
            return
        body, sent_ns = deployment.heartbeat_body(instance, state), deployment.now

        def on_acknowledged() -> None:
            if state != UP:
                scheduler.call_after_work(0, record_latency)

        def record_latency() -> None:
            self.drain_latencies_ns.append(deployment.now - sent_ns)

        arrival = partial(host.program.on_heartbeat, instance, body, on_acknowledged)
        scheduler.call_after_work(IN_ZONE_NS, partial(scheduler.enqueue, host.node, arrival))

    def _can_reach(self, name: str, zone: str, from_zone: str) -> bool:
        has_power = name not in self._scheduler.powered_off
        return has_power and self._deployment.topology.is_reachable(zone, from_zone)

    def _retry_elsewhere(self, instance: str, zone: str, state: str) -> None:
        """Choose another control plane, and send the heartbeat there after the time-out of this call."""
        reachable = [
            host
            for host in self._deployment.control_planes
            if self._can_reach(host.node.name, host.node.zone, zone)
        ]
        if reachable:
            self._deployment.failover_targets[instance] = self._deployment.random.choice(reachable)
            retry = partial(self.send, instance, state, is_retry=True)
            self._scheduler.call_later(HEARTBEAT_TIMEOUT_NS, retry)
