"""Transfer of the log in pieces: to members of a new epoch, and to followers that are far behind."""

from __future__ import annotations

import pytest

from meadowworks.consensus.log_fetcher import Fetch
from meadowworks.consensus.log_sender import MAX_PIECE_BYTES
from meadowworks.consensus.timing import MILLISECOND_NS, SECOND_NS
from tests.consensus.log_cluster import LogCluster, Node

# Messages are encoded and sent at this rate, as 4 MB of Greek letters are in a second.
BYTES_PER_S = 4_000_000
PAYLOAD_BYTES = 50_000
MAX_MESSAGE_BYTES = 2 * MAX_PIECE_BYTES  # whatever the size of the state


def cluster_with_state(size_mb: float, size: int = 3, seed: int = 1) -> LogCluster:
    """Return a cluster that has committed entries of some MB, the first half of them in a snapshot."""
    cluster = LogCluster(size, seed)
    cluster.wait_for_leader()
    count = max(2, int(size_mb * 1_000_000 / PAYLOAD_BYTES))
    put_entries(cluster, count // 2, 0)
    for node in cluster.nodes:
        node.compact()
    put_entries(cluster, count - count // 2, count)
    cluster.bytes_per_s = BYTES_PER_S
    return cluster


def put_entries(cluster: LogCluster, count: int, first: int) -> None:
    for number in range(first, first + count):
        cluster.commit(b"%08d" % number + bytes(PAYLOAD_BYTES))
    cluster.run(300 * MILLISECOND_NS)


def lose_disk(cluster: LogCluster, node: Node) -> None:
    node.kill()
    node.wipe()
    cluster.run(500 * MILLISECOND_NS)
    node.start()


def fetch_in_progress(cluster: LogCluster, node: Node) -> Fetch:
    """Wait until a node has received a part of a log, and return the transfer."""
    fetcher = node.replica.log_fetcher
    assert fetcher is not None
    cluster.run_until(lambda: fetcher.fetch is not None and fetcher.fetch.download.received_bytes > 1_000_000)
    assert fetcher.fetch is not None
    return fetcher.fetch


def has_log_of(node: Node, other: Node) -> bool:
    return node.up and node.replica.acceptor.may_vote() and node.applied == other.applied


# review/1: a member's seal reply and the install requests contained the whole state. From 4 MB on they took
# longer than the time-out of a request, so no epoch was installed any more and nothing was answered.
@pytest.mark.parametrize("size_mb", [0.1, 2, 12])
def test_a_disk_lost_beside_a_large_state_interrupts_commits_no_longer_than_beside_a_small_one(
    size_mb: float,
) -> None:
    cluster = cluster_with_state(size_mb)
    victim = cluster.nodes[0]
    lose_disk(cluster, victim)
    members = cluster.epoch()
    assert cluster.run_until(lambda: cluster.epoch().number > members.number, timeout_s=5.0) < 3.0
    assert cluster.commit(b"after", timeout_s=5.0) < 1.5
    cluster.run_until(lambda: has_log_of(victim, cluster.nodes[1]), timeout_s=20.0)
    assert cluster.largest_message_bytes < MAX_MESSAGE_BYTES


def test_a_planned_replacement_beside_a_large_state_does_not_interrupt_commits() -> None:
    cluster = cluster_with_state(12)
    newcomer = Node(cluster, 9, False)
    cluster.nodes.append(newcomer)
    cluster.by_address[newcomer.address] = newcomer
    newcomer.start()
    cluster.run(2 * SECOND_NS)
    leaving = cluster.nodes[0]
    leaving.replica.leave(cluster.now, cluster.now + SECOND_NS)
    leaving.run_effects()
    for number in range(10):
        assert cluster.commit(b"beside %d" % number, timeout_s=5.0) < 1.5
        cluster.run(200 * MILLISECOND_NS)
    leaving.kill()
    assert cluster.commit(b"after", timeout_s=5.0) < 1.5
    cluster.run_until(lambda: has_log_of(newcomer, cluster.nodes[1]), timeout_s=20.0)


def test_two_disks_lost_at_once_are_replaced() -> None:
    cluster = cluster_with_state(6, size=5)
    for victim in cluster.nodes[:2]:
        victim.kill()
        victim.wipe()
    cluster.run(500 * MILLISECOND_NS)
    for victim in cluster.nodes[:2]:
        victim.start()
    assert cluster.commit(b"after", timeout_s=5.0) < 4.0
    for victim in cluster.nodes[:2]:
        cluster.run_until(lambda: has_log_of(victim, cluster.nodes[4]), timeout_s=20.0)  # noqa: B023


@pytest.mark.parametrize("seed", range(4))
def test_a_transfer_goes_on_when_its_sender_or_its_receiver_ends_half_way(seed: int) -> None:
    cluster = cluster_with_state(8, size=5, seed=seed)
    victim = cluster.nodes[0]
    lose_disk(cluster, victim)
    fetch = fetch_in_progress(cluster, victim)
    sender = cluster.by_address[fetch.address]
    sender.kill()
    cluster.run(300 * MILLISECOND_NS)
    if seed % 2:
        victim.kill()
        victim.start()
    other = next(node for node in cluster.nodes[1:] if node.up)
    cluster.run_until(lambda: has_log_of(victim, other), timeout_s=30.0)
    sender.start()
    cluster.commit(b"after")


def test_a_snapshot_that_is_compacted_away_while_it_is_read_is_read_to_its_end() -> None:
    cluster = cluster_with_state(8)
    victim = cluster.nodes[0]
    lose_disk(cluster, victim)
    fetch = fetch_in_progress(cluster, victim)
    sender = cluster.by_address[fetch.address]
    for number in range(3):
        cluster.commit(b"meanwhile %d" % number)
        sender.compact()
    log = sender.replica.acceptor.log
    assert log is not None
    assert log.retained is not None
    assert log.retained.snapshot is not log.snapshot
    received_bytes = fetch.download.received_bytes
    cluster.run_until(lambda: has_log_of(victim, sender), timeout_s=20.0)
    assert received_bytes > 1_000_000
    cluster.run(10 * SECOND_NS)
    assert log.retained is None


# The same cause on a related path: the leader sent its whole snapshot in one request with a time-out.
def test_a_follower_that_was_away_gets_a_large_snapshot_in_pieces() -> None:
    cluster = cluster_with_state(1)
    leader = cluster.wait_for_leader()
    follower = next(node for node in cluster.nodes if node is not leader)
    follower.kill()
    put_entries(cluster, 200, 1000)
    leader.compact()
    log = leader.replica.acceptor.log
    assert log is not None
    log.entries = log.entries_since_snapshot()
    log.base = type(log.base)(log.snapshot.term, log.snapshot.index)
    cluster.largest_message_bytes = 0
    follower.start()
    cluster.run_until(lambda: has_log_of(follower, leader), timeout_s=20.0)
    assert cluster.largest_message_bytes < MAX_MESSAGE_BYTES


@pytest.mark.parametrize("old_release", [(1,), (2,), (1, 2)])
def test_members_of_an_earlier_release_get_whole_states(old_release: tuple[int, ...]) -> None:
    cluster = LogCluster(3)
    cluster.wait_for_leader()
    for index in old_release:
        cluster.nodes[index].is_old_release = True
    put_entries(cluster, 5, 0)
    lose_disk(cluster, cluster.nodes[0])
    assert cluster.commit(b"after", timeout_s=8.0) < 5.0
    cluster.run_until(lambda: has_log_of(cluster.nodes[0], cluster.nodes[1]), timeout_s=20.0)
