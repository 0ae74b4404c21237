"""Tests of `runtime.cooperative`: other tasks run while a large configuration is processed."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from typing import Any

import pytest

from meadowworks.config.route_table import load_route_table, load_route_table_steps
from meadowworks.config.validation import InvalidConfiguration, ValidConfiguration, validation_steps
from meadowworks.runtime import cooperative
from meadowworks.runtime.cooperative import run_cooperatively
from tests.gateway.configurations import CONFIG, ROUTE

ROUTES = [{**ROUTE, "name": f"r{n}", "prefix": f"/{n}/", "svc": "s"} for n in range(1000)]
LARGE_CONFIGURATION = json.dumps({**CONFIG, "vhosts": [{"host": "h", "prefixes": ROUTES}]}).encode()


async def run_and_count_iterations(computation: Any) -> tuple[Any, int]:
    """Return the result of a computation, and the number of event loop iterations during it."""
    task = asyncio.ensure_future(computation)
    iterations = 0
    while not task.done():
        await asyncio.sleep(0)
        iterations += 1
    return task.result(), iterations


@pytest.fixture
def _two_steps_per_slice(monkeypatch: pytest.MonkeyPatch) -> None:
    ticks = itertools.count()
    monkeypatch.setattr(time, "monotonic", lambda: next(ticks) * 0.002)


@pytest.mark.usefixtures("_two_steps_per_slice")
def test_other_tasks_run_while_a_large_configuration_is_validated_and_loaded() -> None:
    async def main() -> None:
        result, iterations = await run_and_count_iterations(
            run_cooperatively(validation_steps(LARGE_CONFIGURATION))
        )
        assert result == ValidConfiguration(12)
        assert iterations > 60
        table, iterations = await run_and_count_iterations(
            run_cooperatively(load_route_table_steps(LARGE_CONFIGURATION))
        )
        assert table == load_route_table(LARGE_CONFIGURATION)
        assert len(table.routes_by_host["h"]) == 1000
        assert table.latency_targets_ms == {"s": 200.5}
        assert iterations > 60
        result, _ = await run_and_count_iterations(
            run_cooperatively(validation_steps(LARGE_CONFIGURATION[:-1]))
        )
        assert result == InvalidConfiguration("it cannot be read whole")

    asyncio.run(main())


@pytest.mark.usefixtures("_two_steps_per_slice")
def test_computations_with_the_same_lock_run_one_at_a_time() -> None:
    async def main() -> None:
        lock = asyncio.Lock()
        computations = [run_cooperatively(validation_steps(LARGE_CONFIGURATION), lock) for _ in range(2)]
        result, iterations = await run_and_count_iterations(asyncio.gather(*computations))
        assert result == [ValidConfiguration(12)] * 2
        assert iterations > 70

    asyncio.run(main())


def test_a_computation_within_one_slice_does_not_yield(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(cooperative, "TIME_SLICE_S", 60.0)

    async def main() -> None:
        computation = run_cooperatively(validation_steps(json.dumps(CONFIG).encode()))
        result, iterations = await run_and_count_iterations(computation)
        assert result == ValidConfiguration(12)
        assert iterations <= 2

    asyncio.run(main())
