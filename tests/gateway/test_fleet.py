"""A small gateway in one process: the programs' own classes over loopback, each controller at its address."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import shutil
from collections.abc import Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest
from pytest_bdd import given, scenarios, then, when

from meadowworks.cli import main as commands
from meadowworks.config.route_table import load_route_table
from meadowworks.consensus.messages import NotAMemberReply, PrepareRequest
from meadowworks.consensus.values import Ballot
from meadowworks.controlplane.server import ControlPlaneServer
from meadowworks.forwarding.staleness import MAX_AGE_NS
from meadowworks.local.backend import StubBackend
from meadowworks.local.system import SystemLayout, build_configuration, find_free_ports
from meadowworks.proxy.control_plane_view import STARTUP_GRACE_NS
from meadowworks.proxy.server import ProxyServer
from meadowworks.runtime import node_settings
from meadowworks.runtime.clock import now_ns
from meadowworks.runtime.errors import RequestError
from meadowworks.runtime.http_connection import connect
from meadowworks.runtime.http_server import HttpServer
from tests.gateway.helpers import send_request, wait_until

scenarios("features/fleet.feature")
ROUTES = {"/read/": ("safe", "lookup"), "/order/": ("unsafe", "orders")}
NETS = itertools.count(100 + os.getpid() % 100)


class Fleet:
    def __init__(self, folder: Path) -> None:
        self.runner = asyncio.Runner()
        self.layout, self.folder = SystemLayout(next(NETS) % 250, find_free_ports()), folder
        self.shutdown_requested: dict[int, asyncio.Future[None]] = {}
        self.server_tasks: dict[int, asyncio.Task[None]] = {}
        self.nodes: dict[int, Any] = {}
        self.backends: list[StubBackend] = []
        self.request_numbers = itertools.count(1)

    def run(self, what: Coroutine[Any, Any, Any]) -> Any:
        async def bounded() -> Any:
            async with asyncio.timeout(25):
                return await what

        return self.runner.run(bounded())

    async def start(self, place: int, bootstrap: bool = True) -> None:
        settings = self.layout.node_settings(place, self.folder / f"disk-{place}", bootstrap)
        node = (ControlPlaneServer if place < self.layout.control_plane_nodes else ProxyServer)(
            node_settings.parse_settings(json.dumps(settings))
        )
        self.shutdown_requested[place] = asyncio.get_running_loop().create_future()
        self.server_tasks[place] = asyncio.create_task(node.serve(self.shutdown_requested[place]))
        self.nodes[place] = node

    async def kill(self, place: int) -> None:
        """As SIGKILL: nothing more is sent or written."""
        node = self.nodes.pop(place)
        for task in [self.server_tasks.pop(place), *node.tasks.running]:
            task.cancel()
        servers = [value for value in vars(node).values() if isinstance(value, HttpServer)]
        assert len(servers) > 1  # each kind of node has a peer port, and a port for those it serves
        for server in servers:
            if server.server is not None:
                server.server.close()
            for connection in list(server.server_state.connections):
                connection.transport.abort()
        if place < self.layout.control_plane_nodes:
            node.node.close()

    async def start_all(self) -> None:
        for place in range(self.layout.control_plane_nodes + self.layout.proxies):
            await self.start(place)
        for k, (svc, zone) in enumerate(itertools.product(("lookup", "orders"), ("north", "south"))):
            made = StubBackend(f"b{k}", svc, zone, self.layout.ip_address(20 + k))
            await made.start()
            self.backends.append(made)
        await wait_until(
            lambda: all(self.nodes[k].holds_lease() for k in range(3)),
            "the control-plane nodes have their leases",
        )
        for made in self.backends:
            assert await made.send_heartbeat(self.layout.control_addresses()[0]) == 200

    async def replace_config(self, place: int, version: int, routes: dict[str, tuple[str, str]]) -> int:
        reply = await send_request(
            self.layout.control_addresses()[place],
            b"POST",
            b"/api/Config.Replace",
            body=build_configuration(version, routes),
        )
        return reply.status

    async def read_config(self, place: int) -> Any:
        reply = await send_request(self.layout.control_addresses()[place], b"GET", b"/api/Config.Read")
        return json.loads(reply.body) if reply.status == 200 else reply.status

    async def send_to_proxy(self, place: int, method: bytes, target: bytes) -> Any:
        return await send_request(
            self.layout.proxy_addresses()[place], method, target, f"q{next(self.request_numbers)}", b""
        )

    async def wait_until_ready(self) -> None:
        await wait_until(lambda: all(self.nodes[k].is_ready() for k in (3, 4)), "the proxies are ready")


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    made = Fleet(tmp_path)
    yield made
    made.runner.close()


@given("a gateway whose backends send heartbeats")
def a_gateway(fleet: Fleet) -> None:
    fleet.run(fleet.start_all())


@when("version 1 is sent to the first control-plane node")
def version_one(fleet: Fleet) -> None:
    assert fleet.run(fleet.replace_config(0, 1, ROUTES)) == 200
    fleet.run(fleet.wait_until_ready())


@then("each proxy serves safe and unsafe requests")
def both_serve(fleet: Fleet) -> None:
    for place in (0, 1):
        for method, target in ((b"GET", b"/read/a?b=%2f"), (b"POST", b"/order/a")):
            reply = fleet.run(fleet.send_to_proxy(place, method, target))
            assert reply.status == 200
            assert target in reply.body
            assert reply.header(b"x-backend-seal")
        assert fleet.run(fleet.send_to_proxy(place, b"GET", b"/other/a")).status == 404
    ran = [ident for backend in fleet.backends for ident in backend.handled_request_ids]
    assert len(ran) == len(set(ran)) == 4


@when("a backend announces its drain to the second control-plane node")
def one_drains(fleet: Fleet) -> None:
    backend = fleet.backends[0]
    backend.state = "draining"
    assert fleet.run(backend.send_heartbeat(fleet.layout.control_addresses()[1])) == 200


@then("no proxy sends to it once the drain is acknowledged")
def none_sends(fleet: Fleet) -> None:
    backend = fleet.backends[0]
    others = [fleet.nodes[k].backends for k in (3, 4)]
    fleet.run(
        wait_until(
            lambda: all(lives.instances["b0"].state == "draining" for lives in others), "drain is known", 2.0
        )
    )
    before = len(backend.handled_request_ids)
    for place in (0, 1):
        for _ in range(6):
            assert fleet.run(fleet.send_to_proxy(place, b"GET", b"/read/a")).status == 200
    backend.state, backend.heartbeats_sent = "up", 0  # a late heartbeat, from before the drain
    fleet.run(backend.send_heartbeat(fleet.layout.control_addresses()[1]))
    assert all(lives.instances["b0"].state == "draining" for lives in others)
    assert len(backend.handled_request_ids) == before


@when("the same version with another content is sent to the third control-plane node")
def another_content(fleet: Fleet) -> None:
    assert fleet.run(fleet.replace_config(2, 1, {"/read/": ("safe", "orders")})) == 409


@then("it is rejected, and every control-plane node returns what was sent first")
def read_back(fleet: Fleet) -> None:
    for place in range(3):
        assert fleet.run(fleet.read_config(place)) == json.loads(build_configuration(1, ROUTES))


@when("an older version is sent late")
def older(fleet: Fleet) -> None:
    assert fleet.run(fleet.replace_config(1, 5, ROUTES)) == 200
    assert fleet.run(fleet.replace_config(0, 3, {"/read/": ("safe", "orders")})) == 200


@then("it is acknowledged and changes nothing")
def changes_nothing(fleet: Fleet) -> None:
    fleet.run(
        wait_until(
            lambda: all(fleet.nodes[k].view.route_table.version == 5 for k in (3, 4)), "version 5 is in force"
        )
    )
    assert fleet.run(fleet.read_config(2)) == json.loads(build_configuration(5, ROUTES))


@when("two contents under one version are sent concurrently, several times", target_fixture="races")
def at_once(fleet: Fleet) -> list[tuple[int, int, int, Any]]:
    async def whole() -> list[tuple[int, int, int, Any]]:
        found = []
        for version in range(6, 14):
            others = {"/read/": ("safe", "orders")}
            one, two = await asyncio.gather(
                fleet.replace_config(version % 3, version, ROUTES),
                fleet.replace_config((version + 1) % 3, version, others),
            )
            found.append((version, one, two, await fleet.read_config((version + 2) % 3)))
        assert await fleet.replace_config(1, 14, ROUTES) == 200
        return found

    return fleet.run(whole())  # type: ignore[no-any-return]


@then("exactly one of each two is acknowledged, and that one is read back")
def exactly_one(races: list[tuple[int, int, int, Any]]) -> None:
    for version, one, two, back in races:
        assert sorted((one, two)) == [200, 409], (version, one, two)
        routes = ROUTES if one == 200 else {"/read/": ("safe", "orders")}
        assert back == json.loads(build_configuration(version, routes))


@when("the first control-plane node comes back with an empty disk")
def wiped(fleet: Fleet) -> None:
    async def whole() -> None:
        await fleet.kill(0)
        shutil.rmtree(fleet.folder / "disk-0")
        await fleet.start(0, bootstrap=False)
        acceptor = fleet.nodes[0].node.config_service.replica.acceptor
        request = PrepareRequest(1, 9, Ballot(1, 1, "x"))  # it may not vote on what it knows nothing of
        assert not acceptor.may_vote()
        assert isinstance(acceptor.handle(request), NotAMemberReply)
        await wait_until(
            lambda: acceptor.may_vote() and fleet.nodes[0].api_server.server, "the empty disk has entered"
        )
        await wait_until(lambda: fleet.nodes[0].holds_lease(), "it has its lease")

    fleet.run(whole())


@then("it joins as a new member and returns what was acknowledged")
def entered(fleet: Fleet) -> None:
    epoch = fleet.nodes[0].node.config_service.replica.acceptor.epoch
    assert epoch.number > 1
    assert len(epoch.members) == 3
    assert fleet.run(fleet.read_config(0)) == json.loads(build_configuration(14, ROUTES))


@when("a proxy is asked to shut down while a request is in flight", target_fixture="last")
def shut_down_with_a_request_in_flight(fleet: Fleet) -> Any:
    async def whole() -> Any:
        gate = asyncio.Event()
        for backend in fleet.backends:
            backend.handler = gate.wait  # type: ignore[assignment]
        kept, work = (
            await connect(*fleet.layout.proxy_addresses()[0], 2.0),
            await connect(*fleet.layout.proxy_addresses()[0], 2.0),
        )
        task = asyncio.create_task(
            send_request(fleet.layout.proxy_addresses()[0], b"POST", b"/order/a", "last", b"", work)
        )
        await wait_until(lambda: any(b.requests_running for b in fleet.backends), "it is at work")
        fleet.shutdown_requested[3].set_result(None)
        await wait_until(lambda: fleet.nodes[3].shutting_down, "it leaves")
        gate.set()
        idle = await send_request(fleet.layout.proxy_addresses()[0], b"POST", b"/order/b", "still", b"", kept)
        polled = (
            await send_request(
                (fleet.layout.ip_address(3), fleet.layout.ports.readyz), b"GET", b"/api/readyz"
            )
        ).status
        await fleet.server_tasks[3]
        return await task, idle, polled

    return fleet.run(whole())


@then("that request gets its complete response, and its connection is closed")
def answered_whole(last: Any) -> None:
    at_work, later, polled = last
    assert (at_work.status, later.status, polled) == (200, 200, 503)
    assert at_work.header(b"connection") == later.header(b"connection") == b"close"


@when("a proxy restarts while only one control-plane node is left, without a lease")
def starts_cut_off(fleet: Fleet) -> None:
    async def whole() -> None:
        for place in (1, 2, 4):
            await fleet.kill(place)
        await wait_until(lambda: not fleet.nodes[0].holds_lease(), "its lease has ended")
        await fleet.start(4)
        await wait_until(lambda: len(fleet.nodes[4].view.gossip.sources) > 1, "it has had a reply")

    fleet.run(whole())


@then("it is not ready, and answers no request with 404")
def not_ready(fleet: Fleet) -> None:
    assert fleet.nodes[4].view.route_table is None
    assert not fleet.nodes[4].is_ready()
    unknown = fleet.run(fleet.send_to_proxy(1, b"GET", b"/new/a"))
    assert unknown.status == 503
    assert float(unknown.header(b"retry-after")) < 1


@then("after a while it still has no route table, and rejects requests with a time to retry")
def no_table(fleet: Fleet) -> None:
    node = fleet.nodes[4]
    node.view.started_ns -= STARTUP_GRACE_NS
    node.view.check_initial_sync(now_ns())
    node.view.initial_sync_ns -= STARTUP_GRACE_NS  # its other services' backends are not waited for longer
    assert node.view.route_table is None
    assert not node.is_ready()
    assert not node.view.staleness.has_been_confirmed
    for target in (b"/read/a", b"/new/a"):
        refused = fleet.run(fleet.send_to_proxy(1, b"GET", target))
        assert refused.status == 503
        assert float(refused.header(b"retry-after")) < 1


@then("while its view of the control plane is stale it is ready, and answers no request with 404")
def stale_view(fleet: Fleet) -> None:
    async def whole() -> None:
        node = fleet.nodes[4]
        work, node.view.staleness.on_reply = node.view.staleness.on_reply, lambda *_: None
        node.view.staleness.confirmed_ns -= MAX_AGE_NS
        assert node.is_ready()
        status = (await fleet.send_to_proxy(1, b"GET", b"/new/a")).status
        node.view.staleness.on_reply = work
        await wait_until(lambda: node.view.staleness.is_fresh(now_ns()), "it has a fresh reply")
        assert (await fleet.send_to_proxy(1, b"GET", b"/new/a")).status == 404
        assert status == 503

    fleet.run(whole())


@then("a drain that reaches no other node's disk is not acknowledged")
def not_acknowledged(fleet: Fleet) -> None:
    backend = fleet.backends[1]
    backend.state = "draining"
    assert fleet.run(backend.send_heartbeat(fleet.layout.control_addresses()[0])) == 503
    assert fleet.run(backend.send_heartbeat(fleet.layout.control_addresses()[0], leave=True)) == 503


@when("the other nodes are back")
def others_back(fleet: Fleet) -> None:
    async def whole() -> None:
        await fleet.start(1)
        await fleet.start(2)
        node = fleet.nodes[4]
        await wait_until(
            lambda: node.is_ready() and node.view.staleness.is_fresh(now_ns()), "it is ready, and knows"
        )

    fleet.run(whole())


@then("it is ready, and an older version that comes late changes nothing there")
def never_back(fleet: Fleet) -> None:
    assert fleet.run(fleet.send_to_proxy(1, b"GET", b"/new/a")).status == 404
    node = fleet.nodes[4]
    node.view.apply_route_table(load_route_table(build_configuration(7, ROUTES)))
    node.view.apply_route_table(load_route_table(build_configuration(6, {"/new/": ("safe", "lookup")})))
    assert node.view.route_table.version == 7
    assert node.view.route_table.find_route("local.example", "/new/a") is None


@when("a backend of the south sends a heartbeat to the first control-plane node, in the north")
def heartbeat_in_another_zone(fleet: Fleet) -> None:
    assert fleet.run(fleet.backends[1].send_heartbeat(fleet.layout.control_addresses()[0])) == 200


@then("it is redirected to the second, until a heartbeat fails there")
def asked_to_call(fleet: Fleet) -> None:
    backend, (first, second, _) = fleet.backends[1], fleet.layout.control_addresses()

    async def whole() -> None:
        assert backend.assigned_address == second
        assert await backend.send_heartbeat(second) == 200
        await fleet.kill(1)
        backend.assigned_address = None
        assert await backend.send_heartbeat(second) == 0
        assert await backend.send_heartbeat(first) == 200
        # Its card is fresh yet, but it has failed one that was sent there.
        assert [c.host for c in fleet.nodes[0].cluster.peers.voters()].count(second[0])
        assert backend.assigned_address is None

    fleet.run(whole())


@when("every program is killed and restarted, and one disk is lost")
def all_lost(fleet: Fleet) -> None:
    async def whole() -> None:
        for place in range(5):
            await fleet.kill(place)
        shutil.rmtree(fleet.folder / "disk-1")  # where the drain was acknowledged
        for place in range(5):
            await fleet.start(place, bootstrap=False)
        await wait_until(lambda: all(fleet.nodes[k].holds_lease() for k in (0, 2)), "two know each other")

    fleet.run(whole())


@then("a late heartbeat does not bring the backend back anywhere")
def not_back(fleet: Fleet) -> None:
    backend = fleet.backends[0]
    backend.state, backend.heartbeats_sent = "up", 0
    nodes = [fleet.nodes[k] for k in (0, 2, 3, 4)]

    async def whole() -> None:
        await wait_until(lambda: all("b0" in node.backends.instances for node in nodes), "all know of it")
        for place in (0, 2):
            assert await backend.send_heartbeat(fleet.layout.control_addresses()[place]) == 200
        await wait_until(lambda: nodes[3].is_ready(), "it is ready")

    fleet.run(whole())
    assert {node.backends.instances["b0"].state for node in nodes} == {"draining"}


@then("the commands report nodes, backends and reasons, in columns and as one JSON object")
def commands_report(fleet: Fleet, capsys: pytest.CaptureFixture[str]) -> None:
    control_plane, proxy = (f"{fleet.layout.ip_address(k)}:{fleet.layout.ports.peer}" for k in (0, 3))

    def output_of(*line: str) -> str:
        assert fleet.run(asyncio.to_thread(commands.main, line)) == 0
        return capsys.readouterr().out

    assert {node["votes"] for node in json.loads(output_of("nodes", control_plane, "--json"))["members"]} >= {
        True
    }
    rows = output_of("backends", proxy).splitlines()
    assert rows[0].split() == ["id", "service", "address", "zone", "state"]
    assert len(rows) == 5
    fleet.nodes[3].view.balancers["lookup"].controller.backends[0].ejection_step = 2
    report = json.loads(output_of("why", "lookup", proxy, "--json"))
    assert report["service"] == "lookup"
    assert report["level"] == 1.0
    assert set(report["zones"]) == {"north", "south"}
    assert set(report["table"]) | set(report["abroad"]) == {"b0", "b1"}
    assert "rung " in output_of("why", "lookup", proxy)
    rows_of_nodes = json.loads(output_of("status", control_plane, "--all", "--json"))["controllers"]
    assert sorted(c["kind"] for c in rows_of_nodes) == ["junction"] * 2 + ["signalbox"] * 3
    assert {(c["version"], c["well"]) for c in rows_of_nodes} == {("00000001", "yes")}
    assert output_of("status", control_plane, "--all").splitlines()[0].split()[:4] == [
        "node",
        "kind",
        "version",
        "well",
    ]


@then("invalid input is one line and exit code 2")
def no_sense(fleet: Fleet, capsys: pytest.CaptureFixture[str]) -> None:
    control_plane, proxy = (f"{fleet.layout.ip_address(k)}:{fleet.layout.ports.peer}" for k in (0, 3))
    for line, why in (
        (("why", "lookup", control_plane), "reports no services"),
        (("why", "nobody", proxy), "knows no service 'nobody'"),
        (("why", "lookup", "nowhere"), "no address"),
        (("nodes", proxy), "reports no members"),
        (("status", proxy, "--all"), "reports no members"),
    ):
        assert fleet.run(asyncio.to_thread(commands.main, line)) == 2
        out, err = capsys.readouterr()
        assert not out
        assert err.count("\n") == 1
        assert why in err


@when("a backend ends and its address goes to another service")
def reused(fleet: Fleet) -> None:
    async def whole() -> None:
        old = fleet.backends[0]
        for _ in range(6):  # lines to it lie in the pools
            await asyncio.gather(*(fleet.send_to_proxy(k, b"GET", b"/read/a") for k in (0, 1)))
        port = old.port
        old.server.shutdown()
        for caller in list(old.server.server_state.connections):
            caller.transport.abort()
        newcomer = StubBackend("new", "orders", old.zone, old.host)
        newcomer.port = await newcomer.server.listen(old.host, port)
        fleet.backends.append(newcomer)

    fleet.run(whole())


@then("no request reaches the newcomer in its place")
def none_reaches(fleet: Fleet) -> None:
    for place in (0, 1):
        for _ in range(8):
            try:
                assert fleet.run(fleet.send_to_proxy(place, b"GET", b"/read/a")).status == 200
            except RequestError:
                raise AssertionError("a request was broken off") from None
    assert fleet.backends[-1].handled_request_ids == []
