"""The configuration of a controller at its start: `NODE_CONFIG`, and the variables beside it."""

from __future__ import annotations

import json
import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from meadowworks.fleet.messages import EndpointList, parse_decimal, parse_endpoint_list
from meadowworks.fleet.settings import NS_PER_US, FleetSettingsError, flatten, read_settings
from meadowworks.policy.interface import Settings

DEFAULT_DESCRIPTOR_LIMIT = 1024  # where none is given: what a process may hold on a common system
MAX_PORT = (1 << 16) - 1


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """The configuration with which a controller starts; SIGHUP makes it read this again.

    :ivar known_endpoints: the endpoint list as this controller last had it.
    :ivar batch_interval_ns: events for the policy are handled in batches at most this often.
    """

    name: str
    host: str
    port: int
    discovery_address: str
    seed: int
    descriptor_limit: int
    known_endpoints: EndpointList | None
    settings: Settings
    zone_indices: dict[str, int]
    route_indices: dict[str, int]
    batch_interval_ns: int


def load_config(environ: Mapping[str, str]) -> FleetConfig:
    """Reads the configuration.

    :raises FleetSettingsError: with one plain sentence that names what is absent or makes no sense.
    """
    given = _read_file(environ)
    host, port = _address(given, environ, "listen")
    _address(given, environ, "discovery")
    nested = given.get("settings")
    if not isinstance(nested, dict):
        raise FleetSettingsError("settings are missing from NODE_CONFIG")
    flat = flatten(nested)
    settings, zone_indices, route_indices = read_settings(flat)
    if settings.health_checks:
        raise FleetSettingsError("limits.probes is set, but the protocol has no form for a probe")
    if settings.slice_count:
        raise FleetSettingsError("extra.slices is set, but the protocol has no form for slices")
    known = _known_endpoints(given)
    limits = flatten({"limits": given.get("limits")})
    try:
        batch_us = round(parse_decimal(flat.get("tick_us", "0")))
        descriptors = round(parse_decimal(limits.get("limits.sockets", str(DEFAULT_DESCRIPTOR_LIMIT))))
    except ValueError as error:
        raise FleetSettingsError(f"tick_us or limits.sockets: missing or bad: {error}") from error
    return FleetConfig(
        name=_text(given, environ, "name"),
        host=host,
        port=port,
        discovery_address=_text(given, environ, "discovery"),
        seed=zlib.crc32(str(given.get("seed", "")).encode()),
        descriptor_limit=descriptors,
        known_endpoints=known,
        settings=settings,
        zone_indices=zone_indices,
        route_indices=route_indices,
        batch_interval_ns=batch_us * NS_PER_US,
    )


def _read_file(environ: Mapping[str, str]) -> dict[str, Any]:
    if "NODE_CONFIG" not in environ:
        return {}
    try:
        with open(environ["NODE_CONFIG"], encoding="utf-8") as source:
            given = json.load(source)
    except (OSError, ValueError) as error:
        raise FleetSettingsError(f"NODE_CONFIG cannot be read: {error}") from error
    if not isinstance(given, dict):
        raise FleetSettingsError("NODE_CONFIG holds no JSON object")
    return given


def _text(given: Mapping[str, Any], environ: Mapping[str, str], key: str) -> str:
    value = given.get(key) or environ.get("NODE_" + key.upper())
    if not isinstance(value, str) or not value:
        raise FleetSettingsError(f"{key} is missing from NODE_CONFIG, and NODE_{key.upper()} is not set")
    return value


def _address(given: Mapping[str, Any], environ: Mapping[str, str], key: str) -> tuple[str, int]:
    text = _text(given, environ, key)
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise FleetSettingsError(f"{key} is no address with a port: {text!r}")
    return host, int(port)


def _known_endpoints(given: Mapping[str, Any]) -> EndpointList | None:
    try:
        return parse_endpoint_list(given["known"]) if given.get("known") else None
    except ValueError as error:
        raise FleetSettingsError(f"known cannot be read: {error}") from error
