"""The machines of a simulated deployment, in the state of one that has run for a while."""

from __future__ import annotations

import json
import random
import zlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from meadowworks.gossip.messages import PullReply
from meadowworks.proxy.control_plane_selection import ControlPlaneSelector
from meadowworks.simulation.event_scheduler import Callback
from meadowworks.simulation.scale.control_plane import (
    SimulatedControlPlane,
    VersionedContent,
    peer_record,
)
from meadowworks.simulation.scale.generated_configuration import generate_configuration, service_name
from meadowworks.simulation.scale.proxy import SimulatedProxy
from meadowworks.simulation.scale.proxy_stub import ProxyStub
from meadowworks.simulation.scale.scheduler import SimulatedNode, WorkScheduler
from meadowworks.simulation.scale.settings import ScaleSettings
from meadowworks.simulation.scale.topology import Topology

HEARTBEAT_MS = 1500
REQUEST_MS = 90  # latency of a request in the generated load reports


@dataclass(frozen=True, slots=True, eq=False)
class ControlPlaneHost:
    """A control plane and its machine."""

    node: SimulatedNode
    program: SimulatedControlPlane

    @property
    def address(self) -> str:
        """The host in its peer record."""
        return self.program.peers.local.host


@dataclass(slots=True, eq=False)
class ProxyHost:
    """A proxy that is simulated in full; a restart replaces `program`."""

    node: SimulatedNode
    selection: ControlPlaneSelector
    program: SimulatedProxy


@dataclass(frozen=True, slots=True, eq=False)
class StubHost:
    """A proxy that is simulated by a stub."""

    node: SimulatedNode
    selection: ControlPlaneSelector
    program: ProxyStub


AnyProxyHost = ProxyHost | StubHost


@dataclass(slots=True)
class Backend:
    """An instance of a service."""

    service: str
    address: str
    zone: str
    heartbeats: int = 0


@dataclass(slots=True)
class FailedMachines:
    """The failed machines of a run.

    `backends` maps a backend that ended without leaving to the name of its control plane. `lost_ns` is the
    time of the loss, 0 before it.
    """

    lost_ns: int = 0
    backends: dict[str, str] = field(default_factory=dict)


class Deployment:
    """Control planes, proxies and backends that have each other's records and a configuration."""

    def __init__(self, settings: ScaleSettings, progress: Callable[[str], None]) -> None:
        self.settings = settings
        self.random = random.Random(settings.seed)
        self.scheduler = WorkScheduler(settings.cpu, settings.most_mb, progress)
        self.topology = Topology(settings.zones)
        self.failed = FailedMachines()
        self.control_planes: list[ControlPlaneHost] = []
        self.proxies: list[ProxyHost] = []
        self.stubs: list[StubHost] = []
        self.backends: dict[str, Backend] = {}  # by instance
        self.failover_targets: dict[str, ControlPlaneHost] = {}  # by instance: replaces its failed one
        self.instances_of_zone: dict[str, list[str]] = {zone: [] for zone in self.topology.zones}
        progress(f"building {settings.controllers} controllers, {settings.backends} backends")
        self._add_control_planes()
        self.configuration = generate_configuration(1, settings.routes, settings.services, self.random)
        self._adopt_configuration()
        for number in range(settings.backends):
            self._add_backend(number)
        self._spread_first_heartbeats()
        self._add_proxies()

    @property
    def now(self) -> int:
        """The simulated time in nanoseconds."""
        return self.scheduler.now

    def clock(self) -> int:
        """Return the simulated time in nanoseconds, as the clock of programs."""
        return self.scheduler.now

    # -- construction

    def _add_control_planes(self) -> None:
        count = self.settings.boxes
        for number in range(count):
            zone = self.topology.zones[number * self.settings.zones // count]
            record = peer_record(f"core-{number}", f"10.0.0.{number + 1}", zone, True)
            node = SimulatedNode(record.name, zone)
            program = SimulatedControlPlane(
                record, HEARTBEAT_MS, self.clock, self._call_later_at(node), node.meter, count // 2
            )
            self.control_planes.append(ControlPlaneHost(node, program))
        records = [host.program.peers.local for host in self.control_planes]
        for host in self.control_planes:
            host.program.peers.merge(self.now, records)

    def _call_later_at(self, node: SimulatedNode) -> Callable[[int, Callback], None]:
        def call_later(wait_ns: int, action: Callback) -> None:
            self.scheduler.call_after_work(wait_ns, partial(self.scheduler.enqueue, node, action))

        return call_later

    def _adopt_configuration(self) -> None:
        content = json.dumps(self.configuration).encode()
        for host in self.control_planes:
            host.program.configuration = VersionedContent(1, content)

    def _add_backend(self, number: int) -> None:
        zone = self.topology.zone(number)
        service = service_name(number // len(self.topology.zones) % self.settings.services)
        address = f"10.128.{number // 250 % 250}.{number % 250 + 1}:{8080 + number // 62500}"
        self.add_backend(Backend(service, address, zone))

    def add_backend(self, backend: Backend) -> str:
        """Add an instance and return its random name."""
        instance = f"i-{self.random.getrandbits(32):08x}"
        self.backends[instance] = backend
        self.instances_of_zone[backend.zone].append(instance)
        return instance

    def _spread_first_heartbeats(self) -> None:
        """Record the first heartbeats and replicate them to all control planes, without messages."""
        for instance in self.backends:
            program = self.control_plane_of(instance).program
            program.heartbeats.record_heartbeat(self.now, instance, json.loads(self.heartbeat_body(instance)))
        programs = [host.program for host in self.control_planes]
        for program in programs:
            program.publish_load_reports()
        for program in programs:
            for other in programs:
                if program is not other:
                    vector = program.gossip.remote_version_vector()
                    for delta in other.gossip.deltas_since(vector, program.gossip.source_id):
                        program.gossip.apply(self.now, delta)

    def _add_proxies(self) -> None:
        count = max(0, self.settings.controllers - self.settings.boxes)
        whole = min(self.settings.whole, count)
        full_numbers = {number * count // max(1, self.settings.whole) for number in range(whole)}
        for number in range(count):
            zone = self.topology.zone(number)
            address = f"10.{1 + number // 50000}.{number // 250 % 200}.{number % 250 + 1}"
            record = peer_record(f"edge-{number}", address, zone, False)
            node = SimulatedNode(record.name, zone)
            if number in full_numbers:
                proxy = SimulatedProxy(record, self.topology.zones, self.clock, node.meter)
                self.proxies.append(ProxyHost(node, ControlPlaneSelector(zone), proxy))
                self.transfer_state(proxy)
            else:
                stub = ProxyStub(record, partial(self.draw_load_report, zone), node.meter)
                control_plane = self.nearest_control_plane(zone).program
                stub.version_vector = control_plane.gossip.version_vector()
                stub.configuration_version = control_plane.configuration.version
                self.stubs.append(StubHost(node, ControlPlaneSelector(zone), stub))

    # -- queries

    def nearest_control_plane(self, zone: str) -> ControlPlaneHost:
        """Return the preferred control plane of a proxy in a zone."""
        records = [host.program.peers.local for host in self.control_planes]
        chosen = ControlPlaneSelector(zone).choose(self.now, records, [])
        return next(host for host in self.control_planes if chosen and host.address == chosen[0])

    def control_plane_of(self, instance: str) -> ControlPlaneHost:
        """Return the control plane of a backend: one in its zone, else one by a hash of its name."""
        if instance in self.failover_targets:
            return self.failover_targets[instance]
        for host in self.control_planes:
            if host.node.zone == self.backends[instance].zone:
                return host
        return self.control_planes[zlib.crc32(instance.encode()) % len(self.control_planes)]

    def all_proxies(self) -> list[AnyProxyHost]:
        """Return the proxies that are simulated in full, then the stubs."""
        return [*self.proxies, *self.stubs]

    def random_offset_ns(self, seconds: float) -> int:
        """Return a random offset within a period."""
        return int(self.random.random() * seconds * 1_000_000_000)

    # -- messages

    def transfer_state(self, proxy: SimulatedProxy) -> None:
        """Transfer the complete state to a proxy in one reply."""
        control_plane = self.nearest_control_plane(proxy.zone).program
        proxy.on_pull_reply(complete_reply(control_plane, proxy.gossip.source_id).encode())

    def heartbeat_body(self, instance: str, state: str = "up") -> bytes:
        """Return the body of a backend's next heartbeat."""
        backend = self.backends[instance]
        backend.heartbeats += 1
        details = {"svc": backend.service, "ver": "v1", "zone": backend.zone, "capacity": 2}
        status = {"state": state, "calls": backend.heartbeats, "warmupMs": 0}
        body = {"addr": backend.address, "details": details, "status": status}
        return json.dumps(body, separators=(",", ":")).encode()

    def draw_load_report(self, zone: str) -> list[Any] | None:
        """Return a random load report of a proxy for one second, in the format of a pull."""
        instances = self.instances_of_zone[zone] or list(self.backends)
        if not instances or not self.settings.requests:
            return None
        counts = Counter(self.random.choices(instances, k=round(self.settings.requests)))
        by_service = Counter[str]()
        for instance, requests in counts.items():
            by_service[self.backends[instance].service] += requests
        per_backend = [[name, n, 0, REQUEST_MS * n, n, n, 0] for name, n in counts.items()]
        return [per_backend, [[name, n] for name, n in by_service.items()]]


def complete_reply(control_plane: SimulatedControlPlane, receiver: str) -> PullReply:
    """Return the reply to a program without state: all updates and the configuration."""
    deltas = tuple(control_plane.gossip.deltas_since({}, receiver))
    configuration = control_plane.compressed_configuration()
    return PullReply(control_plane.peers.local, (), deltas, True, configuration)
