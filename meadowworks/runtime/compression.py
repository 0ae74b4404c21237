"""zlib compression in steps, so that a large configuration does not block the event loop."""

from __future__ import annotations

import zlib

from meadowworks.runtime.steps import Steps

BLOCK_BYTES = 1 << 16  # size of one zlib call, so that a call takes less than a millisecond
BLOCKS_PER_STEP = 4  # decompressed per step: decompression is faster than compression


def compress_steps(data: bytes, level: int = 6) -> Steps[bytes]:
    """Compress `data` in the zlib format.

    :param level: zlib's compression level, from 0 (none) to 9 (smallest output).
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
    """Decompress data in the zlib format.

    :param max_bytes: the maximum decompressed size. Prevents a small message from exhausting memory.
    :raises ValueError: if the input is truncated or not valid, or decompresses to more than `max_bytes`.
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
