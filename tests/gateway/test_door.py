"""What clients may send: requests within requests, two hosts, headers without end."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from meadowworks.track.door import Door, Limits, answer, whole_body

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
    "a body too large": (
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n" + b"z" * 900,
        [413],
        [],
    ),
}


async def say(data: bytes) -> tuple[list[int], list[bytes], float]:
    """The statuses that come back, the targets that the app has seen, and how long it took."""
    seen: list[bytes] = []

    async def app(scope: Any, receive: Any, send: Any) -> None:
        if await whole_body(receive, 500) is None:
            return await answer(send, 413)
        seen.append(scope["target"])
        await answer(send, 200, b"x")

    door = Door(app, Limits(4000, 0.2, 0.3))
    port = await door.open("127.0.0.1", 0)
    start = asyncio.get_running_loop().time()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    async with asyncio.timeout(5):
        said = await reader.read(-1)  # the door ends it: at once after an error, else when idle
    writer.close()
    door.shut()
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
