"""A fleet in simulated time: the product's controllers (`node.controller.Node`, with its streams, orders and
the decision module) among stand-ins for all that they speak to. It keeps the rules' books: what the proxies
then have is held against what their controllers have been told.

Time moves by a heap of due events and never by a clock of the machine; chance is crc32 over a seed and a
counter.
"""

from __future__ import annotations

import heapq
import zlib
from collections import defaultdict, deque
from collections.abc import Callable
from typing import Any

from meadowworks.fleet.config import Config
from meadowworks.fleet.controller import Clock, FleetController
from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import (
    BackendReport,
    ConnectionItem,
    ControllerEvent,
    DemandReport,
    DiscoveryCommand,
    DiscoveryFailed,
    Endpoint,
    EndpointList,
    ProxyHello,
    ProxyJoined,
    ProxyLeft,
    UpdateApplied,
    UpdateMessage,
    WatchEndpoints,
)
from meadowworks.fleet.names import ENDPOINT_STATES
from meadowworks.policy.interface import Settings
from meadowworks.simulation.proxies import Proxy
from meadowworks.simulation.servers import SECOND, SLACK, Server

STEP_NS = SECOND // 10
BATCH_NS = SECOND // 200
HEARD_LATE_NS, NOTICE_NS = SECOND // 2, SECOND // 2  # reports; a broken stream, before the proxy dials again
BACK_NS = SECOND  # from a controller's end to its next start
CALL_NS = SECOND // 5  # a call at discovery
CHANGES_MOST = 6  # that discovery tells one by one: who has missed more is told the whole list
START_NS = 1000 * SECOND


class Time(Clock):
    """The fleet's time as the controllers' clock."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.offset = fleet, 0

    def now(self) -> int:
        return self.fleet.now


class Seat:
    """One controller: its process while it runs, its channel, its watch of the list, its share of reports."""

    def __init__(self, number: int, zone: str) -> None:
        self.number, self.zone = number, zone
        self.node: FleetController | None = None
        self.known: EndpointList | None = None  # as its last process had it
        self.index = 0  # of the list that it has been told
        self.states: dict[str, str] = {}  # of each server, as told
        self.told_ns: dict[str, int] = {}  # since when it has known that a server drains or is gone
        self.tracking = False
        self.due = False  # a batch has been set
        self.free_ns = 0  # when the channel has sent all that it holds
        self.queue: deque[tuple[int, float]] = deque()  # when a message has left, its lines
        self.met: dict[tuple[str, str], list[float]] = {}  # by zone and server: tries, bad, latency, since
        self.asked: dict[int, list[float]] = {}  # by proxy: calls by route, since
        self.reported_ns = 0


class Fleet:
    """`controllers` are dealt to the zones in turn, as are servers and proxies. A broken rule is a row of
    `broken`: what, and when in seconds."""

    def __init__(
        self,
        settings: Settings,
        zones: tuple[str, ...],
        routes: tuple[str, ...],
        *,
        controllers: int,
        servers: int,
        load: float,
        seed: int = 1,
        speed: float = 1.0,
        intake: int = 100,
        list_calls: int = 10,
    ) -> None:
        self.settings, self.zones, self.routes, self.seed = settings, zones, routes, seed
        self.speed, self.intake, self.list_calls = speed, intake, list_calls
        self.now, self.count = START_NS, 0
        self.due: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []
        self.servers = {
            s.name: s
            for s in (Server(f"s-{k}", zones[k % len(zones)], 20.0, settings) for k in range(servers))
        }
        self.index = 1
        self.changed = {name: 1 for name in self.servers}  # at which index of the list
        self.calls: deque[int] = deque()  # at discovery, lately
        self.deaf: Callable[[Seat], bool] = lambda seat: False  # whom discovery does not hear
        self.broken: list[tuple[str, float]] = []
        self.counts: defaultdict[str, float] = defaultdict(float)
        power = sum(s.power for s in self.servers.values())
        weights = [0.3 + 1.7 * self.chance() for _ in range(settings.proxies)]
        self.proxies = [
            Proxy(
                p,
                zones[p % len(zones)],
                load * power * w / sum(weights),
                routes,
                dict((s.name, 1.0) for s in list(self.here(zones[p % len(zones)]))[p % 3 : p % 3 + 3]),
            )
            for p, w in enumerate(weights)
        ]
        self.seats = [Seat(k, zones[k % len(zones)]) for k in range(controllers)]
        cost = settings.proxies * (settings.head + servers / len(zones) + 2) / settings.channel_rate / speed
        # What cannot be put off fits, with all proxies at one controller.
        self.grace_ns = int((1.5 + cost) * SECOND) + settings.delay_most_ns
        for seat in self.seats:
            seat.known = self.whole()
            self.start(seat)
        for proxy in self.proxies:
            self.dial(proxy)
        self.at(STEP_NS, self.step)

    # -- time and chance

    def chance(self) -> float:
        self.count += 1
        return zlib.crc32(f"{self.seed}:{self.count}".encode()) / 2**32

    def at(self, wait_ns: int, act: Callable[..., Any], *what: Any) -> None:
        self.count += 1
        heapq.heappush(self.due, (self.now + max(0, wait_ns), self.count, act, what))

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.due and self.due[0][0] <= end:
            self.now, _, act, what = heapq.heappop(self.due)
            act(*what)
        self.now = end

    def breaks(self, what: str) -> None:
        self.broken.append((what, (self.now - START_NS) / SECOND))

    def here(self, zone: str) -> list[Server]:
        return [s for s in self.servers.values() if s.zone == zone]

    # -- controllers

    def start(self, seat: Seat) -> None:
        """A process of its own, with the list as its last one had it and nothing else."""
        lists: Mailbox[DiscoveryCommand] = Mailbox(1)
        news: Mailbox[ControllerEvent] = Mailbox(16384)
        config = Config(
            name=f"n{seat.number}",
            host="",
            port=0,
            discovery="",
            sockets=1024,
            seed=self.seed * 100 + seat.number,
            known=seat.known,
            settings=self.settings,
            zone_indices={z: k for k, z in enumerate(self.zones)},
            route_indices={r: k for k, r in enumerate(self.routes)},
            batch_interval_ns=BATCH_NS,
        )

        def call_at(when: float, act: Callable[..., Any], *what: Any) -> None:
            self.at(round(when * SECOND) - self.now, self.alarm, seat, news, act, what)

        node = FleetController(config, news, lists, call_at, Time(self))
        seat.node, seat.free_ns = node, self.now
        seat.queue.clear()
        seat.met, seat.asked, seat.tracking, seat.index = {}, {}, False, 0
        assert seat.known
        seat.states = {e.name: e.state for e in seat.known.entries}
        seat.told_ns = {name: self.now for name, state in seat.states.items() if state != "ready"}
        self.lists(seat)

    def alarm(
        self, seat: Seat, news: Mailbox[ControllerEvent], act: Callable[..., Any], what: tuple[Any, ...]
    ) -> None:
        if seat.node and seat.node.events is news:
            act(*what)
            self.soon(seat)

    def end(self, seat: Seat) -> None:
        """Its process ends, planned or not: the proxies go elsewhere, and it is started again."""
        seat.node, seat.tracking = None, False
        for proxy in self.proxies:
            if proxy.at == seat.number:
                proxy.at, proxy.stream = -1, None
                self.at(int(NOTICE_NS * (0.5 + self.chance())), self.dial, proxy)
        self.at(BACK_NS, self.start, seat)

    def soon(self, seat: Seat) -> None:
        if not seat.due:
            seat.due = True
            self.at(BATCH_NS, self.batch, seat)

    def put(self, seat: Seat, item: ControllerEvent, report: bool = False) -> None:
        if seat.node:
            seat.node.events.put(item, report)
            self.soon(seat)

    def batch(self, seat: Seat) -> None:
        seat.due = False
        if not seat.node:
            return
        seat.node.process_batch()
        self.lists(seat)
        told = [
            (p, item)
            for p in self.proxies
            if p.at == seat.number and p.stream
            for item in p.stream.drain()
            if isinstance(item, UpdateMessage)
        ]
        calls = seat.node.policy.calls
        for proxy, message in sorted(told, key=lambda t: (-calls(t[0].number), t[0].number)):
            self.send(seat, proxy, message)

    # -- the channel

    def send(self, seat: Seat, proxy: Proxy, message: UpdateMessage) -> None:
        lines = self.settings.head + self.cost(message.data)
        takes_ns = int(lines / self.settings.channel_rate / self.speed * SECOND)
        seat.free_ns = max(seat.free_ns, self.now) + takes_ns
        seat.queue.append((seat.free_ns, lines))
        while seat.queue[0][0] <= self.now:
            seat.queue.popleft()
        if sum(lines for _, lines in seat.queue) > self.settings.queue_cap:
            self.breaks("queue")
        since = self.now - self.settings.messages_over_ns
        proxy.messages = [t for t in proxy.messages if t > since] + [self.now]
        if self.settings.messages_most and len(proxy.messages) > self.settings.messages_most:
            self.breaks("messages")
        self.counts["messages"] += 1
        self.counts["lines"] += lines
        wait_ns = seat.free_ns - self.now + self.settings.delay_most_ns // 2
        self.at(wait_ns, self.arrive, seat, proxy, proxy.stream, message.data)

    def cost(self, text: bytes) -> int:
        return text.count(b"full=1") + text.count(b":") + text.count(b"admit=") + text.count(b"nonce_out=")

    def arrive(self, seat: Seat, proxy: Proxy, stream: Mailbox[ConnectionItem], text: bytes) -> None:
        if proxy.stream is not stream or not seat.node:
            return
        mark = proxy.take(text)
        if mark is not None:
            self.put(seat, UpdateApplied(proxy.number, mark))

    # -- proxies

    def dial(self, proxy: Proxy) -> None:
        """To a controller that answers, of its own zone if there is one."""
        up = [s for s in self.seats if s.node]
        near = [s for s in up if s.zone == proxy.zone] or up
        if proxy.stream or not near:
            return None if proxy.stream else self.at(NOTICE_NS, self.dial, proxy)
        seat = near[int(self.chance() * len(near))]
        proxy.at, proxy.stream, proxy.joined_ns, proxy.messages = seat.number, Mailbox(4096), self.now, []
        proxy.bare_ns = 0
        self.put(seat, ProxyJoined(ProxyHello(proxy.number, proxy.zone, proxy.rate, True), proxy.stream))

    def die(self, proxy: Proxy, back_ns: int) -> None:
        """It forgets all and comes back with its standing table."""
        if proxy.stream:
            self.put(self.seats[proxy.at], ProxyLeft(proxy.number, proxy.stream))
        proxy.at, proxy.stream = -1, None
        proxy.start()
        self.at(back_ns, self.dial, proxy)

    # -- discovery

    def entry(self, server: Server) -> Endpoint:
        return Endpoint(
            server.name, server.zone, ENDPOINT_STATES[server.state], server.since_ns, server.weight
        )

    def whole(self) -> EndpointList:
        known = tuple(self.entry(s) for s in self.servers.values() if s.state != "terminated")
        return EndpointList(self.index, True, known)

    def lists(self, seat: Seat) -> None:
        """Takes what a controller asks of discovery."""
        assert seat.node
        for item in seat.node.discovery_commands.drain():
            if isinstance(item, WatchEndpoints):
                self.counts["list calls"] += 1
                self.calls.append(self.now)
                while self.calls[0] <= self.now - SECOND:
                    self.calls.popleft()
                heard = not self.deaf(seat) and len(self.calls) <= self.list_calls
                self.at(CALL_NS, self.told if heard else self.fail, seat, seat.node)

    def fail(self, seat: Seat, node: FleetController) -> None:
        if seat.node is node:
            seat.tracking = False
            self.put(seat, DiscoveryFailed("no answer"))

    def told(self, seat: Seat, node: FleetController) -> None:
        """Answers with all that is newer than what this process has; from then on it watches."""
        if seat.node is not node:
            return
        if self.deaf(seat):
            return self.fail(seat, node)
        seat.tracking = True
        if seat.index == self.index:
            return
        missed = self.index - seat.index > CHANGES_MOST
        listing = (
            self.whole()
            if missed or not seat.index
            else EndpointList(
                self.index,
                False,
                tuple(self.entry(s) for s in self.servers.values() if self.changed[s.name] > seat.index),
            )
        )
        gone = (
            {n for n, s in self.servers.items() if s.state == "terminated"} if listing.is_snapshot else set()
        )
        for name, state in [(e.name, e.state) for e in listing.entries] + [(n, "gone") for n in gone]:
            seat.states[name] = state
            if state == "ready":
                seat.told_ns.pop(name, None)
            else:
                seat.told_ns.setdefault(name, self.now)
        seat.index, seat.known = self.index, self.whole()
        self.put(seat, listing)

    def lists_now(self, *servers: Server) -> None:
        """The list has changed: watches tell it, or break where discovery is not heard."""
        self.index += 1
        for server in servers:
            self.changed[server.name] = self.index
        for seat in self.seats:
            if seat.node and seat.tracking:
                self.at(CALL_NS, self.fail if self.deaf(seat) else self.told, seat, seat.node)

    def drain(self, server: Server, gone_ns: int) -> None:
        server.state = "terminating"
        self.lists_now(server)
        self.at(gone_ns, self.go, server)

    def go(self, server: Server) -> None:
        server.state, server.up = "terminated", False
        self.lists_now(server)

    def come(self, zone: str) -> Server:
        """A new server, cold."""
        server = Server(f"s-{len(self.servers)}", zone, 20.0, self.settings, since_ns=self.now)
        self.servers[server.name] = server
        self.changed[server.name] = 0
        self.lists_now(server)
        return server

    def replace(self, server: Server, drain_ns: int, successor_ns: int) -> None:
        self.drain(server, drain_ns)
        self.at(successor_ns, self.come, server.zone)

    # -- calls and reports

    def step(self) -> None:
        self.at(STEP_NS, self.step)
        sent: defaultdict[str, float] = defaultdict(float)
        plans = []
        for proxy in self.proxies:
            whole = proxy.rate * STEP_NS / SECOND + proxy.again
            proxy.again = 0.0
            for k in range(len(self.routes)):
                total = sum(proxy.tables[k].values())
                calls = whole / len(self.routes)
                self.counts["calls"] += calls
                if proxy.at >= 0:
                    told = self.seats[proxy.at].asked.setdefault(
                        proxy.number, [0.0] * len(self.routes) + [self.now]
                    )
                    told[k] += calls
                for name, weight in proxy.tables[k].items():
                    part = calls * min(1.0, proxy.grants[k][0]) * weight / total
                    plans.append((proxy, name, part))
                    sent[name] += part
        took = {name: server.take(self.now, sent[name], STEP_NS) for name, server in self.servers.items()}
        for proxy, name, part in plans:
            bad, latency = took[name]
            self.counts["answered"] += part * (1 - bad)
            proxy.again += 0.5 * part * bad
            if proxy.at >= 0:
                met = self.seats[proxy.at].met.setdefault((proxy.zone, name), [0.0, 0.0, 0.0, self.now])
                met[0], met[1], met[2] = met[0] + part, met[1] + part * bad, latency
        for seat in self.seats:
            if seat.node and self.now - seat.reported_ns >= self.settings.report_ns:
                self.report(seat)
        self.hold()

    def report(self, seat: Seat) -> None:
        """As many lines as a controller is given, the oldest first; the rest adds up."""
        seat.reported_ns, left = self.now, int(self.intake * self.settings.report_ns / SECOND)
        for key in sorted(seat.met, key=lambda key: (seat.met[key][3], key))[: left // 2]:
            tries, bad, latency, since = seat.met[key]
            if tries >= 1:
                whole = int(tries)
                load = {"queue": self.servers[key[1]].queued}
                del seat.met[key]
                item = BackendReport(
                    *key,
                    whole,
                    min(whole, round(bad)),
                    int(latency),
                    max(self.settings.report_ns, int(self.now - since)),
                    load,
                )
                self.at(HEARD_LATE_NS, self.put, seat, item, True)
        for proxy in sorted(seat.asked, key=lambda p: (seat.asked[p][-1], p))[: left // 2]:
            *calls, since = seat.asked.pop(proxy)
            covers = max(self.settings.report_ns, int(self.now - since))
            for name, count in zip(self.routes, calls, strict=True):
                self.at(
                    HEARD_LATE_NS, self.put, seat, DemandReport(proxy, name, round(count), 0, covers), True
                )

    # -- the rules

    def hold(self) -> None:
        """What the proxies have, against what their controllers have been told."""
        for proxy in self.proxies:
            if proxy.at < 0:
                continue
            seat = self.seats[proxy.at]
            warm = any(
                state == "ready" and not self.servers[name].cold(self.now)
                for name, state in seat.states.items()
            )
            if warm and not all(proxy.tables):
                proxy.bare_ns = proxy.bare_ns or self.now
                if self.now - proxy.bare_ns > self.grace_ns:
                    self.breaks("bare")
            else:
                proxy.bare_ns = 0
            for table in proxy.tables:
                for name in table:
                    since = max(seat.told_ns.get(name, self.now), proxy.joined_ns)
                    if self.now - since > self.grace_ns:
                        self.breaks("drain")
            if any(policy > 1 for _, policy in proxy.grants):
                self.breaks("twice")
        for server in self.servers.values():
            if server.pushed > self.settings.tip * SLACK:
                self.breaks("cold")
                server.pushed = 0.0

    def fresh(self) -> list[int]:
        """Controllers whose list is discovery's."""
        return [seat.number for seat in self.seats if seat.node and seat.index == self.index]
