"""Which members the next epoch should have, and how a list of members is kept as a value."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from meadowworks.consensus.values import Epoch, Members


def next_members(
    epoch: Epoch,
    tolerated_failures: int,
    silent_members: Iterable[str],
    candidates: Mapping[str, str],
    leaving: str = "",
) -> Members | None:
    """Which members the next epoch should have.

    An empty disk at a member's address takes that member's place. No member is removed, for silence or for
    leaving, below `2 * tolerated_failures + 1`: a member that is away may come back with its disk, and a
    smaller set survives fewer failures.

    :param silent_members: members that have not answered for long, the longest first.
    :param candidates: ids and addresses of those that are reachable and want to be members.
    :param leaving: the member that shuts down, if any.
    :returns: none if the members are as they should be, or the new set has no majority that is in touch.
    """
    minimum = 2 * tolerated_failures + 1
    members = dict(epoch.members)
    silent = [member_id for member_id in silent_members if member_id in members]
    for candidate, address in sorted(candidates.items()):
        if candidate in members:
            continue
        for replaced in [d for d, a in members.items() if a == address]:
            del members[replaced]
        members[candidate] = address
    for member_id in [leaving, *silent]:
        if member_id in members and len(members) > minimum:
            del members[member_id]
    found = tuple(sorted(members.items()))
    if found == epoch.members:
        return None
    if len([member_id for member_id in members if member_id not in silent]) < len(members) // 2 + 1:
        return None
    return found


def encode_member_list(members: Members) -> bytes:
    """Members as the value of `MEMBERSHIP_VERSION`: equal for equal sets."""
    return "\n".join(f"{member_id} {address}" for member_id, address in sorted(members)).encode()


def decode_member_list(value: bytes) -> Members:
    """The members that `encode_member_list` has encoded."""
    rows = [line.partition(" ") for line in value.decode().splitlines()]
    return tuple((member_id, address) for member_id, _, address in rows)
