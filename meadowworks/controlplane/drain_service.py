"""The I/O driver of the drain log: one write at a time, of everything that has come in meanwhile."""

from __future__ import annotations

import asyncio
import sqlite3
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from meadowworks.controlplane.async_store import AsyncStore
from meadowworks.controlplane.notifier import Notifier
from meadowworks.gossip import messages
from meadowworks.registry.drain_log import DrainLog, WriteBatch
from meadowworks.runtime import logging as logs

WRITE_RETRY_S = 0.2  # short: a backend's call waits for the write, and its time-out is a second
log = logs.get_logger("drains")


class DrainService:
    """Writes drains and departures, and lets calls wait until they are durable.

    :param drain_log: decides what is to be written.
    :param store: where it is written.
    :param start_task: runs a coroutine in the background.
    """

    def __init__(
        self,
        drain_log: DrainLog,
        store: AsyncStore,
        start_task: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]],
    ) -> None:
        self._drain_log = drain_log
        self._store = store
        self._start_task = start_task
        self._write_task: asyncio.Task[None] | None = None
        self._progress = Notifier()

    def start_pending_write(self) -> None:
        """Begin to write what is not on the disk yet, unless a write is under way."""
        has_pending = self._drain_log.unsynced or self._drain_log.deleted
        if has_pending and (self._write_task is None or self._write_task.done()):
            self._write_task = self._start_task(self._write_pending())

    def notify_waiters(self) -> None:
        """Let waiting calls check again: a write is done, or another node has acknowledged one of its own."""
        self._progress.notify_all()

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Wait for writes and acknowledgements until a condition holds.

        :returns: whether it holds; false when the time-out is over.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while not condition():
            self.start_pending_write()
            if (remaining_s := deadline - loop.time()) <= 0:
                return False
            await self._progress.wait(remaining_s)
        return True

    async def _write_pending(self) -> None:
        while batch := self._drain_log.next_batch():
            try:
                await self._store.save_drains(encode_rows(batch), batch.deleted)
            except sqlite3.Error as error:
                log.warning(
                    "drain_write_failed", drains=len(batch.rows), retry_s=WRITE_RETRY_S, reason=str(error)
                )
                self._drain_log.on_write_failed()
                await asyncio.sleep(WRITE_RETRY_S)
            else:
                self._drain_log.on_written()
            self.notify_waiters()


def encode_rows(batch: WriteBatch) -> dict[str, bytes]:
    """Encode the records of a batch as rows of the store, by backend id."""
    return {backend_id: messages.encode(list(value)) for backend_id, value in batch.rows.items()}


def decode_rows(rows: Mapping[str, bytes]) -> dict[str, list[Any]]:
    """Decode rows of the store, by backend id.

    :raises MalformedMessageError: the store holds something else.
    """
    return {backend_id: messages.decode(value) for backend_id, value in rows.items()}
