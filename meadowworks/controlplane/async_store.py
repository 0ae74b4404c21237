"""The node's store, used from the event loop: one thread does the writes, in the order of their calls."""

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
    """Writes beside the event loop. What a call has returned from survives a loss of power.

    Every write raises `sqlite3.Error` if the disk refuses it; nothing of it is stored then.

    :param store: used by this object alone from now on, but for reads before the first write.
    """

    def __init__(self, store: SqliteStore) -> None:
        self._store = store
        self._executor = ThreadPoolExecutor(1)

    async def save_consensus_state(self, update: StateUpdate) -> None:
        """Store what the acceptor has promised, accepted and learnt."""
        await self._run(self._store.save, update)

    async def save_backends(self, rows: dict[str, bytes]) -> None:
        """Replace the backends that are restored at the next start."""
        await self._run(self._store.save_backend_hints, rows)

    async def save_drains(self, rows: Mapping[str, bytes], deleted: Collection[str]) -> None:
        """Store records of drains and departures, and delete those of the backend ids in `deleted`."""
        await self._run(self._store.save_drain_records, rows, deleted)

    def close(self) -> None:
        """Wait for the writes under way, then close the store."""
        self._executor.shutdown()
        self._store.close()

    async def _run(self, write: Callable[P, T], *args: P.args, **kwargs: P.kwargs) -> T:
        assert not kwargs
        return await asyncio.get_running_loop().run_in_executor(self._executor, write, *args)
