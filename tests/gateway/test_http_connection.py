"""Tests of `runtime.http_connection`: a complete response, or an error that tells whether a retry is safe."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any, cast

import pytest

from meadowworks.runtime.buffered_stream import BufferedStream
from meadowworks.runtime.errors import (
    ConnectError,
    ConnectionBrokenError,
    ConnectTimeoutError,
    RequestError,
    ResponseTooLargeError,
)
from meadowworks.runtime.http_connection import ClientConnection, Response, connect
from tests.gateway.helpers import reset_connection

MAX_BODY_BYTES = 8
OK = b"HTTP/1.1 200 OK\r\nX-One: 1\r\nContent-Length: 4\r\n\r\nbody"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"
NO_CONTENT = b"HTTP/1.1 204 No Content\r\n\r\n"


async def request(response_bytes: bytes, method: bytes = b"GET", requests: int = 1) -> tuple[Response, bool]:
    """Send requests to a server that answers each with the same bytes and then closes the connection.

    :returns: the last response, and whether the connection is usable after it.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            for _ in range(requests):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(response_bytes)
            if b"Content-Length: 4" not in response_bytes:
                writer.close()
            await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    connection = await connect(host, port, 5.0)
    try:
        for _ in range(requests):
            response = await connection.request(method, b"/", [(b"host", b"h")], b"", MAX_BODY_BYTES)
        return response, connection.is_usable()
    finally:
        connection.close()
        server.close()


@pytest.mark.parametrize("response_bytes", [OK, CHUNKED])
def test_a_complete_response_is_returned(response_bytes: bytes) -> None:
    response, _ = asyncio.run(request(response_bytes))
    assert response.status == 200
    assert response.body == b"body"
    assert response.header(b"x-one") == (b"1" if response_bytes is OK else None)


def test_a_response_without_content_needs_no_length() -> None:
    response, _ = asyncio.run(request(NO_CONTENT))
    assert (response.status, response.body) == (204, b"")


def test_a_connection_carries_one_request_after_another() -> None:
    response, is_usable = asyncio.run(request(OK, requests=3))
    assert response.body == b"body"
    assert is_usable


def test_a_connection_with_bytes_after_the_response_is_not_reused() -> None:
    response, is_usable = asyncio.run(request(OK + b"HTTP/1.1 200"))
    assert response.body == b"body"
    assert not is_usable


@pytest.mark.parametrize(
    ("response_bytes", "error"),
    [
        (b"", ConnectionBrokenError),
        (OK[:30], ConnectionBrokenError),
        (b"not HTTP\r\n\r\n", ConnectionBrokenError),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" + b"z" * 9, ResponseTooLargeError),
    ],
)
def test_a_request_with_an_incomplete_response_may_have_run(
    response_bytes: bytes, error: type[RequestError]
) -> None:
    with pytest.raises(error) as raised:
        asyncio.run(request(response_bytes))
    assert raised.value.may_have_run


def test_a_response_without_a_length_is_complete_after_a_clean_close() -> None:
    response, is_usable = asyncio.run(request(b"HTTP/1.1 200 OK\r\n\r\nbody"))
    assert (response.status, response.body) == (200, b"body")
    assert not is_usable


@pytest.mark.parametrize("response_bytes", [b"", b"bo", b"body"])
def test_a_request_may_have_run_if_a_reset_ends_a_response_without_a_length(response_bytes: bytes) -> None:
    async def main() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + response_bytes)
            reset_connection(writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        connection = await connect(host, port, 5.0)
        with pytest.raises(ConnectionBrokenError) as raised:
            await connection.request(b"GET", b"/", [(b"host", b"h")], b"", MAX_BODY_BYTES)
        assert raised.value.may_have_run
        assert not connection.is_usable()
        server.close()

    asyncio.run(main())


def test_a_response_without_available_memory_is_an_error() -> None:
    async def main() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OK)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        connection = await connect(host, port, 5.0)
        with pytest.raises(ResponseTooLargeError, match="no memory"):
            await connection.request(b"GET", b"/", [(b"host", b"h")], b"", 99, lambda size: size < 4)
        assert not connection.is_usable()
        server.close()

    asyncio.run(main())


def test_a_request_has_not_run_if_its_connection_is_refused() -> None:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))  # not listened on
        host, port = sock.getsockname()
        with pytest.raises(ConnectError) as raised:
            asyncio.run(connect(host, port, 5.0))
    assert not raised.value.may_have_run
    assert not isinstance(raised.value, ConnectTimeoutError)


@pytest.fixture
def full_backlog() -> Iterator[tuple[str, int]]:
    """Yield an address that accepts no more connections, like that of an unreachable machine."""
    with contextlib.ExitStack() as opened:
        server = opened.enter_context(socket.socket())
        server.bind(("127.0.0.1", 0))
        server.listen(0)
        for _ in range(3):
            client = opened.enter_context(socket.socket())
            client.setblocking(False)
            client.connect_ex(server.getsockname())
        yield server.getsockname()


def test_a_request_has_not_run_if_its_connection_times_out(full_backlog: tuple[str, int]) -> None:
    host, port = full_backlog
    with pytest.raises(ConnectTimeoutError, match=r"within 0\.1 s") as raised:
        asyncio.run(connect(host, port, 0.1))
    assert not raised.value.may_have_run


def test_a_connection_with_unsent_bytes_is_closed() -> None:
    for unsent_bytes in (0, 1):
        aborts: list[int] = []
        transport = SimpleNamespace(
            get_write_buffer_size=lambda unsent_bytes=unsent_bytes: unsent_bytes,
            abort=lambda aborts=aborts: aborts.append(1),
        )
        stream = BufferedStream()
        stream.connection_made(cast(Any, transport))
        ClientConnection(stream, "h", 1)._after_response(is_body_acknowledged=True)
        assert len(aborts) == unsent_bytes


LARGE_BODY = bytes(range(256)) * (24 << 12)  # 24 MiB, far more than the kernel buffers
MAX_COPIED_BYTES = 1 << 20


async def send_large_body(reads_body: bool) -> tuple[int, bool, Response]:
    """Send a large body to a peer that begins to read late, or that responds without reading it.

    :returns: the bytes that the transport has copied, whether the rest is the body itself, and the response.
    """
    started = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await started.wait()
        if reads_body:
            await reader.readexactly(len(LARGE_BODY))
        writer.write(OK)
        await writer.drain()
        with contextlib.suppress(ConnectionError):
            await asyncio.sleep(0.2)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1 << 16)
    host, port = server.sockets[0].getsockname()
    connection = await connect(host, port, 5.0)
    headers = [(b"host", b"h"), (b"content-length", str(len(LARGE_BODY)).encode())]
    sending = asyncio.ensure_future(connection.request(b"POST", b"/", headers, LARGE_BODY, MAX_BODY_BYTES))
    try:
        async with asyncio.timeout(10):
            await asyncio.sleep(0.2)
            stream = connection._stream
            copied_bytes = stream._transport.get_write_buffer_size()
            is_view = bool(stream._unsent) and all(part.obj is LARGE_BODY for part in stream._unsent)
            started.set()
            return copied_bytes, is_view, await sending
    finally:
        connection.close()
        server.close()


# review/2: each attempt copied what its backend had not read, so that a few uploads ended the process.
@pytest.mark.parametrize("reads_body", [True, False])
def test_a_body_that_the_peer_does_not_read_is_not_copied(reads_body: bool) -> None:
    copied_bytes, is_view, response = asyncio.run(send_large_body(reads_body))
    assert copied_bytes < MAX_COPIED_BYTES
    assert is_view
    assert response.body == b"body"


def test_a_body_that_the_peer_reads_late_arrives_whole() -> None:
    received = bytearray()

    async def exchange() -> Response:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(0.1)
            received.extend(await reader.readexactly(len(LARGE_BODY)))
            writer.write(OK)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        connection = await connect(host, port, 5.0)
        headers = [(b"host", b"h"), (b"content-length", str(len(LARGE_BODY)).encode())]
        try:
            async with asyncio.timeout(10):
                return await connection.request(b"POST", b"/", headers, LARGE_BODY, MAX_BODY_BYTES)
        finally:
            connection.close()
            server.close()

    assert asyncio.run(exchange()).body == b"body"
    assert bytes(received) == LARGE_BODY
