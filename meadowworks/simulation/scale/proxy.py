"""A simulated proxy, built from the product's own state machines and codecs, without sockets and requests."""

from __future__ import annotations

import random
import zlib
from typing import Any

from meadowworks.config.route_table import RouteTable, load_route_table
from meadowworks.forwarding.connection_pool import ConnectionPool
from meadowworks.gossip.messages import PullReply, PullRequest, decode_pull_reply
from meadowworks.gossip.peer_sampling import PartialView, PeerRecord
from meadowworks.gossip.updates import KeyUpdate, UpdateStore
from meadowworks.load_balancing.load_reports import LOAD_REPORT_PREFIX, BackendSums, LoadReport
from meadowworks.load_balancing.service_balancer import BackendLoad, ServiceBalancer
from meadowworks.proxy.control_plane_client import PULLS_PER_OWN_RECORD
from meadowworks.proxy.control_plane_view import DEFAULT_TARGET_MS
from meadowworks.proxy.load_reporting import OWN_REPORT_MS
from meadowworks.proxy.pull_schedule import LONG_POLL_MS
from meadowworks.registry.backends import BackendDirectory
from meadowworks.simulation.event_scheduler import MS, SECOND
from meadowworks.simulation.scale.control_plane import PEER_SAMPLING_SEED, Clock
from meadowworks.simulation.scale.resource_meter import ResourceMeter


class SimulatedProxy:
    """One proxy; `load_report` collects counts for the next pull, `own_load_report` those for its own use."""

    def __init__(self, record: PeerRecord, zones: list[str], clock: Clock, meter: ResourceMeter) -> None:
        self.zone, self.meter = record.zone, meter
        self.peers = PartialView(record, PEER_SAMPLING_SEED)
        self.gossip = UpdateStore(record.incarnation)
        self.backends = BackendDirectory(lambda name: self.gossip.silence_ns(clock(), name), clock)
        self.gossip.update_listeners += [self.backends.on_update, self._on_update]
        self.route_table: RouteTable | None = None
        self.load_report, self.own_load_report = LoadReport(), LoadReport()
        self._clock, self._zones = clock, zones
        self._random = random.Random(record.host)
        self._services: dict[str, ServiceBalancer] = {}
        self._pool: ConnectionPool[Any] = ConnectionPool()
        self._pulls_answered = 0

    # -- load reports, routes and endpoints

    def _on_update(self, update: KeyUpdate) -> None:
        zone = update.key.removeprefix(LOAD_REPORT_PREFIX)
        if update.key.startswith(LOAD_REPORT_PREFIX) and update.value is not None and zone in self._zones:
            covers_ms, backends, requests = update.value
            self._apply_load_report(zone, int(covers_ms), backends, dict(requests))

    def _apply_load_report(self, zone: str, covers_ms: int, backends: Any, requests: dict[str, int]) -> None:
        """Apply a zone's load report to the balancers of its services."""
        now = self._clock()
        by_service: dict[str, dict[str, BackendLoad]] = {}
        for row in backends:
            sums = BackendSums(*row)
            instance = self.backends.instances.get(sums.instance_id)
            if instance is None:
                continue
            mean_ns = int(sums.elapsed_ms * MS / max(1, sums.attempts - sums.failures))
            queued = sums.waiting / sums.load_samples if sums.load_samples else -1.0
            load = BackendLoad(sums.attempts, sums.failures, mean_ns, queued)
            by_service.setdefault(instance.service, {})[sums.instance_id] = load
            if sums.load_samples:
                in_flight = (sums.running + sums.waiting) / sums.load_samples
                self._pool.record_zone_load(now, sums.instance_id, in_flight)
        covers_ns = max(1, covers_ms) * MS
        for name, service in self._services.items():
            counts = by_service.get(name, {})
            service.record_zone_report(now, self._zones.index(zone), counts, requests.get(name, 0), covers_ns)

    def _apply_route_table(self, table: RouteTable) -> None:
        self.route_table = table
        for name in table.max_connections:
            target_ns = int(table.latency_targets_ms.get(name, DEFAULT_TARGET_MS) * MS) or SECOND
            if name in self._services:
                self._services[name].set_latency_target(target_ns)
            else:
                seed = self._random.getrandbits(32)
                service = ServiceBalancer(name, self._zones, self.zone, target_ns, seed, self._clock())
                self._services[name] = service
        self.backends.changed_ids |= set(self.backends.instances)
        self._refresh_endpoints()

    def _refresh_endpoints(self) -> None:
        if not self.backends.changed_ids:
            return
        self.backends.changed_ids.clear()
        listing, now = self.backends.instances_by_service(), self._clock()
        for name, service in self._services.items():
            service.update_backends(now, listing.get(name, []))
        self._pool.evict(now, set(self.backends.instances))

    # -- pulls

    def build_pull(self) -> bytes:
        """Return an encoded pull of updates, with the counts since the previous pull."""
        body = self.meter.timed("ask", lambda: self._next_pull().encode())
        self.meter.sent(len(body))
        return body

    def _next_pull(self) -> PullRequest:
        includes_record = self._pulls_answered % PULLS_PER_OWN_RECORD == 0
        records = (self.peers.local,) if includes_record else ()
        counted, self.load_report = self.load_report, LoadReport()
        version = self.route_table.version if self.route_table else 0
        report = counted.pack() if counted else None
        vector = self.gossip.remote_version_vector()
        return PullRequest(self.peers.local, records, vector, version, LONG_POLL_MS, report)

    def on_pull_reply(self, body: bytes) -> None:
        """Handle the reply to a pull, with a new route table if there is one."""
        self.meter.received(len(body))
        reply = self.meter.timed("read news", lambda: decode_pull_reply(body))
        table = self._load_table(reply.config[1]) if reply.config and reply.config[1] else None
        self.meter.timed("take news", lambda: self._apply_reply(reply))
        if table is not None:
            self.meter.timed("take a table", lambda: self._apply_route_table(table))
        self.meter.timed("hand on lives", self._refresh_endpoints)

    def _load_table(self, compressed: bytes) -> RouteTable:
        return self.meter.timed("load a table", lambda: load_route_table(zlib.decompress(compressed)))

    def _apply_reply(self, reply: PullReply) -> None:
        now = self._clock()
        self._pulls_answered += 1
        self.peers.merge(now, [reply.sender, *reply.peers])
        for delta in reply.deltas:
            self.gossip.apply(now, delta)

    # -- periodic work

    def each_second(self) -> None:
        """Run the periodic work of one second."""
        self.meter.timed("each second: lives", self._expire)
        self.meter.timed("hand on lives", self._refresh_endpoints)
        self.meter.timed("each second: own figures", self._use_own_load_report)
        self.meter.timed(
            "each second: lines", lambda: self._pool.evict(self._clock(), set(self.backends.instances))
        )

    def _expire(self) -> None:
        now = self._clock()
        self.peers.advance_heartbeat()
        self.peers.expire(now)
        self.gossip.expire_sources(now)
        self.backends.refresh_all()

    def _use_own_load_report(self) -> None:
        """Apply the proxy's own counts if its zone's load report is overdue."""
        now, own_zone = self._clock(), self._zones.index(self.zone)
        own, self.own_load_report = self.own_load_report, LoadReport()
        if any(service.is_report_overdue(now, own_zone) for service in self._services.values()):
            self._apply_load_report(self.zone, OWN_REPORT_MS, own.pack()[0], own.service_requests)

    def each_quarter_second(self) -> None:
        """Run the periodic work of each service's policy."""
        now = self._clock()
        self.meter.timed("controllers' turns", lambda: self._tick_services(now))

    def _tick_services(self, now: int) -> None:
        for service in self._services.values():
            service.tick(now)
            service.log_entries.clear()
