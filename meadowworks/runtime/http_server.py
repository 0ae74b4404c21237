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

from meadowworks.runtime.connection_limit import Crowd

Scope = MutableMapping[str, Any]
QUESTION, LIFE = b"x-question", b"x-life"  # between controllers: which call is answered, and by which process
PART = 128 << 10  # bytes of an answer that wait at a time for a client which reads slowly
AHEAD_MOST = 16  # requests that a client may send ahead of their answers
LINGER_S = 1.0  # that a client which had sent more has to read its answers, once the last is written
GRACE_NS = 1_000_000_000  # that a connection is left alone, so that what it sends has time to arrive
App = Callable[[Scope, Callable[[], Awaitable[Any]], Callable[[Any], Awaitable[None]]], Awaitable[None]]


@dataclass(slots=True)
class Limits:
    """What a caller may send, and how long it may take. They may change while a door is open."""

    header_bytes: int = 16384
    header_s: float = 3.0
    idle_s: float = 15.0


class Cut(Enum):
    """Why there is no whole body."""

    LARGE = "larger than may be"
    FULL = "no room for it beside the others"
    SLOW = "not there in time"
    GONE = "its sender has gone"


class Room(Protocol):
    def take(self, size: int) -> bool: ...
    def give(self, size: int) -> None: ...


@dataclass(slots=True)
class State:
    """`crowd`: connections are bounded, and who is idle gives way when there are too many. `life`: each
    answer names its question and this life."""

    limits: Limits = field(default_factory=Limits)
    leaving: bool = False
    crowd: Crowd[Caller] | None = None
    life: bytes = b""


class Outlet:
    """A connection's transport, which does not drop what it has been given: the end of a connection on which
    bytes lie unread is a reset, and takes answers with it that their client has not read yet."""

    def __init__(self, transport: asyncio.Transport, caller: Caller) -> None:
        self.transport, self.caller, self.closing = transport, caller, False
        self.write, self.abort = transport.write, transport.abort

    def __getattr__(self, name: str) -> Any:
        return getattr(self.transport, name)

    def is_closing(self) -> bool:
        return self.closing or self.transport.is_closing()

    def close(self) -> None:
        if self.closing or not self.caller.ahead or self.transport.is_closing():
            return self.transport.close()
        self.closing = self.caller.broken = True  # what comes now is read and dropped
        self.transport.write_eof()
        self.caller.flow.resume_reading()
        self.caller.loop.call_later(LINGER_S, self.transport.close)


class Caller(HttpToolsProtocol):
    """One connection. Guards against headers that never end, that are too large, and two hosts in one."""

    def __init__(self, state: State, **rest: Any) -> None:
        super().__init__(**rest)
        self.state = state
        self.slow: asyncio.TimerHandle | None = None
        self.counted = 0
        self.reading = False  # whether the headers of a request are on their way
        self.taking = False  # whether its body is
        self.broken = False  # what comes now is read no more
        self.before: Any = None  # the request before the newest
        self.ahead = False  # requests have come ahead of answers: more may lie unread
        self.lost = False  # its client has gone
        self.at_loss: Callable[[], None] | None = None  # told so once, by the request that is at work

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        super().connection_made(Outlet(transport, self))  # type: ignore[arg-type]
        self.timeout_keep_alive = self.state.limits.idle_s  # type: ignore[assignment]
        self.slow = self.loop.call_later(self.state.limits.idle_s, self.too_slow)
        if crowd := self.state.crowd:
            crowd.come(self.now(), self)
            if crowd.open > crowd.most:
                who, _ = crowd.gives_way(self.now())
                (who or self).transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.calm()
        if self.state.crowd:
            self.state.crowd.gone(self)
        super().connection_lost(exc)
        self.lost = True
        if self.scope is not None:
            self.scope.pop("caller", None)  # type: ignore[typeddict-item]  # a circle less for the collector
        if self.at_loss is not None:
            self.at_loss()

    def now(self) -> int:
        return int(self.loop.time() * 1e9)

    def on_response_complete(self) -> None:
        self.timeout_keep_alive = self.state.limits.idle_s  # type: ignore[assignment]  # it may have changed
        super().on_response_complete()
        if self.state.crowd and not self.transport.is_closing() and self.cycle.response_complete:
            self.state.crowd.idle(self.now(), self)

    def calm(self) -> None:
        if self.slow is not None:
            self.slow.cancel()
            self.slow = None

    def too_slow(self) -> None:
        if not self.transport.is_closing():
            self.transport.close()

    def on_message_begin(self) -> None:
        if self.broken:
            return
        if len(self.pipeline) >= AHEAD_MOST:
            raise ValueError("too many requests ahead of their answers")  # ends the parser's turn: see below
        super().on_message_begin()
        self.counted, self.reading = 0, True
        self.calm()
        self.slow = self.loop.call_later(self.state.limits.header_s, self.too_slow)

    def data_received(self, data: bytes) -> None:
        if self.broken:
            return
        super().data_received(data)
        self.counted += len(data)
        if self.taking:  # guards against a body that stops coming
            self.calm()
            self.slow = self.loop.call_later(self.state.limits.idle_s, self.too_slow)
        if self.reading and self.counted > self.state.limits.header_bytes and not self.transport.is_closing():
            self.turn_away(431, "headers too large")

    def on_headers_complete(self) -> None:
        if self.broken:
            return
        self.reading, self.taking = False, True
        self.calm()
        size = sum(len(name) + len(value) + 4 for name, value in self.headers) + len(self.url)
        if size > self.state.limits.header_bytes:
            return self.turn_away(431, "headers too large")
        if sum(name == b"host" for name, _ in self.headers) != 1:
            # Guards against two readers of one request that go by different hosts.
            return self.turn_away(400, "one Host is needed")
        if not self.url.startswith(b"/"):
            return self.turn_away(400, "the target is no path")
        self.scope["target"] = self.url  # type: ignore[typeddict-unknown-key]
        self.scope["caller"] = self  # type: ignore[typeddict-unknown-key]
        self.before = self.cycle
        if (last := self.before) is not None and not last.response_complete and not last.keep_alive:
            if last.response_started:  # its client has been told that nothing more is answered here
                self.broken = True
                return
            last.keep_alive = True  # this one is the last now: it has been read, and is owed an answer
        self.ahead = self.ahead or last is not None and not last.response_complete
        super().on_headers_complete()
        if self.state.life:
            names = [(name, value) for name, value in self.headers if name == QUESTION]
            self.cycle.default_headers = [*names, (LIFE, self.state.life)]
        if self.state.leaving:
            self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        if not self.transport.is_closing() and not self.broken:
            super().on_body(body)

    def on_message_complete(self) -> None:
        if self.broken:
            return
        self.taking = False
        self.calm()
        if self.state.crowd:
            self.state.crowd.named(self)
        if not self.transport.is_closing():
            super().on_message_complete()

    def ends_after_work(self) -> bool:
        """Whether whole requests are at work: then the connection ends after their answers. Guards against
        an answer to what came behind them, which their client would take for theirs."""
        last = self.cycle  # the newest; it waits in the pipeline if the one before is at work
        if last is not None and last.more_body and self.pipeline:
            self.pipeline.popleft()  # its own body is what is broken
            last = self.pipeline[0][0] if self.pipeline else self.before
        if last is None or last.response_complete or last.more_body:
            return False
        self.broken = True
        self.calm()
        last.keep_alive = False
        return True

    def send_400_response(self, msg: str) -> None:
        if not self.ends_after_work():
            super().send_400_response(msg)

    def turn_away(self, status: int, why: str) -> None:
        if self.ends_after_work():
            return
        self.transport.write(
            f"HTTP/1.1 {status} Refused\r\ncontent-type: text/plain\r\nconnection: close\r\n"
            f"content-length: {len(why)}\r\n\r\n{why}".encode()
        )
        self.transport.close()


class Door:
    """An address that is listened at, and its connections."""

    def __init__(self, app: App, limits: Limits | None = None, most: int = 0, life: str = "") -> None:
        """`most` connections, if it is not 0. `life` is the answering process's, for a door that controllers
        call: each of its answers then names the question."""
        crowd: Crowd[Caller] | None = Crowd(most, GRACE_NS) if most else None
        self.state = State(limits or Limits(), crowd=crowd, life=life.encode())
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

    async def open(self, host: str, port: int) -> int:
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
        self.server = await loop.create_server(self.caller, sock=sock, backlog=1024)
        return int(sock.getsockname()[1])

    def caller(self) -> Caller:
        return Caller(self.state, config=self.config, server_state=self.server_state, app_state={})

    def at_work(self) -> int:
        """Requests that are not answered yet, and answers that have not left whole."""
        open_to = [caller.transport for caller in self.server_state.connections]
        return len(self.server_state.tasks) + sum(bool(t.get_write_buffer_size()) for t in open_to)

    def leave(self) -> None:
        """From now on each answer is the last of its connection; connections are still taken."""
        self.state.leaving = True
        for caller in list(self.server_state.connections):
            if isinstance(caller, Caller) and caller.cycle and not caller.cycle.response_complete:
                caller.cycle.keep_alive = False

    def shut(self) -> None:
        """No connection is taken any more; idle ones end, the others after their answer."""
        if self.server is not None:
            self.server.close()
        for caller in list(self.server_state.connections):
            if not getattr(caller, "reading", False):
                caller.shutdown()

    def end(self) -> None:
        """Nothing more is read."""
        for caller in list(self.server_state.connections):
            caller.transport.close()


async def whole_body(
    receive: Callable[[], Awaitable[Any]], most: int, room: Room | None = None, within_s: float = 30.0
) -> bytes | Cut:
    """The body of a request, of `most` bytes at most. One that comes in parts takes room until it is whole,
    and has so many seconds for that."""
    message = await receive()
    body: bytes = message.get("body", b"")
    if message["type"] == "http.request" and not message.get("more_body") and len(body) <= most:
        return body
    parts, size = [body], len(body)
    taken = 0
    try:
        async with asyncio.timeout(within_s):
            while message["type"] == "http.request" and message.get("more_body"):
                message = await receive()
                parts.append(message.get("body", b""))
                size += len(parts[-1])
                if size > most:
                    return Cut.LARGE
                if room is not None:
                    if not room.take(len(parts[-1])):
                        return Cut.FULL
                    taken += len(parts[-1])
    except TimeoutError:
        return Cut.SLOW
    finally:
        if room is not None:
            room.give(taken)
    if message["type"] != "http.request":
        return Cut.GONE
    return b"".join(parts) if size <= most else Cut.LARGE


async def answer(
    send: Callable[[Any], Awaitable[None]],
    status: int,
    body: bytes = b"",
    headers: list[tuple[bytes, bytes]] | None = None,
    pace_s: float | None = None,
) -> None:
    """A whole answer, of JSON unless a header says otherwise. With a pace a large one goes in parts, each of
    which waits for so long at most until the parts before it have gone. Raises TimeoutError."""
    said = headers if headers is not None else [(b"content-type", b"application/json")]
    said = [*said, (b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": said})
    if pace_s is None or len(body) <= PART:
        return await send({"type": "http.response.body", "body": body})
    for start in range(0, len(body), PART):
        async with asyncio.timeout(pace_s):
            part, more = body[start : start + PART], start + PART < len(body)
            await send({"type": "http.response.body", "body": part, "more_body": more})
