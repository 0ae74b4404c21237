"""Reading the body of a request, within bounds of size, memory and time."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import Protocol

from meadowworks.runtime.asgi import Message, Receive

BODY_TIMEOUT_S = 30.0  # where a caller names none: as long as an operator's slow upload may take


class BodyError(Enum):
    """Why there is no complete body. The values are sentences for the client."""

    TOO_LARGE = "larger than may be"
    OUT_OF_MEMORY = "no room for it beside the others"
    TIMED_OUT = "not there in time"
    DISCONNECTED = "its sender has gone"

    @property
    def counter(self) -> str:
        """The word under which a proxy's status counts it; its readers know these words."""
        return COUNTERS[self]


COUNTERS = {
    BodyError.TOO_LARGE: "large",
    BodyError.OUT_OF_MEMORY: "full",
    BodyError.TIMED_OUT: "slow",
    BodyError.DISCONNECTED: "gone",
}


class ReservableMemory(Protocol):
    """Bytes that the bodies of all requests share."""

    def reserve(self, size: int) -> bool:
        """Reserve bytes; False if there are not so many left."""

    def release(self, size: int) -> None:
        """Release reserved bytes."""


async def read_body(
    receive: Receive,
    max_bytes: int,
    memory: ReservableMemory | None = None,
    timeout_s: float = BODY_TIMEOUT_S,
) -> bytes | BodyError:
    """Read the body of a request.

    A body that comes at once costs nothing; one that comes in parts reserves memory until it is complete.

    :param max_bytes: that the body may have.
    :param memory: what the parts are reserved from; released when this returns.
    :param timeout_s: for all of the parts after the first.
    """
    message = await receive()
    body: bytes = message.get("body", b"")
    if _is_request(message) and not message.get("more_body") and len(body) <= max_bytes:
        return body
    chunks, size = [body], len(body)
    reserved = 0
    try:
        async with asyncio.timeout(timeout_s):
            while _is_request(message) and message.get("more_body"):
                message = await receive()
                chunk: bytes = message.get("body", b"")
                chunks.append(chunk)
                size += len(chunk)
                if size > max_bytes:
                    return BodyError.TOO_LARGE
                if memory is not None:
                    if not memory.reserve(len(chunk)):
                        return BodyError.OUT_OF_MEMORY
                    reserved += len(chunk)
    except TimeoutError:
        return BodyError.TIMED_OUT
    finally:
        if memory is not None:
            memory.release(reserved)
    if not _is_request(message):
        return BodyError.DISCONNECTED
    return b"".join(chunks) if size <= max_bytes else BodyError.TOO_LARGE


def _is_request(message: Message) -> bool:
    """Whether the message is a part of the request, and not the news that the client has gone."""
    return bool(message["type"] == "http.request")
