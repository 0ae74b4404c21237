"""Heartbeats and departures at one node, the bounds of its registry, and its state after a restart."""

from __future__ import annotations

import shutil
from pathlib import Path
from typing import Any

from meadowworks.gossip import messages
from meadowworks.gossip.updates import KeyUpdate
from meadowworks.registry.backends import BackendDirectory
from meadowworks.registry.heartbeats import (
    MAX_UNKNOWN_DEPARTURES,
    RETENTION_NS,
    CallAccepted,
    HeartbeatRegistry,
    InvalidCall,
    RegistryFull,
)
from meadowworks.storage.sqlite_store import SqliteStore
from tests.gateway.durable_node import DurableNode, heartbeat
from tests.gateway.helpers import HEARTBEAT, SECOND, recording_publisher
from tests.gateway.mutations import mutants


def test_a_mutated_heartbeat_is_rejected_or_registers_the_same_backend() -> None:
    rejected = 0
    for _, mutant in mutants(HEARTBEAT):
        published: list[Any] = []
        registry = HeartbeatRegistry(recording_publisher(published), 1000)
        outcome = registry.record_heartbeat(0, "i", mutant)
        rejected += isinstance(outcome, InvalidCall)
        assert isinstance(outcome, InvalidCall) == (not published)
        directory = BackendDirectory(lambda _: 0, lambda: 0)
        for value in published:
            directory.on_update(KeyUpdate("source", "b/i", value))
            assert directory.instances["i"].state == "up"
            assert directory.instances["i"].port == 8080
    assert rejected > 30


def test_live_backends_are_restored_from_disk_after_the_loss_of_all_nodes(tmp_path: Path) -> None:
    published: dict[str, Any] = {}
    registry = HeartbeatRegistry(lambda key, value: published.update({key: value}) or 1, 1000)
    registry.record_heartbeat(0, "i", HEARTBEAT)
    registry.record_heartbeat(0, "j", HEARTBEAT)
    registry.leave(1, "j")
    store = SqliteStore(tmp_path / "d")
    store.save_backend_hints(
        {instance_id: messages.encode(value) for instance_id, value in registry.durable_values().items()}
    )
    shutil.copytree(tmp_path / "d", tmp_path / "after")
    rows = {
        instance_id: messages.decode(value)
        for instance_id, value in SqliteStore(tmp_path / "after").load_backend_hints().items()
    }
    assert set(rows) == {"i"}
    published.clear()
    restarted = HeartbeatRegistry(lambda key, value: published.update({key: value}) or 1, 1000)
    restarted.restore(100 * SECOND, rows)
    assert published["b/i"][:5] == ["s", "10.0.0.9:8080", "north", 2.0, "up"]
    restarted.tick(105 * SECOND)  # no heartbeat since
    assert published["b/i"][-1] == 1


def test_the_departure_of_an_unknown_instance_is_published_and_applies_to_later_reports() -> None:
    a, b = DurableNode("a"), DurableNode("b")
    left = a.heartbeats.leave(0, "made-up")
    assert isinstance(left, CallAccepted)
    assert left.version  # its acknowledgement waits until this version is on enough disks
    assert a.drain_log.unsynced == {"made-up"}
    assert "made-up" not in a.directory.instances
    assert a.heartbeats.record_heartbeat(1, "made-up", heartbeat()) == left  # late heartbeat
    assert "made-up" not in a.directory.instances
    assert a.heartbeats.leave(0, "") == a.heartbeats.leave(0, "x" * 201) == InvalidCall("no id")
    b.heartbeats.record_heartbeat(0, "i", heartbeat())
    left = a.heartbeats.leave(0, "i")  # before b's update arrives
    assert isinstance(left, CallAccepted)
    assert left.version
    assert "i" not in a.directory.instances
    a.pull(b)
    assert a.directory.instances["i"].state == "gone"
    b.pull(a)
    assert b.directory.instances["i"].state == "gone"
    b.heartbeats.record_heartbeat(0, "j", heartbeat())
    a.pull(b)
    left = a.heartbeats.leave(0, "j")
    assert isinstance(left, CallAccepted)
    assert left.version
    assert a.directory.instances["j"].state == "gone"


def test_departures_of_unknown_instances_are_bounded_and_create_no_backend() -> None:
    published: dict[str, Any] = {}
    registry = HeartbeatRegistry(lambda key, value: published.update({key: value}) or 1, 1000)
    for k in range(MAX_UNKNOWN_DEPARTURES):
        assert registry.leave(0, f"x{k}") == CallAccepted(1)
    assert registry.leave(0, "one-more") == RegistryFull()  # the caller has to try another node
    assert registry.leave(0, "x0") == CallAccepted(1)  # repeated call
    assert registry.record_heartbeat(0, "i", HEARTBEAT) == CallAccepted(0)
    assert isinstance(registry.leave(1, "i"), CallAccepted)  # does not apply to registered instances
    registry.tick(3 * SECOND + RETENTION_NS + registry.suspect_after_ns)
    assert not registry.unknown_departures
    assert not registry.registrations
    assert not any(published.values())


def test_registrations_are_bounded_and_the_longest_silent_one_is_replaced() -> None:
    node = DurableNode("a")  # registers at most four instances
    for k in range(4):
        assert node.heartbeats.record_heartbeat(k, f"i{k}", heartbeat()) == CallAccepted(0)
    assert node.heartbeats.record_heartbeat(5, "i0", heartbeat(sequence=2)) == CallAccepted(0)
    assert node.heartbeats.record_heartbeat(6, "i4", heartbeat()) == RegistryFull()
    assert node.heartbeats.leave(6, "i1") != RegistryFull()
    later_ns = 6 * SECOND
    assert node.heartbeats.record_heartbeat(later_ns, "i4", heartbeat()) == CallAccepted(0)
    assert "i2" not in node.heartbeats.registrations
    assert set(node.heartbeats.registrations) == {"i0", "i1", "i3", "i4"}
    assert len(node.directory.instances) == 4
    details = heartbeat()["details"]
    for too_long in ({"svc": "s" * 201}, {"zone": "z" * 201}, {"ver": "v" * 201}):
        document = heartbeat(details={**details, **too_long})
        assert isinstance(node.heartbeats.record_heartbeat(0, "l", document), InvalidCall)
    assert isinstance(node.heartbeats.record_heartbeat(0, "l", heartbeat(addr="h" * 201 + ":1")), InvalidCall)
