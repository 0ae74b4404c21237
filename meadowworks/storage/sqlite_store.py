"""An acceptor on disk. What `save` has returned from is there after a loss of power."""

from __future__ import annotations

import sqlite3
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgpack

from meadowworks.consensus.register import Held, Slot, ballot
from meadowworks.consensus.replica import Rows

SCHEMA = """
CREATE TABLE IF NOT EXISTS meta (name TEXT PRIMARY KEY, value BLOB);
CREATE TABLE IF NOT EXISTS held (one INTEGER PRIMARY KEY, version INTEGER, content BLOB);
CREATE TABLE IF NOT EXISTS history (version INTEGER PRIMARY KEY, digest BLOB);
CREATE TABLE IF NOT EXISTS slots (version INTEGER PRIMARY KEY, promised BLOB, accepted BLOB, content BLOB);
CREATE TABLE IF NOT EXISTS lives (ident TEXT PRIMARY KEY, value BLOB);
CREATE TABLE IF NOT EXISTS fences (ident TEXT PRIMARY KEY, value BLOB);
"""


@dataclass(frozen=True, slots=True)
class Stored:
    """What a disk holds. `meta`: an acceptor's own fields, as `Rows` has them; none if the disk is empty."""

    meta: Mapping[str, Any] | None
    held: Held
    history: Mapping[int, bytes]
    slots: Mapping[int, Slot]


def pack(value: Any) -> bytes:
    return msgpack.packb(value, use_bin_type=True)  # type: ignore[no-any-return]


def unpack(value: bytes) -> Any:
    return msgpack.unpackb(value, raw=False)


class Disk:
    """The one user of a file; calls may come from one thread after another. Raises sqlite3.Error."""

    def __init__(self, folder: str | Path) -> None:
        path = Path(folder)
        path.mkdir(parents=True, exist_ok=True)
        self.open(sqlite3.connect(path / "timetable.db", check_same_thread=False, isolation_level=None))

    def open(self, db: sqlite3.Connection) -> None:
        self.db = db
        # Exclusive before WAL: the index is then in the process and no memory is shared. FULL: a commit is
        # on the disk when it returns, by one sync.
        self.db.execute("PRAGMA locking_mode=EXCLUSIVE")
        self.db.execute("PRAGMA journal_mode=WAL")
        self.db.execute("PRAGMA synchronous=FULL")
        self.db.executescript(SCHEMA)

    def load(self) -> Stored:
        meta = {name: unpack(value) for name, value in self.db.execute("SELECT name, value FROM meta")}
        slots = {
            version: Slot(ballot(unpack(promised)), ballot(unpack(accepted)), bytes(content))
            for version, promised, accepted, content in self.db.execute("SELECT * FROM slots")
        }
        row = self.db.execute("SELECT version, content FROM held").fetchone()
        held = Held(row[0], bytes(row[1])) if row else Held()
        history = {v: bytes(d) for v, d in self.db.execute("SELECT version, digest FROM history")}
        return Stored(meta or None, held, history, slots)

    def save(self, rows: Rows) -> None:
        self.db.execute("BEGIN")
        try:
            if rows.meta is not None:
                self.db.executemany(
                    "INSERT OR REPLACE INTO meta VALUES (?, ?)", [(k, pack(v)) for k, v in rows.meta.items()]
                )
            if rows.held is not None:
                self.db.execute(
                    "INSERT OR REPLACE INTO held VALUES (1, ?, ?)", (rows.held.version, rows.held.content)
                )
                self.db.executemany("INSERT OR REPLACE INTO history VALUES (?, ?)", rows.history.items())
                self.db.execute("DELETE FROM history WHERE version < ?", (rows.floor,))
            for version, slot in rows.slots.items():
                if slot is not None:
                    self.db.execute(
                        "INSERT OR REPLACE INTO slots VALUES (?, ?, ?, ?)",
                        (version, pack(slot.promised), pack(slot.accepted), slot.content),
                    )
                else:
                    self.db.execute("DELETE FROM slots WHERE version = ?", (version,))
            self.db.execute("COMMIT")
        except BaseException:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise

    def keep_lives(self, rows: dict[str, bytes]) -> None:
        """Backends as last heard of, for a start after all controllers were lost at once: a hint, which the
        next beats confirm or not."""
        with self.db:
            self.db.execute("BEGIN")
            self.db.execute("DELETE FROM lives")
            self.db.executemany("INSERT INTO lives VALUES (?, ?)", rows.items())

    def lives(self) -> dict[str, bytes]:
        return dict(self.db.execute("SELECT ident, value FROM lives").fetchall())

    def keep_fences(self, rows: Mapping[str, bytes], gone: Collection[str]) -> None:
        """Lives that are draining or gone: what this has returned from is owed to whoever was told so."""
        self.db.execute("BEGIN")
        try:
            self.db.executemany("DELETE FROM fences WHERE ident = ?", [(ident,) for ident in gone])
            self.db.executemany("INSERT OR REPLACE INTO fences VALUES (?, ?)", list(rows.items()))
            self.db.execute("COMMIT")
        except BaseException:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise

    def fences(self) -> dict[str, bytes]:
        return dict(self.db.execute("SELECT ident, value FROM fences").fetchall())

    def close(self) -> None:
        self.db.close()
