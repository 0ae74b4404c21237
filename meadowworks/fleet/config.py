"""The configuration of a controller: the file named by `NODE_CONFIG`, and environment variables."""

from __future__ import annotations

import json
import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from meadowworks.fleet.messages import EndpointList, parse_decimal, parse_endpoint_list
from meadowworks.fleet.settings import NS_PER_US, FleetSettingsError, flatten, read_settings
from meadowworks.policy.interface import Settings

DEFAULT_DESCRIPTOR_LIMIT = 1024  # the usual soft limit of a process
MAX_PORT = (1 << 16) - 1


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """The configuration of a controller, read at the start and again on SIGHUP.

    :ivar name: the controller's name, for the log.
    :ivar host: the address to listen on, with `port`.
    :ivar discovery_address: the `host:port` of discovery.
    :ivar seed: seeds the policy's random numbers.
    :ivar descriptor_limit: how many file descriptors the process may open.
    :ivar known_endpoints: the last known endpoint list, used until discovery answers.
    :ivar zone_indices: the index of each zone by name; `route_indices` likewise for routes.
    :ivar batch_interval_ns: the minimum time between two batches of events for the policy.
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
    """Read the configuration.

    :raises FleetSettingsError: with one sentence that names the missing or invalid setting.
    """
    document = _read_config_file(environ)
    host, port = _require_address(document, environ, "listen")
    _require_address(document, environ, "discovery")
    nested_settings = document.get("settings")
    if not isinstance(nested_settings, dict):
        raise FleetSettingsError("settings are missing from NODE_CONFIG")
    options = flatten(nested_settings)
    settings, zone_indices, route_indices = read_settings(options)
    if settings.health_checks:
        raise FleetSettingsError("limits.probes is set, but the protocol has no message for health checks")
    if settings.slice_count:
        raise FleetSettingsError("extra.slices is set, but the protocol has no message for slices")
    known_endpoints = _known_endpoints(document)
    limits = flatten({"limits": document.get("limits")})
    try:
        batch_us = round(parse_decimal(options.get("tick_us", "0")))
        descriptors = round(parse_decimal(limits.get("limits.sockets", str(DEFAULT_DESCRIPTOR_LIMIT))))
    except ValueError as error:
        raise FleetSettingsError(f"tick_us or limits.sockets is invalid: {error}") from error
    return FleetConfig(
        name=_require_text(document, environ, "name"),
        host=host,
        port=port,
        discovery_address=_require_text(document, environ, "discovery"),
        seed=zlib.crc32(str(document.get("seed", "")).encode()),
        descriptor_limit=descriptors,
        known_endpoints=known_endpoints,
        settings=settings,
        zone_indices=zone_indices,
        route_indices=route_indices,
        batch_interval_ns=batch_us * NS_PER_US,
    )


def _read_config_file(environ: Mapping[str, str]) -> dict[str, Any]:
    if "NODE_CONFIG" not in environ:
        return {}
    try:
        with open(environ["NODE_CONFIG"], encoding="utf-8") as source:
            document = json.load(source)
    except (OSError, ValueError) as error:
        raise FleetSettingsError(f"NODE_CONFIG cannot be read: {error}") from error
    if not isinstance(document, dict):
        raise FleetSettingsError("NODE_CONFIG does not hold a JSON object")
    return document


def _require_text(document: Mapping[str, Any], environ: Mapping[str, str], key: str) -> str:
    value = document.get(key) or environ.get("NODE_" + key.upper())
    if not isinstance(value, str) or not value:
        raise FleetSettingsError(f"{key} is missing from NODE_CONFIG, and NODE_{key.upper()} is not set")
    return value


def _require_address(document: Mapping[str, Any], environ: Mapping[str, str], key: str) -> tuple[str, int]:
    text = _require_text(document, environ, key)
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise FleetSettingsError(f"{key} is not an address with a port: {text!r}")
    return host, int(port)


def _known_endpoints(document: Mapping[str, Any]) -> EndpointList | None:
    try:
        return parse_endpoint_list(document["known"]) if document.get("known") else None
    except ValueError as error:
        raise FleetSettingsError(f"known cannot be read: {error}") from error
