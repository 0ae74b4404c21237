"""A client's request through a running proxy: clients that go, backends that hang, settings that change."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from meadowworks.config.route_table import Route, RouteTable, WeightedService
from meadowworks.forwarding.memory_budget import MemoryBudget
from meadowworks.proxy.counters import ProxyCounters
from meadowworks.proxy.request_handler import RequestHandler
from meadowworks.runtime import node_settings
from meadowworks.runtime.clock import now_ns
from meadowworks.runtime.http_connection import connect
from tests.gateway.helpers import SECOND, send_request, wait_until
from tests.gateway.test_fleet import ROUTES, Fleet, fleet  # noqa: F401  # the fixture


async def replace_config(fleet: Fleet, place: int, version: int, routes: Any) -> None:  # noqa: F811
    """As an operator does it: a call without a clear answer is sent again, to any controller."""
    for turn in range(50):
        if (status := await fleet.replace_config((place + turn) % 3, version, routes)) == 200:
            return
        assert status in (429, 503), status
        await wait_until(lambda: any(fleet.nodes[k].holds_lease() for k in range(3)), "one is sure")
    raise AssertionError("it is never taken")


async def start_fleet(fleet: Fleet) -> Any:  # noqa: F811
    """A gateway with version 1 in force, whose backends wait for a gate; the first proxy."""
    await fleet.start_all()
    await replace_config(fleet, 0, 1, ROUTES)
    await fleet.wait_until_ready()
    return fleet.nodes[3]


@pytest.mark.parametrize(("method", "target"), [(b"GET", b"/read/a"), (b"POST", b"/order/a")])
def test_a_client_goes_away_while_a_backend_is_at_work(fleet: Fleet, method: bytes, target: bytes) -> None:  # noqa: F811
    async def whole() -> None:
        node, gate = await start_fleet(fleet), asyncio.Event()
        for backend in fleet.backends:
            backend.handler = gate.wait  # type: ignore[assignment]
        connection = await connect(*fleet.layout.proxy_addresses()[0], 2.0)
        call = asyncio.create_task(
            send_request(fleet.layout.proxy_addresses()[0], method, target, "gone", b"", connection)
        )
        await wait_until(
            lambda: any(backend.handled_request_ids for backend in fleet.backends), "it is at work"
        )
        connection.close()
        assert isinstance((await asyncio.gather(call, return_exceptions=True))[0], Exception)
        if method == b"GET":
            await wait_until(
                lambda: not node.http_server.pending_count(), "it is over long before its deadline", 1.0
            )
            pools = node.connection_pool.endpoints.values()
            assert not any(pool.load.in_flight or pool.idle for pool in pools)
        else:
            await wait_until(lambda: not node.http_server.server_state.connections, "the connection is gone")
            assert node.http_server.pending_count() == 1  # it has been wanted, and may have run: it goes on
            gate.set()
            await wait_until(lambda: not node.http_server.pending_count(), "it is over")
            assert any(stall.idle for stall in node.connection_pool.endpoints.values())
        gate.set()
        assert [ident for backend in fleet.backends for ident in backend.handled_request_ids] == ["gone"]
        assert node.counters.responses == {"clients gone": 1}
        assert not node.memory_budget.reserved_bytes

    fleet.run(whole())


def test_what_is_given_up_is_answered_at_once_and_counted_by_route(fleet: Fleet) -> None:  # noqa: F811
    async def whole() -> None:
        node, never = await start_fleet(fleet), asyncio.Event()
        for backend in fleet.backends:
            backend.handler = never.wait  # type: ignore[assignment]
        began = now_ns()
        assert (await fleet.send_to_proxy(0, b"POST", b"/order/a")).status == 504  # it may have run
        assert now_ns() - began < 1.9 * SECOND  # its client waits for 1.5
        ((name, counted),) = node.counters.route_failures.items()
        names = [route.name for route in node.view.route_table.routes_by_host["local.example"].values()]
        assert counted == {"broken off": 1}
        assert name in names
        for backend in fleet.backends:
            backend.server.shutdown()
            for caller in list(backend.server.server_state.connections):
                caller.transport.abort()
        began = now_ns()
        refused = await fleet.send_to_proxy(0, b"POST", b"/order/b")
        assert refused.status == 503
        assert refused.header(b"retry-after")
        assert refused.header(b"x-backend-seal") is None
        assert now_ns() - began < SECOND
        assert node.counters.route_failures == {name: {"broken off": 1}}
        never.set()

    fleet.run(whole())


def test_what_is_at_work_outlasts_a_new_plan_and_new_settings(
    fleet: Fleet,  # noqa: F811
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: Path,
) -> None:
    async def whole() -> None:
        node, gate = await start_fleet(fleet), asyncio.Event()
        for backend in fleet.backends:
            backend.handler = gate.wait  # type: ignore[assignment]
        at = fleet.layout.proxy_addresses()[0]
        kept = [await connect(*at, 2.0) for _ in range(3)]
        calls = [
            asyncio.create_task(send_request(at, method, target, f"w{k}", b"", kept[k]))
            for k, (method, target) in enumerate([(b"POST", b"/order/a"), (b"GET", b"/read/a")])
        ]
        await wait_until(
            lambda: sum(len(backend.handled_request_ids) for backend in fleet.backends) == 2,
            "they are at work",
        )
        await replace_config(fleet, 1, 2, {"/new/": ("safe", "lookup")})
        await wait_until(lambda: node.view.route_table.version == 2, "the next version is in force")
        settings = fleet.layout.node_settings(3, tmp_path / "disk-3", True)
        settings["network"]["seeds"] = settings["network"]["seeds"][:1]
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(settings))
        monkeypatch.setenv(node_settings.SETTINGS_FILE_VARIABLE, str(path))
        node.reload_settings()
        assert len(node.settings.seeds) == 1
        gate.set()
        assert [reply.status for reply in await asyncio.gather(*calls)] == [200, 200]
        for connection in kept:  # rested lines and used ones: none was ended
            assert (await send_request(at, b"GET", b"/new/a", "n", b"", connection)).status == 200
            connection.close()

    fleet.run(whole())


def test_a_fault_in_one_pull_does_not_end_the_next(fleet: Fleet) -> None:  # noqa: F811
    async def whole() -> None:
        node = await start_fleet(fleet)
        work, failed = node.view.apply_route_table, []

        def fails(table: Any) -> None:
            node.view.apply_route_table = work
            failed.append(table.version)
            raise RuntimeError("as if something were wrong with it")

        node.view.apply_route_table = fails
        await replace_config(fleet, 1, 2, ROUTES)
        await wait_until(lambda: node.view.route_table.version == 2, "it is in force all the same")
        assert failed == [2]

    fleet.run(whole())


ROUTE = Route(
    "r", False, 50.0, 100.0, 0, 1, (WeightedService("s", 1.0), WeightedService("t", 1.0)), "/order/"
)


def request_handler(route: Route = ROUTE) -> RequestHandler:
    """A handler with one route, which has nothing to forward to."""
    view = SimpleNamespace(
        route_table=RouteTable(1, {"local.example": {route.prefix: route}}),
        route_table_listeners=[],
        staleness=SimpleNamespace(is_fresh=lambda _now: True),
    )
    return RequestHandler(cast(Any, view), cast(Any, None), MemoryBudget(1000), ProxyCounters())


async def respond_without_a_body(
    path: bytes, route_ms: float, client_ms: bytes | None, waited_ms: int = 0
) -> tuple[int, float]:
    """The status of a request whose body never comes, and after how many seconds it is answered.

    :param waited_ms: how long it has waited behind another since its headers were read
    """
    headers = [(b"host", b"local.example"), (b"x-request-id", b"q")]
    if client_ms is not None:
        headers.append((b"x-deadline-ms", client_ms))
    received_ns = now_ns() - waited_ms * 1_000_000
    scope = {"method": "POST", "target": path, "headers": headers, "received_ns": received_ns}
    sent: list[Any] = []

    async def receive() -> Any:
        return await asyncio.get_running_loop().create_future()

    async def send(message: Any) -> None:
        sent.append(message)

    began = now_ns()
    async with asyncio.timeout(5):
        await request_handler(ROUTE._replace(deadline_ms=route_ms)).handle(cast(Any, scope), receive, send)
    return sent[0]["status"], (now_ns() - began) / SECOND


@pytest.mark.parametrize(
    ("route_ms", "client_ms", "waited_ms"),
    [(50.0, None, 0), (50.0, b"9000", 0), (50.0, b"nan", 0), (9000.0, b"50", 0), (9000.0, b"8000", 7950)],
)
def test_a_body_is_waited_for_until_the_earlier_of_two_deadlines(
    route_ms: float, client_ms: bytes | None, waited_ms: int
) -> None:
    status, took_s = asyncio.run(respond_without_a_body(b"/order/a", route_ms, client_ms, waited_ms))
    assert status == 408  # the request has not run, and never will
    assert 0.04 <= took_s < 0.55


def test_a_request_without_a_route_is_answered_before_its_body_comes() -> None:
    status, took_s = asyncio.run(respond_without_a_body(b"/none/a", 9000.0, b"9000"))
    assert status == 404
    assert took_s < 0.5


def test_another_configuration_begins_its_splits_anew() -> None:
    handler = request_handler()
    first = handler._splits.next_point(ROUTE.name)
    assert handler._splits.next_point(ROUTE.name) != first
    (on_route_table,) = cast(Any, handler._view).route_table_listeners
    on_route_table(None)
    assert ROUTE.name not in handler._splits._points
