"""Tests table updates as messages; the simulator's protocol is the reference."""

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
from tests.fleet.program import ROUTES, SETTINGS, FakePeer

NAMES = dict(enumerate(("s-0", "s-1", "s-2")))


OPERATION = st.one_of(
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


class SimulatorWire:
    """Each proxy's tables and counted channel lines according to the simulator's protocol."""

    def __init__(self) -> None:
        self.tables: dict[int, dict[str, float]] = {0: {}, 1: {}}
        self.admissions: dict[tuple[int, str], tuple[float, int]] = {}
        self.assignments: dict[int, dict[str, int]] = {proxy: {} for proxy in range(3)}
        self.channel_lines: dict[int, int] = {}

    def route_names(self, mask: str) -> list[str]:
        return [route for k, route in enumerate(ROUTES) if mask == "0" or int(mask) >> k & 1]

    def apply(self, line: str) -> None:
        kind, _, *values = line.split("\t")
        if kind == "SUBSCRIBE_TO":
            self.assignments[int(values[1])].update(
                (route, int(values[2])) for route in self.route_names(values[0])
            )
            admissions = sum((int(values[2]), route) in self.admissions for route in ROUTES)
            self.channel_lines[int(values[1])] = (
                self.channel_lines.get(int(values[1]), 0) + 1 + len(self.tables[int(values[2])]) + admissions
            )
            return
        table = int(values[0])
        if kind == "UPSERT":
            self.tables[table][values[1]] = float(values[2])
            if not float(values[2]):
                del self.tables[table][values[1]]
        else:
            self.admissions.update(
                ((table, route), (float(values[2]), int(values[3]))) for route in self.route_names(values[1])
            )
        for proxy, assignment in self.assignments.items():
            if table in assignment.values():
                self.channel_lines[proxy] = self.channel_lines.get(proxy, 0) + 1

    def tables_of(self, proxy: int) -> dict[str, Any]:
        assignment = self.assignments[proxy]
        return {
            route: (self.tables[table], self.admissions.get((table, route)))
            for route, table in assignment.items()
        }


@settings(derandomize=True, database=None, deadline=None, max_examples=150)
@given(st.lists(OPERATION, max_size=30))
def test_proxy_tables_match_simulator_protocol(operations: list[Any]) -> None:
    output: list[str] = []
    simulator, wire, updates = (
        ControllerInstance("n", 1, flatten(SETTINGS), output, 0),
        SimulatorWire(),
        TableUpdates(ROUTES, NAMES),
    )
    for name in NAMES.values():
        simulator.backends.index(name)
    peers = {proxy: FakePeer() for proxy in range(3)}
    for proxy in peers:
        updates.add_proxy(proxy)
    for operation, *arguments in [*operations, ("turn",)]:
        if operation == "leave":
            for method in ("remove_proxy", "add_proxy"):
                getattr(updates, method)(arguments[0])
            peers[arguments[0]], wire.assignments[arguments[0]] = FakePeer(), {}
            wire.channel_lines.pop(arguments[0], None)
        elif operation != "turn":
            table = wire.tables[arguments[0]] if operation == "set_weight" else {}
            if operation == "set_weight" and not arguments[2] and NAMES[arguments[1]] not in table:
                continue  # the policy only removes backends of the table
            output.clear()
            getattr(simulator, operation)(*arguments)
            getattr(updates, operation)(*arguments)
            for line in output:
                wire.apply(line)
        else:
            sent = {proxy: parts for proxies, parts in updates.take_messages() for proxy in proxies}
            assert set(sent) <= set(wire.channel_lines)
            for proxy, parts in sent.items():
                assert 0 < sum(part.channel_lines() for part in parts) <= wire.channel_lines[proxy]
                before = peers[proxy].messages
                for line in encode_updates(parts).decode().split("\r\n")[:-1]:
                    peers[proxy].apply(line)
                assert peers[proxy].messages == before + 1  # one message per turn, however many parts
            wire.channel_lines.clear()
            for proxy, peer in peers.items():
                tables = {
                    route: (peer.tables[route], peer.admissions.get(route))
                    for route in wire.assignments[proxy]
                }
                assert tables == wire.tables_of(proxy)


def test_update_for_unknown_proxy_fails_in_debug_build() -> None:
    with pytest.raises(AssertionError):
        TableUpdates(ROUTES, NAMES).assign_table(0, 7, 0)


@pytest.mark.parametrize("weight", [float("nan"), float("inf"), -1.0])
def test_invalid_weight_is_not_encoded(weight: float) -> None:
    updates = TableUpdates(ROUTES, NAMES)
    updates.add_proxy(0)
    updates.assign_table(0, 0, 0)
    updates.set_weight(0, 0, weight)
    with pytest.raises(ValueError, match="cannot encode"):
        encode_updates(next(updates.take_messages())[1])


def test_proxies_with_equal_updates_share_a_message() -> None:
    updates = TableUpdates(ROUTES, NAMES)
    for proxy in range(60):
        updates.add_proxy(proxy)
        updates.assign_table(0, proxy, proxy % 2)
    assert [len(proxies) for proxies, _ in updates.take_messages()] == [30, 30]
    updates.set_weight(1, 0, 2.0)
    updates.remove_proxy(59)
    updates.assign_table(0, 0, 1)  # gets its new table in full; the others only get the change
    messages = sorted((proxies, parts) for proxies, parts in updates.take_messages())
    assert [proxies for proxies, _ in messages] == [[0], list(range(1, 59, 2))]
    assert [(part.replaces, part.weights) for _, parts in messages for part in parts] == [
        (True, (("s-0", 2.0),)),
        (False, (("s-0", 2.0),)),
    ]
    assert not list(updates.take_messages())


def test_small_weight_is_not_zero_and_has_no_exponent() -> None:
    updates = TableUpdates(ROUTES, NAMES)
    updates.add_proxy(0)
    updates.set_weight(0, 1, 1e-12)
    updates.assign_table(1, 0, 0)
    assert (
        encode_updates(next(updates.take_messages())[1])
        == b"assign routes=look full=1 endpoints=s-1:0.000000001\r\n"
    )


def test_nonce_is_on_last_line_and_counts_as_channel_line() -> None:
    updates = TableUpdates(ROUTES, NAMES)
    for proxy in (0, 1):
        updates.add_proxy(proxy)
        updates.assign_table(1, proxy, 0)
        updates.assign_table(2, proxy, 1)
    updates.nonce = 905
    ((proxies, parts),) = updates.take_messages()
    lines = encode_updates(parts).decode().split("\r\n")[:-1]
    assert proxies == [0, 1] and ["nonce_out=905" in line for line in lines] == [False, True]
    assert [part.channel_lines() for part in parts] == [1, 2] and updates.nonce is None
