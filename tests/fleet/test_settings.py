"""Tests reading the settings that both adapters share."""

from __future__ import annotations

from meadowworks.fleet.settings import flatten, read_settings
from tests.fleet.program import SETTINGS


def test_nested_settings_are_flattened_and_read() -> None:
    flat = flatten(SETTINGS)
    assert (flat["zones"], flat["profiles.count"], flat["profiles.1.name"]) == ("east,west", "2", "book")
    assert flat["extra.home_only"] == "false,false" and flat["extra.by_zone"] == "true"
    settings, zones, routes = read_settings(flat)
    assert zones == {"east": 0, "west": 1} and routes == {"look": 0, "book": 1}
    assert (
        settings.proxies_join_local_controller
        and settings.watches_list
        and not settings.health_checks
        and settings.report_interval_ns == 500_000_000
    )
