"""An acceptor on disk. What `save` has returned from is there after a loss of power."""

from __future__ import annotations

import sqlite3
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgpack

from meadowworks.consensus.register import AcceptorSlot, CommittedValue, decode_ballot
from meadowworks.consensus.replica import StateUpdate

SCHEMA = """
CREATE TABLE IF NOT EXISTS meta (name TEXT PRIMARY KEY, value BLOB);
CREATE TABLE IF NOT EXISTS held (one INTEGER PRIMARY KEY, version INTEGER, content BLOB);
CREATE TABLE IF NOT EXISTS history (version INTEGER PRIMARY KEY, digest BLOB);
CREATE TABLE IF NOT EXISTS slots (version INTEGER PRIMARY KEY, promised BLOB, accepted BLOB, content BLOB);
CREATE TABLE IF NOT EXISTS lives (ident TEXT PRIMARY KEY, value BLOB);
CREATE TABLE IF NOT EXISTS fences (ident TEXT PRIMARY KEY, value BLOB);
"""


@dataclass(frozen=True, slots=True)
class StoredState:
    """What a disk holds. `meta`: an acceptor's own fields, as `Rows` has them; none if the disk is empty."""

    metadata: Mapping[str, Any] | None
    committed: CommittedValue
    history: Mapping[int, bytes]
    slots: Mapping[int, AcceptorSlot]


def encode(value: Any) -> bytes:
    return msgpack.packb(value, use_bin_type=True)  # type: ignore[no-any-return]


def decode(value: bytes) -> Any:
    return msgpack.unpackb(value, raw=False)


class SqliteStore:
    """The one user of a file; calls may come from one thread after another. Raises sqlite3.Error."""

    def __init__(self, directory: str | Path) -> None:
        path = Path(directory)
        path.mkdir(parents=True, exist_ok=True)
        self.configure(sqlite3.connect(path / "timetable.db", check_same_thread=False, isolation_level=None))

    def configure(self, connection: sqlite3.Connection) -> None:
        self.connection = connection
        # Exclusive before WAL: the index is then in the process and no memory is shared. FULL: a commit is
        # on the disk when it returns, by one sync.
        self.connection.execute("PRAGMA locking_mode=EXCLUSIVE")
        self.connection.execute("PRAGMA journal_mode=WAL")
        self.connection.execute("PRAGMA synchronous=FULL")
        self.connection.executescript(SCHEMA)

    def load(self) -> StoredState:
        meta = {
            name: decode(value) for name, value in self.connection.execute("SELECT name, value FROM meta")
        }
        slots = {
            version: AcceptorSlot(
                decode_ballot(decode(promised)), decode_ballot(decode(accepted)), bytes(content)
            )
            for version, promised, accepted, content in self.connection.execute("SELECT * FROM slots")
        }
        row = self.connection.execute("SELECT version, content FROM held").fetchone()
        held = CommittedValue(row[0], bytes(row[1])) if row else CommittedValue()
        history = {v: bytes(d) for v, d in self.connection.execute("SELECT version, digest FROM history")}
        return StoredState(meta or None, held, history, slots)

    def save(self, update: StateUpdate) -> None:
        self.connection.execute("BEGIN")
        try:
            if update.metadata is not None:
                self.connection.executemany(
                    "INSERT OR REPLACE INTO meta VALUES (?, ?)",
                    [(k, encode(v)) for k, v in update.metadata.items()],
                )
            if update.committed is not None:
                self.connection.execute(
                    "INSERT OR REPLACE INTO held VALUES (1, ?, ?)",
                    (update.committed.version, update.committed.value),
                )
                self.connection.executemany(
                    "INSERT OR REPLACE INTO history VALUES (?, ?)", update.history.items()
                )
                self.connection.execute(
                    "DELETE FROM history WHERE version < ?", (update.oldest_history_version,)
                )
            for version, slot in update.slots.items():
                if slot is not None:
                    self.connection.execute(
                        "INSERT OR REPLACE INTO slots VALUES (?, ?, ?, ?)",
                        (version, encode(slot.promised), encode(slot.accepted), slot.value),
                    )
                else:
                    self.connection.execute("DELETE FROM slots WHERE version = ?", (version,))
            self.connection.execute("COMMIT")
        except BaseException:
            if self.connection.in_transaction:
                self.connection.execute("ROLLBACK")
            raise

    def save_backend_hints(self, rows: dict[str, bytes]) -> None:
        """Backends as last heard of, for a start after all controllers were lost at once: a hint, which the
        next beats confirm or not."""
        with self.connection:
            self.connection.execute("BEGIN")
            self.connection.execute("DELETE FROM lives")
            self.connection.executemany("INSERT INTO lives VALUES (?, ?)", rows.items())

    def load_backend_hints(self) -> dict[str, bytes]:
        return dict(self.connection.execute("SELECT ident, value FROM lives").fetchall())

    def save_drain_records(self, rows: Mapping[str, bytes], removed: Collection[str]) -> None:
        """Lives that are draining or gone: what this has returned from is owed to whoever was told so."""
        self.connection.execute("BEGIN")
        try:
            self.connection.executemany("DELETE FROM fences WHERE ident = ?", [(ident,) for ident in removed])
            self.connection.executemany("INSERT OR REPLACE INTO fences VALUES (?, ?)", list(rows.items()))
            self.connection.execute("COMMIT")
        except BaseException:
            if self.connection.in_transaction:
                self.connection.execute("ROLLBACK")
            raise

    def load_drain_records(self) -> dict[str, bytes]:
        return dict(self.connection.execute("SELECT ident, value FROM fences").fetchall())

    def close(self) -> None:
        self.connection.close()
