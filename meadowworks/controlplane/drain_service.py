"""The I/O driver of the drain log, which writes all pending records in one batch at a time."""

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

WRITE_RETRY_S = 0.2  # short: a backend that waits for the write has a timeout of one second
log = logs.get_logger("drains")


class DrainService:
    """Writes drains and departures to disk, and lets requests wait until they are durable.

    :param drain_log: provides the batches to write.
    :param store: the store to write to.
    :param start_task: starts a coroutine as a background task.
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
        """Start to write the pending records, unless a write is in progress."""
        has_pending = self._drain_log.unsynced or self._drain_log.deleted
        if has_pending and (self._write_task is None or self._write_task.done()):
            self._write_task = self._start_task(self._write_pending())

    def notify_waiters(self) -> None:
        """Wake waiting requests, after a write or an acknowledgement from another node, to check again."""
        self._progress.notify_all()

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Wait for writes and acknowledgements until a condition holds.

        :returns: true if the condition holds, false on timeout.
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
    """Encode the records of a batch as store rows by backend id."""
    return {backend_id: messages.encode(list(value)) for backend_id, value in batch.rows.items()}


def decode_rows(rows: Mapping[str, bytes]) -> dict[str, list[Any]]:
    """Decode store rows by backend id.

    :raises MalformedMessageError: a row is malformed.
    """
    return {backend_id: messages.decode(value) for backend_id, value in rows.items()}
