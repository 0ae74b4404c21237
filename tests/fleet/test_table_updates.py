"""Changes of tables as messages, beside the simulator's wire."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from meadowworks.fleet.messages import (
    encode_updates,
)
from meadowworks.fleet.settings import flatten
from meadowworks.fleet.table_updates import TableUpdates
from meadowworks.simulator_adapter.host import ControllerInstance
from tests.fleet.program import LANES, NESTED, Peer

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
                for line in encode_updates(parts).decode().split("\r\n")[:-1]:
                    peers[p].apply(line)
                assert peers[p].messages == before + 1  # one a turn, whatever its parts
            wire.cost.clear()
            for p, peer in peers.items():
                held = {lane: (peer.tables[lane], peer.levels.get(lane)) for lane in wire.bound[p]}
                assert held == wire.held(p)


def test_an_order_to_a_proxy_that_has_not_joined_ends_a_debug_build() -> None:
    with pytest.raises(AssertionError):
        TableUpdates(LANES, NAMES).assign_table(0, 7, 0)


@pytest.mark.parametrize("figure", [float("nan"), float("inf"), -1.0])
def test_no_figure_without_sense_goes_out(figure: float) -> None:
    orders = TableUpdates(LANES, NAMES)
    orders.add_proxy(0)
    orders.assign_table(0, 0, 0)
    orders.set_weight(0, 0, figure)
    with pytest.raises(ValueError, match="cannot encode"):
        encode_updates(next(orders.take_messages())[1])


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


def test_a_small_weight_is_neither_nothing_nor_written_with_an_exponent() -> None:
    orders = TableUpdates(LANES, NAMES)
    orders.add_proxy(0)
    orders.set_weight(0, 1, 1e-12)
    orders.assign_table(1, 0, 0)
    assert (
        encode_updates(next(orders.take_messages())[1])
        == b"assign routes=look full=1 endpoints=s-1:0.000000001\r\n"
    )


def test_a_mark_rides_in_the_last_line_of_each_message_and_counts_as_a_line() -> None:
    orders = TableUpdates(LANES, NAMES)
    for proxy in (0, 1):
        orders.add_proxy(proxy)
        orders.assign_table(1, proxy, 0)
        orders.assign_table(2, proxy, 1)
    orders.nonce = 905
    ((users, parts),) = orders.take_messages()
    lines = encode_updates(parts).decode().split("\r\n")[:-1]
    assert users == [0, 1] and ["nonce_out=905" in line for line in lines] == [False, True]
    assert [part.channel_lines() for part in parts] == [1, 2] and orders.nonce is None
