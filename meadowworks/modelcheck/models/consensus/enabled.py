"""The steps that are enabled in a state."""

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
    """Return the enabled steps, each a kind followed by its arguments."""
    return [*call_steps(world), *fault_steps(world), *peer_steps(world)]


def call_steps(world: World) -> Iterator[Step]:
    """Yield the beginnings of tasks, the requests of calls and the arrivals of late requests."""
    scenario = world.scenario
    for index, task in enumerate(scenario.tasks):
        if world.frozen_acceptors[task.machine] is None:
            continue
        if world.attempts_left[index] and may_begin(world, task):
            yield "begin", index
        if world.calls[index] is None:
            continue
        for _, address in world.unanswered_members(index):
            machine = int(address)
            if world.is_reachable(task.machine, machine):
                yield "ask", index, machine
                if scenario.replies_may_be_lost and machine != task.machine:
                    yield "lost", index, machine
    for index, (_, destinations) in enumerate(world.late_requests):
        for machine in destinations:
            if world.frozen_acceptors[machine] is not None:
                yield "late", index, machine


def fault_steps(world: World) -> Iterator[Step]:
    """Yield losses of disks and machines, and restarts of processes."""
    for kind, machines in zip(("wipe", "gone", "crash", "off"), world.faults_left, strict=True):
        for machine in machines:
            if world.frozen_acceptors[machine] is not None:
                yield kind, machine
    for machine, frozen in enumerate(world.frozen_acceptors):
        if machine in world.scenario.restart_machines and frozen is not None and not frozen[WANTS_MEMBERSHIP]:
            yield "on", machine


def peer_steps(world: World) -> Iterator[Step]:
    """Yield messages between acceptors outside of any call, and the start of the partition."""
    scenario = world.scenario
    if scenario.acceptors_learn or scenario.members_install or scenario.acceptors_announce:
        for (machine, acceptor), (other_machine, other) in permutations(enumerate(world.frozen_acceptors), 2):
            if acceptor is None or other is None or not world.is_reachable(machine, other_machine):
                continue
            if scenario.acceptors_learn and other[COMMITTED][0] < acceptor[COMMITTED][0]:
                yield "tell", machine, other_machine
            if scenario.acceptors_announce and other[EPOCH][0] > 0:
                yield "hear", machine, other_machine
            if scenario.members_install and may_install(acceptor, other):
                yield "bring", machine, other_machine
    if scenario.partition and not world.partition:
        yield ("cut",)


def may_begin(world: World, task: Task) -> bool:
    """Return whether a task may begin its next attempt."""
    epoch, is_installed, sealed_by, announced_epoch = (
        world.frozen_acceptors[task.machine][field]
        for field in (EPOCH, INSTALLED, SEALED_BY, ANNOUNCED_EPOCH)
    )
    newest = max(epoch[0], announced_epoch[0])
    if task.epoch not in (-1, newest):
        return False
    if task.kind == "carry":
        return bool(is_installed and sealed_by is not None)
    if task.kind == "change":
        return True
    if task.kind in ("members", "leave"):
        return bool(is_installed and sealed_by is None and epoch[0] == newest)
    if task.kind == "put" and world.scenario.partition and not world.partition:
        return False  # scenarios without a partition cover the states before it
    if task.kind in ("put", "finish") and task.version <= world.frozen_acceptors[task.machine][COMMITTED][0]:
        return False
    return bool(newest >= 0)


def may_install(acceptor: Any, other: Any) -> bool:
    """Return whether an acceptor votes in an epoch and another is a member that is not installed in it."""
    epoch, is_installed, sealed_by, announced_epoch = (
        acceptor[EPOCH],
        acceptor[INSTALLED],
        acceptor[SEALED_BY],
        acceptor[ANNOUNCED_EPOCH],
    )
    return bool(
        is_installed
        and sealed_by is None
        and announced_epoch[0] <= epoch[0]
        and epoch[0] > 0
        and any(disk == other[MEMBER_ID] for disk, _ in epoch[1])
        and not (other[INSTALLED] and other[EPOCH][0] >= epoch[0])
    )
