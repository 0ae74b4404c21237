"""`http_server`: what a client sends is served as one request, or rejected, and never holds a connection."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from meadowworks.runtime.clock import now_ns
from meadowworks.runtime.http_server import HttpServer
from meadowworks.runtime.request_body import read_body
from meadowworks.runtime.response_writer import send_response
from meadowworks.runtime.server_connection import RequestLimits
from tests.gateway.helpers import wait_until

LIMITS = RequestLimits(max_header_bytes=4000, header_timeout_s=0.2, idle_timeout_s=0.3)
OK = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
CASES = {
    "one as it should be": (OK, [200], [b"/a"]),
    "two, one after the other": (OK + OK.replace(b"/a", b"/b"), [200, 200], [b"/a", b"/b"]),
    "both lengths, another request behind": (
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        + OK,
        [400],
        [],
    ),
    "two unlike lengths": (
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy",
        [400],
        [],
    ),
    "a bare line end": (b"GET /a HTTP/1.1\nHost: h\n\n", [400], []),
    "a folded header": (b"GET /a HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n", [400], []),
    "two hosts": (b"GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", [400], []),
    "no host": (b"GET /a HTTP/1.1\r\n\r\n", [400], []),
    "an absolute target": (b"GET http://x/a HTTP/1.1\r\nHost: h\r\n\r\n", [400], []),
    "an absolute target of the host": (b"GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n", [200], [b"/a"]),
    "an absolute target in capitals": (
        b"GET http://H:80/a?b=/c HTTP/1.1\r\nHost: h:80\r\n\r\n",
        [200],
        [b"/a?b=/c"],
    ),
    "an absolute target without a path": (b"GET http://h HTTP/1.1\r\nHost: h\r\n\r\n", [200], [b"/"]),
    "an absolute target of no host": (b"GET http:///a HTTP/1.1\r\nHost: h\r\n\r\n", [400], []),
    "an absolute target of two hosts": (b"GET http://h/a HTTP/1.1\r\nHost: h\r\nHost: x\r\n\r\n", [400], []),
    "headers too large": (b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 5000 + b"\r\n\r\n", [431], []),
    "headers without end": (b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 5000, [431], []),
    "garbage behind a whole request": (OK + b"Content-Length: 3\r\n", [200], [b"/a"]),
    "a broken body behind a whole request": (
        OK + b"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        [200],
        [b"/a"],
    ),
    "two hosts behind a whole request": (
        OK + OK.replace(b"/a", b"/b") + OK.replace(b"Host", b"Host: i\r\nHost") + OK,
        [200, 200],
        [b"/a", b"/b"],
    ),
    "more ahead of their answers than may be": (OK * 40, [200] * 17, [b"/a"] * 17),
    "a body too large": (
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n" + b"z" * 900,
        [413],
        [],
    ),
    "a request behind a body too large": (
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n" + b"z" * 900 + OK,
        [413, 200],
        [b"/a"],
    ),
}


@dataclass(frozen=True)
class Exchange:
    """What a client got back, and what the application saw of its requests."""

    statuses: list[int]
    targets: list[bytes]
    took_s: float


async def received_from(app: Any, data: bytes) -> bytes:
    """Send bytes to an application over a connection of its own, and read until the server closes it."""
    server = HttpServer(app, LIMITS)
    reader, writer = await asyncio.open_connection("127.0.0.1", await server.listen("127.0.0.1", 0))
    writer.write(data)
    async with asyncio.timeout(5):
        received = await reader.read(-1)  # the server ends it: at once after an error, else when idle
    writer.close()
    server.shutdown()
    return received


async def exchange(data: bytes) -> Exchange:
    """What comes of bytes at an application that reads bodies."""
    targets: list[bytes] = []

    async def app(scope: Any, receive: Any, send: Any) -> None:
        if not isinstance(await read_body(receive, 500), bytes):
            await send_response(send, 413)
            return
        targets.append(scope["target"])
        await send_response(send, 200, b"x")

    begin = asyncio.get_running_loop().time()
    received = await received_from(app, data)
    statuses = [int(part[:3]) for part in received.split(b"HTTP/1.1 ")[1:]]
    return Exchange(statuses, targets, asyncio.get_running_loop().time() - begin)


@pytest.mark.parametrize("case", CASES)
def test_what_a_client_sends_is_one_request_or_none(case: str) -> None:
    data, statuses, targets = CASES[case]
    found = asyncio.run(exchange(data))
    assert found.statuses == statuses
    assert found.targets == targets


@pytest.mark.parametrize("data", [b"", b"GET /a HT", b"GET /a HTTP/1.1\r\nHost: h\r\n"])
def test_a_connection_without_complete_headers_is_closed_in_time(data: bytes) -> None:
    found = asyncio.run(exchange(data))
    assert not found.statuses
    assert not found.targets
    assert found.took_s < 2


def test_a_connection_whose_body_stops_coming_is_closed_in_time() -> None:
    half = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nxyz"
    found = asyncio.run(exchange(half))
    assert not found.statuses
    assert not found.targets
    assert found.took_s < 2


async def disconnect_during_first(read_ahead: bytes) -> bool:
    """Whether the server sees that a client has gone while its first request is served, and more was sent."""
    at_work, done, connections = asyncio.Event(), asyncio.Event(), []

    async def app(scope: Any, receive: Any, send: Any) -> None:
        await read_body(receive, 500)
        connections.append(scope["connection"])
        at_work.set()
        await done.wait()
        await send_response(send, 200, b"x")

    server = HttpServer(app, LIMITS)
    port = await server.listen("127.0.0.1", 0)
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(OK)
    await at_work.wait()
    writer.write(read_ahead)
    ahead = read_ahead.count(OK)
    await wait_until(lambda: len(connections[0].pipeline) >= ahead, "it has arrived")
    writer.close()
    with contextlib.suppress(AssertionError):
        await wait_until(lambda: connections[0].disconnected, "it is seen", 0.5)
    seen = connections[0].disconnected
    done.set()
    await wait_until(lambda: not server.pending_count(), "it is over")
    server.shutdown()
    assert len(connections) == 1  # nothing of what was read ahead is served
    return bool(seen)


@pytest.mark.parametrize("ahead", [0, 1, 3, 7])
def test_a_client_that_goes_is_seen_with_requests_read_ahead(ahead: int) -> None:
    assert asyncio.run(disconnect_during_first(OK * ahead))


def test_the_time_of_a_request_begins_with_its_headers_also_behind_another() -> None:
    waited_s: list[float] = []

    async def app(scope: Any, receive: Any, send: Any) -> None:
        waited_s.append((now_ns() - scope["received_ns"]) / 1e9)
        await read_body(receive, 500)
        await asyncio.sleep(0.1)
        await send_response(send, 200)

    asyncio.run(received_from(app, OK + OK))
    assert waited_s[0] < 0.1 <= waited_s[1]


def test_what_comes_too_late_behind_a_request_does_not_cost_its_response() -> None:
    async def app(scope: Any, receive: Any, send: Any) -> None:
        await read_body(receive, 500)
        await asyncio.sleep(2 * LIMITS.header_timeout_s)
        await send_response(send, 200, scope["target"])

    received = asyncio.run(received_from(app, OK + b"GET /late HTTP/1.1\r\nHost:"))
    assert received.count(b"HTTP/1.1 200") == 1
    assert received.endswith(b"/a")


PIECES = st.sampled_from(
    [
        OK,
        b"GET /a HTTP/1.1\r\nHost: h\r\n",
        b"POST /a HTTP/1.1\r\n",
        b"Content-Length: 3\r\n",
        b"Content-Length: -1\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: x\r\n",
        b"Host: i\r\n",
        b"Connection: close\r\n",
        b"\r\n",
        b"3\r\nabc\r\n0\r\n\r\n",
        b"ffffffffffffffff\r\n",
        b"\x00\xff",
        b"abc",
    ]
)


@settings(max_examples=60, deadline=None, database=None, derandomize=True)
@given(st.lists(st.one_of(PIECES, st.binary(max_size=12)), max_size=7))
def test_whatever_bytes_come_each_response_is_to_one_request_and_the_connection_ends(
    data: list[bytes],
) -> None:
    found = asyncio.run(exchange(b"".join(data)))
    assert found.statuses.count(200) == len(found.targets)
    assert found.took_s < 3
    assert set(found.statuses) <= {200, 400, 413, 431}


def test_an_idle_connection_is_evicted_when_there_are_too_many_and_a_served_one_is_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("meadowworks.runtime.http_server.CONNECTION_GRACE_NS", 0)

    async def main() -> None:
        gate = asyncio.Event()

        async def app(_scope: Any, _receive: Any, send: Any) -> None:
            await gate.wait()
            await send_response(send, 200, b"x")

        server = HttpServer(app, RequestLimits(4000, 5, 5), max_connections=2)
        port = await server.listen("127.0.0.1", 0)
        served = await asyncio.open_connection("127.0.0.1", port)
        served[1].write(OK)
        while not server.pending_count():
            await asyncio.sleep(0)
        idle = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3)]
        async with asyncio.timeout(5):
            for reader, _ in idle[:2]:  # each made way for the one that came after it
                assert await reader.read() == b""
        gate.set()
        async with asyncio.timeout(5):
            assert (await served[0].readline()).startswith(b"HTTP/1.1 200")
        server.shutdown()
        for _, writer in (served, *idle):
            writer.close()

    asyncio.run(main())
