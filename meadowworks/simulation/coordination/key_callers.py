"""Callers that take numbers, and that write, read and watch keys."""

from __future__ import annotations

import random
from collections.abc import Sequence

from meadowworks.coordination.commands import IssueNumber, PutCell
from meadowworks.coordination.results import (
    CellWritten,
    GroupEvents,
    HistoryDiscarded,
    RevisionMismatch,
)
from meadowworks.simulation.coordination.caller import RETRY_PAUSE_NS, Caller, CallerStep, MakeCall, Pause
from meadowworks.simulation.coordination.history import (
    Call,
    ReadCellCall,
    WatchGroupCall,
)
from meadowworks.simulation.event_scheduler import MS, SECOND

NUMBER_GAP_MS = (20, 250)
READ_GAP_MS = (20, 200)
PUT_GAP_MS = (10, 250)
RESEND_FOR_NS = 4 * SECOND
VALUE_BITS = 64
CONDITIONAL_RATE, CREATION_RATE = 0.5, 0.05
WATCH_WAIT_MS = 2000
WATCH_PAUSE_RATE, WATCH_PAUSE_MS = 0.1, (100, 8000)


class GapCaller(Caller):
    """Makes independent calls with random gaps."""

    gap_ms: tuple[int, int]

    def __init__(
        self, name: str, addresses: Sequence[str], rng: random.Random, calls: list[Call], names: Sequence[str]
    ) -> None:
        super().__init__(name, addresses, rng, calls)
        self._names = names
        self._next_ns = 0

    def next_step(self, now_ns: int) -> CallerStep:
        """Make the next call when it is due."""
        if now_ns < self._next_ns:
            return Pause(self._next_ns)
        return MakeCall(self.choose(self.random.choice(self._names)))

    def choose(self, name: str) -> IssueNumber | ReadCellCall:
        """Return the call for a name."""
        raise NotImplementedError

    def on_outcome(self, now_ns: int, call: Call) -> None:  # noqa: ARG002  (the history has the call)
        """Schedule the next call."""
        self._next_ns = now_ns + self.random.randrange(*self.gap_ms) * MS


class NumberCaller(GapCaller):
    """Takes numbers."""

    gap_ms = NUMBER_GAP_MS

    def choose(self, name: str) -> IssueNumber:
        """Return the call for a name."""
        return IssueNumber(name)


class ReadCaller(GapCaller):
    """Reads keys."""

    gap_ms = READ_GAP_MS

    def choose(self, name: str) -> ReadCellCall:
        """Return the call for a name."""
        return ReadCellCall(name)


class PutCaller(Caller):
    """Puts unique values to keys, about half of them under the condition of a revision.

    A put without a clear answer is resent with the same value for some seconds.
    """

    def __init__(
        self, name: str, addresses: Sequence[str], rng: random.Random, calls: list[Call], keys: Sequence[str]
    ) -> None:
        super().__init__(name, addresses, rng, calls)
        self._keys = keys
        self._revisions: dict[str, int] = {}  # the latest that this caller was shown, by key
        self._put: PutCell | None = None
        self._resend_until_ns = 0
        self._next_ns = 0

    def next_step(self, now_ns: int) -> CallerStep:
        """Resend the put in doubt, or make the next one when it is due."""
        if now_ns < self._next_ns:
            return Pause(self._next_ns)
        if self._put is None:
            self._put = self._new_put()
            self._resend_until_ns = now_ns + RESEND_FOR_NS
        return MakeCall(self._put)

    def on_outcome(self, now_ns: int, call: Call) -> None:
        """Handle the end of a put."""
        put, outcome = self._put, call.outcome
        assert put is not None
        if isinstance(outcome, CellWritten | RevisionMismatch):
            self._revisions[put.name] = outcome.revision
        elif now_ns < self._resend_until_ns:
            self._next_ns = now_ns + RETRY_PAUSE_NS
            return
        self._put = None
        self._next_ns = now_ns + self.random.randrange(*PUT_GAP_MS) * MS

    def _new_put(self) -> PutCell:
        name = self.random.choice(self._keys)
        draw, expected = self.random.random(), None
        if draw < CREATION_RATE:
            expected = 0
        elif draw < CONDITIONAL_RATE:
            expected = self._revisions.get(name, 0)
        return PutCell(name, f"{self.random.getrandbits(VALUE_BITS):016x}", expected)


class WatchCaller(Caller):
    """Watches a group and resumes from the revision that it received last; sometimes it pauses before."""

    def __init__(
        self, name: str, addresses: Sequence[str], rng: random.Random, calls: list[Call], group: str
    ) -> None:
        super().__init__(name, addresses, rng, calls)
        self.group = group
        self.saved_revision = 0
        self._next_ns = 0

    def next_step(self, now_ns: int) -> CallerStep:
        """Watch from the saved revision."""
        if now_ns < self._next_ns:
            return Pause(self._next_ns)
        return MakeCall(WatchGroupCall(self.group, self.saved_revision, WATCH_WAIT_MS))

    def on_outcome(self, now_ns: int, call: Call) -> None:
        """Save the revision of an answer; start over if the history has been discarded."""
        match call.outcome:
            case GroupEvents(revision=revision):
                self.saved_revision = revision
            case HistoryDiscarded():
                self.saved_revision = 0
        self._next_ns = now_ns + RETRY_PAUSE_NS
        if self.random.random() < WATCH_PAUSE_RATE:
            self._next_ns = now_ns + self.random.randrange(*WATCH_PAUSE_MS) * MS
