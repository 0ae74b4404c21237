"""What must hold in every world, or of every step."""

from __future__ import annotations

from itertools import combinations
from typing import Any

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.messages import (
    AcceptRequest,
)
from meadowworks.consensus.proposer import Proposer
from meadowworks.consensus.reconfiguration import Reconfiguration
from meadowworks.consensus.values import NO_BALLOT, AcceptorSlot, CommittedValue, Epoch
from meadowworks.modelcheck.model import Property
from meadowworks.modelcheck.models.consensus.frozen import freeze_acceptor
from meadowworks.modelcheck.models.consensus.properties import is_not_older
from meadowworks.modelcheck.models.replica.world import World


def one_value_acknowledged(world: World) -> bool:
    """Of two values of a version one at most was acknowledged."""
    versions = [version for version, _ in world.acknowledged]
    return len(versions) == len(set(versions))


def acknowledged_is_found(world: World) -> bool:
    """What was acknowledged is on a majority of the disks of its epoch's members, written."""
    if not world.acknowledged:
        return True
    disks = [disk.acceptor("") for disk in world.disks]
    newest = max((d.epoch for d in disks if d.installed), key=lambda e: e.number)
    group = [
        d for d in disks if d.installed and newest.has_member(d.member_id) and d.epoch.number == newest.number
    ]
    if len(group) < newest.majority:
        group = [d for d in disks if d.installed and any(d.member_id == n for n, _ in world.scenario.members)]
        newest = Epoch(1, world.scenario.members)
    return all(
        any(holds_value(one, version, content) for one in some)
        for version, content in world.acknowledged
        for some in combinations(group, newest.majority)
    )


def holds_value(one: Acceptor, version: int, content: bytes) -> bool:
    """Whether an acceptor has accepted a value for a version, or committed a later version."""
    slot = one.slots.get(version)
    return (
        one.committed.version > version
        or one.committed == CommittedValue(version, content)
        or slot is not None
        and slot.accepted > NO_BALLOT
        and slot.value == content
    )


def one_value_per_ballot(world: World) -> bool:
    """No ballot stands for two values, in memory, on a disk or on its way."""
    found: dict[Any, bytes] = {}
    taken = [
        (version, slot.accepted, slot.value)
        for replica in (*(b.acceptor for b in world.replicas), *(d.acceptor("") for d in world.disks))
        for version, slot in replica.slots.items()
        if slot.accepted > NO_BALLOT
    ]
    taken += [
        (s.request.version, s.request.ballot, s.request.value)
        for s in world.requests_in_flight
        if isinstance(s.request, AcceptRequest)
    ]
    return all(found.setdefault((version, ballot), content) == content for version, ballot, content in taken)


def replies_rest_on_disk(world: World) -> bool:
    """What a reply says was on its disk when it left."""
    return all(row[1] for row in world.outcomes if row[0] == "told")


def own_votes_rest_on_disk(world: World) -> bool:
    """What an operation counts of the own acceptor's replies is on its disk."""
    for replica, disk in zip(world.replicas, world.disks, strict=True):
        one, me = disk.acceptor(""), replica.acceptor.member_id
        for operation in replica.operations.values():
            match operation.quorum_call:
                case Proposer() as call:
                    slot = one.slots.get(call.version) or AcceptorSlot()
                    past = one.committed.version >= call.version > 0 or one.epoch.number > call.epoch.number
                    if me in call.acceptances and slot.accepted < call.ballot and not past:
                        return False
                    if me in call.promises and slot.promised < call.ballot and not past:
                        return False
                case Reconfiguration() as call:
                    if (
                        me in call.sealed_states
                        and one.sealed_by is None
                        and one.epoch.number < call.next_epoch.number
                    ):
                        return False
                    if me in call.installed_members and one.epoch.number < call.next_epoch.number:
                        return False
    return True


def incarnation_first(world: World) -> bool:
    """No request left before its incarnation was on the disk."""
    return all(row[2] >= row[1] for row in world.outcomes if row[0] == "asked")


def disk_never_regresses(world: World) -> bool:
    """No step takes a disk back."""
    return all(is_not_older(row[1], row[2]) for row in world.outcomes if row[0] == "kept")


def disk_equals_memory(world: World) -> bool:
    """A disk on which everything is written holds what the memory does."""
    for replica, disk in zip(world.replicas, world.disks, strict=True):
        if disk.write_in_flight is None and not replica.acceptor.has_unwritten_changes():
            memory, there = (
                freeze_acceptor(replica.acceptor),
                freeze_acceptor(disk.acceptor(replica.acceptor.address)),
            )
            if memory[:3] + memory[4:11] != there[:3] + there[4:11]:
                return False
    return True


PROPERTIES = (
    Property(
        "one content",
        "of two contents under one number one at most is ever acknowledged",
        one_value_acknowledged,
    ),
    Property(
        "lasts", "what was acknowledged is found on the written disks of any majority", acknowledged_is_found
    ),
    Property(
        "one ballot",
        "no ballot stands for two contents, in memory, on disks or on the way",
        one_value_per_ballot,
    ),
    Property(
        "told rests on the disk",
        "what a reply says is on its disk when it leaves",
        replies_rest_on_disk,
        "step",
    ),
    Property(
        "own rests on the disk", "what a box counts of its own answers is on its disk", own_votes_rest_on_disk
    ),
    Property("life first", "no request leaves before its life is on the disk", incarnation_first, "step"),
    Property(
        "never back",
        "a disk goes back in no version, promise, epoch, seal or life",
        disk_never_regresses,
        "step",
    ),
    Property("whole", "with nothing left to write, the disk holds what the memory does", disk_equals_memory),
)
