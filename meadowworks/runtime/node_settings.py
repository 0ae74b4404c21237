"""What the platform tells a process at its start: the settings file, read and checked."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from marshmallow import ValidationError

from meadowworks.runtime.address import Address
from meadowworks.runtime.errors import SettingsError
from meadowworks.runtime.logging import LogFormat
from meadowworks.runtime.node_settings_schema import ServiceBounds, SettingsFile, SettingsFileSchema
from meadowworks.runtime.schema_support import first_error

SETTINGS_FILE_VARIABLE = "MEADOWWORKS_NODE_FILE"
# What a role needs of `network.bind`; `edge` is a proxy, `ctl` a node of the control plane.
REQUIRED_ADDRESSES = {"edge": ("http", "readyz"), "ctl": ("ctl",)}


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """A consistent settings file.

    :ivar roles: what the node serves, `edge` or `ctl`.
    :ivar data_dir: where the node keeps its state; None if it has no disk.
    :ivar bind: addresses to listen on, by what is served there.
    :ivar peer_port: the port that the programs call each other at, on every node.
    :ivar seeds: nodes of the control plane, where a new node asks first.
    :ivar tolerated_failures: how many voting nodes may be lost at once.
    """

    node: str
    roles: tuple[str, ...]
    ip: str
    zone: str
    voting: bool
    bootstrap: bool
    data_dir: str | None
    max_fds: int
    memory_mb: float
    bind: Mapping[str, Address]
    peer_port: int
    seeds: tuple[Address, ...]
    zones: tuple[str, ...]
    region_by_zone: Mapping[str, str]
    heartbeat_ms: int
    tolerated_failures: int
    bounds: ServiceBounds
    log_format: LogFormat = LogFormat.TEXT


def load_settings(environ: Mapping[str, str] = os.environ) -> NodeSettings:
    """Read the settings file that the environment names.

    :raises SettingsError: if it is missing, unreadable or inconsistent.
    """
    path = environ.get(SETTINGS_FILE_VARIABLE)
    if not path:
        raise SettingsError(f"{SETTINGS_FILE_VARIABLE} is not set: it names the settings file")
    try:
        return parse_settings(Path(path).read_bytes())
    except OSError as error:
        raise SettingsError(f"the settings file {path} cannot be read: {error.strerror}") from None


def parse_settings(text: str | bytes) -> NodeSettings:
    """Read the text of a settings file.

    :raises SettingsError: with one sentence that names the field.
    """
    try:
        document = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"the settings are no JSON: {error}") from None
    if not isinstance(document, dict):
        raise SettingsError("the settings are no table")
    try:
        found: SettingsFile = SettingsFileSchema().load(document)
    except ValidationError as error:
        raise SettingsError(f"settings: {first_error(error.messages)}") from None
    _check_consistency(found)
    return _node_settings(found)


def _check_consistency(found: SettingsFile) -> None:
    """Check what the schema can't see.

    :raises SettingsError: with one sentence that names the field.
    """
    identity, network = found.identity, found.network
    if identity.zone not in network.region_by_zone:
        raise SettingsError(f"settings: self.zone: {identity.zone!r} is none of network.zones")
    for role, names in REQUIRED_ADDRESSES.items():
        if role not in identity.roles:
            continue
        for name in names:
            if name not in network.bind:
                raise SettingsError(f"settings: network.bind: {name} is missing, which {role} needs")


def _node_settings(found: SettingsFile) -> NodeSettings:
    """What the programs use of the file."""
    identity, network, terms = found.identity, found.network, found.terms
    return NodeSettings(
        node=identity.node,
        roles=tuple(identity.roles),
        ip=identity.ip,
        zone=identity.zone,
        voting=identity.voting,
        bootstrap=identity.bootstrap,
        data_dir=identity.data_dir,
        max_fds=identity.limits.max_fds,
        memory_mb=identity.limits.memory_mb,
        bind=network.bind,
        peer_port=network.port_range[0],
        seeds=tuple(network.seeds),
        zones=tuple(network.region_by_zone),
        region_by_zone=network.region_by_zone,
        heartbeat_ms=found.heartbeat_ms,
        tolerated_failures=terms.tolerated_failures,
        bounds=terms.bounds,
        log_format=found.log_format,
    )
