"""Replies of a replica whose log another one reads."""

from __future__ import annotations

from meadowworks.consensus.replicated_log import EntryPosition, ReplicatedLog
from meadowworks.consensus.transfer_messages import (
    EntriesReply,
    EntriesRequest,
    SnapshotChunkReply,
    SnapshotChunkRequest,
    TransferReply,
    TransferRequest,
)

# Of a snapshot or of entries in one reply; a single larger entry is sent whole. A reply of this size is
# encoded and sent in a small part of the time-out of a request.
MAX_PIECE_BYTES = 256 * 1024


def reply_to_reader(log: ReplicatedLog, request: TransferRequest) -> TransferReply:
    """Return a piece of the log."""
    match request:
        case SnapshotChunkRequest():
            return _snapshot_chunk(log, request)
        case EntriesRequest():
            return _entries(log, request)


def _snapshot_chunk(log: ReplicatedLog, request: SnapshotChunkRequest) -> SnapshotChunkReply:
    retained = log.retain_snapshot()
    snapshot = retained.snapshot
    position = EntryPosition(snapshot.term, snapshot.index)
    offset = request.offset if request.position == position else 0
    content = snapshot.content[offset : offset + MAX_PIECE_BYTES]
    return SnapshotChunkReply(position, len(snapshot.content), retained.content_digest, offset, content)


def _entries(log: ReplicatedLog, request: EntriesRequest) -> EntriesReply:
    previous = request.previous
    if not log.contains(previous):
        return EntriesReply(previous, False, ())
    if log.retained is not None:
        log.retained.idle_checks = 0
    return EntriesReply(previous, True, log.entries_after(previous.index, MAX_PIECE_BYTES))
