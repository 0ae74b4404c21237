"""The durable state of a control-plane replica, in one SQLite file.

When a method that writes returns, the change is on disk and survives a power failure. If the disk is full or
fails, the method raises `sqlite3.Error` ("database or disk is full", "disk I/O error"). The transaction is
then rolled back, and the caller may retry; meanwhile a replica sends no reply that depends on the write. The
names of the file, the tables and the columns must not change, so that existing installations can read their
disks.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Collection, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any, NamedTuple, Self

import msgpack

from meadowworks.consensus.codec import decode_ballot
from meadowworks.consensus.effects import StateUpdate
from meadowworks.consensus.replicated_log import StoredLog
from meadowworks.consensus.values import NOTHING_COMMITTED, AcceptorSlot, CommittedValue
from meadowworks.storage import log_rows

FILE_NAME = "timetable.db"
SCHEMA = """
CREATE TABLE IF NOT EXISTS meta (name TEXT PRIMARY KEY, value BLOB);
CREATE TABLE IF NOT EXISTS held (one INTEGER PRIMARY KEY, version INTEGER, content BLOB);
CREATE TABLE IF NOT EXISTS history (version INTEGER PRIMARY KEY, digest BLOB);
CREATE TABLE IF NOT EXISTS slots (version INTEGER PRIMARY KEY, promised BLOB, accepted BLOB, content BLOB);
CREATE TABLE IF NOT EXISTS lives (ident TEXT PRIMARY KEY, value BLOB);
CREATE TABLE IF NOT EXISTS fences (ident TEXT PRIMARY KEY, value BLOB);
"""


class SlotRow(NamedTuple):
    """A row of the table `slots`, with the ballots encoded as msgpack."""

    version: int
    promised: bytes
    accepted: bytes
    content: bytes

    @classmethod
    def from_slot(cls, version: int, slot: AcceptorSlot) -> Self:
        """Return the row that stores a slot."""
        return cls(version, _encode(slot.promised), _encode(slot.accepted), slot.value)

    def to_slot(self) -> AcceptorSlot:
        """Return the slot that the row stores."""
        promised, accepted = decode_ballot(_decode(self.promised)), decode_ballot(_decode(self.accepted))
        return AcceptorSlot(promised, accepted, bytes(self.content))


@dataclass(frozen=True, slots=True)
class StoredState:
    """The stored state of an acceptor.

    `metadata` holds the fields described in `consensus.metadata`; it is None if the disk is empty. `log` is
    None if the disk contains no log.
    """

    metadata: Mapping[str, Any] | None
    committed: CommittedValue
    history: Mapping[int, bytes]
    slots: Mapping[int, AcceptorSlot]
    log: StoredLog | None = None


class SqliteStore:
    """Exclusive access to the database file of a directory.

    Different threads may call methods, but not concurrently. Every method raises `sqlite3.Error` if the disk
    fails.
    """

    connection: sqlite3.Connection

    def __init__(self, directory: str | Path) -> None:
        path = Path(directory)
        path.mkdir(parents=True, exist_ok=True)
        self.configure(sqlite3.connect(path / FILE_NAME, check_same_thread=False, isolation_level=None))

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def configure(self, connection: sqlite3.Connection) -> None:
        """Set up a connection for this store and create missing tables."""
        self.connection = connection
        # Set before WAL mode, so that the WAL index is kept in process memory and not in a shared file.
        self.connection.execute("PRAGMA locking_mode=EXCLUSIVE")
        self.connection.execute("PRAGMA journal_mode=WAL")
        # Syncs the WAL on every commit.
        self.connection.execute("PRAGMA synchronous=FULL")
        self.connection.executescript(SCHEMA)

    def close(self) -> None:
        """Close the database file."""
        self.connection.close()

    # -- the acceptor

    def load(self) -> StoredState:
        """Return the last saved state of the acceptor."""
        rows = self.connection.execute("SELECT name, value FROM meta")
        metadata = {name: _decode(value) for name, value in rows}
        rows = self.connection.execute("SELECT version, promised, accepted, content FROM slots")
        slots = {row.version: row.to_slot() for row in map(SlotRow._make, rows)}
        row = self.connection.execute("SELECT version, content FROM held").fetchone()
        committed = CommittedValue(row[0], bytes(row[1])) if row else NOTHING_COMMITTED
        rows = self.connection.execute("SELECT version, digest FROM history")
        history = {version: bytes(value_digest) for version, value_digest in rows}
        return StoredState(metadata or None, committed, history, slots, log_rows.load(self.connection))

    def save(self, update: StateUpdate) -> None:
        """Write the changes of an acceptor in one transaction."""
        with self._transaction():
            if update.metadata is not None:
                rows = [(name, _encode(value)) for name, value in update.metadata.items()]
                self.connection.executemany("INSERT OR REPLACE INTO meta VALUES (?, ?)", rows)
            if update.committed is not None:
                self._save_committed(update.committed, update.history, update.oldest_history_version)
            for version, slot in update.slots.items():
                self._save_slot(version, slot)
            if update.log is not None:
                log_rows.save(self.connection, update.log)

    def _save_committed(
        self, committed: CommittedValue, history: Mapping[int, bytes], oldest_history_version: int
    ) -> None:
        self.connection.execute(
            "INSERT OR REPLACE INTO held VALUES (1, ?, ?)", (committed.version, committed.value)
        )
        self.connection.executemany("INSERT OR REPLACE INTO history VALUES (?, ?)", history.items())
        self.connection.execute("DELETE FROM history WHERE version < ?", (oldest_history_version,))

    def _save_slot(self, version: int, slot: AcceptorSlot | None) -> None:
        if slot is None:
            self.connection.execute("DELETE FROM slots WHERE version = ?", (version,))
            return
        row = SlotRow.from_slot(version, slot)
        self.connection.execute("INSERT OR REPLACE INTO slots VALUES (?, ?, ?, ?)", row)

    # -- backends

    def save_backend_hints(self, rows: Mapping[str, bytes]) -> None:
        """Replace the stored states of the backends, given by backend id.

        They are used as hints when all replicas restart at once; later heartbeats confirm or correct them.
        """
        with self._transaction():
            self.connection.execute("DELETE FROM lives")
            self.connection.executemany("INSERT INTO lives VALUES (?, ?)", rows.items())

    def load_backend_hints(self) -> dict[str, bytes]:
        """Return the rows that `save_backend_hints` saved last."""
        return dict(self.connection.execute("SELECT ident, value FROM lives").fetchall())

    def save_drain_records(self, rows: Mapping[str, bytes], removed: Collection[str]) -> None:
        """Write records of draining or removed backends, and delete the records in `removed`.

        A drain may be acknowledged once this returns, because it is then preserved across restarts.
        """
        with self._transaction():
            self.connection.executemany("DELETE FROM fences WHERE ident = ?", [(ident,) for ident in removed])
            self.connection.executemany("INSERT OR REPLACE INTO fences VALUES (?, ?)", list(rows.items()))

    def load_drain_records(self) -> dict[str, bytes]:
        """Return all records that `save_drain_records` wrote and did not delete."""
        return dict(self.connection.execute("SELECT ident, value FROM fences").fetchall())

    @contextmanager
    def _transaction(self) -> Iterator[None]:
        """Commit the enclosed statements, or roll them back on an exception."""
        self.connection.execute("BEGIN")
        try:
            yield
            self.connection.execute("COMMIT")
        except BaseException:
            if self.connection.in_transaction:
                self.connection.execute("ROLLBACK")
            raise


def _encode(value: Any) -> bytes:
    return msgpack.packb(value, use_bin_type=True)  # type: ignore[no-any-return]


def _decode(value: bytes) -> Any:
    return msgpack.unpackb(value, raw=False)
