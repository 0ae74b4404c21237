"""A stand-in for a backend, as the users' page on the protocol describes one: it beats, answers, leaves."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

from meadowworks.runtime.errors import RequestError
from meadowworks.runtime.http_connection import connect
from meadowworks.runtime.http_server import HttpServer
from meadowworks.runtime.request_body import read_body
from meadowworks.runtime.response_writer import send_response

MAX_ACK_BYTES = 4096  # bytes of an answer: a larger one acknowledges nothing


class StubBackend:
    """One life. `ran` lists the ids of the requests that it has run, each as often as it ran."""

    def __init__(
        self,
        backend_id: str,
        service: str,
        zone: str,
        host: str,
        capacity: int = 2,
        handler: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self.backend_id, self.service, self.zone, self.host, self.capacity = (
            backend_id,
            service,
            zone,
            host,
            capacity,
        )
        self.handler = handler
        self.state, self.heartbeats_sent, self.requests_running = "up", 0, 0
        self.assigned_address: tuple[str, int] | None = (
            None  # where it was asked to call (`beatUrl`), until that fails
        )
        self.handled_request_ids: list[str] = []
        self.server = HttpServer(self.handle_request)
        self.port = 0

    async def start(self) -> None:
        self.port = await self.server.listen(self.host, 0)

    async def handle_request(self, scope: Any, receive: Any, send: Any) -> None:
        body = await read_body(receive, 1 << 20)
        headers = dict(scope["headers"])
        if scope["path"] == "/healthz":
            return await send_response(
                send, 200 if self.state == "up" else 503, b"", [(b"x-backend-id", self.backend_id.encode())]
            )
        ident = headers.get(b"x-request-id", b"")
        if headers.get(b"x-want-backend", self.backend_id.encode()) != self.backend_id.encode():
            return await send_response(
                send, 421, b"", [(b"x-backend-id", self.backend_id.encode()), (b"x-request-id", ident)]
            )
        self.requests_running += 1
        self.handled_request_ids.append(ident.decode())
        try:
            if self.handler:
                await self.handler()
        finally:
            self.requests_running -= 1
        told = [
            (b"x-request-id", ident),
            (b"x-backend-seal", f"{self.backend_id}.{len(body) if isinstance(body, bytes) else 0}".encode()),
            (b"x-backend-load", f"{self.requests_running},0,{self.capacity}".encode()),
        ]
        await send_response(
            send, 200, f"{self.backend_id} has answered {scope['target'].decode()}\n".encode(), told
        )

    async def send_heartbeat(self, address: tuple[str, int], leave: bool = False) -> int:
        """One call to a signalbox; the status, 0 without an answer."""
        self.heartbeats_sent += 1
        document = {
            "addr": f"{self.host}:{self.port}",
            "details": {"svc": self.service, "ver": "v1", "zone": self.zone, "capacity": self.capacity},
            "status": {"state": self.state, "calls": self.heartbeats_sent, "warmupMs": 0},
        }
        body = b"" if leave else json.dumps(document).encode()
        path = f"/api/Backends.{'Leave' if leave else 'Heartbeat'}/{self.backend_id}".encode()
        try:
            line = await connect(*address, 1.0)
            try:
                async with asyncio.timeout(1.0):
                    headers = [(b"host", b"ctl"), (b"content-length", str(len(body)).encode())]
                    reply = await line.request(b"POST", path, headers, body, MAX_ACK_BYTES)
                    if reply.status == 200 and not leave and (at := json.loads(reply.body).get("beatUrl")):
                        self.assigned_address = at.rpartition(":")[0], int(at.rpartition(":")[2])
                    return reply.status
            finally:
                line.close()
        except (RequestError, TimeoutError):
            return 0

    async def run_heartbeats(self, addresses: list[tuple[str, int]], interval_s: float) -> None:
        """Beats for ever: where it was asked to, else at the next signalbox after one that fails."""
        place = sum(self.backend_id.encode()) % len(addresses)
        while True:
            if await self.send_heartbeat(self.assigned_address or addresses[place]) != 200:
                if self.assigned_address is None:
                    place = (place + 1) % len(addresses)
                self.assigned_address = None
            await asyncio.sleep(interval_s)

    def stop(self) -> None:
        with suppress(Exception):
            self.server.shutdown()
