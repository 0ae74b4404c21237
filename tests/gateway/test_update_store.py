"""Updates by source: snapshots, changes, late deltas and expired sources."""

from __future__ import annotations

from meadowworks.gossip.updates import MAX_TOMBSTONES, SOURCE_EXPIRY_NS, KeyUpdate, SourceDelta, UpdateStore
from tests.gateway.durable_node import DurableNode, heartbeat
from tests.gateway.helpers import SECOND


def pull_updates(reader: UpdateStore, holder: UpdateStore, now_ns: int = 0) -> list[SourceDelta]:
    deltas = holder.deltas_since(reader.remote_version_vector(), reader.source_id)
    for delta in deltas:
        reader.apply(now_ns, delta)
    return deltas


def test_updates_arrive_as_snapshot_then_as_changes_and_a_late_delta_is_ignored() -> None:
    source, middle, reader = UpdateStore("s"), UpdateStore("m"), UpdateStore("r")
    events: list[KeyUpdate] = []
    reader.update_listeners.append(events.append)
    for k in range(5):
        source.publish(f"b/{k}", k)
    pull_updates(middle, source)
    [snapshot] = [delta for delta in pull_updates(reader, middle) if delta.source == "s"]
    assert snapshot.is_snapshot
    assert len(snapshot.changes) == 5
    source.publish("b/0", "new")
    pull_updates(middle, source)
    [change] = [delta for delta in pull_updates(reader, middle) if delta.source == "s"]
    assert not change.is_snapshot
    assert len(change.changes) == 1
    source.publish("b/9", "newer than the snapshot")
    pull_updates(middle, source)
    pull_updates(reader, middle)
    events.clear()
    reader.apply(0, snapshot)  # arrives late
    assert not events
    assert "b/9" in reader.sources["s"].entries
    assert reader.sources["s"].entries["b/0"][1] == "new"
    for k in range(MAX_TOMBSTONES + 9):
        source.publish(f"t{k}", None)
    pull_updates(middle, source)
    [delta] = [delta for delta in pull_updates(reader, middle) if delta.source == "s"]
    assert delta.is_snapshot  # the reader is behind the compacted version
    assert reader.sources["s"].latest_version == source.sources["s"].latest_version
    assert not pull_updates(reader, middle)
    middle.publish("pulse", 1)
    pull_updates(reader, middle, SOURCE_EXPIRY_NS)
    assert reader.expire_sources(SOURCE_EXPIRY_NS + 1) == ["s"]
    assert set(reader.sources) == {"r", "m"}


def test_the_keys_of_an_expired_source_are_deleted_unless_no_source_is_received() -> None:
    updates, notified = UpdateStore("me"), list[KeyUpdate]()
    a, b = DurableNode("a"), DurableNode("b")
    a.heartbeats.record_heartbeat(0, "i", heartbeat())
    b.heartbeats.record_heartbeat(0, "j", heartbeat())
    for node in (a, b):
        for delta in node.updates.deltas_since({}, "me"):
            updates.apply(0, delta)
    updates.update_listeners.append(notified.append)
    assert updates.expire_sources(61 * SECOND) == []  # without any live source, none expires
    assert not notified
    updates.sources["b.1"].last_update_ns = 60 * SECOND
    assert updates.expire_sources(61 * SECOND) == ["a.1"]
    assert notified == [KeyUpdate("a.1", "b/i", None)]
