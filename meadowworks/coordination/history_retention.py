"""Which events the leader keeps, by its clock: young ones, and those that callers may resume from.

A caller that has received a revision may resume its watch from there for a guaranteed time, however old the
put with that revision was when it was received.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from meadowworks.coordination.put_ages import PutAges

# Events are kept this many times longer than the guaranteed time. An answer whose revisions are known to be
# young therefore needs no retention (`watch_service`).
MIN_AGE_FACTOR = 2
DELIVERY_FRACTION = 4  # an answer is received within the guaranteed time divided by this
BUCKET_NS = 1_000_000_000
NO_INDEX = 0


@dataclass(slots=True)
class RetainedEvents:
    """Events from a log index on that are kept until a time."""

    until_ns: int
    index: int


class HistoryRetention:
    """Decides up to which log index the leader may have events discarded.

    A new leader starts without ages, so it keeps everything for the minimum age of an event. That covers what
    its predecessors have retained.

    :param history_ns: the guaranteed time.
    """

    def __init__(self, history_ns: int) -> None:
        self._retention_ns = history_ns + history_ns // DELIVERY_FRACTION
        self._min_age_ns = MIN_AGE_FACTOR * history_ns
        self._ages = PutAges()
        self._retained: deque[RetainedEvents] = deque()  # in the order of their ends, one per bucket
        self._old_index = self._discarded_index = NO_INDEX

    def restart(self) -> None:
        """Forget all ages, when the leader or its term changes."""
        self._ages.restart()
        self._retained.clear()
        self._old_index = self._discarded_index = NO_INDEX

    def note_put(self, now_ns: int, latest_put_index: int) -> None:
        """Record the latest put that has been applied."""
        self._ages.note(now_ns, latest_put_index)

    def retain(self, now_ns: int, index: int) -> bool:
        """Keep the events from a log index on, as a caller may resume before them.

        :returns: false if the event at the index is being discarded.
        """
        if index <= self._discarded_index:
            return False
        # The end is rounded up, so that there are few ends whatever the number of calls.
        until_ns = ((now_ns + self._retention_ns) // BUCKET_NS + 1) * BUCKET_NS
        if self._retained and self._retained[-1].until_ns >= until_ns:
            self._retained[-1].index = min(self._retained[-1].index, index)
        else:
            self._retained.append(RetainedEvents(until_ns, index))
        return True

    def must_keep(self, now_ns: int, index: int) -> bool:
        """Return whether a caller may be entitled to resume before the event at an index."""
        self._expire(now_ns)
        if any(retained.index <= index for retained in self._retained):
            return True
        return index > max(self._old_index, self._ages.latest_older_than(now_ns, self._retention_ns))

    def discardable_index(self, now_ns: int) -> int | None:
        """Return the log index up to which events may be discarded now; None if there is no later one."""
        self._old_index = max(
            self._old_index, self._ages.take_older_than(now_ns, self._min_age_ns) or NO_INDEX
        )
        self._expire(now_ns)
        first_retained = min((retained.index for retained in self._retained), default=self._old_index + 1)
        index = min(self._old_index, first_retained - 1)
        return index if index > self._discarded_index else None

    def on_discard_proposed(self, index: int) -> None:
        """Record that the events up to an index are being discarded."""
        self._discarded_index = index

    def _expire(self, now_ns: int) -> None:
        while self._retained and self._retained[0].until_ns <= now_ns:
            self._retained.popleft()
