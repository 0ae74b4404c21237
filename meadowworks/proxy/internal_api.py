"""HTTP endpoints for operators: `/status` and metrics on the internal port, readiness on `readyz`."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from meadowworks.proxy.control_plane_view import ControlPlaneView
from meadowworks.proxy.counters import ProxyCounters
from meadowworks.proxy.forwarder import Forwarder
from meadowworks.runtime.asgi import Receive, Scope, Send
from meadowworks.runtime.clock import now_ns
from meadowworks.runtime.live_settings import LiveSettings
from meadowworks.runtime.metrics_endpoint import METRICS_PATH, MetricsSender
from meadowworks.runtime.request_body import read_body
from meadowworks.runtime.response_writer import send_response

# Requests on the internal port have no body. Prevents reading an endless one.
MAX_BODY_BYTES = 65536


class InternalApi:
    """Read-only API: no request changes the proxy.

    :param is_ready: returns whether the platform may route clients to this proxy
    :param send_metrics: sends the response to a scrape
    """

    def __init__(
        self,
        settings: LiveSettings,
        view: ControlPlaneView,
        forwarder: Forwarder,
        counters: ProxyCounters,
        is_ready: Callable[[], bool],
        send_metrics: MetricsSender,
    ) -> None:
        self._settings = settings
        self._view = view
        self._forwarder = forwarder
        self._counters = counters
        self._is_ready = is_ready
        self._send_metrics = send_metrics

    async def handle_readiness(self, scope: Scope, receive: Receive, send: Send) -> None:  # noqa: ARG002
        """Respond to the platform's poll with 200 while the proxy is ready, else 503; also serve metrics."""
        if scope["path"] == METRICS_PATH:
            return await self._send_metrics(send)
        return await send_response(send, 200 if self._is_ready() else 503)

    async def handle(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve `/status` and metrics; an ASGI application."""
        await read_body(receive, MAX_BODY_BYTES)
        if scope["path"] == METRICS_PATH:
            return await self._send_metrics(send)
        if scope["path"] != "/status":
            return await send_response(send, 404)
        return await send_response(send, 200, json.dumps(self.status()).encode())

    def status(self) -> dict[str, Any]:
        """Return the state of the proxy for the command line."""
        now, view = now_ns(), self._view
        return {
            "node": self._settings.current.node,
            "ready": self._is_ready(),
            "fresh": view.staleness.is_fresh(now),
            "version": f"{view.config_version:08x}",
            "answers": self._counters.responses,
            "prices": self._counters.route_failures,
            "services": self._services(now),
            "backends": view.backends.summary(),
        }

    def _services(self, now: int) -> dict[str, Any]:
        retry_windows = self._forwarder.retry_windows(now)
        return {
            name: {**balancer.explain(now), "further tries": retry_windows.get(name, (0, 0))}
            for name, balancer in self._view.balancers.items()
        }
