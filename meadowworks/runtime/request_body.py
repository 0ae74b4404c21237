"""Reading the body of a request, within bounds of size, memory and time."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import Protocol

from meadowworks.runtime.asgi import Message, Receive

BODY_TIMEOUT_S = 30.0  # unless the server names one: as long as an operator's slow upload may take


class BodyError(Enum):
    """Why there is no complete body. The values are sentences for the client."""

    TOO_LARGE = "larger than may be"
    OUT_OF_MEMORY = "no room for it beside the others"
    TIMED_OUT = "not there in time"
    DISCONNECTED = "its sender has gone"

    @property
    def counter_label(self) -> str:
        """The word under which a proxy's status counts it; its readers know these words."""
        return COUNTER_LABELS[self]


COUNTER_LABELS = {
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


class _Reservation:
    """The memory that one body has reserved, where there is a budget."""

    def __init__(self, memory: ReservableMemory | None) -> None:
        self._memory = memory
        self._size = 0

    def extend(self, size: int) -> bool:
        """Reserve bytes; False if there are not so many left."""
        if self._memory is None:
            return True
        if not self._memory.reserve(size):
            return False
        self._size += size
        return True

    def release(self) -> None:
        """Release all of it."""
        if self._memory is not None:
            self._memory.release(self._size)


async def read_body(
    receive: Receive,
    max_bytes: int,
    memory: ReservableMemory | None = None,
    timeout_s: float = BODY_TIMEOUT_S,
) -> bytes | BodyError:
    """Read the body of a request.

    A body that comes in parts reserves memory until it is complete.

    :param max_bytes: that the body may have.
    :param memory: what the parts are reserved from; released when this returns.
    :param timeout_s: for all of the body.
    """
    reservation = _Reservation(memory)
    try:
        async with asyncio.timeout(timeout_s):
            message = await receive()
            body: bytes = message.get("body", b"")
            if not _is_request(message):
                return BodyError.DISCONNECTED
            if not message.get("more_body"):
                return body if len(body) <= max_bytes else BodyError.TOO_LARGE
            return await _read_parts(receive, body, max_bytes, reservation)
    except TimeoutError:
        return BodyError.TIMED_OUT
    finally:
        reservation.release()


async def _read_parts(
    receive: Receive, first: bytes, max_bytes: int, reservation: _Reservation
) -> bytes | BodyError:
    """Read what comes after the first part."""
    parts, size = [first], len(first)
    more_to_come = True
    while more_to_come:
        message = await receive()
        part: bytes = message.get("body", b"")
        parts.append(part)
        size += len(part)
        if size > max_bytes:
            return BodyError.TOO_LARGE
        if not reservation.extend(len(part)):
            return BodyError.OUT_OF_MEMORY
        if not _is_request(message):
            return BodyError.DISCONNECTED
        more_to_come = message.get("more_body", False)
    return b"".join(parts)


def _is_request(message: Message) -> bool:
    """Whether the message is a part of the request; otherwise the client has disconnected."""
    return bool(message["type"] == "http.request")
