"""What a replica wants done, in order: writes, sends, answers. Its driver does it and reports back."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from meadowworks.consensus.messages import Reply, Request
from meadowworks.consensus.values import AcceptorSlot, CommittedValue

# -- how an operation ended


@dataclass(frozen=True, slots=True)
class Committed:
    """The value is in force, or was superseded by a later version and has no effect."""


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another value was chosen for this version."""


@dataclass(frozen=True, slots=True)
class Undecided:
    """Not decided in time, or not known here: it may be in force.

    `retry_after_ns`: when to ask again.
    """

    retry_after_ns: int


OperationOutcome = Committed | Conflict | Undecided | CommittedValue

# -- effects


@dataclass(frozen=True, slots=True)
class StateUpdate:
    """What a write changes on the disk, in one transaction.

    `metadata`: all of the acceptor's own fields, or none of them has changed. `history`: digests that are
    added; those below `oldest_history_version` are removed. `slots`: a version without a slot is removed.
    """

    metadata: Mapping[str, Any] | None
    committed: CommittedValue | None
    history: Mapping[int, bytes]
    oldest_history_version: int
    slots: Mapping[int, AcceptorSlot | None]


@dataclass(frozen=True, slots=True)
class Persist:
    """Write an update to the disk, then call `Replica.on_persisted` or `Replica.on_persist_failed`."""

    write_id: int
    update: StateUpdate


@dataclass(frozen=True, slots=True)
class SendRequest:
    """Send a request, then call `Replica.on_reply` or `Replica.on_request_failed`."""

    request_id: int
    address: str
    request: Request


@dataclass(frozen=True, slots=True)
class SendReply:
    """Answer the request that came with `ticket`; `member_id` is who answers."""

    ticket: Any  # the driver's own, handed back as it is
    member_id: str
    reply: Reply


@dataclass(frozen=True, slots=True)
class CompleteOperation:
    """Tell who waits under `waiter_id` how its operation ended."""

    waiter_id: int
    outcome: OperationOutcome


@dataclass(frozen=True, slots=True)
class ValueCommitted:
    """Put this value in force: it is the newest that is known to be chosen."""

    committed: CommittedValue


@dataclass(frozen=True, slots=True)
class LogEntry:
    """Log this event with its fields."""

    event: str
    fields: Mapping[str, str | int]


Effect = Persist | SendRequest | SendReply | CompleteOperation | ValueCommitted | LogEntry
