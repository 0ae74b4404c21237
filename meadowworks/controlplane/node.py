"""The state of one control-plane node: what its servers, its pulls and its maintenance share."""

from __future__ import annotations

import tempfile

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.values import CommittedValue
from meadowworks.controlplane.async_store import AsyncStore
from meadowworks.controlplane.cluster_view import ClusterView
from meadowworks.controlplane.config_service import ConfigService, create_replica
from meadowworks.controlplane.drain_service import DrainService, decode_rows
from meadowworks.controlplane.notifier import Notifier
from meadowworks.controlplane.zone_loads import ZoneLoads
from meadowworks.gossip.updates import KeyUpdate
from meadowworks.registry.backend_state import BACKEND_KEY_PREFIX
from meadowworks.registry.drain_log import DrainLog
from meadowworks.registry.heartbeats import HeartbeatRegistry
from meadowworks.runtime.background_tasks import BackgroundTasks
from meadowworks.runtime.clock import now_ns
from meadowworks.runtime.live_settings import LiveSettings
from meadowworks.runtime.node_settings import NodeSettings
from meadowworks.runtime.peer_client import PeerClientPool
from meadowworks.storage.sqlite_store import SqliteStore


class ControlPlaneNode:
    """The services of a node, wired together and restored from its disk.

    :param live_settings: the node's settings; a node without a data directory stores into a temporary one.
    :param tasks: run what the services do in the background.
    :raises sqlite3.Error: the store can't be opened or read.
    """

    def __init__(self, live_settings: LiveSettings, tasks: BackgroundTasks) -> None:
        self._live_settings = live_settings
        settings = live_settings.current
        self.tasks = tasks
        self.shutting_down = False
        self.state_changed = Notifier()  # wakes the pulls that wait for updates
        self.peer_clients = PeerClientPool()
        self.cluster = ClusterView(settings, is_voter=settings.voting)
        self.cluster.updates.update_listeners.append(self._on_update)
        self.zone_loads = ZoneLoads(self.cluster.updates, now_ns())

        disk = SqliteStore(settings.data_dir or tempfile.mkdtemp(prefix="meadowworks-"))
        stored, stored_backends, stored_drains = (
            disk.load(),
            disk.load_backend_hints(),
            decode_rows(disk.load_drain_records()),
        )
        self.stored_backend_ids = set(stored_backends)
        self.store = AsyncStore(disk)
        self.config_service = ConfigService(
            create_replica(settings, stored), self.store, self.peer_clients, tasks, self._on_commit
        )

        self.drain_log = DrainLog(self.cluster.incarnation)
        self.cluster.updates.version_listeners.append(self.drain_log.on_version)
        self.drain_service = DrainService(self.drain_log, self.store, tasks.start)
        self.heartbeats = HeartbeatRegistry(
            self.cluster.updates.publish, settings.heartbeat_ms, self.drain_log.state, self.knows_backend
        )
        now = now_ns()
        self.drain_log.restore(now, stored_drains)
        self.heartbeats.restore(now, stored_drains | decode_rows(stored_backends))

    @property
    def settings(self) -> NodeSettings:
        """The settings in force."""
        return self._live_settings.current

    @property
    def acceptor(self) -> Acceptor:
        """What this node has promised, accepted and learnt as a member."""
        return self.config_service.replica.acceptor

    @property
    def committed(self) -> CommittedValue:
        """The newest configuration that this node knows as committed."""
        return self.acceptor.committed

    def holds_lease(self) -> bool:
        """Whether a majority has confirmed recently that this node knows everything acknowledged."""
        return not self.shutting_down and self.config_service.replica.holds_lease(now_ns())

    def is_durable(self, update_version: int) -> bool:
        """Whether an own update outlives the loss of the tolerated number of disks.

        Only members of the epoch count: any other voter may be gone for good tomorrow.
        """
        members = self.acceptor.newest_epoch().members
        hosts = {address.rpartition(":")[0] for _, address in members} - {self.settings.ip}
        return self.drain_log.is_replicated(
            update_version, hosts, self.settings.tolerated_failures, self.acceptor.may_vote()
        )

    def knows_backend(self, backend_id: str) -> bool:
        """Whether any node has ever reported a backend."""
        return self.cluster.backends.is_reported(backend_id) or backend_id in self.drain_log.records

    def api_addresses_in_zone_of(self, backend_id: str) -> list[str]:
        """Return API addresses of nodes in a backend's zone; none if that is this node's own zone.

        The API's port is alike on all nodes.
        """
        registration = self.heartbeats.registrations.get(backend_id)
        if registration is None or registration.zone == self.settings.zone:
            return []
        voters = self.cluster.peers.voters(now_ns())
        port = self.settings.bind["ctl"][1]
        return [f"{peer.host}:{port}" for peer in voters if peer.zone == registration.zone]

    def close(self) -> None:
        """Close the connections to peers, and the store once the writes under way are done."""
        self.config_service.close()
        self.peer_clients.close()
        self.store.close()

    def _on_update(self, update: KeyUpdate) -> None:
        self.drain_log.on_update(now_ns(), update)
        if update.key.startswith(BACKEND_KEY_PREFIX):
            self.state_changed.notify_all()

    def _on_commit(self, _committed: CommittedValue) -> None:
        self.state_changed.notify_all()
