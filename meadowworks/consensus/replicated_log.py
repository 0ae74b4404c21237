"""The durable log of a replica: entries, the snapshot that precedes them, the term and the vote.

A reply that depends on a change must not be sent before the change is on disk (`write_queue`).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from meadowworks.consensus.values import NO_EPOCH_NUMBER, NO_TERM, Term, digest

# Entries that are kept in front of a snapshot, so that a slightly slower follower does not need the snapshot.
ENTRIES_KEPT_BEFORE_SNAPSHOT = 1024
# A snapshot that another replica reads is kept, with the entries after it, for this many checks without a
# read, and as long as these entries have no more bytes than the snapshot and `MIN_RETAINED_ENTRY_BYTES`.
RETENTION_CHECKS = 20
MIN_RETAINED_ENTRY_BYTES = 4 << 20


@dataclass(frozen=True, slots=True)
class Entry:
    """An entry of the log. The payload is empty if the entry only begins a leader's term."""

    term: Term
    payload: bytes


@dataclass(frozen=True, slots=True)
class LogSnapshot:
    """The content of the state machine after the entry `index`, which has this term; index 0 means empty."""

    index: int = 0
    term: Term = NO_TERM
    content: bytes = b""


NO_SNAPSHOT = LogSnapshot()


@dataclass(frozen=True, slots=True, order=True)
class EntryPosition:
    """The index and the term of an entry, which identify it. Positions are compared by term first."""

    term: Term
    index: int


NO_POSITION = EntryPosition(NO_TERM, 0)


@dataclass(frozen=True, slots=True)
class LogState:
    """A log as it is transferred to another replica: a snapshot and the entries after it."""

    snapshot: LogSnapshot = NO_SNAPSHOT
    entries: tuple[Entry, ...] = ()

    @property
    def last_position(self) -> EntryPosition:
        """The position of the last entry; the log with the highest one is the most up to date."""
        if self.entries:
            return EntryPosition(self.entries[-1].term, self.snapshot.index + len(self.entries))
        return EntryPosition(self.snapshot.term, self.snapshot.index)


@dataclass(frozen=True, slots=True)
class LogSource:
    """The position of the last entry of a member's log, and the address at which the log can be read."""

    position: EntryPosition
    address: str


@dataclass(frozen=True, slots=True)
class FetchedLog:
    """A log that was fetched from another replica.

    `snapshot` is None if `entries` follow an entry of the own log, the one at `previous`. Otherwise they
    follow the snapshot, and `previous` is its position.
    """

    previous: EntryPosition
    snapshot: LogSnapshot | None
    entries: tuple[Entry, ...]

    @property
    def last_position(self) -> EntryPosition:
        """The position of the last entry."""
        if not self.entries:
            return self.previous
        return EntryPosition(self.entries[-1].term, self.previous.index + len(self.entries))


@dataclass(slots=True)
class RetainedSnapshot:
    """A snapshot that another replica reads; `idle_checks` counts the checks since the last read."""

    snapshot: LogSnapshot
    content_digest: bytes
    idle_checks: int = 0


@dataclass(frozen=True, slots=True)
class LogMetadata:
    """The stored fields of a log apart from entries and snapshot; see `ReplicatedLog`."""

    epoch: int
    term: Term
    voted_for: str
    base: EntryPosition


@dataclass(frozen=True, slots=True)
class StoredLog:
    """A log as it is read from the disk."""

    metadata: LogMetadata
    snapshot: LogSnapshot
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class LogUpdate:
    """The changes of a log that one transaction writes to the disk.

    `snapshot` is None if it is unchanged. Stored entries from `first_changed_index` on are replaced by
    `entries`; stored entries up to `metadata.base.index` are removed.
    """

    metadata: LogMetadata
    snapshot: LogSnapshot | None
    first_changed_index: int
    entries: tuple[Entry, ...]

    def content_bytes(self) -> int:
        """Return the size of the snapshot and of the payloads to write."""
        snapshot_bytes = 0 if self.snapshot is None else len(self.snapshot.content)
        return snapshot_bytes + sum(len(entry.payload) for entry in self.entries)


def best_log_source(sources: Iterable[LogSource | None]) -> LogSource | None:
    """Return the source of the log that is the most up to date, or None if there is no log."""
    present = [source for source in sources if source is not None]
    if not present:
        return None
    return max(present, key=lambda source: source.position)


def most_up_to_date(states: Iterable[LogState | None]) -> LogState | None:
    """Return the log with the highest last position, or None if there is no log.

    Among the logs of a majority it contains every entry that was committed by a majority of the same epoch.
    """
    present = [state for state in states if state is not None]
    if not present:
        return None
    return max(present, key=lambda state: state.last_position)


@dataclass(slots=True)
class ReplicatedLog:
    """The log of one disk.

    `epoch` is the epoch that the log belongs to; the replica may only vote and append in that epoch. `term`
    is the highest term seen, `voted_for` the member that got the vote in it. `base` is the position before
    the first of `entries`; it is at or before the snapshot.
    """

    epoch: int = NO_EPOCH_NUMBER
    term: Term = NO_TERM
    voted_for: str = ""
    base: EntryPosition = NO_POSITION
    snapshot: LogSnapshot = NO_SNAPSHOT
    entries: list[Entry] = field(default_factory=list)
    metadata_changed: bool = False
    snapshot_changed: bool = False
    first_changed_index: int | None = None  # entries from this index on differ from the disk
    retained: RetainedSnapshot | None = None  # not stored

    @classmethod
    def from_stored(cls, stored: StoredLog) -> ReplicatedLog:
        """Return the log that a disk contains."""
        metadata = stored.metadata
        return cls(
            metadata.epoch,
            metadata.term,
            metadata.voted_for,
            metadata.base,
            stored.snapshot,
            list(stored.entries),
        )

    # -- queries

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the snapshot if there is none after it; 0 for an empty log."""
        return self.base.index + len(self.entries)

    @property
    def last_position(self) -> EntryPosition:
        """The position of the last entry."""
        return EntryPosition(self.term_at(self.last_index), self.last_index)

    def term_at(self, index: int) -> Term:
        """Return the term of the entry at an index between `base.index` and `last_index`."""
        if index == self.base.index:
            return self.base.term
        return self.entries[index - self.base.index - 1].term

    def contains(self, position: EntryPosition) -> bool:
        """Return whether the log contains the entry at a position, as far as its entries are kept."""
        if not self.base.index <= position.index <= self.last_index:
            return False
        return self.term_at(position.index) == position.term

    def entries_after(self, index: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return entries after an index, at least one if there is one, and about `max_bytes` at most."""
        selected: list[Entry] = []
        size_bytes = 0
        for entry in self.entries[index - self.base.index :]:
            if selected and size_bytes + len(entry.payload) > max_bytes:
                break
            selected.append(entry)
            size_bytes += len(entry.payload)
        return tuple(selected)

    def entries_between(self, after_index: int, up_to_index: int) -> list[Entry]:
        """Return the entries above one index and up to another."""
        return self.entries[after_index - self.base.index : up_to_index - self.base.index]

    def entries_since_snapshot(self) -> list[Entry]:
        """Return the entries that the snapshot does not contain."""
        return self.entries[self.snapshot.index - self.base.index :]

    def export(self) -> LogState:
        """Return the log for transfer to another replica."""
        return LogState(self.snapshot, tuple(self.entries_since_snapshot()))

    # -- changes

    def advance_term(self, term: Term, voted_for: str = "") -> None:
        """Enter a later term, or record the vote in the current one."""
        assert term >= self.term
        self.term, self.voted_for, self.metadata_changed = term, voted_for, True

    def append(self, entry: Entry) -> int:
        """Append an entry and return its index."""
        self.entries.append(entry)
        self._mark_changed(self.last_index)
        return self.last_index

    def truncate_from(self, index: int) -> None:
        """Remove the entries from an index on."""
        del self.entries[index - self.base.index - 1 :]
        self._mark_changed(index)

    def compact(self, index: int, content: bytes) -> None:
        """Replace the snapshot by one that contains the entries up to an index."""
        self.snapshot = LogSnapshot(index, self.term_at(index), content)
        self.snapshot_changed = self.metadata_changed = True
        base_index = max(self.base.index, min(index - ENTRIES_KEPT_BEFORE_SNAPSHOT, self._retained_index()))
        base = EntryPosition(self.term_at(base_index), base_index)
        del self.entries[: base_index - self.base.index]
        self.base = base

    def restore(self, snapshot: LogSnapshot) -> None:
        """Replace the log by another replica's snapshot, and keep entries that follow it.

        Entries are kept if the log contains the last entry of the snapshot.
        """
        position = EntryPosition(snapshot.term, snapshot.index)
        kept = self.entries[position.index - self.base.index :] if self.contains(position) else []
        self._replace(snapshot, kept)

    def continue_in(self, epoch: int) -> None:
        """Start an epoch with the own log."""
        self.epoch = epoch
        self.term, self.voted_for = max(Term(epoch, 0), self.last_position.term), ""
        self.metadata_changed = True

    def accept(self, epoch: int, fetched: FetchedLog) -> bool:
        """Start an epoch with a log that was fetched from another replica.

        :returns: whether that was possible; the own log may have changed since.
        """
        if fetched.snapshot is not None:
            self.adopt(epoch, LogState(fetched.snapshot, fetched.entries))
            return True
        if fetched.previous.index < self.snapshot.index or not self.contains(fetched.previous):
            return False
        if fetched.previous.index < self.last_index:
            self.truncate_from(fetched.previous.index + 1)
        for entry in fetched.entries:
            self.append(entry)
        self.continue_in(epoch)
        return True

    def adopt(self, epoch: int, state: LogState) -> None:
        """Replace the log by the one that the members of an epoch start with."""
        self.epoch = epoch
        self.term, self.voted_for = max(Term(epoch, 0), state.last_position.term), ""
        self._replace(state.snapshot, list(state.entries))

    def _replace(self, snapshot: LogSnapshot, entries: list[Entry]) -> None:
        self.snapshot, self.entries = snapshot, entries
        self.base = EntryPosition(snapshot.term, snapshot.index)
        self.retained = None
        self.snapshot_changed = self.metadata_changed = True
        self.first_changed_index = 0

    # -- snapshots that other replicas read

    def retain_snapshot(self) -> RetainedSnapshot:
        """Return the snapshot that replicas read at present, and keep it while it is read.

        All of them read the same one, so that one snapshot at most is held beside the current one.
        """
        if self.retained is None:
            self.retained = RetainedSnapshot(self.snapshot, digest(self.snapshot.content))
        self.retained.idle_checks = 0
        return self.retained

    def check_retention(self) -> None:
        """Drop the retained snapshot after some calls without a read."""
        if self.retained is None:
            return
        self.retained.idle_checks += 1
        if self.retained.idle_checks > RETENTION_CHECKS:
            self.retained = None

    def _retained_index(self) -> int:
        """Return the index from which entries are kept for the reader of a snapshot."""
        if self.retained is None:
            return self.last_index
        snapshot = self.retained.snapshot
        size_bytes = sum(
            len(entry.payload) for entry in self.entries_between(snapshot.index, self.last_index)
        )
        if size_bytes <= max(len(snapshot.content), MIN_RETAINED_ENTRY_BYTES):
            return snapshot.index
        self.retained = None
        return self.last_index

    # -- persistence

    def has_unwritten_changes(self) -> bool:
        """Return whether the log differs from what the last update contains."""
        return self.metadata_changed or self.snapshot_changed or self.first_changed_index is not None

    def collect_update(self) -> LogUpdate | None:
        """Return the changes since the last call, and mark them as collected; None if there are none."""
        if not self.has_unwritten_changes():
            return None
        first_index = self.last_index + 1 if self.first_changed_index is None else self.first_changed_index
        first_index = max(first_index, self.base.index + 1)
        update = LogUpdate(
            LogMetadata(self.epoch, self.term, self.voted_for, self.base),
            self.snapshot if self.snapshot_changed else None,
            0 if self.first_changed_index == 0 else first_index,
            tuple(self.entries[first_index - self.base.index - 1 :]),
        )
        self.metadata_changed = self.snapshot_changed = False
        self.first_changed_index = None
        return update

    def _mark_changed(self, index: int) -> None:
        if self.first_changed_index is None or index < self.first_changed_index:
            self.first_changed_index = index
