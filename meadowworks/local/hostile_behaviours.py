"""What hostile clients do with one connection to a proxy: slow, greedy or lying, each in its own way.

The keys of `BEHAVIOURS` are those of the command's JSON.
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
    POST_HEADERS % 5 + b"ab",  # a body shorter than announced
    CHUNKED_POST_HEADERS.replace(b"Host", b"Content-Length: 5\r\nHost") + b"0\r\n\r\n",  # two lengths
    GET_REQUEST % 1 + b"\x00\xff not a request\r\n\r\n",
    GET_REQUEST.replace(b"Host", b"Host: a\r\nHost") % 1,  # two hosts
    b"GET /read/x HTTP/1.1\r\n" + HOST_LINE + b"\r\nX: " + b"y" * 40_000,  # headers too large
    CHUNKED_POST_HEADERS + b"ffffffffffffffffff\r\n",  # a chunk too large
)
UNFINISHED_BODY_BYTES = 500_000  # announced by clients that never send so much
OVERSIZED_BODY_BYTES = 2 << 20  # twice what the configuration allows
PIPELINED_REQUESTS = 2000


@dataclass(frozen=True, slots=True)
class Client:
    """A hostile client's connection; `turn` counts its connections from 1."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    turn: int


Behaviour = Callable[[Client], Awaitable[None]]


async def send_headers_slowly(client: Client) -> None:
    """Send a request's headers byte by byte."""
    await _write_slowly(client.writer, GET_REQUEST % client.turn, 0.2)


async def send_body_slowly(client: Client) -> None:
    """Send a request's body byte by byte."""
    client.writer.write(POST_HEADERS % UNFINISHED_BODY_BYTES)
    await _write_slowly(client.writer, b"z" * 10_000, 0.05)


async def stop_in_body(client: Client) -> None:
    """Send a part of a body and no more."""
    client.writer.write(POST_HEADERS % UNFINISHED_BODY_BYTES + b"z" * 100 * KIB)
    await client.reader.read()


async def read_no_response(client: Client) -> None:
    """Send request after request, and read nothing."""
    for number in range(PIPELINED_REQUESTS):
        client.writer.write(GET_REQUEST % number)
        await client.writer.drain()


async def send_malformed_request(client: Client) -> None:
    """Send what is no request, each time another."""
    client.writer.write(MALFORMED_REQUESTS[client.turn % len(MALFORMED_REQUESTS)])
    await asyncio.sleep(0.05)


async def disconnect_in_headers(client: Client) -> None:
    """Send a part of the headers, each time another, and go."""
    client.writer.write((GET_REQUEST % client.turn)[: client.turn % 60])
    await asyncio.sleep(0.01)


async def send_oversized_body(client: Client) -> None:
    """Send a body of twice the size that the configuration allows."""
    client.writer.write(POST_HEADERS % OVERSIZED_BODY_BYTES)
    for _ in range(OVERSIZED_BODY_BYTES // (64 * KIB)):
        client.writer.write(b"z" * 64 * KIB)
        await client.writer.drain()
    await client.reader.read(100)


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
