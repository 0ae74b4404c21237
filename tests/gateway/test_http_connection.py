"""`runtime.http_connection`: a complete response, or an error that says whether a retry is safe."""

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


async def request(sent: bytes, method: bytes = b"GET", requests: int = 1) -> tuple[Response, bool]:
    """Send requests to a server that answers each by the same bytes, and then closes.

    :returns: the last response, and whether the connection was usable after it.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            for _ in range(requests):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(sent)
            if b"Content-Length: 4" not in sent:
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


@pytest.mark.parametrize("sent", [OK, CHUNKED])
def test_a_complete_response_is_returned(sent: bytes) -> None:
    response, _ = asyncio.run(request(sent))
    assert response.status == 200
    assert response.body == b"body"
    assert response.header(b"x-one") == (b"1" if sent is OK else None)


def test_a_response_without_content_needs_no_length() -> None:
    response, _ = asyncio.run(request(NO_CONTENT))
    assert (response.status, response.body) == (204, b"")


def test_a_connection_carries_one_request_after_another() -> None:
    response, usable = asyncio.run(request(OK, requests=3))
    assert response.body == b"body"
    assert usable


def test_a_connection_with_bytes_behind_the_response_is_not_used_again() -> None:
    response, usable = asyncio.run(request(OK + b"HTTP/1.1 200"))
    assert response.body == b"body"
    assert not usable


@pytest.mark.parametrize(
    ("sent", "error"),
    [
        (b"", ConnectionBrokenError),
        (OK[:30], ConnectionBrokenError),
        (b"not HTTP\r\n\r\n", ConnectionBrokenError),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" + b"z" * 9, ResponseTooLargeError),
    ],
)
def test_whatever_is_no_complete_response_may_have_run(sent: bytes, error: type[RequestError]) -> None:
    with pytest.raises(error) as raised:
        asyncio.run(request(sent))
    assert raised.value.may_have_run


def test_a_response_without_a_length_is_complete_at_the_orderly_end_of_its_connection() -> None:
    response, usable = asyncio.run(request(b"HTTP/1.1 200 OK\r\n\r\nbody"))
    assert (response.status, response.body) == (200, b"body")
    assert not usable


@pytest.mark.parametrize("sent", [b"", b"bo", b"body"])
def test_a_response_without_a_length_that_a_reset_ends_may_have_run(sent: bytes) -> None:
    async def main() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + sent)
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


def test_a_response_for_which_there_is_no_memory_is_an_error() -> None:
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


def test_a_refused_connection_has_not_run() -> None:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))  # not listened on
        host, port = sock.getsockname()
        with pytest.raises(ConnectError) as raised:
            asyncio.run(connect(host, port, 5.0))
    assert not raised.value.may_have_run
    assert not isinstance(raised.value, ConnectTimeoutError)


@pytest.fixture
def full_backlog() -> Iterator[tuple[str, int]]:
    """An address that takes no more connections, as of a machine that does not answer."""
    with contextlib.ExitStack() as opened:
        server = opened.enter_context(socket.socket())
        server.bind(("127.0.0.1", 0))
        server.listen(0)
        for _ in range(3):
            client = opened.enter_context(socket.socket())
            client.setblocking(False)
            client.connect_ex(server.getsockname())
        yield server.getsockname()


def test_a_connection_that_is_not_made_in_time_has_not_run(full_backlog: tuple[str, int]) -> None:
    host, port = full_backlog
    with pytest.raises(ConnectTimeoutError, match=r"within 0\.1 s") as raised:
        asyncio.run(connect(host, port, 0.1))
    assert not raised.value.may_have_run


def test_a_connection_with_unsent_bytes_is_not_kept() -> None:
    for unsent_bytes in (0, 1):
        ends: list[int] = []
        transport = SimpleNamespace(
            get_write_buffer_size=lambda unsent_bytes=unsent_bytes: unsent_bytes,
            abort=lambda ends=ends: ends.append(1),
        )
        stream = BufferedStream()
        stream.connection_made(cast(Any, transport))
        ClientConnection(stream, "h", 1)._after_response(is_body_acknowledged=True)
        assert len(ends) == unsent_bytes
