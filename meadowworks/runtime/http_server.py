"""Serving by HTTP/1.1: uvicorn's protocol with the limits that it does not hold itself."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from uvicorn.config import Config
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from meadowworks.runtime.connection_limit import ConnectionLimit

Scope = MutableMapping[str, Any]
CALL_ID_HEADER, INCARNATION_HEADER = (
    b"x-question",
    b"x-life",
)  # between controllers: which call is answered, and by which process
RESPONSE_CHUNK_BYTES = 128 << 10  # bytes of an answer that wait at a time for a client which reads slowly
MAX_PIPELINED_REQUESTS = 16  # requests that a client may send ahead of their answers
LINGER_S = 1.0  # that a client which had sent more has to read its answers, once the last is written
CONNECTION_GRACE_NS = (
    1_000_000_000  # that a connection is left alone, so that what it sends has time to arrive
)
ASGIApplication = Callable[
    [Scope, Callable[[], Awaitable[Any]], Callable[[Any], Awaitable[None]]], Awaitable[None]
]


@dataclass(slots=True)
class RequestLimits:
    """What a connection may send, and how long it may take. They may change while a door is open."""

    max_header_bytes: int = 16384
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class BodyError(Enum):
    """Why there is no whole body."""

    TOO_LARGE = "larger than may be"
    OUT_OF_MEMORY = "no room for it beside the others"
    TIMED_OUT = "not there in time"
    DISCONNECTED = "its sender has gone"

    @property
    def counter(self) -> str:
        """The word under which a proxy's status counts it; its readers know these words."""
        return COUNTERS[self]


COUNTERS = {
    BodyError.TOO_LARGE: "large",
    BodyError.OUT_OF_MEMORY: "full",
    BodyError.TIMED_OUT: "slow",
    BodyError.DISCONNECTED: "gone",
}


class MemoryBudget(Protocol):
    def reserve(self, size: int) -> bool: ...
    def release(self, size: int) -> None: ...


@dataclass(slots=True)
class SharedState:
    """`crowd`: connections are bounded, and who is idle gives way when there are too many. `life`: each
    answer names its question and this life."""

    limits: RequestLimits = field(default_factory=RequestLimits)
    draining: bool = False
    connection_limit: ConnectionLimit[HttpConnection] | None = None
    incarnation: bytes = b""


class LingeringTransport:
    """A connection's transport, which does not drop what it has been given: the end of a connection on which
    bytes lie unread is a reset, and takes answers with it that their client has not read yet."""

    def __init__(self, transport: asyncio.Transport, connection: HttpConnection) -> None:
        self.transport, self.connection, self.closing = transport, connection, False
        self.write, self.abort = transport.write, transport.abort

    def __getattr__(self, name: str) -> Any:
        return getattr(self.transport, name)

    def is_closing(self) -> bool:
        return self.closing or self.transport.is_closing()

    def close(self) -> None:
        if self.closing or not self.connection.pipelined or self.transport.is_closing():
            return self.transport.close()
        self.closing = self.connection.discard_input = True  # what comes now is read and dropped
        self.transport.write_eof()
        self.connection.flow.resume_reading()
        self.connection.loop.call_later(LINGER_S, self.transport.close)


class HttpConnection(HttpToolsProtocol):
    """One connection. Guards against headers that never end, that are too large, and two hosts in one."""

    def __init__(self, state: SharedState, **rest: Any) -> None:
        super().__init__(**rest)
        self.state = state
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.request_bytes = 0
        self.reading_headers = False  # whether the headers of a request are on their way
        self.reading_body = False  # whether its body is
        self.discard_input = False  # what comes now is read no more
        self.previous_cycle: Any = None  # the request before the newest
        self.pipelined = False  # requests have come ahead of answers: more may lie unread
        self.disconnected = False  # its client has gone
        self.on_disconnect: Callable[[], None] | None = None  # told so once, by the request that is at work

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        super().connection_made(LingeringTransport(transport, self))  # type: ignore[arg-type]
        self.timeout_keep_alive = self.state.limits.idle_timeout_s  # type: ignore[assignment]
        self.deadline_timer = self.loop.call_later(self.state.limits.idle_timeout_s, self.on_deadline)
        if crowd := self.state.connection_limit:
            crowd.on_open(self.clock_ns(), self)
            if crowd.open_count > crowd.max_connections:
                who, _ = crowd.next_eviction(self.clock_ns())
                (who or self).transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.cancel_deadline()
        if self.state.connection_limit:
            self.state.connection_limit.on_close(self)
        super().connection_lost(exc)
        self.disconnected = True
        if self.scope is not None:
            self.scope.pop("connection", None)  # type: ignore[typeddict-item]  # a circle less for the collector
        if self.on_disconnect is not None:
            self.on_disconnect()

    def clock_ns(self) -> int:
        return int(self.loop.time() * 1e9)

    def on_response_complete(self) -> None:
        self.timeout_keep_alive = self.state.limits.idle_timeout_s  # type: ignore[assignment]  # it may have changed
        super().on_response_complete()
        if self.state.connection_limit and not self.transport.is_closing() and self.cycle.response_complete:
            self.state.connection_limit.on_idle(self.clock_ns(), self)

    def cancel_deadline(self) -> None:
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
            self.deadline_timer = None

    def on_deadline(self) -> None:
        if not self.transport.is_closing():
            self.transport.close()

    def on_message_begin(self) -> None:
        if self.discard_input:
            return
        if len(self.pipeline) >= MAX_PIPELINED_REQUESTS:
            raise ValueError("too many requests ahead of their answers")  # ends the parser's turn: see below
        super().on_message_begin()
        self.request_bytes, self.reading_headers = 0, True
        self.cancel_deadline()
        self.deadline_timer = self.loop.call_later(self.state.limits.header_timeout_s, self.on_deadline)

    def data_received(self, data: bytes) -> None:
        if self.discard_input:
            return
        super().data_received(data)
        self.request_bytes += len(data)
        if self.reading_body:  # guards against a body that stops coming
            self.cancel_deadline()
            self.deadline_timer = self.loop.call_later(self.state.limits.idle_timeout_s, self.on_deadline)
        if (
            self.reading_headers
            and self.request_bytes > self.state.limits.max_header_bytes
            and not self.transport.is_closing()
        ):
            self.reject(431, "headers too large")

    def on_headers_complete(self) -> None:
        if self.discard_input:
            return
        self.reading_headers, self.reading_body = False, True
        self.cancel_deadline()
        size = sum(len(name) + len(value) + 4 for name, value in self.headers) + len(self.url)
        if size > self.state.limits.max_header_bytes:
            return self.reject(431, "headers too large")
        if sum(name == b"host" for name, _ in self.headers) != 1:
            # Guards against two readers of one request that go by different hosts.
            return self.reject(400, "one Host is needed")
        if not self.url.startswith(b"/"):
            return self.reject(400, "the target is no path")
        self.scope["target"] = self.url  # type: ignore[typeddict-unknown-key]
        self.scope["connection"] = self  # type: ignore[typeddict-unknown-key]
        self.previous_cycle = self.cycle
        if (last := self.previous_cycle) is not None and not last.response_complete and not last.keep_alive:
            if last.response_started:  # its client has been told that nothing more is answered here
                self.discard_input = True
                return
            last.keep_alive = True  # this one is the last now: it has been read, and is owed an answer
        self.pipelined = self.pipelined or last is not None and not last.response_complete
        super().on_headers_complete()
        if self.state.incarnation:
            names = [(name, value) for name, value in self.headers if name == CALL_ID_HEADER]
            self.cycle.default_headers = [*names, (INCARNATION_HEADER, self.state.incarnation)]
        if self.state.draining:
            self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        if not self.transport.is_closing() and not self.discard_input:
            super().on_body(body)

    def on_message_complete(self) -> None:
        if self.discard_input:
            return
        self.reading_body = False
        self.cancel_deadline()
        if self.state.connection_limit:
            self.state.connection_limit.protect(self)
        if not self.transport.is_closing():
            super().on_message_complete()

    def close_after_pending(self) -> bool:
        """Whether whole requests are at work: then the connection ends after their answers. Guards against
        an answer to what came behind them, which their client would take for theirs."""
        last = self.cycle  # the newest; it waits in the pipeline if the one before is at work
        if last is not None and last.more_body and self.pipeline:
            self.pipeline.popleft()  # its own body is what is broken
            last = self.pipeline[0][0] if self.pipeline else self.previous_cycle
        if last is None or last.response_complete or last.more_body:
            return False
        self.discard_input = True
        self.cancel_deadline()
        last.keep_alive = False
        return True

    def send_400_response(self, msg: str) -> None:
        if not self.close_after_pending():
            super().send_400_response(msg)

    def reject(self, status: int, reason: str) -> None:
        if self.close_after_pending():
            return
        self.transport.write(
            f"HTTP/1.1 {status} Refused\r\ncontent-type: text/plain\r\nconnection: close\r\n"
            f"content-length: {len(reason)}\r\n\r\n{reason}".encode()
        )
        self.transport.close()


class HttpServer:
    """An address that is listened at, and its connections."""

    def __init__(
        self,
        app: ASGIApplication,
        limits: RequestLimits | None = None,
        max_connections: int = 0,
        incarnation: str = "",
    ) -> None:
        """`most` connections, if it is not 0. `life` is the answering process's, for a door that controllers
        call: each of its answers then names the question."""
        crowd: ConnectionLimit[HttpConnection] | None = (
            ConnectionLimit(max_connections, CONNECTION_GRACE_NS) if max_connections else None
        )
        self.state = SharedState(
            limits or RequestLimits(), connection_limit=crowd, incarnation=incarnation.encode()
        )
        self.config = Config(
            app=app,
            http="httptools",
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            interface="asgi3",
        )
        self.config.load()
        logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)  # bad input is no flood in the log
        self.server_state = ServerState()
        self.server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """The port that is listened at. Raises OSError."""
        loop = asyncio.get_running_loop()
        # With its protocol stated: else asyncio sets no TCP_NODELAY, and each answer waits for 40 ms.
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError:
            sock.close()
            raise
        sock.setblocking(False)
        self.server = await loop.create_server(self.create_connection, sock=sock, backlog=1024)
        return int(sock.getsockname()[1])

    def create_connection(self) -> HttpConnection:
        return HttpConnection(self.state, config=self.config, server_state=self.server_state, app_state={})

    def pending_count(self) -> int:
        """Requests that are not answered yet, and answers that have not left whole."""
        open_to = [connection.transport for connection in self.server_state.connections]
        return len(self.server_state.tasks) + sum(bool(t.get_write_buffer_size()) for t in open_to)

    def drain(self) -> None:
        """From now on each answer is the last of its connection; connections are still taken."""
        self.state.draining = True
        for connection in list(self.server_state.connections):
            if (
                isinstance(connection, HttpConnection)
                and connection.cycle
                and not connection.cycle.response_complete
            ):
                connection.cycle.keep_alive = False

    def shutdown(self) -> None:
        """No connection is taken any more; idle ones end, the others after their answer."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.server_state.connections):
            if not getattr(connection, "reading", False):
                connection.shutdown()

    def close(self) -> None:
        """Nothing more is read."""
        for connection in list(self.server_state.connections):
            connection.transport.close()


async def read_body(
    receive: Callable[[], Awaitable[Any]],
    max_bytes: int,
    memory: MemoryBudget | None = None,
    timeout_s: float = 30.0,
) -> bytes | BodyError:
    """The body of a request, of `most` bytes at most. One that comes in parts takes room until it is whole,
    and has so many seconds for that."""
    message = await receive()
    body: bytes = message.get("body", b"")
    if message["type"] == "http.request" and not message.get("more_body") and len(body) <= max_bytes:
        return body
    parts, size = [body], len(body)
    taken = 0
    try:
        async with asyncio.timeout(timeout_s):
            while message["type"] == "http.request" and message.get("more_body"):
                message = await receive()
                parts.append(message.get("body", b""))
                size += len(parts[-1])
                if size > max_bytes:
                    return BodyError.TOO_LARGE
                if memory is not None:
                    if not memory.reserve(len(parts[-1])):
                        return BodyError.OUT_OF_MEMORY
                    taken += len(parts[-1])
    except TimeoutError:
        return BodyError.TIMED_OUT
    finally:
        if memory is not None:
            memory.release(taken)
    if message["type"] != "http.request":
        return BodyError.DISCONNECTED
    return b"".join(parts) if size <= max_bytes else BodyError.TOO_LARGE


async def send_response(
    send: Callable[[Any], Awaitable[None]],
    status: int,
    body: bytes = b"",
    headers: list[tuple[bytes, bytes]] | None = None,
    chunk_timeout_s: float | None = None,
) -> None:
    """A whole answer, of JSON unless a header says otherwise. With a pace a large one goes in parts, each of
    which waits for so long at most until the parts before it have gone. Raises TimeoutError."""
    said = headers if headers is not None else [(b"content-type", b"application/json")]
    said = [*said, (b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": said})
    if chunk_timeout_s is None or len(body) <= RESPONSE_CHUNK_BYTES:
        return await send({"type": "http.response.body", "body": body})
    for start in range(0, len(body), RESPONSE_CHUNK_BYTES):
        async with asyncio.timeout(chunk_timeout_s):
            part, more = body[start : start + RESPONSE_CHUNK_BYTES], start + RESPONSE_CHUNK_BYTES < len(body)
            await send({"type": "http.response.body", "body": part, "more_body": more})
