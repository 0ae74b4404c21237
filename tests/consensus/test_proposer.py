"""Proposers: unique ballots, and which replies count."""

from __future__ import annotations

import pytest

from meadowworks.consensus import codec
from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.messages import (
    AcceptedReply,
    InstalledReply,
    PromiseReply,
    Reply,
    SealedPositionReply,
    SealedReply,
)
from meadowworks.consensus.metadata import load_acceptor
from meadowworks.consensus.outcomes import Chosen, EpochChanged
from meadowworks.consensus.proposer import Proposer
from meadowworks.consensus.reconfiguration import Reconfiguration
from meadowworks.consensus.replica import Replica
from meadowworks.consensus.values import (
    NO_BALLOT,
    Ballot,
    Epoch,
)
from tests.consensus.helpers import ABC, B, C, D, member, new_proposer, run_call


def test_a_ballot_is_not_reused_after_a_power_loss_before_the_own_write() -> None:
    a, b, c = (member(member_id) for member_id in "abc")
    first = new_proposer(a, b"X")
    for acceptor in (b, c):
        first.on_reply(acceptor.member_id, acceptor.handle(first.request()))
    b.handle(first.request())  # only b accepts; a loses power before its own write
    restarted = load_acceptor(
        {
            "disk": "a",
            "seat": "",
            "life": 1,
            "epoch": codec.encode_epoch(ABC),
            "installed": True,
            "sealed": None,
        },
        new_member_id="",
        address="h:0",
        seeds=(),
        bootstrap=False,
        voting=True,
    )
    Replica(restarted, 1, lambda: 0.5).start(0)
    second = new_proposer(restarted, b"Y")
    assert restarted.incarnation == 2
    assert second.ballot != first.ballot
    assert run_call(second, [restarted, c]) == Chosen(6, b"Y")  # Y is acknowledged before a is lost
    finisher = new_proposer(b, None)
    outcome = run_call(finisher, [b, c])
    while outcome is not None and not isinstance(outcome, Chosen):  # rejected by a higher ballot
        finisher = Proposer(ABC, 6, Ballot(1, finisher.ballot.number + 1, "b.1"), None)
        outcome = run_call(finisher, [b, c])
    assert outcome == Chosen(6, b"Y")


def test_only_replies_of_members_count_once_each_and_under_the_own_ballot() -> None:
    proposer = new_proposer(member("a"), b"X")
    promise = PromiseReply(proposer.ballot, NO_BALLOT, b"")
    assert not proposer.on_reply("x", promise)
    assert not proposer.on_reply("a", promise)
    assert not proposer.on_reply("a", promise)
    assert not proposer.on_reply("b", PromiseReply(Ballot(1, 1, "z.1"), NO_BALLOT, b""))
    assert not proposer.accepting
    assert proposer.on_reply("b", promise)
    assert proposer.accepting
    accepted = AcceptedReply(proposer.ballot)
    for member_id, reply in (
        ("x", accepted),
        ("a", accepted),
        ("a", accepted),
        ("b", AcceptedReply(Ballot(1, 9, "z.1"))),
    ):
        assert not proposer.on_reply(member_id, reply)
    assert not proposer.on_reply("c", promise)  # a late reply of the first round
    assert proposer.on_reply("c", accepted)
    assert proposer.outcome == Chosen(6, b"X")


@pytest.mark.parametrize("sends_whole_states", [False, True])
def test_a_reconfiguration_counts_replies_of_members_once_each(sends_whole_states: bool) -> None:
    next_epoch, state = Epoch(2, (B, C, D)), Acceptor("").export_state()
    reconfiguration = Reconfiguration(ABC, next_epoch)
    replies: list[Reply] = [SealedPositionReply(next_epoch, state, None), SealedReply(next_epoch, state)]
    if sends_whole_states:
        reconfiguration.send_whole_states()
        replies.reverse()
    sealed, of_other_form = replies
    for member_id in ("x", "a", "a"):
        assert not reconfiguration.on_reply(member_id, sealed)
    assert not reconfiguration.on_reply("b", of_other_form)  # lacks the log, or where it is
    assert reconfiguration.on_reply("b", sealed)
    assert reconfiguration.installing
    for member_id in ("a", "x", "b", "b"):  # a is not a member of the next epoch
        assert not reconfiguration.on_reply(member_id, InstalledReply(2))
    assert reconfiguration.on_reply("d", InstalledReply(2))
    assert reconfiguration.outcome == EpochChanged(Epoch(2, (B, C, D)), False)
