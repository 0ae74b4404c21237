"""Drains and departures that outlive a loss of power, and how far each source's are on this disk.

An instance that any node reports as draining or gone is recorded here, so that no late heartbeat and no
restart brings it back. The machine says what to write, and the caller writes it and reports the end of the
write. Only then does the acknowledgement of a source rise, which the next pull carries to that source. A
drain is acknowledged to its caller once it is on this disk and on as many others as its loss must survive.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, replace
from typing import Any

from meadowworks.gossip.messages import DrainAcknowledgement
from meadowworks.gossip.updates import NO_VERSION, KeyUpdate
from meadowworks.registry.backend_state import (
    BACKEND_KEY_PREFIX,
    GONE,
    STATE_RANK,
    UP,
    BackendValue,
    furthest_state,
    parse_drain,
)
from meadowworks.registry.heartbeats import RETENTION_NS

# Beyond it the oldest that are on disk go, those that are gone first: guards against records without end.
MAX_DRAIN_RECORDS = 8192
REVIEW_INTERVAL_NS = RETENTION_NS // 4  # between two looks whether any node still reports a drain
MAX_ACKNOWLEDGING_HOSTS = 64  # far more than there are disks: guards against hosts that come and go


@dataclass(frozen=True, slots=True)
class DrainRecord:
    """An instance that is draining or gone, and when any node last reported that."""

    value: BackendValue
    last_reported_ns: int

    @property
    def state(self) -> str:
        """Draining or gone."""
        return str(self.value.state)


@dataclass(frozen=True, slots=True)
class WriteBatch:
    """One write to the disk.

    :ivar rows: by instance id, values that are new or have changed.
    :ivar deleted: ids whose rows go.
    :ivar versions: by source, the version up to which all its drains are on disk once this is written.
    """

    rows: Mapping[str, tuple[Any, ...]]
    deleted: frozenset[str]
    versions: Mapping[str, int]


class DrainLog:
    """The drains that this disk holds or is to hold. One write is in flight at a time.

    :ivar source_id: the source under which this process publishes.
    :ivar records: by instance id.
    :ivar unsynced: ids whose record is not on disk yet.
    :ivar deleted: ids that are forgotten, and whose row is still on disk.
    :ivar pending_versions: by source, the version that the next write makes durable.
    :ivar durable_versions: by source, the version up to which all its drains are on disk.
    :ivar acknowledged_versions: by host, the version of this process's updates whose drains are on its disk.
    """

    def __init__(self, source_id: str, max_records: int = MAX_DRAIN_RECORDS) -> None:
        self.source_id = source_id
        self._max_records = max_records
        self.records: dict[str, DrainRecord] = {}
        self.unsynced: set[str] = set()
        self.deleted: set[str] = set()
        self.pending_versions: dict[str, int] = {}
        self.durable_versions: dict[str, int] = {}
        self.write_in_flight: WriteBatch | None = None
        self.acknowledged_versions: dict[str, int] = {}

    # -- what nodes report

    def on_update(self, now_ns: int, update: KeyUpdate) -> None:
        """Records a report of a drain; anything else, and what is malformed, changes nothing."""
        if not update.key.startswith(BACKEND_KEY_PREFIX) or update.value is None:
            return
        value = parse_drain(update.value)
        if value is not None:
            self._record(now_ns, update.key.removeprefix(BACKEND_KEY_PREFIX), value)

    def on_version(self, source: str, version: int) -> None:
        """Notes that every update of a source up to a version has been handed to ``on_update``."""
        pending = self.pending_versions.get(source, NO_VERSION)
        if version > max(pending, self.durable_versions.get(source, NO_VERSION)):
            self.pending_versions[source] = version
        self._promote_pending_versions()

    def state(self, instance_id: str) -> str:
        """Returns how far an instance has gone; up for one that is not recorded."""
        record = self.records.get(instance_id)
        return record.state if record else UP

    def tick(self, now_ns: int, still_reported: Callable[[str], bool], sources: Collection[str]) -> None:
        """Forgets what no node has reported for long, and sources that have expired.

        :param still_reported: whether any node reports an instance as draining or gone.
        :param sources: those that are still known.
        """
        for instance_id, record in list(self.records.items()):
            silence_ns = now_ns - record.last_reported_ns
            if silence_ns < REVIEW_INTERVAL_NS:
                continue
            if still_reported(instance_id):
                self.records[instance_id] = replace(record, last_reported_ns=now_ns)
            elif silence_ns > RETENTION_NS and instance_id not in self.unsynced:
                self._forget(instance_id)
        for versions in (self.durable_versions, self.pending_versions):
            for source in versions.keys() - set(sources):
                del versions[source]

    def _record(self, now_ns: int, instance_id: str, value: BackendValue) -> None:
        record = self.records.get(instance_id)
        if record is not None:
            is_further = STATE_RANK[value.state] > STATE_RANK[record.state]
            adds_address = value.address and not record.value.address
            if not is_further and not adds_address:
                self.records[instance_id] = replace(record, last_reported_ns=now_ns)
                return
            details = value if value.address else record.value
            value = details._replace(state=furthest_state(record.state, value.state))
        elif len(self.records) >= self._max_records:
            self._evict_oldest()
        self.records[instance_id] = DrainRecord(value, now_ns)
        self.unsynced.add(instance_id)
        self.deleted.discard(instance_id)

    def _evict_oldest(self) -> None:
        """Forgets one record, if there is one on disk: an acknowledgement waits for the others."""
        candidates = [
            (record.state != GONE, record.last_reported_ns, instance_id)
            for instance_id, record in self.records.items()
            if instance_id not in self.unsynced
        ]
        if candidates:
            self._forget(min(candidates)[2])

    def _forget(self, instance_id: str) -> None:
        del self.records[instance_id]
        self.unsynced.discard(instance_id)
        self.deleted.add(instance_id)

    # -- the disk

    def restore(self, now_ns: int, rows: Mapping[str, Any]) -> None:
        """Takes what the disk held at the start."""
        for instance_id, value in rows.items():
            self.records[instance_id] = DrainRecord(BackendValue._make(value), now_ns)

    def next_batch(self) -> WriteBatch | None:
        """Returns what to write now, all that has come since the last write; None while one is in flight."""
        if self.write_in_flight is not None or not (self.unsynced or self.deleted):
            return None
        rows = {instance_id: self.records[instance_id].value for instance_id in self.unsynced}
        self.write_in_flight = WriteBatch(rows, frozenset(self.deleted), self.pending_versions)
        self.unsynced, self.deleted, self.pending_versions = set(), set(), {}
        return self.write_in_flight

    def on_written(self) -> None:
        """Notes that the write in flight is on disk."""
        assert self.write_in_flight is not None
        self.durable_versions |= self.write_in_flight.versions
        self.write_in_flight = None
        self._promote_pending_versions()

    def on_write_failed(self) -> None:
        """Notes that the disk has refused the write in flight: it joins the next one."""
        assert self.write_in_flight is not None
        failed, self.write_in_flight = self.write_in_flight, None
        self.unsynced |= failed.rows.keys() & self.records.keys()
        self.deleted |= (failed.deleted | failed.rows.keys()) - self.records.keys()
        self.pending_versions = {**failed.versions, **self.pending_versions}

    def _promote_pending_versions(self) -> None:
        """Makes the pending versions durable where nothing is left to write."""
        if not self.unsynced and self.write_in_flight is None:
            self.durable_versions |= self.pending_versions
            self.pending_versions.clear()

    # -- acknowledgements between disks

    def acknowledgement(self, source: str) -> DrainAcknowledgement:
        """Returns what a pull tells a source of this disk."""
        return DrainAcknowledgement(source, self.durable_versions.get(source, NO_VERSION))

    def is_caught_up(self, source: str) -> bool:
        """Returns whether no write is owed or in flight for drains of a source."""
        is_written = self.write_in_flight is None or source not in self.write_in_flight.versions
        return is_written and source not in self.pending_versions

    def on_acknowledgement(self, host: str, source: str, version: int) -> None:
        """Takes another disk's acknowledgement.

        Guards against one of an earlier incarnation of this process: its versions were counted anew.
        """
        if source != self.source_id:
            return
        self.acknowledged_versions.pop(host, None)
        # Even a lower one: the host's process has restarted, maybe on another disk.
        self.acknowledged_versions[host] = version
        while len(self.acknowledged_versions) > MAX_ACKNOWLEDGING_HOSTS:
            del self.acknowledged_versions[next(iter(self.acknowledged_versions))]

    def is_replicated(
        self, version: int, voters: Collection[str], tolerated_failures: int, is_voter: bool
    ) -> bool:
        """Returns whether the drains published here up to a version survive the loss of disks.

        :param voters: the hosts of the other voters.
        :param tolerated_failures: how many disks may be lost.
        :param is_voter: whether this disk votes; one that doesn't may be removed, and doesn't count.
        """
        if self.durable_versions.get(self.source_id, NO_VERSION) < version:
            return False
        others = sum(self.acknowledged_versions.get(host, NO_VERSION) >= version for host in voters)
        return others >= tolerated_failures + (not is_voter)
