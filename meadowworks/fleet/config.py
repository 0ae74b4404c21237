"""What the platform tells a controller at its start: `NODE_CONFIG`, and the variables beside it."""

from __future__ import annotations

import json
import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from meadowworks.fleet.messages import EndpointList, parse_decimal, parse_endpoint_list
from meadowworks.fleet.settings import SettingsError, flatten, read_settings
from meadowworks.policy.interface import Settings

DEFAULT_DESCRIPTOR_LIMIT = 1024  # where no limit is told: what a process may hold on a common system


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    host: str
    port: int
    discovery: str
    seed: int
    sockets: int
    known: EndpointList | None  # the list as this controller last had it
    settings: Settings
    zone_indices: dict[str, int]
    route_indices: dict[str, int]
    batch_interval_ns: int  # batches for the module come at most this often


def load_config(environ: Mapping[str, str]) -> Config:
    """Raises Missing with one plain sentence that names what is absent or makes no sense."""
    given: dict[str, Any] = {}
    if "NODE_CONFIG" in environ:
        try:
            with open(environ["NODE_CONFIG"], encoding="utf-8") as source:
                given = json.load(source)
        except (OSError, ValueError) as trouble:
            raise SettingsError(f"NODE_CONFIG cannot be read: {trouble}") from trouble
        if not isinstance(given, dict):
            raise SettingsError("NODE_CONFIG holds no JSON object")

    def text(key: str) -> str:
        value = given.get(key) or environ.get("NODE_" + key.upper())
        if not isinstance(value, str) or not value:
            raise SettingsError(f"{key} is missing from NODE_CONFIG, and NODE_{key.upper()} is not set")
        return value

    def address(key: str) -> tuple[str, int]:
        host, _, port = text(key).rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) < 1 << 16:
            raise SettingsError(f"{key} is no address with a port: {text(key)!r}")
        return host, int(port)

    (host, port), _ = address("listen"), address("discovery")
    nested = given.get("settings")
    if not isinstance(nested, dict):
        raise SettingsError("settings are missing from NODE_CONFIG")
    flat = flatten(nested)
    settings, zones, routes = read_settings(flat)
    if settings.probes:
        raise SettingsError("limits.probes is set, but the protocol has no form for a probe")
    if settings.slices:
        raise SettingsError("extra.slices is set, but the protocol has no form for slices")
    try:
        known = parse_endpoint_list(given["known"]) if given.get("known") else None
    except ValueError as trouble:
        raise SettingsError(f"known cannot be read: {trouble}") from trouble
    limits = flatten({"limits": given.get("limits")})
    try:
        batch_us = round(parse_decimal(flat.get("tick_us", "0")))
        sockets = round(parse_decimal(limits.get("limits.sockets", str(DEFAULT_DESCRIPTOR_LIMIT))))
    except ValueError as trouble:
        raise SettingsError(f"tick_us or limits.sockets: missing or bad: {trouble}") from trouble
    return Config(
        name=text("name"),
        host=host,
        port=port,
        discovery=text("discovery"),
        seed=zlib.crc32(str(given.get("seed", "")).encode()),
        sockets=sockets,
        known=known,
        settings=settings,
        zone_indices=zones,
        route_indices=routes,
        batch_interval_ns=batch_us * 1000,
    )
