"""Effects that a replica requests from its driver: writes, messages, completions and log entries.

The driver carries them out in order and reports their results to the replica.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from meadowworks.consensus.messages import Reply, Request
from meadowworks.consensus.replicated_log import LogUpdate
from meadowworks.consensus.values import AcceptorSlot, CommittedValue, Term

# -- outcomes of operations


@dataclass(frozen=True, slots=True)
class Committed:
    """The value was chosen; it is in force or has been superseded by a later version."""


@dataclass(frozen=True, slots=True)
class Conflict:
    """A different value was chosen for this version."""


@dataclass(frozen=True, slots=True)
class Undecided:
    """The operation has no known result: its value may or may not be chosen.

    `retry_after_ns` is the delay after which the client should retry.
    """

    retry_after_ns: int


OperationOutcome = Committed | Conflict | Undecided | CommittedValue

# -- effects


@dataclass(frozen=True, slots=True)
class StateUpdate:
    """The changes that one transaction writes to the disk.

    `metadata` holds all metadata fields of the acceptor, or is None if they are unchanged. `history` holds
    the digests to add; digests of versions below `oldest_history_version` are removed. `slots` holds the
    slots to write; a version whose slot is None is removed. `log` holds the changes of the replicated log.
    """

    metadata: Mapping[str, Any] | None
    committed: CommittedValue | None
    history: Mapping[int, bytes]
    oldest_history_version: int
    slots: Mapping[int, AcceptorSlot | None]
    log: LogUpdate | None = None

    def value_bytes(self) -> int:
        """Return the size of the values, snapshots and log entries to write."""
        slot_bytes = sum(len(slot.value) for slot in self.slots.values() if slot is not None)
        committed_bytes = 0 if self.committed is None else len(self.committed.value)
        return committed_bytes + slot_bytes + (0 if self.log is None else self.log.content_bytes())


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
    """Send a reply from `member_id` to the request that came with `ticket`."""

    ticket: Any  # an opaque value of the driver
    member_id: str
    reply: Reply


@dataclass(frozen=True, slots=True)
class CompleteOperation:
    """Report the outcome of an operation to the waiter `waiter_id`."""

    waiter_id: int
    outcome: OperationOutcome


@dataclass(frozen=True, slots=True)
class ValueCommitted:
    """Apply this value, the newest that is known to be chosen."""

    committed: CommittedValue


@dataclass(frozen=True, slots=True)
class LogEntry:
    """Log an event with its fields."""

    event: str
    fields: Mapping[str, str | int]


# -- effects of the replicated log


@dataclass(frozen=True, slots=True)
class CommittedEntry:
    """A committed entry of the log; the payload is empty if the entry only begins a leader's term."""

    index: int
    term: Term
    payload: bytes


@dataclass(frozen=True, slots=True)
class ApplyEntries:
    """Apply committed entries to the state machine, in order. Each index is applied once per process."""

    entries: tuple[CommittedEntry, ...]


@dataclass(frozen=True, slots=True)
class RestoreSnapshot:
    """Replace the state machine by a snapshot that contains all entries up to `index`."""

    index: int
    content: bytes


@dataclass(frozen=True, slots=True)
class LeaderChanged:
    """The leader, or its term, has changed; `address` is empty while there is none."""

    term: Term
    address: str
    is_own: bool


@dataclass(frozen=True, slots=True)
class CompleteBarrier:
    """Report the outcome of a read barrier to the waiter `waiter_id`.

    Every entry that was committed before the barrier began has an index of at most `index` and has been
    applied here. `index` is None if the barrier failed, for example because this replica is not the leader.
    """

    waiter_id: int
    index: int | None


LogEffect = ApplyEntries | RestoreSnapshot | LeaderChanged | CompleteBarrier
Effect = Persist | SendRequest | SendReply | CompleteOperation | ValueCommitted | LogEntry | LogEffect
