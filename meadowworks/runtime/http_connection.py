"""The client side of HTTP/1.1: one `ClientConnection` is one TCP connection, which callers pool themselves.

httpcore's pool is not used: it knows no incarnations of backends, and hands a surplus response to the next
caller. Here a connection whose peer has sent more than its response is never used again.
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

# How long sent bytes may stay unacknowledged: guards against a peer that is unreachable or without power.
# Above any retransmission on a network that works, below the time in which operators expect a fail-over.
USER_TIMEOUT_MS = 2000
# A body above it may fill the window of a peer that does not read: as much as the smallest receive buffers.
LARGE_BODY_BYTES = 4096
CONNECTION_ERRORS = (httpcore.ProtocolError, httpcore.NetworkError, OSError, h11.ProtocolError)


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response: its body came to its length, its last chunk, or its connection's orderly end."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, or None.

        :param name: in lower case.
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class MonitoredConnection(httpcore.AsyncHTTP11Connection):
    """httpcore's connection, which also tells whether bytes came behind a complete response."""

    def __init__(self, origin: httpcore.Origin, stream: BufferedStream) -> None:
        super().__init__(origin, stream)
        self._state_lock = nullcontext()  # type: ignore[assignment]  # see `lightweight_httpcore`
        self._has_surplus_data = False

    @property
    def has_surplus_data(self) -> bool:
        """Whether the peer has sent bytes that belong to no request."""
        return self._has_surplus_data

    async def _response_closed(self) -> None:
        self._has_surplus_data = self._has_surplus_data or bool(self._h11_state.trailing_data[0])
        await super()._response_closed()

    def is_response_complete(self) -> bool:
        """Whether the response that is being read has come to its own end."""
        return self._h11_state.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)


class ClientConnection:
    """A connection to one address, which carries one request at a time."""

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
        """The protocol's state."""
        return self._http11

    @property
    def is_reusable(self) -> bool:
        """False once the connection is closed, or its last response has said that it will be."""
        return self._is_reusable

    def is_usable(self) -> bool:
        """Whether a further request may be sent: it is idle, and the peer has sent nothing since."""
        return self._is_reusable and self._http11.is_idle() and not self._http11.has_expired()

    def close(self) -> None:
        """Close at once, also in the midst of a request."""
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

        :param max_body_bytes: that the response's body may have.
        :param reserve_memory: asked for the bytes of each part of the body; False if there is no memory left.
        A response with neither a length nor chunks is complete if the peer ends the connection in order
        (RFC 9112, section 6.3); one that is cut by a reset is not.

        :raises ConnectionBrokenError: if the connection ends too early, or HTTP/1.1 is violated.
        :raises ResponseTooLargeError: if the body is too large, or there is no memory for it.
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
            raise IncompleteResponseError("a response without its end")
        self._after_response(watch is None or (sending_state is not None and sending_state.all_acknowledged))
        return Response(response.status, response.headers, content)

    def _watch_peer(self) -> PeerWatch | None:
        sock = self._stream.get_extra_info("socket")
        if sock is None:
            return None
        lost = TimeoutError("the peer acknowledges nothing any more")
        return PeerWatch(sock, self._user_timeout_ms, lambda: self._stream.abort(lost))

    def _after_response(self, is_body_acknowledged: bool) -> None:
        """Keep the connection only if it is as it was before the request.

        :param is_body_acknowledged: whether the peer has acknowledged the whole request body, where monitored
        """
        if not is_body_acknowledged or self._stream.has_unsent_data():
            # Guards against a request that waits behind the rest of a body, which its peer may never read.
            self.close()
        if self._http11.has_surplus_data or self._stream.buffer:
            # Guards against bytes that belong to no request: the next caller would take them for its own.
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
            raise ResponseTooLargeError(f"a response of more than {max_bytes} bytes")
        if reserve_memory is not None and not reserve_memory(len(chunk)):
            raise ResponseTooLargeError("no memory is left for a response")
        chunks.append(chunk)
    return b"".join(chunks)


async def connect(
    host: str, port: int, timeout_s: float, user_timeout_ms: int = USER_TIMEOUT_MS
) -> ClientConnection:
    """Connect to an address.

    :param timeout_s: until the connection is made.
    :param user_timeout_ms: after which unacknowledged bytes end the connection.
    :raises ConnectError: if it is refused or unreachable; ConnectTimeoutError after `timeout_s`.
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
    """Send without delay, and let a silent peer end the connection."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
