"""The partial view: records spread, newer ones win, silent peers are forgotten."""

from __future__ import annotations

from meadowworks.gossip.peer_sampling import PEER_EXPIRY_NS, PartialView, PeerRecord
from meadowworks.proxy.control_plane_selection import ControlPlaneSelector


def test_a_node_whose_clock_was_set_back_before_its_start_is_known_by_its_new_incarnation() -> None:
    old, new = (
        PeerRecord("n0", "10.0.0.0", 7000, "z", True, incarnation, heartbeat)
        for incarnation, heartbeat in (("l0", 900), ("l1", 400))
    )
    one, other = PartialView(new, 1), PartialView(PeerRecord("n1", "10.0.0.1", 7000, "z", True, "m", 1), 2)
    other.merge(1, [old])
    other.merge(2, [one.local])
    assert other.peers["10.0.0.0"].record.incarnation == "l0"  # by its heartbeat alone it is older
    one.merge(3, other.shuffle_sample())
    other.merge(4, [one.local])
    assert other.peers["10.0.0.0"].record.incarnation == "l1"
    one.merge(5, [one.local])
    assert one.local.heartbeat == 901
    assert not set(one.peers) - {"10.0.0.1"}


def test_peers_shuffle_until_all_voters_are_known_and_silent_ones_are_forgotten() -> None:
    records = [PeerRecord(f"n{k}", f"10.0.0.{k}", 7000, "z", k < 5, f"l{k}", 1) for k in range(7)]
    nodes = [PartialView(record, k) for k, record in enumerate(records)]
    for turn in range(4):
        for k, node in enumerate(nodes):  # each speaks to the one before it alone
            other = nodes[(k + 1) % len(nodes)]
            node.merge(turn, other.shuffle_sample())
            other.merge(turn, node.shuffle_sample())
    assert all(len(node.voters()) == 5 - (k < 5) for k, node in enumerate(nodes))
    nodes[6].merge(9, [PeerRecord("n0", "10.0.0.0", 7000, "z", True, "l0", 0)])
    assert nodes[6].peers["10.0.0.0"].record.heartbeat == 1  # an old record replaces no newer one
    nodes[6].expire(PEER_EXPIRY_NS + 10)
    assert not nodes[6].peers
    assert nodes[6].undiscovered_seeds([("10.0.0.1", 9)], 7000) == [("10.0.0.1", 7000)]
    upstream = ControlPlaneSelector("z")
    far = PeerRecord("f", "10.0.9.9", 7000, "y", True, "f", 1)
    assert upstream.choose(0, [far, records[0]], []) == ("10.0.0.0", 7000)
    upstream.mark_failed(0, "10.0.0.0")
    assert upstream.choose(1, [far, records[0]], []) == ("10.0.9.9", 7000)
