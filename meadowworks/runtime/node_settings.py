"""The settings file of a node, loaded and validated at startup."""

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
# The entries of `network.bind` that a role requires: `edge` is a proxy, `ctl` a control-plane node.
REQUIRED_ADDRESSES = {"edge": ("http", "readyz"), "ctl": ("ctl",)}


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The validated settings of a node.

    :ivar roles: the node's roles, `edge` or `ctl`.
    :ivar data_dir: the directory of the node's state; None if the node has no disk.
    :ivar bind: the addresses to listen on, by service.
    :ivar peer_port: the port for calls between nodes, the same on every node.
    :ivar seeds: the control-plane nodes that a new node contacts first.
    :ivar tolerated_failures: the number of voting nodes that may fail at the same time.
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
    """Load the settings file named by the environment variable.

    :raises SettingsError: if the file is missing, unreadable or inconsistent.
    """
    path = environ.get(SETTINGS_FILE_VARIABLE)
    if not path:
        raise SettingsError(f"{SETTINGS_FILE_VARIABLE} is not set: it names the settings file")
    try:
        return parse_settings(Path(path).read_bytes())
    except OSError as error:
        raise SettingsError(f"the settings file {path} cannot be read: {error.strerror}") from None


def parse_settings(text: str | bytes) -> NodeSettings:
    """Parse the text of a settings file.

    :raises SettingsError: if the settings are invalid; the message is one line that names the field.
    """
    try:
        document = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"the settings are not valid JSON: {error}") from None
    if not isinstance(document, dict):
        raise SettingsError("the settings must be a JSON object")
    try:
        settings_file: SettingsFile = SettingsFileSchema().load(document)
    except ValidationError as error:
        raise SettingsError(f"settings: {first_error(error.messages)}") from None
    _check_consistency(settings_file)
    return _node_settings(settings_file)


def _check_consistency(settings_file: SettingsFile) -> None:
    """Check constraints between fields, which the schema does not cover.

    :raises SettingsError: if a constraint is violated; the message is one line that names the field.
    """
    identity, network = settings_file.identity, settings_file.network
    if identity.zone not in network.region_by_zone:
        raise SettingsError(f"settings: self.zone: {identity.zone!r} is not in network.zones")
    for role, names in REQUIRED_ADDRESSES.items():
        if role not in identity.roles:
            continue
        for name in names:
            if name not in network.bind:
                raise SettingsError(f"settings: network.bind: {name} is missing, required by role {role}")


def _node_settings(settings_file: SettingsFile) -> NodeSettings:
    """Convert the loaded schema to the settings that the programs use."""
    identity, network, terms = settings_file.identity, settings_file.network, settings_file.terms
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
        heartbeat_ms=settings_file.heartbeat_ms,
        tolerated_failures=terms.tolerated_failures,
        bounds=terms.bounds,
        log_format=settings_file.log_format,
    )
