"""The control-plane program, which starts a node's servers and background tasks and shuts them down."""

from __future__ import annotations

import asyncio
import sqlite3

from meadowworks.controlplane.api import ApiRoutes
from meadowworks.controlplane.api_endpoint import ApiEndpoint
from meadowworks.controlplane.backends_resource import BackendsResource
from meadowworks.controlplane.cluster_view import ClusterView
from meadowworks.controlplane.config_resource import ConfigResource
from meadowworks.controlplane.leader_duties import INTERVAL_S as LEADER_DUTIES_INTERVAL_S
from meadowworks.controlplane.maintenance import INTERVAL_S, Maintenance
from meadowworks.controlplane.node import ControlPlaneNode
from meadowworks.controlplane.peer_endpoint import PeerEndpoint
from meadowworks.controlplane.pull_client import PullClient
from meadowworks.registry.backends import BackendDirectory
from meadowworks.runtime import logging as logs
from meadowworks.runtime.asgi import Send
from meadowworks.runtime.background_tasks import BackgroundTasks
from meadowworks.runtime.clock import NS_PER_SECOND
from meadowworks.runtime.errors import SettingsError
from meadowworks.runtime.http_server import HttpServer
from meadowworks.runtime.live_settings import LiveSettings
from meadowworks.runtime.node_settings import NodeSettings
from meadowworks.runtime.process import run_program
from meadowworks.runtime.server_connection import RequestLimits

DISCOVERY_INTERVAL_S = 0.25  # between checks for new peers to pull from
MAX_HEADER_BYTES = 65536
HEADER_TIMEOUT_S = 3.0  # clients send headers at once; a slower one only holds a connection
IDLE_TIMEOUT_S = 30.0  # longer than the intervals of heartbeats, pulls and consensus requests
HAND_OVER_SHARE = 0.5  # of the grace period; the rest is for pending requests
MAX_FINISH_S = 1.5  # upper limit for finishing pending requests
FINISH_SHARE = 0.5  # of the grace period, for finishing pending requests
FINISH_POLL_INTERVAL_S = 0.05
log = logs.get_logger("control-plane")


class ControlPlaneServer:
    """A control-plane node with its servers and background tasks.

    :param settings: the node's settings, which are reloaded on SIGHUP.
    :raises sqlite3.Error: the node's store can't be opened or read.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._live_settings = LiveSettings(settings)
        self.tasks = BackgroundTasks()
        self.node = ControlPlaneNode(self._live_settings, self.tasks)
        self.pull_client = PullClient(self.node)
        self.maintenance = Maintenance(self.node)
        self.peer_endpoint = PeerEndpoint(self.node, self._send_metrics)
        self.peer_server = HttpServer(
            self.peer_endpoint, request_limits(), incarnation=self.node.cluster.incarnation
        )
        self.api_endpoint = ApiEndpoint(self._api_routes(), self._live_settings, self._send_metrics)
        self.api_server = HttpServer(self.api_endpoint, request_limits())

    @property
    def settings(self) -> NodeSettings:
        """The current settings."""
        return self._live_settings.current

    @property
    def cluster(self) -> ClusterView:
        """The node's view of peers and backends."""
        return self.node.cluster

    @property
    def backends(self) -> BackendDirectory:
        """The backends reported by any node."""
        return self.node.cluster.backends

    def holds_lease(self) -> bool:
        """Whether the node holds a lease, and may serve the configuration."""
        return self.node.holds_lease()

    def reload_settings(self) -> None:
        """Reload the settings, for example after a change of the seeds."""
        self._live_settings.reload()

    async def serve(self, shutdown_requested: asyncio.Future[None]) -> None:
        """Run the node until a requested shutdown has completed.

        :raises OSError: an address can't be bound.
        :raises SettingsError: the first write to the store failed.
        :raises InvariantError: an invariant of the node's state is violated.
        """
        self._live_settings.reload_on_sighup()
        try:
            await self._start()
            await self.tasks.wait_for_shutdown(shutdown_requested)
            await self._shut_down()
        finally:
            self.close()

    def close(self) -> None:
        """Stop immediately, except for a pending write to the disk."""
        self.peer_server.close()
        self.api_server.close()
        self.tasks.close()
        self.node.close()

    async def _send_metrics(self, send: Send) -> None:
        from meadowworks.controlplane.metrics import ControlPlaneMetrics
        from meadowworks.runtime.metrics import send_metrics

        metrics = ControlPlaneMetrics(self.node, self.api_endpoint.reply_counter)
        await send_metrics(send, metrics.collect)

    def _api_routes(self) -> ApiRoutes:
        node = self.node
        backends = BackendsResource(
            node.heartbeats,
            node.drain_service,
            node.is_durable,
            node.api_addresses_in_zone_of,
            node.holds_lease,
        )
        return {
            **backends.routes(),
            **ConfigResource(node.config_service).routes(),
            **node.coordination.routes(),
        }

    async def _start(self) -> None:
        """Open the peer port, and the API port once the node's incarnation is on disk."""
        settings = self.settings
        await self.peer_server.listen(settings.ip, settings.peer_port)
        try:
            await self.node.config_service.start()
        except sqlite3.Error as error:
            raise data_dir_error(settings, error) from None
        host, port = settings.bind["ctl"]
        await self.api_server.listen(host, port)
        log.info(
            "control_plane_serving",
            name=settings.node,
            api=f"{host}:{port}",
            peers=f"{settings.ip}:{settings.peer_port}",
        )
        self.pull_client.start_missing()
        self.tasks.start(self.tasks.run_periodically(INTERVAL_S, self.maintenance.run))
        self.tasks.start(self.tasks.run_periodically(DISCOVERY_INTERVAL_S, self.pull_client.start_missing))
        run_duties = self.node.coordination.run_duties
        self.tasks.start(self.tasks.run_periodically(LEADER_DUTIES_INTERVAL_S, run_duties))

    async def _shut_down(self) -> None:
        grace_s = self.settings.bounds.grace_s
        deadline_s = asyncio.get_running_loop().time() + min(MAX_FINISH_S, grace_s * FINISH_SHARE)
        log.info("shutdown_started")
        self._refuse_new_requests()
        await self._hand_over(grace_s * HAND_OVER_SHARE)
        await self._finish_pending_requests(deadline_s)

    def _refuse_new_requests(self) -> None:
        """Give up the lease, and reply to waiting pulls so that proxies switch to another node."""
        self.node.shutting_down = True
        self.api_server.drain()
        self.node.coordination.shut_down()
        self.node.state_changed.notify_all()

    async def _hand_over(self, timeout_s: float) -> None:
        """Transfer the state that only this disk holds, while other nodes can still reach this one."""
        if await self.node.config_service.hand_over(int(timeout_s * NS_PER_SECOND)):
            log.info("hand_over_done")
        else:
            log.warning("hand_over_failed", timeout_s=timeout_s)
        self.peer_server.drain()
        self.node.state_changed.notify_all()

    async def _finish_pending_requests(self, deadline_s: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < deadline_s and (
            self.api_server.pending_count() or self.peer_server.pending_count()
        ):
            await asyncio.sleep(FINISH_POLL_INTERVAL_S)


def request_limits() -> RequestLimits:
    """Return the request limits of a server; each server needs its own instance."""
    return RequestLimits(MAX_HEADER_BYTES, HEADER_TIMEOUT_S, IDLE_TIMEOUT_S)


async def serve(settings: NodeSettings, shutdown_requested: asyncio.Future[None]) -> None:
    """Run a node until its shutdown is requested.

    :raises SettingsError: the data directory cannot be used.
    """
    try:
        server = ControlPlaneServer(settings)
    except (sqlite3.Error, OSError) as error:
        raise data_dir_error(settings, error) from None
    await server.serve(shutdown_requested)


def data_dir_error(settings: NodeSettings, error: Exception) -> SettingsError:
    """Return the error for a data directory that cannot be opened, read or written."""
    return SettingsError(f"the data directory {settings.data_dir} cannot be used: {error}")


def main() -> int:
    """Run the control-plane program.

    :returns: the exit code.
    """
    return run_program(serve)
