"""The mailbox of an actor, with a bound on reports: the oldest give way to new ones, all else stays."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from typing import Generic, TypeVar

from meadowworks.fleet.invariants import check_invariant, count

T = TypeVar("T")


class Mailbox(Generic[T]):
    """A queue of items for one reader; `max_reports` bounds those that are reports."""

    def __init__(self, max_reports: int) -> None:
        self.max_reports = max_reports
        self.items: deque[tuple[bool, T]] = deque()  # whether it is a report, and the item
        self.report_count = 0
        self.not_empty = asyncio.Event()

    def put(self, item: T, is_report: bool = False) -> None:
        """Adds an item and never waits.

        Of reports the oldest goes first: nobody repeats what it covers, but late reports are worth less than
        new ones.
        """
        if is_report and self.report_count >= self.max_reports:
            oldest = next(k for k, (droppable, _) in enumerate(self.items) if droppable)
            del self.items[oldest]
            self.report_count -= 1
            count("reports dropped from a full mailbox")
        self.items.append((is_report, item))
        self.report_count += is_report
        check_invariant(self.report_count <= self.max_reports, "mailbox bound")
        self.not_empty.set()

    async def wait(self) -> None:
        """Returns once there is an item."""
        await self.not_empty.wait()

    async def iterate(self) -> AsyncIterator[T]:
        """Yields the items as they come, without end."""
        while True:
            await self.wait()
            for item in self.drain():
                yield item

    def drain(self) -> list[T]:
        """Takes out all items."""
        items = [item for _, item in self.items]
        self.items.clear()
        self.report_count = 0
        self.not_empty.clear()
        return items
