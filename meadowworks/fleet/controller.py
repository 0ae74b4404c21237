"""The module's actor: gathers what has come into one batch under one clock reading, calls the module for
each thing that happened, and sends each proxy concerned one message. It is the module's host."""

from __future__ import annotations

import asyncio
import os
import resource
import time
from collections.abc import Callable

from loguru import logger

from meadowworks.fleet import invariants
from meadowworks.fleet.config import Config
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
from meadowworks.policy.interface import EndpointEntry

SECOND_NS = 1_000_000_000
EVENT_LOOP_TURNS = 4  # turns of the loop from a socket to this mailbox: what has come in joins the batch
SUMMARY_INTERVAL_NS = 10 * SECOND_NS  # between the log's lines of counters


class Clock:
    """Unix time at the start, moved on by the monotonic clock: comparable with starts, never going back."""

    def __init__(self) -> None:
        self.offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return time.monotonic_ns() + self.offset


class FleetController:
    """`call_at` is the loop's: a time in seconds of the monotonic clock, what to call and with what. The
    laboratory hands in its own, and its own clock."""

    def __init__(
        self,
        config: Config,
        mailbox: Mailbox[ControllerEvent],
        lists: Mailbox[DiscoveryCommand],
        call_at: Callable[..., object],
        clock: Clock | None = None,
    ) -> None:
        self.events, self.discovery_commands = mailbox, lists
        self.zone_indices, self.route_indices = config.zone_indices, config.route_indices
        self.batch_interval_ns = config.batch_interval_ns
        self.clock, self.call_at = clock or Clock(), call_at
        self.backends = NameIndex()
        self.released_backends: list[
            int
        ] = []  # freed once this batch's messages, which may name them, are made
        self.table_updates = TableUpdates(list(config.route_indices), self.backends.name_by_index)
        self.streams = ProxyStreams(self.table_updates)
        self.now = self.timer_due_ns = self.clock.now()
        self.last_summary_ns = self.now
        self.policy = Controller(self, config.settings, config.seed, self.now)
        if config.known:
            self.on_endpoints("disk", config.known)

    # -- the module's host

    def log(self, line: str) -> None:
        logger.info("module: {}", line)

    def watch_list(self, on: bool) -> None:
        self.discovery_commands.put(WatchEndpoints(on))

    def check_health(self, backend: int) -> None:
        check_invariant(False, "no probe is asked for where none is allowed")

    def release_backend(self, backend: int) -> None:
        self.released_backends.append(backend)

    def request_ack(self, number: int) -> None:
        self.table_updates.nonce = number

    def set_timer(self, wait_ns: int) -> None:
        """From when the timer was due, so that it does not drift; after a stall, from now."""
        self.timer_due_ns = (
            self.timer_due_ns if self.now - self.timer_due_ns < wait_ns else self.now
        ) + wait_ns
        self.call_at((self.timer_due_ns - self.clock.offset) / SECOND_NS, self.events.put, TimerDue())

    def set_weight(self, table: int, backend: int, weight: float) -> None:
        self.table_updates.set_weight(table, backend, weight)

    def assign_table(self, routes: int, proxy: int, table: int) -> None:
        self.table_updates.assign_table(routes, proxy, table)

    def set_admission(self, table: int, routes: int, level: float, retry: int) -> None:
        self.table_updates.set_admission(table, routes, level, retry)

    # -- what happens

    async def run(self) -> None:
        while True:
            await self.events.wait()
            await asyncio.sleep(max(0, self.now + self.batch_interval_ns - self.clock.now()) / SECOND_NS)
            for _ in range(EVENT_LOOP_TURNS):
                await asyncio.sleep(0)
            self.process_batch()

    def process_batch(self) -> None:
        now = self.clock.now()
        check_invariant(now >= self.now, "the clock does not go back")
        self.now = max(now, self.now + 1)  # the module tells batches apart by it
        for item in self.events.drain():
            self.run_guarded(self.handle_event, item)
        self.run_guarded(self.send_updates)
        while self.released_backends:
            self.backends.release(self.released_backends.pop())
        if self.now - self.last_summary_ns >= SUMMARY_INTERVAL_NS:
            self.log_summary()

    def run_guarded(self, act: Callable[..., None], *what: ControllerEvent) -> None:
        """A fault in one event ends a debug build; a release logs it, counts it and serves on."""
        try:
            act(*what)
        except Exception:
            if __debug__:
                raise
            if count("faults in an event"):
                logger.exception("fault while handling {}", what[0] if what else "orders")

    def handle_event(self, item: ControllerEvent) -> None:
        match item:
            case BackendReport(zone, backend, tries, bad, latency, covers, load):
                if zone in self.zone_indices and backend in self.backends.index_by_name:
                    self.policy.on_backend_report(
                        self.now,
                        self.zone_indices[zone],
                        self.backends.index_by_name[backend],
                        tries,
                        bad,
                        latency,
                        covers,
                        load,
                    )
                else:
                    count("reports passed over: unknown zone or backend")
            case DemandReport(proxy, route, calls, dropped, covers):
                if route in self.route_indices and proxy in self.streams.by_proxy:
                    self.policy.on_demand_report(
                        self.now, proxy, self.route_indices[route], calls, dropped, covers
                    )
                else:
                    count("reports passed over: unknown route or proxy")
            case UpdateApplied(proxy, mark):
                if self.streams.on_applied(proxy, mark):
                    self.policy.on_ack(self.now, mark)
                else:
                    count("answers to marks passed over: not sent on this stream")
            case ProxyJoined(attach, stream):
                self.on_proxy_joined(attach.proxy, attach.zone, attach.usual_rate, stream)
            case ProxyLeft(proxy, stream):
                if self.streams.on_left(proxy, stream):
                    self.policy.on_proxy_left(self.now, proxy)
            case EndpointList():
                self.on_endpoints("whole" if item.is_snapshot else "changes", item)
            case DiscoveryFailed():
                self.policy.on_endpoints(self.now, "error", [])
            case TimerDue():
                self.policy.tick(self.now)

    def on_proxy_joined(self, proxy: int, zone: str, usual: float, stream: Mailbox[ConnectionItem]) -> None:
        if self.streams.on_joined(proxy, stream):
            self.policy.on_proxy_left(self.now, proxy)
        logger.info("proxy {} of {}: joined", proxy, zone)
        self.policy.on_proxy_joined(self.now, proxy, self.zone_indices[zone], usual)

    def on_endpoints(self, how: str, listing: EndpointList) -> None:
        entries = []
        for e in listing.entries:
            if e.zone not in self.zone_indices:
                count("list entries passed over: unknown zone")
                continue
            new = e.name not in self.backends.index_by_name
            place = self.backends.index(e.name)
            if new:
                logger.info("backend {} is {} of {}", place, e.name, e.zone)
            entries.append(EndpointEntry(place, self.zone_indices[e.zone], e.state, e.since_ns, e.weight))
        if how == "changes" and not entries:
            return  # a watch that ran out: nothing happened
        self.policy.on_endpoints(self.now, how, entries)

    def send_updates(self) -> None:
        for users, lines in self.streams.send_updates(self.policy.calls):
            count("messages sent", users)
            count("lines sent", users * lines)

    def log_summary(self) -> None:
        self.last_summary_ns = self.now
        memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024
        try:
            descriptors = str(len(os.listdir("/proc/self/fd")))
        except OSError:  # not one left to look with
            descriptors = "all"
        logger.info(
            "counters: {}; {} proxies, {} descriptors, {} MB at most",
            invariants.format_counters(),
            len(self.streams.by_proxy),
            descriptors,
            memory,
        )
