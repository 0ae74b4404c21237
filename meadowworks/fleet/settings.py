"""The one reader of settings for both adapters: names and values as text, read into the module's own.

The simulator's wire brings them flat; a real controller's configuration brings them as nested JSON, which
`flatten` writes out under the same names.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import isfinite, nan
from typing import Any

from meadowworks.policy.interface import Route, Settings

TRUE_WORDS = ("true", "1")


class SettingsError(Exception):
    """A setting that the module needs is absent or has no sense."""


def flatten(nested: Mapping[str, Any]) -> dict[str, str]:
    """Nested JSON under the wire's names: paths with dots, lists of plain values joined by commas, a list of
    objects as its `.count` and its items by place."""
    flat: dict[str, str] = {}

    def put(at: str, value: Any) -> None:
        if isinstance(value, dict):
            for key, inner in value.items():
                put(f"{at}.{key}" if at else str(key), inner)
        elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
            flat[at + ".count"] = str(len(value))
            for place, item in enumerate(value):
                put(f"{at}.{place}", item)
        elif isinstance(value, list):
            flat[at] = ",".join(format_value(item) for item in value)
        elif value is not None:
            flat[at] = format_value(value)

    put("", nested)
    return flat


def format_value(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def read_settings(options: Mapping[str, str]) -> tuple[Settings, dict[str, int], dict[str, int]]:
    """The settings, and the places of the zones and of the routes by name."""

    def text(key: str) -> str:
        if key not in options:
            raise SettingsError(f"setting {key} is missing")
        return options[key]

    def number(key: str) -> float:
        value = text(key)
        try:
            found = float(value)
        except ValueError:
            found = nan
        if not isfinite(found):
            raise SettingsError(f"setting {key} is no number: {value!r}")
        return found

    def span(key: str) -> int:
        return round(number(key)) * 1000

    def flag(key: str) -> bool:
        return text(key) in TRUE_WORDS

    def flags(key: str, count: int) -> list[bool]:
        marks = [part in TRUE_WORDS for part in text(key).split(",")]
        if len(marks) != count:
            raise SettingsError(f"setting {key} has {len(marks)} values for {count} routes")
        return marks

    count = round(number("profiles.count"))
    home = flags("extra.home_only", count)
    routes, names = [], {}
    for place in range(count):
        at = f"profiles.{place}."
        names[text(at + "name")] = place
        routes.append(
            Route(
                importance=number(at + "worth"),
                slo_ns=span(at + "on_time_us"),
                home_only=home[place],
            )
        )
    zones = {name: place for place, name in enumerate(text("zones").split(","))}
    settings = Settings(
        routes=tuple(routes),
        zones=len(zones),
        proxies=round(number("extra.proxy_count")),
        connections=number("extra.sockets_min") if "extra.sockets_min" in options else 0.0,
        controllers=round(number("balancers")),
        by_zone=options.get("extra.by_zone") in TRUE_WORDS,
        subscribe=text("membership_mode") == "subscribe",
        ask_within_ns=span("safety.ask_within_us") if "safety.ask_within_us" in options else 0,
        only_draining_binds=options.get("safety.only_draining_binds") in TRUE_WORDS,
        probes=options.get("limits.probes") in TRUE_WORDS,
        level_kind=text("extra.level_kind"),
        base_retry=round(number("extra.base_mode")),
        ejects=round(number("extra.ejects")) if "extra.ejects" in options else 0,
        report_ns=span("extra.cycle_us"),
        fixed_weights=options.get("weight_kind") != "live",
        channel_rate=number("extra.channel_rate"),
        queue_cap=number("extra.queue_cap"),
        head=number("extra.fixed_cost"),
        messages_most=round(number("extra.reloads_max")),
        messages_over_ns=span("extra.update_window_us"),
        delay_most_ns=span("extra.push_delay_max_us"),
        cold_share=number("safety.cold_share"),
        tip=number("safety.tip_multiple") if "safety.tip_multiple" in options else 1.0,
        cold_ns=span("safety.cold_us"),
        slices=round(number("extra.slices")),
        exclusive=flag("extra.exclusive"),
        lease_ns=span("extra.keeps_writing_us"),
        in_flight_ns=span("extra.in_flight_max_us"),
    )
    return settings, zones, names
