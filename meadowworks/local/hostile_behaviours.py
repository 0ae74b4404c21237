"""The behaviours of hostile clients on one connection to a proxy.

The keys of `BEHAVIOURS` appear in the command's JSON.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from meadowworks.local.system import HOST_NAME

KIB = 1024
HOST_LINE = b"Host: " + HOST_NAME.encode()
GET_REQUEST = b"GET /read/x HTTP/1.1\r\n" + HOST_LINE + b"\r\nX-Request-Id: %d\r\n\r\n"
POST_HEADERS = b"POST /read/x HTTP/1.1\r\n" + HOST_LINE + b"\r\nContent-Length: %d\r\n\r\n"
CHUNKED_POST_HEADERS = b"POST /read/x HTTP/1.1\r\n" + HOST_LINE + b"\r\nTransfer-Encoding: chunked\r\n\r\n"
MALFORMED_REQUESTS = (
    POST_HEADERS % 5 + b"ab",  # a truncated body
    CHUNKED_POST_HEADERS.replace(b"Host", b"Content-Length: 5\r\nHost")
    + b"0\r\n\r\n",  # both Content-Length and Transfer-Encoding
    GET_REQUEST % 1 + b"\x00\xff not a request\r\n\r\n",
    GET_REQUEST.replace(b"Host", b"Host: a\r\nHost") % 1,  # two Host fields
    b"GET /read/x HTTP/1.1\r\n" + HOST_LINE + b"\r\nX: " + b"y" * 40_000,  # headers too large
    CHUNKED_POST_HEADERS + b"ffffffffffffffffff\r\n",  # a chunk too large
)
UNFINISHED_BODY_BYTES = 500_000  # announced, but never sent in full
OVERSIZED_BODY_BYTES = 2 << 20  # twice what the configuration allows
PIPELINED_REQUESTS = 2000


@dataclass(frozen=True, slots=True)
class HostileConnection:
    """A connection of a hostile client; `turn` counts the client's connections from 1."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    turn: int


Behaviour = Callable[[HostileConnection], Awaitable[None]]


async def send_headers_slowly(connection: HostileConnection) -> None:
    """Send a request's headers byte by byte."""
    await _write_slowly(connection.writer, GET_REQUEST % connection.turn, 0.2)


async def send_body_slowly(connection: HostileConnection) -> None:
    """Send a request's body byte by byte."""
    connection.writer.write(POST_HEADERS % UNFINISHED_BODY_BYTES)
    await _write_slowly(connection.writer, b"z" * 10_000, 0.05)


async def stop_in_body(connection: HostileConnection) -> None:
    """Send a part of a body, then nothing."""
    connection.writer.write(POST_HEADERS % UNFINISHED_BODY_BYTES + b"z" * 100 * KIB)
    await connection.reader.read()


async def read_no_response(connection: HostileConnection) -> None:
    """Send pipelined requests without reading a response."""
    for number in range(PIPELINED_REQUESTS):
        connection.writer.write(GET_REQUEST % number)
        await connection.writer.drain()


async def send_malformed_request(connection: HostileConnection) -> None:
    """Send a malformed request, a different one for each turn."""
    connection.writer.write(MALFORMED_REQUESTS[connection.turn % len(MALFORMED_REQUESTS)])
    await asyncio.sleep(0.05)


async def disconnect_in_headers(connection: HostileConnection) -> None:
    """Disconnect after a part of the headers, a different one for each turn."""
    connection.writer.write((GET_REQUEST % connection.turn)[: connection.turn % 60])
    await asyncio.sleep(0.01)


async def send_oversized_body(connection: HostileConnection) -> None:
    """Send a body of twice the size that the configuration allows."""
    connection.writer.write(POST_HEADERS % OVERSIZED_BODY_BYTES)
    for _ in range(OVERSIZED_BODY_BYTES // (64 * KIB)):
        connection.writer.write(b"z" * 64 * KIB)
        await connection.writer.drain()
    await connection.reader.read(100)


async def _write_slowly(writer: asyncio.StreamWriter, data: bytes, pause_s: float) -> None:
    for byte in data:
        writer.write(bytes([byte]))
        await writer.drain()
        await asyncio.sleep(pause_s)


BEHAVIOURS: dict[str, Behaviour] = {
    "slow_headers": send_headers_slowly,
    "slow_body": send_body_slowly,
    "stops": stop_in_body,
    "deaf": read_no_response,
    "liar": send_malformed_request,
    "comes_and_goes": disconnect_in_headers,
    "large": send_oversized_body,
}
