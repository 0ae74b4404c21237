"""What the gateway's tests share."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any

from meadowworks.registry.backends import BackendInstance
from meadowworks.runtime.http_connection import ClientConnection, Response, connect

SECOND = 1_000_000_000
HEARTBEAT = {
    "addr": "10.0.0.9:8080",
    "details": {"svc": "s", "ver": "v1", "zone": "north", "capacity": 2},
    "status": {"state": "up", "calls": 4, "warmupMs": 0},
}


def recording_publisher(published: list[Any]) -> Callable[[str, Any], int]:
    """Return a publisher that keeps the values; a version is their number."""

    def publish(_key: str, value: Any) -> int:
        published.append(value)
        return len(published)

    return publish


async def wait_until(holds: Callable[[], bool], what: str, wait_s: float = 10.0) -> None:
    """Turns the loop until something holds; fails loudly instead of waiting for ever."""
    loop = asyncio.get_running_loop()
    end = loop.time() + wait_s
    while not holds():
        assert loop.time() < end, f"not in time: {what}"
        await asyncio.sleep(0.005)


async def send_request(
    at: tuple[str, int],
    method: bytes,
    target: bytes,
    ident: str = "q",
    body: bytes = b"",
    line: ClientConnection | None = None,
) -> Response:
    line = line or await connect(*at, 2.0)
    headers = [(b"host", b"local.example"), (b"x-request-id", ident.encode()), (b"x-deadline-ms", b"1500")]
    if body or method == b"POST":
        headers.append((b"content-length", str(len(body)).encode()))
    return await line.request(method, target, headers, body, 1 << 24)


Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class RawServer:
    """A server that says exactly what it is told to, in bytes."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.requests: list[bytes] = []

    async def open(self) -> tuple[str, int]:
        self.server = await asyncio.start_server(self.handler, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return host, port

    def close(self) -> None:
        self.server.close()


def make_backend(ident: str, at: tuple[str, int], **rest: Any) -> BackendInstance:
    return BackendInstance(ident, rest.get("svc", "s"), *at, rest.get("zone", "north"), 2, "up", 0, 0)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """End a connection as a process that is killed with bytes unread does: by a reset, not in order."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
