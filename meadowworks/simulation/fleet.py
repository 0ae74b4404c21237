"""A simulation of a fleet in simulated time, with checks of the fleet's safety rules.

The product's controllers (`FleetController`, with its streams, table updates and policy) run against
simulated proxies, servers and service discovery. The state of the proxies is compared with the information
that their controllers have received.

Time advances by a heap of due events and never by a clock of the machine. Random numbers are CRC-32 values
of a seed and a counter, so a run is deterministic.
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
# The delay of a report, and the mean delay before a proxy reconnects.
REPORT_DELAY_NS, RECONNECT_NS = SECOND // 2, SECOND // 2
RESTART_NS = SECOND  # from the end of a controller's process to its next start
LIST_CALL_NS = SECOND // 5  # duration of a call to discovery
MAX_CHANGES = 6  # a controller that has missed more list versions gets a snapshot
START_NS = 1000 * SECOND


class SimulatedClock(Clock):
    """A clock that returns the fleet's simulated time."""

    def __init__(self, fleet: SimulatedFleet) -> None:
        self.fleet, self.offset_ns = fleet, 0

    def now_ns(self) -> int:
        return self.fleet.now


class SimulatedController:
    """One controller: its running process, its channel, its watch of the list, and its pending reports."""

    def __init__(self, number: int, zone: str) -> None:
        self.number, self.zone = number, zone
        self.process: FleetController | None = None
        self.last_list: EndpointList | None = None  # the list with which its next process starts
        self.list_index = 0  # of the last list that it has received
        self.states: dict[str, str] = {}  # by server, as last received
        self.not_ready_since_ns: dict[str, int] = {}  # by server that drains or is gone: since when
        self.is_watching = False
        self.batch_scheduled = False
        self.channel_free_ns = 0  # when the channel has sent all queued messages
        self.channel_queue: deque[tuple[int, float]] = deque()  # by message: when it is sent, its lines
        # By zone and server: attempts, failures, latency, start of the period.
        self.attempts: dict[tuple[str, str], list[float]] = {}
        self.demand: dict[int, list[float]] = {}  # by proxy: calls by route, then the start of the period
        self.reported_ns = 0


class SimulatedFleet:
    """A fleet of controllers, proxies and servers, which are assigned to the zones in turn.

    `violations` holds each broken rule by its name, with the time in seconds since the start.

    :param load: the calls of all proxies, as a fraction of the servers' capacity
    :param rate_factor: multiplies the rate of the channel to the proxies
    :param report_rate: the reports per second that a controller accepts
    :param list_call_rate: the calls per second that discovery accepts; more calls fail
    """

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
        rate_factor: float = 1.0,
        report_rate: int = 100,
        list_call_rate: int = 10,
    ) -> None:
        self.settings, self.zones, self.routes, self.seed = settings, zones, routes, seed
        self.rate_factor, self.report_rate, self.list_call_rate = (
            rate_factor,
            report_rate,
            list_call_rate,
        )
        self.now, self.sequence = START_NS, 0
        self.timers: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []
        self.servers = {
            s.name: s
            for s in (Server(f"s-{k}", zones[k % len(zones)], 20.0, settings) for k in range(servers))
        }
        self.list_index = 1
        self.changed_index = {name: 1 for name in self.servers}  # the list version of a server's last change
        self.list_call_times: deque[int] = deque()  # of the last second
        # Whether a controller can't reach discovery.
        self.is_cut_off: Callable[[SimulatedController], bool] = lambda controller: False
        self.violations: list[tuple[str, float]] = []
        self.counts: defaultdict[str, float] = defaultdict(float)
        capacity = sum(s.full_rate for s in self.servers.values())
        weights = [0.3 + 1.7 * self.random() for _ in range(settings.proxy_count)]
        self.proxies = [
            Proxy(
                p,
                zones[p % len(zones)],
                load * capacity * w / sum(weights),
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
            / rate_factor
        )
        # Long enough to send the urgent changes even with all proxies at one controller.
        self.grace_ns = int((1.5 + cost) * SECOND) + settings.max_delay_ns
        for controller in self.controllers:
            controller.last_list = self.full_list()
            self.start_controller(controller)
        for proxy in self.proxies:
            self.connect(proxy)
        self.schedule(STEP_NS, self.step)

    # -- time and random numbers

    def random(self) -> float:
        """Return the next pseudorandom number, from 0 to below 1."""
        self.sequence += 1
        return zlib.crc32(f"{self.seed}:{self.sequence}".encode()) / 2**32

    def schedule(self, wait_ns: int, callback: Callable[..., Any], *arguments: Any) -> None:
        """Schedule a callback after a delay."""
        self.sequence += 1
        heapq.heappush(self.timers, (self.now + max(0, wait_ns), self.sequence, callback, arguments))

    def run(self, seconds: float) -> None:
        """Run the events of a period of simulated time."""
        end = self.now + int(seconds * SECOND)
        while self.timers and self.timers[0][0] <= end:
            self.now, _, callback, arguments = heapq.heappop(self.timers)
            callback(*arguments)
        self.now = end

    def record_violation(self, rule: str) -> None:
        self.violations.append((rule, (self.now - START_NS) / SECOND))

    def servers_in(self, zone: str) -> list[Server]:
        return [s for s in self.servers.values() if s.zone == zone]

    # -- controllers

    def start_controller(self, controller: SimulatedController) -> None:
        """Start a new process, which has the list of the last process and no other state."""
        commands: Mailbox[DiscoveryCommand] = Mailbox(1)
        events: Mailbox[ControllerEvent] = Mailbox(16384)
        config = FleetConfig(
            name=f"n{controller.number}",
            host="",
            port=0,
            discovery_address="",
            descriptor_limit=1024,
            seed=self.seed * 100 + controller.number,
            known_endpoints=controller.last_list,
            settings=self.settings,
            zone_indices={z: k for k, z in enumerate(self.zones)},
            route_indices={r: k for k, r in enumerate(self.routes)},
            batch_interval_ns=BATCH_NS,
        )

        def call_at(when: float, callback: Callable[..., Any], *arguments: Any) -> None:
            self.schedule(
                round(when * SECOND) - self.now, self.run_timer, controller, events, callback, arguments
            )

        process = FleetController(config, events, commands, call_at, SimulatedClock(self))
        controller.process, controller.channel_free_ns = process, self.now
        controller.channel_queue.clear()
        controller.attempts, controller.demand, controller.is_watching, controller.list_index = (
            {},
            {},
            False,
            0,
        )
        assert controller.last_list
        controller.states = {e.name: e.state for e in controller.last_list.entries}
        controller.not_ready_since_ns = {
            name: self.now for name, state in controller.states.items() if state != "ready"
        }
        self.take_list_calls(controller)

    def run_timer(
        self,
        controller: SimulatedController,
        events: Mailbox[ControllerEvent],
        callback: Callable[..., Any],
        arguments: tuple[Any, ...],
    ) -> None:
        """Call a timer's callback, unless the process that set the timer has ended."""
        if controller.process and controller.process.events is events:
            callback(*arguments)
            self.schedule_batch(controller)

    def stop_controller(self, controller: SimulatedController) -> None:
        """End its process and schedule the next one; its proxies reconnect elsewhere."""
        controller.process, controller.is_watching = None, False
        for proxy in self.proxies:
            if proxy.controller_number == controller.number:
                proxy.controller_number, proxy.stream = -1, None
                self.schedule(int(RECONNECT_NS * (0.5 + self.random())), self.connect, proxy)
        self.schedule(RESTART_NS, self.start_controller, controller)

    def schedule_batch(self, controller: SimulatedController) -> None:
        if not controller.batch_scheduled:
            controller.batch_scheduled = True
            self.schedule(BATCH_NS, self.run_batch, controller)

    def put(self, controller: SimulatedController, item: ControllerEvent, report: bool = False) -> None:
        if controller.process:
            controller.process.events.put(item, report)
            self.schedule_batch(controller)

    def run_batch(self, controller: SimulatedController) -> None:
        """Process a controller's events and send the updates, those of the busiest proxies first."""
        controller.batch_scheduled = False
        if not controller.process:
            return
        controller.process.process_batch()
        self.take_list_calls(controller)
        updates = [
            (p, item)
            for p in self.proxies
            if p.controller_number == controller.number and p.stream
            for item in p.stream.drain()
            if isinstance(item, UpdateMessage)
        ]
        call_rate = controller.process.policy.call_rate
        for proxy, message in sorted(
            updates, key=lambda update: (-call_rate(update[0].number), update[0].number)
        ):
            self.send(controller, proxy, message)

    # -- the channel

    def send(self, controller: SimulatedController, proxy: Proxy, message: UpdateMessage) -> None:
        """Queue a message in the channel and schedule its delivery; check the channel's limits."""
        lines = self.settings.message_overhead + self.count_lines(message.data)
        transmission_ns = int(lines / self.settings.channel_rate / self.rate_factor * SECOND)
        controller.channel_free_ns = max(controller.channel_free_ns, self.now) + transmission_ns
        controller.channel_queue.append((controller.channel_free_ns, lines))
        while controller.channel_queue[0][0] <= self.now:
            controller.channel_queue.popleft()
        if sum(lines for _, lines in controller.channel_queue) > self.settings.queue_limit:
            self.record_violation("queue")
        since = self.now - self.settings.message_window_ns
        proxy.message_times = [t for t in proxy.message_times if t > since] + [self.now]
        if self.settings.message_limit and len(proxy.message_times) > self.settings.message_limit:
            self.record_violation("messages")
        self.counts["messages"] += 1
        self.counts["lines"] += lines
        wait_ns = controller.channel_free_ns - self.now + self.settings.max_delay_ns // 2
        self.schedule(wait_ns, self.deliver, controller, proxy, proxy.stream, message.data)

    def count_lines(self, text: bytes) -> int:
        """Return the lines of a message, which determine its time in the channel."""
        return text.count(b"full=1") + text.count(b":") + text.count(b"admit=") + text.count(b"nonce_out=")

    def deliver(
        self, controller: SimulatedController, proxy: Proxy, stream: Mailbox[ConnectionItem], text: bytes
    ) -> None:
        """Apply a message at its proxy, unless its stream or its controller has ended."""
        if proxy.stream is not stream or not controller.process:
            return
        nonce = proxy.apply(text)
        if nonce is not None:
            self.put(controller, UpdateApplied(proxy.number, nonce))

    # -- proxies

    def connect(self, proxy: Proxy) -> None:
        """Connect to a random running controller, in the proxy's zone if there is one."""
        running = [c for c in self.controllers if c.process]
        candidates = [c for c in running if c.zone == proxy.zone] or running
        if proxy.stream or not candidates:
            return None if proxy.stream else self.schedule(RECONNECT_NS, self.connect, proxy)
        controller = candidates[int(self.random() * len(candidates))]
        proxy.controller_number, proxy.stream, proxy.joined_ns, proxy.message_times = (
            controller.number,
            Mailbox(4096),
            self.now,
            [],
        )
        proxy.without_backend_ns = 0
        self.put(
            controller, ProxyJoined(ProxyHello(proxy.number, proxy.zone, proxy.rate, True), proxy.stream)
        )

    def restart_proxy(self, proxy: Proxy, reconnect_ns: int) -> None:
        """Restart a proxy, which loses its state and reconnects with its initial table."""
        if proxy.stream:
            self.put(self.controllers[proxy.controller_number], ProxyLeft(proxy.number, proxy.stream))
        proxy.controller_number, proxy.stream = -1, None
        proxy.start()
        self.schedule(reconnect_ns, self.connect, proxy)

    # -- discovery

    def endpoint_of(self, server: Server) -> Endpoint:
        return Endpoint(
            server.name, server.zone, ENDPOINT_STATE_BY_STATUS[server.state], server.since_ns, server.weight
        )

    def full_list(self) -> EndpointList:
        """Return a snapshot of discovery's list."""
        endpoints = tuple(self.endpoint_of(s) for s in self.servers.values() if s.state != "terminated")
        return EndpointList(self.list_index, True, endpoints)

    def take_list_calls(self, controller: SimulatedController) -> None:
        """Schedule the responses to a controller's calls to discovery."""
        assert controller.process
        for item in controller.process.discovery_commands.drain():
            if isinstance(item, WatchEndpoints):
                self.counts["list calls"] += 1
                self.list_call_times.append(self.now)
                while self.list_call_times[0] <= self.now - SECOND:
                    self.list_call_times.popleft()
                is_accepted = (
                    not self.is_cut_off(controller) and len(self.list_call_times) <= self.list_call_rate
                )
                self.schedule(
                    LIST_CALL_NS,
                    self.answer_list_call if is_accepted else self.fail_list_call,
                    controller,
                    controller.process,
                )

    def fail_list_call(self, controller: SimulatedController, process: FleetController) -> None:
        if controller.process is process:
            controller.is_watching = False
            self.put(controller, DiscoveryFailed("no answer"))

    def answer_list_call(self, controller: SimulatedController, process: FleetController) -> None:
        """Send the changes that the process lacks, or a snapshot; from then on it watches the list."""
        if controller.process is not process:
            return
        if self.is_cut_off(controller):
            return self.fail_list_call(controller, process)
        controller.is_watching = True
        if controller.list_index == self.list_index:
            return
        needs_snapshot = self.list_index - controller.list_index > MAX_CHANGES
        listing = (
            self.full_list()
            if needs_snapshot or not controller.list_index
            else EndpointList(
                self.list_index,
                False,
                tuple(
                    self.endpoint_of(s)
                    for s in self.servers.values()
                    if self.changed_index[s.name] > controller.list_index
                ),
            )
        )
        gone = (
            {n for n, s in self.servers.items() if s.state == "terminated"} if listing.is_snapshot else set()
        )
        for name, state in [(e.name, e.state) for e in listing.entries] + [(n, "gone") for n in gone]:
            controller.states[name] = state
            if state == "ready":
                controller.not_ready_since_ns.pop(name, None)
            else:
                controller.not_ready_since_ns.setdefault(name, self.now)
        controller.list_index, controller.last_list = self.list_index, self.full_list()
        self.put(controller, listing)

    def publish_list(self, *servers: Server) -> None:
        """Publish a new version of the list: watches receive it, or fail where discovery can't be reached."""
        self.list_index += 1
        for server in servers:
            self.changed_index[server.name] = self.list_index
        for controller in self.controllers:
            if controller.process and controller.is_watching:
                self.schedule(
                    LIST_CALL_NS,
                    self.fail_list_call if self.is_cut_off(controller) else self.answer_list_call,
                    controller,
                    controller.process,
                )

    def drain(self, server: Server, remove_ns: int) -> None:
        """Drain a server, and remove it after a time."""
        server.state = "terminating"
        self.publish_list(server)
        self.schedule(remove_ns, self.remove_server, server)

    def remove_server(self, server: Server) -> None:
        server.state, server.is_up = "terminated", False
        self.publish_list(server)

    def add_server(self, zone: str) -> Server:
        """Add a cold server."""
        server = Server(f"s-{len(self.servers)}", zone, 20.0, self.settings, since_ns=self.now)
        self.servers[server.name] = server
        self.changed_index[server.name] = 0
        self.publish_list(server)
        return server

    def replace(self, server: Server, drain_ns: int, successor_ns: int) -> None:
        """Drain a server, and add one in its zone after a time."""
        self.drain(server, drain_ns)
        self.schedule(successor_ns, self.add_server, server.zone)

    # -- calls and reports

    def step(self) -> None:
        """Distribute the calls of one step over the servers, record their outcomes and check the rules."""
        self.schedule(STEP_NS, self.step)
        calls_by_server: defaultdict[str, float] = defaultdict(float)
        plans = []
        for proxy in self.proxies:
            proxy_calls = proxy.rate * STEP_NS / SECOND + proxy.repeated_calls
            proxy.repeated_calls = 0.0
            for k in range(len(self.routes)):
                total = sum(proxy.tables[k].values())
                calls = proxy_calls / len(self.routes)
                self.counts["calls"] += calls
                if proxy.controller_number >= 0:
                    demand = self.controllers[proxy.controller_number].demand.setdefault(
                        proxy.number, [0.0] * len(self.routes) + [self.now]
                    )
                    demand[k] += calls
                for name, weight in proxy.tables[k].items():
                    part = calls * min(1.0, proxy.admissions[k][0]) * weight / total
                    plans.append((proxy, name, part))
                    calls_by_server[name] += part
        outcomes = {
            name: server.handle(self.now, calls_by_server[name], STEP_NS)
            for name, server in self.servers.items()
        }
        for proxy, name, part in plans:
            failed, latency = outcomes[name]
            self.counts["answered"] += part * (1 - failed)
            proxy.repeated_calls += 0.5 * part * failed
            if proxy.controller_number >= 0:
                sums = self.controllers[proxy.controller_number].attempts.setdefault(
                    (proxy.zone, name), [0.0, 0.0, 0.0, self.now]
                )
                sums[0], sums[1], sums[2] = sums[0] + part, sums[1] + part * failed, latency
        for controller in self.controllers:
            if controller.process and self.now - controller.reported_ns >= self.settings.report_interval_ns:
                self.send_reports(controller)
        self.check_rules()

    def send_reports(self, controller: SimulatedController) -> None:
        """Send as many reports as a controller accepts, the oldest first; the others accumulate."""
        controller.reported_ns, limit = (
            self.now,
            int(self.report_rate * self.settings.report_interval_ns / SECOND),
        )
        for key in sorted(controller.attempts, key=lambda k: (controller.attempts[k][3], k))[: limit // 2]:
            tries, failed, latency, since = controller.attempts[key]
            if tries >= 1:
                attempts = int(tries)
                load = {"queue": self.servers[key[1]].queued}
                del controller.attempts[key]
                item = BackendReport(
                    *key,
                    attempts,
                    min(attempts, round(failed)),
                    int(latency),
                    max(self.settings.report_interval_ns, int(self.now - since)),
                    load,
                )
                self.schedule(REPORT_DELAY_NS, self.put, controller, item, True)
        for proxy in sorted(controller.demand, key=lambda p: (controller.demand[p][-1], p))[: limit // 2]:
            *calls, since = controller.demand.pop(proxy)
            period_ns = max(self.settings.report_interval_ns, int(self.now - since))
            for name, count in zip(self.routes, calls, strict=True):
                self.schedule(
                    REPORT_DELAY_NS,
                    self.put,
                    controller,
                    DemandReport(proxy, name, round(count), 0, period_ns),
                    True,
                )

    # -- safety rules

    def check_rules(self) -> None:
        """Compare the proxies' tables with the lists that their controllers have received."""
        for proxy in self.proxies:
            if proxy.controller_number < 0:
                continue
            controller = self.controllers[proxy.controller_number]
            has_warm_server = any(
                state == "ready" and not self.servers[name].is_warming(self.now)
                for name, state in controller.states.items()
            )
            if has_warm_server and not all(proxy.tables):
                proxy.without_backend_ns = proxy.without_backend_ns or self.now
                if self.now - proxy.without_backend_ns > self.grace_ns:
                    self.record_violation("bare")
            else:
                proxy.without_backend_ns = 0
            for table in proxy.tables:
                for name in table:
                    since = max(controller.not_ready_since_ns.get(name, self.now), proxy.joined_ns)
                    if self.now - since > self.grace_ns:
                        self.record_violation("drain")
            if any(policy > 1 for _, policy in proxy.admissions):
                self.record_violation("twice")
        for server in self.servers.values():
            if server.worst_overload > self.settings.overload_factor * OVERLOAD_TOLERANCE:
                self.record_violation("cold")
                server.worst_overload = 0.0

    def up_to_date_controllers(self) -> list[int]:
        """Return the numbers of the running controllers that have the current list."""
        return [
            controller.number
            for controller in self.controllers
            if controller.process and controller.list_index == self.list_index
        ]
