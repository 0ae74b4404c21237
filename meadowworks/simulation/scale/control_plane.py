"""A control plane made of the product's own state machines and codecs, without sockets and disks.

What the server does between a message that comes and one that leaves is done here with the same calls in the
same order; the clock is handed in. Left out: HTTP, the disk, and consensus.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from meadowworks.controlplane.pull_handler import MAX_WAIT_MS, PROXY_BATCHING_DELAY_S
from meadowworks.controlplane.zone_loads import ZoneLoads
from meadowworks.gossip.messages import (
    CompressedConfig,
    PullReply,
    PullRequest,
    decode_pull_reply,
    decode_pull_request,
    encode,
)
from meadowworks.gossip.peer_sampling import PartialView, PeerRecord
from meadowworks.gossip.updates import KeyUpdate, SourceDelta, UpdateStore
from meadowworks.registry.backend_state import BACKEND_KEY_PREFIX
from meadowworks.registry.backends import BackendDirectory
from meadowworks.registry.heartbeats import HeartbeatRegistry
from meadowworks.simulation.event_scheduler import MS, SECOND, Callback
from meadowworks.simulation.scale.resource_meter import ResourceMeter

CONTROL_PLANE_PORT = 7540
PEER_SAMPLING_SEED = 7
BATCHING_DELAY_NS = int(PROXY_BATCHING_DELAY_S * SECOND)
COMPRESSION_LEVEL = 6
ACKNOWLEDGEMENT_BYTES = 2  # of an answer to a heartbeat: an empty JSON object
START_SECONDS = 1_764_000_000  # the heartbeat of a first incarnation, as by the calendar

Clock = Callable[[], int]
CallLater = Callable[[int, Callback], None]
OnReply = Callable[[bytes, PullReply], None]


def peer_record(name: str, host: str, zone: str, is_voter: bool, incarnation: int = 0) -> PeerRecord:
    """Return the record by which a program of an incarnation is known to others."""
    source = f"{name}.{incarnation:08x}"
    return PeerRecord(name, host, CONTROL_PLANE_PORT, zone, is_voter, source, START_SECONDS + incarnation)


@dataclass(frozen=True, slots=True)
class VersionedContent:
    """The configuration at a control plane, as the operator sent it or compressed; version 0 is none."""

    version: int = 0
    content: bytes = b""


@dataclass(slots=True, eq=False)
class PendingPull:
    """A pull that waits for updates, until `deadline_ns` at most."""

    request: PullRequest
    deadline_ns: int
    on_reply: OnReply
    answered: bool = False


class CopyableZoneLoads(ZoneLoads):
    """The product's sums of load reports, which another control plane can take over."""

    def copy_from(self, other: CopyableZoneLoads) -> None:
        """Add what another control plane has summed so far."""
        for zone, report in other._reports.items():
            self.add(zone, report.pack())


class SimulatedControlPlane:
    """One control plane.

    :param heartbeat_ms: the interval at which backends send their heartbeats.
    :param call_later: calls back after so many nanoseconds, once this control plane is free.
    :param required_replicas: the other control planes that must know a drain before it is acknowledged.
    """

    def __init__(
        self,
        record: PeerRecord,
        heartbeat_ms: int,
        clock: Clock,
        call_later: CallLater,
        meter: ResourceMeter,
        required_replicas: int = 1,
    ) -> None:
        self.meter = meter
        self.peers = PartialView(record, PEER_SAMPLING_SEED)
        self.gossip = UpdateStore(record.incarnation)
        self.backends = BackendDirectory(lambda name: self.gossip.silence_ns(clock(), name), clock)
        self.gossip.update_listeners += [self._on_update, self.backends.on_update]
        self.heartbeats = HeartbeatRegistry(self.gossip.publish, heartbeat_ms)
        self.configuration = VersionedContent()
        self.zone_loads = CopyableZoneLoads(self.gossip, clock())
        self._clock, self._call_later = clock, call_later
        self._compressed = VersionedContent()
        self._pending_pulls: dict[int, PendingPull] = {}
        self._pulse = 0
        self._required_replicas = required_replicas
        self._unacknowledged_drains: dict[int, Callback] = {}  # by version of the own updates
        self._replicated_versions: dict[str, int] = {}  # of the own updates, by host of who has them

    # -- configuration and pending pulls

    def adopt_configuration(self, version: int, content: bytes) -> None:
        """Take a newer configuration and hand it to all who wait."""
        if version > self.configuration.version:
            self.configuration = VersionedContent(version, content)
            self._wake_pulls()

    def compressed_configuration(self) -> CompressedConfig:
        """Return the version and its content, compressed once for all as the program does."""
        if self._compressed.version != self.configuration.version:
            content = zlib.compress(self.configuration.content, COMPRESSION_LEVEL)
            self._compressed = VersionedContent(self.configuration.version, content)
        return CompressedConfig(self._compressed.version, self._compressed.content)

    def _on_update(self, update: KeyUpdate) -> None:
        if update.key.startswith(BACKEND_KEY_PREFIX):
            self._wake_pulls()

    def _wake_pulls(self) -> None:
        for key, pending in list(self._pending_pulls.items()):
            del self._pending_pulls[key]
            has_configuration = self.configuration.version <= pending.request.config_version
            wait_ns = 0
            if has_configuration and not pending.request.sender.is_voter:
                wait_ns = min(BATCHING_DELAY_NS, max(0, pending.deadline_ns - self._clock()))
            self._call_later(wait_ns, lambda pending=pending: self._answer_if_due(pending))  # type: ignore[misc]

    # -- pulls by others

    def on_pull(self, body: bytes, on_reply: OnReply) -> None:
        """Answer a pull, at once or when there is something to tell; `on_reply` gets the encoded reply."""
        self.meter.received(len(body))
        request = self.meter.timed("read a pull", lambda: decode_pull_request(body))
        self.meter.timed("note a pull", lambda: self._note_pull(request))
        wait_ns = min(request.max_wait_ms, MAX_WAIT_MS) * MS
        pending = PendingPull(request, self._clock() + wait_ns, on_reply)
        self._call_later(wait_ns, lambda: self._on_wait_expired(pending))
        self._answer_if_due(pending)

    def _note_pull(self, request: PullRequest) -> None:
        sender = request.sender
        self.peers.merge(self._clock(), [sender, *request.peers])
        if sender.is_voter:
            own_version = request.version_vector.get(self.gossip.source_id, -1)
            self._replicated_versions[sender.host] = own_version
            self._acknowledge_drains()
        if request.load_report:
            self.zone_loads.add(sender.zone, request.load_report)

    def _on_wait_expired(self, pending: PendingPull) -> None:
        if not pending.answered and self._pending_pulls.pop(id(pending), None) is not None:
            self._answer_if_due(pending)

    def _answer_if_due(self, pending: PendingPull) -> None:
        if pending.answered:
            return
        request = pending.request
        deltas = self.meter.timed(
            "what it lacks",
            lambda: self.gossip.deltas_since(request.version_vector, request.sender.incarnation),
        )
        if self._clock() < pending.deadline_ns and not self._must_answer(deltas, request):
            self._pending_pulls[id(pending)] = pending
            return
        pending.answered = True
        self.meter.timed("answer a pull", lambda: self._answer_pull(pending, deltas))

    def _must_answer(self, deltas: Iterable[SourceDelta], request: PullRequest) -> bool:
        return (
            self.configuration.version > request.config_version
            or not request.version_vector
            or any(key.startswith(BACKEND_KEY_PREFIX) for delta in deltas for _, key, _ in delta.changes)
        )

    def _answer_pull(self, pending: PendingPull, deltas: list[SourceDelta]) -> None:
        request = pending.request
        lacks_configuration = self.configuration.version > request.config_version
        configuration = self.compressed_configuration() if lacks_configuration else None
        records = tuple(self.peers.shuffle_sample()[1:]) if request.peers else ()
        known = self.peers.peers.get(request.sender.host)
        if known is not None and known.record.heartbeat > request.sender.heartbeat:
            records = (*records, known.record)  # so that an older incarnation sees that it was followed
        reply = PullReply(self.peers.local, records, tuple(deltas), True, configuration)
        body = reply.encode()
        self.meter.sent(len(body))
        pending.on_reply(body, reply)

    # -- backends

    def on_heartbeat(self, instance_id: str, body: bytes, on_acknowledged: Callback) -> None:
        """Take a backend's heartbeat; a drain is acknowledged once enough others know of it."""

        def apply() -> int:
            found = self.heartbeats.record_heartbeat(self._clock(), instance_id, json.loads(body))
            return getattr(found, "version", 0)

        version = self.meter.timed("a beat", apply)
        self._acknowledge_when_replicated(len(body), version, on_acknowledged)

    def on_leave(self, instance_id: str, on_acknowledged: Callback) -> None:
        """Take a backend's last word."""
        found = self.meter.timed("a beat", lambda: self.heartbeats.leave(self._clock(), instance_id))
        self._acknowledge_when_replicated(len(b"{}"), getattr(found, "version", 0), on_acknowledged)

    def _acknowledge_when_replicated(self, size: int, version: int, on_acknowledged: Callback) -> None:
        self.meter.received(size)
        self.meter.sent(ACKNOWLEDGEMENT_BYTES)
        if version:
            self._unacknowledged_drains[version] = on_acknowledged
            self.meter.timed("note a pull", self._acknowledge_drains)
        else:
            on_acknowledged()

    def _acknowledge_drains(self) -> None:
        for version in list(self._unacknowledged_drains):
            replicas = sum(known >= version for known in self._replicated_versions.values())
            if replicas >= self._required_replicas:
                self._unacknowledged_drains.pop(version)()

    # -- own pulls

    def build_pull(self, with_peers: bool) -> bytes:
        """Return a pull of another control plane's updates."""
        body = self.meter.timed("ask others", lambda: self._own_pull(with_peers).encode())
        self.meter.sent(len(body))
        return body

    def _own_pull(self, with_peers: bool) -> PullRequest:
        local = self.peers.local
        records = tuple(self.peers.shuffle_sample()[1:]) or (local,) if with_peers else ()
        vector = self.gossip.remote_version_vector()
        return PullRequest(local, records, vector, self.configuration.version, MAX_WAIT_MS)

    def on_pull_reply(self, body: bytes) -> None:
        """Take the reply to an own pull."""
        self.meter.received(len(body))
        reply = self.meter.timed("read news", lambda: decode_pull_reply(body))
        self.meter.timed("take news", lambda: self._apply_reply(reply))

    def _apply_reply(self, reply: PullReply) -> None:
        now = self._clock()
        self.peers.merge(now, [reply.sender, *reply.peers])
        for delta in reply.deltas:
            self.gossip.apply(now, delta)
        if reply.config is not None:
            version, content = reply.config
            self.adopt_configuration(version, zlib.decompress(content))

    # -- from time to time

    def each_second(self) -> None:
        """Do what the program does each second."""
        self.meter.timed("each second: lives", self._expire)
        self.meter.timed("each second: figures", self.publish_load_reports)
        self.meter.timed("each second: for the disk", self.encoded_heartbeats)

    def _expire(self) -> None:
        now = self._clock()
        self.peers.advance_heartbeat()
        self.peers.expire(now)
        self.gossip.expire_sources(now)
        self.heartbeats.tick(now)
        self.backends.refresh_all()
        self.backends.changed_ids.clear()

    def publish_load_reports(self) -> None:
        """Publish the sums of a second by zone, and that this control plane lives."""
        self._pulse += 1
        self.gossip.publish("pulse", self._pulse)
        self.zone_loads.publish(self._clock())

    def encoded_heartbeats(self) -> dict[str, Any]:
        """Return what the program keeps of its backends on the disk, by instance."""
        return {instance: encode(value) for instance, value in self.heartbeats.durable_values().items()}
