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
from meadowworks.forwarding.connection_pool import Yard
from meadowworks.gossip import messages as post
from meadowworks.gossip.peer_sampling import PartialView, PeerRecord
from meadowworks.gossip.updates import KeyUpdate, SourceDelta, UpdateStore
from meadowworks.load_balancing.load_reports import PREFIX as FIGURES
from meadowworks.load_balancing.load_reports import Sums
from meadowworks.load_balancing.service import Met, Service
from meadowworks.registry.backends import BackendDirectory
from meadowworks.registry.heartbeats import BACKEND_KEY_PREFIX as BACKENDS
from meadowworks.registry.heartbeats import HeartbeatRegistry

MS, SECOND = 1_000_000, 1_000_000_000
PORT = 7540
T = TypeVar("T")
Clock = Callable[[], int]


@dataclass(slots=True)
class Meter:
    """Of one controller, over the whole run. Bytes are of message bodies."""

    parts: dict[str, int] = field(default_factory=dict)  # nanoseconds of processor time
    turn_ns: int = 0  # of what it does just now
    in_bytes: int = 0
    out_bytes: int = 0
    ins: int = 0
    outs: int = 0
    profile: Profile | None = None  # shared by a role

    def timed(self, part: str, act: Callable[[], T]) -> T:
        start = time.process_time_ns()
        try:
            return self.profile.runcall(act) if self.profile else act()
        finally:
            spent = time.process_time_ns() - start
            self.turn_ns += spent
            self.parts[part] = self.parts.get(part, 0) + spent

    def turn(self) -> int:
        spent, self.turn_ns = self.turn_ns, 0
        return spent

    def came(self, size: int) -> None:
        self.ins, self.in_bytes = self.ins + 1, self.in_bytes + size

    def left(self, size: int) -> None:
        self.outs, self.out_bytes = self.outs + 1, self.out_bytes + size

    def clear(self) -> None:
        self.parts.clear()
        self.in_bytes = self.out_bytes = self.ins = self.outs = 0


def card(name: str, host: str, zone: str, voting: bool, life: int = 0) -> PeerRecord:
    return PeerRecord(name, host, PORT, zone, voting, f"{name}.{life:08x}", 1_764_000_000 + life)


@dataclass(slots=True, eq=False)
class Waiting:
    """A pull that is held back. `until_ns`: when it is answered in any case."""

    pull: post.PullRequest
    until_ns: int
    give: Callable[[bytes, post.PullReply], None]
    done: bool = False


class Signalbox:
    """`later(wait_ns, act)` calls back at this box once it is free."""

    PULL_MS, BATCH_NS = 1000, 150 * MS

    def __init__(
        self, me: PeerRecord, beat_ms: int, clock: Clock, later: Callable[[int, Callable[[], None]], None]
    ) -> None:
        self.now, self.later, self.meter = clock, later, Meter()
        self.members = PartialView(me, 7)
        self.news = UpdateStore(me.incarnation)
        self.lives = BackendDirectory(lambda name: self.news.silence_ns(clock(), name), clock)
        self.news.update_listeners += [self.told, self.lives.on_update]
        self.beats = HeartbeatRegistry(self.news.publish, beat_ms)
        self.held: tuple[int, bytes] = (0, b"")
        self.deflated: tuple[int, bytes] = (0, b"")
        self.waiting: dict[int, Waiting] = {}
        self.sums: dict[str, Sums] = {}
        self.summed_ns, self.pulse, self.turns = clock(), 0, 0
        self.drains: dict[int, Callable[[], None]] = {}  # acknowledgements that wait, by version of the news
        self.others = 1  # that must hold a drain
        self.held_by: dict[str, int] = {}  # by another signalbox: the version of this one's news that it has

    # -- what wakes a pull

    def told(self, event: KeyUpdate) -> None:
        if event.key.startswith(BACKENDS):
            self.ring()

    def ring(self) -> None:
        for key, one in list(self.waiting.items()):
            del self.waiting[key]
            batched = not one.pull.sender.is_voter and self.held[0] <= one.pull.config_version
            wait = min(self.BATCH_NS, max(0, one.until_ns - self.now())) if batched else 0
            self.later(wait, lambda one=one: self.look(one))  # type: ignore[misc]

    def learn(self, version: int, content: bytes) -> None:
        if version > self.held[0]:
            self.held = version, content
            self.ring()

    # -- the inner door

    def pulled(self, body: bytes, give: Callable[[bytes, post.PullReply], None]) -> None:
        """A pull has come; `give` gets the answer, packed and whole."""
        self.meter.came(len(body))
        pull = self.meter.timed("read a pull", lambda: post.decode_pull_request(body))

        def note() -> None:
            self.members.merge(self.now(), [pull.sender, *pull.peers])
            if pull.sender.is_voter:
                self.held_by[pull.sender.host] = pull.version_vector.get(self.news.source_id, -1)
                self.kept()
            if pull.load_report:
                self.sums.setdefault(pull.sender.zone, Sums()).add(pull.load_report)

        self.meter.timed("note a pull", note)
        one = Waiting(pull, self.now() + min(pull.max_wait_ms, self.PULL_MS) * MS, give)
        self.later(min(pull.max_wait_ms, self.PULL_MS) * MS, lambda: self.due(one))
        self.look(one)

    def due(self, one: Waiting) -> None:
        if not one.done and self.waiting.pop(id(one), None) is not None:
            self.look(one)

    def look(self, one: Waiting) -> None:
        if one.done:
            return
        pieces = self.meter.timed(
            "what it lacks",
            lambda: self.news.deltas_since(one.pull.version_vector, one.pull.sender.incarnation),
        )
        if self.now() < one.until_ns and not self.urgent(pieces, one.pull):
            self.waiting[id(one)] = one
            return
        one.done = True
        self.meter.timed("answer a pull", lambda: self.answer(one, pieces))

    def urgent(self, pieces: Iterable[SourceDelta], pull: post.PullRequest) -> bool:
        return (
            self.held[0] > pull.config_version
            or not pull.version_vector
            or any(key.startswith(BACKENDS) for p in pieces for _, key, _ in p.changes)
        )

    def handed(self) -> tuple[int, bytes]:
        """The version held and its configuration, compressed once as the program does."""
        if self.deflated[0] != self.held[0]:
            self.deflated = self.held[0], zlib.compress(self.held[1], 6)
        return self.deflated

    def answer(self, one: Waiting, pieces: list[SourceDelta]) -> None:
        pull = one.pull
        table = self.handed() if self.held[0] > pull.config_version else None
        cards = tuple(self.members.shuffle_sample()[1:]) if pull.peers else ()
        known = self.members.peers.get(pull.sender.host)
        if known is not None and known.record.heartbeat > pull.sender.heartbeat:
            cards = (*cards, known.record)
        news = post.PullReply(self.members.local, cards, tuple(pieces), True, table)
        body = news.encode()
        self.meter.left(len(body))
        one.give(body, news)

    # -- backends

    def beat(self, ident: str, body: bytes, acked: Callable[[], None]) -> None:
        def act() -> int:
            found = self.beats.heartbeat(self.now(), ident, json.loads(body))
            return getattr(found, "version", 0)

        self.called(body, self.meter.timed("a beat", act), acked)

    def leave(self, ident: str, acked: Callable[[], None]) -> None:
        found = self.meter.timed("a beat", lambda: self.beats.leave(self.now(), ident))
        self.called(b"{}", getattr(found, "version", 0), acked)

    def called(self, body: bytes, version: int, acked: Callable[[], None]) -> None:
        self.meter.came(len(body))
        self.meter.left(2)
        if version:
            self.drains[version] = acked
            self.meter.timed("note a pull", self.kept)
        else:
            acked()

    def kept(self) -> None:
        """Acknowledges the drains and leaves that enough others hold."""
        for version in list(self.drains):
            if sum(held >= version for held in self.held_by.values()) >= self.others:
                self.drains.pop(version)()

    # -- pulls of others' news

    def ask(self, cards: bool) -> bytes:
        def act() -> bytes:
            told = tuple(self.members.shuffle_sample()[1:]) or (self.members.local,) if cards else ()
            return post.PullRequest(
                self.members.local, told, self.news.remote_version_vector(), self.held[0], self.PULL_MS
            ).encode()

        body = self.meter.timed("ask others", act)
        self.meter.left(len(body))
        return body

    def take(self, body: bytes) -> None:
        self.meter.came(len(body))
        news = self.meter.timed("read news", lambda: post.decode_pull_reply(body))

        def act() -> None:
            now = self.now()
            self.members.merge(now, [news.sender, *news.peers])
            for piece in news.deltas:
                self.news.apply(now, piece)
            if news.config is not None:
                self.learn(news.config[0], zlib.decompress(news.config[1]))

        self.meter.timed("take news", act)

    # -- from time to time

    def second(self) -> None:
        self.meter.timed("each second: lives", self.turn_lives)
        self.meter.timed("each second: figures", self.turn_figures)
        self.meter.timed("each second: for the disk", self.packed)

    def turn_lives(self) -> None:
        now = self.now()
        self.members.advance_heartbeat()
        self.members.expire(now)
        self.news.expire_sources(now)
        self.beats.tick(now)
        self.lives.refresh_all()
        self.lives.changed_ids.clear()

    def turn_figures(self) -> None:
        now = self.now()
        self.pulse += 1
        self.news.publish("pulse", self.pulse)
        covers_ms = (now - self.summed_ns) // MS
        self.summed_ns = now
        for zone, sums in self.sums.items():
            if sums or self.news.sources[self.news.source_id].entries.get(FIGURES + zone, (0, None))[1]:
                self.news.publish(FIGURES + zone, [covers_ms, *sums.pack()] if sums else None)
        self.sums = {zone: Sums() for zone in self.sums}

    def packed(self) -> dict[str, bytes]:
        return {ident: post.encode(value) for ident, value in self.beats.durable_values().items()}


class Junction:
    def __init__(self, me: PeerRecord, zones: list[str], clock: Clock) -> None:
        self.now, self.meter, self.zones, self.zone = clock, Meter(), zones, me.zone
        self.random = random.Random(me.host)
        self.members = PartialView(me, 7)
        self.news = UpdateStore(me.incarnation)
        self.lives = BackendDirectory(lambda name: self.news.silence_ns(clock(), name), clock)
        self.news.update_listeners += [self.lives.on_update, self.figures]
        self.table: RouteTable | None = None
        self.services: dict[str, Service] = {}
        self.yard: Yard[Any] = Yard()
        self.sums, self.own = Sums(), Sums()
        self.turns = 0
        self.in_force: Callable[[int], None] = lambda version: None

    # -- what is known

    def figures(self, event: KeyUpdate) -> None:
        zone = event.key.removeprefix(FIGURES)
        if event.key.startswith(FIGURES) and event.value is not None and zone in self.zones:
            covers_ms, met, asked = event.value
            self.heard(zone, int(covers_ms), met, dict(asked))

    def heard(self, zone: str, covers_ms: int, met: Any, asked: dict[str, int]) -> None:
        now, place = self.now(), self.zones.index(zone)
        by_service: dict[str, dict[str, Met]] = {}
        for ident, tries, bad, spent, told, running, waiting in met:
            if known := self.lives.instances.get(ident):
                mean = int(spent * MS / max(1, tries - bad))
                waits = waiting / told if told else -1.0
                by_service.setdefault(known.service, {})[ident] = Met(tries, bad, mean, waits)
                if told:
                    self.yard.figures(now, ident, (running + waiting) / told)
        for name, service in self.services.items():
            service.heard(now, place, by_service.get(name, {}), asked.get(name, 0), max(1, covers_ms) * MS)

    def take_table(self, table: RouteTable) -> None:
        self.table = table
        targets: dict[str, float] = {}
        for routes in table.routes_by_host.values():
            for route in routes.values():
                for name, _ in route.weighted_services:
                    targets[name] = max(targets.get(name, 0.0), route.target_ms)
        for name in table.max_connections:
            target_ns = int(targets.get(name, 1000.0) * MS) or SECOND
            if name in self.services:
                self.services[name].aims(target_ns)
            else:
                seed = self.random.getrandbits(32)
                self.services[name] = Service(name, self.zones, self.zone, target_ns, seed, self.now())
        self.lives.changed_ids |= set(self.lives.instances)
        self.relist()

    def relist(self) -> None:
        if not self.lives.changed_ids:
            return
        self.lives.changed_ids.clear()
        listing, now = self.lives.instances_by_service(), self.now()
        for name, service in self.services.items():
            service.listed(now, listing.get(name, []))
        self.yard.sweep(now, set(self.lives.instances))

    # -- pulls

    def ask(self) -> bytes:
        def act() -> bytes:
            cards = (self.members.local,) if self.turns % 5 == 0 else ()
            sums, self.sums = self.sums, Sums()
            version = self.table.version if self.table else 0
            figures = sums.pack() if sums else None
            return post.PullRequest(
                self.members.local, cards, self.news.remote_version_vector(), version, 1000, figures
            ).encode()

        body = self.meter.timed("ask", act)
        self.meter.left(len(body))
        return body

    def take(self, body: bytes) -> None:
        self.meter.came(len(body))
        news = self.meter.timed("read news", lambda: post.decode_pull_reply(body))
        packed = news.config[1] if news.config else b""
        load = lambda: load_table(zlib.decompress(packed))  # noqa: E731
        table = self.meter.timed("load a table", load) if packed else None

        def act() -> None:
            now = self.now()
            self.turns += 1
            self.members.merge(now, [news.sender, *news.peers])
            for piece in news.deltas:
                self.news.apply(now, piece)

        self.meter.timed("take news", act)
        if table is not None:
            version = table.version
            self.meter.timed("take a table", lambda: self.take_table(table))
            self.in_force(version)
        self.meter.timed("hand on lives", self.relist)

    # -- from time to time

    def second(self) -> None:
        def act() -> None:
            now = self.now()
            self.members.advance_heartbeat()
            self.members.expire(now)
            self.news.expire_sources(now)
            self.lives.refresh_all()

        def late() -> None:
            now, mine = self.now(), self.zones.index(self.zone)
            own, self.own = self.own, Sums()
            if any(service.late(now, mine) for service in self.services.values()):
                self.heard(self.zone, 1000, own.pack()[0], own.asked)

        self.meter.timed("each second: lives", act)
        self.meter.timed("hand on lives", self.relist)
        self.meter.timed("each second: own figures", late)
        self.meter.timed("each second: lines", lambda: self.yard.sweep(self.now(), set(self.lives.instances)))

    def quarter(self) -> None:
        now = self.now()
        self.meter.timed("controllers' turns", lambda: self.ticks(now))

    def ticks(self, now: int) -> None:
        for service in self.services.values():
            service.tick(now)
            service.notes.clear()


class Caller:
    """A junction as its signalbox sees it, at a small part of the cost: what it says is made by the product's
    codec, what it is told it keeps as a vector alone. `charge` gives the processor time of a whole one."""

    def __init__(self, me: PeerRecord, figures: Callable[[], Any]) -> None:
        self.me, self.figures = me, figures
        self.vector: dict[str, int] = {}
        self.version = self.turns = 0
        self.meter = Meter()

    def ask(self, beat: int) -> bytes:
        self.me = replace(self.me, heartbeat=beat)
        cards = (self.me,) if self.turns % 5 == 0 else ()
        body = post.PullRequest(self.me, cards, self.vector, self.version, 1000, self.figures()).encode()
        self.meter.left(len(body))
        return body

    def take(self, body: bytes, news: post.PullReply) -> None:
        self.meter.came(len(body))
        self.turns += 1
        for piece in news.deltas:
            self.vector[piece.source] = piece.latest_version
        if news.config is not None:
            self.version = news.config[0]
