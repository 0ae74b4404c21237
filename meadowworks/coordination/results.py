"""Results of commands and queries of the coordination state machine."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LockGranted:
    """The caller holds the lock; `fence` exceeds the fences of all earlier holders."""

    fence: int


@dataclass(frozen=True, slots=True)
class LockRefused:
    """Another owner holds the lock."""


@dataclass(frozen=True, slots=True)
class LockRenewed:
    """The hold was extended."""


@dataclass(frozen=True, slots=True)
class LockLost:
    """The caller does not hold the lock under this fence."""


@dataclass(frozen=True, slots=True)
class LockReleased:
    """The caller does not hold the lock any more, whether it did before or not."""


@dataclass(frozen=True, slots=True)
class NumberIssued:
    """The issued number."""

    value: int


@dataclass(frozen=True, slots=True)
class CellWritten:
    """The put took effect at this revision, now or when it arrived first."""

    revision: int


@dataclass(frozen=True, slots=True)
class RevisionMismatch:
    """The put did not take effect; the key has this revision, or 0 if it does not exist."""

    revision: int


@dataclass(frozen=True, slots=True)
class TooManyNames:
    """The command did not take effect, because it would exceed a limit of the state machine.

    This is no promise: a late copy of the command takes effect if the state is below the limit by then.
    """


@dataclass(frozen=True, slots=True)
class Done:
    """The command has no other result."""


Result = (
    LockGranted
    | LockRefused
    | LockRenewed
    | LockLost
    | LockReleased
    | NumberIssued
    | CellWritten
    | RevisionMismatch
    | TooManyNames
    | Done
)

# -- queries


@dataclass(frozen=True, slots=True)
class Hold:
    """A held lock; `extended_at` is the log index of its latest grant or renewal.

    `fence` was returned for the owner's latest acquisition. `first_fence` was returned for the first one of
    this hold; it is 0 if there was only one.
    """

    name: str
    owner: str
    fence: int
    hold_ms: int
    extended_at: int
    first_fence: int = 0


@dataclass(frozen=True, slots=True)
class Cell:
    """The value of a key and the revision of its latest put."""

    value: str
    revision: int


@dataclass(frozen=True, slots=True)
class CellEvent:
    """A put: the key, the value and the revision."""

    name: str
    value: str
    revision: int


@dataclass(frozen=True, slots=True)
class GroupEvents:
    """All puts of a group above the queried revision and up to `revision`, in rising order."""

    events: tuple[CellEvent, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class HistoryDiscarded:
    """Puts above the queried revision have been discarded."""
