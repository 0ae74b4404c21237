"""Tests of draining with idle, slow and pipelining clients: no accepted request loses its response."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from meadowworks.runtime.http_server import HttpServer
from meadowworks.runtime.response_writer import send_response
from meadowworks.runtime.server_connection import RequestLimits, ServerConnection
from tests.gateway.helpers import wait_until
from tests.gateway.test_fleet import ROUTES, Fleet, fleet  # noqa: F401  # the fixture

REQUEST = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"


def pause_reading(writer: asyncio.StreamWriter, paused: bool = True) -> None:
    """Stop or resume reading from the connection."""
    transport = writer.transport
    assert isinstance(transport, asyncio.Transport)
    transport.pause_reading() if paused else transport.resume_reading()


class GatedServer:
    """A server whose responses wait for a gate."""

    def __init__(self, body: bytes = b"x", chunk_timeout_s: float | None = None) -> None:
        self.gate, self.request_count, self.timeout_count = asyncio.Event(), 0, 0
        self.body, self.chunk_timeout_s = body, chunk_timeout_s
        self.server = HttpServer(self.app, RequestLimits(4000, 5, 10))

    async def app(self, scope: Any, receive: Any, send: Any) -> None:
        self.request_count += 1
        connection = scope["connection"]
        await self.gate.wait()
        try:
            await send_response(send, 200, self.body, None, self.chunk_timeout_s)
        except TimeoutError:
            self.timeout_count += 1
            connection.transport.abort()

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        self.port = await self.server.listen("127.0.0.1", 0)
        return await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 24)

    def connection(self) -> ServerConnection:
        (connection,) = self.server.server_state.connections
        assert isinstance(connection, ServerConnection)
        return connection


@pytest.mark.parametrize(("before", "after"), [(1, 0), (1, 1), (2, 3)])
def test_pipelined_requests_are_all_answered_when_the_server_drains(before: int, after: int) -> None:
    async def main() -> None:
        gated = GatedServer()
        reader, writer = await gated.open()
        writer.write(b"".join(REQUEST % k for k in range(before)))
        await wait_until(
            lambda: gated.request_count == 1 and len(gated.connection().pipeline) == before - 1,
            "the requests are read",
        )
        gated.server.drain()
        for k in range(after):
            writer.write(REQUEST % k)
        await wait_until(lambda: gated.server.pending_count() == 1, "a request is pending")
        read = before + after - 1
        if before == 1:
            await wait_until(
                lambda: len(gated.connection().pipeline) == min(read, 1), "the pipelined request is read"
            )
        gated.gate.set()
        async with asyncio.timeout(5):
            received = await reader.read(-1)
        assert received.count(b"HTTP/1.1 200") == gated.request_count >= before + (before == 1) * after
        heads = received.split(b"HTTP/1.1 ")[1:]
        assert [b"connection: close" in head for head in heads] == [False] * (len(heads) - 1) + [True]
        gated.server.shutdown()
        writer.close()

    asyncio.run(main())


def test_the_idle_timeout_follows_the_current_limits() -> None:
    async def main() -> None:
        gated = GatedServer()
        gated.gate.set()
        reader, writer = await gated.open()
        for idle_s in (10.0, 30.0, 20.0):
            gated.server.limits.idle_timeout_s = idle_s
            writer.write(REQUEST % 1)
            await reader.readuntil(b"\r\n\r\nx")
            idle_timer = gated.connection().timeout_keep_alive_task
            assert idle_timer is not None
            assert idle_timer.when() - asyncio.get_running_loop().time() > 0.8 * idle_s
        gated.server.shutdown()
        writer.close()

    asyncio.run(main())


def test_a_response_is_pending_until_it_is_sent() -> None:
    async def main() -> None:
        gated = GatedServer(b"z" * (8 << 20))
        gated.gate.set()
        reader, writer = await gated.open()
        writer.write(REQUEST % 1)
        await wait_until(
            lambda: gated.request_count == 1 and not gated.server.server_state.tasks,
            "the response is written",
        )
        pause_reading(writer)
        assert gated.server.pending_count() == 1
        gated.server.drain()
        gated.server.shutdown()
        pause_reading(writer, False)
        async with asyncio.timeout(5):
            received = await reader.read(-1)
        assert received.endswith(gated.body)
        assert received.count(b"z") == len(gated.body)
        assert not gated.server.pending_count()
        writer.close()

    asyncio.run(main())


def test_a_response_that_is_not_read_times_out_and_one_that_is_read_is_complete() -> None:
    async def main() -> None:
        gated = GatedServer(bytes(range(256)) * (32 << 10), 0.2)
        gated.gate.set()
        reader, writer = await gated.open()
        writer.write(REQUEST % 1)
        async with asyncio.timeout(5):
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
            assert await reader.readexactly(len(gated.body)) == gated.body
            pause_reading(writer)
            writer.write(REQUEST % 2)
            await wait_until(lambda: gated.timeout_count == 1, "the response times out")
        gated.server.shutdown()
        writer.close()

    asyncio.run(main())
