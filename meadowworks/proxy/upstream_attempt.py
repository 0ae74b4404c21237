"""One try at one backend, over a line of that life alone."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from meadowworks.attempts.retry_policy import DROPPED, UNRUN
from meadowworks.forwarding.connection_pool import Yard
from meadowworks.forwarding.response_check import judge
from meadowworks.registry.backends import BackendInstance
from meadowworks.runtime.errors import RequestError
from meadowworks.runtime.http_connection import ClientConnection, Headers, Response, connect
from meadowworks.runtime.process import now_ns

MS = 1_000_000
CONNECT_S = 1.0
ANSWER_MOST = 32 << 20
HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"te",
        b"trailer",
        b"proxy-authorization",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)
OURS = frozenset((b"x-deadline-ms", b"x-want-backend", b"expect"))
BODIED = frozenset((b"POST", b"PUT", b"PATCH"))


@dataclass(frozen=True, slots=True)
class Request:
    """What goes to whichever backend: unchanged but for what concerns one connection."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    ident: bytes | None  # X-Request-Id


@dataclass(frozen=True, slots=True)
class Tried:
    """How a try ended: `state` as `attempts` names it, the answer if there is a sound one. `over`: another
    life answers at the address. `load`: calls running and waiting there, as its answer tells."""

    state: int
    reply: Response | None
    spent_ns: int
    over: bool = False
    load: tuple[int, int] | None = None

    @property
    def status(self) -> int:
        return self.reply.status if self.reply else 0


def on_headers(headers: Headers) -> Headers:
    """What goes along, of the headers that a client sent (names in small letters)."""
    named = {
        part.strip().lower() for name, value in headers if name == b"connection" for part in value.split(b",")
    }
    return [(n, v) for n, v in headers if n not in HOP and n not in OURS and n not in named]


def back_headers(reply: Response) -> Headers:
    """What goes back to the client, of a backend's headers."""
    named = {p.strip().lower() for n, v in reply.headers if n.lower() == b"connection" for p in v.split(b",")}
    return [(n, v) for n, v in reply.headers if n.lower() not in HOP and n.lower() not in named]


def kept_s(reply: Response) -> int | None:
    """The whole seconds that `Keep-Alive` tells, if it does."""
    for part in (reply.header(b"keep-alive") or b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.strip().isdigit():
            return int(value)
    return None


async def attempt(
    yard: Yard[ClientConnection],
    backend: BackendInstance,
    request: Request,
    limit_ns: int,
    take: Callable[[int], bool] | None = None,
) -> Tried:
    """Never raises but for a cancel; the line is kept or ended. `take` finds room for its answer."""
    start = now_ns()
    yard.begin(backend.instance_id)
    line: ClientConnection | None = None
    try:
        # Guards against a late answer to another request, which nothing tells from one that has no id.
        line = yard.take(start, backend.instance_id) if request.ident is not None else None
        first = line is None
        if line is None:
            wait_s = min(CONNECT_S, max(0.001, (limit_ns - start) / 1e9))
            line = await connect(backend.host, backend.port, wait_s)
        left = (limit_ns - now_ns()) // MS
        headers = [
            *request.headers,
            (b"x-deadline-ms", str(max(1, left)).encode()),
            (b"x-want-backend", backend.instance_id.encode()),
        ]
        if request.body or request.method in BODIED:
            headers.append((b"content-length", str(len(request.body)).encode()))
        reply = await line.request(request.method, request.target, headers, request.body, ANSWER_MOST, take)
        now = now_ns()
        load = load_of(reply)
        if load is not None:
            yard.told(now, backend.instance_id, *load)
        found = judge(request.ident, backend.instance_id.encode(), reply.status, reply.header, first)
        if found.keep:
            yard.keep(now, backend.instance_id, line, kept_s(reply))
        else:
            line.close()
        if not found.sound:
            return Tried(found.state, None, now - start)
        return Tried(found.state, reply, now - start, found.over, load if found.keep else None)
    except RequestError as trouble:
        if line is not None:
            line.close()
        if not trouble.may_have_run:
            yard.unreached(now_ns(), backend.instance_id)
        return Tried(DROPPED if trouble.may_have_run else UNRUN, None, now_ns() - start)
    except asyncio.CancelledError:
        if line is not None:
            line.close()
        raise
    finally:
        yard.end(backend.instance_id)


def load_of(reply: Response) -> tuple[int, int] | None:
    """Calls running and waiting, as `X-Backend-Load` tells them."""
    parts = (reply.header(b"x-backend-load") or b"").split(b",")
    if len(parts) == 3 and all(part.strip().isdigit() for part in parts):
        return int(parts[0]), int(parts[1])
    return None
