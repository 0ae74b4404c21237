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

from meadowworks.storage.sqlite_store import SqliteStore

VFS_NAME = "played"


class PowerLostError(Exception):
    """The process that writes is gone."""


class SimulatedFile:
    __slots__ = ("data", "durable", "pending", "syncs_folder")

    def __init__(self) -> None:
        self.data, self.durable = bytearray(), bytearray()
        self.pending: list[tuple[int, bytes | None]] = []  # offset and bytes; None: cut off there
        self.syncs_folder = False  # its first sync makes the folder's names certain

    def write(self, offset: int, data: bytes | None) -> None:
        apply_write(self.data, offset, data)
        self.pending.append((offset, data))

    def sync(self) -> None:
        for offset, data in self.pending:
            apply_write(self.durable, offset, data)
        self.pending = []


def apply_write(content: bytearray, offset: int, data: bytes | None) -> None:
    if data is None:
        del content[offset:]
        return
    if len(content) < offset:
        content.extend(bytes(offset - len(content)))
    content[offset : offset + len(data)] = data


class SimulatedDisk:
    """What is left of a machine's disk when its process or its power is gone."""

    count = 0

    def __init__(self, random: random.Random) -> None:
        SimulatedDisk.count += 1
        self.path = f"/{SimulatedDisk.count}/timetable.db"
        self.random = random
        self.files: dict[str, SimulatedFile] = {}
        self.durable_files: dict[str, SimulatedFile] = {}
        self.generation = 0  # files that an earlier life opened are dead
        self.operations_left = -1  # operations until the process is gone; -1: it stays
        DISKS[self.path.rpartition("/")[0]] = self

    def count_operation(self, generation: int) -> None:
        if generation != self.generation or self.operations_left == 0:
            raise PowerLostError
        if self.operations_left > 0:
            self.operations_left -= 1

    def kill_process(self) -> None:
        """The process ends; what it wrote stays, synced or not."""
        self.generation, self.operations_left = self.generation + 1, -1

    def lose_power(self) -> None:
        self.kill_process()
        mood = self.random.random()  # most of it kept, most of it lost, or each by itself
        keep = 0.95 if mood < 0.25 else 0.05 if mood < 0.5 else self.random.random()
        names = {}
        for name in sorted(self.files.keys() | self.durable_files.keys()):
            now, before = self.files.get(name), self.durable_files.get(name)
            found = now if now is before or self.random.random() < keep else before
            if found is not None:
                names[name] = found
        for file in names.values():
            for offset, what in file.pending:
                fate = self.random.random()
                if fate < 0.15 and what:
                    apply_write(file.durable, offset, what[: self.random.randrange(len(what))])
                elif fate < 0.15 + 0.85 * keep:
                    apply_write(file.durable, offset, what)
            file.data, file.pending = bytearray(file.durable), []
        self.files, self.durable_files = names, dict(names)

    def size_bytes(self) -> int:
        return sum(len(f.data) for f in self.files.values())

    def remove(self) -> None:
        """No more needed."""
        DISKS.pop(self.path.rpartition("/")[0], None)


DISKS: dict[str, SimulatedDisk] = {}


class FileHandle:
    """An open file, with the methods that apsw calls."""

    def __init__(self, disk: SimulatedDisk, file: SimulatedFile) -> None:
        self.disk, self.file, self.generation = disk, file, disk.generation

    def xRead(self, amount: int, offset: int) -> bytes:
        if self.generation != self.disk.generation:
            raise PowerLostError
        return bytes(self.file.data[offset : offset + amount])

    def xWrite(self, data: bytes, offset: int) -> None:
        self.disk.count_operation(self.generation)
        self.file.write(offset, bytes(data))

    def xTruncate(self, size: int) -> None:
        self.disk.count_operation(self.generation)
        self.file.write(size, None)

    def xSync(self, flags: int) -> None:
        self.disk.count_operation(self.generation)
        self.file.sync()
        if self.file.syncs_folder:
            self.file.syncs_folder = False
            self.disk.durable_files = dict(self.disk.files)

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


class SimulatedVfs(apsw.VFS):
    def __init__(self) -> None:
        super().__init__(VFS_NAME, base="unix")

    def xOpen(self, name: Any, flags: list[int]) -> Any:
        if name is None:
            raise apsw.CantOpenError("no temporary files")
        path = name if isinstance(name, str) else name.filename()
        medium = DISKS[path.rpartition("/")[0]]
        file = medium.files.get(path)
        if file is None:
            if not flags[0] & apsw.SQLITE_OPEN_CREATE:
                raise apsw.CantOpenError(path)
            medium.count_operation(medium.generation)
            file = medium.files[path] = SimulatedFile()
            file.syncs_folder = bool(flags[0] & (apsw.SQLITE_OPEN_MAIN_JOURNAL | apsw.SQLITE_OPEN_WAL))
        flags[1] = flags[0]
        return FileHandle(medium, file)

    def xDelete(self, name: str, sync: bool) -> None:
        medium = DISKS[name.rpartition("/")[0]]
        medium.count_operation(medium.generation)
        medium.files.pop(name, None)
        if sync:
            medium.durable_files = dict(medium.files)

    def xAccess(self, name: str, flags: int) -> bool:
        return name in DISKS[name.rpartition("/")[0]].files

    def xFullPathname(self, name: str) -> str:
        return name


VFS = SimulatedVfs()


class ApswConnection:
    """As much of sqlite3.Connection as `Disk` uses."""

    def __init__(self, path: str) -> None:
        self.connection = apsw.Connection(path, vfs=VFS_NAME)

    def execute(self, sql: str, values: Any = ()) -> Any:
        try:
            return self.connection.execute(sql, values)
        except (apsw.Error, PowerLostError) as trouble:
            raise sqlite3.OperationalError(str(trouble)) from trouble

    def executemany(self, sql: str, rows: Iterable[Any]) -> Any:
        try:
            return self.connection.executemany(sql, rows)
        except (apsw.Error, PowerLostError) as trouble:
            raise sqlite3.OperationalError(str(trouble)) from trouble

    def executescript(self, sql: str) -> Any:
        return self.execute(sql)

    @property
    def in_transaction(self) -> bool:
        return self.connection.in_transaction

    def __enter__(self) -> ApswConnection:
        return self

    def __exit__(self, kind: Any, *rest: Any) -> None:
        self.execute("ROLLBACK" if kind else "COMMIT")

    def close(self) -> None:
        self.connection.close()


class SimulatedStore(SqliteStore):
    """The product's disk over a medium."""

    def __init__(self, disk: SimulatedDisk) -> None:
        self.disk = disk
        self.configure(ApswConnection(disk.path))  # type: ignore[arg-type]

    def abandon(self) -> None:
        """The process is gone (`Medium.killed` or `power_lost` came before): nothing is written any more."""
        self.disk.operations_left = 0  # sqlite would tidy up
        with contextlib.suppress(apsw.Error, PowerLostError):
            self.connection.close()
        self.disk.operations_left = -1
