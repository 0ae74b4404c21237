"""Messages that transfer a replicated log in pieces of bounded size.

The receiver asks for each piece, so that a lost piece costs one request and the sender keeps no state for the
transfer apart from the snapshot that is being read. Snapshots and entries are identified by their positions,
so it does not matter in which epoch the sender and the receiver are.
"""

from __future__ import annotations

from dataclasses import dataclass

from meadowworks.consensus.replicated_log import Entry, EntryPosition


@dataclass(frozen=True, slots=True)
class SnapshotChunkRequest:
    """Requests the bytes of a snapshot from an offset on.

    `position` is that of the snapshot which the requester has begun to receive, or `NO_POSITION`.
    """

    epoch: int
    position: EntryPosition
    offset: int


@dataclass(frozen=True, slots=True)
class SnapshotChunkReply:
    """Bytes of the snapshot at `position`; another snapshot than requested begins with offset 0.

    `size_bytes` and `content_digest` are those of the whole content. `position` is `NO_POSITION` if the
    sender has no snapshot.
    """

    position: EntryPosition
    size_bytes: int
    content_digest: bytes
    offset: int
    content: bytes


@dataclass(frozen=True, slots=True)
class EntriesRequest:
    """Requests the entries after a position."""

    epoch: int
    previous: EntryPosition


@dataclass(frozen=True, slots=True)
class EntriesReply:
    """Entries after `previous`, about as many bytes as one append request has at most.

    `is_contained`: the sender's log contains `previous`; without it there are no entries.
    """

    previous: EntryPosition
    is_contained: bool
    entries: tuple[Entry, ...]


TransferRequest = SnapshotChunkRequest | EntriesRequest
TransferReply = SnapshotChunkReply | EntriesReply
TRANSFER_REPLY_TYPES = (SnapshotChunkReply, EntriesReply)
