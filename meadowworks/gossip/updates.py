"""Versioned updates by source, reconciled by version vectors.

Each process is a source: it numbers the updates of its own keys, and every other process passes them on
unchanged. A process states by a version vector up to which version it holds each source, and gets what it
lacks: a snapshot where it knows nothing of a source or fell behind its compacted versions, otherwise the
changes since. A source's versions never go back; a process that restarts is a new source.

Source: Scuttlebutt reconciliation (van Renesse et al., "Efficient Reconciliation and Flow Control for
Anti-Entropy Protocols", LADIS 2008). As there, only the latest value of a key is kept.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeAlias

from sortedcontainers import SortedDict

# A source without updates for this long has ended: control-plane nodes publish one each second.
SOURCE_EXPIRY_NS = 60_000_000_000
# Deleted keys that a source remembers. A process that lags further behind gets a snapshot, so this bounds
# the memory of a source whose keys come and go.
MAX_TOMBSTONES = 256
NO_VERSION = -1  # below the first version of a source

Value: TypeAlias = Any  # what msgpack carries; None deletes the key
# A plain tuple: a reply may carry thousands of changes.
Change: TypeAlias = tuple[int, str, Value]  # version, key, value


@dataclass(slots=True)
class SourceLog:
    """The latest value of each key of one source, in the order of their versions.

    :ivar latest_version: the newest version held.
    :ivar compacted_version: up to here tombstones are dropped; who lags behind it needs a snapshot.
    :ivar entries: by key, the version and value of its last change.
    :ivar last_update_ns: when ``latest_version`` last rose, by this process's clock.
    """

    latest_version: int = 0
    compacted_version: int = 0
    entries: dict[str, tuple[int, Value]] = field(default_factory=dict)
    key_by_version: SortedDict = field(default_factory=SortedDict)
    last_update_ns: int = 0

    def put(self, version: int, key: str, value: Value) -> None:
        """Replaces the value of a key."""
        if replaced := self.entries.get(key):
            self.key_by_version.pop(replaced[0], None)
        self.entries[key] = version, value
        self.key_by_version[version] = key
        self.latest_version = max(self.latest_version, version)

    def compact(self, max_tombstones: int) -> None:
        """Drops the oldest tombstones beyond a number."""
        tombstones = [
            (version, key) for version, key in self.key_by_version.items() if self.entries[key][1] is None
        ]
        excess = max(0, len(tombstones) - max_tombstones)
        for version, key in tombstones[:excess]:
            del self.key_by_version[version], self.entries[key]
            self.compacted_version = max(self.compacted_version, version)

    def changes_since(self, version: int) -> tuple[Change, ...]:
        """Returns the changes after a version; all of them for ``NO_VERSION``."""
        versions: Iterable[int] = (
            self.key_by_version if version == NO_VERSION else self.key_by_version.irange(version + 1)
        )
        return tuple((v, self.key_by_version[v], self.entries[self.key_by_version[v]][1]) for v in versions)


@dataclass(frozen=True, slots=True)
class KeyUpdate:
    """An event: a source has published a new value of a key, or deleted it (``value`` is None)."""

    source: str
    key: str
    value: Value


@dataclass(frozen=True, slots=True)
class SourceDelta:
    """What a process lacks of one source.

    :ivar is_snapshot: ``changes`` are all keys of the source and replace what is held of it.
    :ivar latest_version: the version of the source that is reached with these changes.
    """

    source: str
    is_snapshot: bool
    latest_version: int
    changes: tuple[Change, ...]


class UpdateStore:
    """The updates of all sources that this process knows, and those it publishes itself.

    :ivar source_id: the source under which this process publishes; new at each start.
    :ivar sources: by source, what is held of it.
    :ivar update_listeners: called with each update, also with those of this process.
    :ivar version_listeners: called with a source and a version once every update up to it has been handed
        to ``update_listeners``.
    """

    def __init__(self, source_id: str, max_tombstones: int = MAX_TOMBSTONES) -> None:
        self.source_id = source_id
        self._max_tombstones = max_tombstones
        self.sources: dict[str, SourceLog] = {source_id: SourceLog()}
        self.update_listeners: list[Callable[[KeyUpdate], None]] = []
        self.version_listeners: list[Callable[[str, int], None]] = []

    def publish(self, key: str, value: Value) -> int:
        """Publishes a value of a key of this process, or deletes the key.

        :returns: the version of this update.
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
        """Returns the newest version held of each other source: what a pull states."""
        return {name: log.latest_version for name, log in self.sources.items() if name != self.source_id}

    def version_vector(self) -> dict[str, int]:
        """Returns the newest version held of each source, this process included."""
        return {name: log.latest_version for name, log in self.sources.items()}

    def deltas_since(self, vector: Mapping[str, int], requester: str) -> list[SourceDelta]:
        """Returns what a process with this version vector lacks, its own updates left out."""
        deltas = []
        for name, log in self.sources.items():
            held = vector.get(name, NO_VERSION)
            if name == requester or held >= log.latest_version:
                continue
            is_snapshot = held < log.compacted_version or held < 0
            changes = log.changes_since(NO_VERSION if is_snapshot else held)
            deltas.append(SourceDelta(name, is_snapshot, log.latest_version, changes))
        return deltas

    def apply(self, now_ns: int, delta: SourceDelta) -> None:
        """Takes in a delta and notifies the listeners of what it changes.

        A delta older than what is held changes nothing: replies may come late, twice or out of order.
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
            held = log.entries.get(key)
            if held is not None and held[0] >= version:
                continue
            log.put(version, key, value)
            if held is None or held[1] != value:
                self.notify_update(KeyUpdate(delta.source, key, value))
        log.latest_version = max(log.latest_version, delta.latest_version)
        log.last_update_ns = now_ns
        self._notify_version(delta.source, log.latest_version)

    def _delete_missing_keys(self, log: SourceLog, snapshot: SourceDelta) -> None:
        """Deletes the keys that a snapshot no longer contains."""
        missing = set(log.entries) - {key for _, key, _ in snapshot.changes}
        # A snapshot lacks the tombstones that the source has compacted: a process that lags behind it would
        # keep those keys if it got changes from here, so it gets a snapshot too.
        log.compacted_version = snapshot.latest_version
        for key in missing:
            version, value = log.entries.pop(key)
            log.key_by_version.pop(version, None)
            if value is not None:
                self.notify_update(KeyUpdate(snapshot.source, key, None))

    def silence_ns(self, now_ns: int, source_id: str) -> int:
        """Returns for how long a source has published nothing, in nanoseconds; 0 for this process."""
        if source_id == self.source_id:
            return 0
        log = self.sources.get(source_id)
        return now_ns - log.last_update_ns if log else SOURCE_EXPIRY_NS

    def expire_sources(self, now_ns: int) -> list[str]:
        """Forgets the sources that have ended, and notifies the listeners that their keys are deleted.

        :returns: the sources that were forgotten.
        """
        silence_ns = {
            name: now_ns - log.last_update_ns for name, log in self.sources.items() if name != self.source_id
        }
        # Guards against a partition: where no source at all is received, it is this process that is cut off.
        if all(silent > SOURCE_EXPIRY_NS for silent in silence_ns.values()):
            return []
        expired = [name for name, silent in silence_ns.items() if silent > SOURCE_EXPIRY_NS]
        for name in expired:
            for key, (_, value) in self.sources.pop(name).entries.items():
                if value is not None:
                    self.notify_update(KeyUpdate(name, key, None))
        return expired

    def notify_update(self, update: KeyUpdate) -> None:
        """Hands an update to the listeners."""
        for listener in self.update_listeners:
            listener(update)

    def _notify_version(self, source: str, version: int) -> None:
        for listener in self.version_listeners:
            listener(source, version)
