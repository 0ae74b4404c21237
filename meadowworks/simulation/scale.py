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
from meadowworks.load_balancing.load_reports import Sums
from meadowworks.proxy.control_plane_selection import Upstream
from meadowworks.simulation.hollow import MS, SECOND, Caller, Junction, Meter, Signalbox, card

BEAT_MS = 1500
SYNC_NS = 5 * MS
IN_ZONE_NS, IN_REGION_NS, ABROAD_NS = 200_000, 900_000, 20 * MS
ZONES_A_REGION = 4
DRAIN_NS = 2 * SECOND
WARM_S = 2.5  # simulated, before anything is counted
HOUR = 3600.0
LOSSES = ("backend", "junction", "box", "rack", "zone", "region", "start")
RACK = 40  # machines of one zone, junctions and backends by how many there are
PULL_NS, BOX_PULL_NS, CONNECT_NS, BEAT_NS = 1600 * MS, 2 * SECOND, 250 * MS, SECOND  # callers' patience


@dataclass(frozen=True, slots=True)
class Asked:
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
class Node:
    """A controller as a queue of work: one thing at a time."""

    name: str
    zone: str
    meter: Meter
    free_ns: int = 0
    queue: deque[Callable[[], None]] = field(default_factory=deque)
    at_work: bool = False
    life: int = 0
    upstream: Upstream | None = None  # of a junction
    silent: set[str] = field(default_factory=set)  # gave no answer: a line must come up first


@dataclass(slots=True)
class Change:
    version: int
    sent_ns: int
    acked_ns: int = 0
    forced_ns: dict[str, int] = field(default_factory=dict)  # by junction


class Large(Exception):
    """The run has taken more memory than it may."""


def peak_mb() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


class World:
    def __init__(self, asked: Asked, told: Callable[[str], None] = lambda line: None) -> None:
        self.asked, self.say = asked, told
        self.random = random.Random(asked.seed)
        self.now = 1000 * SECOND
        self.serial, self.heap = count(), list[tuple[int, int, Callable[[], None]]]()
        self.zones = [f"zone-{k:02}" for k in range(asked.zones)]
        self.outbox: list[tuple[int, Callable[[], None]]] | None = None
        self.changes: list[Change] = []
        self.drains: list[int] = []  # nanoseconds until acknowledged
        self.charge: dict[bool, tuple[float, float]] = {}  # by whether a table came: ns, bytes, of whole ones
        self.since_ns = self.until_ns = self.now
        self.why = ""  # it ended early
        self.down: set[str] = set()  # controllers without power
        self.cut: set[int] = set()  # regions that only reach themselves
        self.lost_ns = 0
        self.restarted: set[str] = set()  # junctions that were started anew as a loss
        self.unfed: set[str] = set()  # junctions whose signalbox was lost
        self.lost: dict[str, str] = {}  # backends that ended without a word, and whom they called
        self.seen: dict[str, float] = {}  # by junction: seconds until it knew of the loss
        self.boxes: list[tuple[Node, Signalbox]] = []
        self.whole: list[tuple[Node, Junction]] = []
        self.callers: list[tuple[Node, Caller]] = []
        self.build()

    # -- time

    def at(self, when_ns: int, act: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (when_ns, next(self.serial), act))

    def send(self, wait_ns: int, act: Callable[[], None]) -> None:
        """From within a node's work: counted from when that work is done."""
        if self.outbox is None:
            self.at(self.now + wait_ns, act)
        else:
            self.outbox.append((wait_ns, act))

    def give(self, node: Node, act: Callable[[], None]) -> None:
        """Work for a node, done in the order in which it comes."""
        node.queue.append(act)
        if not node.at_work:
            self.work(node)

    def work(self, node: Node) -> None:
        if node.name in self.down:
            node.queue.clear()
        if not node.queue:
            node.at_work = False
            return
        node.at_work = True
        act = node.queue.popleft()
        self.outbox, out = [], self.outbox
        assert out is None
        node.meter.turn_ns = 0
        act()
        spent = node.meter.turn()
        took = spent if self.asked.cpu else 0
        sent, self.outbox = self.outbox, None
        for wait, what in sent or ():
            self.at(self.now + took + wait, what)
        self.at(self.now + took, lambda: self.work(node))

    def run(self, until_ns: int, tell: bool = False) -> None:
        shown = time.monotonic()
        while self.heap and self.heap[0][0] <= until_ns:
            self.now, _, act = heapq.heappop(self.heap)
            act()
            if time.monotonic() - shown > 2:
                shown = time.monotonic()
                if tell:
                    self.say(f"{(until_ns - self.now) / SECOND:.1f} simulated seconds to go")
                if peak_mb() > self.asked.most_mb:
                    raise Large
        self.now = until_ns

    def delay(self, one: str, other: str) -> int:
        if one == other:
            return IN_ZONE_NS
        a, b = (self.zones.index(z) // ZONES_A_REGION for z in (one, other))
        return IN_REGION_NS if a == b else ABROAD_NS

    # -- the deployment

    def build(self) -> None:
        asked = self.asked
        self.say(f"builds {asked.controllers} controllers, {asked.backends} backends")
        for k in range(asked.boxes):
            zone = self.zones[k * asked.zones // asked.boxes]
            me = card(f"core-{k}", f"10.0.0.{k + 1}", zone, True)
            node = Node(me.name, zone, Meter())
            box = Signalbox(
                me,
                BEAT_MS,
                lambda: self.now,
                lambda wait, act, node=node: self.send(wait, partial(self.give, node, act)),  # type: ignore[misc]
            )
            box.meter, box.others = node.meter, asked.boxes // 2
            self.boxes.append((node, box))
        cards = [box.members.local for _, box in self.boxes]
        for _, box in self.boxes:
            box.members.merge(self.now, cards)
        self.moved: dict[str, tuple[Node, Signalbox]] = {}
        self.lives: dict[str, tuple[str, str, str]] = {}  # by id: service, address, zone
        self.calls: Counter[str] = Counter()
        self.near: dict[str, list[str]] = {zone: [] for zone in self.zones}
        self.content = configuration(1, asked.routes, asked.services, self.random)
        version, body = 1, json.dumps(self.content).encode()
        for _, box in self.boxes:
            box.held = version, body
        for k in range(asked.backends):
            self.backend(k)
        for ident in self.lives:
            _, box = self.box_of(ident)
            box.beats.heartbeat(self.now, ident, json.loads(self.beat_body(ident)))
        for _, box in self.boxes:
            box.turn_figures()
        for _, box in self.boxes:
            for _, other in self.boxes:
                if box is not other:
                    for piece in other.news.deltas_since(
                        box.news.remote_version_vector(), box.news.source_id
                    ):
                        box.news.apply(self.now, piece)
        self.cards = {node.name: box.members.local for node, box in self.boxes}
        self.by_host = {box.members.local.host: (node, box) for node, box in self.boxes}
        many = max(0, asked.controllers - asked.boxes)
        chosen = {k * many // max(1, asked.whole) for k in range(min(asked.whole, many))}
        for k in range(many):
            self.junction(k, k in chosen)

    def junction(self, k: int, whole: bool) -> None:
        zone = self.zones[k % len(self.zones)]
        me = card(f"edge-{k}", f"10.{1 + k // 50000}.{k // 250 % 200}.{k % 250 + 1}", zone, False)
        node = Node(me.name, zone, Meter(), upstream=Upstream(zone))
        if whole:
            made = Junction(me, self.zones, lambda: self.now)
            made.meter = node.meter
            self.whole.append((node, made))
            self.first(made)
        else:
            caller = Caller(me, lambda: self.figures(zone))
            caller.meter = node.meter
            _, box = self.upstream(zone)
            caller.vector, caller.version = box.news.version_vector(), box.held[0]
            self.callers.append((node, caller))

    def first(self, made: Junction) -> bytes:
        """All that is known, taken at once. The bytes of it."""
        _, box = self.upstream(made.zone)
        pieces = tuple(box.news.deltas_since({}, made.news.source_id))
        body = post.PullReply(box.members.local, (), pieces, True, box.handed()).encode()
        made.take(body)
        return body

    def backend(self, k: int) -> str:
        zone = self.zones[k % len(self.zones)]
        svc = service_name(k // len(self.zones) % self.asked.services)
        ident = f"i-{self.random.getrandbits(32):08x}"
        self.lives[ident] = svc, f"10.128.{k // 250 % 250}.{k % 250 + 1}:{8080 + k // 62500}", zone
        self.near[zone].append(ident)
        return ident

    def upstream(self, zone: str) -> tuple[Node, Signalbox]:
        cards = [box.members.local for _, box in self.boxes]
        host = Upstream(zone).choose(self.now, cards, [])
        return next((n, b) for n, b in self.boxes if host and b.members.local.host == host[0])

    def box_of(self, ident: str) -> tuple[Node, Signalbox]:
        """Where a backend beats: in its zone if a signalbox is there, else anywhere, until a beat fails."""
        if ident in self.moved:
            return self.moved[ident]
        zone = self.lives[ident][2]
        near = [pair for pair in self.boxes if pair[0].zone == zone]
        return near[0] if near else self.boxes[zlib.crc32(ident.encode()) % len(self.boxes)]

    def beat_body(self, ident: str, state: str = "up") -> bytes:
        svc, addr, zone = self.lives[ident]
        self.calls[ident] += 1
        details = {"svc": svc, "ver": "v1", "zone": zone, "capacity": 2}
        status = {"state": state, "calls": self.calls[ident], "warmupMs": 0}
        whole = {"addr": addr, "details": details, "status": status}
        return json.dumps(whole, separators=(",", ":")).encode()

    def figures(self, zone: str) -> list[Any] | None:
        """What a junction has counted over a second, in the shape in which it is told."""
        near = self.near[zone] or list(self.lives)
        if not near or not self.asked.requests:
            return None
        met = Counter(self.random.choices(near, k=round(self.asked.requests)))
        asked = Counter[str]()
        for ident, tries in met.items():
            asked[self.lives[ident][0]] += tries
        return [[[i, n, 0, 90 * n, n, n, 0] for i, n in met.items()], [[s, n] for s, n in asked.items()]]

    # -- what goes on

    def begin(self) -> None:
        start = self.now
        for node, box in self.boxes:
            self.at(start + self.phase(1.0), partial(self.box_second, node, box))
            for other, at in self.boxes:
                if at is not box:
                    pair = other, at
                    self.at(start + self.phase(0.1), partial(self.box_pull, node, box, pair, 0))
        for node, made in self.whole:
            self.start_whole(node, made)
        for node, caller in self.callers:
            self.at(start + self.phase(1.0), partial(self.caller_pull, node, caller))
        for ident in self.lives:
            self.at(start + self.phase(BEAT_MS / 1000), partial(self.beats, ident))
        if self.asked.changes:
            gap = int(HOUR / self.asked.changes * SECOND)
            self.at(start + int(WARM_S * SECOND) + min(gap, SECOND // 2), partial(self.change, 2, gap))
        if self.asked.loss:
            self.at(start + int((WARM_S + 1) * SECOND), self.lose)
        if self.asked.churn:
            gap = int(HOUR / self.asked.churn * SECOND)
            self.at(start + int(WARM_S * SECOND) + min(gap, SECOND // 2), partial(self.churn, gap))

    def phase(self, seconds: float) -> int:
        return int(self.random.random() * seconds * SECOND)

    def start_whole(self, node: Node, made: Junction) -> None:
        life = node.life
        self.at(self.now + self.phase(1.0), lambda: self.whole_pull(node, made, life))
        self.at(self.now + self.phase(1.0), lambda: self.whole_second(node, made, life))
        self.at(self.now + self.phase(0.25), lambda: self.whole_quarter(node, made, life))

    def box_second(self, node: Node, box: Signalbox) -> None:
        def act() -> None:
            box.second()
            self.send(SECOND, lambda: self.box_second(node, box))

        self.give(node, act)

    def reach(self, one: str, other: str) -> bool:
        """Whether bytes pass between two zones."""
        a, b = (self.zones.index(z) // ZONES_A_REGION for z in (one, other))
        return a == b or not {a, b} & self.cut

    def call(
        self,
        node: Node,
        pair: tuple[Node, Signalbox],
        body: bytes,
        took: Callable[[bytes, post.PullReply], None],
        failed: Callable[[], None],
        wait_ns: int,
    ) -> None:
        """A pull: `took` is work of the asker, `failed` comes when its patience is over."""
        other, at = pair
        delay, life, over = self.delay(node.zone, other.zone), node.life, [False]

        def up() -> bool:
            return not self.down & {node.name, other.name} and self.reach(node.zone, other.zone)

        def back(body: bytes, news: post.PullReply) -> None:
            self.send(delay, lambda: self.give(node, lambda: came(body, news)) if up() else None)

        def came(body: bytes, news: post.PullReply) -> None:
            if not over[0] and node.life == life:
                over[0] = True
                node.silent.discard(other.name)
                took(body, news)

        def patience() -> None:
            if not over[0] and node.life == life and node.name not in self.down:
                over[0] = True
                node.silent.add(other.name)
                failed()

        def arrived() -> None:
            if not over[0]:  # a line that was closed meanwhile is seen before its request is read
                at.pulled(body, back)

        self.send(delay, lambda: self.give(other, arrived) if up() else None)
        self.send(CONNECT_NS if other.name in node.silent else wait_ns, patience)

    def box_pull(self, node: Node, box: Signalbox, pair: tuple[Node, Signalbox], turn: int) -> None:
        def took(body: bytes, news: post.PullReply) -> None:
            box.take(body)
            self.send(0, lambda: self.box_pull(node, box, pair, turn + 1))

        def failed() -> None:
            if pair[1].members.local.host in box.members.peers:
                self.at(self.now + 200 * MS, lambda: self.box_pull(node, box, pair, turn))
            else:  # its card is too old; one that comes back is met again
                self.at(self.now + SECOND, failed)

        def act() -> None:
            self.call(node, pair, box.ask(turn % 5 == 0), took, failed, BOX_PULL_NS)

        self.give(node, act)

    def at_box(self, node: Node) -> tuple[Node, Signalbox]:
        """Where a junction pulls now. The cards of signalboxes that are lost go after a time."""
        assert node.upstream is not None
        gone = self.down if self.now - self.lost_ns > PEER_EXPIRY_NS else set()
        found = node.upstream.choose(self.now, [c for name, c in self.cards.items() if name not in gone], [])
        return self.by_host[found[0] if found else ""]

    def failed(self, node: Node, pair: tuple[Node, Signalbox]) -> None:
        assert node.upstream is not None
        node.upstream.failed(self.now, pair[1].members.local.host)

    def fed(self, node: Node) -> None:
        if node.name in self.unfed:
            self.seen.setdefault(node.name, (self.now - self.lost_ns) / SECOND)

    def whole_pull(self, node: Node, made: Junction, life: int) -> None:
        if node.life != life:
            return
        pair = self.at_box(node)

        def took(body: bytes, news: post.PullReply) -> None:
            made.take(body)
            table = news.config is not None
            spent, size = self.charge.get(table, (0.0, 0.0))
            self.charge[table] = spent + made.meter.turn_ns, size + len(body)
            version = made.table.version if made.table else 0

            def after() -> None:
                self.fed(node)
                if table:
                    self.forced(node, version)
                self.whole_pull(node, made, life)

            self.send(0, after)

        def failed() -> None:
            self.failed(node, pair)
            self.at(self.now + 100 * MS, lambda: self.whole_pull(node, made, life))

        def act() -> None:
            for ident, *counts in (self.figures(made.zone) or [[]])[0]:
                made.sums.met[ident] = list(counts)
                made.own.met[ident] = list(counts)
                svc = self.lives[ident][0]
                made.sums.asked[svc] = made.sums.asked.get(svc, 0) + counts[0]
            self.call(node, pair, made.ask(), took, failed, PULL_NS)

        self.give(node, act)

    def caller_pull(self, node: Node, caller: Caller) -> None:
        pair = self.at_box(node)

        def took(body: bytes, news: post.PullReply) -> None:
            caller.take(body, news)
            spent, size = self.charge.get(news.config is not None, (0.0, 0.0))
            wait = int(spent / size * len(body)) if size and self.asked.cpu else 0

            def after() -> None:
                self.fed(node)
                if news.config is not None:
                    self.forced(node, news.config[0])
                self.caller_pull(node, caller)

            self.send(wait, after)

        def failed() -> None:
            self.failed(node, pair)
            self.at(self.now + 100 * MS, lambda: self.caller_pull(node, caller))

        if node.name not in self.down:
            body = caller.ask(1_764_000_000 + node.life + (self.now // SECOND))
            self.call(node, pair, body, took, failed, PULL_NS)

    def whole_second(self, node: Node, made: Junction, life: int) -> None:
        def act() -> None:
            if node.life == life:
                made.second()
                self.send(SECOND, lambda: self.whole_second(node, made, life))

        self.give(node, act)

    def whole_quarter(self, node: Node, made: Junction, life: int) -> None:
        def act() -> None:
            if node.life == life:
                made.quarter()
                self.send(SECOND // 4, lambda: self.whole_quarter(node, made, life))

        self.give(node, act)

    def beats(self, ident: str, state: str = "up", again: bool = False) -> None:
        if ident not in self.lives or ident in self.lost:
            return
        node, box = self.box_of(ident)
        if state == "up" and not again:
            self.at(self.now + BEAT_MS * MS, lambda: self.beats(ident))
        zone = self.lives[ident][2]
        if node.name in self.down or not self.reach(node.zone, zone):  # the next is called a second later
            left = [p for p in self.boxes if p[0].name not in self.down and self.reach(p[0].zone, zone)]
            if left:
                self.moved[ident] = self.random.choice(left)
                self.at(self.now + BEAT_NS, lambda: self.beats(ident, state, True))
            return
        body, sent = self.beat_body(ident, state), self.now

        def acked() -> None:
            if state != "up":
                self.send(0, lambda: self.drains.append(self.now - sent))

        self.send(IN_ZONE_NS, lambda: self.give(node, lambda: box.beat(ident, body, acked)))

    # -- changes

    def change(self, version: int, gap: int) -> None:
        """The operator replaces the configuration at the first signalbox: one route has another deadline."""
        self.at(self.now + gap, lambda: self.change(version + 1, gap))
        host = self.content["vhosts"][self.random.randrange(len(self.content["vhosts"]))]
        route = self.random.choice(host["prefixes"])
        route["deadlineMs"] = 1000 + version % 500
        self.content["ver"] = f"{version:08x}"
        body = json.dumps(self.content).encode()
        one = Change(version, self.now)
        self.changes.append(one)
        node, box = self.boxes[0]
        others = self.boxes[1:]
        need = len(self.boxes) // 2

        def received() -> None:
            box.meter.came(len(body))
            box.meter.timed("check a configuration", lambda: validate_configuration(body))
            first, second = ([0, version, 1, "disk"], [0, version, 1, "disk", body])
            letters(post.encode(first), lambda: letters(post.encode(second), agreed))

        def letters(plain: bytes, then: Callable[[], None]) -> None:
            packed = box.meter.timed("letters", lambda: zlib.compress(plain, 6))
            replies = [0]

            def reply() -> None:
                box.meter.came(40)
                replies[0] += 1
                if replies[0] == need:
                    self.give(node, then)

            def arrived(far: Node, far_box: Signalbox) -> None:
                far_box.meter.came(len(packed))
                far_box.meter.timed("letters", lambda: post.decode(zlib.decompress(packed)))
                far_box.meter.left(40)
                self.send(SYNC_NS + self.delay(node.zone, far.zone), lambda: self.give(node, reply))

            for far, far_box in others:
                box.meter.left(len(packed))
                self.send(
                    self.delay(node.zone, far.zone), partial(self.give, far, partial(arrived, far, far_box))
                )
            if not need:
                self.send(SYNC_NS, lambda: self.give(node, then))

        def agreed() -> None:
            box.learn(version, body)
            box.meter.left(2)
            self.send(0, lambda: setattr(one, "acked_ns", self.now))

        self.at(self.now + IN_ZONE_NS, lambda: self.give(node, received))

    def forced(self, node: Node, version: int) -> None:
        if node.name in self.restarted:
            self.seen.setdefault(node.name, (self.now - self.lost_ns) / SECOND)
        for one in self.changes:
            if one.version <= version:
                one.forced_ns.setdefault(node.name, self.now)

    # -- churn

    def churn(self, gap: int) -> None:
        """One life ends in order and another begins: a backend's or a junction's, by how many there are."""
        self.at(self.now + gap, partial(self.churn, gap))
        junctions = len(self.whole) + len(self.callers)
        if self.random.random() * (len(self.lives) + junctions) < junctions:
            self.restart(self.random.randrange(junctions))
            return
        here = [ident for near in self.near.values() for ident in near]  # none that leaves already
        ident = self.random.choice(here)
        svc, addr, zone = self.lives[ident]
        self.beats(ident, "draining")
        self.near[zone].remove(ident)
        fresh_ident = f"i-{self.random.getrandbits(32):08x}"
        self.lives[fresh_ident] = svc, addr, zone
        self.near[zone].append(fresh_ident)
        self.beats(fresh_ident)

        def leave() -> None:
            node, box = self.box_of(ident)
            del self.lives[ident]
            self.give(node, lambda: box.leave(ident, lambda: None))

        self.at(self.now + DRAIN_NS, leave)

    def restart(self, place: int) -> None:
        """A junction of a new life, which knows nothing."""
        if place < len(self.whole):
            node, made = self.whole[place]
            node.life += 1
            me = card(node.name, made.members.local.host, node.zone, False, node.life)
            fresh = Junction(me, self.zones, lambda: self.now)
            fresh.meter = node.meter
            self.whole[place] = node, fresh
            self.start_whole(node, fresh)
        else:
            node, caller = self.callers[place - len(self.whole)]
            node.life += 1
            caller.me = card(node.name, caller.me.host, node.zone, False, node.life)
            caller.vector, caller.version = {}, 0
            self.caller_pull(node, caller)

    # -- losses

    def lose(self) -> None:
        self.lost_ns = self.now
        zone = self.zones[-1]
        junctions = [n for n, _ in [*self.whole, *self.callers]]
        here = [n for n in junctions if n.zone == zone]
        backends = [i for i, (_, _, z) in self.lives.items() if z == zone]
        match self.asked.loss:
            case "backend":
                self.end(backends[:1])
            case "junction":
                self.restart(junctions.index(here[0]))
            case "box":
                lost = self.boxes[-1][0]
                self.unfed = {n.name for n in junctions if self.at_box(n)[0] is lost}
                self.down.add(lost.name)
            case "rack":
                many = RACK * len(here) // max(1, len(here) + len(backends))
                self.down.update(n.name for n in here[::-1][:many])
                self.end(backends[: RACK - many])
            case "zone":
                self.down.update(n.name for n in [*here, *(n for n, _ in self.boxes)] if n.zone == zone)
                self.end(backends)
            case "region":
                self.cut.add((len(self.zones) - 1) // ZONES_A_REGION)
                self.unfed = {n.name for n in junctions if not self.reach(n.zone, self.at_box(n)[0].zone)}
                self.at(self.now + int(self.asked.seconds * SECOND / 2), self.cut.clear)
            case "start":
                for node in here:
                    self.restart(junctions.index(node))
        if self.asked.loss in ("start", "junction"):
            self.restarted = {n.name for n in (here if self.asked.loss == "start" else here[:1])}
        self.look()

    def end(self, idents: list[str]) -> None:
        """Backends that end without a word."""
        for ident in idents:
            self.lost[ident] = self.box_of(ident)[0].name
            self.near[self.lives[ident][2]].remove(ident)

    def look(self) -> None:
        """Which of the whole junctions know of all that was lost; seen every twentieth of a second."""
        for node, made in self.whole:
            if self.lost and node.name not in self.down and node.name not in self.seen:
                known = (made.lives.instances.get(ident) for ident in self.lost)
                if all(one is None or one.state != "up" for one in known):
                    self.seen[node.name] = (self.now - self.lost_ns) / SECOND
        self.at(self.now + SECOND // 20, self.look)

    # -- what came of it

    def play(self) -> bool:
        """Whether it was played to its end."""
        self.profiles = {name: Profile() for name in ("junction", "signalbox")} if self.asked.profile else {}
        for name, nodes in (("junction", self.whole), ("signalbox", self.boxes)):
            for node, _ in nodes:
                node.meter.profile = self.profiles.get(name)
        gc.collect()
        gc.freeze()
        gc.disable()  # the product's processes have a heap of their own each; here one would pay for all
        try:
            self.begin()
            self.run(self.now + int(WARM_S * SECOND))
            for node, _ in [*self.boxes, *self.whole, *self.callers]:
                node.meter.clear()
            self.since_ns = self.now
            self.run(self.now + int(self.asked.seconds * SECOND), True)
            if self.asked.changes:  # what was sent is waited for, so that the slowest is seen
                while self.heap and self.now - self.since_ns < 10 * self.asked.seconds * SECOND:
                    if all(self.complete(c) for c in self.changes if c.sent_ns < self.counted_until()):
                        break
                    self.run(self.now + SECOND, True)
        except KeyboardInterrupt:
            self.why = "ended by hand"
        except Large:
            self.why = f"it took more than {self.asked.most_mb:g} MB"
        finally:
            self.until_ns = self.now
            gc.enable()
            gc.unfreeze()
        return not self.why

    def counted_until(self) -> int:
        return self.since_ns + int(self.asked.seconds * SECOND)

    def complete(self, one: Change) -> bool:
        return len(one.forced_ns) >= len(self.whole) + len(self.callers)

    def result(self, complete: bool) -> dict[str, Any]:
        seconds = max(1e-9, (self.until_ns - self.since_ns) / SECOND)
        junctions = len(self.whole) + len(self.callers)
        whole, boxes = [n for n, _ in self.whole], [n for n, _ in self.boxes]
        content = self.boxes[0][1].held[1]
        found: dict[str, Any] = {
            "asked": asdict(self.asked),
            "complete": complete,
            "why": self.why,
            "counted_s": seconds,
            "roles": {
                "junction": self.role(whole, [*whole, *(n for n, _ in self.callers)], seconds),
                "signalbox": self.role(boxes, boxes, seconds),
            },
            "configuration": {"bytes": len(content), "compressed": len(zlib.compress(content, 6))},
            "changes": [self.told(one, junctions) for one in self.changes],
            "loss": self.loss(),
            "drain_ack_s": quantiles([ns / SECOND for ns in self.drains]),
        }
        found["held"] = self.held()
        if self.profiles:
            found["profile"] = {name: functions(one) for name, one in self.profiles.items()}
        found["start"], found["memory"] = self.start()
        found["process"] = {
            "peak_mb": peak_mb(),
            "processes": 1,
        }
        return found

    def held(self) -> dict[str, Any]:
        """At the signalboxes: connections (junctions and signalboxes that pull there, pulls of its own,
        backends that call), bytes of lives on the disk, bytes of a vector, sources of news."""
        most: Counter[str] = Counter()
        for node, _ in [*self.whole, *self.callers]:
            most[self.at_box(node)[0].name] += 1
        for ident in self.lives:
            most[self.box_of(ident)[0].name] += 1
        for node, _ in self.boxes:
            most[node.name] += 2 * (len(self.boxes) - 1)
        packed = [box.packed() for _, box in self.boxes]
        return {
            "connections": sum(most.values()) / len(self.boxes),
            "connections_most": max(most.values()),
            "disk_lives_bytes": sum(len(i) + len(v) for one in packed for i, v in one.items()) / len(packed),
            "vector_bytes": len(post.encode(self.boxes[0][1].news.remote_version_vector())),
            "sources": len(self.boxes[0][1].news.sources),
        }

    def loss(self) -> dict[str, Any]:
        """Seconds until it was known, or news came again: of the whole junctions, or of all."""
        if not self.asked.loss:
            return {}
        after = (self.until_ns - self.lost_ns) / SECOND
        return {
            "kind": self.asked.loss,
            "controllers lost": len(self.down),
            "backends lost": len(self.lost),
            "junctions concerned": len(self.unfed | self.restarted),
            "lives that beat elsewhere": len(self.moved),
            "followed for_s": after,
            "known_s": quantiles(list(self.seen.values())),
        }

    def told(self, one: Change, junctions: int) -> dict[str, Any]:
        since = sorted((ns - one.acked_ns) / SECOND for ns in one.forced_ns.values()) if one.acked_ns else []
        found = {"ack_s": (one.acked_ns - one.sent_ns) / SECOND if one.acked_ns else None}
        for name, part in (("at_50_s", 50), ("at_99_s", 99), ("at_all_s", 100)):
            place = -(-junctions * part // 100) - 1
            found[name] = since[place] if 0 <= place < len(since) else None
        return found

    def role(self, metered: list[Node], counted: list[Node], seconds: float) -> dict[str, Any]:
        """Means a controller and second; processor time of `metered`, messages and bytes of `counted`."""
        if not metered:
            return {}
        parts: Counter[str] = Counter()
        for node in metered:
            parts.update(node.meter.parts)
        scale = 1e6 * len(metered) * seconds
        each = 1.0 * len(counted) * seconds
        return {
            "controllers": len(counted),
            "metered": len(metered),
            "processor_ms_s": sum(parts.values()) / scale,
            "processor_ms_s_most": max(sum(n.meter.parts.values()) for n in metered) / 1e6 / seconds,
            "parts_ms_s": {name: ns / scale for name, ns in parts.most_common()},
            "in_bytes_s": sum(n.meter.in_bytes for n in counted) / each,
            "out_bytes_s": sum(n.meter.out_bytes for n in counted) / each,
            "in_messages_s": sum(n.meter.ins for n in counted) / each,
            "out_messages_s": sum(n.meter.outs for n in counted) / each,
            "out_bytes_s_most": max(n.meter.out_bytes for n in counted) / seconds,
        }

    def start(self) -> tuple[dict[str, Any], dict[str, Any]]:
        """A start of each role beside what is there: bytes and processor time; then, once more, its memory by
        tracemalloc (the difference that it makes in this process, without the interpreter and libraries)."""
        if not self.asked.memory:
            return {}, {}
        zone = self.zones[0]
        _, at = self.upstream(zone)

        def junction() -> Junction:
            made = Junction(card("edge-new", "10.99.0.1", zone, False, 1), self.zones, lambda: self.now)
            self.first(made)
            return made

        def box() -> Signalbox:
            me = card("core-new", at.members.local.host, zone, True, 1)
            made = Signalbox(me, BEAT_MS, lambda: self.now, lambda wait, act: None)
            whole = post.PullReply(
                at.members.local, (), tuple(at.news.deltas_since({}, me.incarnation)), True, at.handed()
            ).encode()
            made.take(whole)
            for ident in list(at.beats.registrations):
                if ident in self.lives:
                    made.beats.heartbeat(self.now, ident, json.loads(self.beat_body(ident)))
            for name, sums in at.sums.items():
                made.sums.setdefault(name, Sums()).add(sums.pack())
            return made

        found = junction().meter
        spent = {part: ns / 1e6 for part, ns in found.parts.items()}
        start = {"bytes": found.in_bytes, "processor_ms": sum(spent.values()), "parts_ms": spent}
        memory = {"junction": traced(junction), "signalbox": traced(box)}
        return {"junction": start}, memory


def functions(profile: Profile, most: int = 24) -> list[dict[str, Any]]:
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


def traced(build: Callable[[], object]) -> dict[str, float]:
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


def quantiles(values: list[float]) -> dict[str, float]:
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


def measure(asked: Asked, told: Callable[[str], None] = lambda line: None) -> dict[str, Any]:
    """Plays once; with a loss, a second time without it, for what it cost more."""
    began = time.monotonic()
    world = World(asked, told)
    complete = world.play()
    found = world.result(complete)
    if asked.loss and complete:
        calm = World(replace(asked, loss="", memory=False), told)
        found["complete"] = calm.play()
        found["loss"]["more"] = more(found["roles"], calm.result(True)["roles"])
    found["process"]["took_s"] = time.monotonic() - began
    return found


def more(one: dict[str, Any], other: dict[str, Any]) -> dict[str, float]:
    """What the controllers of each role took beyond those of another run, all together, a second."""
    return {
        f"{who} {what}": (one[who][what] - other[who][what]) * one[who]["controllers"]
        for who in one
        for what in ("in_bytes_s", "out_bytes_s", "out_messages_s", "processor_ms_s")
    }
