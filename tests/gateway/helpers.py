"""Shared helpers of the gateway tests."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any

from meadowworks.registry.backends import BackendInstance
from meadowworks.runtime.http_connection import ClientConnection, Response, connect

SECOND = 1_000_000_000  # in nanoseconds
HEARTBEAT = {
    "addr": "10.0.0.9:8080",
    "details": {"svc": "s", "ver": "v1", "zone": "north", "capacity": 2},
    "status": {"state": "up", "calls": 4, "warmupMs": 0},
}


def recording_publisher(published: list[Any]) -> Callable[[str, Any], int]:
    """Return a publisher that appends to `published`; the returned version is the number of values."""

    def publish(_key: str, value: Any) -> int:
        published.append(value)
        return len(published)

    return publish


async def wait_until(condition: Callable[[], bool], description: str, timeout_s: float = 10.0) -> None:
    """Run the event loop until a condition holds.

    :raises AssertionError: the condition doesn't hold within the timeout.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while not condition():
        assert loop.time() < deadline_s, f"timed out after {timeout_s} s: {description}"
        await asyncio.sleep(0.005)


async def send_request(
    address: tuple[str, int],
    method: bytes,
    target: bytes,
    request_id: str = "q",
    body: bytes = b"",
    connection: ClientConnection | None = None,
) -> Response:
    connection = connection or await connect(*address, 2.0)
    headers = [
        (b"host", b"local.example"),
        (b"x-request-id", request_id.encode()),
        (b"x-deadline-ms", b"1500"),
    ]
    if body or method == b"POST":
        headers.append((b"content-length", str(len(body)).encode()))
    return await connection.request(method, target, headers, body, 1 << 24)


Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class RawServer:
    """A TCP server whose handler controls every byte of its responses."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.requests: list[bytes] = []

    async def open(self) -> tuple[str, int]:
        self.server = await asyncio.start_server(self.handler, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return host, port

    def close(self) -> None:
        self.server.close()


def make_backend(instance_id: str, address: tuple[str, int], **fields: Any) -> BackendInstance:
    return BackendInstance(
        instance_id, fields.get("svc", "s"), *address, fields.get("zone", "north"), 2, "up", 0, 0
    )


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection by a TCP reset, as the kernel does for a killed process with unread bytes."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
