"""The fences' way to the disk: one write at a time, in the disk's thread, for all that has come meanwhile."""

from __future__ import annotations

import asyncio
import sqlite3
from collections.abc import Callable, Mapping
from concurrent.futures import Executor
from typing import Any

from meadowworks.gossip import messages as post
from meadowworks.registry.drain_log import DrainLog
from meadowworks.runtime import logging as logs
from meadowworks.storage.sqlite_store import Disk

AGAIN_S = 0.2  # before a write that the disk has refused is tried again
log = logs.get_logger("box")


class Fencing:
    """`start` starts a task. `moved` is awaited by whoever waits for a write or a receipt."""

    def __init__(
        self, fences: DrainLog, disk: Disk, thread: Executor, start: Callable[[Any], asyncio.Task[Any]]
    ) -> None:
        self.fences, self.disk, self.thread, self.start = fences, disk, thread, start
        self.task: asyncio.Task[Any] | None = None
        self.waiting: set[asyncio.Future[None]] = set()

    def wake(self) -> None:
        """Begins to write what is owed, unless that is under way."""
        if (self.fences.unsynced or self.fences.deleted) and (self.task is None or self.task.done()):
            self.task = self.start(self.write())

    async def write(self) -> None:
        while batch := self.fences.next_batch():
            rows = {ident: post.encode(list(value)) for ident, value in batch.rows.items()}
            try:
                await asyncio.get_running_loop().run_in_executor(
                    self.thread, self.disk.keep_fences, rows, batch.deleted
                )
            except sqlite3.Error as trouble:
                log.warning("the disk refuses: {}", trouble)
                self.fences.on_write_failed()
                await asyncio.sleep(AGAIN_S)
            else:
                self.fences.on_written()
            self.moved()

    def moved(self) -> None:
        for waiting in self.waiting:
            if not waiting.done():
                waiting.set_result(None)

    async def until(self, holds: Callable[[], bool], within_s: float) -> bool:
        """Waits for writes and receipts until something holds; whether it does."""
        loop = asyncio.get_running_loop()
        end = loop.time() + within_s
        while not holds():
            self.wake()
            if (left := end - loop.time()) <= 0:
                return False
            waiting: asyncio.Future[None] = loop.create_future()
            self.waiting.add(waiting)
            try:
                await asyncio.wait([waiting], timeout=left)
            finally:
                self.waiting.discard(waiting)
        return True


def read(rows: Mapping[str, bytes]) -> dict[str, Any]:
    """Rows of the disk as values. Raises post.Garbled."""
    return {ident: post.decode(value) for ident, value in rows.items()}
