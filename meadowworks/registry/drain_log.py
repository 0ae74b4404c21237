"""Drains and leaves that this disk holds, and up to where each source's are on it. No I/O, no clock.

A life that is draining or gone by anyone's word is fenced: no late beat and no restart brings it back. The
machine says what is to be written; the shell writes it and says so; only then does a receipt rise, which the
next pull carries to the source. An acknowledgement wants it on as many disks as may be lost, and one more.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, replace
from typing import Any

from meadowworks.gossip.updates import Told
from meadowworks.registry.heartbeats import GONE, KEEP_NS, PREFIX, RANK, UP

FENCES_MOST = 8192  # beyond it the oldest that are on disk go, those that are gone first
LOOK_NS = KEEP_NS // 4  # after which it is looked whether somebody still says so
RECEIPTS_MOST = 64  # hosts that a receipt is kept of
STATE, ADDRESS = 4, 1  # places in a life's value, as news say it


@dataclass(frozen=True, slots=True)
class Fence:
    value: tuple[Any, ...]  # as news say it
    heard_ns: int  # when somebody last said so

    @property
    def state(self) -> str:
        return str(self.value[STATE])


@dataclass(frozen=True, slots=True)
class Batch:
    """One write: rows that are new or changed, ids whose rows go, and up to which version of each source's
    news all fences are on disk once it is done."""

    rows: Mapping[str, tuple[Any, ...]]
    gone: frozenset[str]
    upto: Mapping[str, int]


class Fences:
    """`me` is the source under which this process says its own."""

    def __init__(self, me: str, most: int = FENCES_MOST) -> None:
        self.me, self.most = me, most
        self.fences: dict[str, Fence] = {}
        self.unsynced: set[str] = set()
        self.dropped: set[str] = set()  # forgotten, with a row on disk still
        self.pending: dict[str, int] = {}  # by source: the version that the next write brings it to
        self.synced: dict[str, int] = {}  # by source: the version up to which all its fences are on disk
        self.writing: Batch | None = None
        self.receipts: dict[str, int] = {}  # by host: the version of our own news up to which it has synced

    # -- what is learnt

    def told(self, now: int, event: Told) -> None:
        """A word of news; what is no drain or leave, or malformed, changes nothing."""
        if not event.key.startswith(PREFIX) or event.value is None:
            return
        try:
            value = tuple(event.value)
            rank = RANK.get(value[STATE], 0) if len(value) == 8 else 0
        except TypeError:
            return
        if rank:
            self.learn(now, event.key.removeprefix(PREFIX), value, rank)

    def learn(self, now: int, ident: str, value: tuple[Any, ...], rank: int) -> None:
        old = self.fences.get(ident)
        if old is not None:
            further = rank > RANK[old.state]
            if not further and (old.value[ADDRESS] or not value[ADDRESS]):
                self.fences[ident] = replace(old, heard_ns=now)
                return
            known = value if value[ADDRESS] else old.value
            state = value[STATE] if further else old.state
            value = (*known[:STATE], state, *known[STATE + 1 :])
        elif len(self.fences) >= self.most:
            self.evict()
        self.fences[ident] = Fence(value, now)
        self.unsynced.add(ident)
        self.dropped.discard(ident)

    def evict(self) -> None:
        """Guards against fences without end; one that is not on disk yet is owed a receipt and stays."""
        rows = [(f.state != GONE, f.heard_ns, i) for i, f in self.fences.items() if i not in self.unsynced]
        if rows:
            self.forget(min(rows)[2])

    def forget(self, ident: str) -> None:
        del self.fences[ident]
        self.unsynced.discard(ident)
        self.dropped.add(ident)

    def reached(self, source: str, version: int) -> None:
        """All that a source said up to a version has been told here."""
        if version > max(self.pending.get(source, -1), self.synced.get(source, -1)):
            self.pending[source] = version
        self.settle()

    def settle(self) -> None:
        """With nothing left to write, what was told is as good as written."""
        if not self.unsynced and self.writing is None:
            self.synced |= self.pending
            self.pending.clear()

    def state(self, ident: str) -> str:
        """How far a life has gone; `up` for one of which nothing is known."""
        fence = self.fences.get(ident)
        return fence.state if fence else UP

    # -- the disk

    def restore(self, now: int, rows: Mapping[str, Any]) -> None:
        """What the disk held at the start."""
        for ident, value in rows.items():
            self.fences[ident] = Fence(tuple(value), now)

    def batch(self) -> Batch | None:
        """What is to be written now, all that has come meanwhile at once; nothing while a write is on."""
        if self.writing is not None or not self.unsynced and not self.dropped:
            return None
        rows = {ident: self.fences[ident].value for ident in self.unsynced}
        self.writing = Batch(rows, frozenset(self.dropped), self.pending)
        self.unsynced, self.dropped, self.pending = set(), set(), {}
        return self.writing

    def written(self) -> None:
        """The write is done and synced."""
        assert self.writing is not None
        self.synced |= self.writing.upto
        self.writing = None
        self.settle()

    def failed(self) -> None:
        """The disk has refused it: it is to be written again, with what has come since."""
        assert self.writing is not None
        lost, self.writing = self.writing, None
        self.unsynced |= lost.rows.keys() & self.fences.keys()
        self.dropped |= (lost.gone | lost.rows.keys()) - self.fences.keys()
        self.pending = {**lost.upto, **self.pending}

    # -- receipts

    def receipt(self, source: str) -> tuple[str, int]:
        """What a pull tells a source's process: the version of its news up to which all is on disk here."""
        return source, self.synced.get(source, -1)

    def level(self, source: str) -> bool:
        """Whether a source's receipt has come up to its news; if not, a write is owed or under way."""
        return source not in self.pending and (self.writing is None or source not in self.writing.upto)

    def receipted(self, host: str, source: str, version: int) -> None:
        """Another disk's receipt. One for an earlier life of this process says nothing of this one."""
        if source != self.me:
            return
        self.receipts.pop(host, None)
        self.receipts[host] = version  # a lower one too: its process has started anew
        while len(self.receipts) > RECEIPTS_MOST:
            del self.receipts[next(iter(self.receipts))]

    def kept(self, version: int, voters: Collection[str], tolerate: int, voting: bool) -> bool:
        """Whether what was said here under a version is on this disk, and on so many others that it outlives
        the loss of any `tolerate`. A disk that doesn't vote is not one of those that may be counted on."""
        if self.synced.get(self.me, -1) < version:
            return False
        others = sum(self.receipts.get(host, -1) >= version for host in voters)
        return others >= tolerate + (not voting)

    # -- from time to time

    def tick(self, now: int, said: Callable[[str], bool], sources: Collection[str]) -> None:
        """Forgets what nobody has said for long. `said`: whether a source still says that a life is draining
        or gone; `sources`: those that are still known."""
        for ident, fence in list(self.fences.items()):
            if now - fence.heard_ns < LOOK_NS:
                continue
            if said(ident):
                self.fences[ident] = replace(fence, heard_ns=now)
            elif now - fence.heard_ns > KEEP_NS and ident not in self.unsynced:
                self.forget(ident)
        for old in self.synced.keys() - set(sources):
            del self.synced[old]
        for old in self.pending.keys() - set(sources):
            del self.pending[old]
