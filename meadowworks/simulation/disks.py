"""A disk that loses power: real sqlite over files in memory, each write, sync and name of its own.

A write is certain after the next sync of its file, a name that was made or removed after the next sync of
the folder; sqlite's own unix files sync the folder with the first sync of a new journal, and on removal when
asked to. At a loss of power whatever is not certain is kept, lost or torn, each by itself. Not covered:
sectors that rot, a disk that lies about a sync, the folder's own name in the folder above.
"""

from __future__ import annotations

import contextlib
import random
import sqlite3
from collections.abc import Iterable
from typing import Any

import apsw

from meadowworks.storage.sqlite_store import Disk

NAME = "played"


class PowerLost(Exception):
    """The process that writes is gone."""


class File:
    __slots__ = ("data", "safe", "pending", "journal")

    def __init__(self) -> None:
        self.data, self.safe = bytearray(), bytearray()
        self.pending: list[tuple[int, bytes | None]] = []  # offset and bytes; None: cut off there
        self.journal = False  # its first sync makes the folder's names certain

    def write(self, offset: int, data: bytes | None) -> None:
        apply(self.data, offset, data)
        self.pending.append((offset, data))

    def sync(self) -> None:
        for offset, data in self.pending:
            apply(self.safe, offset, data)
        self.pending = []


def apply(to: bytearray, offset: int, data: bytes | None) -> None:
    if data is None:
        del to[offset:]
        return
    if len(to) < offset:
        to.extend(bytes(offset - len(to)))
    to[offset : offset + len(data)] = data


class Medium:
    """What is left of a machine's disk when its process or its power is gone."""

    number = 0

    def __init__(self, chance: random.Random) -> None:
        Medium.number += 1
        self.path = f"/{Medium.number}/timetable.db"
        self.chance = chance
        self.names: dict[str, File] = {}
        self.certain: dict[str, File] = {}
        self.life = 0  # files that an earlier life opened are dead
        self.left = -1  # operations until the process is gone; -1: it stays
        MEDIA[self.path.rpartition("/")[0]] = self

    def operation(self, life: int) -> None:
        if life != self.life or self.left == 0:
            raise PowerLost
        if self.left > 0:
            self.left -= 1

    def killed(self) -> None:
        """The process ends; what it wrote stays, synced or not."""
        self.life, self.left = self.life + 1, -1

    def power_lost(self) -> None:
        self.killed()
        mood = self.chance.random()  # most of it kept, most of it lost, or each by itself
        keep = 0.95 if mood < 0.25 else 0.05 if mood < 0.5 else self.chance.random()
        names = {}
        for name in sorted(self.names.keys() | self.certain.keys()):
            now, before = self.names.get(name), self.certain.get(name)
            found = now if now is before or self.chance.random() < keep else before
            if found is not None:
                names[name] = found
        for file in names.values():
            for offset, what in file.pending:
                fate = self.chance.random()
                if fate < 0.15 and what:
                    apply(file.safe, offset, what[: self.chance.randrange(len(what))])
                elif fate < 0.15 + 0.85 * keep:
                    apply(file.safe, offset, what)
            file.data, file.pending = bytearray(file.safe), []
        self.names, self.certain = names, dict(names)

    def size(self) -> int:
        return sum(len(f.data) for f in self.names.values())

    def gone(self) -> None:
        """No more needed."""
        MEDIA.pop(self.path.rpartition("/")[0], None)


MEDIA: dict[str, Medium] = {}


class Handle:
    """An open file, with the methods that apsw calls."""

    def __init__(self, medium: Medium, file: File) -> None:
        self.medium, self.file, self.life = medium, file, medium.life

    def xRead(self, amount: int, offset: int) -> bytes:
        if self.life != self.medium.life:
            raise PowerLost
        return bytes(self.file.data[offset : offset + amount])

    def xWrite(self, data: bytes, offset: int) -> None:
        self.medium.operation(self.life)
        self.file.write(offset, bytes(data))

    def xTruncate(self, size: int) -> None:
        self.medium.operation(self.life)
        self.file.write(size, None)

    def xSync(self, flags: int) -> None:
        self.medium.operation(self.life)
        self.file.sync()
        if self.file.journal:
            self.file.journal = False
            self.medium.certain = dict(self.medium.names)

    def xFileSize(self) -> int:
        return len(self.file.data)

    def xLock(self, level: int) -> None: ...
    def xUnlock(self, level: int) -> None: ...
    def xClose(self) -> None: ...

    def xCheckReservedLock(self) -> bool:
        return False

    def xFileControl(self, op: int, pointer: int) -> bool:
        return False

    def xSectorSize(self) -> int:
        return 4096

    def xDeviceCharacteristics(self) -> int:
        return apsw.SQLITE_IOCAP_POWERSAFE_OVERWRITE


class Played(apsw.VFS):
    def __init__(self) -> None:
        super().__init__(NAME, base="unix")

    def xOpen(self, name: Any, flags: list[int]) -> Any:
        if name is None:
            raise apsw.CantOpenError("no temporary files")
        path = name if isinstance(name, str) else name.filename()
        medium = MEDIA[path.rpartition("/")[0]]
        file = medium.names.get(path)
        if file is None:
            if not flags[0] & apsw.SQLITE_OPEN_CREATE:
                raise apsw.CantOpenError(path)
            medium.operation(medium.life)
            file = medium.names[path] = File()
            file.journal = bool(flags[0] & (apsw.SQLITE_OPEN_MAIN_JOURNAL | apsw.SQLITE_OPEN_WAL))
        flags[1] = flags[0]
        return Handle(medium, file)

    def xDelete(self, name: str, sync: bool) -> None:
        medium = MEDIA[name.rpartition("/")[0]]
        medium.operation(medium.life)
        medium.names.pop(name, None)
        if sync:
            medium.certain = dict(medium.names)

    def xAccess(self, name: str, flags: int) -> bool:
        return name in MEDIA[name.rpartition("/")[0]].names

    def xFullPathname(self, name: str) -> str:
        return name


VFS = Played()


class Connection:
    """As much of sqlite3.Connection as `Disk` uses."""

    def __init__(self, path: str) -> None:
        self.own = apsw.Connection(path, vfs=NAME)

    def execute(self, sql: str, values: Any = ()) -> Any:
        try:
            return self.own.execute(sql, values)
        except (apsw.Error, PowerLost) as trouble:
            raise sqlite3.OperationalError(str(trouble)) from trouble

    def executemany(self, sql: str, rows: Iterable[Any]) -> Any:
        try:
            return self.own.executemany(sql, rows)
        except (apsw.Error, PowerLost) as trouble:
            raise sqlite3.OperationalError(str(trouble)) from trouble

    def executescript(self, sql: str) -> Any:
        return self.execute(sql)

    @property
    def in_transaction(self) -> bool:
        return self.own.in_transaction

    def __enter__(self) -> Connection:
        return self

    def __exit__(self, kind: Any, *rest: Any) -> None:
        self.execute("ROLLBACK" if kind else "COMMIT")

    def close(self) -> None:
        self.own.close()


class PlayedDisk(Disk):
    """The product's disk over a medium."""

    def __init__(self, medium: Medium) -> None:
        self.medium = medium
        self.open(Connection(medium.path))  # type: ignore[arg-type]

    def abandon(self) -> None:
        """The process is gone (`Medium.killed` or `power_lost` came before): nothing is written any more."""
        self.medium.left = 0  # sqlite would tidy up
        with contextlib.suppress(apsw.Error, PowerLost):
            self.db.close()
        self.medium.left = -1
