"""The memory of bodies is shared, and given back."""

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


def test_responses_of_all_requests_share_one_bound_and_give_it_back() -> None:
    body = b"y" * 1000

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                names = b"X-Request-Id: q\r\nX-Backend-Seal: s\r\nContent-Length: 1000\r\n\r\n"
                writer.write(b"HTTP/1.1 200 OK\r\n" + names + body)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass

    async def main() -> None:
        server, pool, budget = RawServer(serve), ConnectionPool[ClientConnection](), MemoryBudget(1500)
        there = make_backend("me", await server.open())
        asked = UpstreamRequest(b"GET", b"/", [(b"host", b"h"), (b"x-request-id", b"q")], b"", b"q")
        one, two = MemoryReservation(budget), MemoryReservation(budget)
        first = await send_attempt(pool, there, asked, now_ns() + SECOND, one.reserve)
        assert first.response is not None
        assert budget.reserved_bytes == 1000
        second = await send_attempt(pool, there, asked, now_ns() + SECOND, two.reserve)
        assert second.outcome == FAILED
        assert second.response is None
        assert budget.reserved_bytes == 1000
        one.release()
        again = await send_attempt(pool, there, asked, now_ns() + SECOND, two.reserve)
        assert again.response is not None
        two.release()
        two.release()
        assert budget.reserved_bytes == 0
        pool.evict(now_ns(), set())
        server.close()

    asyncio.run(main())


def test_an_attempt_that_nobody_waits_for_ends_at_its_limit_and_gives_its_memory_back() -> None:
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
        there, reservation = make_backend("me", await server.open()), MemoryReservation(budget)
        asked = UpstreamRequest(b"GET", b"/", [(b"host", b"h"), (b"x-request-id", b"q")], b"", b"q")
        task = tasks.start(send_attempt(pool, there, asked, now_ns() + 9 * SECOND, reservation.reserve))
        await wait_until(lambda: budget.reserved_bytes == 10, "half of it has come")
        tasks.cancel_after(task, 0.01, reservation.release)
        await wait_until(task.done, "it is ended", 2.0)
        await wait_until(lambda: not tasks.running, "it is told")
        assert task.cancelled()
        assert not budget.reserved_bytes
        assert not pool.load("me").in_flight
        server.close()

    asyncio.run(main())
