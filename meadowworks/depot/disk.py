"""A box on disk. What `save` has returned from is there after a loss of power."""

from __future__ import annotations

import sqlite3
from collections.abc import Collection, Mapping
from pathlib import Path
from uuid import uuid4

from meadowworks.timetable.register import Ballot, Box, Held, Slot

SCHEMA = """
CREATE TABLE IF NOT EXISTS meta (name TEXT PRIMARY KEY, value);
CREATE TABLE IF NOT EXISTS slots (version INTEGER PRIMARY KEY, promised_n INTEGER, promised_by TEXT,
                                  accepted_n INTEGER, accepted_by TEXT, content BLOB);
CREATE TABLE IF NOT EXISTS lives (ident TEXT PRIMARY KEY, value BLOB);
CREATE TABLE IF NOT EXISTS fences (ident TEXT PRIMARY KEY, value BLOB);
"""


class Disk:
    """The one user of a file; calls may come from one thread after another. Raises sqlite3.Error."""

    def __init__(self, folder: str | Path) -> None:
        path = Path(folder)
        path.mkdir(parents=True, exist_ok=True)
        self.db = sqlite3.connect(path / "timetable.db", check_same_thread=False, isolation_level=None)
        # Exclusive before WAL: the index is then in the process and no memory is shared. FULL: a commit is
        # on the disk when it returns, by one sync.
        self.db.execute("PRAGMA locking_mode=EXCLUSIVE")
        self.db.execute("PRAGMA journal_mode=WAL")
        self.db.execute("PRAGMA synchronous=FULL")
        self.db.executescript(SCHEMA)

    def load(self) -> tuple[str, Box | None]:
        """The disk's name and its box; no box if this disk has never held a sound one."""
        meta = dict(self.db.execute("SELECT name, value FROM meta").fetchall())
        if not meta.get("sound"):
            return str(uuid4()), None
        slots = {
            v: Slot(Ballot(pn, pb), Ballot(an, ab), bytes(content))
            for v, pn, pb, an, ab, content in self.db.execute("SELECT * FROM slots").fetchall()
        }
        return meta["disk"], Box(True, meta["era"], Held(meta["version"], bytes(meta["content"])), slots)

    def save(self, name: str, box: Box, changed: set[int], dirty: bool) -> None:
        self.db.execute("BEGIN")
        try:
            if dirty:
                self.db.executemany(
                    "INSERT OR REPLACE INTO meta VALUES (?, ?)",
                    [
                        ("disk", name),
                        ("sound", int(box.sound)),
                        ("era", box.era),
                        ("version", box.held.version),
                        ("content", box.held.content),
                    ],
                )
            for version in changed:
                if slot := box.slots.get(version):
                    self.db.execute(
                        "INSERT OR REPLACE INTO slots VALUES (?, ?, ?, ?, ?, ?)",
                        (version, *slot.promised, *slot.accepted, slot.content),
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
