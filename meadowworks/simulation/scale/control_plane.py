"""A simulated control plane, built from the product's own state machines and codecs.

It handles messages with the same calls in the same order as the server, with a clock as a parameter. HTTP,
disks and consensus are left out.
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
ACKNOWLEDGEMENT_BYTES = 2  # of the response to a heartbeat: an empty JSON object
START_UNIX_S = 1_764_000_000  # the heartbeat of a first incarnation, a Unix timestamp

Clock = Callable[[], int]
CallLater = Callable[[int, Callback], None]
OnReply = Callable[[bytes, PullReply], None]


def peer_record(name: str, host: str, zone: str, is_voter: bool, incarnation: int = 0) -> PeerRecord:
    """Return the peer record of a program's incarnation."""
    source = f"{name}.{incarnation:08x}"
    return PeerRecord(name, host, CONTROL_PLANE_PORT, zone, is_voter, source, START_UNIX_S + incarnation)


@dataclass(frozen=True, slots=True)
class VersionedContent:
    """A version of the configuration, as the operator sent it or compressed; version 0 stands for none."""

    version: int = 0
    content: bytes = b""


@dataclass(slots=True, eq=False)
class PendingPull:
    """A pull that waits for updates until `deadline_ns` at most."""

    request: PullRequest
    deadline_ns: int
    on_reply: OnReply
    answered: bool = False


class CopyableZoneLoads(ZoneLoads):
    """The product's sums of load reports, with a copy operation."""

    def copy_from(self, other: CopyableZoneLoads) -> None:
        """Add the sums of another control plane."""
        for zone, report in other._reports.items():
            self.add(zone, report.pack())


class SimulatedControlPlane:
    """One control plane.

    :param heartbeat_ms: the interval at which backends send their heartbeats.
    :param call_later: calls back after a delay in nanoseconds, once this control plane is idle.
    :param required_replicas: the other control planes that must have a drain before it is acknowledged.
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
        self._unacknowledged_drains: dict[int, Callback] = {}  # by version of the local updates
        self._replicated_versions: dict[str, int] = {}  # by host: the local updates' version that it has

    # -- configuration and pending pulls

    def adopt_configuration(self, version: int, content: bytes) -> None:
        """Adopt a configuration if it is newer, and answer the pending pulls."""
        if version > self.configuration.version:
            self.configuration = VersionedContent(version, content)
            self._wake_pulls()

    def compressed_configuration(self) -> CompressedConfig:
        """Return the configuration, compressed once per version as in the program."""
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

    # -- pulls by other programs

    def on_pull(self, body: bytes, on_reply: OnReply) -> None:
        """Answer a pull, at once or when there are updates; `on_reply` receives the encoded reply."""
        self.meter.received(len(body))
        request = self.meter.timed("read a pull", lambda: decode_pull_request(body))
        self.meter.timed("note a pull", lambda: self._record_pull(request))
        wait_ns = min(request.max_wait_ms, MAX_WAIT_MS) * MS
        pending = PendingPull(request, self._clock() + wait_ns, on_reply)
        self._call_later(wait_ns, lambda: self._on_wait_expired(pending))
        self._answer_if_due(pending)

    def _record_pull(self, request: PullRequest) -> None:
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
        peer = self.peers.peers.get(request.sender.host)
        if peer is not None and peer.record.heartbeat > request.sender.heartbeat:
            records = (*records, peer.record)  # lets an older incarnation detect that it was replaced
        reply = PullReply(self.peers.local, records, tuple(deltas), True, configuration)
        body = reply.encode()
        self.meter.sent(len(body))
        pending.on_reply(body, reply)

    # -- backends

    def on_heartbeat(self, instance_id: str, body: bytes, on_acknowledged: Callback) -> None:
        """Handle a backend's heartbeat; a drain is acknowledged once enough control planes have it."""

        def apply() -> int:
            update = self.heartbeats.record_heartbeat(self._clock(), instance_id, json.loads(body))
            return getattr(update, "version", 0)

        version = self.meter.timed("a beat", apply)
        self._acknowledge_when_replicated(len(body), version, on_acknowledged)

    def on_leave(self, instance_id: str, on_acknowledged: Callback) -> None:
        """Handle the departure of a backend."""
        update = self.meter.timed("a beat", lambda: self.heartbeats.leave(self._clock(), instance_id))
        self._acknowledge_when_replicated(len(b"{}"), getattr(update, "version", 0), on_acknowledged)

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
            replicas = sum(replicated >= version for replicated in self._replicated_versions.values())
            if replicas >= self._required_replicas:
                self._unacknowledged_drains.pop(version)()

    # -- own pulls

    def build_pull(self, with_peers: bool) -> bytes:
        """Return an encoded pull of another control plane's updates."""
        body = self.meter.timed("ask others", lambda: self._own_pull(with_peers).encode())
        self.meter.sent(len(body))
        return body

    def _own_pull(self, with_peers: bool) -> PullRequest:
        local = self.peers.local
        records = tuple(self.peers.shuffle_sample()[1:]) or (local,) if with_peers else ()
        vector = self.gossip.remote_version_vector()
        return PullRequest(local, records, vector, self.configuration.version, MAX_WAIT_MS)

    def on_pull_reply(self, body: bytes) -> None:
        """Handle the reply to one of its own pulls."""
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

    # -- periodic work

    def each_second(self) -> None:
        """Run the periodic work of one second."""
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
        """Publish the last second's sums by zone, and a counter that shows that this control plane runs."""
        self._pulse += 1
        self.gossip.publish("pulse", self._pulse)
        self.zone_loads.publish(self._clock())

    def encoded_heartbeats(self) -> dict[str, Any]:
        """Return the backends' records that the program writes to the disk, by instance."""
        return {instance: encode(value) for instance, value in self.heartbeats.durable_values().items()}
