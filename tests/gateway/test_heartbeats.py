"""Heartbeats and departures, also of instances that nobody knows, and the bounds on what is registered."""

from __future__ import annotations

from meadowworks.registry.heartbeats import (
    MAX_UNKNOWN_DEPARTURES,
    RETENTION_NS,
    CallAccepted,
    InvalidCall,
    RegistryFull,
)
from tests.gateway.durable_node import DurableNode, heartbeat
from tests.gateway.helpers import SECOND


def test_the_departure_of_an_unknown_instance_registers_nothing_and_holds_once_it_is_known() -> None:
    a, b = DurableNode("a"), DurableNode("b")
    assert a.heartbeats.leave(0, "made-up") == CallAccepted(0)
    assert not a.heartbeats.registrations
    assert a.updates.remote_version_vector() == {}
    assert a.heartbeats.heartbeat(1, "made-up", heartbeat()) == CallAccepted(0)  # a late one
    assert not a.heartbeats.registrations
    assert a.heartbeats.leave(0, "") == a.heartbeats.leave(0, "x" * 201) == InvalidCall("no id")
    b.heartbeats.heartbeat(0, "i", heartbeat())
    assert a.heartbeats.leave(0, "i") == CallAccepted(0)  # b's update is on its way
    a.pull(b)
    a.heartbeats.tick(SECOND)
    assert a.heartbeats.registrations["i"].state == "gone"
    assert a.drain_log.unsynced == {"i"}
    b.heartbeats.heartbeat(0, "j", heartbeat())
    a.pull(b)
    left = a.heartbeats.leave(0, "j")
    assert isinstance(left, CallAccepted)
    assert left.version
    assert a.directory.instances["j"].state == "gone"
    for k in range(MAX_UNKNOWN_DEPARTURES + 9):
        a.heartbeats.leave(2 * SECOND, f"x{k}")
    assert len(a.heartbeats.unknown_departures) == MAX_UNKNOWN_DEPARTURES
    assert a.updates.sources["a.1"].latest_version < 5
    a.heartbeats.tick(3 * SECOND + RETENTION_NS)
    assert not a.heartbeats.unknown_departures


def test_registrations_are_bounded_and_the_one_silent_for_the_longest_gives_way() -> None:
    node = DurableNode("a")  # takes four
    for k in range(4):
        assert node.heartbeats.heartbeat(k, f"i{k}", heartbeat()) == CallAccepted(0)
    assert node.heartbeats.heartbeat(5, "i0", heartbeat(sequence=2)) == CallAccepted(0)
    assert node.heartbeats.heartbeat(6, "i4", heartbeat()) == RegistryFull()
    assert node.heartbeats.leave(6, "i1") != RegistryFull()
    later = 6 * SECOND
    assert node.heartbeats.heartbeat(later, "i4", heartbeat()) == CallAccepted(0)
    assert "i2" not in node.heartbeats.registrations
    assert set(node.heartbeats.registrations) == {"i0", "i1", "i3", "i4"}
    assert len(node.directory.instances) == 4
    details = heartbeat()["details"]
    for too_long in ({"svc": "s" * 201}, {"zone": "z" * 201}, {"ver": "v" * 201}):
        document = heartbeat(details={**details, **too_long})
        assert isinstance(node.heartbeats.heartbeat(0, "l", document), InvalidCall)
    assert isinstance(node.heartbeats.heartbeat(0, "l", heartbeat(addr="h" * 201 + ":1")), InvalidCall)
