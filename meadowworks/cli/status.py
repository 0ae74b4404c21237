"""`meadowworks status`: the status of one node, or a table of all nodes of the system."""

from __future__ import annotations

import json
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from typing import Annotated, Any

from cappa import Arg

from meadowworks.cli.errors import CommandError
from meadowworks.cli.node_client import Status, read_status
from meadowworks.cli.output import print_columns

MAX_PARALLEL_CALLS = 8
UNKNOWN = "-"


def status(
    at: Annotated[str, Arg(help="a node's peer address: ip and the first port of portRange")],
    as_json: Annotated[bool, Arg(long="--json", help="print one JSON object")] = False,
    everyone: Annotated[
        bool, Arg(long="--all", help="a row for each node in this control-plane node's view")
    ] = False,
) -> int:
    """Print a node's version, members and backends, and a proxy's load balancing.

    With --all, a row per node. Exit code 1 if a node does not answer, is not well or has another version.
    """
    node_status = read_status(at)
    if node_status is None:
        raise CommandError(f"{at} has no status: is that a node's peer address?")
    if everyone:
        return _print_all(at, node_status, as_json)
    if as_json:
        print(json.dumps(node_status))
    else:
        _print_fields(node_status)
    return 0


def _print_fields(node_status: Status) -> None:
    for name, value in node_status.items():
        if not isinstance(value, dict):
            print(f"{name}: {value}")
            continue
        print(f"{name}:")
        for key, inner in value.items():
            print(f"  {key}: {'  '.join(map(str, inner)) if isinstance(inner, list) else inner}")


@dataclass(frozen=True, slots=True)
class NodeRow:
    """A row of the table of nodes: a control-plane node is well with a lease, a proxy when it is ready."""

    node: str
    kind: str
    version: str
    well: str
    undecided: str
    draining: int | str
    levels: str


def _print_all(address: str, own: Status, as_json: bool) -> int:
    """Print a row per node. A control-plane node has all voters in its view, but maybe not all proxies."""
    if "members" not in own:
        raise CommandError(f"{address} reports no members: is that a control-plane node's peer address?")
    port = address.rpartition(":")[2]
    members = own["members"]
    addresses = [f"{host}:{port}" for _, host, *_ in members]
    with ThreadPoolExecutor(MAX_PARALLEL_CALLS) as pool:
        statuses = list(pool.map(_status_if_answered, addresses))
    rows = [_node_row(own["node"], own)]
    rows += [_node_row(member[0], node_status) for member, node_status in zip(members, statuses, strict=True)]
    tables = [asdict(row) for row in rows]
    if as_json:
        print(json.dumps({"controllers": tables}))
    else:
        print_columns([list(tables[0]), *[[str(cell) for cell in table.values()] for table in tables]])
    is_uniform = len({row.version for row in rows}) == 1
    return 0 if is_uniform and all(row.well == "yes" for row in rows) else 1


def _status_if_answered(address: str) -> Status | None:
    try:
        return read_status(address)
    except CommandError:
        return None


def _node_row(node: str, node_status: Status | None) -> NodeRow:
    if node_status is None:
        return NodeRow(node, UNKNOWN, UNKNOWN, "silent", UNKNOWN, UNKNOWN, UNKNOWN)
    is_control_plane = "sure" in node_status
    is_well = node_status["sure"] if is_control_plane else node_status["ready"]
    return NodeRow(
        node_status["node"],
        "signalbox" if is_control_plane else "junction",
        node_status["version"],
        "yes" if is_well else "no",
        " ".join(node_status.get("undecided", [])) or UNKNOWN,
        sum(backend[3] == "draining" for backend in node_status["backends"].values()),
        ", ".join(_levels(node_status.get("services", {}))) or UNKNOWN,
    )


def _levels(services: dict[str, Any]) -> list[str]:
    return [f"{name} {service['level']:g}" for name, service in services.items()]
