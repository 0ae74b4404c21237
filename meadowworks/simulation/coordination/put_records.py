"""The puts of a history: the copies of each put, and every place at which its value was shown."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from meadowworks.coordination.commands import PutCell
from meadowworks.coordination.results import Cell, CellWritten, GroupEvents, RevisionMismatch
from meadowworks.simulation.coordination.history import (
    Call,
    CallHistory,
    ReadCellCall,
    WatchGroupCall,
    group_of,
    is_in_doubt,
    is_turned_away,
)


@dataclass(frozen=True, slots=True)
class ShownValue:
    """A value of a key at a revision, as an answer showed it."""

    name: str
    value: str
    revision: int
    call: Call


@dataclass(slots=True)
class PutRecord:
    """A put with all of its copies, which have the same key and value."""

    name: str
    value: str
    calls: list[Call] = field(default_factory=list)

    @property
    def first_sent_ns(self) -> int:
        """The time at which the first copy was sent."""
        return min(call.sent_ns for call in self.calls)

    def expected_revisions(self) -> set[int]:
        """Return the revisions that the copies expect the key to have."""
        arguments = (call.arguments for call in self.calls)
        return {
            a.expected_revision
            for a in arguments
            if isinstance(a, PutCell) and a.expected_revision is not None
        }

    def was_turned_away(self) -> bool:
        """Return whether the put has promised never to take effect.

        A 412 binds all copies. A 429 or a 503 binds its own copy, so that another one may take effect.
        """
        if any(isinstance(call.outcome, RevisionMismatch) for call in self.calls):
            return True
        return all(is_turned_away(call.outcome) for call in self.calls)

    def may_have_taken_effect(self) -> bool:
        """Return whether a copy is in doubt and none was refused for its revision."""
        return not self.was_turned_away() and any(is_in_doubt(call.outcome) for call in self.calls)


class PutRecords:
    """The puts of a history by key and value, and the values that answers showed."""

    def __init__(self, history: CallHistory) -> None:
        self.puts: dict[tuple[str, str], PutRecord] = {}
        self.shown: list[ShownValue] = []
        for call in history.calls:
            if isinstance(call.arguments, PutCell):
                key = (call.arguments.name, call.arguments.value)
                self.puts.setdefault(key, PutRecord(*key)).calls.append(call)
            self.shown.extend(shown_values(call))
        self._names_by_revision: dict[str, dict[int, set[str]]] = defaultdict(lambda: defaultdict(set))
        for shown in self.shown:
            self._names_by_revision[group_of(shown.name)][shown.revision].add(shown.name)

    def revisions_of_group(self, group: str) -> dict[int, set[str]]:
        """Return the known revisions of a group, each with the keys that were shown at it."""
        return self._names_by_revision[group]

    def revisions_of_key(self, name: str) -> set[int]:
        """Return the revisions at which a key was shown."""
        revisions = self.revisions_of_group(group_of(name))
        return {revision for revision, names in revisions.items() if name in names}

    def acknowledged(self) -> Iterator[ShownValue]:
        """Return the acknowledgements of puts."""
        return (shown for shown in self.shown if isinstance(shown.call.outcome, CellWritten))


def shown_values(call: Call) -> Iterator[ShownValue]:
    """Return the values that the answer to a call shows."""
    match call.arguments, call.outcome:
        case PutCell(name=name, value=value), CellWritten(revision):
            yield ShownValue(name, value, revision, call)
        case ReadCellCall(name), Cell(value, revision):
            yield ShownValue(name, value, revision, call)
        case WatchGroupCall(), GroupEvents(events=events):
            for event in events:
                yield ShownValue(event.name, event.value, event.revision, call)
