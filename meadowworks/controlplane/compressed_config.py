"""The committed configuration in compressed form, shared by all pulls that need it."""

from __future__ import annotations

import asyncio

from meadowworks.consensus.values import CommittedValue
from meadowworks.gossip.messages import CompressedConfig
from meadowworks.runtime.background_tasks import BackgroundTasks
from meadowworks.runtime.compression import compress_steps
from meadowworks.runtime.cooperative import run_cooperatively

MAX_CONFIG_BYTES = 64 << 20  # uncompressed; limits the memory that one request or reply can use


class ConfigCompressor:
    """Compresses each committed version once, regardless of the number of waiting pulls."""

    def __init__(self, tasks: BackgroundTasks) -> None:
        self.latest = CompressedConfig()
        self._tasks = tasks
        self._in_progress: tuple[int, asyncio.Task[bytes]] | None = None

    async def compress(self, committed: CommittedValue) -> None:
        """Compress a committed version into `latest`, or wait if its compression is in progress."""
        if self._in_progress is None or self._in_progress[0] != committed.version:
            steps = compress_steps(committed.value)
            self._in_progress = committed.version, self._tasks.start(run_cooperatively(steps))
        version, task = self._in_progress
        self.latest = CompressedConfig(version, await asyncio.shield(task))
