"""The partial view: records spread, newer records replace older ones, silent peers expire."""

from __future__ import annotations

from meadowworks.gossip.peer_sampling import PEER_EXPIRY_NS, PartialView, PeerRecord
from meadowworks.proxy.control_plane_selection import ControlPlaneSelector


def test_the_new_incarnation_of_a_node_replaces_the_old_one_although_its_clock_was_set_back() -> None:
    old, new = (
        PeerRecord("n0", "10.0.0.0", 7000, "z", True, incarnation, heartbeat)
        for incarnation, heartbeat in (("l0", 900), ("l1", 400))
    )
    node, other = PartialView(new, 1), PartialView(PeerRecord("n1", "10.0.0.1", 7000, "z", True, "m", 1), 2)
    other.merge(1, [old])
    other.merge(2, [node.local])
    assert other.peers["10.0.0.0"].record.incarnation == "l0"  # the new record has the lower heartbeat
    node.merge(3, other.shuffle_sample())
    other.merge(4, [node.local])
    assert other.peers["10.0.0.0"].record.incarnation == "l1"
    node.merge(5, [node.local])
    assert node.local.heartbeat == 901
    assert not set(node.peers) - {"10.0.0.1"}


def test_shuffling_spreads_all_voters_and_silent_peers_expire() -> None:
    records = [PeerRecord(f"n{k}", f"10.0.0.{k}", 7000, "z", k < 5, f"l{k}", 1) for k in range(7)]
    nodes = [PartialView(record, k) for k, record in enumerate(records)]
    for round_number in range(4):
        for k, node in enumerate(nodes):  # each node exchanges records only with the next one
            other = nodes[(k + 1) % len(nodes)]
            node.merge(round_number, other.shuffle_sample())
            other.merge(round_number, node.shuffle_sample())
    assert all(len(node.voters()) == 5 - (k < 5) for k, node in enumerate(nodes))
    nodes[6].merge(9, [PeerRecord("n0", "10.0.0.0", 7000, "z", True, "l0", 0)])
    assert nodes[6].peers["10.0.0.0"].record.heartbeat == 1  # an older record does not replace a newer one
    nodes[6].expire(PEER_EXPIRY_NS + 10)
    assert not nodes[6].peers
    assert nodes[6].undiscovered_seeds([("10.0.0.1", 9)], 7000) == [("10.0.0.1", 7000)]
    selector = ControlPlaneSelector("z")
    far = PeerRecord("f", "10.0.9.9", 7000, "y", True, "f", 1)
    assert selector.choose(0, [far, records[0]], []) == ("10.0.0.0", 7000)
    selector.mark_failed(0, "10.0.0.0")
    assert selector.choose(1, [far, records[0]], []) == ("10.0.9.9", 7000)
