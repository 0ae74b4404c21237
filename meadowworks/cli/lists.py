"""`meadowworks nodes` and `meadowworks backends`: lists from a node's status."""

from __future__ import annotations

import json
from typing import Annotated

from cappa import Arg

from meadowworks.cli.errors import CommandError
from meadowworks.cli.node_client import read_status
from meadowworks.cli.output import print_columns

NODE_COLUMNS = ("node", "address", "zone", "votes", "beat")
BACKEND_COLUMNS = ("id", "service", "address", "zone", "state")


def nodes(
    at: Annotated[str, Arg(help="a control-plane node's peer address")],
    as_json: Annotated[bool, Arg(long="--json", help="print one JSON object")] = False,
) -> int:
    """List the nodes that a control-plane node has in its view, which may not be all nodes."""
    return _print_list(at, "members", NODE_COLUMNS, as_json)


def backends(
    at: Annotated[str, Arg(help="a node's peer address")],
    as_json: Annotated[bool, Arg(long="--json", help="print one JSON object")] = False,
) -> int:
    """List the backends that a node has in its view, and their states."""
    return _print_list(at, "backends", BACKEND_COLUMNS, as_json)


def _print_list(address: str, field: str, columns: tuple[str, ...], as_json: bool) -> int:
    status = read_status(address) or {}
    if field not in status:
        raise CommandError(f"{address} reports no {field}: is that a control-plane node's peer address?")
    rows = status[field]
    if isinstance(rows, dict):
        rows = [[key, *row] for key, row in rows.items()]
    if as_json:
        print(json.dumps({field: [dict(zip(columns, row, strict=True)) for row in rows]}))
    else:
        print_columns([[str(cell) for cell in row] for row in (columns, *rows)])
    return 0
