"""The lease: which replies confirm it, and when it starts."""

from __future__ import annotations

from meadowworks.consensus.lease import LeaseTracker
from meadowworks.consensus.timing import PEER_EXPIRY_NS
from meadowworks.consensus.values import AcceptorSlot, Ballot, Epoch
from tests.consensus.helpers import A, B, C, member


def test_the_lease_starts_when_the_oldest_request_of_a_majority_was_sent() -> None:
    lease = LeaseTracker(member("a"))
    assert lease.lease_start_ns(100) is None  # without replies there is no majority
    lease.on_query_reply(now_ns=50, sent_ns=10, reply=member("b").query_reply())
    assert lease.lease_start_ns(100) == 10
    lease.on_query_reply(now_ns=60, sent_ns=40, reply=member("c").query_reply())
    assert lease.lease_start_ns(100) == 40


def test_a_reply_with_an_uncommitted_version_counts_once_the_version_is_committed() -> None:
    own, other = member("a"), member("b")
    ballot = Ballot(1, 1, "c.1")
    other.slots[3] = AcceptorSlot(ballot, ballot, b"three")
    lease = LeaseTracker(own)
    lease.on_query_reply(now_ns=50, sent_ns=10, reply=other.query_reply())
    assert lease.lease_start_ns(100) is None
    own.learn(3, b"three")
    lease.on_value_committed()
    assert lease.lease_start_ns(100) == 10


def test_an_own_undecided_version_holds_back_the_own_confirmation() -> None:
    own = member("a")
    lease = LeaseTracker(own)
    lease.query_self(20)
    ballot = Ballot(1, 1, "c.1")
    own.slots[1] = AcceptorSlot(ballot, ballot, b"one")
    lease.on_query_reply(now_ns=50, sent_ns=40, reply=member("b").query_reply())
    assert lease.lease_start_ns(100) == 20


def test_replies_of_an_older_epoch_do_not_count() -> None:
    own = member("a")
    lease = LeaseTracker(own)
    lease.on_query_reply(now_ns=50, sent_ns=10, reply=member("b").query_reply())
    assert own.on_epoch_announced(Epoch(2, (A, B, C)))
    lease.on_new_epoch()
    lease.on_query_reply(now_ns=60, sent_ns=20, reply=member("b").query_reply())  # still of epoch 1
    lease.on_query_reply(now_ns=60, sent_ns=20, reply=member("c").query_reply())
    assert lease.lease_start_ns(100) is None


def test_a_new_disk_replaces_the_peer_at_its_address_and_a_silent_peer_expires() -> None:
    lease = LeaseTracker(member("a"))
    old, new = member("b"), member("b")
    new.member_id = "b2"
    lease.on_query_reply(now_ns=1, sent_ns=0, reply=old.query_reply())
    lease.on_query_reply(now_ns=2, sent_ns=1, reply=new.query_reply())
    assert set(lease.peers) == {"b2"}
    lease.expire_peers(2 + PEER_EXPIRY_NS)
    assert set(lease.peers) == {"b2"}
    lease.expire_peers(3 + PEER_EXPIRY_NS)
    assert not lease.peers
