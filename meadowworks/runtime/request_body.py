"""Reading of request bodies with limits on size, memory and time."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import Protocol

from meadowworks.runtime.asgi import Message, Receive

BODY_TIMEOUT_S = 30.0  # the default time limit for a whole body


class BodyError(Enum):
    """The reason why a body is incomplete. The values are sent to the client."""

    TOO_LARGE = "larger than may be"
    OUT_OF_MEMORY = "no room for it beside the others"
    TIMED_OUT = "not there in time"
    DISCONNECTED = "its sender has gone"

    @property
    def counter_label(self) -> str:
        """The part of the counter's name in a proxy's status, which operators' tools read."""
        return COUNTER_LABELS[self]


COUNTER_LABELS = {
    BodyError.TOO_LARGE: "large",
    BodyError.OUT_OF_MEMORY: "full",
    BodyError.TIMED_OUT: "slow",
    BodyError.DISCONNECTED: "gone",
}


class ReservableMemory(Protocol):
    """A memory budget shared by the bodies of all requests."""

    def reserve(self, size: int) -> bool:
        """Reserve bytes; return False if too few are left."""

    def release(self, size: int) -> None:
        """Release reserved bytes."""


class _Reservation:
    """The memory reserved for one body; unlimited without a budget."""

    def __init__(self, memory: ReservableMemory | None) -> None:
        self._memory = memory
        self._size = 0

    def extend(self, size: int) -> bool:
        """Reserve more bytes; return False if too few are left."""
        if self._memory is None:
            return True
        if not self._memory.reserve(size):
            return False
        self._size += size
        return True

    def release(self) -> None:
        """Release all reserved bytes."""
        if self._memory is not None:
            self._memory.release(self._size)


async def read_body(
    receive: Receive,
    max_bytes: int,
    memory: ReservableMemory | None = None,
    timeout_s: float = BODY_TIMEOUT_S,
) -> bytes | BodyError:
    """Read the body of a request.

    A body that arrives in several parts reserves memory while it is read.

    :param max_bytes: the maximum size of the body.
    :param memory: the budget for the parts after the first; released before this function returns.
    :param timeout_s: the time limit for the whole body.
    :returns: the body, or the reason why it is incomplete.
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
    receive: Receive, first_part: bytes, max_bytes: int, reservation: _Reservation
) -> bytes | BodyError:
    """Read the parts after the first one, and return the whole body."""
    parts, size = [first_part], len(first_part)
    has_more = True
    while has_more:
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
        has_more = message.get("more_body", False)
    return b"".join(parts)


def _is_request(message: Message) -> bool:
    """Whether the message is a part of the request, as opposed to a disconnect."""
    return bool(message["type"] == "http.request")
