"""Tests the timer of the main actor."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from meadowworks.fleet import controller
from meadowworks.fleet.config import load_config
from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import (
    ControllerEvent,
    DiscoveryCommand,
)
from tests.fleet.program import ControllerProcess, FakeDiscovery


def test_timer_does_not_drift_and_skips_missed_ticks_after_stall(tmp_path: Path) -> None:
    process = ControllerProcess(tmp_path, FakeDiscovery())
    (tmp_path / "config.json").write_text(json.dumps({**process.config, "discovery": "127.0.0.1:1"}))

    async def scenario() -> None:
        config = load_config({"NODE_CONFIG": str(tmp_path / "config.json")})
        call_at = asyncio.get_running_loop().call_at
        fleet_controller = controller.FleetController(
            config, Mailbox[ControllerEvent](9), Mailbox[DiscoveryCommand](9), call_at
        )
        due, wait = fleet_controller.timer_due_ns, config.settings.report_interval_ns
        fleet_controller.now_ns = due + 1000  # slightly late: the next due time is relative to this one
        fleet_controller.set_timer(wait)
        assert fleet_controller.timer_due_ns == due + wait
        fleet_controller.now_ns = fleet_controller.timer_due_ns + 10 * wait
        fleet_controller.set_timer(wait)
        assert fleet_controller.timer_due_ns == fleet_controller.now_ns + wait

    asyncio.run(scenario())
