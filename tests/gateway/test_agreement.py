"""Agreement on versions and on members: two paths that once chose two contents, and the words one by one."""

from __future__ import annotations

from typing import Any

import pytest

from meadowworks.consensus import register
from meadowworks.consensus.register import (
    NONE,
    UNKNOWN,
    Acceptor,
    Ballot,
    Change,
    Chosen,
    Epoch,
    Held,
    Moved,
    Outside,
    Prepare,
    Promised,
    Proposer,
    Read,
    Sealed,
    Slot,
    State,
    Teacher,
    digest,
    members_after,
)
from meadowworks.consensus.replica import LEAVE, SECOND, Answer, Ask, Job, Replica, Taken, Write, acceptor_for
from meadowworks.gossip import messages as post
from tests.gateway.test_state import mutants

A, B, C, D, E = (("a", "h:0"), ("b", "h:1"), ("c", "h:2"), ("d", "h:3"), ("e", "h:4"))
ABC = Epoch(1, (A, B, C))


def member(disk: str, epoch: Epoch = ABC) -> Acceptor:
    address = dict((A, B, C, D, E))[disk]
    return Acceptor(disk, address, epoch=epoch, installed=epoch.has(disk), life=1)


def carry(op: Any, acceptors: list[Acceptor]) -> Any:
    """Asks those that are in reach, round after round, until there is an outcome or nothing moves."""
    for _ in range(4):
        request = op.request()
        targets = {disk for disk, _ in op.targets()}
        for one in acceptors:
            if one.name(request.epoch) in targets and op.heard(one.name(request.epoch), one.answer(request)):
                break
        if op.outcome is not None:
            return op.outcome
    return None


def proposer(acceptor: Acceptor, content: bytes | None, version: int = 6) -> Proposer:
    job = Job("order", version, content, 0, [])
    return Replica(acceptor, 1, lambda: 0.5).proposer(acceptor.newest(), version, job)


def test_a_ballot_is_not_used_twice_by_a_box_that_lost_power_before_its_own_write() -> None:
    p, b, c = (member(disk) for disk in "abc")
    first = proposer(p, b"X")
    for one in (b, c):
        first.heard(one.disk, one.answer(first.request()))
    b.answer(first.request())  # accepted at b alone; p's own write is never made, and power is lost
    again = acceptor_for(
        {
            "disk": "a",
            "seat": "",
            "life": 1,
            "epoch": register.pack_epoch(ABC),
            "installed": True,
            "sealed": None,
        },
        disk="",
        address="h:0",
        seeds=(),
        bootstrap=False,
        voting=True,
    )
    Replica(again, 1, lambda: 0.5).start(0)
    second = proposer(again, b"Y")
    assert again.life == 2 and second.ballot != first.ballot
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
    d = acceptor_for(None, disk="d", address="h:3", seeds=(), bootstrap=False, voting=True)
    if carried:  # d enters with a and b while a still runs
        assert carry(Change(ABC, Epoch(2, (A, B, C, D))), [a, b, d]) == Moved(Epoch(2, (A, B, C, D)), False)
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
    assert members_after(Epoch(3, members), tolerate, silent, candidates, leaving) == found


def test_an_empty_disk_founds_at_the_first_start_alone_and_by_its_seat() -> None:
    seeds = ("h:0", "h:1", "h:2")
    founder = acceptor_for(None, disk="x", address="h:1", seeds=seeds, bootstrap=True, voting=True)
    assert (
        founder.votes() and founder.epoch.number == 0 and founder.name(0) == "@h:1" and founder.name(1) == "x"
    )
    assert founder.epoch.members == (("@h:0", "h:0"), ("@h:1", "h:1"), ("@h:2", "h:2")) and founder.meta
    ballot = Ballot(0, 1, "q")
    assert founder.answer(Prepare(0, 0, ballot)) == Promised(ballot, NONE, b"")
    assert founder.answer(Prepare(0, 1, ballot)) == Outside(0)  # no version before there are members
    other = acceptor_for(None, disk="y", address="h:7", seeds=seeds, bootstrap=True, voting=True)
    later = acceptor_for(None, disk="z", address="h:1", seeds=seeds, bootstrap=False, voting=True)
    for one in (other, later):
        assert not one.votes() and isinstance(one.answer(Prepare(0, 0, ballot)), Outside)
        assert isinstance(one.answer(register.Seal(0, ABC)), Outside)
    assert later.epoch.number == UNKNOWN and later.name(0) == ""


def test_a_request_under_another_epochs_ballot_is_not_voted_on() -> None:
    a = member("a")
    assert (
        a.answer(Prepare(1, 3, Ballot(2, 1, "q"))) == Outside(1) == a.answer(Prepare(1, 3, Ballot(0, 9, "q")))
    )
    assert not a.slots


def test_only_members_are_counted_each_once_and_under_its_own_ballot() -> None:
    op = proposer(member("a"), b"X")
    said = Promised(op.ballot, NONE, b"")
    assert not op.heard("x", said) and not op.heard("a", said) and not op.heard("a", said)
    assert not op.heard("b", Promised(Ballot(1, 1, "z.1"), NONE, b"")) and not op.accepting
    assert op.heard("b", said) and op.accepting
    took = register.Accepted(op.ballot)
    for who, reply in (("x", took), ("a", took), ("a", took), ("b", register.Accepted(Ballot(1, 9, "z.1")))):
        assert not op.heard(who, reply)
    assert not op.heard("c", said)  # late, of the first round
    assert op.heard("c", took) and op.outcome == Chosen(6, b"X")
    change, state = Change(ABC, Epoch(2, (B, C, D))), Acceptor("").state()
    for who in ("x", "a", "a"):
        assert not change.heard(who, Sealed(Epoch(2, (B, C, D)), state))
    assert change.heard("b", Sealed(Epoch(2, (B, C, D)), state)) and change.installing
    for who in ("a", "x", "b", "b"):  # a is no member of the next epoch
        assert not change.heard(who, register.Installed(2))
    assert change.heard("d", register.Installed(2)) and change.outcome == Moved(Epoch(2, (B, C, D)), False)


def test_what_a_leaver_alone_holds_is_on_a_majority_of_the_others_when_it_ends() -> None:
    a, b, c = (member(disk) for disk in "abc")
    c.learn(4, b"four", {3: b"3" * 16}.items())
    op = Teacher(ABC, "c", c.held, c.past())
    asked = [disk for disk, _ in op.targets()]
    assert asked == ["a", "b"]
    assert not op.heard("a", a.answer(op.request())) and not op.heard("a", a.answer(op.request()))
    assert not op.heard("c", c.answer(op.request())) and not op.heard("x", c.answer(op.request()))
    assert op.heard("b", b.answer(op.request())) and op.outcome == Read(4, 4, "")
    for one in (a, b):
        assert one.held == Held(4, b"four") and one.history == {3: b"3" * 16, 4: digest(b"four")} and one.news


def started(acceptor: Acceptor) -> Replica:
    replica = Replica(acceptor, 1, lambda: 0.5)
    replica.start(0)
    (write,) = replica.take()
    assert (
        isinstance(write, Write) and write.rows.meta is not None and write.rows.meta["life"] == acceptor.life
    )
    replica.written(0, write.mark)
    return replica


def test_a_leaver_waits_until_the_epoch_without_it_has_a_majority() -> None:
    before, after = Epoch(1, (A, B, C, D)), Epoch(2, (A, B, C))
    replica = started(member("d", before))
    replica.leave(0, 9 * SECOND)
    replica.take()
    (job,) = replica.jobs
    question = max(number for number, (_, turn, _) in replica.questions.items() if turn)
    replica.heard(1, question, "a", register.Newer(after))  # at one of three
    replica.tick(SECOND)
    asked = [effect for effect in replica.take() if isinstance(effect, Ask)]
    assert {ask.address for ask in asked} == {"h:0", "h:1", "h:2"} and job in replica.jobs
    one, two, _ = asked
    replica.heard(SECOND, one.question, "a", member("a", after).answer(one.request))
    assert not any(isinstance(effect, Answer) for effect in replica.take())
    replica.heard(SECOND, two.question, "b", member("b", after).answer(two.request))
    assert Answer(LEAVE, Taken()) in replica.take()


def test_nothing_is_asked_before_the_life_is_on_the_disk() -> None:
    replica = Replica(member("d", Epoch(1, (A, B, C, D))), 1, lambda: 0.5)
    replica.start(0)
    (write,) = replica.take()
    assert isinstance(write, Write)
    replica.leave(1, 9 * SECOND)
    replica.tick(SECOND)
    assert not any(isinstance(effect, Ask) for effect in replica.take())
    replica.written(SECOND, write.mark)
    replica.tick(2 * SECOND)
    assert any(isinstance(effect, Ask) for effect in replica.take())


MESSAGES = [
    Prepare(1, 2, Ballot(1, 3, "p")),
    register.Accept(1, 2, Ballot(1, 3, "p"), b"c"),
    register.Seal(1, ABC),
    register.Install(1, ABC, State(Held(2, b"x"), ((1, b"d"),), ((3, Ballot(1, 1, "p"), NONE, b""),))),
    register.Look(1),
    register.Fetch(2),
    register.Teach(1, Held(2, b"x"), ((1, b"d"), (2, b"e"))),
    register.Seen(1, True, 3, 2, "d", "h:1", False),
    Promised(Ballot(1, 1, "p"), NONE, b""),
    register.Accepted(Ballot(1, 1, "p")),
    register.Refused(Ballot(2, 1, "p")),
    register.Past(Held(4, b"d"), ((4, b"d"),)),
    register.Newer(ABC),
    Sealed(ABC),
    Sealed(ABC, State(Held(), (), ())),
    register.Installed(2),
    Outside(UNKNOWN),
    register.Whole(Held(1, b"x"), ()),
]


def test_every_request_and_reply_is_among_those_that_travel() -> None:
    assert {type(message) for message in MESSAGES} == set(register.READERS)


@pytest.mark.parametrize("message", MESSAGES)
def test_requests_and_replies_travel_unchanged_and_mutants_are_refused_or_harmless(message: Any) -> None:
    raw = post.decode(post.encode(register.pack(message)))
    assert register.unpack(raw) == message
    refused = total = 0
    for _, mutant in mutants(raw):
        total += 1
        try:
            found = register.unpack(mutant)
        except post.DECODE_ERRORS:
            refused += 1
        else:
            assert type(found).__name__ == mutant[0]
            register.unpack(post.decode(post.encode(register.pack(found))))
    assert refused > total / 2
    with pytest.raises(post.DECODE_ERRORS):
        register.unpack(raw[:-1])


def test_an_acceptor_that_comes_back_where_it_was_keeps_its_seal_and_its_vote_on_the_members() -> None:
    after = Epoch(2, (B, C, D))
    a = member("a")
    a.slots[0] = Slot(Ballot(1, 1, "q"), Ballot(1, 1, "q"), b"members")
    a.seal(1, after)
    meta = Replica(a, 1, lambda: 0.5)
    a.meta = True
    kept = meta.collect().meta
    for voting in (False, True):
        back = acceptor_for(
            kept, disk="", address="h:0", seeds=(), bootstrap=False, voting=voting, slots=a.slots
        )
        back.installed = False  # it was started with voting off before
        reply = back.answer(register.Install(1, ABC, State(Held(), (), ())))
        assert (reply == register.Installed(1)) is voting and not back.votes()
        assert back.sealed == after and back.slots[0].accepted == Ballot(1, 1, "q")
