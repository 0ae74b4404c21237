"""The accepted forms of a heartbeat document."""

from __future__ import annotations

from tests.gateway.durable_node import DurableNode, heartbeat


def test_nested_and_flat_fields_and_alternative_names_are_equivalent() -> None:
    flat = {
        "addr": "10.0.0.9:80",
        "service": "s",
        "version": "v1",
        "zone": "north",
        "slots": 2,
        "state": "up",
        "calls": 1,
        "warmupMs": 0,
    }
    node = DurableNode("a")
    node.heartbeats.record_heartbeat(0, "nested", heartbeat())
    node.heartbeats.record_heartbeat(0, "flat", flat)
    node.heartbeats.record_heartbeat(0, "mixed", {**heartbeat(), "state": "draining", "svc": "other"})
    values = [registration.to_value() for registration in node.heartbeats.registrations.values()]
    assert len(values) == 3
    assert values[0] == values[1] == values[2]
