"""The control plane's program: starts a node's servers and background work, and shuts them down in order."""

from __future__ import annotations

import asyncio
import sqlite3

from meadowworks.controlplane.api import ApiRoutes
from meadowworks.controlplane.api_endpoint import ApiEndpoint
from meadowworks.controlplane.backends_resource import BackendsResource
from meadowworks.controlplane.cluster_view import ClusterView
from meadowworks.controlplane.config_resource import ConfigResource
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

DISCOVERY_INTERVAL_S = 0.25  # until a peer that has become known is pulled from
MAX_HEADER_BYTES = 65536
HEADER_TIMEOUT_S = 3.0  # headers are sent at once: a client that takes longer only holds a connection
IDLE_TIMEOUT_S = 30.0  # longer than between heartbeats, pulls and consensus requests: these keep theirs
HAND_OVER_SHARE = 0.5  # of the grace period; the rest is left for calls under way
MAX_FINISH_S, FINISH_SHARE = 1.5, 0.5  # for calls under way: so long, or this share of the grace period
FINISH_POLL_INTERVAL_S = 0.05
log = logs.get_logger("control-plane")


class ControlPlaneServer:
    """One control-plane node as a program.

    :param settings: the node's settings; SIGHUP reads them again.
    :raises sqlite3.Error: the store of the node can't be opened.
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
        """The settings in force."""
        return self._live_settings.current

    @property
    def cluster(self) -> ClusterView:
        """What the node knows of peers and backends."""
        return self.node.cluster

    @property
    def backends(self) -> BackendDirectory:
        """The backends that any node reports."""
        return self.node.cluster.backends

    def holds_lease(self) -> bool:
        """Whether the node may answer for the control plane."""
        return self.node.holds_lease()

    def reload_settings(self) -> None:
        """Read the settings again, of which the seeds may have changed."""
        self._live_settings.reload()

    async def serve(self, shutdown_requested: asyncio.Future[None]) -> None:
        """Run the node until its shutdown is requested and done.

        :raises OSError: an address can't be listened on.
        :raises SettingsError: the store refuses the first write.
        :raises InvariantError: the node's state can't be trusted any more.
        """
        self._live_settings.reload_on_sighup()
        try:
            await self._start()
            await self.tasks.wait_for_shutdown(shutdown_requested)
            await self._shut_down()
        finally:
            self.close()

    def close(self) -> None:
        """Stop at once, but for a write to the disk that is under way."""
        self.peer_server.close()
        self.api_server.close()
        self.tasks.close()
        self.node.close()

    async def _send_metrics(self, send: Send) -> None:
        from meadowworks.controlplane.metrics import ControlPlaneMetrics
        from meadowworks.runtime.metrics import send_metrics

        await send_metrics(send, ControlPlaneMetrics(self.node).collect)

    def _api_routes(self) -> ApiRoutes:
        node = self.node
        backends = BackendsResource(
            node.heartbeats,
            node.drain_service,
            node.is_durable,
            node.api_addresses_in_zone_of,
            node.holds_lease,
        )
        return {**backends.routes(), **ConfigResource(node.config_service).routes()}

    async def _start(self) -> None:
        """Open the peer port first: the API opens once the node's incarnation is on the disk."""
        settings = self.settings
        await self.peer_server.listen(settings.ip, settings.peer_port)
        try:
            await self.node.config_service.start()
        except sqlite3.Error as error:
            raise unusable_disk(settings, error) from None
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

    async def _shut_down(self) -> None:
        grace_s = self.settings.bounds.grace_s
        deadline_s = asyncio.get_running_loop().time() + min(MAX_FINISH_S, grace_s * FINISH_SHARE)
        log.info("shutdown_started")
        self._refuse_new_work()
        await self._hand_over(grace_s * HAND_OVER_SHARE)
        await self._finish_calls(deadline_s)

    def _refuse_new_work(self) -> None:
        """Give up the lease, and answer waiting pulls so that proxies turn to another node."""
        self.node.shutting_down = True
        self.api_server.drain()
        self.node.state_changed.notify_all()

    async def _hand_over(self, timeout_s: float) -> None:
        """Hand over what only this disk holds, while the others still hear of it."""
        if await self.node.config_service.hand_over(int(timeout_s * NS_PER_SECOND)):
            log.info("hand_over_done")
        else:
            log.warning("hand_over_failed", timeout_s=timeout_s)
        self.peer_server.drain()
        self.node.state_changed.notify_all()

    async def _finish_calls(self, deadline_s: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < deadline_s and (
            self.api_server.pending_count() or self.peer_server.pending_count()
        ):
            await asyncio.sleep(FINISH_POLL_INTERVAL_S)


def request_limits() -> RequestLimits:
    """Return the limits of a server's requests; each server has its own."""
    return RequestLimits(MAX_HEADER_BYTES, HEADER_TIMEOUT_S, IDLE_TIMEOUT_S)


async def serve(settings: NodeSettings, shutdown_requested: asyncio.Future[None]) -> None:
    """Run one node until its shutdown is requested.

    :raises SettingsError: the data directory cannot be used.
    """
    try:
        server = ControlPlaneServer(settings)
    except (sqlite3.Error, OSError) as error:
        raise unusable_disk(settings, error) from None
    await server.serve(shutdown_requested)


def unusable_disk(settings: NodeSettings, error: Exception) -> SettingsError:
    """What an operator is told of a data directory that cannot be opened, read or written."""
    return SettingsError(f"the data directory {settings.data_dir} cannot be used: {error}")


def main() -> int:
    """Run the program.

    :returns: the exit code.
    """
    return run_program(serve)
