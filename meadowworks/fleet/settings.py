"""Reads the policy's settings for all adapters: flat names and text values become `Settings`.

The simulator's protocol has flat settings. A controller's configuration has nested JSON, which `flatten`
converts to the same names.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import isfinite, nan
from typing import Any

from meadowworks.policy.interface import Route, Settings

TRUE_WORDS = ("true", "1")
NS_PER_US = 1000


class FleetSettingsError(Exception):
    """A setting is missing or invalid; the message is one sentence."""


def flatten(nested: Mapping[str, Any]) -> dict[str, str]:
    """Convert nested JSON to flat settings.

    Keys are dotted paths. A list of plain values is joined by commas. A list of objects becomes a `.count`
    and its items, each under its index.
    """
    flat: dict[str, str] = {}

    def add(path: str, value: Any) -> None:
        if isinstance(value, dict):
            for key, inner in value.items():
                add(f"{path}.{key}" if path else str(key), inner)
        elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
            flat[path + ".count"] = str(len(value))
            for index, item in enumerate(value):
                add(f"{path}.{index}", item)
        elif isinstance(value, list):
            flat[path] = ",".join(format_value(item) for item in value)
        elif value is not None:
            flat[path] = format_value(value)

    add("", nested)
    return flat


def format_value(value: Any) -> str:
    """Return a plain JSON value as text, in the simulator's format."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


@dataclass(frozen=True, slots=True)
class SettingsReader:
    """Typed access to flat settings.

    Methods raise `FleetSettingsError` for a value that is missing or malformed.
    """

    values: Mapping[str, str]

    def text(self, key: str) -> str:
        """Return a value as text."""
        if key not in self.values:
            raise FleetSettingsError(f"setting {key} is missing")
        return self.values[key]

    def number(self, key: str, default: float | None = None) -> float:
        """Return a finite number, or the default, if given, for a missing setting."""
        if default is not None and key not in self.values:
            return default
        value = self.text(key)
        try:
            number = float(value)
        except ValueError:
            number = nan
        if not isfinite(number):
            raise FleetSettingsError(f"setting {key} is no number: {value!r}")
        return number

    def integer(self, key: str, default: float | None = None) -> int:
        """Return a number, rounded to an integer."""
        return round(self.number(key, default))

    def duration_ns(self, key: str, default: float | None = None) -> int:
        """Return a duration in nanoseconds; the setting is in microseconds."""
        return round(self.number(key, default)) * NS_PER_US

    def flag(self, key: str) -> bool:
        """Return a required boolean."""
        return self.text(key) in TRUE_WORDS

    def optional_flag(self, key: str) -> bool:
        """Return an optional boolean; a missing setting is False."""
        return self.values.get(key) in TRUE_WORDS

    def flags(self, key: str, count: int) -> list[bool]:
        """Return a boolean for each of `count` routes."""
        values = [part in TRUE_WORDS for part in self.text(key).split(",")]
        if len(values) != count:
            raise FleetSettingsError(f"setting {key} has {len(values)} values for {count} routes")
        return values


def read_routes(reader: SettingsReader) -> tuple[tuple[Route, ...], dict[str, int]]:
    """Return the routes, and the index of each route by name."""
    count = reader.integer("profiles.count")
    own_zone_only = reader.flags("extra.home_only", count)
    routes, indices = [], {}
    for index in range(count):
        prefix = f"profiles.{index}."
        indices[reader.text(prefix + "name")] = index
        importance, slo_ns = reader.number(prefix + "worth"), reader.duration_ns(prefix + "on_time_us")
        routes.append(Route(importance=importance, slo_ns=slo_ns, own_zone_only=own_zone_only[index]))
    return tuple(routes), indices


def read_settings(options: Mapping[str, str]) -> tuple[Settings, dict[str, int], dict[str, int]]:
    """Return the settings, the index of each zone by name, and the index of each route by name.

    :raises FleetSettingsError: if a setting is missing or invalid.
    """
    reader = SettingsReader(options)
    routes, route_indices = read_routes(reader)
    zone_indices = {name: index for index, name in enumerate(reader.text("zones").split(","))}
    settings = Settings(
        routes=routes,
        zone_count=len(zone_indices),
        proxy_count=reader.integer("extra.proxy_count"),
        backend_connections=reader.number("extra.sockets_min", 0.0),
        controller_count=reader.integer("balancers"),
        proxies_join_local_controller=reader.optional_flag("extra.by_zone"),
        watches_list=reader.text("membership_mode") == "subscribe",
        list_refresh_ns=reader.duration_ns("safety.ask_within_us", 0.0),
        removals_uncertain=reader.optional_flag("safety.only_draining_binds"),
        health_checks=reader.optional_flag("limits.probes"),
        admission_unit=reader.text("extra.level_kind"),
        initial_retry_policy=reader.integer("extra.base_mode"),
        proxy_ejection_threshold=reader.integer("extra.ejects", 0.0),
        report_interval_ns=reader.duration_ns("extra.cycle_us"),
        fixed_weights=options.get("weight_kind") != "live",
        channel_rate=reader.number("extra.channel_rate"),
        queue_limit=reader.number("extra.queue_cap"),
        message_overhead=reader.number("extra.fixed_cost"),
        message_limit=reader.integer("extra.reloads_max"),
        message_window_ns=reader.duration_ns("extra.update_window_us"),
        max_delay_ns=reader.duration_ns("extra.push_delay_max_us"),
        slow_start_share=reader.number("safety.cold_share"),
        overload_factor=reader.number("safety.tip_multiple", 1.0),
        slow_start_ns=reader.duration_ns("safety.cold_us"),
        slice_count=reader.integer("extra.slices"),
        exclusive_slices=reader.flag("extra.exclusive"),
        slice_lease_ns=reader.duration_ns("extra.keeps_writing_us"),
        max_in_flight_ns=reader.duration_ns("extra.in_flight_max_us"),
    )
    return settings, zone_indices, route_indices
