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

from meadowworks.runtime.errors import RequestError  # noqa: E402

# httpcore takes its lock and its shield from anyio, whose import is most of a first call. A line carries
# one request at a time, and its stream ends without waiting: neither has anything to guard.
http11.AsyncShieldCancellation = nullcontext  # type: ignore[attr-defined, assignment]

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class Response:
    """A whole answer: it came to the length that it announced, or to its last chunk."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """The value of a header, `name` in small letters."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class BufferedStream(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """httpcore's stream over an asyncio transport: bytes wait here until they are read."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.buffer = bytearray()
        self.at_eof = False
        self.read_waiter: asyncio.Future[None] | None = None
        self.bytes_read = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        self.wake_reader()

    def eof_received(self) -> bool:
        self.at_eof = True
        self.wake_reader()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.at_eof = True
        self.wake_reader()

    def wake_reader(self) -> None:
        if self.read_waiter is not None and not self.read_waiter.done():
            self.read_waiter.set_result(None)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        while not self.buffer and not self.at_eof:
            self.read_waiter = asyncio.get_running_loop().create_future()
            try:
                await self.read_waiter
            finally:
                self.read_waiter = None
        data = bytes(self.buffer[:max_bytes])
        del self.buffer[:max_bytes]
        self.bytes_read += len(data)
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
            return self.at_eof or bool(self.buffer) or self.transport.is_closing()
        return self.transport.get_extra_info(info)


class MonitoredConnection(AsyncHTTP11Connection):
    """A connection that tells of bytes behind a whole answer."""

    has_surplus_data = False

    def __init__(self, origin: Origin, stream: BufferedStream) -> None:
        super().__init__(origin, stream)
        self._state_lock = nullcontext()  # type: ignore[assignment]

    async def _response_closed(self) -> None:
        self.has_surplus_data = self.has_surplus_data or bool(self._h11_state.trailing_data[0])
        await super()._response_closed()

    def response_complete(self) -> bool:
        return self._h11_state.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)


class ClientConnection:
    """One connection to one address. Raises NoAnswer; never more than one request at a time."""

    def __init__(self, stream: BufferedStream, host: str, port: int) -> None:
        self.stream = stream
        self.origin = Origin(b"http", host.encode(), port)
        self.http11 = MonitoredConnection(self.origin, stream)
        self.reusable = True  # whether it may carry a further request

    def usable(self) -> bool:
        return self.reusable and self.http11.is_idle() and not self.http11.has_expired()

    def close(self) -> None:
        self.reusable = False
        self.stream.close()

    async def request(
        self,
        method: bytes,
        target: bytes,
        headers: Sequence[tuple[bytes, bytes]],
        body: bytes,
        max_body_bytes: int,
        reserve_memory: Callable[[int], bool] | None = None,
    ) -> Response:
        """One request and its whole answer of `most` bytes at most, for which `take` must find room. An
        answer that has neither length nor chunks is none: its end can't be told from a break."""
        url = httpcore.URL(scheme=b"http", host=self.origin.host, port=self.origin.port, target=target)
        request = Request(method, url, headers=list(headers), content=body)
        try:
            response = await self.http11.handle_async_request(request)
            chunks, size = [], 0
            async for chunk in response.aiter_stream():
                size += len(chunk)
                if size > max_body_bytes or reserve_memory is not None and not reserve_memory(len(chunk)):
                    raise RequestError("an answer too large", True)
                chunks.append(chunk)
            whole = self.http11.response_complete()
            await response.aclose()
        except (httpcore.ProtocolError, httpcore.NetworkError, OSError, h11.ProtocolError) as trouble:
            self.close()
            raise RequestError(f"broken off: {trouble}", True) from None
        except BaseException:
            self.close()
            raise
        names = [name.lower() for name, _ in response.headers]
        framed = b"content-length" in names or b"transfer-encoding" in names or response.status in (204, 304)
        if not whole or not framed and method != b"HEAD":
            self.close()
            raise RequestError("an answer without an end of its own", True)
        if self.http11.has_surplus_data or self.stream.buffer:
            # Guards against bytes that belong to no request: the next caller would take them for its answer.
            self.close()
        if not self.http11.is_idle():
            self.reusable = False
        return Response(response.status, response.headers, b"".join(chunks))


def set_socket_options(sock: socket.socket, user_timeout_ms: int) -> None:
    """Guards against a peer that is behind a cut or without power: its silence ends the connection."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)


async def connect(host: str, port: int, timeout_s: float, user_timeout_ms: int = 2000) -> ClientConnection:
    """Raises NoAnswer with `ran` false: nothing has been sent."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            transport, stream = await loop.create_connection(BufferedStream, host, port)
    except (OSError, TimeoutError) as trouble:
        raise RequestError(f"no connection to {host}:{port}: {trouble or 'silence'}", False) from None
    set_socket_options(transport.get_extra_info("socket"), user_timeout_ms)
    return ClientConnection(stream, host, port)
