"""Selection of the next epoch's members, and the encoding of a member list as a value."""

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
    """Return the members that the next epoch should have.

    A candidate at the address of a member replaces that member. A silent or leaving member is only removed
    while more than `2 * tolerated_failures + 1` members remain: an unreachable member may return with its
    disk, and a smaller membership tolerates fewer failures.

    :param silent_members: ids of members that have stopped answering, the longest silent first.
    :param candidates: ids and addresses of reachable, eligible replicas.
    :param leaving: the id of the member that is shutting down, if any.
    :returns: None if no change is needed, or if no majority of the new members is reachable.
    """
    minimum = 2 * tolerated_failures + 1
    members = dict(epoch.members)
    silent = [member_id for member_id in silent_members if member_id in members]
    for candidate, address in sorted(candidates.items()):
        if candidate in members:
            continue
        for replaced in [k for k, a in members.items() if a == address]:
            del members[replaced]
        members[candidate] = address
    for member_id in [leaving, *silent]:
        if member_id in members and len(members) > minimum:
            del members[member_id]
    proposed = tuple(sorted(members.items()))
    if proposed == epoch.members:
        return None
    if len([member_id for member_id in members if member_id not in silent]) < len(members) // 2 + 1:
        return None
    return proposed


def encode_member_list(members: Members) -> bytes:
    """Return members as a value of `MEMBERSHIP_VERSION`; equal sets have equal values."""
    return "\n".join(f"{member_id} {address}" for member_id, address in sorted(members)).encode()


def decode_member_list(value: bytes) -> Members:
    """Return the members that `encode_member_list` encoded."""
    rows = [line.partition(" ") for line in value.decode().splitlines()]
    return tuple((member_id, address) for member_id, _, address in rows)
