"""The merged state of a backend, which never regresses, and suspicion of silent backends."""

from __future__ import annotations

from typing import Any

import pytest

from meadowworks.gossip.updates import KeyUpdate
from meadowworks.registry.backend_state import BackendValue
from meadowworks.registry.backends import BackendDirectory
from meadowworks.registry.heartbeats import CallAccepted, HeartbeatRegistry
from tests.gateway.helpers import HEARTBEAT, SECOND, recording_publisher


def test_the_state_of_a_backend_never_regresses_in_any_order_of_reports() -> None:
    up, drain = ["s", "h:1", "z", 2.0, "up", 5, 0, 0], ["s", "h:1", "z", 2.0, "draining", 6, 0, 0]
    gone, suspect = ["", "", "", 0.0, "gone", 0, 0, 0], ["s", "h:1", "z", 2.0, "up", 5, 0, 1]
    for first, second, state in (
        (up, drain, "draining"),
        (drain, up, "draining"),
        (up, gone, "gone"),
        (gone, up, "gone"),
        (suspect, up, "up"),
        (up, suspect, "up"),
    ):
        directory = BackendDirectory(lambda _: 0, lambda: 0)
        directory.on_update(KeyUpdate("one", "b/i", up))
        directory.on_update(KeyUpdate("one", "b/i", first))
        directory.on_update(KeyUpdate("two", "b/i", second))
        assert directory.instances["i"].state == state, (first, second)
    registry, accepted = HeartbeatRegistry(lambda *_: 7, 1000), CallAccepted(7)
    assert registry.record_heartbeat(0, "i", HEARTBEAT) == CallAccepted(0)
    drained = {**HEARTBEAT, "status": {"state": "draining", "calls": 5}}
    assert registry.record_heartbeat(1, "i", drained) == accepted
    assert registry.record_heartbeat(2, "i", HEARTBEAT) == accepted  # late heartbeat
    assert registry.registrations["i"].state == "draining"
    assert registry.leave(3, "i") == accepted
    assert registry.record_heartbeat(4, "i", drained) == accepted
    assert registry.registrations["i"].state == "gone"


def test_a_backend_is_suspect_without_heartbeats_or_without_reports_of_live_sources() -> None:
    published: list[Any] = []
    registry = HeartbeatRegistry(recording_publisher(published), 1000)
    registry.record_heartbeat(0, "i", HEARTBEAT)
    registry.tick(3 * SECOND)
    assert len(published) == 1
    registry.tick(5 * SECOND)
    assert published[-1][-1] == 1
    registry.record_heartbeat(6 * SECOND, "i", {**HEARTBEAT, "status": {"state": "up", "calls": 9}})
    assert published[-1][-1] == 0
    silence_ns = {"one": 0, "two": 0}
    directory = BackendDirectory(lambda name: silence_ns[name], lambda: 0)
    directory.on_update(KeyUpdate("one", "b/i", published[0]))
    directory.on_update(KeyUpdate("two", "b/j", published[0]))
    silence_ns["one"] = 9 * SECOND
    directory.refresh_all()
    assert (directory.instances["i"].state, directory.instances["j"].state) == ("quiet", "up")
    silence_ns["two"] = 9 * SECOND  # without any live source, no backend is suspect
    directory.refresh_all()
    assert directory.instances["i"].state == "up"


@pytest.mark.parametrize(
    "changed",
    [
        {"warmup_ms": "soon"},
        {"warmup_ms": -1},
        {"warmup_ms": float("inf")},
        {"warmup_ms": None},
        {"address": "no-port"},
        {"address": "h:port"},
        {"capacity": "many"},
        {"sequence": []},
        {"state": "well"},
    ],
)
def test_a_malformed_report_is_ignored_and_leaves_no_entry(changed: dict[str, Any]) -> None:
    directory = BackendDirectory(lambda _: 0, lambda: 0)
    valid = BackendValue("s", "h:1", "z", 2.0, "up", 1, 0, 0)
    directory.on_update(KeyUpdate("source", "b/i", list(valid._replace(**changed))))
    assert not directory.reports
    assert not directory.instances
    directory.on_update(KeyUpdate("source", "b/i", list(valid)))
    assert directory.instances["i"].state == "up"
    directory.on_update(KeyUpdate("source", "b/i", None))
    directory.on_update(KeyUpdate("source", "b/unknown", None))
    assert not directory.reports
