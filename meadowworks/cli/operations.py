"""`meadowworks status`, `config` and `settings`: what a controller knows, and the configuration in force."""

from __future__ import annotations

import asyncio
import json
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Annotated, Any

from cappa import Arg

from meadowworks.cli.main import CommandError
from meadowworks.config.validation import InvalidConfiguration, validate_configuration
from meadowworks.runtime import node_settings
from meadowworks.runtime.errors import RequestError, SettingsError
from meadowworks.runtime.http_connection import Response, connect

CALL_TIMEOUT_S = 5.0


def call_node(address: str, method: bytes, path: bytes, body: bytes = b"") -> Response:
    """One call to a controller. Raises Bad if there is no answer."""
    host, colon, port = address.rpartition(":")
    if not colon or not port.isdigit():
        raise CommandError(f"{address!r} is no address with a port")

    async def whole() -> Response:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            line = await connect(host, int(port), CALL_TIMEOUT_S)
            headers = [(b"host", address.encode()), (b"content-length", str(len(body)).encode())]
            try:
                return await line.request(method, path, headers, body, 64 << 20)
            finally:
                line.close()

    try:
        return asyncio.run(whole())
    except (RequestError, TimeoutError) as trouble:
        raise CommandError(f"{address} gives no answer: {trouble or 'silence'}") from None


def status(
    at: Annotated[str, Arg(help="a controller's inner address: ip and the first port of portRange")],
    as_json: Annotated[bool, Arg(long="--json", help="one JSON object on standard output")] = False,
    everyone: Annotated[
        bool, Arg(long="--all", help="a row for each controller that this signalbox knows")
    ] = False,
) -> int:
    """What a junction or a signalbox knows: its version, members, backends and, of a junction, its tables.
    With --all, side by side, what each controller holds; status 1 if one is silent or behind."""
    reply = call_node(at, b"GET", b"/status")
    if reply.status != 200:
        raise CommandError(f"{at} says {reply.status}: is that a controller's inner address?")
    found: dict[str, Any] = json.loads(reply.body)
    if everyone:
        return print_all_nodes(at, found, as_json)
    if as_json:
        print(json.dumps(found))
        return 0
    for name, value in found.items():
        if isinstance(value, dict):
            print(f"{name}:")
            for key, inner in value.items():
                print(f"  {key}: {inner if not isinstance(inner, list) else '  '.join(map(str, inner))}")
        else:
            print(f"{name}: {value}")
    return 0


def print_all_nodes(address: str, own_status: dict[str, Any], as_json: bool) -> int:
    """A signalbox's view is partial: beyond sixteen controllers it names the voters and some of the rest."""
    if "members" not in own_status:
        raise CommandError(f"{address} tells of no members: is that a signalbox's inner address?")
    port = address.rpartition(":")[2]

    def one(member: list[Any]) -> dict[str, Any] | None:
        try:
            reply = call_node(f"{member[1]}:{port}", b"GET", b"/status")
        except CommandError:
            return None
        return json.loads(reply.body) if reply.status == 200 else None

    with ThreadPoolExecutor(8) as pool:
        rows = [node_row(own_status["node"], own_status)] + [
            node_row(member[0], told)
            for member, told in zip(own_status["members"], pool.map(one, own_status["members"]), strict=True)
        ]
    versions = {r["version"] for r in rows}
    if as_json:
        print(json.dumps({"controllers": rows}))
    else:
        print_columns([list(rows[0]), *[[str(cell) for cell in r.values()] for r in rows]])
    return 0 if len(versions) == 1 and all(r["well"] == "yes" for r in rows) else 1


def node_row(node: str, status: dict[str, Any] | None) -> dict[str, Any]:
    """One controller: a signalbox is well if it has its lease, a junction if it is ready."""
    if status is None:
        return {
            "node": node,
            "kind": "-",
            "version": "-",
            "well": "silent",
            "undecided": "-",
            "draining": "-",
            "levels": "-",
        }
    box = "sure" in status
    well = status["sure"] if box else status["ready"]
    levels = [f"{name} {facts['level']:g}" for name, facts in status.get("services", {}).items()]
    return {
        "node": status["node"],
        "kind": "signalbox" if box else "junction",
        "version": status["version"],
        "well": "yes" if well else "no",
        "undecided": " ".join(status.get("undecided", [])) or "-",
        "draining": sum(backend[3] == "draining" for backend in status["backends"].values()),
        "levels": ", ".join(levels) or "-",
    }


def print_status_field(address: str, field: str, columns: tuple[str, ...], as_json: bool) -> int:
    """One field of a controller's status as rows, or as JSON."""
    reply = call_node(address, b"GET", b"/status")
    found = json.loads(reply.body) if reply.status == 200 else {}
    if field not in found:
        raise CommandError(f"{address} tells of no {field}: is that a signalbox's inner address?")
    rows = found[field]
    if isinstance(rows, dict):
        rows = [[key, *row] for key, row in rows.items()]
    if as_json:
        print(json.dumps({field: [dict(zip(columns, row, strict=True)) for row in rows]}))
        return 0
    print_columns([[str(cell) for cell in row] for row in (columns, *rows)])
    return 0


def why(
    service: Annotated[str, Arg(help="a service of the configuration")],
    at: Annotated[str, Arg(help="a junction's inner address")],
    as_json: Annotated[bool, Arg(long="--json", help="one JSON object on standard output")] = False,
) -> int:
    """What a junction's last decisions on a service rest on: views, level, table, and who is held back."""
    reply = call_node(at, b"GET", b"/status")
    found = json.loads(reply.body).get("services") if reply.status == 200 else None
    if found is None:
        raise CommandError(f"{at} tells of no services: is that a junction's inner address?")
    if service not in found:
        raise CommandError(f"{at} knows no service {service!r}: there are {', '.join(found) or 'none yet'}")
    told = found[service]
    if as_json:
        print(json.dumps({"service": service, **told}))
        return 0
    again, came = told["further tries"]
    print(
        f"{service}: level {told['level']:g}, {told['asked']:g} calls a second asked, "
        f"{told['proven'] + 0:g} proven; {again} further tries beside {came} requests in the window"
        + ("" if told["further tries allowed"] else "; no further tries now: a zone is jammed")
    )
    rows = [["zone", "view", "asked", "keeps", "waiting", "jammed", "calm", "figures_s"]]
    rows += [[zone, *[str(facts[name]) for name in rows[0][1:]]] for zone, facts in told["zones"].items()]
    print_columns(rows)
    rows = [["backend", "weight", "in", "held back"]]
    for field, where in (("table", "own table"), ("abroad", "other zones")):
        for ident, weight in told[field].items():
            held = told["held back"].get(ident, {})
            said = []
            if held.get("rung"):
                said.append(f"rung {held['rung']}")
            if held.get("part", 1) < 1:
                said.append(f"part {held['part']:g}")
            rows.append([ident, f"{weight:g}", where, ", ".join(said)])
    for ident, held in told["held back"].items():
        if not held["ready"]:
            rows.append([ident, "0", "no table", "not ready"])
    print_columns(rows)
    return 0


def print_columns(rows: list[list[str]]) -> None:
    """Rows in columns; the first one names them."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        print("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


def nodes(
    at: Annotated[str, Arg(help="a signalbox's inner address")],
    as_json: Annotated[bool, Arg(long="--json", help="one JSON object on standard output")] = False,
) -> int:
    """The controllers that a signalbox knows: its partial view."""
    return print_status_field(at, "members", ("node", "address", "zone", "votes", "beat"), as_json)


def backends(
    at: Annotated[str, Arg(help="a controller's inner address")],
    as_json: Annotated[bool, Arg(long="--json", help="one JSON object on standard output")] = False,
) -> int:
    """The backends that a controller knows, as lives."""
    return print_status_field(at, "backends", ("id", "service", "address", "zone", "state"), as_json)


def differences(old: Any, new: Any, path: str = "") -> list[str]:
    """What differs between two configurations, a line each."""
    if isinstance(old, dict) and isinstance(new, dict):
        return [
            line
            for key in sorted({*old, *new})
            for line in differences(old.get(key), new.get(key), f"{path}.{key}" if path else key)
        ]
    if isinstance(old, list) and isinstance(new, list):

        def named(rows: list[Any]) -> dict[str, Any]:
            return {
                str(r.get("host") or r.get("name") or r.get("svc")) if isinstance(r, dict) else str(r): r
                for r in rows
            }

        return differences(named(old), named(new), path)
    return [] if old == new else [f"{path}: {json.dumps(old)} -> {json.dumps(new)}"]


CONFIG_USAGE = {
    "check": "config check FILE",
    "put": "config put ADDRESS FILE",
    "get": "config get ADDRESS",
    "diff": "config diff ADDRESS FILE",
}


def config(
    action: Annotated[str, Arg(help="check, put, get or diff")],
    words: Annotated[
        tuple[str, ...], Arg(help="a ctl address (put, get, diff), then a file (check, put, diff)")
    ] = (),
    at: Annotated[str, Arg(long=True, help="the ctl address, if it is not among the words")] = "",
) -> int:
    """Checks a configuration here, puts it into force, gets the one in force, or tells how a file differs
    from it: config check FILE, config put ADDRESS FILE, config get ADDRESS, config diff ADDRESS FILE.
    Status 1: refused, or it differs."""
    if action not in CONFIG_USAGE:
        raise CommandError(f"there is no {action!r}; usage: {', or '.join(CONFIG_USAGE.values())}")
    given = [*([at] if at else []), *words]
    if len(given) != len(CONFIG_USAGE[action].split()) - 2:
        raise CommandError(f"{action} wants other words; usage: meadowworks {CONFIG_USAGE[action]}")
    at = given[0] if action != "check" else ""
    file = Path(given[-1]) if action != "get" else None
    if action == "get":
        reply = call_node(at, b"GET", b"/api/Config.Read")
        print(reply.body.decode("utf-8", "replace"))
        return 0 if reply.status == 200 else 1
    assert file is not None
    try:
        body = file.read_bytes()
    except OSError as trouble:
        raise CommandError(f"{file} cannot be read: {trouble.strerror}") from None
    found = validate_configuration(body)
    if isinstance(found, InvalidConfiguration):
        raise CommandError(f"{file}: {found.reason}")
    if action == "check":
        print(f"{file}: version {found.version:08x} makes sense")
        return 0
    if action == "diff":
        reply = call_node(at, b"GET", b"/api/Config.Read")
        lines = differences(json.loads(reply.body) if reply.status == 200 else {}, json.loads(body))
        print("\n".join(lines) or "no difference")
        return 1 if lines else 0
    reply = call_node(at, b"POST", b"/api/Config.Replace", body)
    if reply.status == 200:
        print(f"version {found.version:08x} is acknowledged")
        return 0
    print(f"{at} says {reply.status}: {reply.body.decode('utf-8', 'replace')}", file=sys.stderr)
    return 1


def settings(file: Annotated[Path, Arg(help="a settings file")]) -> int:
    """Whether a settings file makes sense."""
    try:
        found = node_settings.parse_settings(file.read_bytes())
    except OSError as trouble:
        raise CommandError(f"{file} cannot be read: {trouble.strerror}") from None
    except SettingsError as trouble:
        raise CommandError(f"{file}: {trouble}") from None
    print(f"{file}: {found.node} of {found.zone}, serves {', '.join(found.roles)}")
    return 0
