"""The simulated disk, and requests in flight."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.effects import (
    Persist,
    StateUpdate,
)
from meadowworks.consensus.messages import (
    Request,
)
from meadowworks.consensus.metadata import load_acceptor
from meadowworks.consensus.replicated_log import NO_SNAPSHOT, LogUpdate, ReplicatedLog, StoredLog
from meadowworks.consensus.values import (
    NOTHING_COMMITTED,
    AcceptorSlot,
    CommittedValue,
)


@dataclass(slots=True)
class Disk:
    """The durable state of a replica, and the write in flight."""

    metadata: dict[str, Any] | None = None
    committed: CommittedValue = NOTHING_COMMITTED
    history: dict[int, bytes] | None = None
    slots: dict[int, AcceptorSlot] | None = None
    write_in_flight: Persist | None = None
    log: StoredLog | None = None

    def save(self, update: StateUpdate) -> None:
        """Apply a write to the durable state."""
        self.history, self.slots = self.history or {}, self.slots or {}
        if update.metadata is not None:
            self.metadata = dict(update.metadata)
        if update.committed is not None:
            self.committed = update.committed
            self.history = {
                version: data
                for version, data in {**self.history, **update.history}.items()
                if version >= update.oldest_history_version
            }
        for version, slot in update.slots.items():
            if slot is None:
                self.slots.pop(version, None)
            else:
                self.slots[version] = AcceptorSlot(slot.promised, slot.accepted, slot.value)
        if update.log is not None:
            self.log = updated_log(self.log, update.log)

    def acceptor(self, address: str) -> Acceptor:
        """Return the acceptor that a process loads from the disk at its start."""
        return load_acceptor(
            self.metadata,
            new_member_id="",
            address=address,
            seeds=(),
            bootstrap=False,
            voting=True,
            committed=self.committed,
            history=self.history,
            slots={
                version: AcceptorSlot(slot.promised, slot.accepted, slot.value)
                for version, slot in (self.slots or {}).items()
            },
            log=None if self.log is None else ReplicatedLog.from_stored(self.log),
        )


def updated_log(stored: StoredLog | None, update: LogUpdate) -> StoredLog:
    """Return the stored log after an update."""
    metadata = update.metadata
    stored = stored or StoredLog(metadata, NO_SNAPSHOT, ())
    snapshot = stored.snapshot if update.snapshot is None else update.snapshot
    entries = dict(enumerate(stored.entries, stored.metadata.base.index + 1))
    entries = {i: e for i, e in entries.items() if metadata.base.index < i < update.first_changed_index}
    first_index = max(update.first_changed_index, metadata.base.index + 1)
    entries |= dict(enumerate(update.entries, first_index))
    return StoredLog(metadata, snapshot, tuple(entry for _, entry in sorted(entries.items())))


@dataclass(frozen=True, slots=True)
class RequestInFlight:
    """A request in flight.

    `source` and `destination` are replica indices; `incarnation` is that of the source.
    """

    source: int
    incarnation: int
    request_id: int
    destination: int
    request: Request
