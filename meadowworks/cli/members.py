"""`meadowworks members list`: the voting members of the newest epoch, and why a node does not vote."""

from __future__ import annotations

import json
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Annotated, NamedTuple

from cappa import Arg

from meadowworks.cli.errors import CommandError
from meadowworks.cli.node_client import Status, find_status
from meadowworks.cli.output import print_columns

COLUMNS = ("disk", "address", "node", "epoch", "lease_ms", "in", "why not in")
MAX_PARALLEL_CALLS = 8
MAX_ADDRESSES = 64  # bounds the search if nodes report addresses of other systems
DISK_LENGTH = 8  # printed characters of a disk id
BOOTSTRAP_PREFIX = "@"  # prefix of a member id before the first epoch: any disk at that address
NOT_VOTING = "does not vote: its settings say so"
Statuses = dict[str, Status | None]  # by address; None if the node does not answer


class MemberRow(NamedTuple):
    """A row of the table, with a cell for each of COLUMNS; unknown cells are None."""

    disk: str | None
    address: str
    node: str | None
    epoch: int | None
    lease_ms: int | None
    is_in: str
    reason: str


def members(
    action: Annotated[str, Arg(help="list")],
    at: Annotated[str, Arg(help="a control-plane node's peer address: ip and the first port of portRange")],
    as_json: Annotated[bool, Arg(long="--json", help="print one JSON object")] = False,
) -> int:
    """List the members of the newest epoch, as each node reports itself, and why a node is not a member.

    Exit code 1 if a node that should vote does not.
    """
    if action != "list":
        raise CommandError(f"there is no {action!r}; usage: meadowworks members list ADDRESS")
    epoch, rows = membership_rows(_fetch_all(at))
    if as_json:
        print(json.dumps({"epoch": epoch, "members": [dict(zip(COLUMNS, row, strict=True)) for row in rows]}))
    else:
        print(f"epoch {'unknown' if epoch is None else epoch}")
        cells = [["-" if cell is None else str(cell) for cell in row] for row in rows]
        print_columns([list(COLUMNS), *cells])
    return 0 if all(row.reason in ("", NOT_VOTING) for row in rows) else 1


def _fetch_all(address: str) -> Statuses:
    """Fetch the status of a node and, transitively, of all nodes that these report."""
    own = find_status(address)
    if own is None:
        raise CommandError(f"{address} does not answer with a status: is that a node's peer address?")
    if "sure" not in own:
        raise CommandError(f"{address} reports no members: is that a control-plane node's peer address?")
    addresses = {address, *known_addresses(own, address)}
    statuses: Statuses = {address: own}
    while pending := sorted(addresses - statuses.keys()):
        with ThreadPoolExecutor(MAX_PARALLEL_CALLS) as pool:
            for other, status in zip(pending, pool.map(find_status, pending), strict=True):
                statuses[other] = status
                if status and len(addresses) < MAX_ADDRESSES:
                    addresses |= set(known_addresses(status, other))
    return statuses


def known_addresses(status: Status, address: str) -> list[str]:
    """Return the peer addresses of the members and other voters in a node's status.

    Voters are reported without a port; all nodes use the port of `address`.
    """
    port = address.rpartition(":")[2]
    voters = [f"{peer.host}:{port}" for peer in _peers(status) if peer.votes]
    return [*map(str, (status.get("members_of_epoch") or {}).values()), *voters]


class Peer(NamedTuple):
    """Another node, as listed in a node's status."""

    name: str
    host: str
    zone: str
    votes: bool


def _peers(status: Status) -> list[Peer]:
    """Return the nodes listed in a status; rows of newer nodes may have more cells."""
    size = len(Peer._fields)
    return [Peer(*row[:size]) for row in status.get("members") or () if len(row) >= size]


@dataclass(frozen=True, slots=True)
class Membership:
    """The newest epoch that any node reports, and the addresses of its members by disk id."""

    epoch: int | None
    members: dict[str, str]

    def excludes(self, disk: str) -> bool:
        """Return whether a disk is not a member; before the first epoch members have no disk ids yet."""
        is_bootstrap = any(member.startswith(BOOTSTRAP_PREFIX) for member in self.members)
        return bool(self.members) and disk not in self.members and not is_bootstrap


def membership_rows(statuses: Statuses) -> tuple[int | None, list[MemberRow]]:
    """Return the newest epoch and a row per node: its members, then other nodes that answer."""
    nodes = {address: status for address, status in statuses.items() if status is None or "sure" in status}
    reported = [status for status in nodes.values() if status]
    newest = max(reported, key=lambda status: status.get("epoch") or 0, default={})
    membership = Membership(newest.get("epoch"), dict(newest.get("members_of_epoch") or {}))
    non_voting = {address for address in nodes if is_non_voting(statuses, address)}
    rows: list[MemberRow] = []
    listed: set[str] = set()
    for disk, address in sorted(membership.members.items(), key=lambda pair: pair[1]):
        status = nodes.get(address)
        if (other_disk := _other_disk(disk, status)) is not None:
            rows.append(_replaced_row(disk, address, other_disk))
        else:
            listed.add(address)
            reason = reason_not_in(status, membership, address in non_voting)
            rows.append(_row(disk, address, status, reason))
    for address in sorted(nodes.keys() - listed):
        status = nodes[address]
        if status is not None or not membership.members:
            reason = reason_not_in(status, membership, address in non_voting)
            rows.append(_row("", address, status, reason))
    return membership.epoch, rows


def _other_disk(disk: str, status: Status | None) -> str | None:
    """Return the id of another disk that answers at a member's address; None if there is none."""
    if status is None or disk.startswith(BOOTSTRAP_PREFIX) or status.get("disk") in (disk, None):
        return None
    return str(status["disk"])


def _replaced_row(disk: str, address: str, other_disk: str) -> MemberRow:
    reason = f"gone: another disk is at its address, {other_disk[:DISK_LENGTH]}"
    return MemberRow(disk[:DISK_LENGTH], address, None, None, None, "no", reason)


def is_non_voting(statuses: Statuses, address: str) -> bool:
    """Return whether any node reports the node at an address as non-voting."""
    host = address.rpartition(":")[0]
    peers = [peer for status in statuses.values() if status for peer in _peers(status)]
    return any(peer.host == host and not peer.votes for peer in peers)


def _row(disk: str, address: str, status: Status | None, reason: str) -> MemberRow:
    known_status = status or {}
    shown_disk = str(known_status.get("disk") or disk)[:DISK_LENGTH] or None
    return MemberRow(
        shown_disk,
        address,
        known_status.get("node"),
        known_status.get("epoch"),
        known_status.get("lease_ms"),
        "no" if reason else "yes",
        reason,
    )


def reason_not_in(status: Status | None, membership: Membership, non_voting: bool = False) -> str:
    """Return the first reason why a node does not vote; empty if it does.

    :param non_voting: whether its settings give it no vote.
    """
    epoch = membership.epoch
    if status is None:
        return "silent: no answer at its address"
    if non_voting:
        return NOT_VOTING
    disk = status.get("disk")
    if disk is not None and membership.excludes(disk):
        return f"no member of epoch {epoch}: its disk is empty and learns, or its place was given away"
    if status.get("epoch") != epoch:
        return f"of epoch {status.get('epoch')}, the newest is {epoch}: it hears no newer member"
    if status.get("voting") is False:
        return "no vote yet: it is being handed what the members hold"
    if not status.get("sure") or ("lease_ms" in status and not status["lease_ms"]):
        return "no lease: it does not reach a majority of the members"
    return ""
