"""Simulated time and a network between machines: no sleep, no sockets, the same for the same seed."""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Callable

MS, SECOND = 1_000_000, 1_000_000_000
Callback = Callable[[], None]


class EventScheduler:
    """Events in order. Times in nanoseconds since the day began."""

    def __init__(self) -> None:
        self.now = self.event_count = 0
        self.events: list[tuple[int, int, Callback]] = []

    def call_at(self, when: int, act: Callback) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (max(when, self.now), self.event_count, act))

    def call_later(self, wait: int, act: Callback) -> None:
        self.call_at(self.now + wait, act)

    def run_until(self, until: int) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, act = heapq.heappop(self.events)
            act()
        self.now = until


class Network:
    """Messages take a few ms; each may be lost, doubled or late. A cut goes one way; what meets it is lost,
    or held up and delivered after it. `contact`: when the newest message that arrived had left."""

    def __init__(self, scheduler: EventScheduler, random: random.Random) -> None:
        self.scheduler, self.random = scheduler, random
        self.cuts: set[tuple[str, str]] = set()
        self.delayed: dict[tuple[str, str], list[tuple[int, Callback]]] = defaultdict(list)
        self.last_contact: dict[tuple[str, str], int] = {}
        self.extra_delay_ns: dict[tuple[str, str], int] = {}  # what links take besides
        self.loss_rate = self.duplicate_rate = self.late_rate = 0.0

    def send(self, source: str, target: str, arrive: Callback) -> None:
        if self.random.random() < self.loss_rate:
            return
        self.deliver(source, target, self.scheduler.now, arrive)
        if self.random.random() < self.duplicate_rate:
            self.deliver(source, target, self.scheduler.now, arrive)

    def deliver(self, source: str, target: str, sent: int, arrive: Callback) -> None:
        wait = int(self.random.uniform(0.2, 3) * MS) + self.extra_delay_ns.get((source, target), 0)
        if self.random.random() < self.late_rate:
            wait += int(self.random.uniform(5, 1500) * MS)

        def land() -> None:
            if (source, target) in self.cuts:
                if self.random.random() < 0.5:
                    self.delayed[source, target].append((sent, arrive))
                return
            self.last_contact[source, target] = max(sent, self.last_contact.get((source, target), 0))
            arrive()

        self.scheduler.call_later(wait, land)

    def cut(self, source: str, target: str) -> None:
        self.cuts.add((source, target))

    def heal(self) -> None:
        """All links are whole again."""
        cuts, self.cuts = self.cuts, set()
        for link in sorted(cuts):
            for sent, arrive in self.delayed.pop(link, []):
                self.deliver(*link, sent, arrive)
