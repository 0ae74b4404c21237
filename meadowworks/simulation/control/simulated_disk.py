"""A simulated disk that can lose power: an SQLite VFS over in-memory files.

A write is durable after the next sync of its file. A created or deleted directory entry is durable after the
next sync of the directory; like SQLite's unix VFS, this one syncs the directory with the first sync of a new
journal, and on deletion when requested. A loss of power keeps, loses or tears each write that is not durable,
independently of the others. Not simulated: bit rot, a disk that ignores syncs, and the entry of the directory
in its parent directory.
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
UNLIMITED = -1  # value of `operations_left`
TORN_RATE = 0.15  # share of the writes that are not durable at a loss of power


class PowerLostError(Exception):
    """Raised by operations of a process that has ended."""


class SimulatedFile:
    """A file's content as processes read it, and its durable content.

    `pending` holds the writes since the last sync: an offset with the bytes written there, or with None for
    a truncation. The first sync of a file with `syncs_folder` set also syncs the directory.
    """

    __slots__ = ("data", "durable", "pending", "syncs_folder")

    def __init__(self) -> None:
        self.data, self.durable = bytearray(), bytearray()
        self.pending: list[tuple[int, bytes | None]] = []
        self.syncs_folder = False

    def write(self, offset: int, data: bytes | None) -> None:
        """Write `data` at an offset, or truncate the file there if it is None."""
        apply_write(self.data, offset, data)
        self.pending.append((offset, data))

    def sync(self) -> None:
        """Make all pending writes durable."""
        for offset, data in self.pending:
            apply_write(self.durable, offset, data)
        self.pending = []

    def lose_power(self, rng: random.Random, kept_rate: float) -> None:
        """Keep, lose or tear each pending write."""
        for offset, data in self.pending:
            draw = rng.random()
            if draw < TORN_RATE and data:
                apply_write(self.durable, offset, data[: rng.randrange(len(data))])
            elif draw < TORN_RATE + (1 - TORN_RATE) * kept_rate:
                apply_write(self.durable, offset, data)
        self.data, self.pending = bytearray(self.durable), []


def apply_write(content: bytearray, offset: int, data: bytes | None) -> None:
    """Write `data` into a file's content at an offset, or truncate the content there if it is None."""
    if data is None:
        del content[offset:]
        return
    if len(content) < offset:
        content.extend(bytes(offset - len(content)))
    content[offset : offset + len(data)] = data


class SimulatedDisk:
    """A machine's disk with its behaviour when the process is killed or power is lost.

    `operations_left` is the number of operations that still succeed, or `UNLIMITED`. `generation`
    increases with each end of a process; handles opened in an earlier generation raise `PowerLostError`.
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
        """Count an operation of the process of a generation.

        :raises PowerLostError: if that process has ended.
        """
        if generation != self.generation or self.operations_left == 0:
            raise PowerLostError
        if self.operations_left > 0:
            self.operations_left -= 1

    def sync_folder(self) -> None:
        """Make the directory entries durable."""
        self._durable_files = dict(self.files)

    def kill_process(self) -> None:
        """End the process and keep all of its writes, synced or not."""
        self.generation += 1
        self.operations_left = UNLIMITED

    def lose_power(self) -> None:
        """End the process and keep most, little, or a random share of the state that is not durable."""
        self.kill_process()
        draw = self._random.random()
        kept_rate = 0.95 if draw < 0.25 else 0.05 if draw < 0.5 else self._random.random()
        files = {}
        for name in sorted(self.files.keys() | self._durable_files.keys()):
            current, durable_file = self.files.get(name), self._durable_files.get(name)
            surviving_file = (
                current if current is durable_file or self._random.random() < kept_rate else durable_file
            )
            if surviving_file is not None:
                files[name] = surviving_file
        for file in files.values():
            file.lose_power(self._random, kept_rate)
        self.files, self._durable_files = files, dict(files)

    def size_bytes(self) -> int:
        """Return the total size of all files."""
        return sum(len(file.data) for file in self.files.values())

    def remove(self) -> None:
        """Remove the disk from the registry of disks."""
        DISKS.pop(folder_of(self.path), None)


DISKS: dict[str, SimulatedDisk] = {}  # by directory


def folder_of(path: str) -> str:
    """Return the directory part of a path."""
    return path.rpartition("/")[0]


class FileHandle:
    """An open file with the methods of apsw.VFSFile."""

    def __init__(self, disk: SimulatedDisk, file: SimulatedFile) -> None:
        self.disk, self.file, self.generation = disk, file, disk.generation

    def xRead(self, amount: int, offset: int) -> bytes:  # noqa: N802 (names defined by apsw)
        """Return the bytes at an offset.

        :raises PowerLostError: if the process has ended.
        """
        if self.generation != self.disk.generation:
            raise PowerLostError
        return bytes(self.file.data[offset : offset + amount])

    def xWrite(self, data: bytes, offset: int) -> None:  # noqa: N802
        """Write at an offset; durable after the next sync."""
        self.disk.count_operation(self.generation)
        self.file.write(offset, bytes(data))

    def xTruncate(self, size: int) -> None:  # noqa: N802
        """Truncate the file; durable after the next sync."""
        self.disk.count_operation(self.generation)
        self.file.write(size, None)

    def xSync(self, _flags: int) -> None:  # noqa: N802
        """Make the file's writes durable, and the directory if it is the first sync of a new journal."""
        self.disk.count_operation(self.generation)
        self.file.sync()
        if self.file.syncs_folder:
            self.file.syncs_folder = False
            self.disk.sync_folder()

    def xFileSize(self) -> int:  # noqa: N802
        """Return the size in bytes."""
        return len(self.file.data)

    def xLock(self, level: int) -> None:  # noqa: N802
        """Do nothing: only one process opens the file."""

    def xUnlock(self, level: int) -> None:  # noqa: N802
        """Do nothing: there are no locks."""

    def xClose(self) -> None:  # noqa: N802
        """Do nothing: there is no resource to release."""

    def xCheckReservedLock(self) -> bool:  # noqa: N802
        """Return False: there are no locks."""
        return False

    def xFileControl(self, _operation: int, _pointer: int) -> bool:  # noqa: N802
        """Return False: no file control operation is supported."""
        return False

    def xSectorSize(self) -> int:  # noqa: N802
        """Return the sector size in bytes."""
        return 4096

    def xDeviceCharacteristics(self) -> int:  # noqa: N802
        """Report that a write changes no byte outside its range, which is SQLite's default assumption."""
        return apsw.SQLITE_IOCAP_POWERSAFE_OVERWRITE


class SimulatedVfs(apsw.VFS):
    """An SQLite VFS that serves all simulated disks by directory."""

    def __init__(self) -> None:
        super().__init__(VFS_NAME, base="unix")

    def xOpen(self, name: Any, flags: list[int]) -> Any:  # noqa: N802
        """Open a file, and create it if the flags allow that.

        :raises apsw.CantOpenError: for a temporary file, or a missing file that must not be created.
        """
        if name is None:
            raise apsw.CantOpenError("temporary files are not supported")
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
        """Delete a file; sync the directory if requested."""
        disk = DISKS[folder_of(name)]
        disk.count_operation(disk.generation)
        disk.files.pop(name, None)
        if sync:
            disk.sync_folder()

    def xAccess(self, name: str, _flags: int) -> bool:  # noqa: N802
        """Return whether a file exists."""
        return name in DISKS[folder_of(name)].files

    def xFullPathname(self, name: str) -> str:  # noqa: N802
        """Return the path, which is always absolute."""
        return name


VFS = SimulatedVfs()  # apsw keeps it registered while this reference exists


class ApswConnection:
    """The subset of `sqlite3.Connection` that `SqliteStore` uses, over apsw; raises sqlite3 errors."""

    def __init__(self, path: str) -> None:
        self._connection = apsw.Connection(path, vfs=VFS_NAME)

    def execute(self, sql: str, values: Any = ()) -> Any:
        """Run one or more SQL statements.

        :raises sqlite3.OperationalError: if SQLite fails or the process has ended.
        """
        try:
            return self._connection.execute(sql, values)
        except (apsw.Error, PowerLostError) as error:
            raise sqlite3.OperationalError(str(error)) from error

    def executemany(self, sql: str, rows: Iterable[Any]) -> Any:
        """Run a statement for each row of values.

        :raises sqlite3.OperationalError: if SQLite fails or the process has ended.
        """
        try:
            return self._connection.executemany(sql, rows)
        except (apsw.Error, PowerLostError) as error:
            raise sqlite3.OperationalError(str(error)) from error

    def executescript(self, sql: str) -> Any:
        """Run several SQL statements."""
        return self.execute(sql)

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._connection.in_transaction

    def __enter__(self) -> ApswConnection:
        return self

    def __exit__(self, exception_type: Any, *_exception_info: Any) -> None:
        self.execute("ROLLBACK" if exception_type else "COMMIT")

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


class SimulatedStore(SqliteStore):
    """The product's store on a simulated disk."""

    def __init__(self, disk: SimulatedDisk) -> None:
        self.disk = disk
        self.configure(ApswConnection(disk.path))  # type: ignore[arg-type]

    def abandon(self) -> None:
        """Close without further writes, after `kill_process` or `lose_power` has ended the process."""
        self.disk.operations_left = 0  # prevents SQLite's cleanup writes on close
        with contextlib.suppress(apsw.Error, PowerLostError):
            self.connection.close()
        self.disk.operations_left = UNLIMITED
