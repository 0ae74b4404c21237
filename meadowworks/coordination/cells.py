"""Keys with their values and revisions, and the count of revisions of each group."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Self

from meadowworks.coordination.commands import PutCell
from meadowworks.coordination.groups import NO_REVISION, group_of
from meadowworks.coordination.history import AppliedEvent, History
from meadowworks.coordination.put_outcomes import PutOutcome, PutOutcomes, put_digest
from meadowworks.coordination.record_codec import FieldCodec, checked_list
from meadowworks.coordination.results import Cell, CellWritten, RevisionMismatch, TooManyNames

# All releases that run together must have the same limits, or their states would differ.
MAX_KEYS = 65_536
MAX_GROUPS = 65_536
MAX_VALUE_CHARACTERS = 16 << 20  # of all cells and events together
MAX_EVENTS = 65_536  # that the history holds; puts are refused above it, since events must not be lost


@dataclass(frozen=True, slots=True)
class NamedCell:
    """A key with its cell, as a snapshot has it."""

    name: str
    value: str
    revision: int


@dataclass(frozen=True, slots=True)
class GroupRevision:
    """The revision of the latest put of a group."""

    group: str
    revision: int


_CELL_CODEC = FieldCodec(NamedCell)
_GROUP_REVISION_CODEC = FieldCodec(GroupRevision)


class CellTable:
    """The cells by key.

    Each put that takes effect gets the next revision of its group and enters the history.
    """

    def __init__(self, history: History) -> None:
        self._history = history
        self._cells: dict[str, Cell] = {}
        self._group_revisions: dict[str, int] = {}
        self._outcomes = PutOutcomes()
        self._value_characters = 0

    def __len__(self) -> int:
        return len(self._cells)

    @property
    def remembered_put_count(self) -> int:
        """The number of puts whose copies would be recognized."""
        return len(self._outcomes)

    def read(self, name: str) -> Cell | None:
        """Return the cell of a key, or None if it does not exist."""
        return self._cells.get(name)

    def group_revision(self, group: str) -> int:
        """Return the revision of the latest put of a group, or 0 if there was none."""
        return self._group_revisions.get(group, NO_REVISION)

    def put(self, index: int, command: PutCell) -> CellWritten | RevisionMismatch | TooManyNames:
        """Write a value, or return the outcome of the put that this one is a copy of."""
        digest = put_digest(command.name, command.value)
        earlier = self._outcomes.find(digest)
        if earlier is not None:
            return self._earlier_result(command.name, earlier)
        if command.expected_revision not in (None, self._revision(command.name)):
            # Prevents a copy from taking effect later, when the key has the expected revision.
            self._outcomes.remember(digest, PutOutcome())
            return RevisionMismatch(self._revision(command.name))
        if self._exceeds_sizes(command) or self._exceeds_limits(command.name):
            return TooManyNames()
        revision = self._write(index, command)
        self._outcomes.remember(digest, PutOutcome(revision))
        return CellWritten(revision)

    def _revision(self, name: str) -> int:
        cell = self._cells.get(name)
        return NO_REVISION if cell is None else cell.revision

    def _earlier_result(self, name: str, earlier: PutOutcome) -> CellWritten | RevisionMismatch:
        if earlier.revision is None:
            return RevisionMismatch(self._revision(name))
        return CellWritten(earlier.revision)

    def _exceeds_sizes(self, command: PutCell) -> bool:
        if len(self._history) >= MAX_EVENTS:
            return True
        characters = self._value_characters + self._history.value_characters + 2 * len(command.value)
        return characters > MAX_VALUE_CHARACTERS

    @property
    def is_half_full(self) -> bool:
        """Whether values and events take half of their bounds or more."""
        characters = self._value_characters + self._history.value_characters
        return 2 * characters >= MAX_VALUE_CHARACTERS or 2 * len(self._history) >= MAX_EVENTS

    def _exceeds_limits(self, name: str) -> bool:
        if name in self._cells:
            return False
        if len(self._cells) >= MAX_KEYS:
            return True
        return group_of(name) not in self._group_revisions and len(self._group_revisions) >= MAX_GROUPS

    def _write(self, index: int, command: PutCell) -> int:
        group = group_of(command.name)
        revision = self.group_revision(group) + 1
        self._group_revisions[group] = revision
        previous = self._cells.get(command.name)
        self._value_characters += len(command.value) - (0 if previous is None else len(previous.value))
        self._cells[command.name] = Cell(command.value, revision)
        self._history.record(AppliedEvent(index, command.name, command.value, revision))
        return revision

    def to_plain(self) -> list[Any]:
        """Return the cells, the revisions of the groups and the outcomes as plain values for msgpack."""
        cells = [NamedCell(name, cell.value, cell.revision) for name, cell in sorted(self._cells.items())]
        groups = [GroupRevision(*item) for item in sorted(self._group_revisions.items())]
        return [
            [_CELL_CODEC.to_list(cell) for cell in cells],
            [_GROUP_REVISION_CODEC.to_list(group) for group in groups],
            self._outcomes.to_plain(),
        ]

    @classmethod
    def from_plain(cls, raw: Any, history: History) -> Self:
        """Return the table that `to_plain` listed.

        :raises ValueError, TypeError: if `raw` is not a table.
        """
        raw_cells, raw_groups, raw_outcomes = checked_list(raw)
        table = cls(history)
        cells = [_CELL_CODEC.from_list(row) for row in checked_list(raw_cells)]
        groups = [_GROUP_REVISION_CODEC.from_list(row) for row in checked_list(raw_groups)]
        table._cells = {cell.name: Cell(cell.value, cell.revision) for cell in cells}
        table._value_characters = sum(len(cell.value) for cell in cells)
        table._group_revisions = {row.group: row.revision for row in groups}
        table._outcomes = PutOutcomes.from_plain(raw_outcomes)
        return table
