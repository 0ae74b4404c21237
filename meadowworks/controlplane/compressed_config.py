"""The committed configuration, compressed once for everyone who lacks it."""

from __future__ import annotations

import asyncio

from meadowworks.consensus.values import CommittedValue
from meadowworks.gossip.messages import CompressedConfig
from meadowworks.runtime.background_tasks import BackgroundTasks
from meadowworks.runtime.compression import compress_steps
from meadowworks.runtime.cooperative import run_cooperatively

MAX_CONFIG_BYTES = 64 << 20  # uncompressed: bounds the memory that a call or a reply can make a node take


class ConfigCompressor:
    """Compresses each version once, however many pulls wait for it."""

    def __init__(self, tasks: BackgroundTasks) -> None:
        self.latest = CompressedConfig()
        self._tasks = tasks
        self._under_way: tuple[int, asyncio.Task[bytes]] | None = None

    async def compress(self, committed: CommittedValue) -> None:
        """Make `latest` the committed version, or wait for the compression in progress."""
        if self._under_way is None or self._under_way[0] != committed.version:
            steps = compress_steps(committed.value)
            self._under_way = committed.version, self._tasks.start(run_cooperatively(steps))
        version, task = self._under_way
        self.latest = CompressedConfig(version, await asyncio.shield(task))
