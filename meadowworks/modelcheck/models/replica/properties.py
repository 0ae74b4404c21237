"""Properties of the states and steps of the model `replica`."""

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
from meadowworks.modelcheck.models.replica.world import ReplicaWorld


def one_value_acknowledged(world: ReplicaWorld) -> bool:
    """Return whether at most one value was acknowledged for each version."""
    versions = [version for version, _ in world.acknowledged]
    return len(versions) == len(set(versions))


def acknowledged_values_are_durable(world: ReplicaWorld) -> bool:
    """Return whether any majority of the members' disks contains every acknowledged value."""
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
        any(holds_value(disk, version, content) for disk in majority)
        for version, content in world.acknowledged
        for majority in combinations(group, newest.majority)
    )


def holds_value(acceptor: Acceptor, version: int, content: bytes) -> bool:
    """Return whether an acceptor has accepted or committed the value, or committed a later version."""
    slot = acceptor.slots.get(version)
    return (
        acceptor.committed.version > version
        or acceptor.committed == CommittedValue(version, content)
        or slot is not None
        and slot.accepted > NO_BALLOT
        and slot.value == content
    )


def one_value_per_ballot(world: ReplicaWorld) -> bool:
    """Return whether no ballot has two values, in memory, on disks or in requests in flight."""
    value_by_ballot: dict[Any, bytes] = {}
    proposals = [
        (version, slot.accepted, slot.value)
        for acceptor in (
            *(replica.acceptor for replica in world.replicas),
            *(disk.acceptor("") for disk in world.disks),
        )
        for version, slot in acceptor.slots.items()
        if slot.accepted > NO_BALLOT
    ]
    proposals += [
        (message.request.version, message.request.ballot, message.request.value)
        for message in world.requests_in_flight
        if isinstance(message.request, AcceptRequest)
    ]
    return all(
        value_by_ballot.setdefault((version, ballot), content) == content
        for version, ballot, content in proposals
    )


def replies_are_durable(world: ReplicaWorld) -> bool:
    """Return whether the state in each reply was on the sender's disk when the reply was sent."""
    return all(row[1] for row in world.outcomes if row[0] == "told")


def own_votes_are_durable(world: ReplicaWorld) -> bool:
    """Return whether the own acceptor's replies that an operation counts are on its disk."""
    for replica, disk in zip(world.replicas, world.disks, strict=True):
        durable, own_id = disk.acceptor(""), replica.acceptor.member_id
        for operation in replica.operations.values():
            match operation.quorum_call:
                case Proposer() as call:
                    slot = durable.slots.get(call.version) or AcceptorSlot()
                    is_superseded = (
                        durable.committed.version >= call.version > 0
                        or durable.epoch.number > call.epoch.number
                    )
                    if own_id in call.acceptances and slot.accepted < call.ballot and not is_superseded:
                        return False
                    if own_id in call.promises and slot.promised < call.ballot and not is_superseded:
                        return False
                case Reconfiguration() as call:
                    if (
                        own_id in call.sealed_states
                        and durable.sealed_by is None
                        and durable.epoch.number < call.next_epoch.number
                    ):
                        return False
                    if own_id in call.installed_members and durable.epoch.number < call.next_epoch.number:
                        return False
    return True


def incarnation_is_durable_before_sending(world: ReplicaWorld) -> bool:
    """Return whether no request was sent before its incarnation was on the disk."""
    return all(row[2] >= row[1] for row in world.outcomes if row[0] == "asked")


def disk_never_regresses(world: ReplicaWorld) -> bool:
    """Return whether no step replaced the state of a disk by an older one."""
    return all(is_not_older(row[1], row[2]) for row in world.outcomes if row[0] == "kept")


def disk_equals_memory(world: ReplicaWorld) -> bool:
    """Return whether each disk without pending writes equals the replica's memory."""
    for replica, disk in zip(world.replicas, world.disks, strict=True):
        if disk.write_in_flight is None and not replica.acceptor.has_unwritten_changes():
            in_memory, on_disk = (
                freeze_acceptor(replica.acceptor),
                freeze_acceptor(disk.acceptor(replica.acceptor.address)),
            )
            if in_memory[:3] + in_memory[4:11] != on_disk[:3] + on_disk[4:11]:
                return False
    return True


PROPERTIES = (
    Property(
        "one content",
        "at most one value is acknowledged for each version",
        one_value_acknowledged,
    ),
    Property(
        "lasts", "the disks of any majority contain every acknowledged value", acknowledged_values_are_durable
    ),
    Property(
        "one ballot",
        "no ballot has two values, in memory, on disks or in requests in flight",
        one_value_per_ballot,
    ),
    Property(
        "told rests on the disk",
        "the state in a reply is on the sender's disk when the reply is sent",
        replies_are_durable,
        "step",
    ),
    Property(
        "own rests on the disk",
        "the own replies that a replica counts are on its disk",
        own_votes_are_durable,
    ),
    Property(
        "life first",
        "no request is sent before its incarnation is on the disk",
        incarnation_is_durable_before_sending,
        "step",
    ),
    Property(
        "never back",
        "the version, promises, epoch, seal and incarnation on a disk never regress",
        disk_never_regresses,
        "step",
    ),
    Property("whole", "a disk without pending writes equals the replica's memory", disk_equals_memory),
)
