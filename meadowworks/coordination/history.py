"""The events of each group that have not been discarded yet."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any, Self

from meadowworks.coordination.groups import NO_REVISION, group_of
from meadowworks.coordination.record_codec import FieldCodec, checked_list
from meadowworks.coordination.results import CellEvent


@dataclass(frozen=True, slots=True)
class AppliedEvent:
    """A put that took effect, and its log index."""

    index: int
    name: str
    value: str
    revision: int


@dataclass(frozen=True, slots=True)
class DiscardedRevision:
    """The highest revision of a group whose event has been discarded."""

    group: str
    revision: int


_EVENT_CODEC = FieldCodec(AppliedEvent)
_DISCARDED_REVISION_CODEC = FieldCodec(DiscardedRevision)


class History:
    """Events in the order of the log, and by group.

    Revisions of a group are counted without gaps and the oldest events are discarded first, so the events
    of a group are all those above its discarded revision.
    """

    def __init__(self) -> None:
        self._events: deque[AppliedEvent] = deque()
        self._by_group: dict[str, deque[AppliedEvent]] = {}
        self._discarded_revisions: dict[str, int] = {}
        self.value_characters = 0  # of all events

    def __len__(self) -> int:
        return len(self._events)

    def record(self, event: AppliedEvent) -> None:
        """Add an event, whose log index and revision are above those before."""
        self._events.append(event)
        self.value_characters += len(event.value)
        self._by_group.setdefault(group_of(event.name), deque()).append(event)

    def discard(self, up_to_index: int) -> None:
        """Remove the events of puts that were applied at this log index or before."""
        while self._events and self._events[0].index <= up_to_index:
            event = self._events.popleft()
            self.value_characters -= len(event.value)
            self._discard_first(group_of(event.name))

    def _discard_first(self, group: str) -> None:
        events = self._by_group[group]
        self._discarded_revisions[group] = events.popleft().revision
        if not events:
            del self._by_group[group]

    def discarded_revision(self, group: str) -> int:
        """Return the highest discarded revision of a group, or 0 if none has been discarded."""
        return self._discarded_revisions.get(group, NO_REVISION)

    def index_after(self, group: str, revision: int) -> int | None:
        """Return the log index of the first event of a group above a revision, None if there is none yet."""
        events = self._by_group.get(group)
        if not events or events[-1].revision <= revision:
            return None
        return events[max(0, revision + 1 - events[0].revision)].index

    def events_after(self, group: str, revision: int) -> tuple[CellEvent, ...]:
        """Return the events of a group above a revision in rising order."""
        newest_first: list[CellEvent] = []
        for event in reversed(self._by_group.get(group, ())):
            if event.revision <= revision:
                break
            newest_first.append(CellEvent(event.name, event.value, event.revision))
        return tuple(reversed(newest_first))

    def to_plain(self) -> list[Any]:
        """Return the history as plain values for msgpack."""
        discarded = [DiscardedRevision(*item) for item in sorted(self._discarded_revisions.items())]
        return [
            [_EVENT_CODEC.to_list(event) for event in self._events],
            [_DISCARDED_REVISION_CODEC.to_list(row) for row in discarded],
        ]

    @classmethod
    def from_plain(cls, raw: Any) -> Self:
        """Return the history that `to_plain` listed.

        :raises ValueError, TypeError: if `raw` is not a history.
        """
        raw_events, raw_discarded = checked_list(raw)
        history = cls()
        for row in checked_list(raw_events):
            history.record(_EVENT_CODEC.from_list(row))
        discarded = [_DISCARDED_REVISION_CODEC.from_list(row) for row in checked_list(raw_discarded)]
        history._discarded_revisions = {row.group: row.revision for row in discarded}
        return history
