"""The properties of the consensus model: conditions on every state or on every step."""

from __future__ import annotations

from itertools import combinations
from typing import Any

from meadowworks.consensus.values import (
    MEMBERSHIP_VERSION,
    digest,
)
from meadowworks.modelcheck.model import Property
from meadowworks.modelcheck.models.consensus.frozen import (
    ANNOUNCED_EPOCH,
    COMMITTED,
    EPOCH,
    FOUNDER_ID,
    HISTORY,
    INCARNATION,
    INSTALLED,
    MEMBER_ID,
    SEALED_BY,
    SLOTS,
    WANTS_MEMBERSHIP,
    thaw_epoch,
)
from meadowworks.modelcheck.models.consensus.scenarios import Members
from meadowworks.modelcheck.models.consensus.world import World


def one_value_chosen(world: World) -> bool:
    """At most one value is chosen for a version over all epochs, and one member list after each epoch."""
    chosen_values: dict[Any, bytes] = {}
    return all(
        chosen_values.setdefault(version or ("after", epoch), value) == value
        for epoch, version, value in world.chosen
    )


def one_value_per_ballot(world: World) -> bool:
    """All values accepted or being proposed under a ballot are equal."""
    values: dict[Any, bytes] = {}
    for frozen in world.frozen_acceptors:
        for version, _, ballot, value in frozen[SLOTS] if frozen is not None else ():
            if ballot[0] >= 0 and values.setdefault((version, ballot), value) != value:
                return False
    for call in world.calls:
        is_proposing = call is not None and call[0] == "proposer" and call[5]
        if is_proposing and values.setdefault((call[2], call[3]), call[4]) != call[4]:
            return False
    return True


def epochs_by_number(world: World) -> dict[int, Members] | None:
    """Return the members of all epochs in acceptors and calls, None if two epochs of one number differ."""
    epochs: dict[int, Members] = {}
    candidates = [
        frozen[field]
        for frozen in world.frozen_acceptors
        if frozen is not None
        for field in (EPOCH, SEALED_BY, ANNOUNCED_EPOCH)
    ]
    candidates += [
        call[field]
        for call in world.calls
        if call is not None
        for field in (1, 2)
        if type(call[field]) is tuple
    ]
    for epoch in candidates:
        if epoch is None or len(epoch) != 2 or type(epoch[0]) is not int or epoch[0] < 0:
            continue
        number, members = epoch
        if epochs.setdefault(number, members) != members:
            return None
    return epochs


def one_member_list_per_epoch(world: World) -> bool:
    """Epochs of equal numbers have equal member lists."""
    return epochs_by_number(world) is not None


def id_in_epoch(frozen: Any, epoch: int) -> str:
    """Return the id under which an acceptor votes in an epoch."""
    return str(frozen[FOUNDER_ID] if epoch == 0 else frozen[MEMBER_ID])


def voters_are_members(world: World) -> bool:
    """The voters of an epoch are distinct, eligible members of it, and fewer than two majorities."""
    voters: dict[int, list[str]] = {}
    for frozen in world.frozen_acceptors:
        if (
            frozen is not None
            and frozen[INSTALLED]
            and frozen[SEALED_BY] is None
            and frozen[ANNOUNCED_EPOCH][0] <= frozen[EPOCH][0]
        ):
            number, members = frozen[EPOCH]
            if not frozen[WANTS_MEMBERSHIP] or not any(
                disk == id_in_epoch(frozen, number) for disk, _ in members
            ):
                return False
            voters.setdefault(number, []).append(id_in_epoch(frozen, number))
            if 2 * thaw_epoch(number, members).majority <= len(voters[number]):
                return False
    return all(len(set(ids)) == len(ids) for ids in voters.values())


def chosen_value_is_durable(world: World) -> bool:
    """Every majority of the epoch that chose a value, or of a later one, holds that value or a newer one."""
    if not world.chosen:
        return True
    epochs = epochs_by_number(world) or {}
    for epoch, version, value in world.chosen:
        if version == MEMBERSHIP_VERSION:
            continue
        for number, members in epochs.items():
            if number < epoch:
                continue
            member_ids = {disk for disk, _ in members}
            installed = [
                frozen
                for frozen in world.frozen_acceptors
                if frozen is not None
                and frozen[INSTALLED]
                and frozen[EPOCH][0] >= number
                and frozen[MEMBER_ID] in member_ids
            ]
            if any(
                not any(holds_value(frozen, version, value) for frozen in majority)
                for majority in combinations(installed, len(members) // 2 + 1)
            ):
                return False
    return True


def holds_value(frozen: Any, version: int, value: bytes) -> bool:
    """Return whether an acceptor has accepted or committed a value of a version, or committed a later one."""
    committed = frozen[COMMITTED]
    if committed[0] > version or committed == (version, value):
        return True
    return any(
        slot_version == version and accepted[0] >= 0 and slot_value == value
        for slot_version, _, accepted, slot_value in frozen[SLOTS]
    )


def committed_was_chosen(world: World) -> bool:
    """Every committed value on a disk, and every digest in its history, belongs to a chosen value."""
    chosen = {(version, value) for _, version, value in world.chosen}
    digests = {(version, digest(value)) for version, value in chosen}
    return all(
        (frozen[COMMITTED][0] == 0 or frozen[COMMITTED] in chosen) and digests.issuperset(frozen[HISTORY])
        for frozen in world.frozen_acceptors
        if frozen is not None
    )


def members_were_proposed(world: World) -> bool:
    """The members of an epoch were proposed in the previous epoch."""
    return all(
        (epoch, value) in world.proposed_members
        for epoch, version, value in world.chosen
        if version == MEMBERSHIP_VERSION
    )


def never_regresses(world: World) -> bool:
    """No step moves an acceptor back to an older state."""
    return all(is_not_older(before, after) for kind, before, after, *_ in world.outcomes if kind == "kept")


def is_not_older(before: Any, after: Any) -> bool:
    """Return whether no part of an acceptor is older after a step than before it."""
    if (
        after[INCARNATION] < before[INCARNATION]
        or after[EPOCH][0] < before[EPOCH][0]
        or after[INCARNATION] == before[INCARNATION]
        and after[ANNOUNCED_EPOCH][0] < before[ANNOUNCED_EPOCH][0]
    ):
        return False
    if after[COMMITTED] != before[COMMITTED] and after[COMMITTED][0] <= before[COMMITTED][0]:
        return False
    if before[SEALED_BY] is not None and after[SEALED_BY] is None and after[EPOCH] == before[EPOCH]:
        return False  # the seal was removed within the epoch
    slots = {version: (promised, accepted) for version, promised, accepted, _ in after[SLOTS]}
    for version, promised, accepted, _ in before[SLOTS]:
        must_stay = (
            after[EPOCH] == before[EPOCH] if version == MEMBERSHIP_VERSION else after[COMMITTED][0] < version
        )
        if must_stay and (
            version not in slots or slots[version][0] < promised or slots[version][1] < accepted
        ):
            return False
    return True


def ignores_older_epochs(world: World) -> bool:
    """An acceptor neither votes in, nor installs, an epoch older than the newest epoch announced to it."""
    return all(outcome[1] >= outcome[2] for outcome in world.outcomes if outcome[0] == "took") and all(
        (after[EPOCH], after[INSTALLED]) == (before[EPOCH], before[INSTALLED])
        or not after[INSTALLED]
        or after[EPOCH][0] >= before[ANNOUNCED_EPOCH][0]
        for kind, before, after, *_ in world.outcomes
        if kind == "kept"
    )


def only_voters_vote(world: World) -> bool:
    """Only members that may vote promise or accept."""
    return all(outcome[3] for outcome in world.outcomes if outcome[0] == "took")


def founding_epoch_chooses_members(world: World) -> bool:
    """Epoch 0 chooses only member lists."""
    return all(epoch > 0 or version == MEMBERSHIP_VERSION for epoch, version, _ in world.chosen)


def no_stale_slots(world: World) -> bool:
    """No acceptor keeps a slot of a version up to its committed one."""
    return all(
        version == MEMBERSHIP_VERSION or version > frozen[COMMITTED][0]
        for frozen in world.frozen_acceptors
        if frozen is not None
        for version, *_ in frozen[SLOTS]
    )


def reads_are_current(world: World) -> bool:
    """No read returns a version older than the highest one chosen before the read began."""
    return all(
        read_version >= min_version
        for kind, min_version, read_version, *_ in world.outcomes
        if kind == "read"
    )


def leaver_hands_over(world: World) -> bool:
    """A leaving member ends only after it has handed over to the required number of members."""
    return all(outcome[2] >= outcome[3] for outcome in world.outcomes if outcome[0] == "handed")


PROPERTIES = (
    Property(
        "one content",
        "at most one value is chosen for a version, over all epochs",
        one_value_chosen,
    ),
    Property("one ballot", "no ballot is used for two values", one_value_per_ballot),
    Property("one set", "epochs of equal numbers have equal members", one_member_list_per_epoch),
    Property(
        "members vote",
        "the voters of an epoch are eligible members of it, and its majority is more than half of them",
        voters_are_members,
    ),
    Property(
        "lasts",
        "every majority of the epoch that chose a value, or of a later one, holds that value or a newer one",
        chosen_value_is_durable,
    ),
    Property("true", "every value or digest that a disk holds as committed was chosen", committed_was_chosen),
    Property(
        "proposed", "the members of an epoch were proposed in the previous epoch", members_were_proposed
    ),
    Property(
        "never back",
        "no version, epoch, promise or incarnation on a disk goes back, no committed value changes, and a "
        "sealed disk does not vote again in its epoch",
        never_regresses,
        "step",
    ),
    Property(
        "newer deaf to older",
        "an acceptor that has received a newer epoch neither votes in nor becomes a member of an older one",
        ignores_older_epochs,
        "step",
    ),
    Property(
        "voters alone",
        "only eligible members that are installed in an epoch and not sealed promise or accept in it",
        only_voters_vote,
        "step",
    ),
    Property(
        "founding", "epoch 0 chooses only the members of the next epoch", founding_epoch_chooses_members
    ),
    Property("tidy", "a disk keeps no slot of a version up to its committed one", no_stale_slots),
    Property(
        "not old",
        "a read returns every version that was acknowledged before its first request",
        reads_are_current,
        "step",
    ),
    Property(
        "handed over",
        "when a leave ends, the versions acknowledged before it are on a majority of the other members' "
        "disks, or a majority of the epoch without the leaving member is installed",
        leaver_hands_over,
        "step",
    ),
)
