"""Asynchronous access to the node's store: a single thread executes the writes in call order."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import ParamSpec, TypeVar

from meadowworks.consensus.effects import StateUpdate
from meadowworks.storage.sqlite_store import SqliteStore

P = ParamSpec("P")
T = TypeVar("T")


class AsyncStore:
    """Writes to the store without blocking the event loop.

    A write is durable, also across a power loss, once its call has returned. Each write is atomic and raises
    `sqlite3.Error` if it fails.

    :param store: owned by this object from now on; the caller may read from it before the first write.
    """

    def __init__(self, store: SqliteStore) -> None:
        self._store = store
        self._executor = ThreadPoolExecutor(1)

    async def save_consensus_state(self, update: StateUpdate) -> None:
        """Store the promised, accepted and learnt state of the acceptor."""
        await self._run(self._store.save, update)

    async def save_backends(self, rows: dict[str, bytes]) -> None:
        """Replace the stored backends, which are restored at the next start."""
        await self._run(self._store.save_backend_hints, rows)

    async def save_drains(self, rows: Mapping[str, bytes], deleted: Collection[str]) -> None:
        """Store records of drains and departures, and delete the records of the backend ids in `deleted`."""
        await self._run(self._store.save_drain_records, rows, deleted)

    def close(self) -> None:
        """Wait for pending writes, then close the store."""
        self._executor.shutdown()
        self._store.close()

    async def _run(self, write: Callable[P, T], *args: P.args, **kwargs: P.kwargs) -> T:
        assert not kwargs
        return await asyncio.get_running_loop().run_in_executor(self._executor, write, *args)
