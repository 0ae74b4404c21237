"""Drains and departures survive power loss and the tolerated disk failures."""

from __future__ import annotations

from meadowworks.gossip.updates import KeyUpdate
from meadowworks.registry.drain_log import DrainLog
from meadowworks.registry.heartbeats import RETENTION_NS, CallAccepted
from tests.gateway.durable_node import DurableNode, heartbeat
from tests.gateway.helpers import SECOND


def test_a_drain_is_replicated_only_once_both_disks_have_it() -> None:
    a, b = DurableNode("a"), DurableNode("b")
    a.heartbeats.record_heartbeat(0, "i", heartbeat())
    b.pull(a)
    b.pull(a)
    drained = a.heartbeats.record_heartbeat(1, "i", heartbeat("draining", 2))
    assert isinstance(drained, CallAccepted)
    assert not a.is_replicated(drained)
    a.write_all()
    assert not a.is_replicated(drained)  # b has acknowledged an earlier version only
    b.pull(a, reply=False)
    b.pull(a)
    b.pull(a)  # b has the drain in memory only
    assert not a.is_replicated(drained)
    assert b.updates.remote_version_vector()[a.source_id] == drained.version
    b.write_all()
    assert not a.is_replicated(drained)  # b has not acknowledged it yet
    b.pull(a, reply=False)  # the request arrives with the acknowledgement, but the reply is lost
    assert a.is_replicated(drained)
    assert not a.is_replicated(drained, ())
    assert not a.is_replicated(drained, ("b",), 2)
    assert not a.is_replicated(drained, is_voter=False)
    assert a.is_replicated(drained, ("b",), 0, is_voter=False)


def test_the_own_disk_counts_only_after_its_write() -> None:
    a, b = DurableNode("a"), DurableNode("b")
    drained = a.heartbeats.record_heartbeat(0, "i", heartbeat("draining"))
    b.pull(a)
    b.write_all()
    b.pull(a)
    assert not a.is_replicated(drained)
    assert a.drain_log.next_batch() is not None
    assert not a.is_replicated(drained)  # the write is in flight
    a.drain_log.on_write_failed()
    assert not a.is_replicated(drained)
    a.write_all()
    assert a.is_replicated(drained)
    assert "i" in a.rows


def test_a_drain_during_a_write_becomes_durable_with_the_next_write() -> None:
    a, b = DurableNode("a"), DurableNode("b")
    first = a.heartbeats.record_heartbeat(0, "i", heartbeat("draining"))
    b.pull(a)
    batch = b.drain_log.next_batch()
    a.write_all()
    a.updates.publish("pulse", 1)
    b.pull(a)
    b.pull(a)
    assert not a.is_replicated(first)  # updates that need no write do not complete the write in flight
    second = a.heartbeats.record_heartbeat(0, "j", heartbeat("draining"))
    third = a.heartbeats.record_heartbeat(0, "k", heartbeat("draining"))
    b.pull(a)
    assert batch is not None
    assert set(batch.rows) == {"i"}
    assert b.drain_log.next_batch() is None
    b.drain_log.on_written()
    b.pull(a)
    a.write_all()
    assert a.is_replicated(first)
    assert not a.is_replicated(second)
    assert not a.is_replicated(third)
    batch = b.drain_log.next_batch()
    assert batch is not None
    assert set(batch.rows) == {"j", "k"}  # one write for both
    b.drain_log.on_written()
    b.pull(a)
    assert a.is_replicated(third)


def test_a_drain_survives_power_loss_of_all_nodes_and_the_loss_of_one_disk() -> None:
    nodes = [DurableNode(host) for host in "abc"]
    a, b, c = nodes
    a.heartbeats.record_heartbeat(0, "i", heartbeat())
    c.pull(a)
    drained = a.heartbeats.record_heartbeat(1, "i", heartbeat("draining", 2))
    a.write_all()
    b.pull(a)
    b.write_all()
    b.pull(a)
    assert a.is_replicated(drained, ("b", "c"))
    for lost in (a, b):  # its disk is lost
        restarted = [DurableNode(node.host, 2, node.rows) for node in nodes if node is not lost]
        for node in restarted:
            node.heartbeats.record_heartbeat(2, "i", heartbeat("up", 1))  # late heartbeat
        for node in restarted:
            for source in restarted:
                if source is not node:
                    node.pull(source)
        states = [node.directory.instances["i"].state for node in restarted]
        assert states == ["draining"] * 2, lost.host


def test_acknowledgements_of_other_incarnations_are_ignored() -> None:
    a, b = DurableNode("a"), DurableNode("b")
    for sequence in range(5):
        a.heartbeats.record_heartbeat(0, f"i{sequence % 3}", heartbeat("draining", sequence))
    b.pull(a)
    b.write_all()
    restarted = DurableNode("a", 2, {})
    drained = restarted.heartbeats.record_heartbeat(0, "j", heartbeat("draining"))
    restarted.write_all()
    restarted.drain_log.on_acknowledgement("b", *b.drain_log.acknowledgement("a.1"))
    assert not restarted.is_replicated(drained)
    restarted.drain_log.on_acknowledgement("b", *DrainLog("b.2").acknowledgement("a.2"))
    assert restarted.drain_log.acknowledged_versions == {"b": -1}
    assert not restarted.is_replicated(drained)
    for host in range(99):
        restarted.drain_log.on_acknowledgement(f"h{host}", "a.2", 1)
    assert len(restarted.drain_log.acknowledged_versions) <= 64


def test_a_drain_survives_its_reporting_node_and_is_deleted_after_the_retention() -> None:
    a, b = DurableNode("a"), DurableNode("b")
    b.heartbeats.record_heartbeat(0, "i", heartbeat())
    a.heartbeats.record_heartbeat(0, "i", heartbeat("draining"))
    b.pull(a)
    b.write_all()
    b.heartbeats.tick(SECOND)  # b reports the drain, too, from now on
    assert b.directory.reports["i"]["b.1"].state == "draining"
    b.directory.on_update(KeyUpdate("a.1", "b/i", None))
    assert b.directory.instances["i"].state == "draining"
    b.heartbeats.tick(70 * SECOND)  # after a long time without heartbeats
    assert "i" not in b.heartbeats.registrations
    assert not b.directory.is_draining_or_gone("i")
    assert b.heartbeats.record_heartbeat(71 * SECOND, "i", heartbeat("up", 0)) != CallAccepted(0)
    b.heartbeats.tick(170 * SECOND)
    for now_ns in (170 * SECOND, 170 * SECOND + RETENTION_NS + 1):
        b.drain_log.tick(now_ns, b.directory.is_draining_or_gone, b.updates.sources)
    b.write_all()
    assert not b.drain_log.records
    assert not b.rows
    small = DrainLog("me", 3)
    for k in range(9):
        value = ["s", "h:1", "z", 1, "gone" if k else "draining", 1, 0, 0]
        small.on_update(k, KeyUpdate("s", f"b/{k}", value))
        batch = small.next_batch()
        small.on_written()
    assert len(small.records) == 3
    assert small.state("0") == "draining"
    assert batch is not None
    assert batch.deleted == {"6"}


def test_malformed_updates_are_not_recorded_as_drains() -> None:
    drain_log = DrainLog("me")
    for value in (None, 7, "draining", [], ["draining"] * 4, ["s", "h:1", "z", 2, ["gone"], 1, 0, 0]):
        drain_log.on_update(0, KeyUpdate("s", "b/i", value))
    drain_log.on_update(0, KeyUpdate("s", "f/i", ["s", "h:1", "z", 2, "gone", 1, 0, 0]))
    assert not drain_log.records
    assert drain_log.next_batch() is None
    drain_log.on_update(0, KeyUpdate("s", "b/i", ["", "", "", 0, "gone", 0, 0, 0]))
    # Only this report contains the address.
    drain_log.on_update(1, KeyUpdate("t", "b/i", ["s", "h:1", "z", 2, "draining", 1, 0, 0]))
    assert drain_log.records["i"].value[:5] == ("s", "h:1", "z", 2, "gone")


def test_a_drain_is_kept_until_the_instance_leaves() -> None:
    node = DurableNode("a")
    node.heartbeats.record_heartbeat(0, "i", heartbeat())
    drained = node.heartbeats.record_heartbeat(SECOND, "i", heartbeat("draining", 2))
    for second in range(2, 90):
        node.heartbeats.tick(second * SECOND)
        node.drain_log.tick(second * SECOND, node.directory.is_draining_or_gone, node.updates.sources)
        if second % 3 == 0 and second < 40:
            assert (
                node.heartbeats.record_heartbeat(second * SECOND, "i", heartbeat("draining", second))
                == drained
            )
        assert node.drain_log.state("i") == "draining"
    # A heartbeat from before the drain arrives last.
    assert node.heartbeats.record_heartbeat(91 * SECOND, "i", heartbeat("up", 1)) != CallAccepted(0)
    assert isinstance(node.heartbeats.leave(92 * SECOND, "i"), CallAccepted)
    assert node.directory.instances["i"].state == "gone"
