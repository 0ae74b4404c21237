"""`meadowworks config`: checks, uploads, downloads and compares configurations."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated, Any

from cappa import Arg

from meadowworks.cli.errors import CommandError
from meadowworks.cli.node_client import HTTP_OK, call_node
from meadowworks.config.validation import InvalidConfiguration, validate_configuration

READ_PATH, REPLACE_PATH = b"/api/Config.Read", b"/api/Config.Replace"
USAGE = {
    "check": "config check FILE",
    "put": "config put ADDRESS FILE",
    "get": "config get ADDRESS",
    "diff": "config diff ADDRESS FILE",
}


def config(
    action: Annotated[str, Arg(help="check, put, get or diff")],
    words: Annotated[
        tuple[str, ...], Arg(help="a node's API address (put, get, diff), then a file (check, put, diff)")
    ] = (),
    at: Annotated[str, Arg(long=True, help="the node's API address, if it is not given as a word")] = "",
) -> int:
    """Check a configuration file, put it into force, get the active configuration, or compare a file with it.

    config check FILE, config put ADDRESS FILE, config get ADDRESS, config diff ADDRESS FILE.
    Exit code 1 if the configuration was rejected or differs.
    """
    if action not in USAGE:
        raise CommandError(f"there is no {action!r}; usage: {', or '.join(USAGE.values())}")
    operands = [*([at] if at else []), *words]
    if len(operands) != len(USAGE[action].split()) - len(("config", action)):
        raise CommandError(f"{action} takes other arguments; usage: meadowworks {USAGE[action]}")
    match action:
        case "check":
            return _check(Path(operands[0]))
        case "put":
            return _put(operands[0], Path(operands[1]))
        case "get":
            return _get(operands[0])
        case _:
            return _diff(operands[0], Path(operands[1]))


def _check(file: Path) -> int:
    version = _validated(file, _read(file))
    print(f"{file}: version {version:08x} makes sense")
    return 0


def _put(address: str, file: Path) -> int:
    body = _read(file)
    version = _validated(file, body)
    reply = call_node(address, b"POST", REPLACE_PATH, body)
    if reply.status == HTTP_OK:
        print(f"version {version:08x} is acknowledged")
        return 0
    print(f"{address} says {reply.status}: {reply.body.decode('utf-8', 'replace')}", file=sys.stderr)
    return 1


def _get(address: str) -> int:
    reply = call_node(address, b"GET", READ_PATH)
    print(reply.body.decode("utf-8", "replace"))
    return 0 if reply.status == HTTP_OK else 1


def _diff(address: str, file: Path) -> int:
    body = _read(file)
    _validated(file, body)
    reply = call_node(address, b"GET", READ_PATH)
    active = json.loads(reply.body) if reply.status == HTTP_OK else {}
    lines = differences(active, json.loads(body))
    print("\n".join(lines) or "no difference")
    return 1 if lines else 0


def _read(file: Path) -> bytes:
    try:
        return file.read_bytes()
    except OSError as error:
        raise CommandError(f"{file} cannot be read: {error.strerror}") from None


def _validated(file: Path, body: bytes) -> int:
    """Return the version of a valid configuration.

    :raises CommandError: if it is invalid.
    """
    checked = validate_configuration(body)
    if isinstance(checked, InvalidConfiguration):
        raise CommandError(f"{file}: {checked.reason}")
    return checked.version


def differences(old: Any, new: Any, path: str = "") -> list[str]:
    """Return the differences of two JSON documents, one per line; list elements are matched by name."""
    if isinstance(old, dict) and isinstance(new, dict):
        return [
            line
            for key in sorted({*old, *new})
            for line in differences(old.get(key), new.get(key), f"{path}.{key}" if path else key)
        ]
    if isinstance(old, list) and isinstance(new, list):
        return differences(_by_name(old), _by_name(new), path)
    return [] if old == new else [f"{path}: {json.dumps(old)} -> {json.dumps(new)}"]


def _by_name(elements: list[Any]) -> dict[str, Any]:
    return {_name_of(element): element for element in elements}


def _name_of(element: Any) -> str:
    if isinstance(element, dict):
        return str(element.get("host") or element.get("name") or element.get("svc"))
    return str(element)
