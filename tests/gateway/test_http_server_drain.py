"""Clients that rest, read slowly, or send ahead when the server ends: nothing that was read is cut."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from meadowworks.runtime.http_server import HttpServer
from meadowworks.runtime.response_writer import send_response
from meadowworks.runtime.server_connection import RequestLimits, ServerConnection
from tests.gateway.helpers import wait_until
from tests.gateway.test_fleet import ROUTES, Fleet, fleet  # noqa: F401  # the fixture

ASK = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"


def pause_reading(writer: asyncio.StreamWriter, paused: bool = True) -> None:
    """Reads nothing any more, or again."""
    transport = writer.transport
    assert isinstance(transport, asyncio.Transport)
    transport.pause_reading() if paused else transport.resume_reading()


class GatedServer:
    """A door whose answers wait for a gate."""

    def __init__(self, body: bytes = b"x", pace_s: float | None = None) -> None:
        self.gate, self.began, self.slow = asyncio.Event(), 0, 0
        self.body, self.pace_s = body, pace_s
        self.door = HttpServer(self.app, RequestLimits(4000, 5, 10))

    async def app(self, scope: Any, receive: Any, send: Any) -> None:
        self.began += 1
        caller = scope["connection"]
        await self.gate.wait()
        try:
            await send_response(send, 200, self.body, None, self.pace_s)
        except TimeoutError:
            self.slow += 1
            caller.transport.abort()

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        self.port = await self.door.listen("127.0.0.1", 0)
        return await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 24)

    def caller(self) -> ServerConnection:
        (found,) = self.door.server_state.connections
        assert isinstance(found, ServerConnection)
        return found


@pytest.mark.parametrize(("before", "after"), [(1, 0), (1, 1), (2, 3)])
def test_requests_behind_one_another_are_all_answered_when_told_to_end(before: int, after: int) -> None:
    async def main() -> None:
        gated = GatedServer()
        reader, writer = await gated.open()
        writer.write(b"".join(ASK % k for k in range(before)))
        await wait_until(
            lambda: gated.began == 1 and len(gated.caller().pipeline) == before - 1, "they are read"
        )
        gated.door.drain()
        for k in range(after):
            writer.write(ASK % k)
        await wait_until(lambda: gated.door.pending_count() == 1, "at work")
        read = before + after - 1
        if before == 1:  # one that waits behind another stops the reading, so that no more are taken in
            await wait_until(lambda: len(gated.caller().pipeline) == min(read, 1), "the next is read")
        gated.gate.set()
        async with asyncio.timeout(5):
            received = await reader.read(-1)
        assert received.count(b"HTTP/1.1 200") == gated.began >= before + (before == 1) * after
        heads = received.split(b"HTTP/1.1 ")[1:]
        assert [b"connection: close" in head for head in heads] == [False] * (len(heads) - 1) + [True]
        gated.door.shutdown()
        writer.close()

    asyncio.run(main())


def test_a_client_may_rest_for_as_long_as_the_limits_in_force_allow() -> None:
    async def main() -> None:
        gated = GatedServer()
        gated.gate.set()
        reader, writer = await gated.open()
        for idle_s in (10.0, 30.0, 20.0):
            gated.door.limits.idle_timeout_s = idle_s
            writer.write(ASK % 1)
            await reader.readuntil(b"\r\n\r\nx")
            end = gated.caller().timeout_keep_alive_task
            assert end is not None
            assert end.when() - asyncio.get_running_loop().time() > 0.8 * idle_s
        gated.door.shutdown()
        writer.close()

    asyncio.run(main())


def test_a_server_is_at_work_until_its_responses_have_left() -> None:
    async def main() -> None:
        gated = GatedServer(b"z" * (8 << 20))
        gated.gate.set()
        reader, writer = await gated.open()
        writer.write(ASK % 1)
        await wait_until(lambda: gated.began == 1 and not gated.door.server_state.tasks, "it is written")
        pause_reading(writer)
        assert gated.door.pending_count() == 1
        gated.door.drain()
        gated.door.shutdown()
        pause_reading(writer, False)
        async with asyncio.timeout(5):
            received = await reader.read(-1)
        assert received.endswith(gated.body)
        assert received.count(b"z") == len(gated.body)
        assert not gated.door.pending_count()
        writer.close()

    asyncio.run(main())


def test_a_response_that_nobody_reads_is_ended_and_one_that_is_read_is_complete() -> None:
    async def main() -> None:
        gated = GatedServer(bytes(range(256)) * (32 << 10), 0.2)
        gated.gate.set()
        reader, writer = await gated.open()
        writer.write(ASK % 1)
        async with asyncio.timeout(5):
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
            assert await reader.readexactly(len(gated.body)) == gated.body
            pause_reading(writer)
            writer.write(ASK % 2)
            await wait_until(lambda: gated.slow == 1, "it is given up")
        gated.door.shutdown()
        writer.close()

    asyncio.run(main())
