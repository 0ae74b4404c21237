"""Heartbeats at one node: malformed ones are rejected, and backends are restored after a total loss."""

from __future__ import annotations

import shutil
from pathlib import Path
from typing import Any

from meadowworks.gossip import messages as post
from meadowworks.gossip.updates import KeyUpdate
from meadowworks.registry.backends import BackendDirectory
from meadowworks.registry.heartbeats import HeartbeatRegistry, InvalidCall
from meadowworks.storage.sqlite_store import SqliteStore
from tests.gateway.helpers import HEARTBEAT, SECOND, recording_publisher
from tests.gateway.mutations import mutants


def test_a_mutated_heartbeat_is_rejected_or_registers_the_same_backend() -> None:
    seen = 0
    for _, mutant in mutants(HEARTBEAT):
        published: list[Any] = []
        registry = HeartbeatRegistry(recording_publisher(published), 1000)
        found = registry.heartbeat(0, "i", mutant)
        seen += isinstance(found, InvalidCall)
        assert isinstance(found, InvalidCall) == (not published)
        directory = BackendDirectory(lambda name: 0, lambda: 0)
        for value in published:
            directory.on_update(KeyUpdate("source", "b/i", value))
            assert directory.instances["i"].state == "up" and directory.instances["i"].port == 8080
    assert seen > 30


def test_backends_known_before_all_nodes_were_lost_are_known_after(tmp_path: Path) -> None:
    published: dict[str, Any] = {}
    registry = HeartbeatRegistry(lambda key, value: published.update({key: value}) or 1, 1000)
    registry.heartbeat(0, "i", HEARTBEAT)
    registry.heartbeat(0, "j", HEARTBEAT)
    registry.leave(1, "j")
    disk = SqliteStore(tmp_path / "d")
    disk.save_backend_hints({ident: post.encode(value) for ident, value in registry.durable_values().items()})
    shutil.copytree(tmp_path / "d", tmp_path / "after")
    rows = {
        ident: post.decode(value)
        for ident, value in SqliteStore(tmp_path / "after").load_backend_hints().items()
    }
    assert set(rows) == {"i"}
    published.clear()
    later = HeartbeatRegistry(lambda key, value: published.update({key: value}) or 1, 1000)
    later.restore(100 * SECOND, rows)
    assert published["b/i"][:5] == ["s", "10.0.0.9:8080", "north", 2.0, "up"]
    later.tick(105 * SECOND)  # no heartbeat since
    assert published["b/i"][-1] == 1
