"""The controller's main actor, and the policy's host.

It gathers what has come into one batch under one reading of the clock, calls the policy for each event, and
sends each proxy concerned one message.
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
EVENT_LOOP_TURNS = 4  # from a socket to this mailbox: what has come in by then joins the batch
SUMMARY_INTERVAL_NS = 10 * SECOND_NS  # between the log's lines of counters


class Clock:
    """Unix time at the start, moved on by the monotonic clock: comparable with starts, never going back."""

    def __init__(self) -> None:
        self.offset_ns = time.time_ns() - time.monotonic_ns()

    def now_ns(self) -> int:
        """Nanoseconds since the epoch."""
        return time.monotonic_ns() + self.offset_ns


class FleetController:
    """Events in, messages to the proxies out.

    :param call_at: the loop's: a time in seconds of the monotonic clock, what to call and with what. The
        simulation hands in its own, and its own clock.
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
        self.released_backends: list[int] = []  # freed after this batch's messages
        self.table_updates = TableUpdates(list(config.route_indices), self.backends.name_by_index)
        self.streams = ProxyStreams(self.table_updates)
        self.now_ns = self.timer_due_ns = self.clock.now_ns()
        self.last_summary_ns = self.now_ns
        self.policy = Controller(self, config.settings, config.seed, self.now_ns)
        if config.known_endpoints:
            self.on_endpoints("disk", config.known_endpoints)

    # -- the policy's host

    def log(self, line: str) -> None:
        """Logs a decision. Zones are numbered as the settings list them, backends as logged first."""
        logger.info("policy: {}", line)

    def watch_list(self, on: bool) -> None:
        """Follows the endpoint list, or ceases to."""
        self.discovery_commands.put(WatchEndpoints(on))

    def check_health(self, backend: int) -> None:
        """Never asked for: `load_config` refuses settings with health checks."""
        check_invariant(False, "no probe is asked for where none is allowed")

    def release_backend(self, backend: int) -> None:
        """Frees a backend's index once this batch is sent."""
        self.released_backends.append(backend)

    def request_ack(self, nonce: int) -> None:
        """Gives the messages of this batch a nonce."""
        self.table_updates.nonce = nonce

    def set_timer(self, wait_ns: int) -> None:
        """Counts from when the timer was due, so that it does not drift; after a stall, from now."""
        on_time = self.now_ns - self.timer_due_ns < wait_ns
        self.timer_due_ns = (self.timer_due_ns if on_time else self.now_ns) + wait_ns
        self.call_at((self.timer_due_ns - self.clock.offset_ns) / SECOND_NS, self.events.put, TimerDue())

    def set_weight(self, table: int, backend: int, weight: float) -> None:
        """Sets a backend's weight in a table; 0 takes it out."""
        self.table_updates.set_weight(table, backend, weight)

    def assign_table(self, routes: int, proxy: int, table: int) -> None:
        """Makes a proxy use a table for the routes of a bit mask."""
        self.table_updates.assign_table(routes, proxy, table)

    def set_admission(self, table: int, routes: int, limit: float, retry_policy: int) -> None:
        """Sets the admission limit and the retry policy of a table's routes."""
        self.table_updates.set_admission(table, routes, limit, retry_policy)

    # -- events

    async def run(self) -> None:
        """Handles batch after batch, without end."""
        while True:
            await self.events.wait()
            await asyncio.sleep(
                max(0, self.now_ns + self.batch_interval_ns - self.clock.now_ns()) / SECOND_NS
            )
            for _ in range(EVENT_LOOP_TURNS):
                await asyncio.sleep(0)
            self.process_batch()

    def process_batch(self) -> None:
        """Handles all events that have come, and sends what they lead to."""
        now_ns = self.clock.now_ns()
        check_invariant(now_ns >= self.now_ns, "the clock does not go back")
        self.now_ns = max(now_ns, self.now_ns + 1)  # the policy tells batches apart by it
        for event in self.events.drain():
            self.run_guarded(self.handle_event, event)
        self.run_guarded(self.send_updates)
        while self.released_backends:
            self.backends.release(self.released_backends.pop())
        if self.now_ns - self.last_summary_ns >= SUMMARY_INTERVAL_NS:
            self.log_summary()

    def run_guarded(self, action: Callable[..., None], *event: ControllerEvent) -> None:
        """A fault in one event ends a debug build; a release logs it, counts it and serves on."""
        try:
            action(*event)
        except Exception:
            if __debug__:
                raise
            if count("faults in an event"):
                logger.exception("fault while handling {}", event[0] if event else "table updates")

    def handle_event(self, event: ControllerEvent) -> None:
        """Hands one event to the policy."""
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
        """Hands on what a zone's proxies met, if zone and backend are known."""
        if report.zone not in self.zone_indices or report.backend not in self.backends.index_by_name:
            count("reports passed over: unknown zone or backend")
            return
        zone, backend = self.zone_indices[report.zone], self.backends.index_by_name[report.backend]
        attempts, failures = report.attempts, report.failures
        stats = AttemptReport(attempts, failures, report.latency_ns, report.period_ns, report.load)
        self.policy.on_backend_report(self.now_ns, zone, backend, stats)

    def on_proxy_joined(self, hello: ProxyHello, stream: Mailbox[ConnectionItem]) -> None:
        """Takes in a proxy; if it had an older stream, it has left by that first."""
        if self.streams.on_joined(hello.proxy, stream):
            self.policy.on_proxy_left(self.now_ns, hello.proxy)
        logger.info("proxy {} of {}: joined", hello.proxy, hello.zone)
        self.policy.on_proxy_joined(self.now_ns, hello.proxy, self.zone_indices[hello.zone], hello.usual_rate)

    def on_endpoints(self, kind: str, listing: EndpointList) -> None:
        """Hands on a part of the endpoint list, or all of it; `kind` as `Controller.on_endpoints` has it."""
        entries = []
        for e in listing.entries:
            if e.zone not in self.zone_indices:
                count("endpoints passed over: unknown zone")
                continue
            is_new = e.name not in self.backends.index_by_name
            index = self.backends.index(e.name)
            if is_new:
                logger.info("backend {} is {} of {}", index, e.name, e.zone)
            entries.append(EndpointEntry(index, self.zone_indices[e.zone], e.state, e.since_ns, e.weight))
        if kind == "changes" and not entries:
            return  # a watch that timed out: nothing happened
        self.policy.on_endpoints(self.now_ns, kind, entries)

    def send_updates(self) -> None:
        """Sends what this batch has changed."""
        for proxies, lines in self.streams.send_updates(self.policy.call_rate):
            count("messages sent", proxies)
            count("lines sent", proxies * lines)

    def log_summary(self) -> None:
        """Logs all counters, and what the process holds."""
        self.last_summary_ns = self.now_ns
        memory_mib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // KIB_PER_MIB
        try:
            descriptors = str(len(os.listdir("/proc/self/fd")))
        except OSError:  # not one left to look with
            descriptors = "all"
        logger.info(
            "counters: {}; {} proxies, {} descriptors, {} MB at most",
            invariants.format_counters(),
            len(self.streams.by_proxy),
            descriptors,
            memory_mib,
        )
