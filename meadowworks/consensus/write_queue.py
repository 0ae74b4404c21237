"""The order of writes and of what rests on them.

One write is under way at a time. Whatever rests on an acceptor's changes waits here until the write that
holds them is on the disk: a reply, an own vote, the start of the replica.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.effects import Persist, StateUpdate
from meadowworks.consensus.messages import Reply
from meadowworks.consensus.metadata import acceptor_metadata
from meadowworks.consensus.timing import DISK_FAILURE_TIMEOUT_NS, WRITE_RETRY_DELAY_NS
from meadowworks.consensus.values import AcceptorSlot

# Replies that wait for a write: what some dozens of members send while a slow disk syncs.
MAX_AWAITING_WRITE = 1024


@dataclass(frozen=True, slots=True)
class IncarnationPersisted:
    """The incarnation is on the disk: requests may leave."""


@dataclass(frozen=True, slots=True)
class PeerReply:
    """The reply to another replica's request."""

    ticket: Any
    member_id: str
    reply: Reply


@dataclass(frozen=True, slots=True)
class OwnReply:
    """The own acceptor's reply to a request of an operation."""

    operation_id: int
    round_number: int
    member_id: str
    reply: Reply


Deferred = IncarnationPersisted | PeerReply | OwnReply


class WriteQueue:
    """Hands out writes one after another, and what rests on them once they are on the disk."""

    def __init__(self, acceptor: Acceptor) -> None:
        self._acceptor = acceptor
        self.last_write_id = self.last_written_id = 0
        self.write_in_flight_id = 0  # 0: none
        self.update_in_flight: StateUpdate | None = None
        self.write_began_ns = 0  # when the write in flight was first handed out
        self.write_retry_ns = 0  # when a write that was refused is tried again; 0: none was
        self.awaiting_write: deque[tuple[int, Deferred]] = deque()  # and the id of the write
        self.ready: deque[Deferred] = deque()
        self.persisted_history_versions = set(acceptor.history)

    def defer(self, item: Deferred) -> None:
        """Keeps what rests on all that the acceptor holds until that is on the disk."""
        if self._acceptor.has_unwritten_changes():
            self.awaiting_write.append((self.last_write_id + 1, item))
        elif self.write_in_flight_id:
            self.awaiting_write.append((self.write_in_flight_id, item))
        else:
            self.ready.append(item)

    def is_full(self) -> bool:
        """Whether so much waits for a write that no more is taken on."""
        return len(self.awaiting_write) >= MAX_AWAITING_WRITE

    def next_write(self, now_ns: int) -> Persist | None:
        """The next write, if there is anything to write and none is under way."""
        if self.write_in_flight_id or not self._acceptor.has_unwritten_changes():
            return None
        self.last_write_id += 1
        self.write_began_ns = now_ns
        self.write_in_flight_id, self.update_in_flight = self.last_write_id, self.collect_update()
        return Persist(self.last_write_id, self.update_in_flight)

    def on_persisted(self, write_id: int) -> None:
        """A write, and all before it, are on the disk."""
        self.last_written_id, self.write_in_flight_id, self.update_in_flight = write_id, 0, None
        while self.awaiting_write and self.awaiting_write[0][0] <= write_id:
            self.ready.append(self.awaiting_write.popleft()[1])

    def on_persist_failed(self, now_ns: int) -> None:
        """The disk refused the write: what rests on it waits, and it is tried again."""
        self.write_retry_ns = now_ns + WRITE_RETRY_DELAY_NS

    def due_retry(self, now_ns: int) -> Persist | None:
        """The write that was refused, if it is time to try it again."""
        if not self.write_retry_ns or now_ns < self.write_retry_ns or self.update_in_flight is None:
            return None
        self.write_retry_ns = 0
        return Persist(self.write_in_flight_id, self.update_in_flight)

    def disk_has_failed(self, now_ns: int) -> bool:
        """Whether a write was refused, or has not ended, for so long that the disk counts as unusable."""
        return bool(self.write_in_flight_id) and now_ns - self.write_began_ns > DISK_FAILURE_TIMEOUT_NS

    def on_stall(self, now_ns: int) -> None:
        """This process was suspended, and with it the write in flight: its time begins anew."""
        self.write_began_ns = now_ns

    def collect_update(self) -> StateUpdate:
        """What the acceptor has changed since the last write, as a copy."""
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
        return StateUpdate(metadata, committed, added, min(acceptor.history, default=0), slots)
