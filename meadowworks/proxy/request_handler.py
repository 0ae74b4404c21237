"""Processing of one client request, from its headers to the end of its response."""

from __future__ import annotations

import json
import random
from dataclasses import dataclass

from meadowworks.config.route_table import Route, RouteTable
from meadowworks.forwarding.memory_budget import MemoryBudget, MemoryReservation
from meadowworks.forwarding.request_attempts import RejectRequest
from meadowworks.forwarding.split_sequence import SplitSequence
from meadowworks.proxy import counters as counter_names
from meadowworks.proxy.control_plane_view import ControlPlaneView
from meadowworks.proxy.counters import ProxyCounters
from meadowworks.proxy.forwarder import ClientContext, Forwarder
from meadowworks.proxy.http_headers import forwarded_request_headers, forwarded_response_headers, parse_ms
from meadowworks.proxy.upstream_attempt import UpstreamRequest
from meadowworks.runtime.asgi import Receive, Scope, Send
from meadowworks.runtime.clock import now_ns
from meadowworks.runtime.http_connection import Headers, Response
from meadowworks.runtime.request_body import BodyError, read_body
from meadowworks.runtime.response_writer import send_response
from meadowworks.runtime.server_connection import HttpConnection

MS, SECOND = 1_000_000, 1_000_000_000
# Rejections by the proxy. A lease holder, if there is one, is found within 300 ms; other requests release
# memory within a second.
NOT_CONFIGURED = RejectRequest(503, 300 * MS)
VIEW_IS_STALE = RejectRequest(503, 300 * MS)
OUT_OF_MEMORY = RejectRequest(503, SECOND)
NO_ROUTE_BODY = b'{"err":"there is no such route"}'
REJECTED_BODY = b'{"err":"no backend answered"}'


@dataclass(slots=True)
class RequestHead:
    """Request line and headers of a request."""

    method: bytes
    request_target: bytes  # in origin form
    headers: Headers  # names in lower case
    host: str
    request_id: bytes | None  # X-Request-Id
    deadline_header: bytes | None  # X-Deadline-Ms
    connection: HttpConnection | None  # the client's; None if it has closed already
    received_ns: int  # when the headers were complete, monotonic time

    @property
    def path(self) -> str:
        """The path of the request target, without the query."""
        return self.request_target.partition(b"?")[0].decode("latin-1")

    @property
    def client_disconnected(self) -> bool:
        """Whether the client has disconnected."""
        return self.connection is not None and self.connection.disconnected


def read_head(scope: Scope) -> RequestHead:
    """Return the head of a request from the server's scope."""
    host, request_id, deadline = "", None, None
    for name, value in scope["headers"]:
        if name == b"host":
            host = value.decode("latin-1")
        elif name == b"x-request-id":
            request_id = value
        elif name == b"x-deadline-ms":
            deadline = value
    return RequestHead(
        scope["method"].encode(),
        scope["target"],
        scope["headers"],
        host,
        request_id,
        deadline,
        scope.get("connection"),
        scope["received_ns"],
    )


def request_timeout_ms(route: Route, head: RequestHead) -> float:
    """Return the time limit of a request in milliseconds: the route's, or the client's if that is shorter."""
    return min(route.deadline_ms, parse_ms(head.deadline_header, route.deadline_ms))


class RequestHandler:
    """Handler for the requests of all clients."""

    def __init__(
        self, view: ControlPlaneView, forwarder: Forwarder, memory: MemoryBudget, counters: ProxyCounters
    ) -> None:
        self._view = view
        self._forwarder = forwarder
        self._memory = memory
        self._counters = counters
        self._splits = SplitSequence(random.Random().random)
        view.route_table_listeners.append(lambda _: self._splits.clear())

    async def handle(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request; an ASGI application."""
        table = self._view.route_table
        if table is None:
            return await self._reject(send, NOT_CONFIGURED)
        head = read_head(scope)
        route = table.find_route(head.host, head.path)
        if route is None:
            return await self._reject_route(send)
        deadline_ns = head.received_ns + int(request_timeout_ms(route, head) * MS)
        body = await self._read_body(receive, table, deadline_ns)
        if isinstance(body, BodyError):
            return await self._reject_body(send, body)
        if head.client_disconnected:
            return self._counters.increment(counter_names.CLIENT_DISCONNECTED)
        with MemoryReservation(self._memory) as memory:
            if not memory.reserve(len(body)):
                return await self._reject(send, OUT_OF_MEMORY)
            context = ClientContext(deadline_ns, memory, head.connection)
            await self._forward_request(send, route, table, head, body, context)
        return None

    async def _read_body(self, receive: Receive, table: RouteTable, deadline_ns: int) -> bytes | BodyError:
        time_left_s = (deadline_ns - now_ns()) / SECOND
        return await read_body(receive, table.max_body_bytes, self._memory, time_left_s)

    def _pick_service(self, route: Route) -> str:
        """Return a service of the route, chosen by weight."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].name
        return route.pick_service(self._splits.next_point(route.name))

    async def _forward_request(
        self,
        send: Send,
        route: Route,
        table: RouteTable,
        head: RequestHead,
        body: bytes,
        context: ClientContext,
    ) -> None:
        """Forward the request to a backend and send the response to the client."""
        request = UpstreamRequest(
            head.method, head.request_target, forwarded_request_headers(head.headers), body, head.request_id
        )
        service = self._pick_service(route)
        try:
            result = await self._forwarder.forward(route, service, request, context)
            if head.client_disconnected:
                self._counters.increment(counter_names.CLIENT_DISCONNECTED)
            elif isinstance(result, RejectRequest):
                await self._reject(send, result)
            else:
                await self._respond(send, result, table)
        except TimeoutError:
            # Prevents a client that does not read its response from holding memory.
            self._counters.count_route_failure(route.name, counter_names.RESPONSE_ABORTED)
            if head.connection is not None:
                head.connection.transport.abort()

    async def _respond(self, send: Send, response: Response, table: RouteTable) -> None:
        self._counters.increment(str(response.status))
        headers = forwarded_response_headers(response)
        await send_response(send, response.status, response.body, headers, table.idle_timeout_ms / 1000)

    async def _reject(self, send: Send, rejection: RejectRequest) -> None:
        self._counters.increment(counter_names.proxy_response(rejection.status))
        headers = [(b"content-type", b"application/json")]
        if rejection.retry_after_ns:
            headers.append((b"retry-after", f"{rejection.retry_after_ns / 1e9:.3f}".encode()))
        await send_response(send, rejection.status, REJECTED_BODY, headers)

    async def _reject_body(self, send: Send, error: BodyError) -> None:
        self._counters.increment(f"bodies {error.counter}")
        if error is BodyError.OUT_OF_MEMORY:
            return await self._reject(send, OUT_OF_MEMORY)
        status = 413 if error is BodyError.TOO_LARGE else 408
        return await send_response(send, status, json.dumps({"err": f"the body is {error.value}"}).encode())

    async def _reject_route(self, send: Send) -> None:
        if not self._view.staleness.is_fresh(now_ns()):
            # Prevents a 404 for a route that only a stale configuration lacks, after a partition or a freeze.
            return await self._reject(send, VIEW_IS_STALE)
        return await send_response(send, 404, NO_ROUTE_BODY)
