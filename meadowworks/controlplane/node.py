"""The state of a control-plane node, shared by its servers, its pulls and its maintenance."""

from __future__ import annotations

import tempfile

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.values import CommittedValue
from meadowworks.controlplane.async_store import AsyncStore
from meadowworks.controlplane.cluster_view import ClusterView
from meadowworks.controlplane.config_service import ConfigService, create_replica
from meadowworks.controlplane.coordination import Coordination
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
    """The services of a node, connected to each other and restored from its disk.

    :param live_settings: the node's settings; a node without a data directory uses a temporary one.
    :param tasks: runs the background tasks of the services.
    :raises sqlite3.Error: the store can't be opened or read.
    """

    def __init__(self, live_settings: LiveSettings, tasks: BackgroundTasks) -> None:
        self._live_settings = live_settings
        settings = live_settings.current
        self.tasks = tasks
        self.shutting_down = False
        self.state_changed = Notifier()  # wakes pulls that wait for updates
        self.peer_clients = PeerClientPool()
        self.cluster = ClusterView(settings, is_voter=settings.voting)
        self.cluster.updates.update_listeners.append(self._on_update)
        self.zone_loads = ZoneLoads(self.cluster.updates, now_ns())

        sqlite_store = SqliteStore(settings.data_dir or tempfile.mkdtemp(prefix="meadowworks-"))
        stored, stored_backends, stored_drains = (
            sqlite_store.load(),
            sqlite_store.load_backend_hints(),
            decode_rows(sqlite_store.load_drain_records()),
        )
        self.stored_backend_ids = set(stored_backends)
        self.store = AsyncStore(sqlite_store)
        self.config_service = ConfigService(
            create_replica(settings, stored), self.store, self.peer_clients, tasks, self._on_commit
        )
        self.coordination = Coordination(settings, self.config_service)

        self.drain_log = DrainLog(self.cluster.incarnation)
        self.cluster.updates.version_listeners.append(self.drain_log.on_version)
        self.drain_service = DrainService(self.drain_log, self.store, tasks.start)
        self.heartbeats = HeartbeatRegistry(
            self.cluster.updates.publish,
            settings.heartbeat_ms,
            self.drain_log.state,
            self.is_backend_reported,
        )
        now = now_ns()
        self.drain_log.restore(now, stored_drains)
        self.heartbeats.restore(now, stored_drains | decode_rows(stored_backends))

    @property
    def settings(self) -> NodeSettings:
        """The current settings."""
        return self._live_settings.current

    @property
    def acceptor(self) -> Acceptor:
        """The node's acceptor, with its promised, accepted and learnt state."""
        return self.config_service.replica.acceptor

    @property
    def committed(self) -> CommittedValue:
        """The newest configuration that this node has learnt to be committed."""
        return self.acceptor.committed

    def holds_lease(self) -> bool:
        """Whether a majority recently confirmed that this node has all acknowledged state."""
        return not self.shutting_down and self.config_service.replica.holds_lease(now_ns())

    def is_durable(self, update_version: int) -> bool:
        """Whether an update of this node survives the loss of the tolerated number of disks.

        Only members of the newest epoch count, since other voters may be removed at any time.
        """
        members = self.acceptor.newest_epoch().members
        hosts = {address.rpartition(":")[0] for _, address in members} - {self.settings.ip}
        return self.drain_log.is_replicated(
            update_version, hosts, self.settings.tolerated_failures, self.acceptor.may_vote()
        )

    def is_backend_reported(self, backend_id: str) -> bool:
        """Whether any node has reported a backend, according to this node's records."""
        return self.cluster.backends.is_reported(backend_id) or backend_id in self.drain_log.records

    def api_addresses_in_zone_of(self, backend_id: str) -> list[str]:
        """Return the API addresses of the nodes in a backend's zone, which all use the same port.

        Empty if the backend isn't registered here, or if this node is in the same zone.
        """
        registration = self.heartbeats.registrations.get(backend_id)
        if registration is None or registration.zone == self.settings.zone:
            return []
        voters = self.cluster.peers.voters(now_ns())
        port = self.settings.bind["ctl"][1]
        return [f"{peer.host}:{port}" for peer in voters if peer.zone == registration.zone]

    def close(self) -> None:
        """Close the connections to peers, and the store once pending writes are done."""
        self.config_service.close()
        self.peer_clients.close()
        self.coordination.close()
        self.store.close()

    def _on_update(self, update: KeyUpdate) -> None:
        self.drain_log.on_update(now_ns(), update)
        if update.key.startswith(BACKEND_KEY_PREFIX):
            self.state_changed.notify_all()

    def _on_commit(self, _committed: CommittedValue) -> None:
        self.state_changed.notify_all()
