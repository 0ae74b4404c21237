"""Tests of `runtime.request_body`: the limits on size, memory and time."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from meadowworks.forwarding.memory_budget import MemoryBudget
from meadowworks.runtime.request_body import BodyError, read_body


def parts(*sizes: int, complete: bool = True) -> Any:
    """Return the `receive` function of a body in parts; if it is incomplete, the client disconnects."""
    messages = [{"type": "http.request", "body": b"z" * size, "more_body": True} for size in sizes]
    end = "http.request" if complete else "http.disconnect"
    messages.append({"type": end, "body": b"", "more_body": False})

    async def receive() -> Any:
        return messages.pop(0)

    return receive


@pytest.mark.parametrize(
    ("receive", "max_bytes", "expected"),
    [
        (parts(40, 40), 500, b"z" * 80),
        (parts(60, 60, 60), 500, BodyError.OUT_OF_MEMORY),
        (parts(20, 20, complete=False), 500, BodyError.DISCONNECTED),
        (parts(20, 20), 30, BodyError.TOO_LARGE),
    ],
)
def test_bodies_share_bounded_memory_and_release_it(
    receive: Any, max_bytes: int, expected: bytes | BodyError
) -> None:
    memory = MemoryBudget(100)
    assert asyncio.run(read_body(receive, max_bytes, memory)) == expected
    assert memory.reserved_bytes == 0


def test_a_body_that_never_arrives_times_out() -> None:
    async def main() -> None:
        async def receive_nothing() -> Any:
            return await asyncio.get_running_loop().create_future()

        async with asyncio.timeout(1):
            assert await read_body(receive_nothing, 500, timeout_s=0.01) is BodyError.TIMED_OUT

    asyncio.run(main())


def test_a_stalled_body_times_out_and_releases_its_memory() -> None:
    async def main() -> None:
        memory = MemoryBudget(100)
        first = parts(20)

        async def receive_and_stop() -> Any:
            message = await first()
            if message["more_body"]:
                return message
            return await asyncio.get_running_loop().create_future()

        async with asyncio.timeout(1):
            result = await read_body(receive_and_stop, 500, memory, timeout_s=0.01)
        assert result is BodyError.TIMED_OUT
        assert memory.reserved_bytes == 0

    asyncio.run(main())
