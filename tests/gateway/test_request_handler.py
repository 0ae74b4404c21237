"""Requests through a running proxy: disconnecting clients, hanging backends, configuration changes."""

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
    """Replace the configuration as an operator does: retry at any control-plane node until one accepts it."""
    for retry in range(50):
        if (status := await fleet.replace_config((place + retry) % 3, version, routes)) == 200:
            return
        assert status in (429, 503), status
        await wait_until(lambda: any(fleet.nodes[k].holds_lease() for k in range(3)), "a node holds a lease")
    raise AssertionError("no control-plane node accepted the configuration")


async def start_fleet(fleet: Fleet) -> Any:  # noqa: F811
    """Start a gateway with version 1 of the configuration and return its first proxy."""
    await fleet.start_all()
    await replace_config(fleet, 0, 1, ROUTES)
    await fleet.wait_until_ready()
    return fleet.nodes[3]


@pytest.mark.parametrize(("method", "target"), [(b"GET", b"/read/a"), (b"POST", b"/order/a")])
def test_a_client_disconnects_while_a_backend_processes_its_request(
    fleet: Fleet,  # noqa: F811
    method: bytes,
    target: bytes,
) -> None:
    async def scenario() -> None:
        node, gate = await start_fleet(fleet), asyncio.Event()
        for backend in fleet.backends:
            backend.handler = gate.wait  # type: ignore[assignment]
        connection = await connect(*fleet.layout.proxy_addresses()[0], 2.0)
        call = asyncio.create_task(
            send_request(fleet.layout.proxy_addresses()[0], method, target, "gone", b"", connection)
        )
        await wait_until(
            lambda: any(backend.handled_request_ids for backend in fleet.backends),
            "a backend processes the request",
        )
        connection.close()
        assert isinstance((await asyncio.gather(call, return_exceptions=True))[0], Exception)
        if method == b"GET":
            await wait_until(
                lambda: not node.http_server.pending_count(), "the request ends long before its deadline", 1.0
            )
            pools = node.connection_pool.endpoints.values()
            assert not any(pool.load.in_flight or pool.idle for pool in pools)
        else:
            await wait_until(lambda: not node.http_server.server_state.connections, "the connection is gone")
            assert node.http_server.pending_count() == 1  # the unsafe request may have run, so it continues
            gate.set()
            await wait_until(lambda: not node.http_server.pending_count(), "the request has ended")
            assert any(pool.idle for pool in node.connection_pool.endpoints.values())
        gate.set()
        assert [request for backend in fleet.backends for request in backend.handled_request_ids] == ["gone"]
        assert node.counters.responses == {"clients gone": 1}
        assert not node.memory_budget.reserved_bytes

    fleet.run(scenario())


def test_a_failed_request_is_answered_at_once_and_counted_by_route(fleet: Fleet) -> None:  # noqa: F811
    async def scenario() -> None:
        node, never = await start_fleet(fleet), asyncio.Event()
        for backend in fleet.backends:
            backend.handler = never.wait  # type: ignore[assignment]
        started_ns = now_ns()
        assert (await fleet.send_to_proxy(0, b"POST", b"/order/a")).status == 504  # it may have run
        assert now_ns() - started_ns < 1.9 * SECOND  # the client's deadline is 1.5 s
        ((name, failures),) = node.counters.route_failures.items()
        names = [route.name for route in node.view.route_table.routes_by_host["local.example"].values()]
        assert failures == {"broken off": 1}
        assert name in names
        for backend in fleet.backends:
            backend.server.shutdown()
            for connection in list(backend.server.server_state.connections):
                connection.transport.abort()
        started_ns = now_ns()
        rejected = await fleet.send_to_proxy(0, b"POST", b"/order/b")
        assert rejected.status == 503
        assert rejected.header(b"retry-after")
        assert rejected.header(b"x-backend-seal") is None
        assert now_ns() - started_ns < SECOND
        assert node.counters.route_failures == {name: {"broken off": 1}}
        never.set()

    fleet.run(scenario())


def test_requests_in_flight_outlast_a_new_configuration_and_new_settings(
    fleet: Fleet,  # noqa: F811
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        node, gate = await start_fleet(fleet), asyncio.Event()
        for backend in fleet.backends:
            backend.handler = gate.wait  # type: ignore[assignment]
        address = fleet.layout.proxy_addresses()[0]
        connections = [await connect(*address, 2.0) for _ in range(3)]
        calls = [
            asyncio.create_task(send_request(address, method, target, f"w{k}", b"", connections[k]))
            for k, (method, target) in enumerate([(b"POST", b"/order/a"), (b"GET", b"/read/a")])
        ]
        await wait_until(
            lambda: sum(len(backend.handled_request_ids) for backend in fleet.backends) == 2,
            "the backends process the requests",
        )
        await replace_config(fleet, 1, 2, {"/new/": ("safe", "lookup")})
        await wait_until(lambda: node.view.route_table.version == 2, "version 2 is active")
        settings = fleet.layout.node_settings(3, tmp_path / "disk-3", True)
        settings["network"]["seeds"] = settings["network"]["seeds"][:1]
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(settings))
        monkeypatch.setenv(node_settings.SETTINGS_FILE_VARIABLE, str(path))
        node.reload_settings()
        assert len(node.settings.seeds) == 1
        gate.set()
        assert [reply.status for reply in await asyncio.gather(*calls)] == [200, 200]
        for connection in connections:  # used and idle ones: none was closed
            assert (await send_request(address, b"GET", b"/new/a", "n", b"", connection)).status == 200
            connection.close()

    fleet.run(scenario())


def test_an_exception_in_one_pull_does_not_stop_pulling(fleet: Fleet) -> None:  # noqa: F811
    async def scenario() -> None:
        node = await start_fleet(fleet)
        apply_route_table, failed_versions = node.view.apply_route_table, []

        def fail_once(table: Any) -> None:
            node.view.apply_route_table = apply_route_table
            failed_versions.append(table.version)
            raise RuntimeError("injected failure")

        node.view.apply_route_table = fail_once
        await replace_config(fleet, 1, 2, ROUTES)
        await wait_until(lambda: node.view.route_table.version == 2, "version 2 is active nevertheless")
        assert failed_versions == [2]

    fleet.run(scenario())


ROUTE = Route(
    "r", False, 50.0, 100.0, 0, 1, (WeightedService("s", 1.0), WeightedService("t", 1.0)), "/order/"
)


def make_request_handler(route: Route = ROUTE) -> RequestHandler:
    """Return a handler with one route and no forwarder."""
    view = SimpleNamespace(
        route_table=RouteTable(1, {"local.example": {route.prefix: route}}),
        route_table_listeners=[],
        staleness=SimpleNamespace(is_fresh=lambda _now: True),
    )
    return RequestHandler(cast(Any, view), cast(Any, None), MemoryBudget(1000), ProxyCounters())


async def respond_without_a_body(
    path: bytes, route_ms: float, client_ms: bytes | None, waited_ms: int = 0
) -> tuple[int, float]:
    """Return the status of a request whose body never arrives, and the seconds until its response.

    :param waited_ms: how long the request has been queued since its headers were read
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

    started_ns = now_ns()
    async with asyncio.timeout(5):
        await make_request_handler(ROUTE._replace(deadline_ms=route_ms)).handle(
            cast(Any, scope), receive, send
        )
    return sent[0]["status"], (now_ns() - started_ns) / SECOND


@pytest.mark.parametrize(
    ("route_ms", "client_ms", "waited_ms"),
    [(50.0, None, 0), (50.0, b"9000", 0), (50.0, b"nan", 0), (9000.0, b"50", 0), (9000.0, b"8000", 7950)],
)
def test_a_body_is_waited_for_until_the_earlier_of_two_deadlines(
    route_ms: float, client_ms: bytes | None, waited_ms: int
) -> None:
    status, elapsed_s = asyncio.run(respond_without_a_body(b"/order/a", route_ms, client_ms, waited_ms))
    assert status == 408  # the request has not run and never will
    assert 0.04 <= elapsed_s < 0.55


def test_a_request_without_a_route_is_answered_before_its_body_arrives() -> None:
    status, elapsed_s = asyncio.run(respond_without_a_body(b"/none/a", 9000.0, b"9000"))
    assert status == 404
    assert elapsed_s < 0.5


def test_a_new_configuration_restarts_the_split_sequences() -> None:
    handler = make_request_handler()
    first = handler._splits.next_point(ROUTE.name)
    assert handler._splits.next_point(ROUTE.name) != first
    (on_route_table,) = cast(Any, handler._view).route_table_listeners
    on_route_table(None)
    assert ROUTE.name not in handler._splits._points
