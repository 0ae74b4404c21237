"""A transport whose far side is a model, and the bytes that the far side says."""

from __future__ import annotations

import asyncio
from functools import cache
from typing import Any, Protocol, cast

from meadowworks.runtime.buffered_stream import BufferedStream
from meadowworks.runtime.http_connection import ClientConnection

OK, NOT_RUN, MISDIRECTED = "200 OK", "503 Full", "421 Misdirected"
CUT_PLACES = ("before the head", "in the head", "at the end of the head", "in the body", "after it")
# Responses to an earlier call that may still come, each with whether it names its request: where requests
# have ids, and where they have none.
SURPLUS_RESPONSES = ((OK, 1), (MISDIRECTED, 1), (NOT_RUN, 0))
SURPLUS_WITHOUT_ID = ((OK, 0), (NOT_RUN, 0))


class TransportObserver(Protocol):
    """Who is told of what the near side writes."""

    violations: set[str]

    def call_of(self, data: bytes) -> str:
        """The id of the call whose request these bytes are."""


def build_response(
    call_id: str, status: str = OK, named: bool = True, framed: bool = True
) -> tuple[bytes, int]:
    """The bytes of a response, and how many of them are its head.

    :param call_id: the call that it answers
    :param named: whether it names its request
    :param framed: whether it states its length
    """
    lines = [f"HTTP/1.1 {status}", "X-Backend-Seal: s", "x-life: l"]
    lines += [f"X-Request-Id: {call_id}", f"x-question: {call_id}"] if named else []
    lines += ["X-Not-Run: 1"] if status == NOT_RUN else []
    lines += ["X-Backend-Id: c"] if status == MISDIRECTED else []
    body = f"of {call_id}".encode()
    lines += [f"Content-Length: {len(body)}"] if framed else []
    head = "\r\n".join([*lines, "", ""]).encode()
    return head + body, len(head)


class ModelTransport:
    """Stands in for the transport of a `ClientConnection`; the far side is the model's."""

    def __init__(self, world: TransportObserver, number: int, instance: str) -> None:
        self.world, self.number, self.host = world, number, instance
        self.is_open = True
        self.requests: list[str] = []  # the ids of those that the far side has read, in order
        self.answered_count = 0
        self.newest_ran = False  # whether the newest request has run
        self.newest_promised_not_run = False  # whether the far side has said that it will not
        self.unsent = b""  # what is still to come of a response that fell silent
        self.stream = BufferedStream()
        self.stream.connection_made(cast(Any, self))
        self.connection = ClientConnection(self.stream, instance, 80)

    def write(self, data: bytes) -> None:
        """Take a request from the near side."""
        if not data:
            return
        if self.stream.buffer or self.stream.at_eof:
            self.world.violations.add("clean lines")
        self.newest_ran = self.newest_promised_not_run = False
        self.requests.append(self.world.call_of(data))

    def is_closing(self) -> bool:
        """Whether the connection has ended."""
        return not self.is_open

    def abort(self) -> None:
        """End the connection from the near side."""
        if self.is_open:
            self.is_open = False
            self.stream.connection_lost(None)

    close = abort

    def get_write_buffer_size(self) -> int:
        """Nothing waits: the far side reads at once."""
        return 0

    def get_extra_info(self, name: str) -> Any:  # noqa: ARG002
        """Know nothing of sockets."""
        return None

    def is_awaited(self) -> bool:
        """Whether the near side waits for bytes."""
        return self.stream.read_waiter is not None and not self.stream.read_waiter.done()

    def pending_request(self) -> str | None:
        """The newest request, if it has no response yet."""
        return self.requests[-1] if len(self.requests) > self.answered_count else None

    def feed(self, data: bytes) -> None:
        """Let bytes arrive at the near side."""
        if self.is_open and data:
            self.stream.data_received(data)


@cache
def event_loop_of(pid: int) -> asyncio.AbstractEventLoop:  # noqa: ARG001  # the cache's key
    """One loop for each process; worlds that are let go leave their tasks unended, which is no fault."""
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda *_: None)
    return loop


def unread_bytes(connection: ClientConnection) -> int:
    """The number of bytes behind a response that the parser holds."""
    return len(connection.http11._h11_state.trailing_data[0])
