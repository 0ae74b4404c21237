"""One attempt at a request: one backend instance, over a connection of that instance alone."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from meadowworks.attempts.retry_policy import FAILED, NEVER_RAN
from meadowworks.forwarding.connection_pool import ConnectionPool
from meadowworks.forwarding.response_check import check_response
from meadowworks.proxy.http_headers import keep_alive_timeout_s
from meadowworks.registry.backends import BackendInstance
from meadowworks.runtime.clock import now_ns
from meadowworks.runtime.errors import RequestError
from meadowworks.runtime.http_connection import ClientConnection, Headers, Response, connect

MS = 1_000_000
# A machine without power is silent: another backend is tried while the client still waits.
CONNECT_TIMEOUT_S = 1.0
# A larger response is none: the proxy holds each in memory until it is complete.
MAX_RESPONSE_BYTES = 32 << 20
METHODS_WITH_BODY = frozenset((b"POST", b"PUT", b"PATCH"))


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """What goes to whichever backend: unchanged but for what concerns one connection."""

    method: bytes
    request_target: bytes  # in origin form, as it stands on the request line
    headers: Headers
    body: bytes
    request_id: bytes | None  # X-Request-Id


class ReportedLoad(NamedTuple):
    """The requests at a backend, as `X-Backend-Load` of its response says."""

    running: int
    waiting: int


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended.

    :param outcome: what is known of it, as `meadowworks.attempts.retry_policy` names it
    :param response: the backend's response, if it is valid
    :param elapsed_ns: from the attempt's start to its end
    :param instance_superseded: another instance answers at the address
    :param backend_load: what the response says of its backend's load
    """

    outcome: int
    response: Response | None
    elapsed_ns: int
    instance_superseded: bool = False
    backend_load: ReportedLoad | None = None

    @property
    def status(self) -> int:
        """The status code of the response; 0 if there is none."""
        return self.response.status if self.response else 0


async def send_attempt(
    pool: ConnectionPool[ClientConnection],
    backend: BackendInstance,
    request: UpstreamRequest,
    deadline_ns: int,
    reserve: Callable[[int], bool] | None = None,
    client_disconnected: Callable[[], bool] = lambda: False,
) -> AttemptResult:
    """Send a request to a backend. Raises nothing but a cancellation; its connection is released or closed.

    :param deadline_ns: when the client's time is over; it is sent to the backend
    :param reserve: reserves memory for each chunk of the response; without it the response is cut off
    :param client_disconnected: whether nobody waits for the response any more
    """
    started_ns = now_ns()
    load = pool.load(backend.instance_id)
    load.in_flight += 1
    connection: ClientConnection | None = None
    try:
        # Guards against a late response to another request, which nothing tells from one without an id.
        connection = pool.acquire(started_ns, backend.instance_id) if request.request_id is not None else None
        first_on_connection = connection is None
        if connection is None:
            timeout_s = min(CONNECT_TIMEOUT_S, max(0.001, (deadline_ns - started_ns) / 1e9))
            connection = await connect(backend.host, backend.port, timeout_s)
            if client_disconnected():
                # Guards against work for nobody, above all an order that nobody waits for any more.
                connection.close()
                return AttemptResult(NEVER_RAN, None, now_ns() - started_ns)
        response = await connection.request(
            request.method,
            request.request_target,
            attempt_headers(request, backend, deadline_ns),
            request.body,
            MAX_RESPONSE_BYTES,
            reserve,
        )
        return process_response(pool, backend, request, connection, response, started_ns, first_on_connection)
    except RequestError as error:
        if connection is not None:
            connection.close()
        if not error.may_have_run:
            load.mark_unreachable(now_ns())
        return AttemptResult(FAILED if error.may_have_run else NEVER_RAN, None, now_ns() - started_ns)
    except asyncio.CancelledError:
        if connection is not None:
            connection.close()
        raise
    finally:
        load.in_flight -= 1


def attempt_headers(request: UpstreamRequest, backend: BackendInstance, deadline_ns: int) -> Headers:
    """The headers of one attempt: the request's, the time left, and the instance that is meant."""
    time_left_ms = (deadline_ns - now_ns()) // MS
    headers = [
        *request.headers,
        (b"x-deadline-ms", str(max(1, time_left_ms)).encode()),
        (b"x-want-backend", backend.instance_id.encode()),
    ]
    if request.body or request.method in METHODS_WITH_BODY:
        headers.append((b"content-length", str(len(request.body)).encode()))
    return headers


def process_response(
    pool: ConnectionPool[ClientConnection],
    backend: BackendInstance,
    request: UpstreamRequest,
    connection: ClientConnection,
    response: Response,
    started_ns: int,
    first_on_connection: bool,
) -> AttemptResult:
    """Judge a complete response, and release its connection or close it."""
    now = now_ns()
    load = parse_backend_load(response)
    if load is not None:
        pool.load(backend.instance_id).record_backend_load(now, load.running, load.waiting)
    verdict = check_response(
        request.request_id,
        backend.instance_id.encode(),
        response.status,
        response.header,
        first_on_connection,
    )
    if verdict.connection_reusable:
        pool.release(now, backend.instance_id, connection, keep_alive_timeout_s(response))
    else:
        connection.close()
    if not verdict.is_valid:
        return AttemptResult(verdict.outcome, None, now - started_ns)
    return AttemptResult(
        verdict.outcome,
        response,
        now - started_ns,
        verdict.instance_superseded,
        load if verdict.connection_reusable else None,
    )


def parse_backend_load(response: Response) -> ReportedLoad | None:
    """What `X-Backend-Load: running,waiting,slots` says, if it makes sense."""
    parts = (response.header(b"x-backend-load") or b"").split(b",")
    if len(parts) == 3 and all(part.strip().isdigit() for part in parts):
        return ReportedLoad(int(parts[0]), int(parts[1]))
    return None
