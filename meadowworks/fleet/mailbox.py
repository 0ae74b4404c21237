"""The mailbox of an actor: at its limit the oldest report is dropped; other items are never dropped."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from typing import Generic, TypeVar

from meadowworks.fleet.invariants import check_invariant, count

T = TypeVar("T")


class Mailbox(Generic[T]):
    """A queue of items for one reader; holds at most `max_reports` items that are reports."""

    def __init__(self, max_reports: int) -> None:
        self.max_reports = max_reports
        self.items: deque[tuple[bool, T]] = deque()  # (is_report, item)
        self.report_count = 0
        self.not_empty = asyncio.Event()

    def put(self, item: T, is_report: bool = False) -> None:
        """Add an item without waiting.

        If the mailbox already holds `max_reports` reports, the oldest one is dropped for a new one. Its data
        is lost, but newer reports are more useful.
        """
        if is_report and self.report_count >= self.max_reports:
            oldest = next(position for position, (droppable, _) in enumerate(self.items) if droppable)
            del self.items[oldest]
            self.report_count -= 1
            count("reports dropped from a full mailbox")
        self.items.append((is_report, item))
        self.report_count += is_report
        check_invariant(self.report_count <= self.max_reports, "mailbox bound")
        self.not_empty.set()

    async def wait(self) -> None:
        """Wait until the mailbox holds an item."""
        await self.not_empty.wait()

    async def iterate(self) -> AsyncIterator[T]:
        """Yield items as they arrive, without end."""
        while True:
            await self.wait()
            for item in self.drain():
                yield item

    def drain(self) -> list[T]:
        """Remove and return all items."""
        items = [item for _, item in self.items]
        self.items.clear()
        self.report_count = 0
        self.not_empty.clear()
        return items
