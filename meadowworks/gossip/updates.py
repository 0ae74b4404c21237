"""News by source: each source numbers what it says, holders pass it on as it is.

A holder says by a vector which version of each source it has, and gets what it lacks: a snapshot where it
knows nothing of a source or fell behind what that source has forgotten, else the changes since. A version
is a source's own and never goes back within a source's life; a new life is a new source.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from sortedcontainers import SortedDict

SOURCE_EXPIRY_NS = 60_000_000_000  # a source that says nothing for so long is gone
MAX_TOMBSTONES = 256  # keys taken back that a source remembers; who is further behind gets a snapshot

Value = Any  # what msgpack carries; None takes a key back


@dataclass(slots=True)
class SourceLog:
    latest_version: int = 0  # the newest version
    compacted_version: int = 0  # changes up to this one are no longer told one by one
    entries: dict[str, tuple[int, Value]] = field(default_factory=dict)
    key_by_version: SortedDict = field(default_factory=SortedDict)  # version to key
    last_update_ns: int = 0  # when its top last rose, by the holder's clock

    def put(self, version: int, key: str, value: Value) -> None:
        if old := self.entries.get(key):
            self.key_by_version.pop(old[0], None)
        self.entries[key] = version, value
        self.key_by_version[version] = key
        self.latest_version = max(self.latest_version, version)

    def compact(self, max_tombstones: int) -> None:
        """Drops the oldest keys taken back, beyond so many."""
        tombs = [(v, k) for v, k in self.key_by_version.items() if self.entries[k][1] is None]
        for version, key in tombs[: max(0, len(tombs) - max_tombstones)]:
            del self.key_by_version[version], self.entries[key]
            self.compacted_version = max(self.compacted_version, version)


@dataclass(frozen=True, slots=True)
class KeyUpdate:
    """An event: a source said something new about a key."""

    source: str
    key: str
    value: Value


@dataclass(frozen=True, slots=True)
class SourceDelta:
    """What a holder lacks of one source. `whole`: a snapshot, which replaces what was known."""

    source: str
    is_snapshot: bool
    latest_version: int
    changes: tuple[tuple[int, str, Value], ...]

    def pack(self) -> list[Any]:
        return [self.source, self.is_snapshot, self.latest_version, [list(c) for c in self.changes]]

    @staticmethod
    def unpack(raw: Any) -> SourceDelta:
        """Raises ValueError, TypeError or KeyError for what is no piece."""
        source, whole, top, changes = raw
        if not isinstance(source, str) or not isinstance(top, int):
            raise ValueError("no piece of news")
        return SourceDelta(
            source, bool(whole), top, tuple((int(v), str(k), value) for v, k, value in changes)
        )


class UpdateStore:
    """Everything that a process has been told, and says itself under `me`."""

    def __init__(self, source_id: str, max_tombstones: int = MAX_TOMBSTONES) -> None:
        self.source_id, self.max_tombstones = source_id, max_tombstones
        self.sources: dict[str, SourceLog] = {source_id: SourceLog()}
        self.update_listeners: list[Callable[[KeyUpdate], None]] = []
        self.version_listeners: list[
            Callable[[str, int], None]
        ] = []  # all of a source up to a version is told

    def publish(self, key: str, value: Value) -> int:
        """The version under which it is said from now on."""
        mine = self.sources[self.source_id]
        mine.put(mine.latest_version + 1, key, value)
        if value is None:
            mine.compact(self.max_tombstones)
        version = mine.latest_version
        self.notify_update(KeyUpdate(self.source_id, key, value))
        self.notify_version(self.source_id, version)
        return version

    def notify_version(self, source: str, version: int) -> None:
        for listener in self.version_listeners:
            listener(source, version)

    def notify_update(self, event: KeyUpdate) -> None:
        for listener in self.update_listeners:
            listener(event)

    def remote_version_vector(self) -> dict[str, int]:
        return {
            name: source.latest_version for name, source in self.sources.items() if name != self.source_id
        }

    def version_vector(self) -> dict[str, int]:
        return {name: source.latest_version for name, source in self.sources.items()}

    def deltas_since(self, vector: Mapping[str, int], requester: str) -> list[SourceDelta]:
        """What a holder with this vector lacks, but for what it says itself."""
        pieces = []
        for name, source in self.sources.items():
            have = vector.get(name, -1)
            if name == requester or have >= source.latest_version:
                continue
            whole = have < source.compacted_version or have < 0
            keys: Iterable[int] = source.key_by_version if whole else source.key_by_version.irange(have + 1)
            changes = tuple(
                (v, source.key_by_version[v], source.entries[source.key_by_version[v]][1]) for v in keys
            )
            pieces.append(SourceDelta(name, whole, source.latest_version, changes))
        return pieces

    def apply(self, now_ns: int, delta: SourceDelta) -> None:
        """Takes news in. What is older than what is held changes nothing, however late it comes."""
        if delta.source == self.source_id:
            return
        source = self.sources.get(delta.source)
        fresh = source is None
        if source is None:
            source = self.sources[delta.source] = SourceLog(last_update_ns=now_ns)
        if delta.latest_version <= source.latest_version and not fresh:
            return
        if delta.is_snapshot:
            left = set(source.entries) - {key for _, key, _ in delta.changes}
            # What was taken back before it is not told in it: who is further behind gets a snapshot too.
            source.compacted_version = delta.latest_version
            for key in left:
                version, value = source.entries.pop(key)
                source.key_by_version.pop(version, None)
                if value is not None:
                    self.notify_update(KeyUpdate(delta.source, key, None))
        for version, key, value in delta.changes:
            old = source.entries.get(key)
            if old is not None and old[0] >= version:
                continue
            source.put(version, key, value)
            if old is None or old[1] != value:
                self.notify_update(KeyUpdate(delta.source, key, value))
        source.latest_version, source.last_update_ns = (
            max(source.latest_version, delta.latest_version),
            now_ns,
        )
        self.notify_version(delta.source, source.latest_version)

    def silence_ns(self, now_ns: int, source_id: str) -> int:
        """For how long a source has said nothing, in nanoseconds; its own never is."""
        source = self.sources.get(source_id)
        return (
            0
            if source_id == self.source_id
            else now_ns - source.last_update_ns
            if source
            else SOURCE_EXPIRY_NS
        )

    def expire_sources(self, now_ns: int) -> list[str]:
        """Forgets sources that are gone, and takes back what they said. Where nobody at all is heard, the
        silence is one's own: then none is forgotten."""
        others = {
            name: now_ns - s.last_update_ns for name, s in self.sources.items() if name != self.source_id
        }
        if all(silent > SOURCE_EXPIRY_NS for silent in others.values()):
            return []
        gone = [name for name, silent in others.items() if silent > SOURCE_EXPIRY_NS]
        for name in gone:
            entries = self.sources.pop(name).entries
            for key, (_, value) in entries.items():
                if value is not None:
                    self.notify_update(KeyUpdate(name, key, None))
        return gone
