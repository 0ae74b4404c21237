"""`meadowworks why`: explains a proxy's load balancing of one service."""

from __future__ import annotations

import json
from typing import Annotated, Any

from cappa import Arg

from meadowworks.cli.errors import CommandError
from meadowworks.cli.node_client import read_status
from meadowworks.cli.output import print_columns

ZONE_COLUMNS = ("zone", "view", "asked", "keeps", "waiting", "jammed", "calm", "figures_s")
BACKEND_COLUMNS = ("backend", "weight", "in", "held back")
WEIGHT_TABLES = {"table": "own table", "abroad": "other zones"}  # printed name by field of the status


def why(
    service: Annotated[str, Arg(help="a service of the configuration")],
    at: Annotated[str, Arg(help="a proxy's peer address")],
    as_json: Annotated[bool, Arg(long="--json", help="print one JSON object")] = False,
) -> int:
    """Print a proxy's load balancing of a service: zones, admission, weights and restricted backends."""
    services = (read_status(at) or {}).get("services")
    if services is None:
        raise CommandError(f"{at} reports no services: is that a proxy's peer address?")
    if service not in services:
        names = ", ".join(services) or "none yet"
        raise CommandError(f"{at} knows no service {service!r}: there are {names}")
    status = services[service]
    if as_json:
        print(json.dumps({"service": service, **status}))
        return 0
    print(_summary(service, status))
    print_columns(_zone_rows(status["zones"]))
    print_columns(_backend_rows(status))
    return 0


def _summary(service: str, status: dict[str, Any]) -> str:
    retries, requests = status["further tries"]
    return (
        f"{service}: level {status['level']:g}, {status['asked']:g} calls a second asked, "
        f"{status['proven'] + 0:g} proven; {retries} further tries beside {requests} requests in the window"
        + ("" if status["further tries allowed"] else "; no further tries now: a zone is jammed")
    )


def _zone_rows(zones: dict[str, Any]) -> list[list[str]]:
    rows = [[zone, *[str(view[name]) for name in ZONE_COLUMNS[1:]]] for zone, view in zones.items()]
    return [list(ZONE_COLUMNS), *rows]


def _backend_rows(status: dict[str, Any]) -> list[list[str]]:
    restricted = status["held back"]
    rows = [list(BACKEND_COLUMNS)]
    for field, table in WEIGHT_TABLES.items():
        for backend_id, weight in status[field].items():
            restrictions = ", ".join(_restrictions(restricted.get(backend_id, {})))
            rows.append([backend_id, f"{weight:g}", table, restrictions])
    rows += [
        [backend_id, "0", "no table", "not ready"]
        for backend_id, restriction in restricted.items()
        if not restriction["ready"]
    ]
    return rows


def _restrictions(restriction: dict[str, Any]) -> list[str]:
    texts = []
    if restriction.get("rung"):
        texts.append(f"rung {restriction['rung']}")
    if restriction.get("part", 1) < 1:
        texts.append(f"part {restriction['part']:g}")
    return texts
