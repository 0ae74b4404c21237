"""Tests the controller process on loopback sockets, with fakes of discovery, proxies and collectors."""

from __future__ import annotations

import asyncio
import signal
import socket
from pathlib import Path
from typing import Any

import pytest

from meadowworks.fleet.discovery import MIN_POLL_INTERVAL_S
from tests.fleet.program import (
    SETTINGS,
    TIMEOUT_S,
    ControllerProcess,
    FakeDiscovery,
    FakePeer,
    endpoint,
    run_with_controller,
)

ENDPOINTS = endpoint("s-1"), endpoint("s-2"), endpoint("s-9", "west")


def has_exactly(*names: str) -> Any:
    """Return a condition: each table of a peer has exactly these backends."""
    return lambda peer: all(set(table) == set(names) for table in peer.tables.values())


def has_lost(name: str) -> Any:
    """Return a condition: no table of a peer has a backend any more, and none is empty."""
    return lambda peer: all(table and name not in table for table in peer.tables.values())


def has_heartbeat_reply(peer: FakePeer) -> bool:
    return peer.heartbeat_replies > 0


def test_known_endpoints_are_used_while_discovery_is_silent(tmp_path: Path) -> None:
    discovery = FakeDiscovery(*ENDPOINTS, endpoint("s-7", "moon"))  # its zone is unknown: ignored
    discovery.mode = "silent"

    async def scenario(controller: ControllerProcess) -> None:
        peer = await controller.peer("hb")
        await peer.receive_until(has_heartbeat_reply)
        east, west = await controller.proxy(0), await controller.proxy(1, "west")
        await east.receive_until(has_exactly("s-1", "s-2"))
        await west.receive_until(has_exactly("s-9"))

    run_with_controller(scenario, tmp_path, discovery)


def test_drain_and_new_backend_are_sent_to_proxies(tmp_path: Path) -> None:
    discovery = FakeDiscovery(*ENDPOINTS)

    async def scenario(controller: ControllerProcess) -> None:
        east, west = await controller.proxy(0), await controller.proxy(1, "west")
        await east.receive_until(has_exactly("s-1", "s-2"))
        await discovery.update(endpoint("s-1", status="terminating"))
        await east.receive_until(has_lost("s-1"))
        await discovery.update(endpoint("s-2", status="terminated"))  # a zone without backends uses all zones
        await east.receive_until(has_exactly("s-9"))
        await discovery.update(endpoint("s-3"))
        await east.receive_until(has_exactly("s-3"))
        assert west.tables["look"].keys() <= {"s-9"}

    run_with_controller(scenario, tmp_path, discovery)


@pytest.mark.parametrize("mode", ["down", "cut", "silent", "back"])
def test_list_stays_valid_while_discovery_fails_and_is_updated_afterwards(tmp_path: Path, mode: str) -> None:
    discovery = FakeDiscovery(*ENDPOINTS)
    short_refresh = {**SETTINGS, "safety": {**SETTINGS["safety"], "ask_within_us": 2000000}}

    async def scenario(controller: ControllerProcess) -> None:
        east = await controller.proxy(0)
        await east.receive_until(has_exactly("s-1", "s-2"))
        await discovery.update(mode=mode)
        first = discovery.calls
        async with asyncio.timeout(TIMEOUT_S):
            while discovery.calls < first + 2:  # the failed call, and the next one
                await asyncio.sleep(0.02)
        assert has_exactly("s-1", "s-2")(east)
        await discovery.update(endpoint("s-1", status="terminating"))
        await east.receive_until(has_lost("s-1"))
        assert "discovery: call failed" in controller.log()

    run_with_controller(scenario, tmp_path, discovery, settings=short_refresh)


def test_discovery_that_replies_at_once_is_polled_at_minimum_interval(tmp_path: Path) -> None:
    discovery = FakeDiscovery(*ENDPOINTS)
    discovery.mode = "hasty"

    async def scenario(controller: ControllerProcess) -> None:
        east = await controller.proxy(0)
        await east.receive_until(has_exactly("s-1", "s-2"))
        first, started = discovery.calls, asyncio.get_running_loop().time()
        await asyncio.sleep(1)
        intervals = (asyncio.get_running_loop().time() - started) / MIN_POLL_INTERVAL_S
        assert discovery.calls - first <= 2 * intervals + 2
        await discovery.update(endpoint("s-1", status="terminating"), mode="hasty")
        await east.receive_until(has_lost("s-1"))

    run_with_controller(scenario, tmp_path, discovery)


def test_malformed_entry_does_not_affect_others_and_is_requested_again(tmp_path: Path) -> None:
    discovery = FakeDiscovery(*ENDPOINTS)

    async def scenario(controller: ControllerProcess) -> None:
        east = await controller.proxy(0)
        await east.receive_until(has_exactly("s-1", "s-2"))
        await discovery.update(
            {**endpoint("s-2", status="terminating"), "since_ms": "soon"},
            endpoint("s-3"),
            {**endpoint("s-4"), "status": "odd"},
            {**endpoint("s-5"), "name": 7},
        )
        # The valid entry is added; no backend is removed.
        await east.receive_until(has_exactly("s-1", "s-2", "s-3"))
        await discovery.update(endpoint("s-2", status="terminating"))
        await east.receive_until(has_lost("s-2"))
        await controller.wait_for_log("malformed entries passed over")
        assert "discovery: call failed" not in controller.log()

    run_with_controller(scenario, tmp_path, discovery)


def test_reload_changes_discovery_address_and_keeps_streams(tmp_path: Path) -> None:
    discovery, next_discovery = FakeDiscovery(*ENDPOINTS), FakeDiscovery(*ENDPOINTS[1:])

    async def scenario(controller: ControllerProcess) -> None:
        east = await controller.proxy(0)
        await east.receive_until(has_exactly("s-1", "s-2"))
        for invalid in ("", '{"name": "n0", "listen"', '{"listen": 7}', "[]"):
            (tmp_path / "config.json").write_text(invalid)
            controller.process.send_signal(signal.SIGHUP)
        await controller.wait_for_log("configuration not taken, the old one stands")
        (tmp_path / "config.json").unlink()
        controller.process.send_signal(signal.SIGHUP)
        await discovery.update(endpoint("s-4"))  # the old discovery address is still watched
        await east.receive_until(has_exactly("s-1", "s-2", "s-4"))
        controller.write(discovery=await next_discovery.open(), seed="another", limits={"sockets": 999})
        controller.process.send_signal(signal.SIGHUP)
        await east.receive_until(has_exactly("s-2"))  # backends missing from the new list are removed
        await controller.wait_for_log("only a restart can change sockets")
        calls = discovery.calls
        for k in (5, 6):  # an unchanged configuration changes nothing
            controller.process.send_signal(signal.SIGHUP)
            await next_discovery.update(endpoint(f"s-{k}"))
            await east.receive_until(lambda p, name=f"s-{k}": name in p.tables["look"])  # type: ignore[misc]
        assert discovery.calls == calls and "discovery: call failed" not in controller.log()

    run_with_controller(scenario, tmp_path, discovery)


def test_bind_is_retried_until_address_is_free(tmp_path: Path) -> None:
    async def scenario() -> None:
        controller = ControllerProcess(tmp_path, FakeDiscovery(*ENDPOINTS))
        with socket.create_server(("127.0.0.1", controller.port)):
            await controller.start()
            async with asyncio.timeout(TIMEOUT_S):
                while "not free yet" not in controller.log():
                    await asyncio.sleep(0.02)
        await (await controller.proxy(0)).receive_until(has_exactly("s-1", "s-2"))
        assert await controller.stop(signal.SIGTERM) == 0

    asyncio.run(scenario())


def test_new_stream_replaces_open_stream_of_same_proxy(tmp_path: Path) -> None:
    discovery = FakeDiscovery(*ENDPOINTS)

    async def scenario(controller: ControllerProcess) -> None:
        old = await controller.proxy(0)
        await old.receive_until(has_exactly("s-1", "s-2"))
        new = await controller.proxy(0)
        await new.receive_until(has_exactly("s-1", "s-2"))
        await old.wait_closed()  # the end of the replaced stream does not remove the proxy
        await discovery.update(endpoint("s-1", status="terminating"))
        await new.receive_until(has_lost("s-1"))

    run_with_controller(scenario, tmp_path, discovery)


def test_lines_may_be_split_and_batched(tmp_path: Path) -> None:
    async def scenario(controller: ControllerProcess) -> None:
        peer = await controller.peer()
        for byte in b"attach id=0 site=east rps=1 new=1\r\nh":
            peer.writer.write(bytes([byte]))
            await peer.writer.drain()
            await asyncio.sleep(0)
        peer.send("b", "hb", "hb")
        await peer.receive_until(lambda p: p.heartbeat_replies == 3 and has_exactly("s-1", "s-2")(p))

    run_with_controller(scenario, tmp_path, FakeDiscovery(*ENDPOINTS))


def test_invalid_lines_from_identified_peer_keep_connection(tmp_path: Path) -> None:
    async def scenario(controller: ControllerProcess) -> None:
        proxy = await controller.proxy(0)
        collector = await controller.peer("telemetry site=east")
        for peer in (proxy, collector):
            peer.send(
                "",
                "what",
                "done id=0",
                "client_stats id=0 lane=none count=1 fail=0 over=1000",
                "client_stats id=0 lane=look count=-1 fail=0 over=1000",
                "upstream_stats site=east target=s-404 count=2 fail=0 mean=3 over=1000",
                "upstream_stats site=moon target=s-1 count=2 fail=0 mean=3 over=1000",
                "upstream_stats site=east target=s-1 count=2 fail=0 mean=nan over=1000",
                "upstream_stats site=east target=s-1 count=2 fail=0 mean=3 over=inf",
                "upstream_stats site=east target=s-1 count=2 fail=0 mean=3 over=1000 util=queue:x",
            )
            peer.writer.write(b"\xff\xfe\r\n")
            peer.send(
                "upstream_stats site=east target=s-1 count=2 fail=0 mean=3 over=1000 util=queue:1", "hb"
            )
            await peer.receive_until(has_heartbeat_reply)

    run_with_controller(scenario, tmp_path, FakeDiscovery(*ENDPOINTS))


def test_too_long_line_only_closes_its_connection(tmp_path: Path) -> None:
    async def scenario(controller: ControllerProcess) -> None:
        proxy, other = await controller.proxy(0), await controller.proxy(1)
        await other.receive_until(has_exactly("s-1", "s-2"))
        proxy.writer.write(b"x" * (1 << 21))
        await proxy.wait_closed()
        unidentified = await controller.peer()
        unidentified.writer.write(b"y" * (1 << 14))
        await unidentified.wait_closed()
        other.send("hb")
        await other.receive_until(has_heartbeat_reply)

    run_with_controller(scenario, tmp_path, FakeDiscovery(*ENDPOINTS))


@pytest.mark.parametrize("first", [b"", b"upstream_st", b"hb\r\n"])
def test_flood_beyond_descriptor_limit_does_not_displace_proxies(tmp_path: Path, first: bytes) -> None:
    async def scenario(controller: ControllerProcess) -> None:
        east = await controller.proxy(0)
        await east.receive_until(has_exactly("s-1", "s-2"))
        flood = [await controller.peer() for _ in range(150)]  # some stay in the backlog
        for peer in flood:
            peer.writer.write(first)
        west = await controller.proxy(1, "west")
        await west.receive_until(has_exactly("s-9"))
        for peer in flood:
            await peer.wait_closed()
        east.send("hb")
        await east.receive_until(has_heartbeat_reply)
        assert "could not be accepted" not in controller.log()

    run_with_controller(scenario, tmp_path, FakeDiscovery(*ENDPOINTS), sockets=64)


@pytest.mark.parametrize(
    "line",
    [
        b"\x16\x03\x01\x02\r\n",
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        b"y" * (1 << 14),
        b"\r\n",
        b"assign full=1 endpoints=s-1:1\r\n",
        b"client_stats id=0 lane=look count=1 fail=0 over=1000\r\n",
        b"upstream_stats site=east target=s-1 count=2 fail=0 mean=3 over=1000\r\n",
        b"done id=0 seq=1 ms=1\r\n",
        b"attach id=0 site=moon rps=1 new=1\r\n",
        b"attach id=4 site=east rps=1 new=1\r\n",
        b"attach id=x site=east rps=1 new=1\r\n",
        b"telemetry site=moon\r\n",
    ],
)
def test_invalid_first_line_is_rejected_with_reason_and_closed(tmp_path: Path, line: bytes) -> None:
    async def scenario(controller: ControllerProcess) -> None:
        client = await controller.peer("hb")
        await client.receive_until(has_heartbeat_reply)
        client.writer.write(line)
        assert (await client.reader.readuntil(b"\r\n")).startswith(b"reject")
        await client.wait_closed()

    run_with_controller(scenario, tmp_path, FakeDiscovery(*ENDPOINTS))


def test_oldest_collector_is_closed_beyond_limit_per_zone(tmp_path: Path) -> None:
    async def scenario(controller: ControllerProcess) -> None:
        oldest, *others = [await controller.peer("telemetry site=east", "hb") for _ in range(8)]
        await oldest.wait_closed()
        others[-1].send("hb")
        await others[-1].receive_until(lambda p: p.heartbeat_replies == 2)

    run_with_controller(scenario, tmp_path, FakeDiscovery(*ENDPOINTS))


def test_reported_failures_lower_weight_of_backend(tmp_path: Path) -> None:
    async def scenario(controller: ControllerProcess) -> None:
        east = await controller.proxy(0)
        await east.receive_until(has_exactly("s-1", "s-2", "s-3"))
        before = east.tables["look"]["s-1"]
        collector = await controller.peer("telemetry site=east")

        async def send_reports() -> None:
            while True:
                for k in (1, 2, 3):
                    collector.send(
                        f"upstream_stats site=east target=s-{k} count=20 fail={20 * (k == 1)} "
                        "mean=90 over=500 util=queue:0"
                    )
                collector.send("client_stats id=0 lane=look count=20 fail=0 over=500")
                await asyncio.sleep(0.2)

        reports = asyncio.create_task(send_reports())
        await east.receive_until(lambda p: p.tables["look"]["s-1"] < before / 2)
        reports.cancel()

    run_with_controller(scenario, tmp_path, FakeDiscovery(*ENDPOINTS, endpoint("s-3")))


def test_restarted_controller_serves_reconnecting_proxies(tmp_path: Path) -> None:
    discovery = FakeDiscovery(*ENDPOINTS)

    async def scenario(controller: ControllerProcess) -> None:
        east = await controller.proxy(0)
        await east.receive_until(has_exactly("s-1", "s-2"))
        await discovery.update(endpoint("s-1", status="terminating"))
        await east.receive_until(has_lost("s-1"))
        await controller.stop(signal.SIGKILL)
        await east.wait_closed()
        await controller.start()
        reconnected = await controller.proxy(0)
        await reconnected.receive_until(has_lost("s-1"))  # s-1 is a known endpoint; discovery removes it

    run_with_controller(scenario, tmp_path, discovery)


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"settings": {**SETTINGS, "zones": None}}, "setting zones is missing"),
        ({"settings": {**SETTINGS, "extra": {**SETTINGS["extra"], "queue_cap": "much"}}}, "extra.queue_cap"),
        ({"settings": {**SETTINGS, "limits": {"probes": True}}}, "limits.probes"),
        ({"settings": {**SETTINGS, "extra": {**SETTINGS["extra"], "slices": 8}}}, "extra.slices"),
        ({"settings": None}, "settings are missing"),
        ({"listen": "nowhere"}, "listen is not an address"),
        ({"name": ""}, "NODE_NAME is not set"),
        ({"known": {"index": 1}}, "known cannot be read"),
    ],
)
def test_invalid_configuration_is_reported_in_one_line(
    tmp_path: Path, change: dict[str, Any], message: str
) -> None:
    async def scenario() -> None:
        controller = ControllerProcess(tmp_path, FakeDiscovery())
        controller.config.update(change, discovery="127.0.0.1:1")
        await controller.start()
        assert await controller.stop(0) == 2
        assert message in controller.log() and controller.log().count("\n") == 1

    asyncio.run(scenario())


FAULT_INJECTION = """
import sys
from meadowworks import __main__, policy
from meadowworks.fleet import connection_state
connection_state.MAX_MESSAGE_PARTS = 0 if "parts" in sys.argv else connection_state.MAX_MESSAGE_PARTS
del sys.argv[1:]
original = policy.Controller.on_proxy_joined
def failing_on_proxy_joined(self, now_ns, number, zone, usual_rate):
    if number == 3:
        raise RuntimeError("injected fault")
    original(self, now_ns, number, zone, usual_rate)
policy.Controller.on_proxy_joined = failing_on_proxy_joined
sys.exit(__main__.main())
"""


@pytest.mark.parametrize("build", ["release", "debug"])
def test_fault_in_event_ends_debug_build_and_is_counted_in_release_build(tmp_path: Path, build: str) -> None:
    async def scenario() -> None:
        controller = ControllerProcess(tmp_path, FakeDiscovery(*ENDPOINTS))
        await controller.start(*["-O"] * (build == "release"), "-c", FAULT_INJECTION)
        await controller.proxy(3)
        if build == "debug":
            assert await controller.stop(0) != 0
        else:
            await (await controller.proxy(0)).receive_until(has_exactly("s-1", "s-2"))
            assert await controller.stop(signal.SIGTERM) == 0
            assert "faults in an event: 1" in controller.log()
        assert "injected fault" in controller.log()

    asyncio.run(scenario())


@pytest.mark.parametrize("build", ["release", "debug"])
def test_violated_invariant_of_stream_ends_debug_build(tmp_path: Path, build: str) -> None:
    async def scenario() -> None:
        controller = ControllerProcess(tmp_path, FakeDiscovery(*ENDPOINTS))
        await controller.start(*["-O"] * (build == "release"), "-c", FAULT_INJECTION, "parts")
        east = await controller.proxy(0)
        if build == "debug":
            assert await controller.stop(0) == 1
        else:
            await east.receive_until(has_exactly("s-1", "s-2"))
            assert await controller.stop(signal.SIGTERM) == 0
        assert "BROKEN a message's most: 1" in controller.log()

    asyncio.run(scenario())
