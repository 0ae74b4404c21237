"""Drains and leaves that this disk holds, and up to where each source's are on it. No I/O, no clock.

A life that is draining or gone by anyone's word is fenced: no late beat and no restart brings it back. The
machine says what is to be written; the shell writes it and says so; only then does a receipt rise, which the
next pull carries to the source. An acknowledgement wants it on as many disks as may be lost, and one more.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, replace
from typing import Any

from meadowworks.gossip.messages import DrainAcknowledgement
from meadowworks.gossip.updates import KeyUpdate
from meadowworks.registry.heartbeats import BACKEND_KEY_PREFIX, GONE, RETENTION_NS, STATE_RANK, UP

MAX_DRAIN_RECORDS = 8192  # beyond it the oldest that are on disk go, those that are gone first
REVIEW_INTERVAL_NS = RETENTION_NS // 4  # after which it is looked whether somebody still says so
MAX_ACKNOWLEDGING_HOSTS = 64  # hosts that a receipt is kept of
STATE_INDEX, ADDRESS_INDEX = 4, 1  # places in a life's value, as news say it


@dataclass(frozen=True, slots=True)
class DrainRecord:
    value: tuple[Any, ...]  # as news say it
    last_reported_ns: int  # when somebody last said so

    @property
    def state(self) -> str:
        return str(self.value[STATE_INDEX])


@dataclass(frozen=True, slots=True)
class WriteBatch:
    """One write: rows that are new or changed, ids whose rows go, and up to which version of each source's
    news all fences are on disk once it is done."""

    rows: Mapping[str, tuple[Any, ...]]
    deleted: frozenset[str]
    versions: Mapping[str, int]


class DrainLog:
    """`me` is the source under which this process says its own."""

    def __init__(self, source_id: str, max_records: int = MAX_DRAIN_RECORDS) -> None:
        self.source_id, self.max_records = source_id, max_records
        self.records: dict[str, DrainRecord] = {}
        self.unsynced: set[str] = set()
        self.deleted: set[str] = set()  # forgotten, with a row on disk still
        self.pending_versions: dict[str, int] = {}  # by source: the version that the next write brings it to
        self.durable_versions: dict[
            str, int
        ] = {}  # by source: the version up to which all its fences are on disk
        self.write_in_flight: WriteBatch | None = None
        self.acknowledged_versions: dict[
            str, int
        ] = {}  # by host: the version of our own news up to which it has synced

    # -- what is learnt

    def on_update(self, now_ns: int, event: KeyUpdate) -> None:
        """A word of news; what is no drain or leave, or malformed, changes nothing."""
        if not event.key.startswith(BACKEND_KEY_PREFIX) or event.value is None:
            return
        try:
            value = tuple(event.value)
            rank = STATE_RANK.get(value[STATE_INDEX], 0) if len(value) == 8 else 0
        except TypeError:
            return
        if rank:
            self.record(now_ns, event.key.removeprefix(BACKEND_KEY_PREFIX), value, rank)

    def record(self, now_ns: int, instance_id: str, value: tuple[Any, ...], rank: int) -> None:
        old = self.records.get(instance_id)
        if old is not None:
            further = rank > STATE_RANK[old.state]
            if not further and (old.value[ADDRESS_INDEX] or not value[ADDRESS_INDEX]):
                self.records[instance_id] = replace(old, last_reported_ns=now_ns)
                return
            known = value if value[ADDRESS_INDEX] else old.value
            state = value[STATE_INDEX] if further else old.state
            value = (*known[:STATE_INDEX], state, *known[STATE_INDEX + 1 :])
        elif len(self.records) >= self.max_records:
            self.evict_oldest()
        self.records[instance_id] = DrainRecord(value, now_ns)
        self.unsynced.add(instance_id)
        self.deleted.discard(instance_id)

    def evict_oldest(self) -> None:
        """Guards against fences without end; one that is not on disk yet is owed a receipt and stays."""
        rows = [
            (f.state != GONE, f.last_reported_ns, i)
            for i, f in self.records.items()
            if i not in self.unsynced
        ]
        if rows:
            self.forget(min(rows)[2])

    def forget(self, instance_id: str) -> None:
        del self.records[instance_id]
        self.unsynced.discard(instance_id)
        self.deleted.add(instance_id)

    def on_version(self, source: str, version: int) -> None:
        """All that a source said up to a version has been told here."""
        if version > max(self.pending_versions.get(source, -1), self.durable_versions.get(source, -1)):
            self.pending_versions[source] = version
        self.promote_pending_versions()

    def promote_pending_versions(self) -> None:
        """With nothing left to write, what was told is as good as written."""
        if not self.unsynced and self.write_in_flight is None:
            self.durable_versions |= self.pending_versions
            self.pending_versions.clear()

    def state(self, instance_id: str) -> str:
        """How far a life has gone; `up` for one of which nothing is known."""
        fence = self.records.get(instance_id)
        return fence.state if fence else UP

    # -- the disk

    def restore(self, now_ns: int, rows: Mapping[str, Any]) -> None:
        """What the disk held at the start."""
        for ident, value in rows.items():
            self.records[ident] = DrainRecord(tuple(value), now_ns)

    def next_batch(self) -> WriteBatch | None:
        """What is to be written now, all that has come meanwhile at once; nothing while a write is on."""
        if self.write_in_flight is not None or not self.unsynced and not self.deleted:
            return None
        rows = {ident: self.records[ident].value for ident in self.unsynced}
        self.write_in_flight = WriteBatch(rows, frozenset(self.deleted), self.pending_versions)
        self.unsynced, self.deleted, self.pending_versions = set(), set(), {}
        return self.write_in_flight

    def on_written(self) -> None:
        """The write is done and synced."""
        assert self.write_in_flight is not None
        self.durable_versions |= self.write_in_flight.versions
        self.write_in_flight = None
        self.promote_pending_versions()

    def on_write_failed(self) -> None:
        """The disk has refused it: it is to be written again, with what has come since."""
        assert self.write_in_flight is not None
        lost, self.write_in_flight = self.write_in_flight, None
        self.unsynced |= lost.rows.keys() & self.records.keys()
        self.deleted |= (lost.deleted | lost.rows.keys()) - self.records.keys()
        self.pending_versions = {**lost.versions, **self.pending_versions}

    # -- receipts

    def acknowledgement(self, source: str) -> DrainAcknowledgement:
        """What a pull tells a source's process: the version of its news up to which all is on disk here."""
        return DrainAcknowledgement(source, self.durable_versions.get(source, -1))

    def is_caught_up(self, source: str) -> bool:
        """Whether a source's receipt has come up to its news; if not, a write is owed or under way."""
        return source not in self.pending_versions and (
            self.write_in_flight is None or source not in self.write_in_flight.versions
        )

    def on_acknowledgement(self, host: str, source: str, version: int) -> None:
        """Another disk's receipt. One for an earlier life of this process says nothing of this one."""
        if source != self.source_id:
            return
        self.acknowledged_versions.pop(host, None)
        self.acknowledged_versions[host] = version  # a lower one too: its process has started anew
        while len(self.acknowledged_versions) > MAX_ACKNOWLEDGING_HOSTS:
            del self.acknowledged_versions[next(iter(self.acknowledged_versions))]

    def is_replicated(self, version: int, voters: Collection[str], tolerate: int, is_voter: bool) -> bool:
        """Whether what was said here under a version is on this disk, and on so many others that it outlives
        the loss of any `tolerate`. A disk that doesn't vote is not one of those that may be counted on."""
        if self.durable_versions.get(self.source_id, -1) < version:
            return False
        others = sum(self.acknowledged_versions.get(host, -1) >= version for host in voters)
        return others >= tolerate + (not is_voter)

    # -- from time to time

    def tick(self, now_ns: int, still_reported: Callable[[str], bool], sources: Collection[str]) -> None:
        """Forgets what nobody has said for long. `said`: whether a source still says that a life is draining
        or gone; `sources`: those that are still known."""
        for ident, fence in list(self.records.items()):
            if now_ns - fence.last_reported_ns < REVIEW_INTERVAL_NS:
                continue
            if still_reported(ident):
                self.records[ident] = replace(fence, last_reported_ns=now_ns)
            elif now_ns - fence.last_reported_ns > RETENTION_NS and ident not in self.unsynced:
                self.forget(ident)
        for old in self.durable_versions.keys() - set(sources):
            del self.durable_versions[old]
        for old in self.pending_versions.keys() - set(sources):
            del self.pending_versions[old]
