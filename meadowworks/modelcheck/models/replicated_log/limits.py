"""Small values of the product's limits on sizes, for the steps of the model."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from meadowworks.consensus import log_replica, log_sender, replicated_log

SMALL_APPEND_BYTES = 0  # a request ends with the first entry that has a payload
SMALL_PIECE_BYTES = 24  # snapshots of more than one entry have several pieces
SMALL_KEPT_ENTRIES = 0  # a snapshot replaces all entries that it contains


@contextmanager
def small_limits() -> Iterator[None]:
    """Use the small limits while the context is active."""
    append_bytes, kept_entries = log_replica.MAX_APPEND_BYTES, replicated_log.ENTRIES_KEPT_BEFORE_SNAPSHOT
    piece_bytes = log_sender.MAX_PIECE_BYTES
    log_replica.MAX_APPEND_BYTES = SMALL_APPEND_BYTES
    log_sender.MAX_PIECE_BYTES = SMALL_PIECE_BYTES
    replicated_log.ENTRIES_KEPT_BEFORE_SNAPSHOT = SMALL_KEPT_ENTRIES
    try:
        yield
    finally:
        log_replica.MAX_APPEND_BYTES = append_bytes
        log_sender.MAX_PIECE_BYTES = piece_bytes
        replicated_log.ENTRIES_KEPT_BEFORE_SNAPSHOT = kept_entries
