"""The parts of a control-plane node that serve locks, numbers, keys and watches, connected to each other."""

from __future__ import annotations

from typing import Any

from meadowworks.consensus.values import NO_TERM
from meadowworks.controlplane.api import ApiRoutes
from meadowworks.controlplane.cells_resource import CellsResource
from meadowworks.controlplane.config_service import ConfigService
from meadowworks.controlplane.coordination_service import CoordinationService
from meadowworks.controlplane.leader_client import LeaderClient
from meadowworks.controlplane.leader_duties import LeaderDuties
from meadowworks.controlplane.locks_resource import LocksResource
from meadowworks.controlplane.numbers_resource import NumbersResource
from meadowworks.controlplane.replicated_state import ReplicatedState
from meadowworks.controlplane.watch_resource import WatchResource
from meadowworks.controlplane.watch_service import WatchService
from meadowworks.coordination.history_retention import HistoryRetention
from meadowworks.runtime.clock import NS_PER_SECOND, now_ns
from meadowworks.runtime.node_settings import NodeSettings
from meadowworks.runtime.peer_client import PeerClientPool

MAX_IDLE_CONNECTIONS = 16  # per node; calls to the leader are concurrent


class Coordination:
    """The coordination services of one node.

    :param settings: the node's settings.
    :param config_service: the driver of the replica that owns the log.
    """

    def __init__(self, settings: NodeSettings, config_service: ConfigService) -> None:
        replica = config_service.replica
        self._peer_clients = PeerClientPool(MAX_IDLE_CONNECTIONS)
        self.replicated = ReplicatedState(replica, config_service.run_effects)
        history_s = settings.bounds.history_s
        retention = HistoryRetention(int(history_s * NS_PER_SECOND))
        self.service = CoordinationService(
            self.replicated,
            LeaderClient(self._peer_clients),
            f"{settings.ip}:{settings.peer_port}",
            lambda: [address for _, address in replica.acceptor.newest_epoch().members],
            retention,
        )
        self.watches = WatchService(self.replicated, self.service, history_s)
        self.duties = LeaderDuties(self.replicated, retention)
        config_service.log_listener = self.replicated

    def routes(self) -> ApiRoutes:
        """Return the handlers of the API by route."""
        return {
            **LocksResource(self.service).routes(),
            **NumbersResource(self.service).routes(),
            **CellsResource(self.service).routes(),
            **WatchResource(self.watches).routes(),
        }

    def status(self) -> dict[str, Any]:
        """Return the state of the log that is shown to operators, as JSON values.

        It has no fields before this node has learnt of the first leader.
        """
        replicated = self.replicated
        if replicated.leader_term == NO_TERM:
            return {}
        log_status = {
            "leader": replicated.replica.log_leader_address(),
            "is_leader": replicated.replica.is_log_leader(),
            "term": list(replicated.leader_term),
            "applied": replicated.applied_index,
        }
        return {"log": log_status}

    def run_duties(self) -> None:
        """Run one round of the periodic work."""
        self.service.stall_guard.run(now_ns())
        self.duties.run()

    def shut_down(self) -> None:
        """Refuse new calls of the API, and answer waiting watches."""
        self.service.shut_down()
        self.watches.shut_down()

    def close(self) -> None:
        """Close the idle connections to other nodes."""
        self._peer_clients.close()
