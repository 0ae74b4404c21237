"""Versioned updates by source, reconciled by version vectors.

Each process is a source: it assigns versions to the updates of its own keys, and other processes forward them
unchanged. A process sends a version vector, with the version that it has of each source, and receives the
missing updates: a snapshot if it has none of a source or is behind the source's compacted version, otherwise
the changes since its version. The versions of a source never decrease; a restarted process is a new source.

Source: Scuttlebutt reconciliation (van Renesse et al., "Efficient Reconciliation and Flow Control for
Anti-Entropy Protocols", LADIS 2008). As there, only the latest value of a key is kept.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeAlias

from sortedcontainers import SortedDict

# A source without updates for this long expires. Control-plane nodes publish an update every second.
SOURCE_EXPIRY_NS = 60_000_000_000
# Tombstones kept per source; bounds memory when keys are created and deleted continually. A process that
# lacks a dropped tombstone gets a snapshot.
MAX_TOMBSTONES = 256
NO_VERSION = -1  # less than any version of a source

Value: TypeAlias = Any  # a value that msgpack can encode; None deletes the key
# A plain tuple, since a reply may contain thousands of changes.
Change: TypeAlias = tuple[int, str, Value]  # version, key, value


@dataclass(slots=True)
class SourceLog:
    """The latest value of each key of one source, in the order of versions.

    :ivar latest_version: the newest version received.
    :ivar compacted_version: tombstones up to it may have been dropped; a process behind it needs a snapshot.
    :ivar entries: by key, the version and the value of its last change.
    :ivar last_update_ns: the time at which ``latest_version`` last increased, by this process's clock.
    """

    latest_version: int = 0
    compacted_version: int = 0
    entries: dict[str, tuple[int, Value]] = field(default_factory=dict)
    key_by_version: SortedDict = field(default_factory=SortedDict)
    last_update_ns: int = 0

    def put(self, version: int, key: str, value: Value) -> None:
        """Replace the value of a key."""
        if replaced := self.entries.get(key):
            self.key_by_version.pop(replaced[0], None)
        self.entries[key] = version, value
        self.key_by_version[version] = key
        self.latest_version = max(self.latest_version, version)

    def compact(self, max_tombstones: int) -> None:
        """Drop the oldest tombstones beyond a maximum number."""
        tombstones = [
            (version, key) for version, key in self.key_by_version.items() if self.entries[key][1] is None
        ]
        excess = max(0, len(tombstones) - max_tombstones)
        for version, key in tombstones[:excess]:
            del self.key_by_version[version], self.entries[key]
            self.compacted_version = max(self.compacted_version, version)

    def changes_since(self, version: int) -> tuple[Change, ...]:
        """Return the changes after a version; all of them for ``NO_VERSION``."""
        versions: Iterable[int] = (
            self.key_by_version if version == NO_VERSION else self.key_by_version.irange(version + 1)
        )
        return tuple((v, self.key_by_version[v], self.entries[self.key_by_version[v]][1]) for v in versions)


@dataclass(frozen=True, slots=True)
class KeyUpdate:
    """The event that a source has published a new value of a key, or has deleted the key (value None)."""

    source: str
    key: str
    value: Value


@dataclass(frozen=True, slots=True)
class SourceDelta:
    """The updates of one source that a process lacks.

    :ivar is_snapshot: whether ``changes`` contains all keys of the source and replaces its previous keys.
    :ivar latest_version: the version of the source after these changes.
    """

    source: str
    is_snapshot: bool
    latest_version: int
    changes: tuple[Change, ...]


class UpdateStore:
    """The updates of all sources, including those that this process publishes.

    :ivar source_id: the source of this process; new at each start.
    :ivar sources: by source, its log.
    :ivar update_listeners: called with each update, including those of this process.
    :ivar version_listeners: called with a source and a version after ``update_listeners`` have been called
        with every update up to this version.
    """

    def __init__(self, source_id: str, max_tombstones: int = MAX_TOMBSTONES) -> None:
        self.source_id = source_id
        self._max_tombstones = max_tombstones
        self.sources: dict[str, SourceLog] = {source_id: SourceLog()}
        self.update_listeners: list[Callable[[KeyUpdate], None]] = []
        self.version_listeners: list[Callable[[str, int], None]] = []

    def publish(self, key: str, value: Value) -> int:
        """Publish the value of a key of this process; None deletes the key.

        :returns: the version of the update.
        """
        log = self.sources[self.source_id]
        log.put(log.latest_version + 1, key, value)
        if value is None:
            log.compact(self._max_tombstones)
        version = log.latest_version
        self.notify_update(KeyUpdate(self.source_id, key, value))
        self._notify_version(self.source_id, version)
        return version

    def remote_version_vector(self) -> dict[str, int]:
        """Return the newest version of each other source, as sent in a pull request."""
        return {name: log.latest_version for name, log in self.sources.items() if name != self.source_id}

    def version_vector(self) -> dict[str, int]:
        """Return the newest version of each source, including this process."""
        return {name: log.latest_version for name, log in self.sources.items()}

    def deltas_since(self, vector: Mapping[str, int], requester: str) -> list[SourceDelta]:
        """Return the updates that a process with this version vector lacks, except for its own."""
        deltas = []
        for name, log in self.sources.items():
            version = vector.get(name, NO_VERSION)
            if name == requester or version >= log.latest_version:
                continue
            is_snapshot = version < log.compacted_version or version < 0
            changes = log.changes_since(NO_VERSION if is_snapshot else version)
            deltas.append(SourceDelta(name, is_snapshot, log.latest_version, changes))
        return deltas

    def apply(self, now_ns: int, delta: SourceDelta) -> None:
        """Apply a delta and notify the listeners of the changes.

        A delta that is not newer than the log is ignored: replies may arrive late, twice or out of order.
        """
        if delta.source == self.source_id:
            return
        log = self.sources.get(delta.source)
        if log is None:
            log = self.sources[delta.source] = SourceLog(last_update_ns=now_ns)
        elif delta.latest_version <= log.latest_version:
            return
        if delta.is_snapshot:
            self._delete_missing_keys(log, delta)
        for version, key, value in delta.changes:
            entry = log.entries.get(key)
            if entry is not None and entry[0] >= version:
                continue
            log.put(version, key, value)
            if entry is None or entry[1] != value:
                self.notify_update(KeyUpdate(delta.source, key, value))
        log.latest_version = max(log.latest_version, delta.latest_version)
        log.last_update_ns = now_ns
        self._notify_version(delta.source, log.latest_version)

    def _delete_missing_keys(self, log: SourceLog, snapshot: SourceDelta) -> None:
        """Delete the keys that a snapshot no longer contains."""
        missing = set(log.entries) - {key for _, key, _ in snapshot.changes}
        # Prevents a process behind this version from keeping deleted keys: the snapshot lacks the tombstones
        # that the source has dropped, so this process, too, can only forward a snapshot.
        log.compacted_version = snapshot.latest_version
        for key in missing:
            version, value = log.entries.pop(key)
            log.key_by_version.pop(version, None)
            if value is not None:
                self.notify_update(KeyUpdate(snapshot.source, key, None))

    def silence_ns(self, now_ns: int, source_id: str) -> int:
        """Return the time since a source's last update in nanoseconds; 0 for this process."""
        if source_id == self.source_id:
            return 0
        log = self.sources.get(source_id)
        return now_ns - log.last_update_ns if log else SOURCE_EXPIRY_NS

    def expire_sources(self, now_ns: int) -> list[str]:
        """Remove expired sources and notify the listeners that their keys are deleted.

        :returns: the removed sources.
        """
        silence_ns = {
            name: now_ns - log.last_update_ns for name, log in self.sources.items() if name != self.source_id
        }
        # Prevents a partition that cuts this process off from expiring all sources.
        if all(silence > SOURCE_EXPIRY_NS for silence in silence_ns.values()):
            return []
        expired = [name for name, silence in silence_ns.items() if silence > SOURCE_EXPIRY_NS]
        for name in expired:
            for key, (_, value) in self.sources.pop(name).entries.items():
                if value is not None:
                    self.notify_update(KeyUpdate(name, key, None))
        return expired

    def notify_update(self, update: KeyUpdate) -> None:
        """Call the update listeners with an update."""
        for listener in self.update_listeners:
            listener(update)

    def _notify_version(self, source: str, version: int) -> None:
        for listener in self.version_listeners:
            listener(source, version)
