"""A stub of a backend, which implements the backend protocol of the user documentation."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import closing, suppress
from typing import Any

from meadowworks.runtime.address import Address
from meadowworks.runtime.asgi import Receive, Scope, Send
from meadowworks.runtime.errors import RequestError
from meadowworks.runtime.http_connection import Response, connect
from meadowworks.runtime.http_server import HttpServer
from meadowworks.runtime.request_body import read_body
from meadowworks.runtime.response_writer import send_response

MAX_BODY_BYTES = 1 << 20  # of a request; as in `system.build_configuration`
MAX_ACK_BYTES = 4096  # of a response to a heartbeat
HEARTBEAT_TIMEOUT_S = 1.0  # to connect, and again for the response


class StubBackend:
    """One incarnation of a backend: sends heartbeats and answers every request.

    :ivar state: `up` or `draining`; reported by heartbeats and by the health check.
    :ivar handler: awaited before each request is answered.
    :ivar assigned_address: the control-plane address assigned for heartbeats, until a heartbeat to it fails.
    :ivar handled_request_ids: the ids of executed requests, with duplicates.
    """

    def __init__(
        self,
        backend_id: str,
        service: str,
        zone: str,
        host: str,
        capacity: int = 2,
        handler: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self.backend_id = backend_id
        self.service = service
        self.zone = zone
        self.host = host
        self.port = 0
        self.capacity = capacity
        self.handler = handler
        self.state = "up"
        self.heartbeats_sent = 0
        self.requests_running = 0
        self.assigned_address: Address | None = None
        self.handled_request_ids: list[str] = []
        self.server = HttpServer(self.handle_request)

    async def start(self) -> None:
        """Listen on any free port."""
        self.port = await self.server.listen(self.host, 0)

    def stop(self) -> None:
        """Stop accepting requests."""
        with suppress(Exception):  # its event loop may have ended already
            self.server.shutdown()

    # -- requests

    async def handle_request(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer a health check or a request; reject a request for another backend with 421."""
        body = await read_body(receive, MAX_BODY_BYTES)
        headers = dict(scope["headers"])
        own_id = self.backend_id.encode()
        if scope["path"] == "/healthz":
            status = 200 if self.state == "up" else 503
            await send_response(send, status, b"", [(b"x-backend-id", own_id)])
            return
        request_id = headers.get(b"x-request-id", b"")
        if headers.get(b"x-want-backend", own_id) != own_id:
            await send_response(send, 421, b"", [(b"x-backend-id", own_id), (b"x-request-id", request_id)])
            return
        await self._run_handler(request_id)
        response_headers = [
            (b"x-request-id", request_id),
            (b"x-backend-seal", f"{self.backend_id}.{len(body) if isinstance(body, bytes) else 0}".encode()),
            (b"x-backend-load", f"{self.requests_running},0,{self.capacity}".encode()),
        ]
        text = f"{self.backend_id} has answered {scope['target'].decode()}\n"
        await send_response(send, 200, text.encode(), response_headers)

    async def _run_handler(self, request_id: bytes) -> None:
        self.requests_running += 1
        self.handled_request_ids.append(request_id.decode())
        try:
            if self.handler:
                await self.handler()
        finally:
            self.requests_running -= 1

    # -- heartbeats

    async def run_heartbeats(self, addresses: list[Address], interval_s: float) -> None:
        """Send heartbeats without end: to the assigned address, else to the control-plane nodes in turn."""
        index = sum(self.backend_id.encode()) % len(addresses)
        while True:
            if await self.send_heartbeat(self.assigned_address or addresses[index]) != 200:
                if self.assigned_address is None:
                    index = (index + 1) % len(addresses)
                self.assigned_address = None
            await asyncio.sleep(interval_s)

    async def send_heartbeat(self, address: tuple[str, int], leave: bool = False) -> int:
        """Send one heartbeat to the control plane.

        :param leave: send a leave call instead.
        :returns: the status of the response; 0 without a response.
        """
        self.heartbeats_sent += 1
        call = "Leave" if leave else "Heartbeat"
        path = f"/api/Backends.{call}/{self.backend_id}".encode()
        body = b"" if leave else json.dumps(self._heartbeat()).encode()
        try:
            response = await _post(address, path, body)
        except (RequestError, TimeoutError):
            return 0
        if response.status == 200 and not leave and (assigned := json.loads(response.body).get("beatUrl")):
            host, _, port = assigned.rpartition(":")
            self.assigned_address = Address(host, int(port))
        return response.status

    def _heartbeat(self) -> dict[str, Any]:
        return {
            "addr": f"{self.host}:{self.port}",
            "details": {"svc": self.service, "ver": "v1", "zone": self.zone, "capacity": self.capacity},
            "status": {"state": self.state, "calls": self.heartbeats_sent, "warmupMs": 0},
        }


async def _post(address: tuple[str, int], path: bytes, body: bytes) -> Response:
    """Call the control plane over a new connection.

    :raises RequestError: if there is no response.
    :raises TimeoutError: if the response does not come in time.
    """
    host, port = address
    headers = [(b"host", b"ctl"), (b"content-length", str(len(body)).encode())]
    with closing(await connect(host, port, HEARTBEAT_TIMEOUT_S)) as connection:
        async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
            return await connection.request(b"POST", path, headers, body, MAX_ACK_BYTES)
