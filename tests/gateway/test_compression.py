"""Tests of `runtime.compression`: zlib compatibility and limits."""

from __future__ import annotations

import random
import zlib

import pytest

from meadowworks.runtime.compression import BLOCK_BYTES, compress_steps, decompress_steps
from meadowworks.runtime.steps import run_to_completion
from tests.gateway.test_cooperative import LARGE_CONFIGURATION


def test_a_large_configuration_is_compressed_and_decompressed() -> None:
    compressed = run_to_completion(compress_steps(LARGE_CONFIGURATION))
    assert zlib.decompress(compressed) == LARGE_CONFIGURATION
    assert run_to_completion(decompress_steps(compressed, len(LARGE_CONFIGURATION))) == LARGE_CONFIGURATION


def test_data_of_several_blocks_is_processed_in_steps() -> None:
    data = random.Random(1).randbytes(10 * BLOCK_BYTES)
    compressed = run_to_completion(compress_steps(data))
    assert run_to_completion(decompress_steps(compressed, len(data))) == data
    assert len(list(compress_steps(data))) == 10
    assert len(list(decompress_steps(compressed, len(data)))) >= 2


def test_truncated_and_invalid_data_is_rejected() -> None:
    compressed = run_to_completion(compress_steps(LARGE_CONFIGURATION))
    for broken, reason in ((compressed[:-9], "truncated"), (b"", "truncated"), (compressed[1:], "Error -3")):
        with pytest.raises(ValueError, match=reason):
            run_to_completion(decompress_steps(broken, len(LARGE_CONFIGURATION)))


def test_data_larger_than_allowed_is_rejected() -> None:
    compressed = run_to_completion(compress_steps(LARGE_CONFIGURATION))
    with pytest.raises(ValueError, match="more than 1000 bytes"):
        run_to_completion(decompress_steps(compressed, 1000))
