"""The proxy process: its parts and their lifecycle, from startup to graceful shutdown."""

from __future__ import annotations

import asyncio
from uuid import uuid4

from meadowworks.config.route_table import RouteTable
from meadowworks.forwarding.connection_pool import ConnectionPool
from meadowworks.forwarding.memory_budget import MemoryBudget
from meadowworks.proxy.control_plane_client import ControlPlaneClient
from meadowworks.proxy.control_plane_view import ControlPlaneView
from meadowworks.proxy.counters import ProxyCounters
from meadowworks.proxy.endpoint_selector import EndpointSelector
from meadowworks.proxy.forwarder import Forwarder
from meadowworks.proxy.internal_api import InternalApi
from meadowworks.proxy.load_reporting import LoadReporter
from meadowworks.proxy.request_handler import RequestHandler
from meadowworks.proxy.timers import Timers
from meadowworks.registry.backends import BackendDirectory
from meadowworks.runtime import logging as logs
from meadowworks.runtime.asgi import Send
from meadowworks.runtime.background_tasks import BackgroundTasks
from meadowworks.runtime.clock import now_ns
from meadowworks.runtime.http_connection import ClientConnection
from meadowworks.runtime.http_server import HttpServer
from meadowworks.runtime.live_settings import LiveSettings
from meadowworks.runtime.node_settings import NodeSettings
from meadowworks.runtime.process import run_program

# Fraction of the configured memory that request and response bodies may take; the rest is for the process.
BODY_MEMORY_SHARE = 0.4
# Fraction of the file descriptors for clients; the rest is for backends and the control plane.
CLIENT_FD_SHARE = 0.6
# How long connections are accepted after readyz fails: two polls of the platform, a second apart.
READINESS_DRAIN_S = 2.3
# The last connections are closed this long before the platform's grace period ends.
SHUTDOWN_MARGIN_S = 0.3
SHUTDOWN_POLL_S = 0.02
log = logs.get_logger("proxy")


class ProxyServer:
    """One proxy; must be created within a running event loop."""

    def __init__(self, settings: NodeSettings) -> None:
        self.incarnation = f"{settings.node}.{uuid4().hex[:8]}"
        self.shutting_down = False
        self.tasks = BackgroundTasks()
        self.counters = ProxyCounters()
        self.memory_budget = MemoryBudget(int(settings.memory_mb * 1e6 * BODY_MEMORY_SHARE))
        self.connection_pool: ConnectionPool[ClientConnection] = ConnectionPool()
        self._settings = LiveSettings(settings)
        self.view = ControlPlaneView(self._settings, self.incarnation, self.connection_pool)
        self.view.route_table_listeners.append(self._apply_limits)
        reporter = LoadReporter(self._settings, self.view, self.connection_pool)
        self.control_plane = ControlPlaneClient(self._settings, self.incarnation, self.view, reporter)
        selector = EndpointSelector(self._settings, self.view, self.connection_pool)
        forwarder = Forwarder(
            self._settings,
            self.view,
            self.connection_pool,
            selector,
            reporter,
            self.counters,
            self.tasks,
        )
        handler = RequestHandler(self.view, forwarder, self.memory_budget, self.counters)
        self.http_server = HttpServer(handler.handle, max_connections=int(settings.max_fds * CLIENT_FD_SHARE))
        self._forwarder = forwarder
        self.internal_api = InternalApi(
            self._settings, self.view, forwarder, self.counters, self.is_ready, self._send_metrics
        )
        self.readiness_server = HttpServer(self.internal_api.handle_readiness)
        self.internal_server = HttpServer(self.internal_api.handle, incarnation=self.incarnation)
        self._timers = Timers(
            self.view,
            self.control_plane,
            reporter,
            forwarder,
            self.counters,
            self.http_server.pending_count,
        )

    @property
    def settings(self) -> NodeSettings:
        """The current settings."""
        return self._settings.current

    @property
    def backends(self) -> BackendDirectory:
        """The directory of known backends."""
        return self.view.backends

    def is_ready(self) -> bool:
        """Return whether the platform may route clients to this proxy."""
        return not self.shutting_down and self.view.is_ready(now_ns())

    def reload_settings(self) -> None:
        """Reload the settings file."""
        self._settings.reload()

    async def serve(self, shutdown_requested: asyncio.Future[None]) -> None:
        """Serve until the future is done, then shut down gracefully.

        :raises OSError: an address cannot be bound
        :raises InvariantError: a background task found an inconsistent state
        """
        self._settings.reload_on_sighup()
        await self._listen()
        log.info("proxy_serving", name=self.settings.node)
        self.tasks.start(self.control_plane.pull_forever())
        self._timers.start(self.tasks)
        await asyncio.wait([shutdown_requested, self.tasks.fatal_error], return_when=asyncio.FIRST_COMPLETED)
        if self.tasks.fatal_error.done():
            self.tasks.fatal_error.result()
        await self.shut_down()

    async def shut_down(self) -> None:
        """Shut down gracefully, within the platform's grace period.

        The proxy first reports that it is not ready and still accepts connections. It then closes idle ones,
        accepts no more, and waits until no request is pending or the grace period is over.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        grace_s = self.settings.bounds.grace_s
        self.shutting_down = True
        log.info(
            "shutdown_started",
            pending=self.http_server.pending_count(),
            counts=dict(self.counters.responses),
        )
        self.http_server.drain()
        await asyncio.sleep(min(READINESS_DRAIN_S, grace_s / 2))
        self.http_server.shutdown()
        while self.http_server.pending_count() and loop.time() - started_s < grace_s - SHUTDOWN_MARGIN_S:
            await asyncio.sleep(SHUTDOWN_POLL_S)
        self.http_server.close()
        await asyncio.sleep(SHUTDOWN_POLL_S)  # lets the last responses leave

    async def _send_metrics(self, send: Send) -> None:
        from meadowworks.proxy.metrics import ProxyMetrics
        from meadowworks.runtime.metrics import send_metrics

        metrics = ProxyMetrics(
            self.view,
            self._forwarder,
            self.counters,
            self.memory_budget,
            self.is_ready,
            self.http_server.pending_count,
        )
        await send_metrics(send, metrics.collect)

    async def _listen(self) -> None:
        settings = self.settings
        await self.internal_server.listen(settings.ip, settings.peer_port)
        await self.readiness_server.listen(*settings.bind["readyz"])
        await self.http_server.listen(*settings.bind["http"])

    def _apply_limits(self, table: RouteTable) -> None:
        """Apply the limits of a configuration to open and new connections."""
        limits = self.http_server.limits
        limits.max_header_bytes = table.max_header_bytes
        limits.header_timeout_s = table.header_timeout_ms / 1000
        limits.idle_timeout_s = table.idle_timeout_ms / 1000


async def serve(settings: NodeSettings, shutdown_requested: asyncio.Future[None]) -> None:
    """Run a proxy until its shutdown is requested."""
    await ProxyServer(settings).serve(shutdown_requested)


def main() -> int:
    """Run the program and return its exit code."""
    return run_program(serve)
