"""Fixtures of the simulation tests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from meadowworks.simulation.scale.settings import ScaleSettings
from meadowworks.simulation.scale.simulation import measure

SMALL_DEPLOYMENT = ScaleSettings(
    controllers=13,
    zones=2,
    backends=24,
    services=3,
    routes=20,
    requests=40.0,
    seconds=6.0,
    whole=1,
    cpu=False,
    memory=False,
    changes=1200.0,
)
RunSmall = Callable[..., dict[str, Any]]


@pytest.fixture(scope="session")
def run_small() -> RunSmall:
    """Return a function that simulates a small deployment with some settings overridden."""

    def run(**overrides: Any) -> dict[str, Any]:
        result = measure(replace(SMALL_DEPLOYMENT, **overrides))
        assert result["complete"]
        return result

    return run
