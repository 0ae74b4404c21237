"""A proxy's copy of the control plane's state: the active configuration and the backends.

`ControlPlaneClient` applies the configurations and updates that it receives; this module does no I/O.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from meadowworks.config.route_table import RouteTable
from meadowworks.forwarding.connection_pool import ConnectionPool
from meadowworks.forwarding.staleness import StalenessTracker
from meadowworks.gossip.updates import UpdateStore
from meadowworks.load_balancing.service_balancer import ServiceBalancer
from meadowworks.registry.backend_state import DRAINING
from meadowworks.registry.backends import BackendDirectory
from meadowworks.runtime import logging as logs
from meadowworks.runtime.clock import now_ns
from meadowworks.runtime.http_connection import ClientConnection
from meadowworks.runtime.live_settings import LiveSettings

MS, SECOND = 1_000_000, 1_000_000_000
# How long a starting proxy waits for a lease holder, and then again for a backend of each service.
# The platform polls readyz again within this time.
STARTUP_GRACE_NS = 3 * SECOND
# Latency target of a service that no route refers to.
DEFAULT_TARGET_MS = 1000.0
log = logs.get_logger("proxy")


class ControlPlaneView:
    """The active configuration, the backends, and the balancer of each service.

    :param incarnation: the id of this process, the source of any updates it would publish
    """

    def __init__(
        self, settings: LiveSettings, incarnation: str, pool: ConnectionPool[ClientConnection]
    ) -> None:
        self._settings = settings
        self._pool = pool
        self._random = random.Random()
        self.gossip = UpdateStore(incarnation)
        self.backends = BackendDirectory(lambda name: self.gossip.silence_ns(now_ns(), name), now_ns)
        self.gossip.update_listeners.append(self.backends.on_update)
        self.staleness = StalenessTracker()
        self.route_table: RouteTable | None = None
        self.route_table_listeners: list[Callable[[RouteTable], None]] = []
        self.balancers: dict[str, ServiceBalancer] = {}  # by service
        self.started_ns = now_ns()
        self.initial_sync_ns = 0  # when the first list of backends was accepted; 0 before

    @property
    def config_version(self) -> int:
        """The version of the active configuration; 0 if there is none."""
        return self.route_table.version if self.route_table else 0

    def apply_route_table(self, table: RouteTable) -> None:
        """Activate a configuration for all new requests, unless it is not newer than the active one."""
        if self.route_table is not None and table.version <= self.route_table.version:
            return
        self.route_table = table
        for listener in self.route_table_listeners:
            listener(table)
        for name in table.max_connections:
            target_ns = int(table.latency_targets_ms.get(name, DEFAULT_TARGET_MS) * MS) or SECOND
            self._set_latency_target(name, target_ns)
        log.info("config_in_force", version=f"{table.version:08x}")
        self.backends.changed_ids |= set(self.backends.instances)
        self.refresh_endpoints()

    def _set_latency_target(self, service: str, target_ns: int) -> None:
        if service in self.balancers:
            self.balancers[service].set_latency_target(target_ns)
            return
        settings = self._settings.current
        self.balancers[service] = ServiceBalancer(
            service, settings.zones, settings.zone, target_ns, self._random.getrandbits(32), now_ns()
        )

    def refresh_endpoints(self) -> None:
        """Pass changed backends on to the balancers of their services."""
        if not self.backends.changed_ids:
            return
        for instance_id in self.backends.changed_ids:
            instance = self.backends.instances.get(instance_id)
            if instance is not None and instance.state == DRAINING:
                log.info("backend_draining", backend=instance_id)
        self.backends.changed_ids.clear()
        by_service, now = self.backends.instances_by_service(), now_ns()
        for name, balancer in self.balancers.items():
            balancer.update_backends(now, by_service.get(name, []))
        self.evict_connections(now)

    def mark_superseded(self, instance_id: str) -> None:
        """Remove a backend because another instance answered at its address."""
        log.info("backend_superseded", backend=instance_id)
        self.backends.mark_superseded(instance_id)
        self.refresh_endpoints()

    def evict_connections(self, now: int) -> None:
        """Close expired idle connections and those to backends that are gone."""
        self._pool.evict(now, set(self.backends.instances))

    def on_reply(self, sent_ns: int, has_lease: bool, now: int) -> None:
        """Record a reply of a control-plane node.

        :param sent_ns: when the request was sent
        :param has_lease: whether the node holds a lease, so that its state is the newest
        :param now: when the reply was applied
        """
        self.staleness.on_reply(sent_ns, has_lease)
        self.check_initial_sync(now)

    def check_initial_sync(self, now: int) -> None:
        """Accept the current list of backends once a lease holder replied, or after `STARTUP_GRACE_NS`."""
        waited_long = now - self.started_ns > STARTUP_GRACE_NS
        if not self.initial_sync_ns and (self.staleness.has_been_confirmed or waited_long):
            self.initial_sync_ns = now

    def is_ready(self, now: int) -> bool:
        """Return whether requests can be served: there is a configuration, and a backend for each service.

        Services without a backend delay readiness by at most `STARTUP_GRACE_NS` after the initial sync.
        """
        if self.route_table is None or not self.initial_sync_ns:
            return False
        has_backends = all(self.balancers[name].weights for name in self.route_table.latency_targets_ms)
        return has_backends or now - self.initial_sync_ns > STARTUP_GRACE_NS

    def expire(self, now: int) -> None:
        """Remove the updates of silent sources. Must be called every second."""
        self.gossip.expire_sources(now)
        self.backends.refresh_all()
        self.refresh_endpoints()
        self.check_initial_sync(now)
