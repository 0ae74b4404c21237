"""Settings as both adapters read them."""

from __future__ import annotations

from meadowworks.fleet.settings import flatten, read_settings
from tests.fleet.program import NESTED


def test_both_adapters_read_the_same_settings() -> None:
    flat = flatten(NESTED)
    assert (flat["zones"], flat["profiles.count"], flat["profiles.1.name"]) == ("east,west", "2", "book")
    assert flat["extra.home_only"] == "false,false" and flat["extra.by_zone"] == "true"
    found, zones, routes = read_settings(flat)
    assert zones == {"east": 0, "west": 1} and routes == {"look": 0, "book": 1}
    assert (
        found.proxies_join_local_controller
        and found.watches_list
        and not found.health_checks
        and found.report_interval_ns == 500_000_000
    )
