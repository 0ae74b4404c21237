"""One attempt at a request, sent to one backend instance over a connection to that instance."""

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
# A machine without power does not reply; the timeout leaves time to try another backend.
CONNECT_TIMEOUT_S = 1.0
# Larger responses fail, because the proxy buffers each response until it is complete.
MAX_RESPONSE_BYTES = 32 << 20
METHODS_WITH_BODY = frozenset((b"POST", b"PUT", b"PATCH"))


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request as it is sent to any backend, without hop-by-hop headers."""

    method: bytes
    request_target: bytes  # in origin form, as on the request line
    headers: Headers
    body: bytes
    request_id: bytes | None  # X-Request-Id


class ReportedLoad(NamedTuple):
    """Requests at a backend, as the `X-Backend-Load` header of its response reports them."""

    running: int
    waiting: int


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result of an attempt.

    :param outcome: the state of the attempt, one of the constants of `meadowworks.attempts.retry_policy`
    :param response: the backend's response; None without a valid one
    :param elapsed_ns: the time from the start to the end of the attempt
    :param instance_superseded: whether another instance has replaced the backend at its address
    :param backend_load: the load that the response reports; None without a valid report
    """

    outcome: int
    response: Response | None
    elapsed_ns: int
    instance_superseded: bool = False
    backend_load: ReportedLoad | None = None

    @property
    def status(self) -> int:
        """The status code of the response; 0 without one."""
        return self.response.status if self.response else 0


async def send_attempt(
    pool: ConnectionPool[ClientConnection],
    backend: BackendInstance,
    request: UpstreamRequest,
    deadline_ns: int,
    reserve: Callable[[int], bool] | None = None,
    client_disconnected: Callable[[], bool] = lambda: False,
) -> AttemptResult:
    """Send a request to a backend and return the result; the connection is released or closed.

    :param deadline_ns: the client's deadline, which is forwarded to the backend
    :param reserve: reserves memory for a chunk of the response; if it returns False, the attempt fails
    :param client_disconnected: returns whether the client has disconnected
    :raises asyncio.CancelledError: the attempt was cancelled; no other exception is raised
    """
    started_ns = now_ns()
    load = pool.load(backend.instance_id)
    load.in_flight += 1
    connection: ClientConnection | None = None
    try:
        # A request without an id gets a new connection. Prevents a late response to another request from
        # being taken for its own, because only the id tells them apart.
        connection = pool.acquire(started_ns, backend.instance_id) if request.request_id is not None else None
        first_on_connection = connection is None
        if connection is None:
            timeout_s = min(CONNECT_TIMEOUT_S, max(0.001, (deadline_ns - started_ns) / 1e9))
            connection = await connect(backend.host, backend.port, timeout_s)
            if client_disconnected():
                # Prevents wasted work, and unsafe requests that run although their client has disconnected.
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
    """Return the headers of one attempt: the request's, the time left, and the intended instance."""
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
    """Check a complete response and release or close its connection."""
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
    """Return the load in `X-Backend-Load: running,waiting,slots`; None if it is missing or malformed."""
    parts = (response.header(b"x-backend-load") or b"").split(b",")
    if len(parts) == 3 and all(part.strip().isdigit() for part in parts):
        return ReportedLoad(int(parts[0]), int(parts[1]))
    return None
