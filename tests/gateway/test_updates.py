"""Sources of updates that end."""

from __future__ import annotations

from meadowworks.gossip.updates import KeyUpdate, UpdateStore
from tests.gateway.durable_node import DurableNode, heartbeat
from tests.gateway.helpers import SECOND


def test_an_expired_source_takes_its_keys_along_unless_no_source_is_heard() -> None:
    updates, notified = UpdateStore("me"), list[KeyUpdate]()
    a, b = DurableNode("a"), DurableNode("b")
    a.heartbeats.heartbeat(0, "i", heartbeat())
    b.heartbeats.heartbeat(0, "j", heartbeat())
    for node in (a, b):
        for delta in node.updates.deltas_since({}, "me"):
            updates.apply(0, delta)
    updates.update_listeners.append(notified.append)
    assert updates.expire_sources(61 * SECOND) == []  # it is this process that is cut off
    assert not notified
    updates.sources["b.1"].last_update_ns = 60 * SECOND
    assert updates.expire_sources(61 * SECOND) == ["a.1"]
    assert notified == [KeyUpdate("a.1", "b/i", None)]
