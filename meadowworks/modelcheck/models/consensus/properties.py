"""What must hold in every world, or of every step."""

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
    """Of a version over all epochs, and of the members after an epoch."""
    found: dict[Any, bytes] = {}
    return all(
        found.setdefault(version or ("after", epoch), content) == content
        for epoch, version, content in world.chosen
    )


def one_value_per_ballot(world: World) -> bool:
    """What was accepted under one ballot, or is being proposed under it, is one value."""
    found: dict[Any, bytes] = {}
    for frozen in world.frozen_acceptors:
        for version, _, ballot, content in frozen[SLOTS] if frozen is not None else ():
            if ballot[0] >= 0 and found.setdefault((version, ballot), content) != content:
                return False
    for call in world.calls:
        proposes = call is not None and call[0] == "proposer" and call[5]
        if proposes and found.setdefault((call[2], call[3]), call[4]) != call[4]:
            return False
    return True


def known_epochs(world: World) -> dict[int, Members] | None:
    """The epochs that anybody has heard of; none if two of one number differ."""
    found: dict[int, Members] = {}
    candidates = [
        frozen[place]
        for frozen in world.frozen_acceptors
        if frozen is not None
        for place in (EPOCH, SEALED_BY, ANNOUNCED_EPOCH)
    ]
    candidates += [
        call[place]
        for call in world.calls
        if call is not None
        for place in (1, 2)
        if type(call[place]) is tuple
    ]
    for epoch in candidates:
        if epoch is None or len(epoch) != 2 or type(epoch[0]) is not int or epoch[0] < 0:
            continue
        number, members = epoch
        if found.setdefault(number, members) != members:
            return None
    return found


def one_member_list_per_epoch(world: World) -> bool:
    """No two epochs that anybody has heard of have one number and two lists of members."""
    return known_epochs(world) is not None


def id_in_epoch(frozen: Any, epoch: int) -> str:
    """The id under which an acceptor is counted in an epoch."""
    return str(frozen[FOUNDER_ID] if epoch == 0 else frozen[MEMBER_ID])


def voters_are_members(world: World) -> bool:
    """Who votes in an epoch is one of its members, each once, and may; its majority is more than half."""
    voting: dict[int, list[str]] = {}
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
            voting.setdefault(number, []).append(id_in_epoch(frozen, number))
            if 2 * thaw_epoch(number, members).majority <= len(voting[number]):
                return False
    return all(len(set(names)) == len(names) for names in voting.values())


def chosen_is_found(world: World) -> bool:
    """Whoever asks a majority of an epoch in which it was chosen, or of a later one, finds it, or a newer."""
    if not world.chosen:
        return True
    known = known_epochs(world) or {}
    for epoch, version, content in world.chosen:
        if version == MEMBERSHIP_VERSION:
            continue
        for number, members in known.items():
            if number < epoch:
                continue
            names = {disk for disk, _ in members}
            there = [
                frozen
                for frozen in world.frozen_acceptors
                if frozen is not None
                and frozen[INSTALLED]
                and frozen[EPOCH][0] >= number
                and frozen[MEMBER_ID] in names
            ]
            if any(
                not any(holds_value(frozen, version, content) for frozen in group)
                for group in combinations(there, len(members) // 2 + 1)
            ):
                return False
    return True


def holds_value(frozen: Any, version: int, content: bytes) -> bool:
    """Whether an acceptor has accepted a value for a version, or committed a later version."""
    committed = frozen[COMMITTED]
    if committed[0] > version or committed == (version, content):
        return True
    return any(v == version and a[0] >= 0 and c == content for v, _, a, c in frozen[SLOTS])


def committed_was_chosen(world: World) -> bool:
    """What a disk holds as chosen, as it is or as a digest, was chosen."""
    chosen = {(version, content) for _, version, content in world.chosen}
    digests = {(version, digest(content)) for version, content in chosen}
    return all(
        (frozen[COMMITTED][0] == 0 or frozen[COMMITTED] in chosen) and digests.issuperset(frozen[HISTORY])
        for frozen in world.frozen_acceptors
        if frozen is not None
    )


def members_were_proposed(world: World) -> bool:
    """The members of an epoch were proposed in the one before it."""
    return all(
        (epoch, content) in world.proposed_members
        for epoch, version, content in world.chosen
        if version == MEMBERSHIP_VERSION
    )


def never_regresses(world: World) -> bool:
    """No step takes an acceptor back."""
    return all(is_not_older(was, now) for kind, was, now, *_ in world.outcomes if kind == "kept")


def is_not_older(was: Any, now: Any) -> bool:
    """Whether an acceptor, after a step, is in no way older than before it."""
    if (
        now[INCARNATION] < was[INCARNATION]
        or now[EPOCH][0] < was[EPOCH][0]
        or now[INCARNATION] == was[INCARNATION]
        and now[ANNOUNCED_EPOCH][0] < was[ANNOUNCED_EPOCH][0]
    ):
        return False
    if now[COMMITTED] != was[COMMITTED] and now[COMMITTED][0] <= was[COMMITTED][0]:
        return False
    if was[SEALED_BY] is not None and now[SEALED_BY] is None and now[EPOCH] == was[EPOCH]:
        return False  # it was sealed, and votes again
    rows = {version: (promised, accepted) for version, promised, accepted, _ in now[SLOTS]}
    for version, promised, accepted, _ in was[SLOTS]:
        stays = now[EPOCH] == was[EPOCH] if version == MEMBERSHIP_VERSION else now[COMMITTED][0] < version
        if stays and (version not in rows or rows[version][0] < promised or rows[version][1] < accepted):
            return False
    return True


def ignores_older_epochs(world: World) -> bool:
    """Who has heard of an epoch votes in none before it, and becomes a member of none."""
    return all(row[1] >= row[2] for row in world.outcomes if row[0] == "took") and all(
        (now[EPOCH], now[INSTALLED]) == (was[EPOCH], was[INSTALLED])
        or not now[INSTALLED]
        or now[EPOCH][0] >= was[ANNOUNCED_EPOCH][0]
        for kind, was, now, *_ in world.outcomes
        if kind == "kept"
    )


def only_voters_vote(world: World) -> bool:
    """Who promised or accepted was a member that may vote."""
    return all(row[3] for row in world.outcomes if row[0] == "took")


def founding_epoch_chooses_members(world: World) -> bool:
    """In epoch 0 only members are chosen."""
    return all(epoch > 0 or version == MEMBERSHIP_VERSION for epoch, version, _ in world.chosen)


def no_stale_slots(world: World) -> bool:
    """No acceptor keeps a slot of a version that is not above its committed one."""
    return all(
        version == MEMBERSHIP_VERSION or version > frozen[COMMITTED][0]
        for frozen in world.frozen_acceptors
        if frozen is not None
        for version, *_ in frozen[SLOTS]
    )


def reads_are_current(world: World) -> bool:
    """No read ends below what was chosen before it began."""
    return all(needs >= floor for kind, floor, needs, *_ in world.outcomes if kind == "read")


def leaver_hands_over(world: World) -> bool:
    """Who leaves has handed over to as many members as it must."""
    return all(row[2] >= row[3] for row in world.outcomes if row[0] == "handed")


PROPERTIES = (
    Property(
        "one content",
        "of the contents sent under one number one at most is ever chosen, over all epochs",
        one_value_chosen,
    ),
    Property("one ballot", "no ballot stands for two contents", one_value_per_ballot),
    Property("one set", "no two epochs have one number and two sets of members", one_member_list_per_epoch),
    Property(
        "members vote",
        "who votes in an epoch is a member of it and is to vote, and its majority is more than half of them",
        voters_are_members,
    ),
    Property(
        "lasts",
        "what was chosen is found by whoever asks a majority of that epoch or of any later one",
        chosen_is_found,
    ),
    Property("true", "what a disk holds or remembers as chosen was chosen", committed_was_chosen),
    Property("proposed", "the members of an epoch were proposed in the one before it", members_were_proposed),
    Property(
        "never back",
        "a disk holds no version, epoch, promise or life older than one it held, nor another content of one, "
        "and votes no more where it was sealed",
        never_regresses,
        "step",
    ),
    Property(
        "newer deaf to older",
        "who has heard of an epoch promises and accepts in none before it, nor becomes a member of one",
        ignores_older_epochs,
        "step",
    ),
    Property(
        "voters alone",
        "who promises or accepts in an epoch is a member installed in it, not sealed, and is to vote",
        only_voters_vote,
        "step",
    ),
    Property(
        "founding", "in epoch 0 nothing but the members of the next is chosen", founding_epoch_chooses_members
    ),
    Property(
        "tidy", "a disk keeps nothing undecided of a version not above the one it holds", no_stale_slots
    ),
    Property(
        "not old",
        "a reader is told of whatever was acknowledged before its first question left",
        reads_are_current,
        "step",
    ),
    Property(
        "handed over",
        "what a leaver knows of as acknowledged is on a majority of the others' disks when it ends, or the "
        "epoch without it has a majority installed",
        leaver_hands_over,
        "step",
    ),
)
