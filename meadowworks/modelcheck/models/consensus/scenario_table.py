"""The scenarios of the consensus model."""

from __future__ import annotations

from meadowworks.modelcheck.models.consensus.scenarios import (
    AB,
    ABC,
    ABC_WITH_C_REPLACED,
    ABCD,
    ABCDE,
    ABD,
    BCD,
    CDE,
    Scenario,
    Task,
    X,
    Y,
    members_of,
    pairs_between,
    propose,
    propose_members,
)


def scenarios(large: bool) -> list[Scenario]:
    """Return all scenarios. Seeded faults refer to them by index, so add new ones at the end."""
    race, change = (propose(0, X), propose(1, Y)), Task(1, "change")
    cut_in_halves, cut_off_machine_0 = pairs_between((0, 2), (1, 3)), pairs_between((0,), (1, 2, 3))
    found_with_abc, found_with_ab, complete_epoch = (
        propose_members(0, ABC, 0),
        propose_members(1, AB, 0),
        Task(0, "carry"),
    )
    read, propose_in_epoch_2 = Task(1, "read"), propose(1, X, 1, 2)
    table = [
        Scenario("begun anew", race, (2, 1)),
        Scenario("two versions", (propose(0, X, 1), propose(1, Y, 2)), (1, 1), acceptors_learn=True),
        Scenario(
            "finished by another",
            (propose(0), Task(1, "finish", 1)),
            (1, 1),
            replaceable_disks=(0,),
            replies_may_be_lost=True,
        ),
        Scenario("a bystander's disk is replaced", race, (1, 1), replaceable_disks=(2,)),
        Scenario(
            "five disks",
            (propose(0),),
            (1,),
            5,
            members_of(*"abcde"),
            replaceable_disks=(4,),
            replies_may_be_lost=True,
        ),
        Scenario("power is lost", race, (2, 1), crash_machines=(0,)),
        Scenario("held up", race, (1, 1), requests_may_be_late=True),
        Scenario("a reader", (propose(0), read), (1, 1)),
        Scenario("two versions are read", (propose(0), propose(1, Y, 2), Task(2, "read")), (1, 1, 1)),
        Scenario("a leaver", (propose(0), Task(2, "leave")), (1, 1)),
        Scenario(
            "a leaver of four", (complete_epoch, Task(3, "leave")), (1, 1), 4, ABCD, chosen_at=(0, 1, 3)
        ),
        Scenario(
            "founding, a disk is wiped",
            (found_with_abc, found_with_ab),
            (1, 1),
            replaceable_disks=(2,),
            founding=True,
        ),
        Scenario("founding, too early", (propose_members(0, ABC), propose(1)), (1, 1), founding=True),
        Scenario("one comes in", (change, propose(0)), (1, 1), 4, next_members=ABCD),
        Scenario("one goes out", (change, propose(0)), (1, 1), 4, ABCD, BCD),
        Scenario(
            "one is lost, another comes", (change, propose(0)), (1, 1), 4, ABC, BCD, losable_machines=(0,)
        ),
        Scenario(
            "two in a row", (change, propose_members(2, CDE, 2), propose_in_epoch_2), (1, 1, 1), 5, ABC, BCD
        ),
        Scenario(
            "wiped at its address",
            (propose_members(0, ABC_WITH_C_REPLACED, 1), propose(1)),
            (1, 1),
            replaceable_disks=(2,),
        ),
        Scenario(
            "cut in two",
            (change, propose(0), propose(1, Y)),
            (1, 1, 1),
            4,
            ABC,
            ABCD,
            partition=cut_in_halves,
        ),
        Scenario(
            "cut off alone",
            (change, propose(0), propose(1, Y)),
            (1, 1, 1),
            4,
            ABC,
            ABCD,
            partition=cut_off_machine_0,
        ),
        Scenario("left half-way", (change, complete_epoch), (1, 1), 4, ABC, BCD, crash_machines=(1,)),
        Scenario("left half-way, a version too", (complete_epoch, propose(2)), (1, 1), 4, ABC, BCD, (0,)),
        Scenario(
            "installed at one",
            (complete_epoch, propose(2), propose(3, Y)),
            (1, 1, 1),
            4,
            ABC,
            BCD,
            (0, 1),
            (3,),
        ),
        Scenario("two sets", (propose_members(0, ABD), propose_members(1, BCD)), (1, 1), 4),
        Scenario("a register of members anew", (change, propose_members(2, (), 2)), (1, 1), 4, ABC, BCD),
        Scenario("a number from before", (propose(1, Y), Task(2, "finish", 1)), (1, 1), accepted_before=(0,)),
        Scenario(
            "a number from before, handed on",
            (change, propose(1, Y)),
            (1, 1),
            4,
            ABC,
            ABD,
            accepted_before=(0,),
        ),
        Scenario(
            "five become three", (Task(2, "read"),), (1,), 5, ABCDE, ABC, (3, 4), (2,), chosen_at=(2, 3, 4)
        ),
        Scenario(
            "a reader of the old",
            (change, propose_in_epoch_2, Task(0, "read", epoch=1)),
            (1, 1, 1),
            4,
            ABC,
            BCD,
        ),
        Scenario(
            "not to vote for a while",
            (change,),
            (1,),
            4,
            ABC,
            ABCD,
            restart_machines=(0,),
            members_install=True,
            acceptors_announce=True,
        ),
        Scenario(
            "not to vote, and asked to",
            (propose_members(2, ()),),
            (1,),
            4,
            next_members=ABD,
            restart_machines=(0,),
        ),
        Scenario("heard of the newer", (propose(1),), (1,), 4, ABC, BCD, (0,), (3,), acceptors_announce=True),
        Scenario("one for another", (change, propose(0)), (1, 1), 4, ABC, BCD),
        Scenario("two orders at one box", (propose(0, X), propose(0, Y)), (1, 1)),
        Scenario("members and a version", (propose_members(2, ()), propose(1)), (1, 1), 4, next_members=ABD),
    ]
    if large:
        table += [
            Scenario("any disk is replaced", race, (1, 1), replaceable_disks=(0, 1, 2)),
            Scenario("begun anew, both", race, (2, 2), replies_may_be_lost=True),
            Scenario("five disks, a race", race, (1, 1), 5, ABCDE, replaceable_disks=(4,)),
            Scenario("one comes in, begun anew", (change, propose(0)), (1, 2), 4, next_members=ABCD),
            Scenario(
                "left half-way, and a version",
                (change, complete_epoch, propose(2)),
                (1, 1, 1),
                4,
                ABC,
                BCD,
                crash_machines=(1,),
            ),
            Scenario(
                "not to vote, and a version",
                (change, propose(0)),
                (1, 1),
                4,
                ABC,
                ABCD,
                restart_machines=(0,),
                members_install=True,
            ),
        ]
    return table
