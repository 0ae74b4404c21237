"""The state of one transfer at the receiver: which piece of another replica's log is needed next."""

from __future__ import annotations

from enum import Enum, auto

from meadowworks.consensus.replicated_log import (
    NO_POSITION,
    Entry,
    EntryPosition,
    FetchedLog,
    LogSnapshot,
    ReplicatedLog,
)
from meadowworks.consensus.transfer_messages import (
    EntriesReply,
    EntriesRequest,
    SnapshotChunkReply,
    SnapshotChunkRequest,
    TransferReply,
    TransferRequest,
)
from meadowworks.consensus.values import digest


class Stage(Enum):
    """The part of the log that is fetched."""

    OWN_ENTRY = auto()  # an entry of the own log that the sender has too
    SNAPSHOT = auto()
    ENTRIES = auto()


class LogDownload:
    """Fetches a log up to a required position, or only a snapshot.

    The own log is the beginning of the fetched one as far as the sender has the same entries. Otherwise the
    transfer starts with the sender's snapshot. What has been received is kept when another replica becomes
    the sender.

    :param own_log: the log of this replica, which may change during the transfer.
    :param required: the position that the log must reach; None fetches the sender's snapshot alone.
    """

    def __init__(self, own_log: ReplicatedLog, required: EntryPosition | None) -> None:
        self.required = required
        self.received_bytes = 0  # of the snapshot, and in total
        self.has_failed = False  # the sender lacks what is required
        self._own_log = own_log
        self._snapshot: LogSnapshot | None = None
        self._chunks: list[bytes] = []
        self._chunk_bytes = 0
        self._chunks_of: tuple[EntryPosition, int, bytes] = (NO_POSITION, 0, b"")
        self._previous = own_log.last_position
        self._step = 1
        self._entries: list[Entry] = []
        can_start_with_own_log = required is not None and own_log.last_index > 0
        self.stage = Stage.OWN_ENTRY if can_start_with_own_log else Stage.SNAPSHOT

    @property
    def fetched(self) -> FetchedLog | None:
        """The result, or None while it is incomplete."""
        if not self.is_complete:
            return None
        return FetchedLog(self._previous, self._snapshot, tuple(self._entries))

    @property
    def is_complete(self) -> bool:
        """Whether what is required has been received."""
        if self.stage is not Stage.ENTRIES:
            return False
        return self.required is None or self._last_position() >= self.required

    def request(self, epoch: int) -> TransferRequest:
        """Return the request for the next piece."""
        if self.stage is Stage.SNAPSHOT:
            return SnapshotChunkRequest(epoch, self._chunks_of[0], self._chunk_bytes)
        return EntriesRequest(epoch, self._last_position())

    def on_reply(self, reply: TransferReply) -> None:
        """Handle a piece; one that was not requested is ignored."""
        self.has_failed = False
        match reply:
            case SnapshotChunkReply() if self.stage is Stage.SNAPSHOT:
                self._on_chunk(reply)
            case EntriesReply(previous) if self.stage is not Stage.SNAPSHOT:
                if previous == self._last_position():
                    self._on_entries(reply)

    def _last_position(self) -> EntryPosition:
        if not self._entries:
            return self._previous
        return EntryPosition(self._entries[-1].term, self._previous.index + len(self._entries))

    def _on_chunk(self, reply: SnapshotChunkReply) -> None:
        identity = reply.position, reply.size_bytes, reply.content_digest
        if identity != self._chunks_of:
            self._chunks_of, self._chunks, self._chunk_bytes = identity, [], 0
        if reply.offset != self._chunk_bytes:
            return
        self._chunks.append(reply.content)
        self._chunk_bytes += len(reply.content)
        self.received_bytes += len(reply.content)
        if self._chunk_bytes >= reply.size_bytes:
            self._on_last_chunk(reply)
        elif not reply.content:
            self.has_failed = True

    def _on_last_chunk(self, reply: SnapshotChunkReply) -> None:
        content = b"".join(self._chunks)
        self._chunks, self._chunk_bytes, self._chunks_of = [], 0, (NO_POSITION, 0, b"")
        if digest(content) != reply.content_digest:  # prevents chunks of two snapshots from being mixed
            self.has_failed = True
            return
        self._snapshot = LogSnapshot(reply.position.index, reply.position.term, content)
        self._previous, self._entries = reply.position, []
        self.stage = Stage.ENTRIES

    def _on_entries(self, reply: EntriesReply) -> None:
        if not reply.is_contained:
            self._on_unknown_entry()
            return
        self.stage = Stage.ENTRIES
        self._entries += reply.entries
        self.received_bytes += sum(len(entry.payload) for entry in reply.entries)
        self.has_failed = not reply.entries and not self.is_complete

    def _on_unknown_entry(self) -> None:
        """Go back in the own log, in growing steps; below its snapshot, start with the sender's."""
        index = self._previous.index - self._step
        is_own_entry = self.stage is Stage.OWN_ENTRY and index >= max(1, self._own_log.snapshot.index)
        if not is_own_entry or index > self._own_log.last_index:
            self._snapshot, self._entries, self.stage = None, [], Stage.SNAPSHOT
            return
        self._previous = EntryPosition(self._own_log.term_at(index), index)
        self._step *= 2
