"""A disk that loses power: real SQLite over files in memory, each write, sync and name of its own.

A write is durable after the next sync of its file, a name that was made or removed after the next sync of
the folder; SQLite's own unix files sync the folder with the first sync of a new journal, and on removal when
asked to. At a loss of power whatever is not durable is kept, lost or torn, each by itself. Not covered:
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
UNLIMITED = -1  # operations that a process may still do
TORN_RATE = 0.15  # of writes that are not durable, at a loss of power


class PowerLostError(Exception):
    """The process that writes is gone."""


class SimulatedFile:
    """The content of a file as processes see it, and as it is after a loss of power.

    `pending` are the writes since the last sync: an offset with the bytes there, or None for a truncation.
    The first sync of a file that `syncs_folder` makes the folder's names durable.
    """

    __slots__ = ("data", "durable", "pending", "syncs_folder")

    def __init__(self) -> None:
        self.data, self.durable = bytearray(), bytearray()
        self.pending: list[tuple[int, bytes | None]] = []
        self.syncs_folder = False

    def write(self, offset: int, data: bytes | None) -> None:
        """Write at an offset, or truncate there without data."""
        apply_write(self.data, offset, data)
        self.pending.append((offset, data))

    def sync(self) -> None:
        """Make all writes durable."""
        for offset, data in self.pending:
            apply_write(self.durable, offset, data)
        self.pending = []

    def lose_power(self, rng: random.Random, kept_rate: float) -> None:
        """Keep, lose or tear each write that is not durable."""
        for offset, data in self.pending:
            fate = rng.random()
            if fate < TORN_RATE and data:
                apply_write(self.durable, offset, data[: rng.randrange(len(data))])
            elif fate < TORN_RATE + (1 - TORN_RATE) * kept_rate:
                apply_write(self.durable, offset, data)
        self.data, self.pending = bytearray(self.durable), []


def apply_write(content: bytearray, offset: int, data: bytes | None) -> None:
    """Write into a file's content, or truncate it without data."""
    if data is None:
        del content[offset:]
        return
    if len(content) < offset:
        content.extend(bytes(offset - len(content)))
    content[offset : offset + len(data)] = data


class SimulatedDisk:
    """A machine's disk, and what is left of it when the process or the power is gone.

    `operations_left` is how many operations the process may still do (`UNLIMITED`: it stays). Files that an
    earlier generation has opened are dead.
    """

    _count = 0

    def __init__(self, rng: random.Random) -> None:
        SimulatedDisk._count += 1
        self.path = f"/{SimulatedDisk._count}/timetable.db"
        self.files: dict[str, SimulatedFile] = {}
        self.operations_left = UNLIMITED
        self.generation = 0
        self._random = rng
        self._durable_files: dict[str, SimulatedFile] = {}
        DISKS[folder_of(self.path)] = self

    def count_operation(self, generation: int) -> None:
        """Count an operation of a generation's process.

        :raises PowerLostError: if that process is gone.
        """
        if generation != self.generation or self.operations_left == 0:
            raise PowerLostError
        if self.operations_left > 0:
            self.operations_left -= 1

    def sync_folder(self) -> None:
        """Make the names of the files durable."""
        self._durable_files = dict(self.files)

    def kill_process(self) -> None:
        """End the process; what it wrote stays, synced or not."""
        self.generation += 1
        self.operations_left = UNLIMITED

    def lose_power(self) -> None:
        """End the process, and keep of what is not durable most, little, or any part."""
        self.kill_process()
        mood = self._random.random()
        kept_rate = 0.95 if mood < 0.25 else 0.05 if mood < 0.5 else self._random.random()
        files = {}
        for name in sorted(self.files.keys() | self._durable_files.keys()):
            now, before = self.files.get(name), self._durable_files.get(name)
            found = now if now is before or self._random.random() < kept_rate else before
            if found is not None:
                files[name] = found
        for file in files.values():
            file.lose_power(self._random, kept_rate)
        self.files, self._durable_files = files, dict(files)

    def size_bytes(self) -> int:
        """Return the size of all files."""
        return sum(len(file.data) for file in self.files.values())

    def remove(self) -> None:
        """Forget the disk."""
        DISKS.pop(folder_of(self.path), None)


DISKS: dict[str, SimulatedDisk] = {}  # by folder


def folder_of(path: str) -> str:
    """Return the folder of a file."""
    return path.rpartition("/")[0]


class FileHandle:
    """An open file, with the methods that apsw calls."""

    def __init__(self, disk: SimulatedDisk, file: SimulatedFile) -> None:
        self.disk, self.file, self.generation = disk, file, disk.generation

    def xRead(self, amount: int, offset: int) -> bytes:  # noqa: N802 (named by apsw, as all of these)
        """Read; fails for a process that is gone."""
        if self.generation != self.disk.generation:
            raise PowerLostError
        return bytes(self.file.data[offset : offset + amount])

    def xWrite(self, data: bytes, offset: int) -> None:  # noqa: N802
        """Write, which is durable after a sync."""
        self.disk.count_operation(self.generation)
        self.file.write(offset, bytes(data))

    def xTruncate(self, size: int) -> None:  # noqa: N802
        """Truncate, which is durable after a sync."""
        self.disk.count_operation(self.generation)
        self.file.write(size, None)

    def xSync(self, _flags: int) -> None:  # noqa: N802
        """Make the file's writes durable."""
        self.disk.count_operation(self.generation)
        self.file.sync()
        if self.file.syncs_folder:
            self.file.syncs_folder = False
            self.disk.sync_folder()

    def xFileSize(self) -> int:  # noqa: N802
        """Return the size in bytes."""
        return len(self.file.data)

    def xLock(self, level: int) -> None:  # noqa: N802
        """One process has the file: there is nothing to lock."""

    def xUnlock(self, level: int) -> None:  # noqa: N802
        """There is nothing to unlock."""

    def xClose(self) -> None:  # noqa: N802
        """There is nothing to close."""

    def xCheckReservedLock(self) -> bool:  # noqa: N802
        """Nobody else has a lock."""
        return False

    def xFileControl(self, _operation: int, _pointer: int) -> bool:  # noqa: N802
        """No operation is known."""
        return False

    def xSectorSize(self) -> int:  # noqa: N802
        """Return a usual size."""
        return 4096

    def xDeviceCharacteristics(self) -> int:  # noqa: N802
        """A write changes no byte outside of it, as on disks that SQLite takes for granted."""
        return apsw.SQLITE_IOCAP_POWERSAFE_OVERWRITE


class SimulatedVfs(apsw.VFS):
    """The file system of all simulated disks, by folder."""

    def __init__(self) -> None:
        super().__init__(VFS_NAME, base="unix")

    def xOpen(self, name: Any, flags: list[int]) -> Any:  # noqa: N802
        """Open a file, made if the flags say so."""
        if name is None:
            raise apsw.CantOpenError("no temporary files")
        path = name if isinstance(name, str) else name.filename()
        disk = DISKS[folder_of(path)]
        file = disk.files.get(path)
        if file is None:
            if not flags[0] & apsw.SQLITE_OPEN_CREATE:
                raise apsw.CantOpenError(path)
            disk.count_operation(disk.generation)
            file = disk.files[path] = SimulatedFile()
            file.syncs_folder = bool(flags[0] & (apsw.SQLITE_OPEN_MAIN_JOURNAL | apsw.SQLITE_OPEN_WAL))
        flags[1] = flags[0]
        return FileHandle(disk, file)

    def xDelete(self, name: str, sync: bool) -> None:  # noqa: N802
        """Remove a file, durably if the folder is to be synced."""
        disk = DISKS[folder_of(name)]
        disk.count_operation(disk.generation)
        disk.files.pop(name, None)
        if sync:
            disk.sync_folder()

    def xAccess(self, name: str, _flags: int) -> bool:  # noqa: N802
        """Tell whether a file exists."""
        return name in DISKS[folder_of(name)].files

    def xFullPathname(self, name: str) -> str:  # noqa: N802
        """All paths are full."""
        return name


VFS = SimulatedVfs()  # registered as long as it lives


class ApswConnection:
    """As much of `sqlite3.Connection` as `SqliteStore` uses; raises its errors."""

    def __init__(self, path: str) -> None:
        self._connection = apsw.Connection(path, vfs=VFS_NAME)

    def execute(self, sql: str, values: Any = ()) -> Any:
        """Run a statement, or several."""
        try:
            return self._connection.execute(sql, values)
        except (apsw.Error, PowerLostError) as error:
            raise sqlite3.OperationalError(str(error)) from error

    def executemany(self, sql: str, rows: Iterable[Any]) -> Any:
        """Run a statement for each row of values."""
        try:
            return self._connection.executemany(sql, rows)
        except (apsw.Error, PowerLostError) as error:
            raise sqlite3.OperationalError(str(error)) from error

    def executescript(self, sql: str) -> Any:
        """Run several statements."""
        return self.execute(sql)

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction has begun and not ended."""
        return self._connection.in_transaction

    def __enter__(self) -> ApswConnection:
        return self

    def __exit__(self, kind: Any, *_rest: Any) -> None:
        self.execute("ROLLBACK" if kind else "COMMIT")

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


class SimulatedStore(SqliteStore):
    """The product's store on a simulated disk."""

    def __init__(self, disk: SimulatedDisk) -> None:
        self.disk = disk
        self.configure(ApswConnection(disk.path))  # type: ignore[arg-type]

    def abandon(self) -> None:
        """Close without another write: the process is gone (`kill_process` or `lose_power` came before)."""
        self.disk.operations_left = 0  # SQLite would tidy up
        with contextlib.suppress(apsw.Error, PowerLostError):
            self.connection.close()
        self.disk.operations_left = UNLIMITED
