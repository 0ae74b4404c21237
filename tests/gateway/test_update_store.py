"""Updates by source: a snapshot first, then changes; an old delta changes nothing."""

from __future__ import annotations

from meadowworks.gossip.updates import MAX_TOMBSTONES, SOURCE_EXPIRY_NS, KeyUpdate, SourceDelta, UpdateStore


def pull_updates(vector_of: UpdateStore, holder: UpdateStore, now: int = 0) -> list[SourceDelta]:
    pieces = holder.deltas_since(vector_of.remote_version_vector(), vector_of.source_id)
    for piece in pieces:
        vector_of.apply(now, piece)
    return pieces


def test_updates_come_as_a_snapshot_then_as_changes_and_an_old_delta_changes_nothing() -> None:
    source, middle, reader = UpdateStore("s"), UpdateStore("m"), UpdateStore("r")
    events: list[KeyUpdate] = []
    reader.update_listeners.append(events.append)
    for k in range(5):
        source.publish(f"b/{k}", k)
    pull_updates(middle, source)
    [snapshot] = [p for p in pull_updates(reader, middle) if p.source == "s"]
    assert snapshot.is_snapshot and len(snapshot.changes) == 5
    source.publish("b/0", "new")
    pull_updates(middle, source)
    [change] = [p for p in pull_updates(reader, middle) if p.source == "s"]
    assert not change.is_snapshot and len(change.changes) == 1
    source.publish("b/9", "newer than the snapshot")
    pull_updates(middle, source)
    pull_updates(reader, middle)
    events.clear()
    reader.apply(0, snapshot)  # comes late
    assert (
        not events and "b/9" in reader.sources["s"].entries and reader.sources["s"].entries["b/0"][1] == "new"
    )
    for k in range(MAX_TOMBSTONES + 9):
        source.publish(f"t{k}", None)
    pull_updates(middle, source)
    assert [p.is_snapshot for p in pull_updates(reader, middle) if p.source == "s"] == [
        True
    ]  # it fell behind
    assert reader.sources["s"].latest_version == source.sources["s"].latest_version and not pull_updates(
        reader, middle
    )
    middle.publish("pulse", 1)
    pull_updates(reader, middle, SOURCE_EXPIRY_NS)
    assert reader.expire_sources(SOURCE_EXPIRY_NS + 1) == ["s"] and set(reader.sources) == {"r", "m"}
