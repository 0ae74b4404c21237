"""The merged state of a backend: it never goes back, whoever reports it and in whatever order."""

from __future__ import annotations

from typing import Any

import pytest

from meadowworks.gossip.updates import KeyUpdate
from meadowworks.registry.backend_state import BackendValue
from meadowworks.registry.backends import BackendDirectory
from meadowworks.registry.heartbeats import CallAccepted, HeartbeatRegistry
from tests.gateway.helpers import HEARTBEAT, SECOND, recording_publisher


def test_a_backend_never_goes_back_whoever_reports_it_and_in_whatever_order() -> None:
    up, drain = ["s", "h:1", "z", 2.0, "up", 5, 0, 0], ["s", "h:1", "z", 2.0, "draining", 6, 0, 0]
    gone, quiet = ["", "", "", 0.0, "gone", 0, 0, 0], ["s", "h:1", "z", 2.0, "up", 5, 0, 1]
    for first, second, state in (
        (up, drain, "draining"),
        (drain, up, "draining"),
        (up, gone, "gone"),
        (gone, up, "gone"),
        (quiet, up, "up"),
        (up, quiet, "up"),
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
    assert registry.record_heartbeat(2, "i", HEARTBEAT) == accepted  # a late one
    assert registry.registrations["i"].state == "draining"
    assert registry.leave(3, "i") == accepted
    assert registry.record_heartbeat(4, "i", drained) == accepted
    assert registry.registrations["i"].state == "gone"


def test_a_silent_backend_is_suspect_and_a_silent_source_vouches_for_nobody() -> None:
    published: list[Any] = []
    registry = HeartbeatRegistry(recording_publisher(published), 1000)
    registry.record_heartbeat(0, "i", HEARTBEAT)
    registry.tick(3 * SECOND)
    assert len(published) == 1
    registry.tick(5 * SECOND)
    assert published[-1][-1] == 1
    registry.record_heartbeat(6 * SECOND, "i", {**HEARTBEAT, "status": {"state": "up", "calls": 9}})
    assert published[-1][-1] == 0
    silent = {"one": 0, "two": 0}
    directory = BackendDirectory(lambda name: silent[name], lambda: 0)
    directory.on_update(KeyUpdate("one", "b/i", published[0]))
    directory.on_update(KeyUpdate("two", "b/j", published[0]))
    silent["one"] = 9 * SECOND
    directory.refresh_all()
    assert (directory.instances["i"].state, directory.instances["j"].state) == ("quiet", "up")
    silent["two"] = 9 * SECOND  # nobody at all is heard: that says nothing of the backends
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
def test_a_malformed_report_changes_nothing_and_leaves_nothing(changed: dict[str, Any]) -> None:
    directory = BackendDirectory(lambda _: 0, lambda: 0)
    sound = BackendValue("s", "h:1", "z", 2.0, "up", 1, 0, 0)
    directory.on_update(KeyUpdate("source", "b/i", list(sound._replace(**changed))))
    assert not directory.reports
    assert not directory.instances
    directory.on_update(KeyUpdate("source", "b/i", list(sound)))
    assert directory.instances["i"].state == "up"
    directory.on_update(KeyUpdate("source", "b/i", None))
    directory.on_update(KeyUpdate("source", "b/unknown", None))
    assert not directory.reports
