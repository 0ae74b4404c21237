"""Long work beside the loop: driven step by step, with the loop's turn given back every few milliseconds.

No thread: all threads of a process share one interpreter lock and, on the users' machines, one core, and a
call into a library may hold that lock for as long as it takes.
"""

from __future__ import annotations

import asyncio
import time
import zlib
from collections.abc import Generator
from contextlib import nullcontext
from typing import TypeVar

TIME_SLICE_S = 0.002  # after so long the loop has its turn
BLOCK_BYTES = 1 << 16  # bytes that are compressed in one step
T = TypeVar("T")
Steps = Generator[None, None, T]


async def run_cooperatively(steps: Steps[T], lock: asyncio.Lock | None = None) -> T:
    """The outcome of all steps. What is done within a slice never waits, but for the lock `one` if it is
    given: of works that need much memory one at a time."""
    async with lock or nullcontext():
        done, value = run_slice(steps)
        while not done:
            await asyncio.sleep(0)
            done, value = run_slice(steps)
    return value  # type: ignore[return-value]


def run_slice(steps: Steps[T]) -> tuple[bool, T | None]:
    """Whether these steps are done, and their outcome then."""
    end = time.monotonic() + TIME_SLICE_S
    try:
        while time.monotonic() < end:
            next(steps)
    except StopIteration as done:
        return True, done.value
    return False, None


def compress_steps(data: bytes, level: int = 6) -> Steps[bytes]:
    """What `zlib.decompress` makes `raw` of."""
    if len(data) <= BLOCK_BYTES:
        return zlib.compress(data, level)
    deflate, parts = zlib.compressobj(level), []
    for at in range(0, len(data), BLOCK_BYTES):
        parts.append(deflate.compress(data[at : at + BLOCK_BYTES]))
        yield
    parts.append(deflate.flush())
    return b"".join(parts)


def decompress_steps(compressed: bytes, max_bytes: int) -> Steps[bytes]:
    """Raises ValueError for what is cut short, is none, or holds more than `most` bytes."""
    inflate, parts, size = zlib.decompressobj(), [], 0
    left = compressed
    while not inflate.eof:
        try:
            parts.append(inflate.decompress(left, BLOCK_BYTES))
        except zlib.error as trouble:
            raise ValueError(str(trouble)) from None
        left = inflate.unconsumed_tail
        size += len(parts[-1])
        if size > max_bytes:
            raise ValueError("more than may be")
        if not left and not parts[-1] and not inflate.eof:
            raise ValueError("cut short")
        if len(parts) % 4 == 0:
            yield
    return b"".join(parts)
