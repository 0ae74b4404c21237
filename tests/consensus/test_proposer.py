"""Proposers: ballots, and who is counted."""

from __future__ import annotations

from meadowworks.consensus import codec
from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.messages import (
    AcceptedReply,
    InstalledReply,
    PromiseReply,
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
from tests.consensus.helpers import ABC, B, C, D, member, proposer, run_call


def test_a_ballot_is_not_used_twice_by_a_box_that_lost_power_before_its_own_write() -> None:
    p, b, c = (member(disk) for disk in "abc")
    first = proposer(p, b"X")
    for one in (b, c):
        first.on_reply(one.member_id, one.handle(first.request()))
    b.handle(first.request())  # accepted at b alone; p's own write is never made, and power is lost
    again = load_acceptor(
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
    Replica(again, 1, lambda: 0.5).start(0)
    second = proposer(again, b"Y")
    assert again.incarnation == 2
    assert second.ballot != first.ballot
    assert run_call(second, [again, c]) == Chosen(6, b"Y")  # p acknowledges Y, and is lost for good
    finisher = proposer(b, None)
    found = run_call(finisher, [b, c])
    while found is not None and not isinstance(found, Chosen):  # a higher ballot stood in the way
        finisher = Proposer(ABC, 6, Ballot(1, finisher.ballot.number + 1, "b.1"), None)
        found = run_call(finisher, [b, c])
    assert found == Chosen(6, b"Y")


def test_only_members_are_counted_each_once_and_under_its_own_ballot() -> None:
    op = proposer(member("a"), b"X")
    said = PromiseReply(op.ballot, NO_BALLOT, b"")
    assert not op.on_reply("x", said)
    assert not op.on_reply("a", said)
    assert not op.on_reply("a", said)
    assert not op.on_reply("b", PromiseReply(Ballot(1, 1, "z.1"), NO_BALLOT, b""))
    assert not op.accepting
    assert op.on_reply("b", said)
    assert op.accepting
    took = AcceptedReply(op.ballot)
    for who, reply in (
        ("x", took),
        ("a", took),
        ("a", took),
        ("b", AcceptedReply(Ballot(1, 9, "z.1"))),
    ):
        assert not op.on_reply(who, reply)
    assert not op.on_reply("c", said)  # late, of the first round
    assert op.on_reply("c", took)
    assert op.outcome == Chosen(6, b"X")
    change, state = Reconfiguration(ABC, Epoch(2, (B, C, D))), Acceptor("").export_state()
    for who in ("x", "a", "a"):
        assert not change.on_reply(who, SealedReply(Epoch(2, (B, C, D)), state))
    assert change.on_reply("b", SealedReply(Epoch(2, (B, C, D)), state))
    assert change.installing
    for who in ("a", "x", "b", "b"):  # a is no member of the next epoch
        assert not change.on_reply(who, InstalledReply(2))
    assert change.on_reply("d", InstalledReply(2))
    assert change.outcome == EpochChanged(Epoch(2, (B, C, D)), False)
