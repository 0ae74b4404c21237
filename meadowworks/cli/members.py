"""`meadowworks members list`: who votes in the newest epoch that is known, and why a machine is not in."""

from __future__ import annotations

import json
from concurrent.futures import ThreadPoolExecutor
from typing import Annotated, Any

from cappa import Arg

from meadowworks.cli.main import Bad
from meadowworks.cli.operations import call, lay

COLUMNS = ("disk", "address", "node", "epoch", "lease_ms", "in", "why not in")
Status = dict[str, Any]


def members(
    action: Annotated[str, Arg(help="list")],
    at: Annotated[str, Arg(help="a signalbox's inner address: ip and the first port of portRange")],
    as_json: Annotated[bool, Arg(long="--json", help="one JSON object on standard output")] = False,
) -> int:
    """The members of the newest epoch, as each signalbox tells of itself, and who is not in and why. Status 1
    if a machine that should be in is not."""
    if action != "list":
        raise Bad(f"there is no {action!r}; usage: meadowworks members list ADDRESS")
    own = asked(at)
    if own is None:
        raise Bad(f"{at} gives no answer to that: is it a controller's inner address?")
    if "sure" not in own:
        raise Bad(f"{at} tells of no members: is that a signalbox's inner address?")
    places = {at, *addresses(own, at)}
    told: dict[str, Status | None] = {at: own}
    while new := sorted(places - told.keys()):  # who is newer may name others
        with ThreadPoolExecutor(8) as pool:
            for place, found in zip(new, pool.map(asked, new), strict=True):
                told[place] = found
                places |= set(addresses(found, at)) if found and len(places) < 64 else set()
    epoch, rows = listed(told)
    if as_json:
        print(json.dumps({"epoch": epoch, "members": [dict(zip(COLUMNS, row, strict=True)) for row in rows]}))
    else:
        print(f"epoch {'unknown' if epoch is None else epoch}")
        lay([list(COLUMNS), *[["-" if cell is None else str(cell) for cell in row] for row in rows]])
    return 0 if all(row[-1] in ("", NOT_VOTING) for row in rows) else 1


def asked(at: str) -> Status | None:
    """A controller's status; nothing if it gives none."""
    try:
        reply = call(at, b"GET", b"/status")
        found = json.loads(reply.body) if reply.status == 200 else None
    except (Bad, ValueError):
        return None
    return found if isinstance(found, dict) else None


def addresses(told: Status, at: str) -> list[str]:
    """Inner addresses of the members and of other voters that one knows; ports are alike."""
    port = at.rpartition(":")[2]
    seen = [f"{row[1]}:{port}" for row in told.get("members") or () if len(row) > 3 and row[3]]
    return [*map(str, (told.get("members_of_epoch") or {}).values()), *seen]


def listed(told: dict[str, Status | None]) -> tuple[int | None, list[list[Any]]]:
    """The newest epoch that anyone tells of, and a row a machine: its members, then who else answers."""
    boxes = {at: found for at, found in told.items() if found is None or "sure" in found}
    newest = max((f for f in boxes.values() if f), key=lambda f: f.get("epoch") or 0, default={})
    epoch, names = newest.get("epoch"), dict(newest.get("members_of_epoch") or {})
    spectators = {at for at in boxes if at in others(told, at)}
    rows: list[list[Any]] = []
    done: set[str] = set()
    for disk, at in sorted(names.items(), key=lambda pair: pair[1]):
        found = boxes.get(at)
        if found is not None and not disk.startswith(SEAT) and found.get("disk") not in (disk, None):
            other = f"gone: another disk is at its address, {str(found['disk'])[:8]}"
            rows.append([disk[:8], at, None, None, None, "no", other])
            continue
        done.add(at)
        rows.append(row(disk, at, found, why_not(found, epoch, names, at in spectators)))
    for at in sorted(boxes.keys() - done):
        found = boxes[at]
        if found is not None or not names:
            rows.append(row("", at, found, why_not(found, epoch, names, at in spectators)))
    return epoch, rows


def others(told: dict[str, Status | None], at: str) -> set[str]:
    """The address, if others know its machine as one that does not vote."""
    host = at.rpartition(":")[0]
    cards = [row for found in told.values() if found for row in found.get("members") or () if len(row) > 3]
    return {at for card in cards if card[1] == host and not card[3]}


def row(disk: str, at: str, found: Status | None, why: str) -> list[Any]:
    told = found or {}
    name = str(told.get("disk") or disk)[:8] or None
    return [name, at, told.get("node"), told.get("epoch"), told.get("lease_ms"), "no" if why else "yes", why]


SEAT = "@"  # begins a member's name at the very first start: whichever disk is at that address
NOT_VOTING = "does not vote: its settings say so"


def why_not(found: Status | None, epoch: int | None, names: dict[str, str], spectator: bool = False) -> str:
    """Why a signalbox is not in, the first cause first; empty if it is in. `spectator`: its settings give it
    no vote."""
    if found is None:
        return "silent: no answer at its address"
    if spectator:
        return NOT_VOTING
    disk = found.get("disk")
    if names and disk is not None and disk not in names and not any(n.startswith(SEAT) for n in names):
        return f"no member of epoch {epoch}: its disk is empty and learns, or its place was given away"
    if found.get("epoch") != epoch:
        return f"of epoch {found.get('epoch')}, the newest is {epoch}: it hears no newer member"
    if found.get("voting") is False:
        return "no vote yet: it is being handed what the members hold"
    if not found.get("sure") or ("lease_ms" in found and not found["lease_ms"]):
        return "no lease: it does not reach a majority of the members"
    return ""
