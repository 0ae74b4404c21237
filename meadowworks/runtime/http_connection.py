"""Calls by HTTP/1.1: one `Line` is one connection of httpcore's over a stream of our own.

httpcore's pool is not used: it knows no lives of backends, and hands a surplus answer to the next caller.
Here a line whose peer has said more than its answer is never used again.
"""

from __future__ import annotations

import asyncio
import socket
import sys
from collections.abc import Callable, Sequence
from contextlib import nullcontext
from dataclasses import dataclass
from typing import Any

import h11

sys.modules.setdefault("trio", None)  # type: ignore[arg-type]  # httpcore imports it where it finds it: half of a start
import httpcore  # noqa: E402
from httpcore import AsyncHTTP11Connection, Origin, Request  # noqa: E402
from httpcore._async import http11  # noqa: E402

from meadowworks.runtime.errors import NoAnswer  # noqa: E402

# httpcore takes its lock and its shield from anyio, whose import is most of a first call. A line carries
# one request at a time, and its stream ends without waiting: neither has anything to guard.
http11.AsyncShieldCancellation = nullcontext  # type: ignore[attr-defined, assignment]

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer: it came to the length that it announced, or to its last chunk."""

    status: int
    headers: Headers
    body: bytes

    def get(self, name: bytes) -> bytes | None:
        """The value of a header, `name` in small letters."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class Stream(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """httpcore's stream over an asyncio transport: bytes wait here until they are read."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.buffer = bytearray()
        self.ended = False
        self.waiter: asyncio.Future[None] | None = None
        self.read_any = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        self.wake()

    def eof_received(self) -> bool:
        self.ended = True
        self.wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = True
        self.wake()

    def wake(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        while not self.buffer and not self.ended:
            self.waiter = asyncio.get_running_loop().create_future()
            try:
                await self.waiter
            finally:
                self.waiter = None
        data = bytes(self.buffer[:max_bytes])
        del self.buffer[:max_bytes]
        self.read_any += len(data)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        if self.transport.is_closing():
            raise httpcore.WriteError("the connection is closed")
        self.transport.write(buffer)

    async def aclose(self) -> None:
        self.close()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def get_extra_info(self, info: str) -> Any:
        if info == "is_readable":  # while idle: an end, or bytes that belong to no request
            return self.ended or bool(self.buffer) or self.transport.is_closing()
        return self.transport.get_extra_info(info)


class Watched(AsyncHTTP11Connection):
    """A connection that tells of bytes behind a whole answer."""

    surplus = False

    def __init__(self, origin: Origin, stream: Stream) -> None:
        super().__init__(origin, stream)
        self._state_lock = nullcontext()  # type: ignore[assignment]

    async def _response_closed(self) -> None:
        self.surplus = self.surplus or bool(self._h11_state.trailing_data[0])
        await super()._response_closed()

    def whole(self) -> bool:
        return self._h11_state.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)


class Line:
    """One connection to one address. Raises NoAnswer; never more than one request at a time."""

    def __init__(self, stream: Stream, host: str, port: int) -> None:
        self.stream = stream
        self.origin = Origin(b"http", host.encode(), port)
        self.connection = Watched(self.origin, stream)
        self.keep = True  # whether it may carry a further request

    def usable(self) -> bool:
        return self.keep and self.connection.is_idle() and not self.connection.has_expired()

    def close(self) -> None:
        self.keep = False
        self.stream.close()

    async def ask(
        self,
        method: bytes,
        target: bytes,
        headers: Sequence[tuple[bytes, bytes]],
        body: bytes,
        most: int,
        take: Callable[[int], bool] | None = None,
    ) -> Reply:
        """One request and its whole answer of `most` bytes at most, for which `take` must find room. An
        answer that has neither length nor chunks is none: its end can't be told from a break."""
        url = httpcore.URL(scheme=b"http", host=self.origin.host, port=self.origin.port, target=target)
        request = Request(method, url, headers=list(headers), content=body)
        try:
            response = await self.connection.handle_async_request(request)
            chunks, size = [], 0
            async for chunk in response.aiter_stream():
                size += len(chunk)
                if size > most or take is not None and not take(len(chunk)):
                    raise NoAnswer("an answer too large", True)
                chunks.append(chunk)
            whole = self.connection.whole()
            await response.aclose()
        except (httpcore.ProtocolError, httpcore.NetworkError, OSError, h11.ProtocolError) as trouble:
            self.close()
            raise NoAnswer(f"broken off: {trouble}", True) from None
        except BaseException:
            self.close()
            raise
        names = [name.lower() for name, _ in response.headers]
        framed = b"content-length" in names or b"transfer-encoding" in names or response.status in (204, 304)
        if not whole or not framed and method != b"HEAD":
            self.close()
            raise NoAnswer("an answer without an end of its own", True)
        if self.connection.surplus or self.stream.buffer:
            # Guards against bytes that belong to no request: the next caller would take them for its answer.
            self.close()
        if not self.connection.is_idle():
            self.keep = False
        return Reply(response.status, response.headers, b"".join(chunks))


def options(sock: socket.socket, silent_ms: int) -> None:
    """Guards against a peer that is behind a cut or without power: its silence ends the connection."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silent_ms)


async def connect(host: str, port: int, wait_s: float, silent_ms: int = 2000) -> Line:
    """Raises NoAnswer with `ran` false: nothing has been sent."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(wait_s):
            transport, stream = await loop.create_connection(Stream, host, port)
    except (OSError, TimeoutError) as trouble:
        raise NoAnswer(f"no connection to {host}:{port}: {trouble or 'silence'}", False) from None
    options(transport.get_extra_info("socket"), silent_ms)
    return Line(stream, host, port)
