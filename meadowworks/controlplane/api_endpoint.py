"""The HTTP endpoint for backends and operators, which limits request bodies and dispatches requests."""

from __future__ import annotations

import sqlite3
from typing import NamedTuple

from meadowworks.controlplane.api import ApiReply, ApiRequest, ApiRoute, ApiRoutes, Handler
from meadowworks.controlplane.api_replies import UNKNOWN_ACTION, ApiReplyCounter, UnknownCallLog
from meadowworks.controlplane.compressed_config import MAX_CONFIG_BYTES
from meadowworks.forwarding.memory_budget import MemoryBudget
from meadowworks.runtime import logging as logs
from meadowworks.runtime.asgi import Receive, Scope, Send
from meadowworks.runtime.live_settings import LiveSettings
from meadowworks.runtime.metrics_endpoint import METRICS_PATH, MetricsSender
from meadowworks.runtime.request_body import BodyError, read_body
from meadowworks.runtime.response_writer import send_response

PATH_PREFIX = "/api/"
BODY_TIMEOUT_S = 300.0  # enough for a configuration of 7 MB over a link of 200 kbit/s
ALL_BODIES_MEMORY_SHARE = 0.25  # of the node's memory, for all bodies being received
MAX_BODY_MEMORY_SHARE = 0.1  # of the node's memory; validating a body takes another four times its size
BYTES_PER_MB = 1e6
BODY_ERROR_STATUS = {
    BodyError.TOO_LARGE: 413,
    BodyError.OUT_OF_MEMORY: 503,
    BodyError.TIMED_OUT: 408,
    BodyError.DISCONNECTED: 408,
}
UNKNOWN_CALL_REPLY = ApiReply(404, b'{"err":"there is no such call"}')
DISK_FAILURE_REPLY = ApiReply(503, b'{"err":"the disk refuses"}')
log = logs.get_logger("api")


class ApiPath(NamedTuple):
    """The parts of a path below `PATH_PREFIX`; the id is empty if the path has none."""

    action: str
    resource_id: str


def split_path(path: str) -> ApiPath:
    """Return the parts of the path of a call."""
    action, _, resource_id = path.removeprefix(PATH_PREFIX).partition("/")
    return ApiPath(action, resource_id)


class ApiEndpoint:
    """The ASGI application on a node's API port.

    :param routes: the handlers of all resources, by route.
    :param live_settings: settings that include the node's memory, from which the body limits are derived.
    :param send_metrics: sends the response to a metrics scrape.
    """

    def __init__(self, routes: ApiRoutes, live_settings: LiveSettings, send_metrics: MetricsSender) -> None:
        self._routes = routes
        self._live_settings = live_settings
        self._send_metrics = send_metrics
        self._unknown_calls = UnknownCallLog()
        self.reply_counter = ApiReplyCounter()
        memory_mb = live_settings.current.memory_mb
        self._body_memory = MemoryBudget(int(memory_mb * BYTES_PER_MB * ALL_BODIES_MEMORY_SHARE))

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Respond to one request."""
        body = await read_body(receive, self._max_body_bytes(), self._body_memory, BODY_TIMEOUT_S)
        method, path = scope["method"], scope["path"]
        if isinstance(body, BodyError):
            status = BODY_ERROR_STATUS[body]
            self._count_reply(method, path, status)
            return await send_response(send, status)
        if path == METRICS_PATH:
            return await self._send_metrics(send)
        reply = await self._handle(method, path, scope.get("query_string", b""), body)
        self._count_reply(method, path, reply.status)
        headers = [(b"content-type", b"application/json")]
        if reply.retry_after_s:
            headers.append((b"retry-after", f"{reply.retry_after_s:g}".encode()))
        return await send_response(send, reply.status, reply.body, headers)

    def _max_body_bytes(self) -> int:
        memory_mb = self._live_settings.current.memory_mb
        return min(MAX_CONFIG_BYTES, int(memory_mb * BYTES_PER_MB * MAX_BODY_MEMORY_SHARE))

    async def _handle(self, method: str, path: str, query: bytes, body: bytes) -> ApiReply:
        handler = self._find_handler(method, path)
        if handler is None:
            self._unknown_calls.on_unknown_call(method, path)
            return UNKNOWN_CALL_REPLY
        action, resource_id = split_path(path)
        try:
            return await handler(ApiRequest(resource_id, body, query))
        except sqlite3.Error as error:
            log.warning("call_failed_by_disk", call=action, reason=str(error))
            return DISK_FAILURE_REPLY

    def _find_handler(self, method: str, path: str) -> Handler | None:
        if not path.startswith(PATH_PREFIX):
            return None
        return self._routes.get(ApiRoute(method, split_path(path).action))

    def _count_reply(self, method: str, path: str, status: int) -> None:
        is_known = self._find_handler(method, path) is not None
        self.reply_counter.increment(split_path(path).action if is_known else UNKNOWN_ACTION, status)
