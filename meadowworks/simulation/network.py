"""Simulated time and a network between machines: no sleep, no sockets, the same for the same seed."""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Callable

MS, SECOND = 1_000_000, 1_000_000_000
Act = Callable[[], None]


class Time:
    """Events in order. Times in nanoseconds since the day began."""

    def __init__(self) -> None:
        self.now = self.count = 0
        self.heap: list[tuple[int, int, Act]] = []

    def at(self, when: int, act: Act) -> None:
        self.count += 1
        heapq.heappush(self.heap, (max(when, self.now), self.count, act))

    def after(self, wait: int, act: Act) -> None:
        self.at(self.now + wait, act)

    def run(self, until: int) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, act = heapq.heappop(self.heap)
            act()
        self.now = until


class Network:
    """Messages take a few ms; each may be lost, doubled or late. A cut goes one way; what meets it is lost,
    or held up and delivered after it. `contact`: when the newest message that arrived had left."""

    def __init__(self, time: Time, chance: random.Random) -> None:
        self.time, self.chance = time, chance
        self.cuts: set[tuple[str, str]] = set()
        self.held: dict[tuple[str, str], list[tuple[int, Act]]] = defaultdict(list)
        self.contact: dict[tuple[str, str], int] = {}
        self.slow: dict[tuple[str, str], int] = {}  # what links take besides
        self.lose = self.double = self.late = 0.0

    def send(self, source: str, target: str, arrive: Act) -> None:
        if self.chance.random() < self.lose:
            return
        self.carry(source, target, self.time.now, arrive)
        if self.chance.random() < self.double:
            self.carry(source, target, self.time.now, arrive)

    def carry(self, source: str, target: str, sent: int, arrive: Act) -> None:
        wait = int(self.chance.uniform(0.2, 3) * MS) + self.slow.get((source, target), 0)
        if self.chance.random() < self.late:
            wait += int(self.chance.uniform(5, 1500) * MS)

        def land() -> None:
            if (source, target) in self.cuts:
                if self.chance.random() < 0.5:
                    self.held[source, target].append((sent, arrive))
                return
            self.contact[source, target] = max(sent, self.contact.get((source, target), 0))
            arrive()

        self.time.after(wait, land)

    def cut(self, source: str, target: str) -> None:
        self.cuts.add((source, target))

    def join(self) -> None:
        """All links are whole again."""
        cuts, self.cuts = self.cuts, set()
        for link in sorted(cuts):
            for sent, arrive in self.held.pop(link, []):
                self.carry(*link, sent, arrive)
