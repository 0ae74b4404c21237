"""The ages of puts by the clock of the leader, which decide when their events may be discarded."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

NOTE_INTERVAL_NS = 1_000_000_000


class PutNote(NamedTuple):
    """The log index of the latest put that had been applied at a time."""

    time_ns: int
    put_index: int


class PutAges:
    """Notes of the latest put, one per second at most.

    A new leader starts with no notes, so it counts a put as younger than it is, never as older.
    """

    def __init__(self) -> None:
        self._notes: deque[PutNote] = deque()
        self._last_note_ns: int | None = None
        self._last_index = 0

    def restart(self) -> None:
        """Forget all notes."""
        self._notes.clear()
        self._last_note_ns = None
        self._last_index = 0

    def note(self, now_ns: int, latest_put_index: int) -> None:
        """Note the latest put, unless a note was taken less than a second ago."""
        if self._last_note_ns is not None and now_ns - self._last_note_ns < NOTE_INTERVAL_NS:
            return
        self._last_note_ns = now_ns
        if latest_put_index > self._last_index:
            self._last_index = latest_put_index
            self._notes.append(PutNote(now_ns, latest_put_index))

    def latest_older_than(self, now_ns: int, age_ns: int) -> int:
        """Return the index of the latest put that is at least this old and has not been taken, or 0."""
        old = (note.put_index for note in self._notes if now_ns - note.time_ns >= age_ns)
        return max(old, default=0)

    def take_older_than(self, now_ns: int, age_ns: int) -> int | None:
        """Return the index of the latest put that is at least this old, once; None if there is no new one."""
        index = None
        while self._notes and now_ns - self._notes[0].time_ns >= age_ns:
            index = self._notes.popleft().put_index
        return index
