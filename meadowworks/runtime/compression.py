"""zlib in steps: a large configuration is compressed and decompressed without holding the event loop."""

from __future__ import annotations

import zlib

from meadowworks.runtime.steps import Steps

BLOCK_BYTES = 1 << 16  # in one call of the library: well below a millisecond of compression
BLOCKS_PER_STEP = 4  # that are decompressed, which takes about a quarter of the time


def compress_steps(data: bytes, level: int = 6) -> Steps[bytes]:
    """Compress `data` into what `zlib.decompress` reads.

    :param level: zlib's, from 0 (none) to 9 (smallest).
    """
    if len(data) <= BLOCK_BYTES:
        return zlib.compress(data, level)
    compressor = zlib.compressobj(level)
    blocks = []
    for start in range(0, len(data), BLOCK_BYTES):
        blocks.append(compressor.compress(data[start : start + BLOCK_BYTES]))
        yield
    blocks.append(compressor.flush())
    return b"".join(blocks)


def decompress_steps(compressed: bytes, max_bytes: int) -> Steps[bytes]:
    """Decompress what `zlib.compress` has made.

    :param max_bytes: that the data may have. Guards against a small message that fills the memory.
    :raises ValueError: if the input is truncated, is not zlib's, or holds more than `max_bytes`.
    """
    decompressor = zlib.decompressobj()
    blocks: list[bytes] = []
    size = 0
    pending = compressed
    while not decompressor.eof:
        block = _decompress_block(decompressor, pending)
        pending = decompressor.unconsumed_tail
        blocks.append(block)
        size += len(block)
        if size > max_bytes:
            raise ValueError(f"compressed data holds more than {max_bytes} bytes")
        if not pending and not block and not decompressor.eof:
            raise ValueError("compressed data is truncated")
        if len(blocks) % BLOCKS_PER_STEP == 0:
            yield
    return b"".join(blocks)


def _decompress_block(decompressor: zlib._Decompress, pending: bytes) -> bytes:
    try:
        return decompressor.decompress(pending, BLOCK_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from None
