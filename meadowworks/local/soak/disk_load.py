"""Load on the disk that the nodes of a soak write to."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

FILE_NAME = "disk-load"
BLOCK_BYTES = 4 << 20
BLOCKS_PER_FILE = 16
PAUSE_S = 0.02


async def load_disk(folder: Path) -> None:
    """Write and sync blocks to one file without end, so that syncs of other programs take longer."""
    block = os.urandom(BLOCK_BYTES)
    with (folder / FILE_NAME).open("wb") as file:
        number = 0
        while True:
            file.seek(number % BLOCKS_PER_FILE * BLOCK_BYTES)
            await asyncio.to_thread(_write_and_sync, file.fileno(), block)
            number += 1
            await asyncio.sleep(PAUSE_S)


def _write_and_sync(descriptor: int, block: bytes) -> None:
    os.write(descriptor, block)
    os.fsync(descriptor)
