"""`runtime.cooperative`: others have their turn while a large configuration is worked on."""

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
LARGE = json.dumps({**CONFIG, "vhosts": [{"host": "h", "prefixes": ROUTES}]}).encode()


async def turns_while(work: Any) -> tuple[Any, int]:
    """The outcome of some work, and how often the loop has turned beside it."""
    task = asyncio.ensure_future(work)
    turns = 0
    while not task.done():
        await asyncio.sleep(0)
        turns += 1
    return task.result(), turns


@pytest.fixture
def _two_steps_a_slice(monkeypatch: pytest.MonkeyPatch) -> None:
    ticks = itertools.count()
    monkeypatch.setattr(time, "monotonic", lambda: next(ticks) * 0.002)


@pytest.mark.usefixtures("_two_steps_a_slice")
def test_others_have_their_turn_while_a_large_configuration_is_validated_and_loaded() -> None:
    async def main() -> None:
        found, turns = await turns_while(run_cooperatively(validation_steps(LARGE)))
        assert found == ValidConfiguration(12)
        assert turns > 60
        table, turns = await turns_while(run_cooperatively(load_route_table_steps(LARGE)))
        assert table == load_route_table(LARGE)
        assert len(table.routes_by_host["h"]) == 1000
        assert table.latency_targets_ms == {"s": 200.5}
        assert turns > 60
        found, _ = await turns_while(run_cooperatively(validation_steps(LARGE[:-1])))
        assert found == InvalidConfiguration("it cannot be read whole")

    asyncio.run(main())


@pytest.mark.usefixtures("_two_steps_a_slice")
def test_works_with_one_lock_run_one_after_the_other() -> None:
    async def main() -> None:
        lock = asyncio.Lock()
        works = [run_cooperatively(validation_steps(LARGE), lock) for _ in range(2)]
        found, turns = await turns_while(asyncio.gather(*works))
        assert found == [ValidConfiguration(12)] * 2
        assert turns > 70

    asyncio.run(main())


def test_what_is_done_within_a_slice_waits_for_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(cooperative, "TIME_SLICE_S", 60.0)

    async def main() -> None:
        work = run_cooperatively(validation_steps(json.dumps(CONFIG).encode()))
        found, turns = await turns_while(work)
        assert found == ValidConfiguration(12)
        assert turns <= 2

    asyncio.run(main())
