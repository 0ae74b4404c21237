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

FORGET_NS = 60_000_000_000  # a source that says nothing for so long is gone
TOMBS = 256  # keys taken back that a source remembers; who is further behind gets a snapshot

Value = Any  # what msgpack carries; None takes a key back


@dataclass(slots=True)
class Source:
    top: int = 0  # the newest version
    floor: int = 0  # changes up to this one are no longer told one by one
    entries: dict[str, tuple[int, Value]] = field(default_factory=dict)
    order: SortedDict = field(default_factory=SortedDict)  # version to key
    moved_ns: int = 0  # when its top last rose, by the holder's clock

    def put(self, version: int, key: str, value: Value) -> None:
        if old := self.entries.get(key):
            self.order.pop(old[0], None)
        self.entries[key] = version, value
        self.order[version] = key
        self.top = max(self.top, version)

    def forget(self, most: int) -> None:
        """Drops the oldest keys taken back, beyond so many."""
        tombs = [(v, k) for v, k in self.order.items() if self.entries[k][1] is None]
        for version, key in tombs[: max(0, len(tombs) - most)]:
            del self.order[version], self.entries[key]
            self.floor = max(self.floor, version)


@dataclass(frozen=True, slots=True)
class Told:
    """An event: a source said something new about a key."""

    source: str
    key: str
    value: Value


@dataclass(frozen=True, slots=True)
class Piece:
    """What a holder lacks of one source. `whole`: a snapshot, which replaces what was known."""

    source: str
    whole: bool
    top: int
    changes: tuple[tuple[int, str, Value], ...]

    def pack(self) -> list[Any]:
        return [self.source, self.whole, self.top, [list(c) for c in self.changes]]

    @staticmethod
    def unpack(raw: Any) -> Piece:
        """Raises ValueError, TypeError or KeyError for what is no piece."""
        source, whole, top, changes = raw
        if not isinstance(source, str) or not isinstance(top, int):
            raise ValueError("no piece of news")
        return Piece(source, bool(whole), top, tuple((int(v), str(k), value) for v, k, value in changes))


class News:
    """Everything that a process has been told, and says itself under `me`."""

    def __init__(self, me: str, tombs: int = TOMBS) -> None:
        self.me, self.tombs = me, tombs
        self.sources: dict[str, Source] = {me: Source()}
        self.listeners: list[Callable[[Told], None]] = []
        self.reached: list[Callable[[str, int], None]] = []  # all of a source up to a version is told

    def say(self, key: str, value: Value) -> int:
        """The version under which it is said from now on."""
        mine = self.sources[self.me]
        mine.put(mine.top + 1, key, value)
        if value is None:
            mine.forget(self.tombs)
        version = mine.top
        self.tell(Told(self.me, key, value))
        self.whole(self.me, version)
        return version

    def whole(self, source: str, version: int) -> None:
        for listener in self.reached:
            listener(source, version)

    def tell(self, event: Told) -> None:
        for listener in self.listeners:
            listener(event)

    def vector(self) -> dict[str, int]:
        return {name: source.top for name, source in self.sources.items() if name != self.me}

    def own_vector(self) -> dict[str, int]:
        return {name: source.top for name, source in self.sources.items()}

    def lacks(self, vector: Mapping[str, int], asker: str) -> list[Piece]:
        """What a holder with this vector lacks, but for what it says itself."""
        pieces = []
        for name, source in self.sources.items():
            have = vector.get(name, -1)
            if name == asker or have >= source.top:
                continue
            whole = have < source.floor or have < 0
            keys: Iterable[int] = source.order if whole else source.order.irange(have + 1)
            changes = tuple((v, source.order[v], source.entries[source.order[v]][1]) for v in keys)
            pieces.append(Piece(name, whole, source.top, changes))
        return pieces

    def take(self, now: int, piece: Piece) -> None:
        """Takes news in. What is older than what is held changes nothing, however late it comes."""
        if piece.source == self.me:
            return
        source = self.sources.get(piece.source)
        fresh = source is None
        if source is None:
            source = self.sources[piece.source] = Source(moved_ns=now)
        if piece.top <= source.top and not fresh:
            return
        if piece.whole:
            left = set(source.entries) - {key for _, key, _ in piece.changes}
            # What was taken back before it is not told in it: who is further behind gets a snapshot too.
            source.floor = piece.top
            for key in left:
                version, value = source.entries.pop(key)
                source.order.pop(version, None)
                if value is not None:
                    self.tell(Told(piece.source, key, None))
        for version, key, value in piece.changes:
            old = source.entries.get(key)
            if old is not None and old[0] >= version:
                continue
            source.put(version, key, value)
            if old is None or old[1] != value:
                self.tell(Told(piece.source, key, value))
        source.top, source.moved_ns = max(source.top, piece.top), now
        self.whole(piece.source, source.top)

    def quiet(self, now: int, name: str) -> int:
        """For how long a source has said nothing, in nanoseconds; its own never is."""
        source = self.sources.get(name)
        return 0 if name == self.me else now - source.moved_ns if source else FORGET_NS

    def expire(self, now: int) -> list[str]:
        """Forgets sources that are gone, and takes back what they said. Where nobody at all is heard, the
        silence is one's own: then none is forgotten."""
        others = {name: now - s.moved_ns for name, s in self.sources.items() if name != self.me}
        if all(silent > FORGET_NS for silent in others.values()):
            return []
        gone = [name for name, silent in others.items() if silent > FORGET_NS]
        for name in gone:
            entries = self.sources.pop(name).entries
            for key, (_, value) in entries.items():
                if value is not None:
                    self.tell(Told(name, key, None))
        return gone
