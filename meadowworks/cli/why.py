"""`meadowworks why`: what a proxy's load balancing of one service rests on."""

from __future__ import annotations

import json
from typing import Annotated, Any

from cappa import Arg

from meadowworks.cli.errors import CommandError
from meadowworks.cli.node_client import read_status
from meadowworks.cli.output import print_columns

ZONE_COLUMNS = ("zone", "view", "asked", "keeps", "waiting", "jammed", "calm", "figures_s")
BACKEND_COLUMNS = ("backend", "weight", "in", "held back")
WEIGHT_TABLES = {"table": "own table", "abroad": "other zones"}  # field of the status to word of the output


def why(
    service: Annotated[str, Arg(help="a service of the configuration")],
    at: Annotated[str, Arg(help="a proxy's peer address")],
    as_json: Annotated[bool, Arg(long="--json", help="one JSON object on standard output")] = False,
) -> int:
    """What a proxy's last decisions on a service rest on: zones, admission, weights, restricted backends."""
    services = (read_status(at) or {}).get("services")
    if services is None:
        raise CommandError(f"{at} reports no services: is that a proxy's peer address?")
    if service not in services:
        known = ", ".join(services) or "none yet"
        raise CommandError(f"{at} knows no service {service!r}: there are {known}")
    facts = services[service]
    if as_json:
        print(json.dumps({"service": service, **facts}))
        return 0
    print(_summary(service, facts))
    print_columns(_zone_rows(facts["zones"]))
    print_columns(_backend_rows(facts))
    return 0


def _summary(service: str, facts: dict[str, Any]) -> str:
    retries, requests = facts["further tries"]
    return (
        f"{service}: level {facts['level']:g}, {facts['asked']:g} calls a second asked, "
        f"{facts['proven'] + 0:g} proven; {retries} further tries beside {requests} requests in the window"
        + ("" if facts["further tries allowed"] else "; no further tries now: a zone is jammed")
    )


def _zone_rows(zones: dict[str, Any]) -> list[list[str]]:
    rows = [[zone, *[str(view[name]) for name in ZONE_COLUMNS[1:]]] for zone, view in zones.items()]
    return [list(ZONE_COLUMNS), *rows]


def _backend_rows(facts: dict[str, Any]) -> list[list[str]]:
    restricted = facts["held back"]
    rows = [list(BACKEND_COLUMNS)]
    for field, table in WEIGHT_TABLES.items():
        for backend_id, weight in facts[field].items():
            restrictions = ", ".join(_restrictions(restricted.get(backend_id, {})))
            rows.append([backend_id, f"{weight:g}", table, restrictions])
    rows += [
        [backend_id, "0", "no table", "not ready"]
        for backend_id, restriction in restricted.items()
        if not restriction["ready"]
    ]
    return rows


def _restrictions(restriction: dict[str, Any]) -> list[str]:
    found = []
    if restriction.get("rung"):
        found.append(f"rung {restriction['rung']}")
    if restriction.get("part", 1) < 1:
        found.append(f"part {restriction['part']:g}")
    return found
