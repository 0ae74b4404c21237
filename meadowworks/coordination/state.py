"""The coordination state machine: applies the commands of the replicated log and answers queries."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Self, assert_never

import msgpack

from meadowworks.coordination.cells import CellTable
from meadowworks.coordination.commands import (
    AcquireLock,
    Command,
    DiscardHistory,
    ExpireLock,
    IssueNumber,
    PutCell,
    ReleaseLock,
    RenewLock,
)
from meadowworks.coordination.history import History
from meadowworks.coordination.locks import LockTable
from meadowworks.coordination.record_codec import FieldCodec, checked_list, pack
from meadowworks.coordination.results import (
    Cell,
    Done,
    GroupEvents,
    HistoryDiscarded,
    Hold,
    NumberIssued,
    Result,
)

SNAPSHOT_FORMAT = 1
NO_INDEX = 0


@dataclass(frozen=True, slots=True)
class StateCounts:
    """What the state holds, for metrics."""

    held_locks: int
    cells: int
    events: int
    remembered_puts: int


@dataclass(frozen=True, slots=True)
class SnapshotHeader:
    """The format of a snapshot and the log index up to which it holds."""

    snapshot_format: int
    applied_index: int


_HEADER_CODEC = FieldCodec(SnapshotHeader)


class CoordinationState:
    """Locks, numbers and keys.

    The same commands at the same log indexes give the same state on every node.
    """

    def __init__(self) -> None:
        self._applied_index = NO_INDEX
        self._locks = LockTable()
        self._history = History()
        self._cells = CellTable(self._history)

    @property
    def applied_index(self) -> int:
        """The log index of the command that was applied last, or 0."""
        return self._applied_index

    def apply(self, index: int, command: Command) -> Result:
        """Apply the command at a log index, which must exceed the index of the command before.

        :raises ValueError: if the index does not rise.
        """
        if index <= self._applied_index:
            raise ValueError(f"command at log index {index} is not above {self._applied_index}")
        result = self._execute(index, command)
        self._applied_index = index
        return result

    def _execute(self, index: int, command: Command) -> Result:
        match command:
            case AcquireLock():
                return self._locks.acquire(index, command)
            case RenewLock():
                return self._locks.renew(index, command)
            case ReleaseLock():
                return self._locks.release(command)
            case ExpireLock():
                return self._locks.expire(command)
            case IssueNumber():
                return NumberIssued(index)
            case PutCell():
                return self._cells.put(index, command)
            case DiscardHistory(up_to_index):
                self._history.discard(up_to_index)
                return Done()
            case _:
                assert_never(command)

    # -- queries

    def holds(self) -> Iterable[Hold]:
        """Return all holds in the order of their grants."""
        return self._locks.holds()

    def hold(self, name: str) -> Hold | None:
        """Return the hold of a lock, or None if nobody holds it."""
        return self._locks.hold(name)

    def read_cell(self, name: str) -> Cell | None:
        """Return the cell of a key, or None if it does not exist."""
        return self._cells.read(name)

    def group_revision(self, group: str) -> int:
        """Return the revision of the latest put of a group, or 0 if there was none."""
        return self._cells.group_revision(group)

    def events_after(self, group: str, revision: int) -> GroupEvents | HistoryDiscarded:
        """Return all events of a group above a revision, unless one of them has been discarded."""
        if self.has_discarded_after(group, revision):
            return HistoryDiscarded()
        return GroupEvents(self._history.events_after(group, revision), self.group_revision(group))

    def has_discarded_after(self, group: str, revision: int) -> bool:
        """Return whether an event of a group above a revision has been discarded."""
        return revision < self._history.discarded_revision(group)

    def index_after(self, group: str, revision: int) -> int | None:
        """Return the log index of the first event of a group above a revision, None if there is none yet."""
        return self._history.index_after(group, revision)

    @property
    def is_half_full(self) -> bool:
        """Whether values and events take half of their bounds or more."""
        return self._cells.is_half_full

    def counts(self) -> StateCounts:
        """Return the numbers of held locks, cells, events and remembered puts."""
        return StateCounts(
            held_locks=len(self._locks),
            cells=len(self._cells),
            events=len(self._history),
            remembered_puts=self._cells.remembered_put_count,
        )

    # -- snapshots

    def encode(self) -> bytes:
        """Return a snapshot; equal states have equal snapshots."""
        header = _HEADER_CODEC.to_list(SnapshotHeader(SNAPSHOT_FORMAT, self._applied_index))
        return pack([header, self._locks.to_plain(), self._cells.to_plain(), self._history.to_plain()])

    @classmethod
    def decode(cls, data: bytes) -> Self:
        """Return the state of a snapshot.

        :raises ValueError, TypeError: if `data` is not a snapshot in a known format.
        """
        raw_header, *raw_tables = checked_list(msgpack.unpackb(data))
        header = _HEADER_CODEC.from_list(raw_header)
        if header.snapshot_format != SNAPSHOT_FORMAT:
            raise ValueError(f"snapshot has format {header.snapshot_format}, expected {SNAPSHOT_FORMAT}")
        raw_locks, raw_cells, raw_history = raw_tables
        state = cls()
        state._applied_index = header.applied_index
        state._locks = LockTable.from_plain(raw_locks)
        state._history = History.from_plain(raw_history)
        state._cells = CellTable.from_plain(raw_cells, state._history)
        return state
