"""One try at one backend, over a line of that life alone."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from meadowworks.attempts.retry_policy import FAILED, NEVER_RAN
from meadowworks.forwarding.connection_pool import ConnectionPool
from meadowworks.forwarding.response_check import check_response
from meadowworks.registry.backends import BackendInstance
from meadowworks.runtime.errors import RequestError
from meadowworks.runtime.http_connection import ClientConnection, Headers, Response, connect
from meadowworks.runtime.process import now_ns

MS = 1_000_000
CONNECT_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 32 << 20
HOP_BY_HOP_HEADERS = frozenset(
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
GATEWAY_HEADERS = frozenset((b"x-deadline-ms", b"x-want-backend", b"expect"))
METHODS_WITH_BODY = frozenset((b"POST", b"PUT", b"PATCH"))


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """What goes to whichever backend: unchanged but for what concerns one connection."""

    method: bytes
    request_target: bytes
    headers: Headers
    body: bytes
    request_id: bytes | None  # X-Request-Id


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How a try ended: `state` as `attempts` names it, the answer if there is a sound one. `over`: another
    life answers at the address. `load`: calls running and waiting there, as its answer tells."""

    outcome: int
    response: Response | None
    elapsed_ns: int
    incarnation_ended: bool = False
    backend_load: tuple[int, int] | None = None

    @property
    def status(self) -> int:
        return self.response.status if self.response else 0


def forwarded_request_headers(headers: Headers) -> Headers:
    """What goes along, of the headers that a client sent (names in small letters)."""
    named = {
        part.strip().lower() for name, value in headers if name == b"connection" for part in value.split(b",")
    }
    return [
        (n, v)
        for n, v in headers
        if n not in HOP_BY_HOP_HEADERS and n not in GATEWAY_HEADERS and n not in named
    ]


def forwarded_response_headers(response: Response) -> Headers:
    """What goes back to the client, of a backend's headers."""
    named = {
        p.strip().lower() for n, v in response.headers if n.lower() == b"connection" for p in v.split(b",")
    }
    return [
        (n, v) for n, v in response.headers if n.lower() not in HOP_BY_HOP_HEADERS and n.lower() not in named
    ]


def keep_alive_timeout_s(response: Response) -> int | None:
    """The whole seconds that `Keep-Alive` tells, if it does."""
    for part in (response.header(b"keep-alive") or b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.strip().isdigit():
            return int(value)
    return None


async def send_attempt(
    pool: ConnectionPool[ClientConnection],
    backend: BackendInstance,
    request: UpstreamRequest,
    deadline_ns: int,
    reserve: Callable[[int], bool] | None = None,
) -> AttemptResult:
    """Never raises but for a cancel; the line is kept or ended. `take` finds room for its answer."""
    start = now_ns()
    pool.attempt_started(backend.instance_id)
    line: ClientConnection | None = None
    try:
        # Guards against a late answer to another request, which nothing tells from one that has no id.
        line = pool.acquire(start, backend.instance_id) if request.request_id is not None else None
        first = line is None
        if line is None:
            wait_s = min(CONNECT_TIMEOUT_S, max(0.001, (deadline_ns - start) / 1e9))
            line = await connect(backend.host, backend.port, wait_s)
        left = (deadline_ns - now_ns()) // MS
        headers = [
            *request.headers,
            (b"x-deadline-ms", str(max(1, left)).encode()),
            (b"x-want-backend", backend.instance_id.encode()),
        ]
        if request.body or request.method in METHODS_WITH_BODY:
            headers.append((b"content-length", str(len(request.body)).encode()))
        reply = await line.request(
            request.method, request.request_target, headers, request.body, MAX_RESPONSE_BYTES, reserve
        )
        now = now_ns()
        load = parse_backend_load(reply)
        if load is not None:
            pool.record_backend_load(now, backend.instance_id, *load)
        found = check_response(
            request.request_id, backend.instance_id.encode(), reply.status, reply.header, first
        )
        if found.reusable:
            pool.release(now, backend.instance_id, line, keep_alive_timeout_s(reply))
        else:
            line.close()
        if not found.is_valid:
            return AttemptResult(found.outcome, None, now - start)
        return AttemptResult(
            found.outcome, reply, now - start, found.incarnation_ended, load if found.reusable else None
        )
    except RequestError as trouble:
        if line is not None:
            line.close()
        if not trouble.may_have_run:
            pool.mark_unreachable(now_ns(), backend.instance_id)
        return AttemptResult(FAILED if trouble.may_have_run else NEVER_RAN, None, now_ns() - start)
    except asyncio.CancelledError:
        if line is not None:
            line.close()
        raise
    finally:
        pool.attempt_ended(backend.instance_id)


def parse_backend_load(response: Response) -> tuple[int, int] | None:
    """Calls running and waiting, as `X-Backend-Load` tells them."""
    parts = (response.header(b"x-backend-load") or b"").split(b",")
    if len(parts) == 3 and all(part.strip().isdigit() for part in parts):
        return int(parts[0]), int(parts[1])
    return None
