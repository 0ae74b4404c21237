"""Acceptors: whose requests they vote on, and what they are after a start."""

from __future__ import annotations

from meadowworks.consensus.acceptor import MAX_UNDECIDED_VERSIONS
from meadowworks.consensus.messages import (
    AcceptedReply,
    AcceptRequest,
    InstalledReply,
    InstallRequest,
    NotAMemberReply,
    PrepareRequest,
    PromiseReply,
    SealRequest,
)
from meadowworks.consensus.metadata import load_acceptor
from meadowworks.consensus.replica import Replica
from meadowworks.consensus.values import (
    MEMBERSHIP_VERSION,
    NO_BALLOT,
    NO_EPOCH_NUMBER,
    AcceptorSlot,
    AcceptorState,
    Ballot,
    CommittedValue,
    Epoch,
)
from tests.consensus.helpers import ABC, B, C, D, member


def test_an_empty_disk_founds_at_the_first_start_alone_and_by_its_seat() -> None:
    seeds = ("h:0", "h:1", "h:2")
    founder = load_acceptor(None, new_member_id="x", address="h:1", seeds=seeds, bootstrap=True, voting=True)
    assert founder.may_vote()
    assert founder.epoch.number == 0
    assert founder.id_in_epoch(0) == "@h:1"
    assert founder.id_in_epoch(1) == "x"
    assert founder.epoch.members == (("@h:0", "h:0"), ("@h:1", "h:1"), ("@h:2", "h:2"))
    assert founder.metadata_changed
    ballot = Ballot(0, 1, "q")
    assert founder.handle(PrepareRequest(0, 0, ballot)) == PromiseReply(ballot, NO_BALLOT, b"")
    assert founder.handle(PrepareRequest(0, 1, ballot)) == NotAMemberReply(
        0
    )  # no version before there are members
    other = load_acceptor(None, new_member_id="y", address="h:7", seeds=seeds, bootstrap=True, voting=True)
    later = load_acceptor(None, new_member_id="z", address="h:1", seeds=seeds, bootstrap=False, voting=True)
    for one in (other, later):
        assert not one.may_vote()
        assert isinstance(one.handle(PrepareRequest(0, 0, ballot)), NotAMemberReply)
        assert isinstance(one.handle(SealRequest(0, ABC)), NotAMemberReply)
    assert later.epoch.number == NO_EPOCH_NUMBER
    assert later.id_in_epoch(0) == ""


def test_a_request_under_another_epochs_ballot_is_not_voted_on() -> None:
    a = member("a")
    assert (
        a.handle(PrepareRequest(1, 3, Ballot(2, 1, "q")))
        == NotAMemberReply(1)
        == a.handle(PrepareRequest(1, 3, Ballot(0, 9, "q")))
    )
    assert not a.slots


def test_an_acceptor_that_comes_back_where_it_was_keeps_its_seal_and_its_vote_on_the_members() -> None:
    after = Epoch(2, (B, C, D))
    a = member("a")
    a.slots[0] = AcceptorSlot(Ballot(1, 1, "q"), Ballot(1, 1, "q"), b"members")
    a.seal(1, after)
    meta = Replica(a, 1, lambda: 0.5)
    a.metadata_changed = True
    kept = meta.writes.collect_update().metadata
    for voting in (False, True):
        back = load_acceptor(
            kept, new_member_id="", address="h:0", seeds=(), bootstrap=False, voting=voting, slots=a.slots
        )
        back.installed = False  # it was started with voting off before
        reply = back.handle(InstallRequest(1, ABC, AcceptorState(CommittedValue(), (), ())))
        assert (reply == InstalledReply(1)) is voting
        assert not back.may_vote()
        assert back.sealed_by == after
        assert back.slots[0].accepted == Ballot(1, 1, "q")


def test_undecided_versions_are_bounded_and_what_is_known_goes_on() -> None:
    acceptor = member("a")
    for version in range(1, MAX_UNDECIDED_VERSIONS + 1):
        ballot = Ballot(1, 1, "b.1")
        assert isinstance(acceptor.handle(AcceptRequest(1, version, ballot, b"v")), AcceptedReply)
    further = PrepareRequest(1, MAX_UNDECIDED_VERSIONS + 1, Ballot(1, 1, "b.1"))
    assert acceptor.handle(further) == NotAMemberReply(1)
    assert len(acceptor.slots) == MAX_UNDECIDED_VERSIONS
    known = PrepareRequest(1, 7, Ballot(1, 2, "b.1"))
    assert isinstance(acceptor.handle(known), PromiseReply)
    change = PrepareRequest(1, MEMBERSHIP_VERSION, Ballot(1, 2, "b.1"))
    assert isinstance(acceptor.handle(change), PromiseReply)
    acceptor.learn(MAX_UNDECIDED_VERSIONS, b"v")
    assert isinstance(acceptor.handle(further), PromiseReply)
