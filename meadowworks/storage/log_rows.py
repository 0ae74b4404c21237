"""The rows in which the store keeps the replicated log.

The table `log_entries` contains the entries after the base of the log, `log_state` one row with the other
fields as msgpack. The first `save` creates them. The caller encloses `save` in a transaction.
"""

from __future__ import annotations

import sqlite3
from typing import Any

import msgpack

from meadowworks.consensus.codec import decode_log_snapshot, decode_position, decode_term, encode_field
from meadowworks.consensus.replicated_log import (
    NO_SNAPSHOT,
    Entry,
    LogMetadata,
    LogUpdate,
    StoredLog,
)
from meadowworks.consensus.values import Term

CREATE_STATE_TABLE = (
    "CREATE TABLE IF NOT EXISTS log_state (one INTEGER PRIMARY KEY, metadata BLOB, snapshot BLOB)"
)
CREATE_ENTRY_TABLE = (
    "CREATE TABLE IF NOT EXISTS log_entries"
    " (position INTEGER PRIMARY KEY, epoch INTEGER, term INTEGER, payload BLOB)"
)
FIND_STATE_TABLE = "SELECT 1 FROM sqlite_master WHERE type = 'table' AND name = 'log_state'"


def save(connection: sqlite3.Connection, update: LogUpdate) -> None:
    """Write the changes of the log.

    :raises sqlite3.Error: if the disk fails.
    """
    connection.execute(CREATE_STATE_TABLE)
    connection.execute(CREATE_ENTRY_TABLE)
    base_index = update.metadata.base.index
    connection.execute(
        "DELETE FROM log_entries WHERE position >= ? OR position <= ?",
        (update.first_changed_index, base_index),
    )
    first_index = max(update.first_changed_index, base_index + 1)
    rows = [
        (first_index + offset, entry.term.epoch, entry.term.number, entry.payload)
        for offset, entry in enumerate(update.entries)
    ]
    connection.executemany("INSERT INTO log_entries VALUES (?, ?, ?, ?)", rows)
    connection.execute("INSERT OR IGNORE INTO log_state VALUES (1, NULL, NULL)")
    connection.execute("UPDATE log_state SET metadata = ?", (_encode_metadata(update.metadata),))
    if update.snapshot is not None:
        connection.execute("UPDATE log_state SET snapshot = ?", (_encode(encode_field(update.snapshot)),))


def load(connection: sqlite3.Connection) -> StoredLog | None:
    """Return the log, or None if none has been saved.

    :raises sqlite3.Error: if the disk fails.
    """
    if connection.execute(FIND_STATE_TABLE).fetchone() is None:
        return None
    row = connection.execute("SELECT metadata, snapshot FROM log_state").fetchone()
    if row is None:
        return None
    snapshot = NO_SNAPSHOT if row[1] is None else decode_log_snapshot(_decode(row[1]))
    entry_rows = connection.execute("SELECT epoch, term, payload FROM log_entries ORDER BY position")
    entries = tuple(Entry(Term(epoch, number), bytes(payload)) for epoch, number, payload in entry_rows)
    return StoredLog(_decode_metadata(row[0]), snapshot, entries)


def _encode_metadata(metadata: LogMetadata) -> bytes:
    return _encode([metadata.epoch, list(metadata.term), metadata.voted_for, encode_field(metadata.base)])


def _decode_metadata(content: bytes) -> LogMetadata:
    epoch, term, voted_for, base = _decode(content)
    return LogMetadata(int(epoch), decode_term(term), str(voted_for), decode_position(base))


def _encode(value: Any) -> bytes:
    return msgpack.packb(value, use_bin_type=True)  # type: ignore[no-any-return]


def _decode(content: bytes) -> Any:
    return msgpack.unpackb(content, raw=False)
