"""The order of writes and of the items that depend on them.

One write is in flight at a time. An item that depends on an acceptor's changes waits until they are on disk.
Such items are replies, the replica's own votes, and the start of the replica.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.effects import Persist, StateUpdate
from meadowworks.consensus.log_host import OwnAppend, OwnVote
from meadowworks.consensus.messages import Reply
from meadowworks.consensus.metadata import acceptor_metadata
from meadowworks.consensus.timing import (
    DISK_FAILURE_TIMEOUT_NS,
    DISK_FAILURE_TIMEOUT_PER_BYTE_NS,
    WRITE_RETRY_DELAY_NS,
)
from meadowworks.consensus.values import AcceptorSlot

# Bounds the items that wait for writes; above it, requests are rejected. Some dozens of members send less
# while a slow disk syncs.
MAX_AWAITING_WRITE = 1024


@dataclass(frozen=True, slots=True)
class IncarnationPersisted:
    """The incarnation is on disk, so requests may be sent."""


@dataclass(frozen=True, slots=True)
class PeerReply:
    """The reply to another replica's request."""

    ticket: Any
    member_id: str
    reply: Reply


@dataclass(frozen=True, slots=True)
class OwnReply:
    """The reply of the replica's own acceptor to a request of an operation."""

    operation_id: int
    round_number: int
    member_id: str
    reply: Reply


Deferred = IncarnationPersisted | PeerReply | OwnReply | OwnVote | OwnAppend


class WriteQueue:
    """Issues writes one at a time and releases dependent items once their writes are on disk."""

    def __init__(self, acceptor: Acceptor) -> None:
        self._acceptor = acceptor
        self.last_write_id = self.last_written_id = 0
        self.write_in_flight_id = 0  # 0: none
        self.update_in_flight: StateUpdate | None = None
        self.write_began_ns = 0  # when the write in flight was first issued
        self.write_retry_ns = 0  # when to retry a rejected write; 0: no retry is scheduled
        self.awaiting_write: deque[tuple[int, Deferred]] = deque()  # with the id of the write each depends on
        self.ready: deque[Deferred] = deque()
        self.persisted_history_versions = set(acceptor.history)

    def defer(self, item: Deferred) -> None:
        """Hold an item until all current changes of the acceptor are on disk."""
        if self._acceptor.has_unwritten_changes():
            self.awaiting_write.append((self.last_write_id + 1, item))
        elif self.write_in_flight_id:
            self.awaiting_write.append((self.write_in_flight_id, item))
        else:
            self.ready.append(item)

    def is_full(self) -> bool:
        """Return whether the number of waiting items has reached its limit."""
        return len(self.awaiting_write) >= MAX_AWAITING_WRITE

    def next_write(self, now_ns: int) -> Persist | None:
        """Return the next write if there are changes and no write is in flight."""
        if self.write_in_flight_id or not self._acceptor.has_unwritten_changes():
            return None
        self.last_write_id += 1
        self.write_began_ns = now_ns
        self.write_in_flight_id, self.update_in_flight = self.last_write_id, self.collect_update()
        return Persist(self.last_write_id, self.update_in_flight)

    def on_persisted(self, write_id: int) -> None:
        """Release the items that depend on this write or an earlier one."""
        self.last_written_id, self.write_in_flight_id, self.update_in_flight = write_id, 0, None
        while self.awaiting_write and self.awaiting_write[0][0] <= write_id:
            self.ready.append(self.awaiting_write.popleft()[1])

    def on_persist_failed(self, now_ns: int) -> None:
        """Schedule a retry of the write in flight, which the disk rejected."""
        self.write_retry_ns = now_ns + WRITE_RETRY_DELAY_NS

    def due_retry(self, now_ns: int) -> Persist | None:
        """Return the rejected write if its retry is due."""
        if not self.write_retry_ns or now_ns < self.write_retry_ns or self.update_in_flight is None:
            return None
        self.write_retry_ns = 0
        return Persist(self.write_in_flight_id, self.update_in_flight)

    def disk_has_failed(self, now_ns: int) -> bool:
        """Return whether the write in flight has been rejected or incomplete for too long."""
        late_ns = now_ns - self.write_began_ns - DISK_FAILURE_TIMEOUT_NS
        if self.update_in_flight is None or late_ns <= 0:
            return False
        return late_ns > DISK_FAILURE_TIMEOUT_PER_BYTE_NS * self.update_in_flight.value_bytes()

    def on_stall(self, now_ns: int) -> None:
        """Restart the timeout of the write in flight after this process was suspended."""
        self.write_began_ns = now_ns

    def collect_update(self) -> StateUpdate:
        """Return a copy of the acceptor's changes since the last write, and mark them as collected."""
        acceptor = self._acceptor
        metadata = acceptor_metadata(acceptor) if acceptor.metadata_changed else None
        committed, added = None, {}
        if acceptor.committed_changed:
            committed = acceptor.committed
            added = {v: d for v, d in acceptor.history.items() if v not in self.persisted_history_versions}
        self.persisted_history_versions = set(acceptor.history)
        slots = {
            v: AcceptorSlot(s.promised, s.accepted, s.value) if (s := acceptor.slots.get(v)) else None
            for v in acceptor.changed_slots
        }
        acceptor.changed_slots, acceptor.metadata_changed, acceptor.committed_changed = set(), False, False
        log_update = acceptor.log.collect_update() if acceptor.log is not None else None
        return StateUpdate(metadata, committed, added, min(acceptor.history, default=0), slots, log_update)
