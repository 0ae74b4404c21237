"""The parts of the real controller one by one: orders beside the simulator's wire, mailboxes, messages."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from pathlib import Path
from typing import Any, cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from meadowworks.fleet import controller, discovery, listener
from meadowworks.fleet.config import load_config
from meadowworks.fleet.connection_state import ConnectionLimits
from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import (
    BackendReport,
    ConnectionEnd,
    ConnectionItem,
    ControllerEvent,
    DemandReport,
    DiscoveryCommand,
    EndpointList,
    ProxyHello,
    ProxyJoined,
    ProxyLeft,
    UnknownMessageError,
    UpdateApplied,
    decode,
    encode,
    parse_endpoint_list,
)
from meadowworks.fleet.names import NameIndex
from meadowworks.fleet.settings import flatten, read_settings
from meadowworks.fleet.streams import ProxyStreams
from meadowworks.fleet.table_updates import TableUpdates
from meadowworks.simulator_adapter.wire import ControllerInstance
from tests.helpers import LANES, NESTED, Desk, Peer, Program

NAMES = dict(enumerate(("s-0", "s-1", "s-2")))
ORDER = st.one_of(
    st.tuples(st.just("set_weight"), st.integers(0, 1), st.integers(0, 2), st.sampled_from([0.0, 0.5, 2.0])),
    st.tuples(st.just("assign_table"), st.integers(0, 3), st.integers(0, 2), st.integers(0, 1)),
    st.tuples(
        st.just("set_admission"),
        st.integers(0, 1),
        st.integers(0, 3),
        st.sampled_from([0.1, 1.0]),
        st.integers(0, 1),
    ),
    st.tuples(st.just("leave"), st.integers(0, 2)),
    st.tuples(st.just("turn")),
)


class Wire:
    """What each proxy holds by the simulator's wire, and what the channel counts for it."""

    def __init__(self) -> None:
        self.tables: dict[int, dict[str, float]] = {0: {}, 1: {}}
        self.levels: dict[tuple[int, str], tuple[float, int]] = {}
        self.bound: dict[int, dict[str, int]] = {p: {} for p in range(3)}
        self.cost: dict[int, int] = {}

    def lanes(self, mask: str) -> list[str]:
        return [lane for k, lane in enumerate(LANES) if mask == "0" or int(mask) >> k & 1]

    def apply(self, line: str) -> None:
        kind, _, *v = line.split("\t")
        if kind == "SUBSCRIBE_TO":
            self.bound[int(v[1])].update((lane, int(v[2])) for lane in self.lanes(v[0]))
            levels = sum((int(v[2]), lane) in self.levels for lane in LANES)
            self.cost[int(v[1])] = self.cost.get(int(v[1]), 0) + 1 + len(self.tables[int(v[2])]) + levels
            return
        table = int(v[0])
        if kind == "UPSERT":
            self.tables[table][v[1]] = float(v[2])
            if not float(v[2]):
                del self.tables[table][v[1]]
        else:
            self.levels.update(((table, lane), (float(v[2]), int(v[3]))) for lane in self.lanes(v[1]))
        for proxy, bound in self.bound.items():
            if table in bound.values():
                self.cost[proxy] = self.cost.get(proxy, 0) + 1

    def held(self, proxy: int) -> dict[str, Any]:
        bound = self.bound[proxy]
        return {lane: (self.tables[t], self.levels.get((t, lane))) for lane, t in bound.items()}


@settings(derandomize=True, database=None, deadline=None, max_examples=150)
@given(st.lists(ORDER, max_size=30))
def test_a_proxy_ends_up_with_what_the_simulators_wire_would_give_it(calls: list[Any]) -> None:
    out: list[str] = []
    sim, wire, orders = (
        ControllerInstance("n", 1, flatten(NESTED), out, 0),
        Wire(),
        TableUpdates(LANES, NAMES),
    )
    for name in NAMES.values():
        sim.backends.index(name)
    peers = {p: Peer() for p in range(3)}
    for p in peers:
        orders.add_proxy(p)
    for what, *how in [*calls, ("turn",)]:
        if what == "leave":
            for turn in ("remove_proxy", "add_proxy"):
                getattr(orders, turn)(how[0])
            peers[how[0]], wire.bound[how[0]] = Peer(), {}
            wire.cost.pop(how[0], None)
        elif what != "turn":
            known = wire.tables[how[0]] if what == "set_weight" else {}
            if what == "set_weight" and not how[2] and NAMES[how[1]] not in known:
                continue  # the module takes out only what is there
            out.clear()
            getattr(sim, what)(*how)
            getattr(orders, what)(*how)
            for line in out:
                wire.apply(line)
        else:
            sent = {p: parts for users, parts in orders.take_messages() for p in users}
            assert set(sent) <= set(wire.cost)
            for p, parts in sent.items():
                assert 0 < sum(part.channel_lines() for part in parts) <= wire.cost[p]
                before = peers[p].messages
                for line in encode(parts).decode().split("\r\n")[:-1]:
                    peers[p].apply(line)
                assert peers[p].messages == before + 1  # one a turn, whatever its parts
            wire.cost.clear()
            for p, peer in peers.items():
                held = {lane: (peer.tables[lane], peer.levels.get(lane)) for lane in wire.bound[p]}
                assert held == wire.held(p)


def test_both_adapters_read_the_same_settings() -> None:
    flat = flatten(NESTED)
    assert (flat["zones"], flat["profiles.count"], flat["profiles.1.name"]) == ("east,west", "2", "book")
    assert flat["extra.home_only"] == "false,false" and flat["extra.by_zone"] == "true"
    found, zones, routes = read_settings(flat)
    assert zones == {"east": 0, "west": 1} and routes == {"look": 0, "book": 1}
    assert (
        found.proxies_join_own_zone
        and found.watches_list
        and not found.health_checks
        and found.report_interval_ns == 500_000_000
    )


def test_a_full_mailbox_drops_its_oldest_reports_and_nothing_else() -> None:
    async def act() -> list[str]:
        box: Mailbox[str] = Mailbox(2)
        for item in ("join", "a", "b", "leave", "c", "d"):
            box.put(item, report=len(item) == 1)
        return box.drain()

    assert asyncio.run(act()) == ["join", "leave", "c", "d"]


def test_an_order_to_a_proxy_that_has_not_joined_ends_a_debug_build() -> None:
    with pytest.raises(AssertionError):
        TableUpdates(LANES, NAMES).assign_table(0, 7, 0)


@pytest.mark.parametrize("figure", [float("nan"), float("inf"), -1.0])
def test_no_figure_without_sense_goes_out(figure: float) -> None:
    orders = TableUpdates(LANES, NAMES)
    orders.add_proxy(0)
    orders.assign_table(0, 0, 0)
    orders.set_weight(0, 0, figure)
    with pytest.raises(ValueError, match="cannot be ordered"):
        encode(next(orders.take_messages())[1])


def test_what_many_proxies_are_told_alike_is_one_message() -> None:
    orders = TableUpdates(LANES, NAMES)
    for proxy in range(60):
        orders.add_proxy(proxy)
        orders.assign_table(0, proxy, proxy % 2)
    assert [len(users) for users, _ in orders.take_messages()] == [30, 30]
    orders.set_weight(1, 0, 2.0)
    orders.remove_proxy(59)
    orders.assign_table(
        0, 0, 1
    )  # this one is told its new table in full, those on it before the change alone
    told = sorted((users, parts) for users, parts in orders.take_messages())
    assert [users for users, _ in told] == [[0], list(range(1, 59, 2))]
    assert [(part.replaces, part.weights) for _, parts in told for part in parts] == [
        (True, (("s-0", 2.0),)),
        (False, (("s-0", 2.0),)),
    ]
    assert not list(orders.take_messages())


def test_who_asks_most_is_told_first(monkeypatch: pytest.MonkeyPatch) -> None:
    told: list[Any] = []
    monkeypatch.setattr(Mailbox, "put", lambda box, item: told.append(box))
    orders = TableUpdates(LANES, NAMES)
    streams, boxes = ProxyStreams(orders), {proxy: Mailbox[ConnectionItem](9) for proxy in range(6)}
    for proxy, box in boxes.items():
        streams.on_joined(proxy, box)
        orders.assign_table(0, proxy, proxy % 2)  # two messages: the order goes across them
    calls = [1.0, 5.0, 3.0, 3.0, 0.0, 9.0]
    assert sorted(streams.send_updates(calls.__getitem__)) == [(3, 1), (3, 1)]
    assert told == [boxes[proxy] for proxy in (5, 1, 2, 3, 0, 4)]


def test_a_fault_in_one_message_costs_the_others_nothing() -> None:
    orders = TableUpdates(LANES, NAMES)
    streams, boxes = ProxyStreams(orders), [Mailbox[ConnectionItem](9) for _ in range(2)]
    for proxy, weight in enumerate((1.0, float("nan"))):
        orders.set_weight(proxy, 0, weight)
        streams.on_joined(proxy, boxes[proxy])
        orders.assign_table(0, proxy, proxy)
    with pytest.raises(ValueError):
        list(streams.send_updates())
    assert [len(box.items) for box in boxes] == [1, 0] and not list(streams.send_updates())


def test_a_name_that_was_freed_comes_back_under_another_index() -> None:
    names = NameIndex()
    old = names.index("s-1")
    names.release(old)
    assert not names.name_by_index and names.index("s-1") != old and len(names.index_by_name) == 1


def test_a_small_weight_is_neither_nothing_nor_written_with_an_exponent() -> None:
    orders = TableUpdates(LANES, NAMES)
    orders.add_proxy(0)
    orders.set_weight(0, 1, 1e-12)
    orders.assign_table(1, 0, 0)
    assert (
        encode(next(orders.take_messages())[1]) == b"assign routes=look full=1 endpoints=s-1:0.000000001\r\n"
    )


def test_a_mark_rides_in_the_last_line_of_each_message_and_counts_as_a_line() -> None:
    orders = TableUpdates(LANES, NAMES)
    for proxy in (0, 1):
        orders.add_proxy(proxy)
        orders.assign_table(1, proxy, 0)
        orders.assign_table(2, proxy, 1)
    orders.nonce = 905
    ((users, parts),) = orders.take_messages()
    lines = encode(parts).decode().split("\r\n")[:-1]
    assert users == [0, 1] and ["nonce_out=905" in line for line in lines] == [False, True]
    assert [part.channel_lines() for part in parts] == [1, 2] and orders.nonce is None


def test_lines_of_the_protocol_are_read_in_its_units() -> None:
    told = b"upstream_stats site=a target=s-5 count=4 fail=1 mean=41.7 over=1000.0 util=inflight:7,util:0.61"
    assert decode(told) == BackendReport(
        "a", "s-5", 4, 1, 41_700_000, 1_000_000_000, {"inflight": 7.0, "util": 0.61}
    )
    assert decode(b"attach id=17 site=a rps=21.5 new=1\r") == ProxyHello(17, "a", 21.5, True)
    none_good = decode(b"upstream_stats site=a target=s-5 count=2 fail=2 over=500")
    assert none_good == BackendReport("a", "s-5", 2, 2, 0, 500_000_000, {})
    with pytest.raises(ValueError, match="5 of 4"):
        decode(told.replace(b"fail=1", b"fail=5"))


@pytest.mark.parametrize("answer", [None, [], {}, {"index": 1, "snapshot": True}, {"endpoints": []}])
def test_a_list_without_sense_is_an_error(answer: Any) -> None:
    with pytest.raises(ValueError, match="without sense"):
        parse_endpoint_list(answer)


class Transport:
    """A peer that reads nothing."""

    def __init__(self) -> None:
        self.unread = b""
        self.aborted = False

    def write(self, data: bytes) -> None:
        self.unread += data

    def get_write_buffer_size(self) -> int:
        return len(self.unread)

    def abort(self) -> None:
        self.aborted = True

    def get_extra_info(self, _: str) -> None:
        return None


def door(**options: float) -> tuple[listener.Listener, Mailbox[ControllerEvent]]:
    module: Mailbox[ControllerEvent] = Mailbox(99)
    return listener.Listener(module, {"a"}, 4, int(options.get("sockets", 64))), module


def hired(first: bytes) -> tuple[listener.Connection, Transport, Mailbox[ControllerEvent]]:
    """A connection that has said who it is, on a transport that reads nothing."""
    here, module = door()
    peer, line = listener.Connection(asyncio.get_running_loop(), here), Transport()
    peer.connection_made(cast(asyncio.Transport, line))
    peer.data_received(first)
    return peer, line, module


def test_a_stream_that_is_not_read_is_ended_alone_and_left(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "CONNECTION_LIMITS", ConnectionLimits(unsent_bytes=20))

    async def act() -> None:
        peer, slow, module = hired(b"attach id=2 site=a rps=1 new=1\r\n")
        peer.data_received(b"hb\r\nhb\r\nhb\r\nhb\r\n")
        await asyncio.sleep(0)
        assert slow.aborted
        peer.connection_lost(None)
        for _ in range(3):
            await asyncio.sleep(0)
        assert module.drain() == [
            ProxyJoined(ProxyHello(2, "a", 1.0, True), peer.mailbox),
            ProxyLeft(2, peer.mailbox),
        ]

    asyncio.run(act())


def test_a_stream_passes_on_its_own_usage_and_marks_alone_and_a_collector_its_zones() -> None:
    async def act() -> None:
        here, there = BackendReport("a", "s", 1, 0, 1, 1, {}), BackendReport("b", "s", 1, 0, 1, 1, {})
        mine, other = DemandReport(2, "look", 1, 0, 1), DemandReport(3, "look", 1, 0, 1)
        said: list[ConnectionItem] = [
            mine,
            other,
            UpdateApplied(2, 9),
            UpdateApplied(3, 9),
            here,
            there,
            ConnectionEnd("over"),
        ]
        for first, passed in (
            (b"attach id=2 site=a rps=1 new=1\r\n", [mine, said[2]]),
            (b"telemetry site=a\r\n", [mine, other, here]),
        ):
            peer, _, module = hired(first)
            for item in said:
                peer.mailbox.put(item)
            for _ in range(2):
                await asyncio.sleep(0)
            assert [
                item for item in module.drain() if not isinstance(item, ProxyJoined | ProxyLeft)
            ] == passed

    asyncio.run(act())


def test_a_stall_that_outlasts_a_calls_limit_loses_no_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "NEW_WATCH_GRACE_S", 0.0)

    async def act() -> None:
        near, far = socket.socketpair()
        with near, far:
            near.setblocking(False)
            actor = discovery.DiscoveryClient(
                "127.0.0.1:1", 1, 10_000_000, Mailbox[DiscoveryCommand](1), Mailbox[ControllerEvent](1)
            )

            async def call(_: object) -> EndpointList:
                await asyncio.get_running_loop().sock_recv(near, 1)
                return EndpointList(2, False, ())

            monkeypatch.setattr(actor, "fetch", call)
            answer = asyncio.create_task(actor.fetch_in_time(cast(Any, None)))
            await asyncio.sleep(0)
            await asyncio.sleep(0)  # the call waits
            far.send(b"!")
            time.sleep(10 * actor.watch_wait_ms / 1000)  # the process stands still
            assert (await answer) == EndpointList(2, False, ())

    asyncio.run(act())


@pytest.mark.parametrize("first", [b"", b"telemetry site=a\r\n"])
def test_who_asks_and_does_not_read_is_ended(monkeypatch: pytest.MonkeyPatch, first: bytes) -> None:
    monkeypatch.setattr(listener, "CONNECTION_LIMITS", ConnectionLimits(unsent_bytes=20))

    async def act() -> None:
        door, slow = listener.Listener(Mailbox[ControllerEvent](9), {"a"}, 4, 64), Transport()
        peer = listener.Connection(asyncio.get_running_loop(), door)
        peer.connection_made(cast(asyncio.Transport, slow))
        peer.data_received(first + b"hb\r\n")
        assert not slow.aborted
        for _ in range(9):
            await asyncio.sleep(0)  # a collector's actor has its turn
            peer.data_received(b"hb\r\n")
        assert slow.aborted
        peer.connection_lost(None)

    asyncio.run(act())


def test_the_timer_neither_drifts_nor_piles_up_after_a_stall(tmp_path: Path) -> None:
    program = Program(tmp_path, Desk())
    (tmp_path / "config.json").write_text(json.dumps({**program.config, "discovery": "127.0.0.1:1"}))

    async def act() -> None:
        config = load_config({"NODE_CONFIG": str(tmp_path / "config.json")})
        at = asyncio.get_running_loop().call_at
        node = controller.FleetController(
            config, Mailbox[ControllerEvent](9), Mailbox[DiscoveryCommand](9), at
        )
        due, wait = node.timer_due_ns, config.settings.report_interval_ns
        node.now = due + 1000  # a little late: the next is counted from when this one was due
        node.set_timer(wait)
        assert node.timer_due_ns == due + wait
        node.now = node.timer_due_ns + 10 * wait
        node.set_timer(wait)
        assert node.timer_due_ns == node.now + wait

    asyncio.run(act())


@pytest.mark.parametrize(
    "line",
    [
        "client_stats id=1_0 lane=a count=1 fail=0 over=1",
        "client_stats id=\u0661 lane=a count=1 fail=0 over=1",
        "client_stats id=0 lane=a count=+1 fail=0 over=1",
        "client_stats id=0 lane=a count=1.5 fail=0 over=1",
        "client_stats id=0 lane=a count=1 fail=0 over=0",
        "client_stats id=0 lane=a count=1 fail=0 over=nan",
        "client_stats id=0 lane=a count=1 fail=0 over=1 count=2",
        "client_stats id=0 lane=a count fail=0 over=1",
        "client_stats id=0 lane=a count=1 fail=0 over=" + "9" * 400,
        "client_stats id=0 lane=a count=1 fail=0",
        "upstream_stats site=a target=b count=1 fail=0 mean=-1 over=1000",
        "upstream_stats site=a target=b count=1 fail=0 mean=2 over=1000 util=queue",
        "upstream_stats site=a target=b count=1 fail=0 mean=2 over=1000 util=queue:1,queue:2",
        "attach id=0 site=a rps=1e999 new=1",
        "attach id=0 site=a rps=1 new=maybe",
        "done id=0 seq=x ms=1",
    ],
)
def test_a_field_spoilt_is_told_from_what_is_no_message(line: str) -> None:
    with pytest.raises(ValueError) as found:
        decode(line.encode())
    assert not isinstance(found.value, UnknownMessageError)
    with pytest.raises(UnknownMessageError):
        decode(b"x" + line.encode())


@pytest.mark.parametrize("first", ["", "hb\r\n", "telem"])
def test_who_does_not_join_in_time_is_ended(monkeypatch: pytest.MonkeyPatch, first: str) -> None:
    monkeypatch.setattr(listener, "HANDSHAKE_TIMEOUT_S", 0.05)

    async def act() -> None:
        here, _ = door()
        with await here.open_socket("127.0.0.1", 0) as listening:
            serving = asyncio.create_task(here.run(listening))
            port = listening.getsockname()[1]
            idle, named = await Peer().dial(port), await Peer().dial(port, "attach id=0 site=a rps=1 new=1")
            idle.writer.write(first.encode())
            if first.startswith("hb"):
                await idle.until(lambda peer: peer.beats == 1)
            await idle.over()
            named.say("hb")
            await named.until(lambda peer: peer.beats == 1)
            serving.cancel()

    asyncio.run(act())


def test_answers_to_marks_beyond_a_connections_bound_give_way_as_reports_do(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listener, "MAX_QUEUED_REPORTS", 3)

    async def act() -> None:
        peer = listener.Connection(asyncio.get_running_loop(), door()[0])
        peer.connection_made(cast(asyncio.Transport, Transport()))
        peer.data_received(b"attach id=2 site=a rps=1 new=1\r\n" + b"done id=2 seq=7 ms=1\r\n" * 9)
        assert len(peer.mailbox.items) == 3
        peer.connection_lost(None)

    asyncio.run(act())


def test_a_peer_is_ended_for_what_goes_on_unread_and_not_for_lines_spoilt() -> None:
    async def act() -> None:
        here, module = door()
        bounds = listener.CONNECTION_LIMITS
        for rubbish in (b"\x00\xff what\r\n" * bounds.unreadable_lines, b"\x00\xff" * bounds.unknown_bytes):
            peer, line = listener.Connection(asyncio.get_running_loop(), here), Transport()
            peer.connection_made(cast(asyncio.Transport, line))
            peer.data_received(b"attach id=2 site=a rps=1 new=1\r\n")
            for _ in range(2 * listener.CONNECTION_LIMITS.unreadable_lines):
                peer.data_received(b"client_stats id=2 lane=a count=x fail=0 over=1000\r\n\x00\r\n")
                peer.data_received(b"client_stats id=2 lane=a count=1 fail=0 over=1000\r\n")
            assert not line.aborted and not line.unread
            peer.data_received(rubbish)
            assert line.aborted
            peer.connection_lost(None)

    asyncio.run(act())
