"""An HTTP/1.1 client connection. Callers do their own pooling.

httpcore's pool is not used: it does not distinguish the incarnations of a backend, and it passes a surplus
response to the next caller. Here, a connection that received bytes after its response is never reused.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence
from contextlib import nullcontext
from dataclasses import dataclass

import h11

from meadowworks.runtime.buffered_stream import BufferedStream
from meadowworks.runtime.errors import (
    ConnectError,
    ConnectionBrokenError,
    ConnectTimeoutError,
    IncompleteResponseError,
    ResponseTooLargeError,
)
from meadowworks.runtime.lightweight_httpcore import httpcore
from meadowworks.runtime.peer_watch import PeerWatch

Headers = list[tuple[bytes, bytes]]

# TCP_USER_TIMEOUT: ends a connection to an unreachable peer. Longer than retransmissions take on a working
# network, shorter than the failover time that operators expect.
USER_TIMEOUT_MS = 2000
# A larger body may fill the receive window of a peer that does not read. The smallest receive buffer size.
LARGE_BODY_BYTES = 4096
CONNECTION_ERRORS = (httpcore.ProtocolError, httpcore.NetworkError, OSError, h11.ProtocolError)


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response: its body ended at its length, its last chunk, or a clean end of the connection."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header of this name, or None.

        :param name: in lower case.
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class MonitoredConnection(httpcore.AsyncHTTP11Connection):
    """An httpcore connection that also detects bytes received after a complete response."""

    def __init__(self, origin: httpcore.Origin, stream: BufferedStream) -> None:
        super().__init__(origin, stream)
        self._state_lock = nullcontext()  # type: ignore[assignment]  # see `lightweight_httpcore`
        self._has_surplus_data = False

    @property
    def has_surplus_data(self) -> bool:
        """Whether the peer has sent bytes that belong to no response."""
        return self._has_surplus_data

    async def _response_closed(self) -> None:
        self._has_surplus_data = self._has_surplus_data or bool(self._h11_state.trailing_data[0])
        await super()._response_closed()

    def is_response_complete(self) -> bool:
        """Whether the end of the current response was received, as opposed to the end of its connection."""
        return self._h11_state.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)


class ClientConnection:
    """A connection to one address that carries one request at a time."""

    def __init__(
        self, stream: BufferedStream, host: str, port: int, user_timeout_ms: int = USER_TIMEOUT_MS
    ) -> None:
        self._stream = stream
        self._user_timeout_ms = user_timeout_ms
        self._origin = httpcore.Origin(b"http", host.encode(), port)
        self._http11 = MonitoredConnection(self._origin, stream)
        self._is_reusable = True

    @property
    def http11(self) -> MonitoredConnection:
        """The state of the HTTP/1.1 protocol."""
        return self._http11

    @property
    def is_reusable(self) -> bool:
        """False once the connection is closed, or its last response announced that it will be closed."""
        return self._is_reusable

    def is_usable(self) -> bool:
        """Whether another request may be sent: it is reusable and idle, and received no further bytes."""
        return self._is_reusable and self._http11.is_idle() and not self._http11.has_expired()

    def close(self) -> None:
        """Close the connection immediately, even during a request."""
        self._is_reusable = False
        self._stream.close()

    async def request(
        self,
        method: bytes,
        target: bytes,
        headers: Sequence[tuple[bytes, bytes]],
        body: bytes,
        max_body_bytes: int,
        reserve_memory: Callable[[int], bool] | None = None,
    ) -> Response:
        """Send a request and read its complete response; the connection is closed if that fails.

        A response with neither a length nor chunks is complete if the peer closes the connection cleanly
        (RFC 9112, section 6.3), and incomplete after a reset.

        :param max_body_bytes: the maximum size of the response body.
        :param reserve_memory: called with the size of each part of the body; False if no memory is left.
        :raises ConnectionBrokenError: if the connection ends too early, or the peer violates HTTP/1.1.
        :raises IncompleteResponseError: if the end of the response is missing.
        :raises ResponseTooLargeError: if the body is too large, or no memory is left for it.
        """
        url = httpcore.URL(scheme=b"http", host=self._origin.host, port=self._origin.port, target=target)
        watch = self._watch_peer() if len(body) > LARGE_BODY_BYTES else None
        try:
            response = await self._http11.handle_async_request(
                httpcore.Request(method, url, headers=list(headers), content=body)
            )
            content = await _read_content(response, max_body_bytes, reserve_memory)
            complete = self._http11.is_response_complete()
            await response.aclose()
        except CONNECTION_ERRORS as error:
            self.close()
            raise ConnectionBrokenError(f"connection broken: {error}") from None
        except BaseException:
            self.close()
            raise
        finally:
            sending_state = watch.stop() if watch is not None else None
        if not complete:
            self.close()
            raise IncompleteResponseError("the end of the response is missing")
        self._after_response(watch is None or (sending_state is not None and sending_state.all_acknowledged))
        return Response(response.status, response.headers, content)

    def _watch_peer(self) -> PeerWatch | None:
        sock = self._stream.get_extra_info("socket")
        if sock is None:
            return None
        error = TimeoutError("the peer has stopped acknowledging data")
        return PeerWatch(sock, self._user_timeout_ms, lambda: self._stream.abort(error))

    def _after_response(self, is_body_acknowledged: bool) -> None:
        """Close the connection unless it is in the same state as before the request.

        :param is_body_acknowledged: False if the peer has not acknowledged the whole request body.
        """
        if not is_body_acknowledged or self._stream.has_unsent_data():
            # Prevents the next request from being queued behind a body that the peer may never read.
            self.close()
        if self._http11.has_surplus_data or self._stream.buffer:
            # Prevents the next caller from reading surplus bytes as its response.
            self.close()
        if not self._http11.is_idle():
            self._is_reusable = False


async def _read_content(
    response: httpcore.Response, max_bytes: int, reserve_memory: Callable[[int], bool] | None
) -> bytes:
    chunks = []
    size = 0
    async for chunk in response.aiter_stream():
        size += len(chunk)
        if size > max_bytes:
            raise ResponseTooLargeError(f"the response is larger than {max_bytes} bytes")
        if reserve_memory is not None and not reserve_memory(len(chunk)):
            raise ResponseTooLargeError(f"no memory is left for {len(chunk)} bytes of a response")
        chunks.append(chunk)
    return b"".join(chunks)


async def connect(
    host: str, port: int, timeout_s: float, user_timeout_ms: int = USER_TIMEOUT_MS
) -> ClientConnection:
    """Connect to an address.

    :param timeout_s: the time limit for establishing the connection.
    :param user_timeout_ms: the time after which unacknowledged data ends the connection.
    :raises ConnectTimeoutError: if the connection is not established within `timeout_s`.
    :raises ConnectError: if the connection is refused or the address is unreachable.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            transport, stream = await loop.create_connection(BufferedStream, host, port)
    except TimeoutError:
        raise ConnectTimeoutError(f"no connection to {host}:{port} within {timeout_s:g} s") from None
    except OSError as error:
        raise ConnectError(f"no connection to {host}:{port}: {error}") from None
    _set_socket_options(transport.get_extra_info("socket"), user_timeout_ms)
    return ClientConnection(stream, host, port, user_timeout_ms)


def _set_socket_options(sock: socket.socket, user_timeout_ms: int) -> None:
    """Disable Nagle's algorithm, and end the connection if the peer stops acknowledging data."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
