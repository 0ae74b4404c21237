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
from meadowworks.fleet.invariants import count, holds
from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import (
    Asked,
    Done,
    Due,
    Follow,
    Joined,
    Left,
    ListFailed,
    Listing,
    Met,
    News,
    Told,
    Track,
)
from meadowworks.fleet.names import Names
from meadowworks.fleet.streams import Streams
from meadowworks.fleet.table_updates import Orders
from meadowworks.policy import Controller
from meadowworks.policy.interface import Entry

SECOND = 1_000_000_000
HOPS = 4  # turns of the loop from a socket to this mailbox: what has come in joins the batch
SUMMARY_NS = 10 * SECOND  # between the log's lines of counters


class Clock:
    """Unix time at the start, moved on by the monotonic clock: comparable with starts, never going back."""

    def __init__(self) -> None:
        self.offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return time.monotonic_ns() + self.offset


class Node:
    """`call_at` is the loop's: a time in seconds of the monotonic clock, what to call and with what. The
    laboratory hands in its own, and its own clock."""

    def __init__(
        self,
        config: Config,
        mailbox: Mailbox[News],
        lists: Mailbox[Follow],
        call_at: Callable[..., object],
        clock: Clock | None = None,
    ) -> None:
        self.mailbox, self.lists = mailbox, lists
        self.zones, self.routes = config.zones, config.routes
        self.batch_ns = config.batch_ns
        self.clock, self.call_at = clock or Clock(), call_at
        self.backends = Names()
        self.forgotten: list[int] = []  # freed once this batch's messages, which may name them, are made
        self.orders = Orders(list(config.routes), self.backends.names)
        self.streams = Streams(self.orders)
        self.now = self.due_ns = self.clock.now()
        self.told_ns = self.now
        self.module = Controller(self, config.settings, config.seed, self.now)
        if config.known:
            self.listed("disk", config.known)

    # -- the module's host

    def record(self, line: str) -> None:
        logger.info("module: {}", line)

    def track(self, on: bool) -> None:
        self.lists.put(Track(on))

    def probe(self, backend: int) -> None:
        holds(False, "no probe is asked for where none is allowed")

    def forget(self, backend: int) -> None:
        self.forgotten.append(backend)

    def mark(self, number: int) -> None:
        self.orders.mark = number

    def wake_in(self, wait_ns: int) -> None:
        """From when the timer was due, so that it does not drift; after a stall, from now."""
        self.due_ns = (self.due_ns if self.now - self.due_ns < wait_ns else self.now) + wait_ns
        self.call_at((self.due_ns - self.clock.offset) / SECOND, self.mailbox.put, Due())

    def set_line(self, table: int, backend: int, weight: float) -> None:
        self.orders.set_line(table, backend, weight)

    def bind(self, routes: int, proxy: int, table: int) -> None:
        self.orders.bind(routes, proxy, table)

    def admit(self, table: int, routes: int, level: float, retry: int) -> None:
        self.orders.admit(table, routes, level, retry)

    # -- what happens

    async def run(self) -> None:
        while True:
            await self.mailbox.wait()
            await asyncio.sleep(max(0, self.now + self.batch_ns - self.clock.now()) / SECOND)
            for _ in range(HOPS):
                await asyncio.sleep(0)
            self.batch()

    def batch(self) -> None:
        now = self.clock.now()
        holds(now >= self.now, "the clock does not go back")
        self.now = max(now, self.now + 1)  # the module tells batches apart by it
        for item in self.mailbox.drain():
            self.guarded(self.happen, item)
        self.guarded(self.send)
        while self.forgotten:
            self.backends.free(self.forgotten.pop())
        if self.now - self.told_ns >= SUMMARY_NS:
            self.summary()

    def guarded(self, act: Callable[..., None], *what: News) -> None:
        """A fault in one event ends a debug build; a release logs it, counts it and serves on."""
        try:
            act(*what)
        except Exception:
            if __debug__:
                raise
            if count("faults in an event"):
                logger.exception("fault while handling {}", what[0] if what else "orders")

    def happen(self, item: News) -> None:
        match item:
            case Met(zone, backend, tries, bad, latency, covers, load):
                if zone in self.zones and backend in self.backends.places:
                    self.module.heard(
                        self.now,
                        self.zones[zone],
                        self.backends.places[backend],
                        tries,
                        bad,
                        latency,
                        covers,
                        load,
                    )
                else:
                    count("reports passed over: unknown zone or backend")
            case Asked(proxy, route, calls, dropped, covers):
                if route in self.routes and proxy in self.streams.by_proxy:
                    self.module.asked(self.now, proxy, self.routes[route], calls, dropped, covers)
                else:
                    count("reports passed over: unknown route or proxy")
            case Done(proxy, mark):
                if self.streams.answered(proxy, mark):
                    self.module.applied(self.now, mark)
                else:
                    count("answers to marks passed over: not sent on this stream")
            case Joined(attach, stream):
                self.joined(attach.proxy, attach.zone, attach.usual, stream)
            case Left(proxy, stream):
                if self.streams.left(proxy, stream):
                    self.module.left(self.now, proxy)
            case Listing():
                self.listed("whole" if item.whole else "changes", item)
            case ListFailed():
                self.module.listed(self.now, "error", [])
            case Due():
                self.module.tick(self.now)

    def joined(self, proxy: int, zone: str, usual: float, stream: Mailbox[Told]) -> None:
        if self.streams.joined(proxy, stream):
            self.module.left(self.now, proxy)
        logger.info("proxy {} of {}: joined", proxy, zone)
        self.module.joined(self.now, proxy, self.zones[zone], usual)

    def listed(self, how: str, listing: Listing) -> None:
        entries = []
        for e in listing.entries:
            if e.zone not in self.zones:
                count("list entries passed over: unknown zone")
                continue
            new = e.name not in self.backends.places
            place = self.backends.index(e.name)
            if new:
                logger.info("backend {} is {} of {}", place, e.name, e.zone)
            entries.append(Entry(place, self.zones[e.zone], e.state, e.since_ns, e.weight))
        if how == "changes" and not entries:
            return  # a watch that ran out: nothing happened
        self.module.listed(self.now, how, entries)

    def send(self) -> None:
        for users, lines in self.streams.send(self.module.calls):
            count("messages sent", users)
            count("lines sent", users * lines)

    def summary(self) -> None:
        self.told_ns = self.now
        memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024
        try:
            descriptors = str(len(os.listdir("/proc/self/fd")))
        except OSError:  # not one left to look with
            descriptors = "all"
        logger.info(
            "counters: {}; {} proxies, {} descriptors, {} MB at most",
            invariants.summary(),
            len(self.streams.by_proxy),
            descriptors,
            memory,
        )
