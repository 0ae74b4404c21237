"""Histories of coordination calls: who called what, when, and with which outcome.

Times are nanoseconds of the simulation. The arguments and results are those of `meadowworks.coordination`,
with two calls that are not commands and the outcomes that only exist on the wire.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from meadowworks.coordination.commands import AcquireLock, IssueNumber, PutCell, ReleaseLock, RenewLock
from meadowworks.coordination.results import (
    Cell,
    CellWritten,
    GroupEvents,
    HistoryDiscarded,
    LockGranted,
    LockLost,
    LockRefused,
    LockReleased,
    LockRenewed,
    NumberIssued,
    RevisionMismatch,
)

GROUP_SEPARATOR = "."

# -- calls that are not commands of the log


@dataclass(frozen=True, slots=True)
class ReadCellCall:
    """Read the value and the revision of a key."""

    name: str


@dataclass(frozen=True, slots=True)
class WatchGroupCall:
    """Wait for puts to a group above the revision `after`; 0 asks for the present revision only."""

    group: str
    after: int
    wait_ms: int


Arguments = AcquireLock | RenewLock | ReleaseLock | IssueNumber | PutCell | ReadCellCall | WatchGroupCall

# -- outcomes that are not results of the state machine


@dataclass(frozen=True, slots=True)
class KeyMissing:
    """404: the key does not exist."""


@dataclass(frozen=True, slots=True)
class Overloaded:
    """429: the call has not taken effect and never will."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """503: the call has not taken effect and never will."""


@dataclass(frozen=True, slots=True)
class InternalFailure:
    """500 or a failed connection: the call may have taken effect, or may do so later."""


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """Silence: the call may have taken effect, or may do so later."""


Outcome = (
    LockGranted
    | LockRefused
    | LockRenewed
    | LockLost
    | LockReleased
    | NumberIssued
    | CellWritten
    | RevisionMismatch
    | Cell
    | KeyMissing
    | GroupEvents
    | HistoryDiscarded
    | Overloaded
    | Unavailable
    | InternalFailure
    | NoAnswer
)


def is_in_doubt(outcome: Outcome) -> bool:
    """Return whether a call with this outcome may or may not have taken effect."""
    return isinstance(outcome, InternalFailure | NoAnswer)


def is_turned_away(outcome: Outcome) -> bool:
    """Return whether a call with this outcome has not taken effect and never will."""
    return isinstance(outcome, RevisionMismatch | Overloaded | Unavailable)


def group_of(name: str) -> str:
    """Return the group of a key: its name up to the first dot, with the dot."""
    prefix, separator, _ = name.partition(GROUP_SEPARATOR)
    return prefix + separator


@dataclass(frozen=True, slots=True)
class Call:
    """A call with its outcome; `answered_ns` is None exactly if there was no answer."""

    caller: str
    arguments: Arguments
    sent_ns: int
    answered_ns: int | None
    outcome: Outcome

    def answered_before(self, time_ns: int) -> bool:
        """Return whether the answer arrived before a time."""
        return self.answered_ns is not None and self.answered_ns < time_ns


@dataclass(frozen=True, slots=True)
class HistoryBounds:
    """The bounds that the rules refer to."""

    history_ns: int
    recovery_ns: int


@dataclass(slots=True)
class CallHistory:
    """The calls of a run in any order.

    `closing_ns` is the time at which the last fault has ended and the calls that close the run begin, or
    None if the run is not closed by such calls. Calls sent from then on are closing calls: each of their
    (caller, arguments) is repeated until it is answered, and each lock is asked for by one caller only.
    """

    bounds: HistoryBounds
    calls: list[Call] = field(default_factory=list)
    closing_ns: int | None = None

    def closing_calls(self) -> Iterator[Call]:
        """Return the calls that close the run."""
        closing_ns = self.closing_ns
        return (call for call in self.calls if closing_ns is not None and call.sent_ns >= closing_ns)
