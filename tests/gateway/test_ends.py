"""Planned ends, clients that rest or go away, and answers that nobody takes: nothing that was read is cut."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from meadowworks.attempts.retry_policy import CANCELLED, FAILED
from meadowworks.forwarding.connection_pool import ConnectionPool
from meadowworks.forwarding.endpoint_selection import EndpointChoices
from meadowworks.forwarding.memory_budget import MemoryBudget, MemoryReservation
from meadowworks.forwarding.request_attempts import (
    AttemptEnded,
    CancelAttempts,
    ClientDisconnected,
    RejectRequest,
    RequestAttempts,
    RequestReceived,
    SendAttempt,
    TimerExpired,
    Wait,
    choose_retry_policy,
    retry_rules,
)
from meadowworks.forwarding.retry_budget import RetryBudget
from meadowworks.local.system import SystemLayout, free_ports
from meadowworks.proxy.upstream_attempt import UpstreamRequest, send_attempt
from meadowworks.runtime import node_settings
from meadowworks.runtime.http_connection import ClientConnection, connect
from meadowworks.runtime.http_server import HttpServer
from meadowworks.runtime.process import BackgroundTasks, now_ns
from meadowworks.runtime.response_writer import send_response
from meadowworks.runtime.server_connection import HttpConnection, RequestLimits
from tests.gateway.helpers import SECOND, Raw, ask, backend, until
from tests.gateway.test_fleet import ROUTES, Fleet, fleet  # noqa: F401  # the fixture

ASK = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"


def stop(writer: asyncio.StreamWriter, paused: bool = True) -> None:
    """Reads nothing any more, or again."""
    transport = writer.transport
    assert isinstance(transport, asyncio.Transport)
    transport.pause_reading() if paused else transport.resume_reading()


class Gated:
    """A door whose answers wait for a gate."""

    def __init__(self, body: bytes = b"x", pace_s: float | None = None) -> None:
        self.gate, self.began, self.slow = asyncio.Event(), 0, 0
        self.body, self.pace_s = body, pace_s
        self.door = HttpServer(self.app, RequestLimits(4000, 5, 10))

    async def app(self, scope: Any, receive: Any, send: Any) -> None:
        self.began += 1
        caller = scope["connection"]
        await self.gate.wait()
        try:
            await send_response(send, 200, self.body, None, self.pace_s)
        except TimeoutError:
            self.slow += 1
            caller.transport.abort()

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        self.port = await self.door.listen("127.0.0.1", 0)
        return await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 24)

    def caller(self) -> HttpConnection:
        (found,) = self.door.server_state.connections
        assert isinstance(found, HttpConnection)
        return found


@pytest.mark.parametrize("before, after", [(1, 0), (1, 1), (2, 3)])
def test_requests_behind_one_another_are_all_answered_when_told_to_end(before: int, after: int) -> None:
    async def main() -> None:
        made = Gated()
        reader, writer = await made.open()
        writer.write(b"".join(ASK % k for k in range(before)))
        await until(lambda: made.began == 1 and len(made.caller().pipeline) == before - 1, "they are read")
        made.door.drain()
        for k in range(after):
            writer.write(ASK % k)
        await until(lambda: made.door.pending_count() == 1, "at work")
        read = before + after - 1
        if before == 1:  # one that waits behind another stops the reading, so that no more are taken in
            await until(lambda: len(made.caller().pipeline) == min(read, 1), "the next is read")
        made.gate.set()
        async with asyncio.timeout(5):
            said = await reader.read(-1)
        assert said.count(b"HTTP/1.1 200") == made.began >= before + (before == 1) * after
        heads = said.split(b"HTTP/1.1 ")[1:]
        assert [b"connection: close" in head for head in heads] == [False] * (len(heads) - 1) + [True]
        made.door.shutdown()
        writer.close()

    asyncio.run(main())


def test_a_client_may_rest_for_as_long_as_the_limits_in_force_allow() -> None:
    async def main() -> None:
        made = Gated()
        made.gate.set()
        reader, writer = await made.open()
        for idle_s in (10.0, 30.0, 20.0):
            made.door.limits.idle_timeout_s = idle_s
            writer.write(ASK % 1)
            await reader.readuntil(b"\r\n\r\nx")
            end = made.caller().timeout_keep_alive_task
            assert end is not None and end.when() - asyncio.get_running_loop().time() > 0.8 * idle_s
        made.door.shutdown()
        writer.close()

    asyncio.run(main())


def test_a_door_is_at_work_until_its_answers_have_left() -> None:
    async def main() -> None:
        made = Gated(b"z" * (8 << 20))
        made.gate.set()
        reader, writer = await made.open()
        writer.write(ASK % 1)
        await until(lambda: made.began == 1 and not made.door.server_state.tasks, "it is written")
        stop(writer)
        assert made.door.pending_count() == 1
        made.door.drain()
        made.door.shutdown()
        stop(writer, False)
        async with asyncio.timeout(5):
            said = await reader.read(-1)
        assert (
            said.endswith(made.body) and said.count(b"z") == len(made.body) and not made.door.pending_count()
        )
        writer.close()

    asyncio.run(main())


def test_an_answer_that_nobody_takes_is_ended_and_one_that_is_taken_is_whole() -> None:
    async def main() -> None:
        made = Gated(bytes(range(256)) * (32 << 10), 0.2)
        made.gate.set()
        reader, writer = await made.open()
        writer.write(ASK % 1)
        async with asyncio.timeout(5):
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
            assert await reader.readexactly(len(made.body)) == made.body
            stop(writer)
            writer.write(ASK % 2)
            await until(lambda: made.slow == 1, "it is given up")
        made.door.shutdown()
        writer.close()

    asyncio.run(main())


def test_answers_of_all_requests_share_one_bound_and_give_it_back() -> None:
    body = b"y" * 1000

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                names = b"X-Request-Id: q\r\nX-Backend-Seal: s\r\nContent-Length: 1000\r\n\r\n"
                writer.write(b"HTTP/1.1 200 OK\r\n" + names + body)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass

    async def main() -> None:
        server, yard, room = Raw(serve), ConnectionPool[ClientConnection](), MemoryBudget(1500)
        there = backend("me", await server.open())
        asked = UpstreamRequest(b"GET", b"/", [(b"host", b"h"), (b"x-request-id", b"q")], b"", b"q")
        one, two = MemoryReservation(room), MemoryReservation(room)
        first = await send_attempt(yard, there, asked, now_ns() + SECOND, one.reserve)
        assert first.response is not None and room.reserved_bytes == 1000
        second = await send_attempt(yard, there, asked, now_ns() + SECOND, two.reserve)
        assert second.outcome == FAILED and second.response is None and room.reserved_bytes == 1000
        one.release()
        again = await send_attempt(yard, there, asked, now_ns() + SECOND, two.reserve)
        assert again.response is not None
        two.release()
        two.release()
        assert room.reserved_bytes == 0
        yard.evict(now_ns(), set())
        server.close()

    asyncio.run(main())


@pytest.mark.parametrize("safe", [True, False])
def test_for_a_client_that_has_gone_nothing_more_is_sent(safe: bool) -> None:
    rules, policy = retry_rules(safe, 2 * SECOND, SECOND // 2), choose_retry_policy(safe, 3, False)
    journey = RequestAttempts(rules, policy, 2 * SECOND, RetryBudget(1.0, 10 * SECOND))
    choices = EndpointChoices({1: 1.0, 2: 1.0, 3: 1.0}, {})
    first = journey.handle_event(RequestReceived(), 0, choices, 0.1)
    left = journey.handle_event(ClientDisconnected(), 1, choices, 0.1)
    assert isinstance(first, SendAttempt) and isinstance(left, CancelAttempts) == safe
    assert isinstance(journey.handle_event(TimerExpired(), SECOND, choices, 0.1), Wait)
    ended = AttemptEnded(1, CANCELLED if safe else FAILED, 0)
    step = journey.handle_event(ended, SECOND, choices, 0.1)
    assert isinstance(step, RejectRequest) and step.status == 502 and len(journey.attempts) == 1


async def replaced(fleet: Fleet, place: int, version: int, routes: Any) -> None:  # noqa: F811
    """As an operator does it: a call without a clear answer is sent again, to any controller."""
    for turn in range(50):
        if (status := await fleet.replace((place + turn) % 3, version, routes)) == 200:
            return
        assert status in (429, 503), status
        await until(lambda: any(fleet.nodes[k].holds_lease() for k in range(3)), "one is sure")
    raise AssertionError("it is never taken")


async def plan(fleet: Fleet) -> Any:  # noqa: F811
    """A gateway with version 1 in force, whose backends wait for a gate; the first junction."""
    await fleet.begin()
    await replaced(fleet, 0, 1, ROUTES)
    await fleet.ready()
    return fleet.nodes[3]


@pytest.mark.parametrize("method, target", [(b"GET", b"/read/a"), (b"POST", b"/order/a")])
def test_a_client_goes_away_while_a_backend_is_at_work(fleet: Fleet, method: bytes, target: bytes) -> None:  # noqa: F811
    async def whole() -> None:
        node, gate = await plan(fleet), asyncio.Event()
        for made in fleet.backends:
            made.handler = gate.wait  # type: ignore[assignment]
        line = await connect(*fleet.plan.proxy_addresses()[0], 2.0)
        call = asyncio.create_task(ask(fleet.plan.proxy_addresses()[0], method, target, "gone", b"", line))
        await until(lambda: any(made.handled_request_ids for made in fleet.backends), "it is at work")
        line.close()
        assert isinstance((await asyncio.gather(call, return_exceptions=True))[0], Exception)
        if method == b"GET":
            await until(
                lambda: not node.http_server.pending_count(), "it is over long before its deadline", 1.0
            )
            pools = node.connection_pool.endpoints.values()
            assert not any(pool.load.in_flight or pool.idle for pool in pools)
        else:
            await until(lambda: not node.http_server.server_state.connections, "the connection is gone")
            assert node.http_server.pending_count() == 1  # it has been wanted, and may have run: it goes on
            gate.set()
            await until(lambda: not node.http_server.pending_count(), "it is over")
            assert any(stall.idle for stall in node.connection_pool.endpoints.values())
        gate.set()
        assert [ident for made in fleet.backends for ident in made.handled_request_ids] == ["gone"]
        assert node.counters.responses == {"clients gone": 1} and not node.memory_budget.reserved_bytes

    fleet.run(whole())


def test_a_try_that_nobody_waits_for_ends_at_its_limit_and_gives_its_room_back() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nhalf of it")
        await reader.read(-1)

    async def main() -> None:
        server, yard, room, tasks = (
            Raw(serve),
            ConnectionPool[ClientConnection](),
            MemoryBudget(1500),
            BackgroundTasks(),
        )
        there, share = backend("me", await server.open()), MemoryReservation(room)
        asked = UpstreamRequest(b"GET", b"/", [(b"host", b"h"), (b"x-request-id", b"q")], b"", b"q")
        task = tasks.start(send_attempt(yard, there, asked, now_ns() + 9 * SECOND, share.reserve))
        await until(lambda: room.reserved_bytes == 10, "half of it has come")
        tasks.cancel_after(task, 0.01, share.release)
        await until(task.done, "it is ended", 2.0)
        await until(lambda: not tasks.running, "it is told")
        assert task.cancelled() and not room.reserved_bytes and not yard.load("me").in_flight
        server.close()

    asyncio.run(main())


def test_what_is_given_up_is_answered_at_once_and_counted_by_route(fleet: Fleet) -> None:  # noqa: F811
    async def whole() -> None:
        node, never = await plan(fleet), asyncio.Event()
        for made in fleet.backends:
            made.handler = never.wait  # type: ignore[assignment]
        began = now_ns()
        assert (await fleet.serve(0, b"POST", b"/order/a")).status == 504  # it may have run
        assert now_ns() - began < 1.9 * SECOND  # its client waits for 1.5
        ((name, counted),) = node.counters.route_failures.items()
        names = [route.name for route in node.view.route_table.routes_by_host["local.example"].values()]
        assert counted == {"broken off": 1} and name in names
        for made in fleet.backends:
            made.server.shutdown()
            for caller in list(made.server.server_state.connections):
                caller.transport.abort()
        began = now_ns()
        refused = await fleet.serve(0, b"POST", b"/order/b")
        assert refused.status == 503 and refused.header(b"retry-after") and now_ns() - began < SECOND
        assert node.counters.route_failures == {name: {"broken off": 1}}
        never.set()

    fleet.run(whole())


def test_what_is_at_work_outlasts_a_new_plan_and_new_settings(
    fleet: Fleet,  # noqa: F811
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: Path,
) -> None:
    async def whole() -> None:
        node, gate = await plan(fleet), asyncio.Event()
        for made in fleet.backends:
            made.handler = gate.wait  # type: ignore[assignment]
        at = fleet.plan.proxy_addresses()[0]
        kept = [await connect(*at, 2.0) for _ in range(3)]
        calls = [
            asyncio.create_task(ask(at, method, target, f"w{k}", b"", kept[k]))
            for k, (method, target) in enumerate([(b"POST", b"/order/a"), (b"GET", b"/read/a")])
        ]
        await until(
            lambda: sum(len(made.handled_request_ids) for made in fleet.backends) == 2, "they are at work"
        )
        await replaced(fleet, 1, 2, {"/new/": ("safe", "lookup")})
        await until(lambda: node.view.route_table.version == 2, "the next version is in force")
        settings = fleet.plan.node_settings(3, tmp_path / "disk-3", True)
        settings["network"]["seeds"] = settings["network"]["seeds"][:1]
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(settings))
        monkeypatch.setenv(node_settings.SETTINGS_FILE_VARIABLE, str(path))
        node.reload_settings()
        assert len(node.settings.seeds) == 1
        gate.set()
        assert [reply.status for reply in await asyncio.gather(*calls)] == [200, 200]
        for line in kept:  # rested lines and used ones: none was ended
            assert (await ask(at, b"GET", b"/new/a", "n", b"", line)).status == 200
            line.close()

    fleet.run(whole())


def test_a_fault_in_one_pull_does_not_end_the_next(fleet: Fleet) -> None:  # noqa: F811
    async def whole() -> None:
        node = await plan(fleet)
        work, failed = node.view.apply_route_table, []

        def fails(table: Any) -> None:
            node.view.apply_route_table = work
            failed.append(table.version)
            raise RuntimeError("as if something were wrong with it")

        node.view.apply_route_table = fails
        await replaced(fleet, 1, 2, ROUTES)
        await until(lambda: node.view.route_table.version == 2, "it is in force all the same")
        assert failed == [2]

    fleet.run(whole())


TERMS: dict[str, Any] = {
    "unknown contracts": {"contracts": ["base", "no such part"]},
    "unknown bounds": {"bounds": {"nobodyKnowsMs": True, "part": 0.5, "whole": 7, "no": False}},
    "known bounds as fractions": {"bounds": {"graceS": 2.5, "retryRatio": 1, "contactMs": 2500.5}},
    "zones": {"tolerate": {"zones": 1}},
    "regions": {"tolerate": {"nodes": 0, "regions": 1}},
    "what nobody knows": {"tolerate": {"nodes": 1, "continents": 1}, "more": [1]},
}


@pytest.mark.parametrize("how", TERMS)
def test_terms_that_are_not_known_pass(how: str, tmp_path: Path) -> None:
    settings = SystemLayout(90, free_ports()).node_settings(3, tmp_path, True)
    settings["terms"] = {**settings.get("terms", {}), **TERMS[how]}
    found = node_settings.parse_settings(json.dumps(settings))
    assert found.tolerated_failures == TERMS[how].get("tolerate", settings["terms"].get("tolerate", {})).get(
        "nodes", 0
    )
