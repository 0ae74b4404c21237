"""Hollow controllers: a junction and a signalbox out of the product's own machines and codecs, without
sockets, requests or disks.

What the shells (`junction/program.py`, `signalbox/program.py`) do between a message that comes and one that
leaves is done here with the same calls in the same order; the clock is handed in. Each call is metered by the
processor time of this process (`time.process_time_ns`, summed by part). Left out: HTTP, the disk, the
register's own decisions, and requests, of which only the figures are told.
"""

from __future__ import annotations

import json
import random
import time
import zlib
from collections.abc import Callable, Iterable
from cProfile import Profile
from dataclasses import dataclass, field, replace
from typing import Any, TypeVar

from meadowworks.config.route_table import RouteTable
from meadowworks.config.route_table import load_route_table as load_table
from meadowworks.forwarding.connection_pool import ConnectionPool
from meadowworks.gossip import messages as post
from meadowworks.gossip.peer_sampling import PartialView, PeerRecord
from meadowworks.gossip.updates import KeyUpdate, SourceDelta, UpdateStore
from meadowworks.load_balancing.load_reports import LOAD_REPORT_PREFIX as FIGURES
from meadowworks.load_balancing.load_reports import LoadReport
from meadowworks.load_balancing.service_balancer import BackendLoad, ServiceBalancer
from meadowworks.registry.backend_state import BACKEND_KEY_PREFIX as BACKENDS
from meadowworks.registry.backends import BackendDirectory
from meadowworks.registry.heartbeats import HeartbeatRegistry

MS, SECOND = 1_000_000, 1_000_000_000
PORT = 7540
T = TypeVar("T")
Clock = Callable[[], int]


@dataclass(slots=True)
class ResourceMeter:
    """Of one controller, over the whole run. Bytes are of message bodies."""

    cpu_ns: dict[str, int] = field(default_factory=dict)  # nanoseconds of processor time
    turn_ns: int = 0  # of what it does just now
    in_bytes: int = 0
    out_bytes: int = 0
    in_messages: int = 0
    out_messages: int = 0
    profile: Profile | None = None  # shared by a role

    def timed(self, part: str, act: Callable[[], T]) -> T:
        start = time.process_time_ns()
        try:
            return self.profile.runcall(act) if self.profile else act()
        finally:
            spent = time.process_time_ns() - start
            self.turn_ns += spent
            self.cpu_ns[part] = self.cpu_ns.get(part, 0) + spent

    def take_turn_ns(self) -> int:
        spent, self.turn_ns = self.turn_ns, 0
        return spent

    def received(self, size: int) -> None:
        self.in_messages, self.in_bytes = self.in_messages + 1, self.in_bytes + size

    def sent(self, size: int) -> None:
        self.out_messages, self.out_bytes = self.out_messages + 1, self.out_bytes + size

    def clear(self) -> None:
        self.cpu_ns.clear()
        self.in_bytes = self.out_bytes = self.in_messages = self.out_messages = 0


def member_record(name: str, host: str, zone: str, voting: bool, life: int = 0) -> PeerRecord:
    return PeerRecord(name, host, PORT, zone, voting, f"{name}.{life:08x}", 1_764_000_000 + life)


@dataclass(slots=True, eq=False)
class HeldPull:
    """A pull that is held back. `until_ns`: when it is answered in any case."""

    pull: post.PullRequest
    deadline_ns: int
    reply: Callable[[bytes, post.PullReply], None]
    answered: bool = False


class SimulatedControlPlane:
    """`later(wait_ns, act)` calls back at this box once it is free."""

    PULL_MS, BATCH_NS = 1000, 150 * MS

    def __init__(
        self, me: PeerRecord, beat_ms: int, clock: Clock, later: Callable[[int, Callable[[], None]], None]
    ) -> None:
        self.clock, self.call_later, self.meter = clock, later, ResourceMeter()
        self.members = PartialView(me, 7)
        self.news = UpdateStore(me.incarnation)
        self.lives = BackendDirectory(lambda name: self.news.silence_ns(clock(), name), clock)
        self.news.update_listeners += [self.on_update, self.lives.on_update]
        self.beats = HeartbeatRegistry(self.news.publish, beat_ms)
        self.configuration: tuple[int, bytes] = (0, b"")
        self.compressed: tuple[int, bytes] = (0, b"")
        self.held_pulls: dict[int, HeldPull] = {}
        self.load_reports: dict[str, LoadReport] = {}
        self.reported_ns, self.pulse, self.turns = clock(), 0, 0
        self.unacknowledged_drains: dict[
            int, Callable[[], None]
        ] = {}  # acknowledgements that wait, by version of the news
        self.required_replicas = 1  # that must hold a drain
        self.replicated_versions: dict[
            str, int
        ] = {}  # by another signalbox: the version of this one's news that it has

    # -- what wakes a pull

    def on_update(self, event: KeyUpdate) -> None:
        if event.key.startswith(BACKENDS):
            self.wake_pulls()

    def wake_pulls(self) -> None:
        for key, one in list(self.held_pulls.items()):
            del self.held_pulls[key]
            batched = not one.pull.sender.is_voter and self.configuration[0] <= one.pull.config_version
            wait = min(self.BATCH_NS, max(0, one.deadline_ns - self.clock())) if batched else 0
            self.call_later(wait, lambda one=one: self.answer_if_due(one))  # type: ignore[misc]

    def adopt_configuration(self, version: int, content: bytes) -> None:
        if version > self.configuration[0]:
            self.configuration = version, content
            self.wake_pulls()

    # -- the inner door

    def on_pull(self, body: bytes, give: Callable[[bytes, post.PullReply], None]) -> None:
        """A pull has come; `give` gets the answer, packed and whole."""
        self.meter.received(len(body))
        pull = self.meter.timed("read a pull", lambda: post.decode_pull_request(body))

        def note() -> None:
            self.members.merge(self.clock(), [pull.sender, *pull.peers])
            if pull.sender.is_voter:
                self.replicated_versions[pull.sender.host] = pull.version_vector.get(self.news.source_id, -1)
                self.acknowledge_drains()
            if pull.load_report:
                self.load_reports.setdefault(pull.sender.zone, LoadReport()).merge(pull.load_report)

        self.meter.timed("note a pull", note)
        one = HeldPull(pull, self.clock() + min(pull.max_wait_ms, self.PULL_MS) * MS, give)
        self.call_later(min(pull.max_wait_ms, self.PULL_MS) * MS, lambda: self.on_hold_expired(one))
        self.answer_if_due(one)

    def on_hold_expired(self, one: HeldPull) -> None:
        if not one.answered and self.held_pulls.pop(id(one), None) is not None:
            self.answer_if_due(one)

    def answer_if_due(self, one: HeldPull) -> None:
        if one.answered:
            return
        pieces = self.meter.timed(
            "what it lacks",
            lambda: self.news.deltas_since(one.pull.version_vector, one.pull.sender.incarnation),
        )
        if self.clock() < one.deadline_ns and not self.must_answer(pieces, one.pull):
            self.held_pulls[id(one)] = one
            return
        one.answered = True
        self.meter.timed("answer a pull", lambda: self.answer_pull(one, pieces))

    def must_answer(self, pieces: Iterable[SourceDelta], pull: post.PullRequest) -> bool:
        return (
            self.configuration[0] > pull.config_version
            or not pull.version_vector
            or any(key.startswith(BACKENDS) for p in pieces for _, key, _ in p.changes)
        )

    def compressed_configuration(self) -> tuple[int, bytes]:
        """The version held and its configuration, compressed once as the program does."""
        if self.compressed[0] != self.configuration[0]:
            self.compressed = self.configuration[0], zlib.compress(self.configuration[1], 6)
        return self.compressed

    def answer_pull(self, one: HeldPull, pieces: list[SourceDelta]) -> None:
        pull = one.pull
        table = self.compressed_configuration() if self.configuration[0] > pull.config_version else None
        cards = tuple(self.members.shuffle_sample()[1:]) if pull.peers else ()
        known = self.members.peers.get(pull.sender.host)
        if known is not None and known.record.heartbeat > pull.sender.heartbeat:
            cards = (*cards, known.record)
        news = post.PullReply(self.members.local, cards, tuple(pieces), True, table)
        body = news.encode()
        self.meter.sent(len(body))
        one.reply(body, news)

    # -- backends

    def on_heartbeat(self, ident: str, body: bytes, acked: Callable[[], None]) -> None:
        def act() -> int:
            found = self.beats.heartbeat(self.clock(), ident, json.loads(body))
            return getattr(found, "version", 0)

        self.acknowledge_when_replicated(body, self.meter.timed("a beat", act), acked)

    def on_leave(self, ident: str, acked: Callable[[], None]) -> None:
        found = self.meter.timed("a beat", lambda: self.beats.leave(self.clock(), ident))
        self.acknowledge_when_replicated(b"{}", getattr(found, "version", 0), acked)

    def acknowledge_when_replicated(self, body: bytes, version: int, acked: Callable[[], None]) -> None:
        self.meter.received(len(body))
        self.meter.sent(2)
        if version:
            self.unacknowledged_drains[version] = acked
            self.meter.timed("note a pull", self.acknowledge_drains)
        else:
            acked()

    def acknowledge_drains(self) -> None:
        """Acknowledges the drains and leaves that enough others hold."""
        for version in list(self.unacknowledged_drains):
            if sum(held >= version for held in self.replicated_versions.values()) >= self.required_replicas:
                self.unacknowledged_drains.pop(version)()

    # -- pulls of others' news

    def build_pull(self, cards: bool) -> bytes:
        def act() -> bytes:
            told = tuple(self.members.shuffle_sample()[1:]) or (self.members.local,) if cards else ()
            return post.PullRequest(
                self.members.local,
                told,
                self.news.remote_version_vector(),
                self.configuration[0],
                self.PULL_MS,
            ).encode()

        body = self.meter.timed("ask others", act)
        self.meter.sent(len(body))
        return body

    def on_pull_reply(self, body: bytes) -> None:
        self.meter.received(len(body))
        news = self.meter.timed("read news", lambda: post.decode_pull_reply(body))

        def act() -> None:
            now = self.clock()
            self.members.merge(now, [news.sender, *news.peers])
            for piece in news.deltas:
                self.news.apply(now, piece)
            if news.config is not None:
                self.adopt_configuration(news.config[0], zlib.decompress(news.config[1]))

        self.meter.timed("take news", act)

    # -- from time to time

    def each_second(self) -> None:
        self.meter.timed("each second: lives", self.expire_members)
        self.meter.timed("each second: figures", self.publish_load_reports)
        self.meter.timed("each second: for the disk", self.packed_heartbeats)

    def expire_members(self) -> None:
        now = self.clock()
        self.members.advance_heartbeat()
        self.members.expire(now)
        self.news.expire_sources(now)
        self.beats.tick(now)
        self.lives.refresh_all()
        self.lives.changed_ids.clear()

    def publish_load_reports(self) -> None:
        now = self.clock()
        self.pulse += 1
        self.news.publish("pulse", self.pulse)
        covers_ms = (now - self.reported_ns) // MS
        self.reported_ns = now
        for zone, sums in self.load_reports.items():
            if sums or self.news.sources[self.news.source_id].entries.get(FIGURES + zone, (0, None))[1]:
                self.news.publish(FIGURES + zone, [covers_ms, *sums.pack()] if sums else None)
        self.load_reports = {zone: LoadReport() for zone in self.load_reports}

    def packed_heartbeats(self) -> dict[str, bytes]:
        return {ident: post.encode(value) for ident, value in self.beats.durable_values().items()}


class SimulatedProxy:
    def __init__(self, me: PeerRecord, zones: list[str], clock: Clock) -> None:
        self.clock, self.meter, self.zones, self.zone = clock, ResourceMeter(), zones, me.zone
        self.random = random.Random(me.host)
        self.members = PartialView(me, 7)
        self.news = UpdateStore(me.incarnation)
        self.lives = BackendDirectory(lambda name: self.news.silence_ns(clock(), name), clock)
        self.news.update_listeners += [self.lives.on_update, self.on_load_report]
        self.route_table: RouteTable | None = None
        self.services: dict[str, ServiceBalancer] = {}
        self.yard: ConnectionPool[Any] = ConnectionPool()
        self.load_report, self.own_load_report = LoadReport(), LoadReport()
        self.turns = 0
        self.on_route_table: Callable[[int], None] = lambda version: None

    # -- what is known

    def on_load_report(self, event: KeyUpdate) -> None:
        zone = event.key.removeprefix(FIGURES)
        if event.key.startswith(FIGURES) and event.value is not None and zone in self.zones:
            covers_ms, met, asked = event.value
            self.apply_load_report(zone, int(covers_ms), met, dict(asked))

    def apply_load_report(self, zone: str, covers_ms: int, met: Any, asked: dict[str, int]) -> None:
        now, place = self.clock(), self.zones.index(zone)
        by_service: dict[str, dict[str, BackendLoad]] = {}
        for ident, tries, bad, spent, told, running, waiting in met:
            if known := self.lives.instances.get(ident):
                mean = int(spent * MS / max(1, tries - bad))
                waits = waiting / told if told else -1.0
                by_service.setdefault(known.service, {})[ident] = BackendLoad(tries, bad, mean, waits)
                if told:
                    self.yard.record_zone_load(now, ident, (running + waiting) / told)
        for name, service in self.services.items():
            service.record_zone_report(
                now, place, by_service.get(name, {}), asked.get(name, 0), max(1, covers_ms) * MS
            )

    def apply_route_table(self, table: RouteTable) -> None:
        self.route_table = table
        targets: dict[str, float] = {}
        for routes in table.routes_by_host.values():
            for route in routes.values():
                for name, _ in route.weighted_services:
                    targets[name] = max(targets.get(name, 0.0), route.target_ms)
        for name in table.max_connections:
            target_ns = int(targets.get(name, 1000.0) * MS) or SECOND
            if name in self.services:
                self.services[name].set_latency_target(target_ns)
            else:
                seed = self.random.getrandbits(32)
                self.services[name] = ServiceBalancer(
                    name, self.zones, self.zone, target_ns, seed, self.clock()
                )
        self.lives.changed_ids |= set(self.lives.instances)
        self.refresh_endpoints()

    def refresh_endpoints(self) -> None:
        if not self.lives.changed_ids:
            return
        self.lives.changed_ids.clear()
        listing, now = self.lives.instances_by_service(), self.clock()
        for name, service in self.services.items():
            service.update_backends(now, listing.get(name, []))
        self.yard.evict(now, set(self.lives.instances))

    # -- pulls

    def build_pull(self) -> bytes:
        def act() -> bytes:
            cards = (self.members.local,) if self.turns % 5 == 0 else ()
            sums, self.load_report = self.load_report, LoadReport()
            version = self.route_table.version if self.route_table else 0
            figures = sums.pack() if sums else None
            return post.PullRequest(
                self.members.local, cards, self.news.remote_version_vector(), version, 1000, figures
            ).encode()

        body = self.meter.timed("ask", act)
        self.meter.sent(len(body))
        return body

    def on_pull_reply(self, body: bytes) -> None:
        self.meter.received(len(body))
        news = self.meter.timed("read news", lambda: post.decode_pull_reply(body))
        packed = news.config[1] if news.config else b""
        load = lambda: load_table(zlib.decompress(packed))  # noqa: E731
        table = self.meter.timed("load a table", load) if packed else None

        def act() -> None:
            now = self.clock()
            self.turns += 1
            self.members.merge(now, [news.sender, *news.peers])
            for piece in news.deltas:
                self.news.apply(now, piece)

        self.meter.timed("take news", act)
        if table is not None:
            version = table.version
            self.meter.timed("take a table", lambda: self.apply_route_table(table))
            self.on_route_table(version)
        self.meter.timed("hand on lives", self.refresh_endpoints)

    # -- from time to time

    def each_second(self) -> None:
        def act() -> None:
            now = self.clock()
            self.members.advance_heartbeat()
            self.members.expire(now)
            self.news.expire_sources(now)
            self.lives.refresh_all()

        def late() -> None:
            now, mine = self.clock(), self.zones.index(self.zone)
            own, self.own_load_report = self.own_load_report, LoadReport()
            if any(service.report_overdue(now, mine) for service in self.services.values()):
                self.apply_load_report(self.zone, 1000, own.pack()[0], own.service_requests)

        self.meter.timed("each second: lives", act)
        self.meter.timed("hand on lives", self.refresh_endpoints)
        self.meter.timed("each second: own figures", late)
        self.meter.timed(
            "each second: lines", lambda: self.yard.evict(self.clock(), set(self.lives.instances))
        )

    def each_quarter_second(self) -> None:
        now = self.clock()
        self.meter.timed("controllers' turns", lambda: self.tick_services(now))

    def tick_services(self, now: int) -> None:
        for service in self.services.values():
            service.tick(now)
            service.log_entries.clear()


class ProxyStub:
    """A junction as its signalbox sees it, at a small part of the cost: what it says is made by the product's
    codec, what it is told it keeps as a vector alone. `charge` gives the processor time of a whole one."""

    def __init__(self, me: PeerRecord, figures: Callable[[], Any]) -> None:
        self.me, self.load_report = me, figures
        self.vector: dict[str, int] = {}
        self.configuration_version = self.turns = 0
        self.meter = ResourceMeter()

    def build_pull(self, beat: int) -> bytes:
        self.me = replace(self.me, heartbeat=beat)
        cards = (self.me,) if self.turns % 5 == 0 else ()
        body = post.PullRequest(
            self.me, cards, self.vector, self.configuration_version, 1000, self.load_report()
        ).encode()
        self.meter.sent(len(body))
        return body

    def on_pull_reply(self, body: bytes, news: post.PullReply) -> None:
        self.meter.received(len(body))
        self.turns += 1
        for piece in news.deltas:
            self.vector[piece.source] = piece.latest_version
        if news.config is not None:
            self.configuration_version = news.config[0]
