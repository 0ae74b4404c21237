"""Memory budget of bodies: shared by all requests, and released."""

from __future__ import annotations

import asyncio

from meadowworks.attempts.retry_policy import FAILED
from meadowworks.forwarding.connection_pool import ConnectionPool
from meadowworks.forwarding.memory_budget import MemoryBudget, MemoryReservation
from meadowworks.proxy.upstream_attempt import UpstreamRequest, send_attempt
from meadowworks.runtime.background_tasks import BackgroundTasks
from meadowworks.runtime.clock import now_ns
from meadowworks.runtime.http_connection import ClientConnection
from tests.gateway.helpers import SECOND, RawServer, make_backend, wait_until
from tests.gateway.test_fleet import ROUTES, Fleet, fleet  # noqa: F401  # the fixture


def test_responses_of_all_requests_share_one_budget_and_release_it() -> None:
    body = b"y" * 1000

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                headers = b"X-Request-Id: q\r\nX-Backend-Seal: s\r\nContent-Length: 1000\r\n\r\n"
                writer.write(b"HTTP/1.1 200 OK\r\n" + headers + body)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass

    async def main() -> None:
        server, pool, budget = RawServer(serve), ConnectionPool[ClientConnection](), MemoryBudget(1500)
        instance = make_backend("me", await server.open())
        request = UpstreamRequest(b"GET", b"/", [(b"host", b"h"), (b"x-request-id", b"q")], b"", b"q")
        first_reservation, second_reservation = MemoryReservation(budget), MemoryReservation(budget)
        first = await send_attempt(pool, instance, request, now_ns() + SECOND, first_reservation.reserve)
        assert first.response is not None
        assert budget.reserved_bytes == 1000
        second = await send_attempt(pool, instance, request, now_ns() + SECOND, second_reservation.reserve)
        assert second.outcome == FAILED
        assert second.response is None
        assert budget.reserved_bytes == 1000
        first_reservation.release()
        third = await send_attempt(pool, instance, request, now_ns() + SECOND, second_reservation.reserve)
        assert third.response is not None
        second_reservation.release()
        second_reservation.release()
        assert budget.reserved_bytes == 0
        pool.evict(now_ns(), set())
        server.close()

    asyncio.run(main())


def test_an_abandoned_attempt_is_cancelled_at_its_timeout_and_releases_its_memory() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nhalf of it")
        await reader.read(-1)

    async def main() -> None:
        server, pool, budget, tasks = (
            RawServer(serve),
            ConnectionPool[ClientConnection](),
            MemoryBudget(1500),
            BackgroundTasks(),
        )
        instance, reservation = make_backend("me", await server.open()), MemoryReservation(budget)
        request = UpstreamRequest(b"GET", b"/", [(b"host", b"h"), (b"x-request-id", b"q")], b"", b"q")
        task = tasks.start(send_attempt(pool, instance, request, now_ns() + 9 * SECOND, reservation.reserve))
        await wait_until(lambda: budget.reserved_bytes == 10, "half of the body has arrived")
        tasks.cancel_after(task, 0.01, reservation.release)
        await wait_until(task.done, "the attempt has ended", 2.0)
        await wait_until(lambda: not tasks.running, "no task is running")
        assert task.cancelled()
        assert not budget.reserved_bytes
        assert not pool.load("me").in_flight
        server.close()

    asyncio.run(main())
