"""Tests the limit of a mailbox."""

from __future__ import annotations

import asyncio

from meadowworks.fleet.mailbox import Mailbox


def test_full_mailbox_drops_only_oldest_reports() -> None:
    async def scenario() -> list[str]:
        mailbox: Mailbox[str] = Mailbox(2)
        for item in ("join", "a", "b", "leave", "c", "d"):
            mailbox.put(item, is_report=len(item) == 1)
        return mailbox.drain()

    assert asyncio.run(scenario()) == ["join", "leave", "c", "d"]
