"""`meadowworks members list`: who votes in the newest epoch that is known, and why a machine is not in."""

from __future__ import annotations

import json
from concurrent.futures import ThreadPoolExecutor
from typing import Annotated, Any

from cappa import Arg

from meadowworks.cli.main import CommandError
from meadowworks.cli.operations import call_node, print_columns

COLUMNS = ("disk", "address", "node", "epoch", "lease_ms", "in", "why not in")
NodeStatus = dict[str, Any]


def members(
    action: Annotated[str, Arg(help="list")],
    at: Annotated[str, Arg(help="a signalbox's inner address: ip and the first port of portRange")],
    as_json: Annotated[bool, Arg(long="--json", help="one JSON object on standard output")] = False,
) -> int:
    """The members of the newest epoch, as each signalbox tells of itself, and who is not in and why. Status 1
    if a machine that should be in is not."""
    if action != "list":
        raise CommandError(f"there is no {action!r}; usage: meadowworks members list ADDRESS")
    own = fetch_status(at)
    if own is None:
        raise CommandError(f"{at} gives no answer to that: is it a controller's inner address?")
    if "sure" not in own:
        raise CommandError(f"{at} tells of no members: is that a signalbox's inner address?")
    places = {at, *known_addresses(own, at)}
    told: dict[str, NodeStatus | None] = {at: own}
    while new := sorted(places - told.keys()):  # who is newer may name others
        with ThreadPoolExecutor(8) as pool:
            for place, found in zip(new, pool.map(fetch_status, new), strict=True):
                told[place] = found
                places |= set(known_addresses(found, at)) if found and len(places) < 64 else set()
    epoch, rows = membership_rows(told)
    if as_json:
        print(json.dumps({"epoch": epoch, "members": [dict(zip(COLUMNS, row, strict=True)) for row in rows]}))
    else:
        print(f"epoch {'unknown' if epoch is None else epoch}")
        print_columns(
            [list(COLUMNS), *[["-" if cell is None else str(cell) for cell in row] for row in rows]]
        )
    return 0 if all(row[-1] in ("", NOT_VOTING) for row in rows) else 1


def fetch_status(address: str) -> NodeStatus | None:
    """A controller's status; nothing if it gives none."""
    try:
        reply = call_node(address, b"GET", b"/status")
        found = json.loads(reply.body) if reply.status == 200 else None
    except (CommandError, ValueError):
        return None
    return found if isinstance(found, dict) else None


def known_addresses(status: NodeStatus, address: str) -> list[str]:
    """Inner addresses of the members and of other voters that one knows; ports are alike."""
    port = address.rpartition(":")[2]
    seen = [f"{row[1]}:{port}" for row in status.get("members") or () if len(row) > 3 and row[3]]
    return [*map(str, (status.get("members_of_epoch") or {}).values()), *seen]


def membership_rows(statuses: dict[str, NodeStatus | None]) -> tuple[int | None, list[list[Any]]]:
    """The newest epoch that anyone tells of, and a row a machine: its members, then who else answers."""
    boxes = {at: found for at, found in statuses.items() if found is None or "sure" in found}
    newest = max((f for f in boxes.values() if f), key=lambda f: f.get("epoch") or 0, default={})
    epoch, names = newest.get("epoch"), dict(newest.get("members_of_epoch") or {})
    spectators = {at for at in boxes if at in non_voting_addresses(statuses, at)}
    rows: list[list[Any]] = []
    done: set[str] = set()
    for disk, at in sorted(names.items(), key=lambda pair: pair[1]):
        found = boxes.get(at)
        if (
            found is not None
            and not disk.startswith(BOOTSTRAP_PREFIX)
            and found.get("disk") not in (disk, None)
        ):
            other = f"gone: another disk is at its address, {str(found['disk'])[:8]}"
            rows.append([disk[:8], at, None, None, None, "no", other])
            continue
        done.add(at)
        rows.append(member_row(disk, at, found, reason_not_in(found, epoch, names, at in spectators)))
    for at in sorted(boxes.keys() - done):
        found = boxes[at]
        if found is not None or not names:
            rows.append(member_row("", at, found, reason_not_in(found, epoch, names, at in spectators)))
    return epoch, rows


def non_voting_addresses(statuses: dict[str, NodeStatus | None], address: str) -> set[str]:
    """The address, if others know its machine as one that does not vote."""
    host = address.rpartition(":")[0]
    cards = [
        row for found in statuses.values() if found for row in found.get("members") or () if len(row) > 3
    ]
    return {address for card in cards if card[1] == host and not card[3]}


def member_row(disk: str, address: str, status: NodeStatus | None, reason: str) -> list[Any]:
    told = status or {}
    name = str(told.get("disk") or disk)[:8] or None
    return [
        name,
        address,
        told.get("node"),
        told.get("epoch"),
        told.get("lease_ms"),
        "no" if reason else "yes",
        reason,
    ]


BOOTSTRAP_PREFIX = "@"  # begins a member's name at the very first start: whichever disk is at that address
NOT_VOTING = "does not vote: its settings say so"


def reason_not_in(
    status: NodeStatus | None, epoch: int | None, members: dict[str, str], non_voting: bool = False
) -> str:
    """Why a signalbox is not in, the first cause first; empty if it is in. `spectator`: its settings give it
    no vote."""
    if status is None:
        return "silent: no answer at its address"
    if non_voting:
        return NOT_VOTING
    disk = status.get("disk")
    if (
        members
        and disk is not None
        and disk not in members
        and not any(n.startswith(BOOTSTRAP_PREFIX) for n in members)
    ):
        return f"no member of epoch {epoch}: its disk is empty and learns, or its place was given away"
    if status.get("epoch") != epoch:
        return f"of epoch {status.get('epoch')}, the newest is {epoch}: it hears no newer member"
    if status.get("voting") is False:
        return "no vote yet: it is being handed what the members hold"
    if not status.get("sure") or ("lease_ms" in status and not status["lease_ms"]):
        return "no lease: it does not reach a majority of the members"
    return ""
