"""A simulated transport, and the responses that its remote end sends."""

from __future__ import annotations

import asyncio
from functools import cache
from typing import Any, Protocol, cast

from meadowworks.runtime.buffered_stream import BufferedStream
from meadowworks.runtime.http_connection import ClientConnection

OK, NOT_RUN, MISDIRECTED = "200 OK", "503 Full", "421 Misdirected"
CUT_PLACES = ("before the head", "in the head", "at the end of the head", "in the body", "after it")
# Late responses to an earlier call, as (status, whether the response carries the request's id): for requests
# with ids, and for requests without.
SURPLUS_RESPONSES = ((OK, 1), (MISDIRECTED, 1), (NOT_RUN, 0))
SURPLUS_WITHOUT_ID = ((OK, 0), (NOT_RUN, 0))


class TransportObserver(Protocol):
    """Receives the requests that the local end writes, and records violations."""

    violations: set[str]

    def call_id_of(self, data: bytes) -> str:
        """Return the id of the call that sent these request bytes."""


def build_response(
    call_id: str, status: str = OK, has_id: bool = True, framed: bool = True
) -> tuple[bytes, int]:
    """Return the bytes of a response and the length of its head.

    :param call_id: the call that the response belongs to
    :param has_id: whether the response carries the request's id
    :param framed: whether the response has a `Content-Length`
    """
    lines = [f"HTTP/1.1 {status}", "X-Backend-Seal: s", "x-life: l"]
    lines += [f"X-Request-Id: {call_id}", f"x-question: {call_id}"] if has_id else []
    lines += ["X-Not-Run: 1"] if status == NOT_RUN else []
    lines += ["X-Backend-Id: c"] if status == MISDIRECTED else []
    body = f"of {call_id}".encode()
    lines += [f"Content-Length: {len(body)}"] if framed else []
    head = "\r\n".join([*lines, "", ""]).encode()
    return head + body, len(head)


class ModelTransport:
    """Replaces the transport of a `ClientConnection`; the model acts as the remote end."""

    def __init__(self, world: TransportObserver, number: int, instance: str) -> None:
        self.world, self.number, self.host = world, number, instance
        self.is_open = True
        self.requests: list[str] = []  # ids of the requests that the remote end has read, in order
        self.answered_count = 0
        self.newest_ran = False  # whether the newest request has run
        self.newest_promised_not_run = False  # whether the remote end guaranteed that it will not run
        self.unsent = b""  # the part of a stalled response that is held back
        self.stream = BufferedStream()
        self.stream.connection_made(cast(Any, self))
        self.connection = ClientConnection(self.stream, instance, 80)

    def write(self, data: bytes) -> None:
        """Receive a request from the local end."""
        if not data:
            return
        if self.stream.buffer or self.stream.at_eof:
            self.world.violations.add("clean lines")
        self.newest_ran = self.newest_promised_not_run = False
        self.requests.append(self.world.call_id_of(data))

    def is_closing(self) -> bool:
        """Return whether the connection is closed."""
        return not self.is_open

    def abort(self) -> None:
        """Close the connection from the local end."""
        if self.is_open:
            self.is_open = False
            self.stream.connection_lost(None)

    close = abort

    def get_write_buffer_size(self) -> int:
        """Return 0: the remote end reads at once."""
        return 0

    def get_extra_info(self, name: str) -> Any:  # noqa: ARG002
        """Return None: there is no socket."""
        return None

    def is_awaited(self) -> bool:
        """Return whether the local end is waiting for bytes."""
        return self.stream.read_waiter is not None and not self.stream.read_waiter.done()

    def pending_request(self) -> str | None:
        """Return the id of the newest request if it has no response yet."""
        return self.requests[-1] if len(self.requests) > self.answered_count else None

    def feed(self, data: bytes) -> None:
        """Deliver bytes to the local end."""
        if self.is_open and data:
            self.stream.data_received(data)


@cache
def event_loop_of(pid: int) -> asyncio.AbstractEventLoop:  # noqa: ARG001  # the cache's key
    """Return the event loop of a process.

    Its exception handler ignores the unfinished tasks of discarded worlds.
    """
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda *_: None)
    return loop


def unread_byte_count(connection: ClientConnection) -> int:
    """Return the number of bytes after a response that the parser has buffered."""
    return len(connection.http11._h11_state.trailing_data[0])
