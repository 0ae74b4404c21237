"""Which steps may come next in a world."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import permutations
from typing import TYPE_CHECKING, Any

from meadowworks.modelcheck.model import Step
from meadowworks.modelcheck.models.consensus.frozen import (
    ANNOUNCED_EPOCH,
    COMMITTED,
    EPOCH,
    INSTALLED,
    MEMBER_ID,
    SEALED_BY,
    WANTS_MEMBERSHIP,
)
from meadowworks.modelcheck.models.consensus.scenarios import Task

if TYPE_CHECKING:
    from meadowworks.modelcheck.models.consensus.world import World


def enabled_steps(world: World) -> list[Step]:
    """The steps that may come next, by their names and what they are of."""
    return [*call_steps(world), *fault_steps(world), *peer_steps(world)]


def call_steps(world: World) -> Iterator[Step]:
    """Tasks begin, their calls ask acceptors, and late requests come."""
    scenario = world.scenario
    for index, task in enumerate(scenario.tasks):
        if world.frozen_acceptors[task.place] is None:
            continue
        if world.attempts_left[index] and may_begin(world, task):
            yield "begin", index
        if world.calls[index] is None:
            continue
        for _, address in world.unanswered_members(index):
            place = int(address)
            if world.reaches(task.place, place):
                yield "ask", index, place
                if scenario.replies_may_be_lost and place != task.place:
                    yield "lost", index, place
    for index, (_, destinations) in enumerate(world.late_requests):
        for place in destinations:
            if world.frozen_acceptors[place] is not None:
                yield "late", index, place


def fault_steps(world: World) -> Iterator[Step]:
    """Disks and machines are lost, processes start again."""
    for kind, places in zip(("wipe", "gone", "crash", "off"), world.faults_left, strict=True):
        for place in places:
            if world.frozen_acceptors[place] is not None:
                yield kind, place
    for place, frozen in enumerate(world.frozen_acceptors):
        if place in world.scenario.restart_places and frozen is not None and not frozen[WANTS_MEMBERSHIP]:
            yield "on", place


def peer_steps(world: World) -> Iterator[Step]:
    """Acceptors hear from each other outside of any call, and the network is cut."""
    scenario = world.scenario
    if scenario.acceptors_learn or scenario.members_install or scenario.acceptors_announce:
        for (k, one), (j, other) in permutations(enumerate(world.frozen_acceptors), 2):
            if one is None or other is None or not world.reaches(k, j):
                continue
            if scenario.acceptors_learn and other[COMMITTED][0] < one[COMMITTED][0]:
                yield "tell", k, j
            if scenario.acceptors_announce and other[EPOCH][0] > 0:
                yield "hear", k, j
            if scenario.members_install and may_install(one, other):
                yield "bring", k, j
    if scenario.partition and not world.partition:
        yield ("cut",)


def may_begin(world: World, task: Task) -> bool:
    """Whether a task may begin its next attempt."""
    epoch, installed, sealed, view = (
        world.frozen_acceptors[task.place][place] for place in (EPOCH, INSTALLED, SEALED_BY, ANNOUNCED_EPOCH)
    )
    newest = max(epoch[0], view[0])
    if task.epoch not in (-1, newest):
        return False
    if task.kind == "carry":
        return bool(installed and sealed is not None)
    if task.kind == "change":
        return True
    if task.kind in ("members", "leave"):
        return bool(installed and sealed is None and epoch[0] == newest)
    if task.kind == "put" and world.scenario.partition and not world.partition:
        return False  # before the partition it is as in the scenarios without one
    if task.kind in ("put", "finish") and task.version <= world.frozen_acceptors[task.place][COMMITTED][0]:
        return False
    return bool(newest >= 0)


def may_install(one: Any, other: Any) -> bool:
    """`one` votes, and has the other as a member that does not."""
    epoch, installed, sealed, view = one[EPOCH], one[INSTALLED], one[SEALED_BY], one[ANNOUNCED_EPOCH]
    return bool(
        installed
        and sealed is None
        and view[0] <= epoch[0]
        and epoch[0] > 0
        and any(disk == other[MEMBER_ID] for disk, _ in epoch[1])
        and not (other[INSTALLED] and other[EPOCH][0] >= epoch[0])
    )
