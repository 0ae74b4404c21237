"""What clients may send: requests within requests, two hosts, headers without end."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from meadowworks.forwarding.memory_budget import MemoryBudget
from meadowworks.runtime.http_server import HttpServer
from meadowworks.runtime.request_body import BodyError, read_body
from meadowworks.runtime.response_writer import send_response
from meadowworks.runtime.server_connection import RequestLimits

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


async def say(data: bytes) -> tuple[list[int], list[bytes], float]:
    """The statuses that come back, the targets that the app has seen, and how long it took."""
    seen: list[bytes] = []

    async def app(scope: Any, receive: Any, send: Any) -> None:
        if not isinstance(await read_body(receive, 500), bytes):
            return await send_response(send, 413)
        seen.append(scope["target"])
        await send_response(send, 200, b"x")

    door = HttpServer(app, RequestLimits(4000, 0.2, 0.3))
    port = await door.listen("127.0.0.1", 0)
    start = asyncio.get_running_loop().time()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    async with asyncio.timeout(5):
        said = await reader.read(-1)  # the door ends it: at once after an error, else when idle
    writer.close()
    door.shutdown()
    statuses = [int(part[:3]) for part in said.split(b"HTTP/1.1 ")[1:]]
    return statuses, seen, asyncio.get_running_loop().time() - start


@pytest.mark.parametrize("case", CASES)
def test_what_a_client_sends_is_one_request_or_none(case: str) -> None:
    data, statuses, targets = CASES[case]
    found, seen, _ = asyncio.run(say(data))
    assert (found, seen) == (statuses, targets)


@pytest.mark.parametrize("data", [b"", b"GET /a HT", b"GET /a HTTP/1.1\r\nHost: h\r\n"])
def test_a_client_that_says_nothing_or_never_ends_its_headers_is_ended(data: bytes) -> None:
    statuses, seen, took = asyncio.run(say(data))
    assert not statuses and not seen and took < 2


def parts(*sizes: int, end: bool = True) -> Any:
    """A body in parts; without an end its sender goes away."""
    left = [{"type": "http.request", "body": b"z" * n, "more_body": True} for n in sizes]
    left.append({"type": "http.request" if end else "http.disconnect", "body": b"", "more_body": False})

    async def receive() -> Any:
        return left.pop(0)

    return receive


async def never() -> Any:
    return await asyncio.get_running_loop().create_future()


def test_bodies_share_a_bounded_room_and_give_it_back() -> None:
    async def main() -> None:
        room = MemoryBudget(100)
        assert await read_body(parts(40, 40), 500, room) == b"z" * 80 and room.reserved_bytes == 0
        assert (
            await read_body(parts(60, 60, 60), 500, room) is BodyError.OUT_OF_MEMORY
            and room.reserved_bytes == 0
        )
        assert (
            await read_body(parts(20, 20, end=False), 500, room) is BodyError.DISCONNECTED
            and room.reserved_bytes == 0
        )
        assert await read_body(parts(20, 20), 30, room) is BodyError.TOO_LARGE and room.reserved_bytes == 0
        first = parts(20)

        async def stops() -> Any:
            message = await first()
            return message if message["more_body"] else await never()

        async with asyncio.timeout(1):
            assert (
                await read_body(stops, 500, room, timeout_s=0.01) is BodyError.TIMED_OUT
                and room.reserved_bytes == 0
            )

    asyncio.run(main())


def test_who_is_idle_gives_way_when_there_are_too_many_and_who_is_at_work_does_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("meadowworks.runtime.http_server.CONNECTION_GRACE_NS", 0)

    async def main() -> None:
        gate = asyncio.Event()

        async def app(scope: Any, receive: Any, send: Any) -> None:
            await gate.wait()
            await send_response(send, 200, b"x")

        door = HttpServer(app, RequestLimits(4000, 5, 5), max_connections=2)
        port = await door.listen("127.0.0.1", 0)
        busy = await asyncio.open_connection("127.0.0.1", port)
        busy[1].write(OK)
        while not door.pending_count():
            await asyncio.sleep(0)
        idle = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3)]
        async with asyncio.timeout(5):
            for reader, _ in idle[:2]:  # each gave way to the one that came after it
                assert await reader.read() == b""
        gate.set()
        async with asyncio.timeout(5):
            assert (await busy[0].readline()).startswith(b"HTTP/1.1 200")
        door.shutdown()
        for _, writer in (busy, *idle):
            writer.close()

    asyncio.run(main())


def test_a_body_that_stops_coming_ends_its_connection() -> None:
    half = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nxyz"
    statuses, seen, took = asyncio.run(say(half))
    assert not statuses and not seen and took < 2


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
def test_whatever_bytes_come_each_answer_is_to_one_request_and_the_connection_ends(data: list[bytes]) -> None:
    statuses, seen, took = asyncio.run(say(b"".join(data)))
    assert statuses.count(200) == len(seen) and took < 3
    assert set(statuses) <= {200, 400, 413, 431}
