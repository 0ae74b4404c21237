"""A small gateway in one process: the classes of the programs over loopback, one address per node."""

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
    """Three control-plane nodes, two proxies and four stub backends, which tests start and kill."""

    def __init__(self, folder: Path) -> None:
        self.runner = asyncio.Runner()
        self.layout, self.folder = SystemLayout(next(NETS) % 250, find_free_ports()), folder
        self.shutdown_requested: dict[int, asyncio.Future[None]] = {}
        self.server_tasks: dict[int, asyncio.Task[None]] = {}
        self.nodes: dict[int, Any] = {}
        self.backends: list[StubBackend] = []
        self.request_numbers = itertools.count(1)

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        async def bounded() -> Any:
            async with asyncio.timeout(25):
                return await coroutine

        return self.runner.run(bounded())

    async def start(self, index: int, bootstrap: bool = True) -> None:
        settings = self.layout.node_settings(index, self.folder / f"disk-{index}", bootstrap)
        node = (ControlPlaneServer if index < self.layout.control_plane_nodes else ProxyServer)(
            node_settings.parse_settings(json.dumps(settings))
        )
        self.shutdown_requested[index] = asyncio.get_running_loop().create_future()
        self.server_tasks[index] = asyncio.create_task(node.serve(self.shutdown_requested[index]))
        self.nodes[index] = node

    async def kill(self, index: int) -> None:
        """Stop a node as SIGKILL does: it sends and writes nothing more."""
        node = self.nodes.pop(index)
        for task in [self.server_tasks.pop(index), *node.tasks.running]:
            task.cancel()
        servers = [value for value in vars(node).values() if isinstance(value, HttpServer)]
        assert len(servers) > 1  # the peer server and at least one other
        for server in servers:
            if server.server is not None:
                server.server.close()
            for connection in list(server.server_state.connections):
                connection.transport.abort()
        if index < self.layout.control_plane_nodes:
            node.node.close()

    async def start_all(self) -> None:
        for index in range(self.layout.control_plane_nodes + self.layout.proxies):
            await self.start(index)
        for k, (svc, zone) in enumerate(itertools.product(("lookup", "orders"), ("north", "south"))):
            backend = StubBackend(f"b{k}", svc, zone, self.layout.ip_address(20 + k))
            await backend.start()
            self.backends.append(backend)
        await wait_until(
            lambda: all(self.nodes[k].holds_lease() for k in range(3)),
            "the control-plane nodes have their leases",
        )
        for backend in self.backends:
            assert await backend.send_heartbeat(self.layout.control_addresses()[0]) == 200

    async def replace_config(self, index: int, version: int, routes: dict[str, tuple[str, str]]) -> int:
        reply = await send_request(
            self.layout.control_addresses()[index],
            b"POST",
            b"/api/Config.Replace",
            body=build_configuration(version, routes),
        )
        return reply.status

    async def read_config(self, index: int) -> Any:
        reply = await send_request(self.layout.control_addresses()[index], b"GET", b"/api/Config.Read")
        return json.loads(reply.body) if reply.status == 200 else reply.status

    async def send_to_proxy(self, index: int, method: bytes, target: bytes) -> Any:
        return await send_request(
            self.layout.proxy_addresses()[index], method, target, f"q{next(self.request_numbers)}", b""
        )

    async def wait_until_ready(self) -> None:
        await wait_until(lambda: all(self.nodes[k].is_ready() for k in (3, 4)), "the proxies are ready")


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    fleet = Fleet(tmp_path)
    yield fleet
    fleet.runner.close()


@given("a gateway whose backends send heartbeats")
def a_gateway(fleet: Fleet) -> None:
    fleet.run(fleet.start_all())


@when("version 1 is sent to the first control-plane node")
def replace_with_version_1(fleet: Fleet) -> None:
    assert fleet.run(fleet.replace_config(0, 1, ROUTES)) == 200
    fleet.run(fleet.wait_until_ready())


@then("each proxy serves safe and unsafe requests")
def proxies_serve(fleet: Fleet) -> None:
    for index in (0, 1):
        for method, target in ((b"GET", b"/read/a?b=%2f"), (b"POST", b"/order/a")):
            reply = fleet.run(fleet.send_to_proxy(index, method, target))
            assert reply.status == 200
            assert target in reply.body
            assert reply.header(b"x-backend-seal")
        assert fleet.run(fleet.send_to_proxy(index, b"GET", b"/other/a")).status == 404
    request_ids = [request_id for backend in fleet.backends for request_id in backend.handled_request_ids]
    assert len(request_ids) == len(set(request_ids)) == 4


@when("a backend announces its drain to the second control-plane node")
def drain_backend(fleet: Fleet) -> None:
    backend = fleet.backends[0]
    backend.state = "draining"
    assert fleet.run(backend.send_heartbeat(fleet.layout.control_addresses()[1])) == 200


@then("no proxy sends to it once the drain is acknowledged")
def proxies_avoid_draining_backend(fleet: Fleet) -> None:
    backend = fleet.backends[0]
    directories = [fleet.nodes[k].backends for k in (3, 4)]
    fleet.run(
        wait_until(
            lambda: all(directory.instances["b0"].state == "draining" for directory in directories),
            "both proxies have the drain",
            2.0,
        )
    )
    handled_before = len(backend.handled_request_ids)
    for index in (0, 1):
        for _ in range(6):
            assert fleet.run(fleet.send_to_proxy(index, b"GET", b"/read/a")).status == 200
    backend.state, backend.heartbeats_sent = "up", 0  # a delayed heartbeat from before the drain
    fleet.run(backend.send_heartbeat(fleet.layout.control_addresses()[1]))
    assert all(directory.instances["b0"].state == "draining" for directory in directories)
    assert len(backend.handled_request_ids) == handled_before


@when("the same version with different content is sent to the third control-plane node")
def replace_with_other_content(fleet: Fleet) -> None:
    assert fleet.run(fleet.replace_config(2, 1, {"/read/": ("safe", "orders")})) == 409


@then("it is rejected, and every control-plane node returns the first content")
def first_content_is_read(fleet: Fleet) -> None:
    for index in range(3):
        assert fleet.run(fleet.read_config(index)) == json.loads(build_configuration(1, ROUTES))


@when("an older version is sent late")
def replace_with_older_version(fleet: Fleet) -> None:
    assert fleet.run(fleet.replace_config(1, 5, ROUTES)) == 200
    assert fleet.run(fleet.replace_config(0, 3, {"/read/": ("safe", "orders")})) == 200


@then("it is acknowledged and has no effect")
def older_version_has_no_effect(fleet: Fleet) -> None:
    fleet.run(
        wait_until(
            lambda: all(fleet.nodes[k].view.route_table.version == 5 for k in (3, 4)), "version 5 is in force"
        )
    )
    assert fleet.run(fleet.read_config(2)) == json.loads(build_configuration(5, ROUTES))


@when("two contents under one version are sent concurrently, several times", target_fixture="races")
def replace_concurrently(fleet: Fleet) -> list[tuple[int, int, int, Any]]:
    async def scenario() -> list[tuple[int, int, int, Any]]:
        races = []
        for version in range(6, 14):
            other_routes = {"/read/": ("safe", "orders")}
            first_status, second_status = await asyncio.gather(
                fleet.replace_config(version % 3, version, ROUTES),
                fleet.replace_config((version + 1) % 3, version, other_routes),
            )
            races.append((version, first_status, second_status, await fleet.read_config((version + 2) % 3)))
        assert await fleet.replace_config(1, 14, ROUTES) == 200
        return races

    return fleet.run(scenario())  # type: ignore[no-any-return]


@then("exactly one of each pair is acknowledged, and reads return it")
def one_of_two_is_accepted(races: list[tuple[int, int, int, Any]]) -> None:
    for version, first_status, second_status, read_config in races:
        assert sorted((first_status, second_status)) == [200, 409], (version, first_status, second_status)
        routes = ROUTES if first_status == 200 else {"/read/": ("safe", "orders")}
        assert read_config == json.loads(build_configuration(version, routes))


@when("the first control-plane node restarts with an empty disk")
def restart_with_empty_disk(fleet: Fleet) -> None:
    async def scenario() -> None:
        await fleet.kill(0)
        shutil.rmtree(fleet.folder / "disk-0")
        await fleet.start(0, bootstrap=False)
        acceptor = fleet.nodes[0].node.config_service.replica.acceptor
        request = PrepareRequest(1, 9, Ballot(1, 1, "x"))  # it must not vote before it is a member
        assert not acceptor.may_vote()
        assert isinstance(acceptor.handle(request), NotAMemberReply)
        await wait_until(
            lambda: acceptor.may_vote() and fleet.nodes[0].api_server.server,
            "the node with the empty disk is a member",
        )
        await wait_until(lambda: fleet.nodes[0].holds_lease(), "the node holds a lease")

    fleet.run(scenario())


@then("it joins as a new member and returns the acknowledged configuration")
def joins_as_new_member(fleet: Fleet) -> None:
    epoch = fleet.nodes[0].node.config_service.replica.acceptor.epoch
    assert epoch.number > 1
    assert len(epoch.members) == 3
    assert fleet.run(fleet.read_config(0)) == json.loads(build_configuration(14, ROUTES))


@when("a proxy is asked to shut down while a request is in flight", target_fixture="replies")
def shut_down_with_a_request_in_flight(fleet: Fleet) -> Any:
    async def scenario() -> Any:
        gate = asyncio.Event()
        for backend in fleet.backends:
            backend.handler = gate.wait  # type: ignore[assignment]
        idle_connection, busy_connection = (
            await connect(*fleet.layout.proxy_addresses()[0], 2.0),
            await connect(*fleet.layout.proxy_addresses()[0], 2.0),
        )
        task = asyncio.create_task(
            send_request(
                fleet.layout.proxy_addresses()[0], b"POST", b"/order/a", "last", b"", busy_connection
            )
        )
        await wait_until(
            lambda: any(b.requests_running for b in fleet.backends), "a backend runs the request"
        )
        fleet.shutdown_requested[3].set_result(None)
        await wait_until(lambda: fleet.nodes[3].shutting_down, "the proxy is shutting down")
        gate.set()
        idle_reply = await send_request(
            fleet.layout.proxy_addresses()[0], b"POST", b"/order/b", "still", b"", idle_connection
        )
        readyz_status = (
            await send_request(
                (fleet.layout.ip_address(3), fleet.layout.ports.readyz), b"GET", b"/api/readyz"
            )
        ).status
        await fleet.server_tasks[3]
        return await task, idle_reply, readyz_status

    return fleet.run(scenario())


@then("that request gets its complete response, and its connection is closed")
def response_is_complete(replies: Any) -> None:
    busy_reply, idle_reply, readyz_status = replies
    assert (busy_reply.status, idle_reply.status, readyz_status) == (200, 200, 503)
    assert busy_reply.header(b"connection") == idle_reply.header(b"connection") == b"close"


@when("a proxy restarts while only one control-plane node is left, without a lease")
def restart_proxy_in_partition(fleet: Fleet) -> None:
    async def scenario() -> None:
        for index in (1, 2, 4):
            await fleet.kill(index)
        await wait_until(lambda: not fleet.nodes[0].holds_lease(), "the lease has expired")
        await fleet.start(4)
        await wait_until(
            lambda: len(fleet.nodes[4].view.gossip.sources) > 1, "the proxy has received a reply"
        )

    fleet.run(scenario())


@then("it is not ready, and answers no request with 404")
def proxy_is_not_ready(fleet: Fleet) -> None:
    assert fleet.nodes[4].view.route_table is None
    assert not fleet.nodes[4].is_ready()
    reply = fleet.run(fleet.send_to_proxy(1, b"GET", b"/new/a"))
    assert reply.status == 503
    assert float(reply.header(b"retry-after")) < 1


@then("after the startup grace period it has no route table, and rejects requests with Retry-After")
def proxy_has_no_route_table(fleet: Fleet) -> None:
    node = fleet.nodes[4]
    node.view.started_ns -= STARTUP_GRACE_NS
    node.view.check_initial_sync(now_ns())
    node.view.initial_sync_ns -= STARTUP_GRACE_NS  # don't wait for backends of other services any longer
    assert node.view.route_table is None
    assert not node.is_ready()
    assert not node.view.staleness.has_been_confirmed
    for target in (b"/read/a", b"/new/a"):
        reply = fleet.run(fleet.send_to_proxy(1, b"GET", target))
        assert reply.status == 503
        assert float(reply.header(b"retry-after")) < 1


@then("while its view of the control plane is stale it is ready, and answers no request with 404")
def stale_view(fleet: Fleet) -> None:
    async def scenario() -> None:
        node = fleet.nodes[4]
        on_reply, node.view.staleness.on_reply = node.view.staleness.on_reply, lambda *_: None
        node.view.staleness.confirmed_ns -= MAX_AGE_NS
        assert node.is_ready()
        status = (await fleet.send_to_proxy(1, b"GET", b"/new/a")).status
        node.view.staleness.on_reply = on_reply
        await wait_until(lambda: node.view.staleness.is_fresh(now_ns()), "the proxy has received a new reply")
        assert (await fleet.send_to_proxy(1, b"GET", b"/new/a")).status == 404
        assert status == 503

    fleet.run(scenario())


@then("a drain that reaches no other node's disk is not acknowledged")
def drain_is_not_acknowledged(fleet: Fleet) -> None:
    backend = fleet.backends[1]
    backend.state = "draining"
    assert fleet.run(backend.send_heartbeat(fleet.layout.control_addresses()[0])) == 503
    assert fleet.run(backend.send_heartbeat(fleet.layout.control_addresses()[0], leave=True)) == 503


@when("the other nodes restart")
def restart_other_nodes(fleet: Fleet) -> None:
    async def scenario() -> None:
        await fleet.start(1)
        await fleet.start(2)
        node = fleet.nodes[4]
        await wait_until(
            lambda: node.is_ready() and node.view.staleness.is_fresh(now_ns()),
            "the proxy is ready and its view is fresh",
        )

    fleet.run(scenario())


@then("it is ready, and a delayed older version has no effect")
def delayed_version_has_no_effect(fleet: Fleet) -> None:
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
def backend_is_redirected(fleet: Fleet) -> None:
    backend, (first, second, _) = fleet.backends[1], fleet.layout.control_addresses()

    async def scenario() -> None:
        assert backend.assigned_address == second
        assert await backend.send_heartbeat(second) == 200
        await fleet.kill(1)
        backend.assigned_address = None
        assert await backend.send_heartbeat(second) == 0
        assert await backend.send_heartbeat(first) == 200
        # The killed node is still a known voter, but a redirect to it has failed.
        assert [peer.host for peer in fleet.nodes[0].cluster.peers.voters()].count(second[0])
        assert backend.assigned_address is None

    fleet.run(scenario())


@when("every program is killed and restarted, and one disk is lost")
def restart_all_and_lose_a_disk(fleet: Fleet) -> None:
    async def scenario() -> None:
        for index in range(5):
            await fleet.kill(index)
        shutil.rmtree(fleet.folder / "disk-1")  # the disk of the node that acknowledged the drain
        for index in range(5):
            await fleet.start(index, bootstrap=False)
        await wait_until(lambda: all(fleet.nodes[k].holds_lease() for k in (0, 2)), "two nodes hold a lease")

    fleet.run(scenario())


@then("a delayed heartbeat does not end the drain on any node")
def backend_stays_draining(fleet: Fleet) -> None:
    backend = fleet.backends[0]
    backend.state, backend.heartbeats_sent = "up", 0
    nodes = [fleet.nodes[k] for k in (0, 2, 3, 4)]

    async def scenario() -> None:
        await wait_until(
            lambda: all("b0" in node.backends.instances for node in nodes), "all nodes know the backend"
        )
        for index in (0, 2):
            assert await backend.send_heartbeat(fleet.layout.control_addresses()[index]) == 200
        await wait_until(lambda: nodes[3].is_ready(), "the proxy is ready")

    fleet.run(scenario())
    assert {node.backends.instances["b0"].state for node in nodes} == {"draining"}


@then("the commands report nodes, backends and reasons, in columns and as a JSON object")
def commands_report(fleet: Fleet, capsys: pytest.CaptureFixture[str]) -> None:
    control_plane, proxy = (f"{fleet.layout.ip_address(k)}:{fleet.layout.ports.peer}" for k in (0, 3))

    def output_of(*arguments: str) -> str:
        assert fleet.run(asyncio.to_thread(commands.main, arguments)) == 0
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
    assert sorted(row["kind"] for row in rows_of_nodes) == ["junction"] * 2 + ["signalbox"] * 3
    assert {(row["version"], row["well"]) for row in rows_of_nodes} == {("00000001", "yes")}
    assert output_of("status", control_plane, "--all").splitlines()[0].split()[:4] == [
        "node",
        "kind",
        "version",
        "well",
    ]


@then("invalid input prints one line to stderr and returns exit code 2")
def invalid_input(fleet: Fleet, capsys: pytest.CaptureFixture[str]) -> None:
    control_plane, proxy = (f"{fleet.layout.ip_address(k)}:{fleet.layout.ports.peer}" for k in (0, 3))
    for arguments, error in (
        (("why", "lookup", control_plane), "reports no services"),
        (("why", "nobody", proxy), "knows no service 'nobody'"),
        (("why", "lookup", "nowhere"), "no address"),
        (("nodes", proxy), "reports no members"),
        (("status", proxy, "--all"), "reports no members"),
    ):
        assert fleet.run(asyncio.to_thread(commands.main, arguments)) == 2
        out, err = capsys.readouterr()
        assert not out
        assert err.count("\n") == 1
        assert error in err


@when("a backend ends and its address goes to another service")
def reuse_address(fleet: Fleet) -> None:
    async def scenario() -> None:
        ended = fleet.backends[0]
        for _ in range(6):  # fills the connection pools
            await asyncio.gather(*(fleet.send_to_proxy(k, b"GET", b"/read/a") for k in (0, 1)))
        port = ended.port
        ended.server.shutdown()
        for connection in list(ended.server.server_state.connections):
            connection.transport.abort()
        newcomer = StubBackend("new", "orders", ended.zone, ended.host)
        newcomer.port = await newcomer.server.listen(ended.host, port)
        fleet.backends.append(newcomer)

    fleet.run(scenario())


@then("no request for the old backend reaches the new one")
def newcomer_gets_no_request(fleet: Fleet) -> None:
    for index in (0, 1):
        for _ in range(8):
            try:
                assert fleet.run(fleet.send_to_proxy(index, b"GET", b"/read/a")).status == 200
            except RequestError:
                raise AssertionError("a request failed") from None
    assert fleet.backends[-1].handled_request_ids == []
