"""The controller's main actor, which is the policy's host.

It handles all pending events as one batch with one clock reading, calls the policy for each event, and sends
each affected proxy one message.
"""

from __future__ import annotations

import asyncio
import os
import resource
import time
from collections.abc import Callable

from loguru import logger

from meadowworks.fleet import invariants
from meadowworks.fleet.config import FleetConfig
from meadowworks.fleet.invariants import check_invariant, count
from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import (
    BackendReport,
    ConnectionItem,
    ControllerEvent,
    DemandReport,
    DiscoveryCommand,
    DiscoveryFailed,
    EndpointList,
    ProxyHello,
    ProxyJoined,
    ProxyLeft,
    TimerDue,
    UpdateApplied,
    WatchEndpoints,
)
from meadowworks.fleet.names import NameIndex
from meadowworks.fleet.streams import ProxyStreams
from meadowworks.fleet.table_updates import TableUpdates
from meadowworks.policy import Controller
from meadowworks.policy.interface import AttemptReport, EndpointEntry

SECOND_NS = 1_000_000_000
KIB_PER_MIB = 1024
EVENT_LOOP_TURNS = 4  # from a socket to this mailbox: pending input joins the batch
SUMMARY_INTERVAL_NS = 10 * SECOND_NS  # between two log lines of the counters


class Clock:
    """Unix time that never decreases: the time at the start plus the monotonic clock."""

    def __init__(self) -> None:
        self.offset_ns = time.time_ns() - time.monotonic_ns()

    def now_ns(self) -> int:
        """Return the time in nanoseconds since the epoch."""
        return time.monotonic_ns() + self.offset_ns


class FleetController:
    """Passes events to the policy and sends its updates to the proxies.

    :param call_at: the event loop's: takes a time in seconds of the monotonic clock, a callback and its
        arguments. The simulation passes its own.
    :param clock: the real clock if None.
    """

    def __init__(
        self,
        config: FleetConfig,
        events: Mailbox[ControllerEvent],
        discovery_commands: Mailbox[DiscoveryCommand],
        call_at: Callable[..., object],
        clock: Clock | None = None,
    ) -> None:
        self.events, self.discovery_commands = events, discovery_commands
        self.zone_indices, self.route_indices = config.zone_indices, config.route_indices
        self.batch_interval_ns = config.batch_interval_ns
        self.clock, self.call_at = clock or Clock(), call_at
        self.backends = NameIndex()
        self.released_backends: list[int] = []  # released after this batch's messages
        self.table_updates = TableUpdates(list(config.route_indices), self.backends.name_by_index)
        self.streams = ProxyStreams(self.table_updates)
        self.now_ns = self.timer_due_ns = self.clock.now_ns()
        self.last_summary_ns = self.now_ns
        self.policy = Controller(self, config.settings, config.seed, self.now_ns)
        if config.known_endpoints:
            self.on_endpoints("disk", config.known_endpoints)

    # -- the policy's host

    def log(self, line: str) -> None:
        """Log a decision. Zones have their index of the settings, backends the index that was logged."""
        logger.info("policy: {}", line)

    def watch_list(self, on: bool) -> None:
        """Start or stop watching the endpoint list."""
        self.discovery_commands.put(WatchEndpoints(on))

    def check_health(self, backend: int) -> None:
        """Fail: never called, since `load_config` rejects settings with health checks."""
        check_invariant(False, "no health check is requested")

    def release_backend(self, backend: int) -> None:
        """Release a backend's index once this batch is sent."""
        self.released_backends.append(backend)

    def request_ack(self, nonce: int) -> None:
        """Set the nonce of this batch's messages."""
        self.table_updates.nonce = nonce

    def set_timer(self, wait_ns: int) -> None:
        """Set the timer, relative to its last due time to avoid drift; after a stall, relative to now."""
        on_time = self.now_ns - self.timer_due_ns < wait_ns
        self.timer_due_ns = (self.timer_due_ns if on_time else self.now_ns) + wait_ns
        self.call_at((self.timer_due_ns - self.clock.offset_ns) / SECOND_NS, self.events.put, TimerDue())

    def set_weight(self, table: int, backend: int, weight: float) -> None:
        """Set a backend's weight in a table; 0 removes the backend."""
        self.table_updates.set_weight(table, backend, weight)

    def assign_table(self, routes: int, proxy: int, table: int) -> None:
        """Assign a table to a proxy for the routes of a bit mask."""
        self.table_updates.assign_table(routes, proxy, table)

    def set_admission(self, table: int, routes: int, limit: float, retry_policy: int) -> None:
        """Set the admission limit and the retry policy of a table's routes."""
        self.table_updates.set_admission(table, routes, limit, retry_policy)

    # -- events

    async def run(self) -> None:
        """Process batches without end."""
        while True:
            await self.events.wait()
            await asyncio.sleep(
                max(0, self.now_ns + self.batch_interval_ns - self.clock.now_ns()) / SECOND_NS
            )
            for _ in range(EVENT_LOOP_TURNS):
                await asyncio.sleep(0)
            self.process_batch()

    def process_batch(self) -> None:
        """Handle all pending events, and send the resulting updates."""
        now_ns = self.clock.now_ns()
        check_invariant(now_ns >= self.now_ns, "the clock does not decrease")
        # Strictly increasing, since the policy identifies a batch by its time.
        self.now_ns = max(now_ns, self.now_ns + 1)
        for event in self.events.drain():
            self.run_guarded(self.handle_event, event)
        self.run_guarded(self.send_updates)
        while self.released_backends:
            self.backends.release(self.released_backends.pop())
        if self.now_ns - self.last_summary_ns >= SUMMARY_INTERVAL_NS:
            self.log_summary()

    def run_guarded(self, action: Callable[..., None], *event: ControllerEvent) -> None:
        """Run an action; an exception ends a debug build, while a release build logs it and continues."""
        try:
            action(*event)
        except Exception:
            if __debug__:
                raise
            if count("faults in an event"):
                logger.exception("fault while handling {}", event[0] if event else "table updates")

    def handle_event(self, event: ControllerEvent) -> None:
        """Pass one event to the policy."""
        match event:
            case BackendReport():
                self.on_backend_report(event)
            case DemandReport(proxy, route, calls, _, period_ns):
                if route in self.route_indices and proxy in self.streams.by_proxy:
                    self.policy.on_demand_report(
                        self.now_ns, proxy, self.route_indices[route], calls, period_ns
                    )
                else:
                    count("reports passed over: unknown route or proxy")
            case UpdateApplied(proxy, nonce):
                if self.streams.on_applied(proxy, nonce):
                    self.policy.on_ack(self.now_ns, nonce)
                else:
                    count("acknowledgements passed over: nonce not sent on this stream")
            case ProxyJoined(hello, stream):
                self.on_proxy_joined(hello, stream)
            case ProxyLeft(proxy, stream):
                if self.streams.on_left(proxy, stream):
                    self.policy.on_proxy_left(self.now_ns, proxy)
            case EndpointList():
                self.on_endpoints("whole" if event.is_snapshot else "changes", event)
            case DiscoveryFailed():
                self.policy.on_endpoints(self.now_ns, "error", [])
            case TimerDue():
                self.policy.tick(self.now_ns)

    def on_backend_report(self, report: BackendReport) -> None:
        """Pass a backend report to the policy, if its zone and backend are known."""
        if report.zone not in self.zone_indices or report.backend not in self.backends.index_by_name:
            count("reports passed over: unknown zone or backend")
            return
        zone, backend = self.zone_indices[report.zone], self.backends.index_by_name[report.backend]
        attempts, failures = report.attempts, report.failures
        stats = AttemptReport(attempts, failures, report.latency_ns, report.period_ns, report.load)
        self.policy.on_backend_report(self.now_ns, zone, backend, stats)

    def on_proxy_joined(self, hello: ProxyHello, stream: Mailbox[ConnectionItem]) -> None:
        """Handle a proxy that has joined; if it had an older stream, it first leaves."""
        if self.streams.on_joined(hello.proxy, stream):
            self.policy.on_proxy_left(self.now_ns, hello.proxy)
        logger.info("proxy {} of {}: joined", hello.proxy, hello.zone)
        self.policy.on_proxy_joined(self.now_ns, hello.proxy, self.zone_indices[hello.zone], hello.usual_rate)

    def on_endpoints(self, kind: str, listing: EndpointList) -> None:
        """Pass a change or the whole of the endpoint list to the policy.

        :param kind: as in `Controller.on_endpoints`.
        """
        entries = []
        for endpoint in listing.entries:
            if endpoint.zone not in self.zone_indices:
                count("endpoints passed over: unknown zone")
                continue
            is_new = endpoint.name not in self.backends.index_by_name
            index = self.backends.index(endpoint.name)
            if is_new:
                logger.info("backend {} is {} of {}", index, endpoint.name, endpoint.zone)
            entries.append(
                EndpointEntry(
                    index,
                    self.zone_indices[endpoint.zone],
                    endpoint.state,
                    endpoint.since_ns,
                    endpoint.weight,
                )
            )
        if kind == "changes" and not entries:
            return  # a long poll without changes
        self.policy.on_endpoints(self.now_ns, kind, entries)

    def send_updates(self) -> None:
        """Send the changes of this batch."""
        for proxies, lines in self.streams.send_updates(self.policy.call_rate):
            count("messages sent", proxies)
            count("lines sent", proxies * lines)

    def log_summary(self) -> None:
        """Log all counters and the resource use of the process."""
        self.last_summary_ns = self.now_ns
        memory_mib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // KIB_PER_MIB
        try:
            descriptors = str(len(os.listdir("/proc/self/fd")))
        except OSError:  # no descriptor is left to open the directory
            descriptors = "all"
        logger.info(
            "counters: {}; {} proxies, {} descriptors, {} MB at most",
            invariants.format_counters(),
            len(self.streams.by_proxy),
            descriptors,
            memory_mib,
        )
