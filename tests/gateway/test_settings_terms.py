"""Tests that unknown terms in the settings are ignored."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from meadowworks.local.system import SystemLayout, find_free_ports
from meadowworks.runtime import node_settings
from tests.gateway.test_fleet import ROUTES, Fleet, fleet  # noqa: F401  # the fixture

TERMS: dict[str, Any] = {
    "unknown contracts": {"contracts": ["base", "no such part"]},
    "unknown bounds": {"bounds": {"nobodyKnowsMs": True, "part": 0.5, "whole": 7, "no": False}},
    "known bounds as fractions": {"bounds": {"graceS": 2.5, "retryRatio": 1, "contactMs": 2500.5}},
    "zones": {"tolerate": {"zones": 1}},
    "regions": {"tolerate": {"nodes": 0, "regions": 1}},
    "other unknown terms": {"tolerate": {"nodes": 1, "continents": 1}, "more": [1]},
}


@pytest.mark.parametrize("case", TERMS)
def test_unknown_terms_are_ignored(case: str, tmp_path: Path) -> None:
    settings = SystemLayout(90, find_free_ports()).node_settings(3, tmp_path, True)
    settings["terms"] = {**settings.get("terms", {}), **TERMS[case]}
    loaded = node_settings.parse_settings(json.dumps(settings))
    assert loaded.tolerated_failures == TERMS[case].get(
        "tolerate", settings["terms"].get("tolerate", {})
    ).get("nodes", 0)
