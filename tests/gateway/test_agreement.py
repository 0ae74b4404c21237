"""Agreement on versions and on members: two paths that once chose two contents, and the words one by one."""

from __future__ import annotations

from typing import Any

import pytest

from meadowworks.consensus import codec
from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.call_factory import QuorumCallFactory
from meadowworks.consensus.effects import Committed, CompleteOperation, Persist, SendRequest
from meadowworks.consensus.membership import next_members
from meadowworks.consensus.messages import (
    AcceptedReply,
    AcceptRequest,
    BallotRejectedReply,
    InstalledReply,
    InstallRequest,
    LearnRequest,
    NotAMemberReply,
    PrepareRequest,
    PromiseReply,
    QueryReply,
    QueryRequest,
    SealedReply,
    SealRequest,
    SnapshotReply,
    SnapshotRequest,
    StaleEpochReply,
    VersionDecidedReply,
)
from meadowworks.consensus.metadata import load_acceptor
from meadowworks.consensus.operations import LEAVE_WAITER_ID, Operation, OperationKind
from meadowworks.consensus.outcomes import Chosen, EpochChanged, QuorumReadResult
from meadowworks.consensus.proposer import Proposer
from meadowworks.consensus.reconfiguration import Reconfiguration
from meadowworks.consensus.replica import Replica
from meadowworks.consensus.state_transfer import StateTransfer
from meadowworks.consensus.timing import SECOND_NS
from meadowworks.consensus.values import (
    NO_BALLOT,
    UNKNOWN_EPOCH,
    AcceptorSlot,
    AcceptorState,
    Ballot,
    CommittedValue,
    Epoch,
    digest,
)
from meadowworks.gossip import messages as post
from tests.gateway.mutations import mutants

A, B, C, D, E = (("a", "h:0"), ("b", "h:1"), ("c", "h:2"), ("d", "h:3"), ("e", "h:4"))
ABC = Epoch(1, (A, B, C))


def member(disk: str, epoch: Epoch = ABC) -> Acceptor:
    address = dict((A, B, C, D, E))[disk]
    return Acceptor(disk, address, epoch=epoch, installed=epoch.has_member(disk), incarnation=1)


def carry(op: Any, acceptors: list[Acceptor]) -> Any:
    """Asks those that are in reach, round after round, until there is an outcome or nothing moves."""
    for _ in range(4):
        request = op.request()
        targets = {disk for disk, _ in op.unanswered_members()}
        for one in acceptors:
            if one.id_in_epoch(request.epoch) in targets and op.on_reply(
                one.id_in_epoch(request.epoch), one.handle(request)
            ):
                break
        if op.outcome is not None:
            return op.outcome
    return None


def proposer(acceptor: Acceptor, content: bytes | None, version: int = 6) -> Proposer:
    job = Operation(OperationKind.PROPOSE, version, content, 0, [])
    return QuorumCallFactory(acceptor, 1).new_proposer(acceptor.newest_epoch(), version, job)


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
    assert again.incarnation == 2 and second.ballot != first.ballot
    assert carry(second, [again, c]) == Chosen(6, b"Y")  # p acknowledges Y, and is lost for good
    finisher = proposer(b, None)
    found = carry(finisher, [b, c])
    while found is not None and not isinstance(found, Chosen):  # a higher ballot stood in the way
        finisher = Proposer(ABC, 6, Ballot(1, finisher.ballot.number + 1, "b.1"), None)
        found = carry(finisher, [b, c])
    assert found == Chosen(6, b"Y")


@pytest.mark.parametrize("carried", [False, True])
def test_no_two_majorities_stand_on_the_two_sides_of_a_cut_during_a_replacement(carried: bool) -> None:
    a, b, c = (member(disk) for disk in "abc")
    d = load_acceptor(None, new_member_id="d", address="h:3", seeds=(), bootstrap=False, voting=True)
    if carried:  # d enters with a and b while a still runs
        assert carry(Reconfiguration(ABC, Epoch(2, (A, B, C, D))), [a, b, d]) == EpochChanged(
            Epoch(2, (A, B, C, D)), False
        )
    sides = [
        carry(proposer(box, content), reached)
        for box, content, reached in (
            (a, b"X", [a, c]),
            (b, b"Y", [b, d]),
        )
    ]
    chosen = [found for found in sides if isinstance(found, Chosen)]
    assert len(chosen) == (0 if carried else 1)  # before it, a and c are two of three; after it, of four


@pytest.mark.parametrize(
    "tolerate, members, silent, candidates, leaving, found",
    [
        (1, (A, B, C), [], {}, "", None),
        (1, (A, B, C), [], {"c2": "h:2"}, "", (A, B, ("c2", "h:2"))),  # wiped at its address
        (1, (A, B, C), ["c"], {"c2": "h:2"}, "", (A, B, ("c2", "h:2"))),
        (1, (A, B, C), [], {"d": "h:3"}, "", (A, B, C, D)),  # planned: in, then out
        (1, (A, B, C, D), [], {}, "a", (B, C, D)),
        (1, (A, B, C), ["a"], {"d": "h:3"}, "", (B, C, D)),  # sudden
        (1, (A, B, C), [], {"d": "h:3", "e": "h:4"}, "", (A, B, C, D, E)),  # more than 2t+1
        (1, (A, B, C, D, E), ["d"], {}, "", (A, B, C, E)),  # a silent one among extras
        (1, (A, B, C, D, E), ["e", "d"], {}, "a", (B, C, D)),  # who leaves, then the longest silent
        (1, (A, B, C), ["a"], {}, "", None),  # never below 2t+1
        (1, (A, B, C), [], {}, "a", None),
        (2, (A, B, C, D, E), ["e"], {}, "a", None),
        (1, (A, B, C), ["a", "b", "c"], {"d": "h:3"}, "", None),  # no majority in touch
        (1, (A, B, C), ["a", "b"], {"d": "h:3"}, "", (B, C, D)),
        (0, (A,), [], {"b": "h:1"}, "a", (B,)),
    ],
)
def test_the_next_members_are_those_in_touch_and_never_fewer_than_the_settings_speak_of(
    tolerate: int,
    members: tuple[tuple[str, str], ...],
    silent: list[str],
    candidates: dict[str, str],
    leaving: str,
    found: Any,
) -> None:
    assert next_members(Epoch(3, members), tolerate, silent, candidates, leaving) == found


def test_an_empty_disk_founds_at_the_first_start_alone_and_by_its_seat() -> None:
    seeds = ("h:0", "h:1", "h:2")
    founder = load_acceptor(None, new_member_id="x", address="h:1", seeds=seeds, bootstrap=True, voting=True)
    assert (
        founder.may_vote()
        and founder.epoch.number == 0
        and founder.id_in_epoch(0) == "@h:1"
        and founder.id_in_epoch(1) == "x"
    )
    assert (
        founder.epoch.members == (("@h:0", "h:0"), ("@h:1", "h:1"), ("@h:2", "h:2"))
        and founder.metadata_changed
    )
    ballot = Ballot(0, 1, "q")
    assert founder.handle(PrepareRequest(0, 0, ballot)) == PromiseReply(ballot, NO_BALLOT, b"")
    assert founder.handle(PrepareRequest(0, 1, ballot)) == NotAMemberReply(
        0
    )  # no version before there are members
    other = load_acceptor(None, new_member_id="y", address="h:7", seeds=seeds, bootstrap=True, voting=True)
    later = load_acceptor(None, new_member_id="z", address="h:1", seeds=seeds, bootstrap=False, voting=True)
    for one in (other, later):
        assert not one.may_vote() and isinstance(one.handle(PrepareRequest(0, 0, ballot)), NotAMemberReply)
        assert isinstance(one.handle(SealRequest(0, ABC)), NotAMemberReply)
    assert later.epoch.number == UNKNOWN_EPOCH and later.id_in_epoch(0) == ""


def test_a_request_under_another_epochs_ballot_is_not_voted_on() -> None:
    a = member("a")
    assert (
        a.handle(PrepareRequest(1, 3, Ballot(2, 1, "q")))
        == NotAMemberReply(1)
        == a.handle(PrepareRequest(1, 3, Ballot(0, 9, "q")))
    )
    assert not a.slots


def test_only_members_are_counted_each_once_and_under_its_own_ballot() -> None:
    op = proposer(member("a"), b"X")
    said = PromiseReply(op.ballot, NO_BALLOT, b"")
    assert not op.on_reply("x", said) and not op.on_reply("a", said) and not op.on_reply("a", said)
    assert not op.on_reply("b", PromiseReply(Ballot(1, 1, "z.1"), NO_BALLOT, b"")) and not op.accepting
    assert op.on_reply("b", said) and op.accepting
    took = AcceptedReply(op.ballot)
    for who, reply in (
        ("x", took),
        ("a", took),
        ("a", took),
        ("b", AcceptedReply(Ballot(1, 9, "z.1"))),
    ):
        assert not op.on_reply(who, reply)
    assert not op.on_reply("c", said)  # late, of the first round
    assert op.on_reply("c", took) and op.outcome == Chosen(6, b"X")
    change, state = Reconfiguration(ABC, Epoch(2, (B, C, D))), Acceptor("").export_state()
    for who in ("x", "a", "a"):
        assert not change.on_reply(who, SealedReply(Epoch(2, (B, C, D)), state))
    assert change.on_reply("b", SealedReply(Epoch(2, (B, C, D)), state)) and change.installing
    for who in ("a", "x", "b", "b"):  # a is no member of the next epoch
        assert not change.on_reply(who, InstalledReply(2))
    assert change.on_reply("d", InstalledReply(2)) and change.outcome == EpochChanged(
        Epoch(2, (B, C, D)), False
    )


def test_what_a_leaver_alone_holds_is_on_a_majority_of_the_others_when_it_ends() -> None:
    a, b, c = (member(disk) for disk in "abc")
    c.learn(4, b"four", {3: b"3" * 16}.items())
    op = StateTransfer(ABC, "c", c.committed, c.digest_history())
    asked = [disk for disk, _ in op.unanswered_members()]
    assert asked == ["a", "b"]
    assert not op.on_reply("a", a.handle(op.request())) and not op.on_reply("a", a.handle(op.request()))
    assert not op.on_reply("c", c.handle(op.request())) and not op.on_reply("x", c.handle(op.request()))
    assert op.on_reply("b", b.handle(op.request())) and op.outcome == QuorumReadResult(4, 4, "")
    for one in (a, b):
        assert (
            one.committed == CommittedValue(4, b"four")
            and one.history == {3: b"3" * 16, 4: digest(b"four")}
            and one.committed_changed
        )


def started(acceptor: Acceptor) -> Replica:
    replica = Replica(acceptor, 1, lambda: 0.5)
    replica.start(0)
    (write,) = replica.take_effects()
    assert (
        isinstance(write, Persist)
        and write.update.metadata is not None
        and write.update.metadata["life"] == acceptor.incarnation
    )
    replica.on_persisted(0, write.write_id)
    return replica


def test_a_leaver_waits_until_the_epoch_without_it_has_a_majority() -> None:
    before, after = Epoch(1, (A, B, C, D)), Epoch(2, (A, B, C))
    replica = started(member("d", before))
    replica.leave(0, 9 * SECOND_NS)
    replica.take_effects()
    (job,) = replica.operations
    question = max(number for number, (_, turn, _) in replica.pending_requests.items() if turn)
    replica.on_reply(1, question, "a", StaleEpochReply(after))  # at one of three
    replica.tick(SECOND_NS)
    asked = [effect for effect in replica.take_effects() if isinstance(effect, SendRequest)]
    assert {ask.address for ask in asked} == {"h:0", "h:1", "h:2"} and job in replica.operations
    one, two, _ = asked
    replica.on_reply(SECOND_NS, one.request_id, "a", member("a", after).handle(one.request))
    assert not any(isinstance(effect, CompleteOperation) for effect in replica.take_effects())
    replica.on_reply(SECOND_NS, two.request_id, "b", member("b", after).handle(two.request))
    assert CompleteOperation(LEAVE_WAITER_ID, Committed()) in replica.take_effects()


def test_nothing_is_asked_before_the_life_is_on_the_disk() -> None:
    replica = Replica(member("d", Epoch(1, (A, B, C, D))), 1, lambda: 0.5)
    replica.start(0)
    (write,) = replica.take_effects()
    assert isinstance(write, Persist)
    replica.leave(1, 9 * SECOND_NS)
    replica.tick(SECOND_NS)
    assert not any(isinstance(effect, SendRequest) for effect in replica.take_effects())
    replica.on_persisted(SECOND_NS, write.write_id)
    replica.tick(2 * SECOND_NS)
    assert any(isinstance(effect, SendRequest) for effect in replica.take_effects())


MESSAGES = [
    PrepareRequest(1, 2, Ballot(1, 3, "p")),
    AcceptRequest(1, 2, Ballot(1, 3, "p"), b"c"),
    SealRequest(1, ABC),
    InstallRequest(
        1,
        ABC,
        AcceptorState(CommittedValue(2, b"x"), ((1, b"d"),), ((3, Ballot(1, 1, "p"), NO_BALLOT, b""),)),
    ),
    QueryRequest(1),
    SnapshotRequest(2),
    LearnRequest(1, CommittedValue(2, b"x"), ((1, b"d"), (2, b"e"))),
    QueryReply(1, True, 3, 2, "d", "h:1", False),
    PromiseReply(Ballot(1, 1, "p"), NO_BALLOT, b""),
    AcceptedReply(Ballot(1, 1, "p")),
    BallotRejectedReply(Ballot(2, 1, "p")),
    VersionDecidedReply(CommittedValue(4, b"d"), ((4, b"d"),)),
    StaleEpochReply(ABC),
    SealedReply(ABC),
    SealedReply(ABC, AcceptorState(CommittedValue(), (), ())),
    InstalledReply(2),
    NotAMemberReply(UNKNOWN_EPOCH),
    SnapshotReply(CommittedValue(1, b"x"), ()),
]


def test_every_request_and_reply_is_among_those_that_travel() -> None:
    assert {type(message) for message in MESSAGES} == set(codec.FIELD_DECODERS)


@pytest.mark.parametrize("message", MESSAGES)
def test_requests_and_replies_travel_unchanged_and_mutants_are_refused_or_harmless(message: Any) -> None:
    raw = post.decode(post.encode(codec.encode(message)))
    assert codec.decode(raw) == message
    refused = total = 0
    for _, mutant in mutants(raw):
        total += 1
        try:
            found = codec.decode(mutant)
        except post.DECODE_ERRORS:
            refused += 1
        else:
            assert codec.WIRE_NAMES[type(found)] == mutant[0]
            codec.decode(post.decode(post.encode(codec.encode(found))))
    assert refused > total / 2
    with pytest.raises(post.DECODE_ERRORS):
        codec.decode(raw[:-1])


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
        assert (reply == InstalledReply(1)) is voting and not back.may_vote()
        assert back.sealed_by == after and back.slots[0].accepted == Ballot(1, 1, "q")
