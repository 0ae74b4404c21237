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
from meadowworks.storage.sqlite_store import SqliteStore

WRITE_RETRY_S = 0.2  # before a write that the disk has refused is tried again
log = logs.get_logger("box")


class DrainService:
    """`start` starts a task. `moved` is awaited by whoever waits for a write or a receipt."""

    def __init__(
        self,
        drain_log: DrainLog,
        store: SqliteStore,
        disk_executor: Executor,
        start_task: Callable[[Any], asyncio.Task[Any]],
    ) -> None:
        self.drain_log, self.store, self.disk_executor, self.start_task = (
            drain_log,
            store,
            disk_executor,
            start_task,
        )
        self.write_task: asyncio.Task[Any] | None = None
        self.waiters: set[asyncio.Future[None]] = set()

    def start_pending_write(self) -> None:
        """Begins to write what is owed, unless that is under way."""
        if (self.drain_log.unsynced or self.drain_log.deleted) and (
            self.write_task is None or self.write_task.done()
        ):
            self.write_task = self.start_task(self.write_pending())

    async def write_pending(self) -> None:
        while batch := self.drain_log.next_batch():
            rows = {ident: post.encode(list(value)) for ident, value in batch.rows.items()}
            try:
                await asyncio.get_running_loop().run_in_executor(
                    self.disk_executor, self.store.save_drain_records, rows, batch.deleted
                )
            except sqlite3.Error as trouble:
                log.warning("the disk refuses: {}", trouble)
                self.drain_log.on_write_failed()
                await asyncio.sleep(WRITE_RETRY_S)
            else:
                self.drain_log.on_written()
            self.notify_waiters()

    def notify_waiters(self) -> None:
        for waiting in self.waiters:
            if not waiting.done():
                waiting.set_result(None)

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Waits for writes and receipts until something holds; whether it does."""
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        while not condition():
            self.start_pending_write()
            if (left := end - loop.time()) <= 0:
                return False
            waiting: asyncio.Future[None] = loop.create_future()
            self.waiters.add(waiting)
            try:
                await asyncio.wait([waiting], timeout=left)
            finally:
                self.waiters.discard(waiting)
        return True


def decode_rows(rows: Mapping[str, bytes]) -> dict[str, Any]:
    """Rows of the disk as values. Raises post.Garbled."""
    return {ident: post.decode(value) for ident, value in rows.items()}
