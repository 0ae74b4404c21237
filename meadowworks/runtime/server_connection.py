"""A connection of an HTTP/1.1 server: uvicorn's protocol with additional limits and checks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol, RequestResponseCycle

from meadowworks.runtime.clock import now_ns
from meadowworks.runtime.connection_limit import ConnectionLimit
from meadowworks.runtime.lingering_transport import LingeringTransport
from meadowworks.runtime.upgrade_offers import resumed_parser

# Headers between the gateway's programs: the id of the call, and the incarnation of the responding process.
CALL_ID_HEADER = b"x-question"
INCARNATION_HEADER = b"x-life"
MAX_PIPELINED_REQUESTS = 16  # the maximum number of requests that wait for the previous response
# Below this number of waiting requests the input is still read, so that a disconnect is detected.
READ_AHEAD_REQUESTS = 8
ABSOLUTE_FORM_SCHEMES = (b"http://", b"https://")
CONNECT_METHOD = b"CONNECT"  # ends HTTP on the connection if it is accepted, which it never is
INVALID_REQUEST = "Invalid HTTP request received."
HEADER_LINE_OVERHEAD = 4  # bytes in addition to a header's name and value: ": " and CRLF


@dataclass(slots=True)
class RequestLimits:
    """Size and time limits for requests, which may change while a server is open."""

    max_header_bytes: int = 16384
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(slots=True)
class SharedState:
    """State shared by all connections of a server.

    :ivar draining: whether each response is the last of its connection.
    :ivar connection_limit: the limit above which idle connections are closed; None for no limit.
    :ivar incarnation: if not empty, each response contains the id of its call and this incarnation.
    """

    limits: RequestLimits = field(default_factory=RequestLimits)
    draining: bool = False
    connection_limit: ConnectionLimit[ServerConnection] | None = None
    incarnation: bytes = b""


class Rejection(Enum):
    """The status and reason of a response to a request that is rejected because of its headers."""

    HEADERS_TOO_LARGE = 431, "headers too large"
    NOT_ONE_HOST = 400, "one Host is needed"
    TARGET_IS_NO_PATH = 400, "the target is no path"
    TARGET_OF_ANOTHER_HOST = 400, "the target names another host than Host"

    def response(self) -> bytes:
        """Return the bytes of the response."""
        status, reason = self.value
        return (
            f"HTTP/1.1 {status} Refused\r\ncontent-type: text/plain\r\nconnection: close\r\n"
            f"content-length: {len(reason)}\r\n\r\n{reason}"
        ).encode()


class ServerConnection(HttpToolsProtocol):
    """One connection of a client.

    Enforces limits on the size and time of headers, the time between parts of a body, and the number of
    pipelined requests. Rejects requests that name several hosts. Ignores offers to upgrade.

    :ivar on_disconnect: called once when the client disconnects; set by the request being served.
    """

    def __init__(self, shared: SharedState, **uvicorn_arguments: Any) -> None:
        super().__init__(**uvicorn_arguments)
        self.on_disconnect: Callable[[], None] | None = None
        self._shared = shared
        self._deadline: asyncio.TimerHandle | None = None  # for the next input from the client
        self._request_bytes = 0  # received since the start of the newest request
        self._reading_headers = False
        self._reading_body = False
        self._discarding_input = False
        self._has_upgrade_offer = False  # the parser ends the newest request before its body
        self._previous_cycle: RequestResponseCycle | None = None  # of the request before the newest one
        self._has_pipelined = False  # a request arrived before the previous response: more may be unread
        self._disconnected = False

    @property
    def disconnected(self) -> bool:
        """Whether the client has disconnected."""
        return self._disconnected

    @property
    def reading_headers(self) -> bool:
        """Whether the headers of a request are incomplete."""
        return self._reading_headers

    # -- asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start reading; above the connection limit, close an idle connection, or else this one."""
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
        """Release the connection's resources, and notify the request being served."""
        self._cancel_deadline()
        if self._shared.connection_limit:
            self._shared.connection_limit.on_close(self)
        super().connection_lost(exc)
        self._disconnected = True
        if self.scope is not None:
            self.scope.pop("connection", None)  # type: ignore[typeddict-item]  # breaks a reference cycle
        if self.on_disconnect is not None:
            self.on_disconnect()

    def data_received(self, data: bytes) -> None:
        """Parse bytes, and enforce the limits on the current request."""
        if self._discarding_input:
            return
        self._unset_keepalive_if_required()
        try:
            self._parse(data)
        except httptools.HttpParserError:
            self.logger.warning(INVALID_REQUEST)
            self.send_400_response(INVALID_REQUEST)
        self._request_bytes += len(data)
        if self._reading_body:  # closes the connection if the body stalls
            self._set_deadline(self._shared.limits.idle_timeout_s)
        too_large = self._request_bytes > self._shared.limits.max_header_bytes
        if self._reading_headers and too_large and not self.transport.is_closing():
            self._reject(Rejection.HEADERS_TOO_LARGE)

    def _parse(self, data: bytes) -> None:
        """Parse bytes, and continue after the headers of each request that offers an upgrade.

        :raises httptools.HttpParserError: the input is invalid.
        """
        while True:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                data = data[offer.args[0] :]
            if not self._has_upgrade_offer or self._discarding_input or self.transport.is_closing():
                return
            self._has_upgrade_offer = False
            method, version = self.parser.get_method(), self.parser.get_http_version()
            self.parser = resumed_parser(self, method, version, self.headers)

    # -- parser callbacks

    def on_message_begin(self) -> None:
        """Start a new request."""
        if self._discarding_input:
            return
        if len(self.pipeline) >= MAX_PIPELINED_REQUESTS:
            raise ValueError(
                "too many pipelined requests"
            )  # stops the parser, then `send_400_response` is called
        super().on_message_begin()
        self._request_bytes = 0
        self._reading_headers = True
        self._set_deadline(self._shared.limits.header_timeout_s)

    def on_headers_complete(self) -> None:
        """Check the headers, and start the request handler."""
        if self._discarding_input:
            return
        self._reading_headers = False
        self._reading_body = True
        self._has_upgrade_offer = self.parser.should_upgrade() and self.parser.get_method() != CONNECT_METHOD
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
            if not self._serves_request_after(self.cycle):
                self._discarding_input = True
                return
            self._has_pipelined = True
        super().on_headers_complete()
        if self.pipeline and len(self.pipeline) < READ_AHEAD_REQUESTS:
            # uvicorn pauses reading until the response is complete. Resuming detects a disconnect, which
            # prevents work for a client that has gone. A large body still pauses reading.
            self.flow.resume_reading()
        self._prepare_response()

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body to the request handler."""
        if not self.transport.is_closing() and not self._discarding_input:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Complete a request, and protect the connection from eviction until its response is complete."""
        if self._discarding_input or self._has_upgrade_offer:
            return
        self._reading_body = False
        self._cancel_deadline()
        if self._shared.connection_limit:
            self._shared.connection_limit.protect(self)
        if not self.transport.is_closing():
            super().on_message_complete()

    def send_400_response(self, msg: str) -> None:
        """Respond to invalid HTTP, unless complete requests before it are still being served."""
        if not self._close_after_pending():
            super().send_400_response(msg)

    # -- response callback

    def on_response_complete(self) -> None:
        """Start the idle timeout, and allow eviction unless another request is being served."""
        self._refresh_idle_timeout()
        super().on_response_complete()
        if self._shared.connection_limit and not self.transport.is_closing() and self.cycle.response_complete:
            self._shared.connection_limit.on_idle(self._now_ns(), self)

    # -- lingering_transport.InputReader

    def may_have_unread_input(self) -> bool:
        """Whether the client has pipelined requests, so that there may be unread input."""
        return self._has_pipelined

    def discard_input(self) -> None:
        """Read and drop all further input."""
        self._discarding_input = True
        self.flow.resume_reading()

    # -- internal

    def _strip_authority(self) -> None:
        """Convert a target from absolute form to origin form, if its authority equals the `Host` header.

        Source: RFC 9112, section 3.2.2: a server must accept the absolute form.
        """
        if not self.url.startswith(ABSOLUTE_FORM_SCHEMES):
            return
        authority, slash, path = self.url.partition(b"://")[2].partition(b"/")
        if any(name == b"host" and value.lower() == authority.lower() for name, value in self.headers):
            self.url = slash + path if slash else b"/"

    def _check_headers(self) -> Rejection | None:
        """Return the reason to reject the request, or None."""
        size = sum(len(name) + len(value) + HEADER_LINE_OVERHEAD for name, value in self.headers)
        if size + len(self.url) > self._shared.limits.max_header_bytes:
            return Rejection.HEADERS_TOO_LARGE
        if sum(name == b"host" for name, _ in self.headers) != 1:
            # Prevents request smuggling, where two recipients select different hosts.
            return Rejection.NOT_ONE_HOST
        if self.url.startswith(ABSOLUTE_FORM_SCHEMES):
            # Prevents two recipients of a request from selecting different hosts.
            return Rejection.TARGET_OF_ANOTHER_HOST
        if not self.url.startswith(b"/"):
            return Rejection.TARGET_IS_NO_PATH
        return None

    @staticmethod
    def _serves_request_after(previous: RequestResponseCycle) -> bool:
        """Whether the request after `previous` is served, instead of dropped with a closing connection."""
        if not previous.keep_alive:
            if previous.response_started:  # its headers contain `connection: close`
                return False
            previous.keep_alive = True  # the new request was read, so its response becomes the last one
        return True

    def _prepare_response(self) -> None:
        """Add default headers to the response to the newest request; if draining, make it the last one."""
        if self._shared.incarnation:
            call_ids = [(name, value) for name, value in self.headers if name == CALL_ID_HEADER]
            self.cycle.default_headers = [*call_ids, (INCARNATION_HEADER, self._shared.incarnation)]
        if self._shared.draining:
            self.cycle.keep_alive = False

    def _close_after_pending(self) -> bool:
        """Close after the responses to complete requests, if any are pending.

        Prevents an error response to later input from being taken as the response to one of them.

        :returns: whether any are pending.
        """
        last_cycle: RequestResponseCycle | None = (
            self.cycle
        )  # in the pipeline while the previous one is served
        if last_cycle is not None and last_cycle.more_body and self.pipeline:
            self.pipeline.popleft()  # the newest request is incomplete
            last_cycle = self.pipeline[0][0] if self.pipeline else self._previous_cycle
        if last_cycle is None or last_cycle.response_complete or last_cycle.more_body:
            return False
        self._discarding_input = True
        self._cancel_deadline()
        last_cycle.keep_alive = False
        return True

    def _reject(self, rejection: Rejection) -> None:
        """Reject the newest request and close, unless complete requests before it are still being served."""
        if not self._close_after_pending():
            self.transport.write(rejection.response())
            self.transport.close()

    def _refresh_idle_timeout(self) -> None:
        """Apply the current idle timeout, which may have changed."""
        self.timeout_keep_alive = self._shared.limits.idle_timeout_s  # type: ignore[assignment]

    def _set_deadline(self, timeout_s: float) -> None:
        """Close the connection after the timeout, unless the deadline is cancelled or replaced."""
        self._cancel_deadline()
        self._deadline = self.loop.call_later(timeout_s, self._on_deadline)

    def _cancel_deadline(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None

    def _on_deadline(self) -> None:
        """Close the connection, but only after the responses to pending complete requests."""
        if not self.transport.is_closing() and not self._close_after_pending():
            self.transport.close()

    def _now_ns(self) -> int:
        return int(self.loop.time() * 1e9)
