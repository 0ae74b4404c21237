"""The bound of a mailbox."""

from __future__ import annotations

import asyncio

from meadowworks.fleet.mailbox import Mailbox


def test_a_full_mailbox_drops_its_oldest_reports_and_nothing_else() -> None:
    async def act() -> list[str]:
        box: Mailbox[str] = Mailbox(2)
        for item in ("join", "a", "b", "leave", "c", "d"):
            box.put(item, is_report=len(item) == 1)
        return box.drain()

    assert asyncio.run(act()) == ["join", "leave", "c", "d"]
