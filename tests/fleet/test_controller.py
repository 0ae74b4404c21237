"""The timer of the main actor."""

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
from tests.fleet.program import Desk, Program


def test_the_timer_neither_drifts_nor_piles_up_after_a_stall(tmp_path: Path) -> None:
    program = Program(tmp_path, Desk())
    (tmp_path / "config.json").write_text(json.dumps({**program.config, "discovery": "127.0.0.1:1"}))

    async def act() -> None:
        config = load_config({"NODE_CONFIG": str(tmp_path / "config.json")})
        at = asyncio.get_running_loop().call_at
        node = controller.FleetController(
            config, Mailbox[ControllerEvent](9), Mailbox[DiscoveryCommand](9), at
        )
        due, wait = node.timer_due_ns, config.settings.report_interval_ns
        node.now_ns = due + 1000  # a little late: the next is counted from when this one was due
        node.set_timer(wait)
        assert node.timer_due_ns == due + wait
        node.now_ns = node.timer_due_ns + 10 * wait
        node.set_timer(wait)
        assert node.timer_due_ns == node.now_ns + wait

    asyncio.run(act())
