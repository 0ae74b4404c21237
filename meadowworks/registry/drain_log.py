"""The durable log of drains and departures, and the versions of each source up to which it is on this disk.

Each instance that any node reports as draining or gone is recorded, so that neither a late heartbeat nor a
restart sets back its state. The log performs no I/O: the caller writes its batches and reports the end of
each write, which advances the acknowledgement that the next pull carries to the source. A drain is
acknowledged to its caller once it is on this disk and on as many others as are needed to survive the
tolerated disk failures.
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

# Bounds memory and disk. Beyond it the oldest durable records are evicted, gone instances first.
MAX_DRAIN_RECORDS = 8192
REVIEW_INTERVAL_NS = RETENTION_NS // 4  # between checks whether any node still reports a drain
MAX_ACKNOWLEDGING_HOSTS = 64  # above any number of disks; bounds memory when hosts are replaced


@dataclass(frozen=True, slots=True)
class DrainRecord:
    """The record of an instance that is draining or gone.

    :ivar last_reported_ns: the last time at which a report of the drain was seen.
    """

    value: BackendValue
    last_reported_ns: int

    @property
    def state(self) -> str:
        """The state of the instance: draining or gone."""
        return str(self.value.state)


@dataclass(frozen=True, slots=True)
class WriteBatch:
    """One write to the disk.

    :ivar rows: by instance id, the new and changed values.
    :ivar deleted: ids of the rows to delete.
    :ivar versions: by source, the version up to which all its drains are on disk after this write.
    """

    rows: Mapping[str, tuple[Any, ...]]
    deleted: frozenset[str]
    versions: Mapping[str, int]


class DrainLog:
    """The drains that are on this disk or are to be written to it. At most one write is in flight.

    :ivar source_id: the source under which this process publishes.
    :ivar records: by instance id.
    :ivar unsynced: ids whose record is not on disk yet.
    :ivar deleted: ids whose record is deleted, but whose row is still on disk.
    :ivar pending_versions: by source, the version that the next write makes durable.
    :ivar durable_versions: by source, the version up to which all its drains are on disk.
    :ivar acknowledged_versions: by host, the version of this process's updates up to which all drains are on
        the host's disk.
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

    # -- reports of nodes

    def on_update(self, now_ns: int, update: KeyUpdate) -> None:
        """Record a reported drain; other and malformed updates are ignored."""
        if not update.key.startswith(BACKEND_KEY_PREFIX) or update.value is None:
            return
        value = parse_drain(update.value)
        if value is not None:
            self._record(now_ns, update.key.removeprefix(BACKEND_KEY_PREFIX), value)

    def on_version(self, source: str, version: int) -> None:
        """Record that ``on_update`` has received all updates of a source up to a version."""
        pending = self.pending_versions.get(source, NO_VERSION)
        if version > max(pending, self.durable_versions.get(source, NO_VERSION)):
            self.pending_versions[source] = version
        self._promote_pending_versions()

    def state(self, instance_id: str) -> str:
        """Return the recorded state of an instance; up if there is no record."""
        record = self.records.get(instance_id)
        return record.state if record else UP

    def tick(self, now_ns: int, still_reported: Callable[[str], bool], sources: Collection[str]) -> None:
        """Delete records that no node has reported for ``RETENTION_NS``, and versions of expired sources.

        :param still_reported: returns whether any node reports an instance as draining or gone.
        :param sources: the sources that have not expired.
        """
        for instance_id, record in list(self.records.items()):
            silence_ns = now_ns - record.last_reported_ns
            if silence_ns < REVIEW_INTERVAL_NS:
                continue
            if still_reported(instance_id):
                self.records[instance_id] = replace(record, last_reported_ns=now_ns)
            elif silence_ns > RETENTION_NS and instance_id not in self.unsynced:
                self._delete_record(instance_id)
        for versions in (self.durable_versions, self.pending_versions):
            for source in versions.keys() - set(sources):
                del versions[source]

    def _record(self, now_ns: int, instance_id: str, value: BackendValue) -> None:
        record = self.records.get(instance_id)
        if record is not None:
            is_later_state = STATE_RANK[value.state] > STATE_RANK[record.state]
            adds_address = value.address and not record.value.address
            if not is_later_state and not adds_address:
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
        """Delete a durable record, if there is one; acknowledgements wait for the other records."""
        candidates = [
            (record.state != GONE, record.last_reported_ns, instance_id)
            for instance_id, record in self.records.items()
            if instance_id not in self.unsynced
        ]
        if candidates:
            self._delete_record(min(candidates)[2])

    def _delete_record(self, instance_id: str) -> None:
        del self.records[instance_id]
        self.unsynced.discard(instance_id)
        self.deleted.add(instance_id)

    # -- the disk

    def restore(self, now_ns: int, rows: Mapping[str, Any]) -> None:
        """Load the rows of the disk at the start of the process."""
        for instance_id, value in rows.items():
            self.records[instance_id] = DrainRecord(BackendValue._make(value), now_ns)

    def next_batch(self) -> WriteBatch | None:
        """Return all changes since the last write; None if there are none or a write is in flight."""
        if self.write_in_flight is not None or not (self.unsynced or self.deleted):
            return None
        rows = {instance_id: self.records[instance_id].value for instance_id in self.unsynced}
        self.write_in_flight = WriteBatch(rows, frozenset(self.deleted), self.pending_versions)
        self.unsynced, self.deleted, self.pending_versions = set(), set(), {}
        return self.write_in_flight

    def on_written(self) -> None:
        """Handle the end of the write in flight: its batch is on disk."""
        assert self.write_in_flight is not None
        self.durable_versions |= self.write_in_flight.versions
        self.write_in_flight = None
        self._promote_pending_versions()

    def on_write_failed(self) -> None:
        """Handle the failure of the write in flight: its batch becomes part of the next one."""
        assert self.write_in_flight is not None
        failed, self.write_in_flight = self.write_in_flight, None
        self.unsynced |= failed.rows.keys() & self.records.keys()
        self.deleted |= (failed.deleted | failed.rows.keys()) - self.records.keys()
        self.pending_versions = {**failed.versions, **self.pending_versions}

    def _promote_pending_versions(self) -> None:
        """Make the pending versions durable if there is nothing left to write."""
        if not self.unsynced and self.write_in_flight is None:
            self.durable_versions |= self.pending_versions
            self.pending_versions.clear()

    # -- acknowledgements between disks

    def acknowledgement(self, source: str) -> DrainAcknowledgement:
        """Return the acknowledgement for a source that the next pull carries."""
        return DrainAcknowledgement(source, self.durable_versions.get(source, NO_VERSION))

    def is_caught_up(self, source: str) -> bool:
        """Return whether no write of a source's drains is pending or in flight."""
        is_written = self.write_in_flight is None or source not in self.write_in_flight.versions
        return is_written and source not in self.pending_versions

    def on_acknowledgement(self, host: str, source: str, version: int) -> None:
        """Record the acknowledgement of another disk.

        Ignores an acknowledgement of an earlier incarnation of this process, whose versions are unrelated.
        """
        if source != self.source_id:
            return
        self.acknowledged_versions.pop(host, None)
        # Also accepts a lower version: the host may have restarted with another disk.
        self.acknowledged_versions[host] = version
        while len(self.acknowledged_versions) > MAX_ACKNOWLEDGING_HOSTS:
            del self.acknowledged_versions[next(iter(self.acknowledged_versions))]

    def is_replicated(
        self, version: int, voters: Collection[str], tolerated_failures: int, is_voter: bool
    ) -> bool:
        """Return whether the drains published here up to a version survive the tolerated disk failures.

        :param voters: the hosts of the other voters.
        :param tolerated_failures: the number of disks that may be lost.
        :param is_voter: whether this disk belongs to a voter; other disks may be removed and do not count.
        """
        if self.durable_versions.get(self.source_id, NO_VERSION) < version:
            return False
        replicas = sum(self.acknowledged_versions.get(host, NO_VERSION) >= version for host in voters)
        return replicas >= tolerated_failures + (not is_voter)
