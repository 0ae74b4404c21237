"""One connection of an HTTP/1.1 server: uvicorn's protocol, with limits that it does not enforce itself."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol, RequestResponseCycle

from meadowworks.runtime.clock import now_ns
from meadowworks.runtime.connection_limit import ConnectionLimit
from meadowworks.runtime.lingering_transport import LingeringTransport

# Headers between the gateway's programs: which call a response answers, and which process answers it.
CALL_ID_HEADER = b"x-question"
INCARNATION_HEADER = b"x-life"
MAX_PIPELINED_REQUESTS = 16  # that wait for a response: more than clients that pipeline at all send
# Up to as many are read ahead: while bytes are read, the end of the connection is seen.
READ_AHEAD_REQUESTS = 8
ABSOLUTE_FORM_SCHEMES = (b"http://", b"https://")
HEADER_LINE_OVERHEAD = 4  # bytes beside a header's name and value: ": " and the end of the line


@dataclass(slots=True)
class RequestLimits:
    """What a client may send, and how long it may take. They may change while a server is open."""

    max_header_bytes: int = 16384
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(slots=True)
class SharedState:
    """What all connections of a server share.

    :ivar draining: each response is the last of its connection.
    :ivar connection_limit: if there is one, idle connections are closed when there are too many.
    :ivar incarnation: if not empty, each response names its call and this incarnation.
    """

    limits: RequestLimits = field(default_factory=RequestLimits)
    draining: bool = False
    connection_limit: ConnectionLimit[ServerConnection] | None = None
    incarnation: bytes = b""


class Rejection(Enum):
    """A request that is answered without being read: status and reason."""

    HEADERS_TOO_LARGE = 431, "headers too large"
    NOT_ONE_HOST = 400, "one Host is needed"
    TARGET_IS_NO_PATH = 400, "the target is no path"
    TARGET_OF_ANOTHER_HOST = 400, "the target names another host than Host"

    def response(self) -> bytes:
        """The bytes of the response."""
        status, reason = self.value
        return (
            f"HTTP/1.1 {status} Refused\r\ncontent-type: text/plain\r\nconnection: close\r\n"
            f"content-length: {len(reason)}\r\n\r\n{reason}"
        ).encode()


class ServerConnection(HttpToolsProtocol):
    """One connection of a client.

    Guards against headers that are too large or never end, bodies that stop coming, several hosts in one
    request, and too many pipelined requests.

    :ivar on_disconnect: called once when the client has gone; set by the request that is being served.
    """

    def __init__(self, shared: SharedState, **uvicorn_arguments: Any) -> None:
        super().__init__(**uvicorn_arguments)
        self.on_disconnect: Callable[[], None] | None = None
        self._shared = shared
        self._deadline: asyncio.TimerHandle | None = None  # for what the client has to send next
        self._request_bytes = 0  # received since the newest request began
        self._reading_headers = False
        self._reading_body = False
        self._discarding_input = False
        self._previous_cycle: RequestResponseCycle | None = None  # of the request before the newest
        self._has_pipelined = False  # a request came ahead of a response: more may lie unread
        self._disconnected = False

    @property
    def disconnected(self) -> bool:
        """Whether the client has gone."""
        return self._disconnected

    @property
    def reading_headers(self) -> bool:
        """Whether the headers of a request are on their way."""
        return self._reading_headers

    # -- asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start to read, and evict an idle connection if there are too many."""
        super().connection_made(LingeringTransport(transport, self))  # type: ignore[arg-type]
        self._refresh_idle_timeout()
        self._set_deadline(self._shared.limits.idle_timeout_s)
        limit = self._shared.connection_limit
        if limit is None:
            return
        limit.on_open(self._now_ns(), self)
        if limit.open_count > limit.max_connections:
            evicted = limit.next_eviction(self._now_ns()).connection or self
            evicted.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Let go of everything, and tell the request that is being served."""
        self._cancel_deadline()
        if self._shared.connection_limit:
            self._shared.connection_limit.on_close(self)
        super().connection_lost(exc)
        self._disconnected = True
        if self.scope is not None:
            self.scope.pop("connection", None)  # type: ignore[typeddict-item]  # a reference cycle less
        if self.on_disconnect is not None:
            self.on_disconnect()

    def data_received(self, data: bytes) -> None:
        """Parse bytes, within the limits of the request that they belong to."""
        if self._discarding_input:
            return
        super().data_received(data)
        self._request_bytes += len(data)
        if self._reading_body:  # guards against a body that stops coming
            self._set_deadline(self._shared.limits.idle_timeout_s)
        too_large = self._request_bytes > self._shared.limits.max_header_bytes
        if self._reading_headers and too_large and not self.transport.is_closing():
            self._reject(Rejection.HEADERS_TOO_LARGE)

    # -- callbacks of the parser

    def on_message_begin(self) -> None:
        """Begin a request."""
        if self._discarding_input:
            return
        if len(self.pipeline) >= MAX_PIPELINED_REQUESTS:
            raise ValueError("too many pipelined requests")  # the parser stops, and calls `send_400_response`
        super().on_message_begin()
        self._request_bytes = 0
        self._reading_headers = True
        self._set_deadline(self._shared.limits.header_timeout_s)

    def on_headers_complete(self) -> None:
        """Check the headers, and start the request's handler."""
        if self._discarding_input:
            return
        self._reading_headers = False
        self._reading_body = True
        self._cancel_deadline()
        self._strip_authority()
        if (rejection := self._check_headers()) is not None:
            self._reject(rejection)
            return
        self.scope["target"] = self.url  # type: ignore[typeddict-unknown-key]
        self.scope["connection"] = self  # type: ignore[typeddict-unknown-key]
        self.scope["received_ns"] = now_ns()  # type: ignore[typeddict-unknown-key]
        self._previous_cycle = self.cycle
        if self.cycle is not None and not self.cycle.response_complete:
            if not self._is_owed_a_response(self.cycle):
                self._discarding_input = True
                return
            self._has_pipelined = True
        super().on_headers_complete()
        if self.pipeline and len(self.pipeline) < READ_AHEAD_REQUESTS:
            # uvicorn reads nothing more until the response is complete. Guards against work for a client that
            # has gone, which would not be seen then; a body that is large still stops the reading.
            self.flow.resume_reading()
        self._prepare_response()

    def on_body(self, body: bytes) -> None:
        """Hand a part of the body to the request's handler."""
        if not self.transport.is_closing() and not self._discarding_input:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """End a request: from here to the end of its response the connection is not evicted."""
        if self._discarding_input:
            return
        self._reading_body = False
        self._cancel_deadline()
        if self._shared.connection_limit:
            self._shared.connection_limit.protect(self)
        if not self.transport.is_closing():
            super().on_message_complete()

    def send_400_response(self, msg: str) -> None:
        """Answer what is not HTTP/1.1, unless complete requests before it are still served."""
        if not self._close_after_pending():
            super().send_400_response(msg)

    # -- callback of the response

    def on_response_complete(self) -> None:
        """Wait for the next request."""
        self._refresh_idle_timeout()
        super().on_response_complete()
        if self._shared.connection_limit and not self.transport.is_closing() and self.cycle.response_complete:
            self._shared.connection_limit.on_idle(self._now_ns(), self)

    # -- lingering_transport.InputReader

    def may_have_unread_input(self) -> bool:
        """Whether the client has sent requests ahead of responses: more may lie unread."""
        return self._has_pipelined

    def discard_input(self) -> None:
        """Read and drop whatever comes from now on."""
        self._discarding_input = True
        self.flow.resume_reading()

    # -- inside

    def _strip_authority(self) -> None:
        """Turn a target in absolute form into origin form, if it names the host that `Host` names.

        Source: RFC 9112, section 3.2.2: a server must accept the absolute form.
        """
        if not self.url.startswith(ABSOLUTE_FORM_SCHEMES):
            return
        authority, slash, path = self.url.partition(b"://")[2].partition(b"/")
        if any(name == b"host" and value.lower() == authority.lower() for name, value in self.headers):
            self.url = slash + path if slash else b"/"

    def _check_headers(self) -> Rejection | None:
        """Why the request is not served, if it is not."""
        size = sum(len(name) + len(value) + HEADER_LINE_OVERHEAD for name, value in self.headers)
        if size + len(self.url) > self._shared.limits.max_header_bytes:
            return Rejection.HEADERS_TOO_LARGE
        if sum(name == b"host" for name, _ in self.headers) != 1:
            # Guards against two readers of one request that go by different hosts.
            return Rejection.NOT_ONE_HOST
        if self.url.startswith(ABSOLUTE_FORM_SCHEMES):
            # Guards against two readers of one request that go by different hosts.
            return Rejection.TARGET_OF_ANOTHER_HOST
        if not self.url.startswith(b"/"):
            return Rejection.TARGET_IS_NO_PATH
        return None

    @staticmethod
    def _is_owed_a_response(previous: RequestResponseCycle) -> bool:
        """Whether the request behind `previous` is served, and not dropped with a closing connection."""
        if not previous.keep_alive:
            if previous.response_started:  # its headers have said `connection: close`
                return False
            previous.keep_alive = (
                True  # the new one is the last now: it has been read, and is owed a response
            )
        return True

    def _prepare_response(self) -> None:
        """Set what the response to the newest request says beside what its handler sends."""
        if self._shared.incarnation:
            call_ids = [(name, value) for name, value in self.headers if name == CALL_ID_HEADER]
            self.cycle.default_headers = [*call_ids, (INCARNATION_HEADER, self._shared.incarnation)]
        if self._shared.draining:
            self.cycle.keep_alive = False

    def _close_after_pending(self) -> bool:
        """Close after the responses of complete requests, if there are any.

        Guards against a response to what came behind them, which their client would take for theirs.

        :returns: whether there are any.
        """
        last: RequestResponseCycle | None = self.cycle  # it waits in the pipeline if the one before is served
        if last is not None and last.more_body and self.pipeline:
            self.pipeline.popleft()  # its own body is what is broken
            last = self.pipeline[0][0] if self.pipeline else self._previous_cycle
        if last is None or last.response_complete or last.more_body:
            return False
        self._discarding_input = True
        self._cancel_deadline()
        last.keep_alive = False
        return True

    def _reject(self, rejection: Rejection) -> None:
        """Answer the newest request and close, unless complete requests before it are still served."""
        if not self._close_after_pending():
            self.transport.write(rejection.response())
            self.transport.close()

    def _refresh_idle_timeout(self) -> None:
        """Follow the limits in force, which may have changed."""
        self.timeout_keep_alive = self._shared.limits.idle_timeout_s  # type: ignore[assignment]

    def _set_deadline(self, seconds: float) -> None:
        """Close the connection unless what is awaited has come after so many seconds."""
        self._cancel_deadline()
        self._deadline = self.loop.call_later(seconds, self._on_deadline)

    def _cancel_deadline(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None

    def _on_deadline(self) -> None:
        """Close, but not before the responses of complete requests that came ahead of what is late."""
        if not self.transport.is_closing() and not self._close_after_pending():
            self.transport.close()

    def _now_ns(self) -> int:
        return int(self.loop.time() * 1e9)
