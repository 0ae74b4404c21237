"""Hollow controllers by the hundred in one process: what each role costs as the deployment grows.

Time is simulated: messages take the links' delays, and a controller that is at work takes the next message
only when it is done, by the processor time that was measured for its calls (one core each; `cpu=False` leaves
that out, so that counts do not depend on the machine). A few junctions are whole; the others are callers,
which cost their signalbox what a whole one does, and are charged what the whole ones took for such an answer.
"""

from __future__ import annotations

import gc
import heapq
import json
import pstats
import random
import resource
import time
import tracemalloc
import zlib
from collections import Counter, deque
from collections.abc import Callable
from cProfile import Profile
from dataclasses import asdict, dataclass, field, replace
from functools import partial
from itertools import count
from pathlib import Path
from typing import Any

from meadowworks.config.validation import validate_configuration
from meadowworks.gossip import messages as post
from meadowworks.gossip.peer_sampling import PEER_EXPIRY_NS
from meadowworks.load_balancing.load_reports import LoadReport
from meadowworks.proxy.control_plane_selection import ControlPlaneSelector
from meadowworks.simulation.hollow import (
    MS,
    SECOND,
    ProxyStub,
    ResourceMeter,
    SimulatedControlPlane,
    SimulatedProxy,
    member_record,
)

HEARTBEAT_MS = 1500
DISK_SYNC_NS = 5 * MS
IN_ZONE_NS, IN_REGION_NS, BETWEEN_REGIONS_NS = 200_000, 900_000, 20 * MS
ZONES_PER_REGION = 4
DRAIN_BEFORE_LEAVE_NS = 2 * SECOND
WARM_UP_S = 2.5  # simulated, before anything is counted
HOUR = 3600.0
LOSSES = ("backend", "junction", "box", "rack", "zone", "region", "start")
MACHINES_PER_RACK = 40  # machines of one zone, junctions and backends by how many there are
PULL_TIMEOUT_NS, REPLICATION_PULL_TIMEOUT_NS, CONNECT_TIMEOUT_NS, HEARTBEAT_TIMEOUT_NS = (
    1600 * MS,
    2 * SECOND,
    250 * MS,
    SECOND,
)  # callers' patience


@dataclass(frozen=True, slots=True)
class ScaleSettings:
    """What is played. `controllers` counts signalboxes too. `changes` of the configuration and `churn` (lives
    of junctions and backends that end and are followed by another) an hour; `requests` a second and junction.
    """

    controllers: int = 30
    boxes: int = 3
    zones: int = 4
    backends: int = 100
    services: int = 10
    routes: int = 100
    changes: float = 0.0
    churn: float = 0.0
    requests: float = 190.0
    seconds: float = 10.0
    whole: int = 4
    seed: int = 1
    cpu: bool = True
    memory: bool = True
    loss: str = ""
    profile: bool = False
    most_mb: float = 4000.0  # of memory; a run that takes more ends early


@dataclass(slots=True, eq=False)
class SimulatedNode:
    """A controller as a queue of work: one thing at a time."""

    name: str
    zone: str
    meter: ResourceMeter
    free_ns: int = 0
    work: deque[Callable[[], None]] = field(default_factory=deque)
    busy: bool = False
    incarnation: int = 0
    upstream: ControlPlaneSelector | None = None  # of a junction
    unreachable: set[str] = field(default_factory=set)  # gave no answer: a line must come up first


@dataclass(slots=True)
class ConfigurationChange:
    version: int
    sent_ns: int
    acked_ns: int = 0
    applied_ns: dict[str, int] = field(default_factory=dict)  # by junction


class MemoryLimitError(Exception):
    """The run has taken more memory than it may."""


def peak_mb() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


class ScaleSimulation:
    def __init__(self, settings: ScaleSettings, progress: Callable[[str], None] = lambda line: None) -> None:
        self.settings, self.progress = settings, progress
        self.random = random.Random(settings.seed)
        self.now = 1000 * SECOND
        self.event_numbers, self.events = count(), list[tuple[int, int, Callable[[], None]]]()
        self.zones = [f"zone-{k:02}" for k in range(settings.zones)]
        self.outbox: list[tuple[int, Callable[[], None]]] | None = None
        self.changes: list[ConfigurationChange] = []
        self.drains: list[int] = []  # nanoseconds until acknowledged
        self.proxy_costs: dict[
            bool, tuple[float, float]
        ] = {}  # by whether a table came: ns, bytes, of whole ones
        self.since_ns = self.until_ns = self.now
        self.ended_early = ""  # it ended early
        self.powered_off: set[str] = set()  # controllers without power
        self.isolated_regions: set[int] = set()  # regions that only reach themselves
        self.lost_ns = 0
        self.restarted: set[str] = set()  # junctions that were started anew as a loss
        self.without_control_plane: set[str] = set()  # junctions whose signalbox was lost
        self.lost_backends: dict[str, str] = {}  # backends that ended without a word, and whom they called
        self.detected_s: dict[str, float] = {}  # by junction: seconds until it knew of the loss
        self.control_planes: list[tuple[SimulatedNode, SimulatedControlPlane]] = []
        self.proxies: list[tuple[SimulatedNode, SimulatedProxy]] = []
        self.proxy_stubs: list[tuple[SimulatedNode, ProxyStub]] = []
        self.build()

    # -- time

    def call_at(self, when_ns: int, act: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when_ns, next(self.event_numbers), act))

    def call_after_work(self, wait_ns: int, act: Callable[[], None]) -> None:
        """From within a node's work: counted from when that work is done."""
        if self.outbox is None:
            self.call_at(self.now + wait_ns, act)
        else:
            self.outbox.append((wait_ns, act))

    def enqueue(self, node: SimulatedNode, act: Callable[[], None]) -> None:
        """Work for a node, done in the order in which it comes."""
        node.work.append(act)
        if not node.busy:
            self.run_next(node)

    def run_next(self, node: SimulatedNode) -> None:
        if node.name in self.powered_off:
            node.work.clear()
        if not node.work:
            node.busy = False
            return
        node.busy = True
        act = node.work.popleft()
        self.outbox, out = [], self.outbox
        assert out is None
        node.meter.turn_ns = 0
        act()
        spent = node.meter.take_turn_ns()
        took = spent if self.settings.cpu else 0
        sent, self.outbox = self.outbox, None
        for wait, what in sent or ():
            self.call_at(self.now + took + wait, what)
        self.call_at(self.now + took, lambda: self.run_next(node))

    def run_until(self, until_ns: int, tell: bool = False) -> None:
        shown = time.monotonic()
        while self.events and self.events[0][0] <= until_ns:
            self.now, _, act = heapq.heappop(self.events)
            act()
            if time.monotonic() - shown > 2:
                shown = time.monotonic()
                if tell:
                    self.progress(f"{(until_ns - self.now) / SECOND:.1f} simulated seconds to go")
                if peak_mb() > self.settings.most_mb:
                    raise MemoryLimitError
        self.now = until_ns

    def link_delay_ns(self, one: str, other: str) -> int:
        if one == other:
            return IN_ZONE_NS
        a, b = (self.zones.index(z) // ZONES_PER_REGION for z in (one, other))
        return IN_REGION_NS if a == b else BETWEEN_REGIONS_NS

    # -- the deployment

    def build(self) -> None:
        asked = self.settings
        self.progress(f"builds {asked.controllers} controllers, {asked.backends} backends")
        for k in range(asked.boxes):
            zone = self.zones[k * asked.zones // asked.boxes]
            me = member_record(f"core-{k}", f"10.0.0.{k + 1}", zone, True)
            node = SimulatedNode(me.name, zone, ResourceMeter())
            box = SimulatedControlPlane(
                me,
                HEARTBEAT_MS,
                lambda: self.now,
                lambda wait, act, node=node: self.call_after_work(wait, partial(self.enqueue, node, act)),  # type: ignore[misc]
            )
            box.meter, box.required_replicas = node.meter, asked.boxes // 2
            self.control_planes.append((node, box))
        cards = [box.members.local for _, box in self.control_planes]
        for _, box in self.control_planes:
            box.members.merge(self.now, cards)
        self.rehomed_backends: dict[str, tuple[SimulatedNode, SimulatedControlPlane]] = {}
        self.backends: dict[str, tuple[str, str, str]] = {}  # by id: service, address, zone
        self.heartbeat_counts: Counter[str] = Counter()
        self.backends_of_zone: dict[str, list[str]] = {zone: [] for zone in self.zones}
        self.content = configuration(1, asked.routes, asked.services, self.random)
        version, body = 1, json.dumps(self.content).encode()
        for _, box in self.control_planes:
            box.configuration = version, body
        for k in range(asked.backends):
            self.add_backend(k)
        for ident in self.backends:
            _, box = self.control_plane_of(ident)
            box.beats.heartbeat(self.now, ident, json.loads(self.heartbeat_body(ident)))
        for _, box in self.control_planes:
            box.publish_load_reports()
        for _, box in self.control_planes:
            for _, other in self.control_planes:
                if box is not other:
                    for piece in other.news.deltas_since(
                        box.news.remote_version_vector(), box.news.source_id
                    ):
                        box.news.apply(self.now, piece)
        self.member_records = {node.name: box.members.local for node, box in self.control_planes}
        self.by_host = {box.members.local.host: (node, box) for node, box in self.control_planes}
        many = max(0, asked.controllers - asked.boxes)
        chosen = {k * many // max(1, asked.whole) for k in range(min(asked.whole, many))}
        for k in range(many):
            self.add_proxy(k, k in chosen)

    def add_proxy(self, k: int, whole: bool) -> None:
        zone = self.zones[k % len(self.zones)]
        me = member_record(f"edge-{k}", f"10.{1 + k // 50000}.{k // 250 % 200}.{k % 250 + 1}", zone, False)
        node = SimulatedNode(me.name, zone, ResourceMeter(), upstream=ControlPlaneSelector(zone))
        if whole:
            made = SimulatedProxy(me, self.zones, lambda: self.now)
            made.meter = node.meter
            self.proxies.append((node, made))
            self.transfer_initial_state(made)
        else:
            caller = ProxyStub(me, lambda: self.draw_load_report(zone))
            caller.meter = node.meter
            _, box = self.upstream(zone)
            caller.vector, caller.configuration_version = box.news.version_vector(), box.configuration[0]
            self.proxy_stubs.append((node, caller))

    def transfer_initial_state(self, made: SimulatedProxy) -> bytes:
        """All that is known, taken at once. The bytes of it."""
        _, box = self.upstream(made.zone)
        pieces = tuple(box.news.deltas_since({}, made.news.source_id))
        body = post.PullReply(box.members.local, (), pieces, True, box.compressed_configuration()).encode()
        made.on_pull_reply(body)
        return body

    def add_backend(self, k: int) -> str:
        zone = self.zones[k % len(self.zones)]
        svc = service_name(k // len(self.zones) % self.settings.services)
        ident = f"i-{self.random.getrandbits(32):08x}"
        self.backends[ident] = svc, f"10.128.{k // 250 % 250}.{k % 250 + 1}:{8080 + k // 62500}", zone
        self.backends_of_zone[zone].append(ident)
        return ident

    def upstream(self, zone: str) -> tuple[SimulatedNode, SimulatedControlPlane]:
        cards = [box.members.local for _, box in self.control_planes]
        host = ControlPlaneSelector(zone).choose(self.now, cards, [])
        return next((n, b) for n, b in self.control_planes if host and b.members.local.host == host[0])

    def control_plane_of(self, ident: str) -> tuple[SimulatedNode, SimulatedControlPlane]:
        """Where a backend beats: in its zone if a signalbox is there, else anywhere, until a beat fails."""
        if ident in self.rehomed_backends:
            return self.rehomed_backends[ident]
        zone = self.backends[ident][2]
        near = [pair for pair in self.control_planes if pair[0].zone == zone]
        return near[0] if near else self.control_planes[zlib.crc32(ident.encode()) % len(self.control_planes)]

    def heartbeat_body(self, ident: str, state: str = "up") -> bytes:
        svc, addr, zone = self.backends[ident]
        self.heartbeat_counts[ident] += 1
        details = {"svc": svc, "ver": "v1", "zone": zone, "capacity": 2}
        status = {"state": state, "calls": self.heartbeat_counts[ident], "warmupMs": 0}
        whole = {"addr": addr, "details": details, "status": status}
        return json.dumps(whole, separators=(",", ":")).encode()

    def draw_load_report(self, zone: str) -> list[Any] | None:
        """What a junction has counted over a second, in the shape in which it is told."""
        near = self.backends_of_zone[zone] or list(self.backends)
        if not near or not self.settings.requests:
            return None
        met = Counter(self.random.choices(near, k=round(self.settings.requests)))
        asked = Counter[str]()
        for ident, tries in met.items():
            asked[self.backends[ident][0]] += tries
        return [[[i, n, 0, 90 * n, n, n, 0] for i, n in met.items()], [[s, n] for s, n in asked.items()]]

    # -- what goes on

    def start_all(self) -> None:
        start = self.now
        for node, box in self.control_planes:
            self.call_at(start + self.random_offset_ns(1.0), partial(self.control_plane_second, node, box))
            for other, at in self.control_planes:
                if at is not box:
                    pair = other, at
                    self.call_at(
                        start + self.random_offset_ns(0.1),
                        partial(self.control_plane_pull, node, box, pair, 0),
                    )
        for node, made in self.proxies:
            self.start_proxy(node, made)
        for node, caller in self.proxy_stubs:
            self.call_at(start + self.random_offset_ns(1.0), partial(self.proxy_stub_pull, node, caller))
        for ident in self.backends:
            self.call_at(
                start + self.random_offset_ns(HEARTBEAT_MS / 1000), partial(self.send_heartbeat, ident)
            )
        if self.settings.changes:
            gap = int(HOUR / self.settings.changes * SECOND)
            self.call_at(
                start + int(WARM_UP_S * SECOND) + min(gap, SECOND // 2),
                partial(self.replace_configuration, 2, gap),
            )
        if self.settings.loss:
            self.call_at(start + int((WARM_UP_S + 1) * SECOND), self.inject_loss)
        if self.settings.churn:
            gap = int(HOUR / self.settings.churn * SECOND)
            self.call_at(
                start + int(WARM_UP_S * SECOND) + min(gap, SECOND // 2), partial(self.replace_instance, gap)
            )

    def random_offset_ns(self, seconds: float) -> int:
        return int(self.random.random() * seconds * SECOND)

    def start_proxy(self, node: SimulatedNode, made: SimulatedProxy) -> None:
        life = node.incarnation
        self.call_at(self.now + self.random_offset_ns(1.0), lambda: self.proxy_pull(node, made, life))
        self.call_at(self.now + self.random_offset_ns(1.0), lambda: self.proxy_second(node, made, life))
        self.call_at(self.now + self.random_offset_ns(0.25), lambda: self.proxy_quarter(node, made, life))

    def control_plane_second(self, node: SimulatedNode, box: SimulatedControlPlane) -> None:
        def act() -> None:
            box.each_second()
            self.call_after_work(SECOND, lambda: self.control_plane_second(node, box))

        self.enqueue(node, act)

    def is_reachable(self, one: str, other: str) -> bool:
        """Whether bytes pass between two zones."""
        a, b = (self.zones.index(z) // ZONES_PER_REGION for z in (one, other))
        return a == b or not {a, b} & self.isolated_regions

    def send_pull(
        self,
        node: SimulatedNode,
        pair: tuple[SimulatedNode, SimulatedControlPlane],
        body: bytes,
        took: Callable[[bytes, post.PullReply], None],
        failed: Callable[[], None],
        wait_ns: int,
    ) -> None:
        """A pull: `took` is work of the asker, `failed` comes when its patience is over."""
        other, at = pair
        delay, life, over = self.link_delay_ns(node.zone, other.zone), node.incarnation, [False]

        def up() -> bool:
            return not self.powered_off & {node.name, other.name} and self.is_reachable(node.zone, other.zone)

        def back(body: bytes, news: post.PullReply) -> None:
            self.call_after_work(
                delay, lambda: self.enqueue(node, lambda: came(body, news)) if up() else None
            )

        def came(body: bytes, news: post.PullReply) -> None:
            if not over[0] and node.incarnation == life:
                over[0] = True
                node.unreachable.discard(other.name)
                took(body, news)

        def patience() -> None:
            if not over[0] and node.incarnation == life and node.name not in self.powered_off:
                over[0] = True
                node.unreachable.add(other.name)
                failed()

        def arrived() -> None:
            if not over[0]:  # a line that was closed meanwhile is seen before its request is read
                at.on_pull(body, back)

        self.call_after_work(delay, lambda: self.enqueue(other, arrived) if up() else None)
        self.call_after_work(CONNECT_TIMEOUT_NS if other.name in node.unreachable else wait_ns, patience)

    def control_plane_pull(
        self,
        node: SimulatedNode,
        box: SimulatedControlPlane,
        pair: tuple[SimulatedNode, SimulatedControlPlane],
        turn: int,
    ) -> None:
        def took(body: bytes, news: post.PullReply) -> None:
            box.on_pull_reply(body)
            self.call_after_work(0, lambda: self.control_plane_pull(node, box, pair, turn + 1))

        def failed() -> None:
            if pair[1].members.local.host in box.members.peers:
                self.call_at(self.now + 200 * MS, lambda: self.control_plane_pull(node, box, pair, turn))
            else:  # its card is too old; one that comes back is met again
                self.call_at(self.now + SECOND, failed)

        def act() -> None:
            self.send_pull(
                node, pair, box.build_pull(turn % 5 == 0), took, failed, REPLICATION_PULL_TIMEOUT_NS
            )

        self.enqueue(node, act)

    def control_plane_for(self, node: SimulatedNode) -> tuple[SimulatedNode, SimulatedControlPlane]:
        """Where a junction pulls now. The cards of signalboxes that are lost go after a time."""
        assert node.upstream is not None
        gone = self.powered_off if self.now - self.lost_ns > PEER_EXPIRY_NS else set()
        found = node.upstream.choose(
            self.now, [c for name, c in self.member_records.items() if name not in gone], []
        )
        return self.by_host[found[0] if found else ""]

    def pull_failed(self, node: SimulatedNode, pair: tuple[SimulatedNode, SimulatedControlPlane]) -> None:
        assert node.upstream is not None
        node.upstream.mark_failed(self.now, pair[1].members.local.host)

    def pull_answered(self, node: SimulatedNode) -> None:
        if node.name in self.without_control_plane:
            self.detected_s.setdefault(node.name, (self.now - self.lost_ns) / SECOND)

    def proxy_pull(self, node: SimulatedNode, made: SimulatedProxy, life: int) -> None:
        if node.incarnation != life:
            return
        pair = self.control_plane_for(node)

        def took(body: bytes, news: post.PullReply) -> None:
            made.on_pull_reply(body)
            table = news.config is not None
            spent, size = self.proxy_costs.get(table, (0.0, 0.0))
            self.proxy_costs[table] = spent + made.meter.turn_ns, size + len(body)
            version = made.route_table.version if made.route_table else 0

            def after() -> None:
                self.pull_answered(node)
                if table:
                    self.configuration_applied(node, version)
                self.proxy_pull(node, made, life)

            self.call_after_work(0, after)

        def failed() -> None:
            self.pull_failed(node, pair)
            self.call_at(self.now + 100 * MS, lambda: self.proxy_pull(node, made, life))

        def act() -> None:
            for ident, *counts in (self.draw_load_report(made.zone) or [[]])[0]:
                made.load_report.backend_counts[ident] = list(counts)
                made.own_load_report.backend_counts[ident] = list(counts)
                svc = self.backends[ident][0]
                made.load_report.service_requests[svc] = (
                    made.load_report.service_requests.get(svc, 0) + counts[0]
                )
            self.send_pull(node, pair, made.build_pull(), took, failed, PULL_TIMEOUT_NS)

        self.enqueue(node, act)

    def proxy_stub_pull(self, node: SimulatedNode, caller: ProxyStub) -> None:
        pair = self.control_plane_for(node)

        def took(body: bytes, news: post.PullReply) -> None:
            caller.on_pull_reply(body, news)
            spent, size = self.proxy_costs.get(news.config is not None, (0.0, 0.0))
            wait = int(spent / size * len(body)) if size and self.settings.cpu else 0

            def after() -> None:
                self.pull_answered(node)
                if news.config is not None:
                    self.configuration_applied(node, news.config[0])
                self.proxy_stub_pull(node, caller)

            self.call_after_work(wait, after)

        def failed() -> None:
            self.pull_failed(node, pair)
            self.call_at(self.now + 100 * MS, lambda: self.proxy_stub_pull(node, caller))

        if node.name not in self.powered_off:
            body = caller.build_pull(1_764_000_000 + node.incarnation + (self.now // SECOND))
            self.send_pull(node, pair, body, took, failed, PULL_TIMEOUT_NS)

    def proxy_second(self, node: SimulatedNode, made: SimulatedProxy, life: int) -> None:
        def act() -> None:
            if node.incarnation == life:
                made.each_second()
                self.call_after_work(SECOND, lambda: self.proxy_second(node, made, life))

        self.enqueue(node, act)

    def proxy_quarter(self, node: SimulatedNode, made: SimulatedProxy, life: int) -> None:
        def act() -> None:
            if node.incarnation == life:
                made.each_quarter_second()
                self.call_after_work(SECOND // 4, lambda: self.proxy_quarter(node, made, life))

        self.enqueue(node, act)

    def send_heartbeat(self, ident: str, state: str = "up", again: bool = False) -> None:
        if ident not in self.backends or ident in self.lost_backends:
            return
        node, box = self.control_plane_of(ident)
        if state == "up" and not again:
            self.call_at(self.now + HEARTBEAT_MS * MS, lambda: self.send_heartbeat(ident))
        zone = self.backends[ident][2]
        if node.name in self.powered_off or not self.is_reachable(
            node.zone, zone
        ):  # the next is called a second later
            left = [
                p
                for p in self.control_planes
                if p[0].name not in self.powered_off and self.is_reachable(p[0].zone, zone)
            ]
            if left:
                self.rehomed_backends[ident] = self.random.choice(left)
                self.call_at(self.now + HEARTBEAT_TIMEOUT_NS, lambda: self.send_heartbeat(ident, state, True))
            return
        body, sent = self.heartbeat_body(ident, state), self.now

        def acked() -> None:
            if state != "up":
                self.call_after_work(0, lambda: self.drains.append(self.now - sent))

        self.call_after_work(
            IN_ZONE_NS, lambda: self.enqueue(node, lambda: box.on_heartbeat(ident, body, acked))
        )

    # -- changes

    def replace_configuration(self, version: int, gap: int) -> None:
        """The operator replaces the configuration at the first signalbox: one route has another deadline."""
        self.call_at(self.now + gap, lambda: self.replace_configuration(version + 1, gap))
        host = self.content["vhosts"][self.random.randrange(len(self.content["vhosts"]))]
        route = self.random.choice(host["prefixes"])
        route["deadlineMs"] = 1000 + version % 500
        self.content["ver"] = f"{version:08x}"
        body = json.dumps(self.content).encode()
        one = ConfigurationChange(version, self.now)
        self.changes.append(one)
        node, box = self.control_planes[0]
        others = self.control_planes[1:]
        need = len(self.control_planes) // 2

        def received() -> None:
            box.meter.received(len(body))
            box.meter.timed("check a configuration", lambda: validate_configuration(body))
            first, second = ([0, version, 1, "disk"], [0, version, 1, "disk", body])
            letters(post.encode(first), lambda: letters(post.encode(second), agreed))

        def letters(plain: bytes, then: Callable[[], None]) -> None:
            packed = box.meter.timed("letters", lambda: zlib.compress(plain, 6))
            replies = [0]

            def reply() -> None:
                box.meter.received(40)
                replies[0] += 1
                if replies[0] == need:
                    self.enqueue(node, then)

            def arrived(far: SimulatedNode, far_box: SimulatedControlPlane) -> None:
                far_box.meter.received(len(packed))
                far_box.meter.timed("letters", lambda: post.decode(zlib.decompress(packed)))
                far_box.meter.sent(40)
                self.call_after_work(
                    DISK_SYNC_NS + self.link_delay_ns(node.zone, far.zone), lambda: self.enqueue(node, reply)
                )

            for far, far_box in others:
                box.meter.sent(len(packed))
                self.call_after_work(
                    self.link_delay_ns(node.zone, far.zone),
                    partial(self.enqueue, far, partial(arrived, far, far_box)),
                )
            if not need:
                self.call_after_work(DISK_SYNC_NS, lambda: self.enqueue(node, then))

        def agreed() -> None:
            box.adopt_configuration(version, body)
            box.meter.sent(2)
            self.call_after_work(0, lambda: setattr(one, "acked_ns", self.now))

        self.call_at(self.now + IN_ZONE_NS, lambda: self.enqueue(node, received))

    def configuration_applied(self, node: SimulatedNode, version: int) -> None:
        if node.name in self.restarted:
            self.detected_s.setdefault(node.name, (self.now - self.lost_ns) / SECOND)
        for one in self.changes:
            if one.version <= version:
                one.applied_ns.setdefault(node.name, self.now)

    # -- churn

    def replace_instance(self, gap: int) -> None:
        """One life ends in order and another begins: a backend's or a junction's, by how many there are."""
        self.call_at(self.now + gap, partial(self.replace_instance, gap))
        junctions = len(self.proxies) + len(self.proxy_stubs)
        if self.random.random() * (len(self.backends) + junctions) < junctions:
            self.restart_proxy(self.random.randrange(junctions))
            return
        here = [
            ident for near in self.backends_of_zone.values() for ident in near
        ]  # none that leaves already
        ident = self.random.choice(here)
        svc, addr, zone = self.backends[ident]
        self.send_heartbeat(ident, "draining")
        self.backends_of_zone[zone].remove(ident)
        fresh_ident = f"i-{self.random.getrandbits(32):08x}"
        self.backends[fresh_ident] = svc, addr, zone
        self.backends_of_zone[zone].append(fresh_ident)
        self.send_heartbeat(fresh_ident)

        def leave() -> None:
            node, box = self.control_plane_of(ident)
            del self.backends[ident]
            self.enqueue(node, lambda: box.on_leave(ident, lambda: None))

        self.call_at(self.now + DRAIN_BEFORE_LEAVE_NS, leave)

    def restart_proxy(self, place: int) -> None:
        """A junction of a new life, which knows nothing."""
        if place < len(self.proxies):
            node, made = self.proxies[place]
            node.incarnation += 1
            me = member_record(node.name, made.members.local.host, node.zone, False, node.incarnation)
            fresh = SimulatedProxy(me, self.zones, lambda: self.now)
            fresh.meter = node.meter
            self.proxies[place] = node, fresh
            self.start_proxy(node, fresh)
        else:
            node, caller = self.proxy_stubs[place - len(self.proxies)]
            node.incarnation += 1
            caller.me = member_record(node.name, caller.me.host, node.zone, False, node.incarnation)
            caller.vector, caller.configuration_version = {}, 0
            self.proxy_stub_pull(node, caller)

    # -- losses

    def inject_loss(self) -> None:
        self.lost_ns = self.now
        zone = self.zones[-1]
        junctions = [n for n, _ in [*self.proxies, *self.proxy_stubs]]
        here = [n for n in junctions if n.zone == zone]
        backends = [i for i, (_, _, z) in self.backends.items() if z == zone]
        match self.settings.loss:
            case "backend":
                self.end_backends(backends[:1])
            case "junction":
                self.restart_proxy(junctions.index(here[0]))
            case "box":
                lost = self.control_planes[-1][0]
                self.without_control_plane = {
                    n.name for n in junctions if self.control_plane_for(n)[0] is lost
                }
                self.powered_off.add(lost.name)
            case "rack":
                many = MACHINES_PER_RACK * len(here) // max(1, len(here) + len(backends))
                self.powered_off.update(n.name for n in here[::-1][:many])
                self.end_backends(backends[: MACHINES_PER_RACK - many])
            case "zone":
                self.powered_off.update(
                    n.name for n in [*here, *(n for n, _ in self.control_planes)] if n.zone == zone
                )
                self.end_backends(backends)
            case "region":
                self.isolated_regions.add((len(self.zones) - 1) // ZONES_PER_REGION)
                self.without_control_plane = {
                    n.name
                    for n in junctions
                    if not self.is_reachable(n.zone, self.control_plane_for(n)[0].zone)
                }
                self.call_at(self.now + int(self.settings.seconds * SECOND / 2), self.isolated_regions.clear)
            case "start":
                for node in here:
                    self.restart_proxy(junctions.index(node))
        if self.settings.loss in ("start", "junction"):
            self.restarted = {n.name for n in (here if self.settings.loss == "start" else here[:1])}
        self.detect_losses()

    def end_backends(self, idents: list[str]) -> None:
        """Backends that end without a word."""
        for ident in idents:
            self.lost_backends[ident] = self.control_plane_of(ident)[0].name
            self.backends_of_zone[self.backends[ident][2]].remove(ident)

    def detect_losses(self) -> None:
        """Which of the whole junctions know of all that was lost; seen every twentieth of a second."""
        for node, made in self.proxies:
            if self.lost_backends and node.name not in self.powered_off and node.name not in self.detected_s:
                known = (made.lives.instances.get(ident) for ident in self.lost_backends)
                if all(one is None or one.state != "up" for one in known):
                    self.detected_s[node.name] = (self.now - self.lost_ns) / SECOND
        self.call_at(self.now + SECOND // 20, self.detect_losses)

    # -- what came of it

    def run(self) -> bool:
        """Whether it was played to its end."""
        self.profiles = (
            {name: Profile() for name in ("junction", "signalbox")} if self.settings.profile else {}
        )
        for name, nodes in (("junction", self.proxies), ("signalbox", self.control_planes)):
            for node, _ in nodes:
                node.meter.profile = self.profiles.get(name)
        gc.collect()
        gc.freeze()
        gc.disable()  # the product's processes have a heap of their own each; here one would pay for all
        try:
            self.start_all()
            self.run_until(self.now + int(WARM_UP_S * SECOND))
            for node, _ in [*self.control_planes, *self.proxies, *self.proxy_stubs]:
                node.meter.clear()
            self.since_ns = self.now
            self.run_until(self.now + int(self.settings.seconds * SECOND), True)
            if self.settings.changes:  # what was sent is waited for, so that the slowest is seen
                while self.events and self.now - self.since_ns < 10 * self.settings.seconds * SECOND:
                    if all(self.is_complete(c) for c in self.changes if c.sent_ns < self.counted_until_ns()):
                        break
                    self.run_until(self.now + SECOND, True)
        except KeyboardInterrupt:
            self.ended_early = "ended by hand"
        except MemoryLimitError:
            self.ended_early = f"it took more than {self.settings.most_mb:g} MB"
        finally:
            self.until_ns = self.now
            gc.enable()
            gc.unfreeze()
        return not self.ended_early

    def counted_until_ns(self) -> int:
        return self.since_ns + int(self.settings.seconds * SECOND)

    def is_complete(self, one: ConfigurationChange) -> bool:
        return len(one.applied_ns) >= len(self.proxies) + len(self.proxy_stubs)

    def result(self, complete: bool) -> dict[str, Any]:
        seconds = max(1e-9, (self.until_ns - self.since_ns) / SECOND)
        junctions = len(self.proxies) + len(self.proxy_stubs)
        whole, boxes = [n for n, _ in self.proxies], [n for n, _ in self.control_planes]
        content = self.control_planes[0][1].configuration[1]
        found: dict[str, Any] = {
            "asked": asdict(self.settings),
            "complete": complete,
            "why": self.ended_early,
            "counted_s": seconds,
            "roles": {
                "junction": self.role_result(whole, [*whole, *(n for n, _ in self.proxy_stubs)], seconds),
                "signalbox": self.role_result(boxes, boxes, seconds),
            },
            "configuration": {"bytes": len(content), "compressed": len(zlib.compress(content, 6))},
            "changes": [self.change_result(one, junctions) for one in self.changes],
            "loss": self.loss_result(),
            "drain_ack_s": summarize([ns / SECOND for ns in self.drains]),
        }
        found["held"] = self.control_plane_state()
        if self.profiles:
            found["profile"] = {name: profile_by_function(one) for name, one in self.profiles.items()}
        found["start"], found["memory"] = self.start_result()
        found["process"] = {
            "peak_mb": peak_mb(),
            "processes": 1,
        }
        return found

    def control_plane_state(self) -> dict[str, Any]:
        """At the signalboxes: connections (junctions and signalboxes that pull there, pulls of its own,
        backends that call), bytes of lives on the disk, bytes of a vector, sources of news."""
        most: Counter[str] = Counter()
        for node, _ in [*self.proxies, *self.proxy_stubs]:
            most[self.control_plane_for(node)[0].name] += 1
        for ident in self.backends:
            most[self.control_plane_of(ident)[0].name] += 1
        for node, _ in self.control_planes:
            most[node.name] += 2 * (len(self.control_planes) - 1)
        packed = [box.packed_heartbeats() for _, box in self.control_planes]
        return {
            "connections": sum(most.values()) / len(self.control_planes),
            "connections_most": max(most.values()),
            "disk_lives_bytes": sum(len(i) + len(v) for one in packed for i, v in one.items()) / len(packed),
            "vector_bytes": len(post.encode(self.control_planes[0][1].news.remote_version_vector())),
            "sources": len(self.control_planes[0][1].news.sources),
        }

    def loss_result(self) -> dict[str, Any]:
        """Seconds until it was known, or news came again: of the whole junctions, or of all."""
        if not self.settings.loss:
            return {}
        after = (self.until_ns - self.lost_ns) / SECOND
        return {
            "kind": self.settings.loss,
            "controllers lost": len(self.powered_off),
            "backends lost": len(self.lost_backends),
            "junctions concerned": len(self.without_control_plane | self.restarted),
            "lives that beat elsewhere": len(self.rehomed_backends),
            "followed for_s": after,
            "known_s": summarize(list(self.detected_s.values())),
        }

    def change_result(self, one: ConfigurationChange, junctions: int) -> dict[str, Any]:
        since = sorted((ns - one.acked_ns) / SECOND for ns in one.applied_ns.values()) if one.acked_ns else []
        found = {"ack_s": (one.acked_ns - one.sent_ns) / SECOND if one.acked_ns else None}
        for name, part in (("at_50_s", 50), ("at_99_s", 99), ("at_all_s", 100)):
            place = -(-junctions * part // 100) - 1
            found[name] = since[place] if 0 <= place < len(since) else None
        return found

    def role_result(
        self, metered: list[SimulatedNode], counted: list[SimulatedNode], seconds: float
    ) -> dict[str, Any]:
        """Means a controller and second; processor time of `metered`, messages and bytes of `counted`."""
        if not metered:
            return {}
        parts: Counter[str] = Counter()
        for node in metered:
            parts.update(node.meter.cpu_ns)
        scale = 1e6 * len(metered) * seconds
        each = 1.0 * len(counted) * seconds
        return {
            "controllers": len(counted),
            "metered": len(metered),
            "processor_ms_s": sum(parts.values()) / scale,
            "processor_ms_s_most": max(sum(n.meter.cpu_ns.values()) for n in metered) / 1e6 / seconds,
            "parts_ms_s": {name: ns / scale for name, ns in parts.most_common()},
            "in_bytes_s": sum(n.meter.in_bytes for n in counted) / each,
            "out_bytes_s": sum(n.meter.out_bytes for n in counted) / each,
            "in_messages_s": sum(n.meter.in_messages for n in counted) / each,
            "out_messages_s": sum(n.meter.out_messages for n in counted) / each,
            "out_bytes_s_most": max(n.meter.out_bytes for n in counted) / seconds,
        }

    def start_result(self) -> tuple[dict[str, Any], dict[str, Any]]:
        """A start of each role beside what is there: bytes and processor time; then, once more, its memory by
        tracemalloc (the difference that it makes in this process, without the interpreter and libraries)."""
        if not self.settings.memory:
            return {}, {}
        zone = self.zones[0]
        _, at = self.upstream(zone)

        def junction() -> SimulatedProxy:
            made = SimulatedProxy(
                member_record("edge-new", "10.99.0.1", zone, False, 1), self.zones, lambda: self.now
            )
            self.transfer_initial_state(made)
            return made

        def box() -> SimulatedControlPlane:
            me = member_record("core-new", at.members.local.host, zone, True, 1)
            made = SimulatedControlPlane(me, HEARTBEAT_MS, lambda: self.now, lambda wait, act: None)
            whole = post.PullReply(
                at.members.local,
                (),
                tuple(at.news.deltas_since({}, me.incarnation)),
                True,
                at.compressed_configuration(),
            ).encode()
            made.on_pull_reply(whole)
            for ident in list(at.beats.registrations):
                if ident in self.backends:
                    made.beats.heartbeat(self.now, ident, json.loads(self.heartbeat_body(ident)))
            for name, sums in at.load_reports.items():
                made.load_reports.setdefault(name, LoadReport()).merge(sums.pack())
            return made

        found = junction().meter
        spent = {part: ns / 1e6 for part, ns in found.cpu_ns.items()}
        start = {"bytes": found.in_bytes, "processor_ms": sum(spent.values()), "parts_ms": spent}
        memory = {"junction": traced_memory_mb(junction), "signalbox": traced_memory_mb(box)}
        return {"junction": start}, memory


def profile_by_function(profile: Profile, most: int = 24) -> list[dict[str, Any]]:
    """Where a role's time goes, as parts of all of it: with what a function calls (`whole`), and without
    (`own`). The profiler slows calls, so small functions come out too large."""
    stats = pstats.Stats(profile).get_stats_profile()
    found = sorted(stats.func_profiles.items(), key=lambda pair: -pair[1].cumtime)[:most]
    return [
        {
            "function": f"{Path(f.file_name).parent.name}/{Path(f.file_name).stem}.{name}",
            "calls": f.ncalls,
            "own": f.tottime / stats.total_tt,
            "whole": f.cumtime / stats.total_tt,
        }
        for name, f in found
    ]


def traced_memory_mb(build: Callable[[], object]) -> dict[str, float]:
    """Megabytes that what is built holds, and that its building took at the most."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    made = build()
    gc.collect()
    now, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del made
    return {"held_mb": (now - before) / 1e6, "peak_mb": (peak - before) / 1e6}


def summarize(values: list[float]) -> dict[str, float]:
    if not values:
        return {}
    values = sorted(values)
    return {"many": len(values), "median": values[len(values) // 2], "most": values[-1]}


def service_name(k: int) -> str:
    return f"svc{k:04}"


def configuration(version: int, routes: int, services: int, chance: random.Random) -> dict[str, Any]:
    """A whole configuration, ten routes a host. Names are drawn: they bear compression as names do."""
    hosts = []
    for first in range(0, routes, 10):
        prefixes = [
            {
                "name": f"r-{chance.getrandbits(28):07x}",
                "prefix": f"/{chance.getrandbits(24):06x}/{k}/",
                "type": "safe" if k % 3 else "unsafe",
                "deadlineMs": 1000,
                "targetMs": 250,
                "prio": k % 3,
                "svc": service_name(k % services),
                "tries": 2,
            }
            for k in range(first, min(routes, first + 10))
        ]
        hosts.append({"host": f"h{chance.getrandbits(20):05x}-{first}.example", "prefixes": prefixes})
    return {
        "ver": f"{version:08x}",
        "svcs": [
            {"name": service_name(k), "healthPath": "/healthz", "maxConns": 100, "proto": "h1", "tls": False}
            for k in range(services)
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "vhosts": hosts,
    }


def measure(settings: ScaleSettings, progress: Callable[[str], None] = lambda line: None) -> dict[str, Any]:
    """Plays once; with a loss, a second time without it, for what it cost more."""
    began = time.monotonic()
    world = ScaleSimulation(settings, progress)
    complete = world.run()
    found = world.result(complete)
    if settings.loss and complete:
        calm = ScaleSimulation(replace(settings, loss="", memory=False), progress)
        found["complete"] = calm.run()
        found["loss"]["more"] = traffic_increase(found["roles"], calm.result(True)["roles"])
    found["process"]["took_s"] = time.monotonic() - began
    return found


def traffic_increase(one: dict[str, Any], other: dict[str, Any]) -> dict[str, float]:
    """What the controllers of each role took beyond those of another run, all together, a second."""
    return {
        f"{who} {what}": (one[who][what] - other[who][what]) * one[who]["controllers"]
        for who in one
        for what in ("in_bytes_s", "out_bytes_s", "out_messages_s", "processor_ms_s")
    }
