"""Commands of the coordination state machine.

The log contains encoded commands (`command_codec`), so fields must only be added at the end, with defaults.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AcquireLock:
    """Acquire a lock for `hold_ms`, or extend the hold of the same owner."""

    name: str
    owner: str
    hold_ms: int


@dataclass(frozen=True, slots=True)
class RenewLock:
    """Extend the hold with this fence to `hold_ms` from now."""

    name: str
    owner: str
    fence: int
    hold_ms: int


@dataclass(frozen=True, slots=True)
class ReleaseLock:
    """Release the hold with this fence; any other hold stays."""

    name: str
    owner: str
    fence: int


@dataclass(frozen=True, slots=True)
class ExpireLock:
    """Remove a hold unless it was extended after the log index `extended_at`."""

    name: str
    extended_at: int


@dataclass(frozen=True, slots=True)
class IssueNumber:
    """Issue a number that exceeds all earlier ones of this name."""

    name: str


@dataclass(frozen=True, slots=True)
class PutCell:
    """Write a value to a key.

    `expected_revision`: the revision that the key must have, 0 if it must not exist, None for any.
    """

    name: str
    value: str
    expected_revision: int | None = None


@dataclass(frozen=True, slots=True)
class DiscardHistory:
    """Discard the events of puts that were applied at this log index or before."""

    up_to_index: int


Command = AcquireLock | RenewLock | ReleaseLock | ExpireLock | IssueNumber | PutCell | DiscardHistory
