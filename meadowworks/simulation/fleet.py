"""A fleet in simulated time, held to the rules of the trial.

The product's controllers (`FleetController`, with its streams, table updates and policy) run among stand-
ins for all that they speak to. What the proxies then have is compared with what their controllers have
been told.

Time moves by a heap of due events and never by a clock of the machine; random numbers are crc32 over a
seed and a counter.
"""

from __future__ import annotations

import heapq
import zlib
from collections import defaultdict, deque
from collections.abc import Callable
from typing import Any

from meadowworks.fleet.config import FleetConfig
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
from meadowworks.fleet.names import ENDPOINT_STATE_BY_STATUS
from meadowworks.policy.interface import Settings
from meadowworks.simulation.proxies import Proxy
from meadowworks.simulation.servers import OVERLOAD_TOLERANCE, SECOND, Server

STEP_NS = SECOND // 10
BATCH_NS = SECOND // 200
REPORT_DELAY_NS, RECONNECT_NS = (
    SECOND // 2,
    SECOND // 2,
)  # reports; a broken stream, before the proxy dials again
RESTART_NS = SECOND  # from a controller's end to its next start
LIST_CALL_NS = SECOND // 5  # a call at discovery
MAX_CHANGES = 6  # that discovery tells one by one: who has missed more is told the whole list
START_NS = 1000 * SECOND


class SimulatedClock(Clock):
    """The fleet's time as the controllers' clock."""

    def __init__(self, fleet: SimulatedFleet) -> None:
        self.fleet, self.offset_ns = fleet, 0

    def now_ns(self) -> int:
        return self.fleet.now


class SimulatedController:
    """One controller: its process while it runs, its channel, its watch of the list, its share of reports."""

    def __init__(self, number: int, zone: str) -> None:
        self.number, self.zone = number, zone
        self.controller: FleetController | None = None
        self.known: EndpointList | None = None  # as its last process had it
        self.index = 0  # of the list that it has been told
        self.states: dict[str, str] = {}  # of each server, as told
        self.notified_ns: dict[str, int] = {}  # since when it has known that a server drains or is gone
        self.tracking = False
        self.batch_scheduled = False  # a batch has been set
        self.channel_free_ns = 0  # when the channel has sent all that it holds
        self.queue: deque[tuple[int, float]] = deque()  # when a message has left, its lines
        self.attempts: dict[
            tuple[str, str], list[float]
        ] = {}  # by zone and server: tries, bad, latency, since
        self.demand: dict[int, list[float]] = {}  # by proxy: calls by route, since
        self.reported_ns = 0


class SimulatedFleet:
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
        self.timers: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []
        self.servers = {
            s.name: s
            for s in (Server(f"s-{k}", zones[k % len(zones)], 20.0, settings) for k in range(servers))
        }
        self.index = 1
        self.changed = {name: 1 for name in self.servers}  # at which index of the list
        self.calls: deque[int] = deque()  # at discovery, lately
        self.cut_off: Callable[[SimulatedController], bool] = (
            lambda seat: False
        )  # whom discovery does not hear
        self.violations: list[tuple[str, float]] = []
        self.counts: defaultdict[str, float] = defaultdict(float)
        power = sum(s.full_rate for s in self.servers.values())
        weights = [0.3 + 1.7 * self.random() for _ in range(settings.proxy_count)]
        self.proxies = [
            Proxy(
                p,
                zones[p % len(zones)],
                load * power * w / sum(weights),
                routes,
                dict((s.name, 1.0) for s in list(self.servers_in(zones[p % len(zones)]))[p % 3 : p % 3 + 3]),
            )
            for p, w in enumerate(weights)
        ]
        self.controllers = [SimulatedController(k, zones[k % len(zones)]) for k in range(controllers)]
        cost = (
            settings.proxy_count
            * (settings.message_overhead + servers / len(zones) + 2)
            / settings.channel_rate
            / speed
        )
        # What cannot be put off fits, with all proxies at one controller.
        self.grace_ns = int((1.5 + cost) * SECOND) + settings.max_delay_ns
        for seat in self.controllers:
            seat.known = self.full_list()
            self.start(seat)
        for proxy in self.proxies:
            self.connect(proxy)
        self.schedule(STEP_NS, self.step)

    # -- time and chance

    def random(self) -> float:
        self.count += 1
        return zlib.crc32(f"{self.seed}:{self.count}".encode()) / 2**32

    def schedule(self, wait_ns: int, act: Callable[..., Any], *what: Any) -> None:
        self.count += 1
        heapq.heappush(self.timers, (self.now + max(0, wait_ns), self.count, act, what))

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.timers and self.timers[0][0] <= end:
            self.now, _, act, what = heapq.heappop(self.timers)
            act(*what)
        self.now = end

    def record_violation(self, what: str) -> None:
        self.violations.append((what, (self.now - START_NS) / SECOND))

    def servers_in(self, zone: str) -> list[Server]:
        return [s for s in self.servers.values() if s.zone == zone]

    # -- controllers

    def start(self, seat: SimulatedController) -> None:
        """A process of its own, with the list as its last one had it and nothing else."""
        lists: Mailbox[DiscoveryCommand] = Mailbox(1)
        news: Mailbox[ControllerEvent] = Mailbox(16384)
        config = FleetConfig(
            name=f"n{seat.number}",
            host="",
            port=0,
            discovery_address="",
            descriptor_limit=1024,
            seed=self.seed * 100 + seat.number,
            known_endpoints=seat.known,
            settings=self.settings,
            zone_indices={z: k for k, z in enumerate(self.zones)},
            route_indices={r: k for k, r in enumerate(self.routes)},
            batch_interval_ns=BATCH_NS,
        )

        def call_at(when: float, act: Callable[..., Any], *what: Any) -> None:
            self.schedule(round(when * SECOND) - self.now, self.run_timer, seat, news, act, what)

        node = FleetController(config, news, lists, call_at, SimulatedClock(self))
        seat.controller, seat.channel_free_ns = node, self.now
        seat.queue.clear()
        seat.attempts, seat.demand, seat.tracking, seat.index = {}, {}, False, 0
        assert seat.known
        seat.states = {e.name: e.state for e in seat.known.entries}
        seat.notified_ns = {name: self.now for name, state in seat.states.items() if state != "ready"}
        self.take_list_calls(seat)

    def run_timer(
        self,
        seat: SimulatedController,
        news: Mailbox[ControllerEvent],
        act: Callable[..., Any],
        what: tuple[Any, ...],
    ) -> None:
        if seat.controller and seat.controller.events is news:
            act(*what)
            self.schedule_batch(seat)

    def end(self, seat: SimulatedController) -> None:
        """Its process ends, planned or not: the proxies go elsewhere, and it is started again."""
        seat.controller, seat.tracking = None, False
        for proxy in self.proxies:
            if proxy.controller == seat.number:
                proxy.controller, proxy.stream = -1, None
                self.schedule(int(RECONNECT_NS * (0.5 + self.random())), self.connect, proxy)
        self.schedule(RESTART_NS, self.start, seat)

    def schedule_batch(self, seat: SimulatedController) -> None:
        if not seat.batch_scheduled:
            seat.batch_scheduled = True
            self.schedule(BATCH_NS, self.batch, seat)

    def put(self, seat: SimulatedController, item: ControllerEvent, report: bool = False) -> None:
        if seat.controller:
            seat.controller.events.put(item, report)
            self.schedule_batch(seat)

    def batch(self, seat: SimulatedController) -> None:
        seat.batch_scheduled = False
        if not seat.controller:
            return
        seat.controller.process_batch()
        self.take_list_calls(seat)
        told = [
            (p, item)
            for p in self.proxies
            if p.controller == seat.number and p.stream
            for item in p.stream.drain()
            if isinstance(item, UpdateMessage)
        ]
        calls = seat.controller.policy.call_rate
        for proxy, message in sorted(told, key=lambda t: (-calls(t[0].number), t[0].number)):
            self.send(seat, proxy, message)

    # -- the channel

    def send(self, seat: SimulatedController, proxy: Proxy, message: UpdateMessage) -> None:
        lines = self.settings.message_overhead + self.cost(message.data)
        takes_ns = int(lines / self.settings.channel_rate / self.speed * SECOND)
        seat.channel_free_ns = max(seat.channel_free_ns, self.now) + takes_ns
        seat.queue.append((seat.channel_free_ns, lines))
        while seat.queue[0][0] <= self.now:
            seat.queue.popleft()
        if sum(lines for _, lines in seat.queue) > self.settings.queue_limit:
            self.record_violation("queue")
        since = self.now - self.settings.message_window_ns
        proxy.messages = [t for t in proxy.messages if t > since] + [self.now]
        if self.settings.message_limit and len(proxy.messages) > self.settings.message_limit:
            self.record_violation("messages")
        self.counts["messages"] += 1
        self.counts["lines"] += lines
        wait_ns = seat.channel_free_ns - self.now + self.settings.max_delay_ns // 2
        self.schedule(wait_ns, self.arrive, seat, proxy, proxy.stream, message.data)

    def cost(self, text: bytes) -> int:
        return text.count(b"full=1") + text.count(b":") + text.count(b"admit=") + text.count(b"nonce_out=")

    def arrive(
        self, seat: SimulatedController, proxy: Proxy, stream: Mailbox[ConnectionItem], text: bytes
    ) -> None:
        if proxy.stream is not stream or not seat.controller:
            return
        mark = proxy.apply(text)
        if mark is not None:
            self.put(seat, UpdateApplied(proxy.number, mark))

    # -- proxies

    def connect(self, proxy: Proxy) -> None:
        """To a controller that answers, of its own zone if there is one."""
        up = [s for s in self.controllers if s.controller]
        near = [s for s in up if s.zone == proxy.zone] or up
        if proxy.stream or not near:
            return None if proxy.stream else self.schedule(RECONNECT_NS, self.connect, proxy)
        seat = near[int(self.random() * len(near))]
        proxy.controller, proxy.stream, proxy.joined_ns, proxy.messages = (
            seat.number,
            Mailbox(4096),
            self.now,
            [],
        )
        proxy.without_backend_ns = 0
        self.put(seat, ProxyJoined(ProxyHello(proxy.number, proxy.zone, proxy.rate, True), proxy.stream))

    def restart_proxy(self, proxy: Proxy, back_ns: int) -> None:
        """It forgets all and comes back with its standing table."""
        if proxy.stream:
            self.put(self.controllers[proxy.controller], ProxyLeft(proxy.number, proxy.stream))
        proxy.controller, proxy.stream = -1, None
        proxy.start()
        self.schedule(back_ns, self.connect, proxy)

    # -- discovery

    def entry(self, server: Server) -> Endpoint:
        return Endpoint(
            server.name, server.zone, ENDPOINT_STATE_BY_STATUS[server.state], server.since_ns, server.weight
        )

    def full_list(self) -> EndpointList:
        known = tuple(self.entry(s) for s in self.servers.values() if s.state != "terminated")
        return EndpointList(self.index, True, known)

    def take_list_calls(self, seat: SimulatedController) -> None:
        """Takes what a controller asks of discovery."""
        assert seat.controller
        for item in seat.controller.discovery_commands.drain():
            if isinstance(item, WatchEndpoints):
                self.counts["list calls"] += 1
                self.calls.append(self.now)
                while self.calls[0] <= self.now - SECOND:
                    self.calls.popleft()
                heard = not self.cut_off(seat) and len(self.calls) <= self.list_calls
                self.schedule(
                    LIST_CALL_NS,
                    self.answer_list_call if heard else self.fail_list_call,
                    seat,
                    seat.controller,
                )

    def fail_list_call(self, seat: SimulatedController, node: FleetController) -> None:
        if seat.controller is node:
            seat.tracking = False
            self.put(seat, DiscoveryFailed("no answer"))

    def answer_list_call(self, seat: SimulatedController, node: FleetController) -> None:
        """Answers with all that is newer than what this process has; from then on it watches."""
        if seat.controller is not node:
            return
        if self.cut_off(seat):
            return self.fail_list_call(seat, node)
        seat.tracking = True
        if seat.index == self.index:
            return
        missed = self.index - seat.index > MAX_CHANGES
        listing = (
            self.full_list()
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
                seat.notified_ns.pop(name, None)
            else:
                seat.notified_ns.setdefault(name, self.now)
        seat.index, seat.known = self.index, self.full_list()
        self.put(seat, listing)

    def publish_list(self, *servers: Server) -> None:
        """The list has changed: watches tell it, or break where discovery is not heard."""
        self.index += 1
        for server in servers:
            self.changed[server.name] = self.index
        for seat in self.controllers:
            if seat.controller and seat.tracking:
                self.schedule(
                    LIST_CALL_NS,
                    self.fail_list_call if self.cut_off(seat) else self.answer_list_call,
                    seat,
                    seat.controller,
                )

    def drain(self, server: Server, gone_ns: int) -> None:
        server.state = "terminating"
        self.publish_list(server)
        self.schedule(gone_ns, self.remove_server, server)

    def remove_server(self, server: Server) -> None:
        server.state, server.up = "terminated", False
        self.publish_list(server)

    def add_server(self, zone: str) -> Server:
        """A new server, cold."""
        server = Server(f"s-{len(self.servers)}", zone, 20.0, self.settings, since_ns=self.now)
        self.servers[server.name] = server
        self.changed[server.name] = 0
        self.publish_list(server)
        return server

    def replace(self, server: Server, drain_ns: int, successor_ns: int) -> None:
        self.drain(server, drain_ns)
        self.schedule(successor_ns, self.add_server, server.zone)

    # -- calls and reports

    def step(self) -> None:
        self.schedule(STEP_NS, self.step)
        sent: defaultdict[str, float] = defaultdict(float)
        plans = []
        for proxy in self.proxies:
            whole = proxy.rate * STEP_NS / SECOND + proxy.repeated_calls
            proxy.repeated_calls = 0.0
            for k in range(len(self.routes)):
                total = sum(proxy.tables[k].values())
                calls = whole / len(self.routes)
                self.counts["calls"] += calls
                if proxy.controller >= 0:
                    told = self.controllers[proxy.controller].demand.setdefault(
                        proxy.number, [0.0] * len(self.routes) + [self.now]
                    )
                    told[k] += calls
                for name, weight in proxy.tables[k].items():
                    part = calls * min(1.0, proxy.admissions[k][0]) * weight / total
                    plans.append((proxy, name, part))
                    sent[name] += part
        took = {name: server.handle(self.now, sent[name], STEP_NS) for name, server in self.servers.items()}
        for proxy, name, part in plans:
            bad, latency = took[name]
            self.counts["answered"] += part * (1 - bad)
            proxy.repeated_calls += 0.5 * part * bad
            if proxy.controller >= 0:
                met = self.controllers[proxy.controller].attempts.setdefault(
                    (proxy.zone, name), [0.0, 0.0, 0.0, self.now]
                )
                met[0], met[1], met[2] = met[0] + part, met[1] + part * bad, latency
        for seat in self.controllers:
            if seat.controller and self.now - seat.reported_ns >= self.settings.report_interval_ns:
                self.report(seat)
        self.check_rules()

    def report(self, seat: SimulatedController) -> None:
        """As many lines as a controller is given, the oldest first; the rest adds up."""
        seat.reported_ns, left = self.now, int(self.intake * self.settings.report_interval_ns / SECOND)
        for key in sorted(seat.attempts, key=lambda key: (seat.attempts[key][3], key))[: left // 2]:
            tries, bad, latency, since = seat.attempts[key]
            if tries >= 1:
                whole = int(tries)
                load = {"queue": self.servers[key[1]].queued}
                del seat.attempts[key]
                item = BackendReport(
                    *key,
                    whole,
                    min(whole, round(bad)),
                    int(latency),
                    max(self.settings.report_interval_ns, int(self.now - since)),
                    load,
                )
                self.schedule(REPORT_DELAY_NS, self.put, seat, item, True)
        for proxy in sorted(seat.demand, key=lambda p: (seat.demand[p][-1], p))[: left // 2]:
            *calls, since = seat.demand.pop(proxy)
            covers = max(self.settings.report_interval_ns, int(self.now - since))
            for name, count in zip(self.routes, calls, strict=True):
                self.schedule(
                    REPORT_DELAY_NS, self.put, seat, DemandReport(proxy, name, round(count), 0, covers), True
                )

    # -- the rules

    def check_rules(self) -> None:
        """What the proxies have, against what their controllers have been told."""
        for proxy in self.proxies:
            if proxy.controller < 0:
                continue
            seat = self.controllers[proxy.controller]
            warm = any(
                state == "ready" and not self.servers[name].is_warming(self.now)
                for name, state in seat.states.items()
            )
            if warm and not all(proxy.tables):
                proxy.without_backend_ns = proxy.without_backend_ns or self.now
                if self.now - proxy.without_backend_ns > self.grace_ns:
                    self.record_violation("bare")
            else:
                proxy.without_backend_ns = 0
            for table in proxy.tables:
                for name in table:
                    since = max(seat.notified_ns.get(name, self.now), proxy.joined_ns)
                    if self.now - since > self.grace_ns:
                        self.record_violation("drain")
            if any(policy > 1 for _, policy in proxy.admissions):
                self.record_violation("twice")
        for server in self.servers.values():
            if server.worst_overload > self.settings.overload_factor * OVERLOAD_TOLERANCE:
                self.record_violation("cold")
                server.worst_overload = 0.0

    def up_to_date(self) -> list[int]:
        """Controllers whose list is discovery's."""
        return [seat.number for seat in self.controllers if seat.controller and seat.index == self.index]
