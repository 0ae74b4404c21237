"""An actor's mailbox: reports beyond its bound push out the oldest reports; all else stays."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from typing import Generic, TypeVar

from meadowworks.fleet.invariants import check_invariant, count

T = TypeVar("T")


class Mailbox(Generic[T]):
    def __init__(self, most_reports: int) -> None:
        self.max_reports = most_reports
        self.items: deque[tuple[bool, T]] = deque()
        self.report_count = 0
        self.arrived = asyncio.Event()

    def put(self, item: T, report: bool = False) -> None:
        """Never waits. Of reports the stalest goes first: what it covers is told again by none, but late
        news would be worth less than fresh ones."""
        if report and self.report_count >= self.max_reports:
            place = next(k for k, (droppable, _) in enumerate(self.items) if droppable)
            del self.items[place]
            self.report_count -= 1
            count("reports dropped from a full mailbox")
        self.items.append((report, item))
        self.report_count += report
        check_invariant(self.report_count <= self.max_reports, "mailbox bound")
        self.arrived.set()

    async def wait(self) -> None:
        await self.arrived.wait()

    async def each(self) -> AsyncIterator[T]:
        """What comes, one by one, for ever."""
        while True:
            await self.wait()
            for item in self.drain():
                yield item

    def drain(self) -> list[T]:
        items = [item for _, item in self.items]
        self.items.clear()
        self.report_count = 0
        self.arrived.clear()
        return items
