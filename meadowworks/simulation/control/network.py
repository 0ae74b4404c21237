"""A simulated network between machines, which loses, doubles and delays messages."""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import dataclass

from meadowworks.simulation.event_scheduler import MS, Callback, EventScheduler

Link = tuple[str, str]  # the addresses of sender and receiver


@dataclass(frozen=True, slots=True)
class DelayedMessage:
    """A message that met a cut and arrives after it."""

    sent_ns: int
    arrive: Callback


class SimulatedNetwork:
    """Messages take a few milliseconds; each may be lost, doubled or late, by the rates that are set.

    A cut goes one way; what meets it is lost, or held up and delivered after it. `last_contact` says by link
    when the newest message that arrived had left; `extra_delay_ns` is what links take besides.
    """

    def __init__(self, scheduler: EventScheduler, rng: random.Random) -> None:
        self.cuts: set[Link] = set()
        self.last_contact: dict[Link, int] = {}
        self.extra_delay_ns: dict[Link, int] = {}
        self.loss_rate = self.duplicate_rate = self.late_rate = 0.0
        self._scheduler, self._random = scheduler, rng
        self._delayed: dict[Link, list[DelayedMessage]] = defaultdict(list)

    def send(self, source: str, target: str, arrive: Callback) -> None:
        """Send a message that calls `arrive` when, and if, it arrives."""
        if self._random.random() < self.loss_rate:
            return
        self._transmit(source, target, self._scheduler.now, arrive)
        if self._random.random() < self.duplicate_rate:
            self._transmit(source, target, self._scheduler.now, arrive)

    def _transmit(self, source: str, target: str, sent_ns: int, arrive: Callback) -> None:
        delay_ns = int(self._random.uniform(0.2, 3) * MS) + self.extra_delay_ns.get((source, target), 0)
        if self._random.random() < self.late_rate:
            delay_ns += int(self._random.uniform(5, 1500) * MS)

        def reach_target() -> None:
            link = (source, target)
            if link in self.cuts:
                if self._random.random() < 0.5:
                    self._delayed[link].append(DelayedMessage(sent_ns, arrive))
                return
            self.last_contact[link] = max(sent_ns, self.last_contact.get(link, 0))
            arrive()

        self._scheduler.call_later(delay_ns, reach_target)

    def cut(self, source: str, target: str) -> None:
        """Cut a link, one way."""
        self.cuts.add((source, target))

    def heal(self) -> None:
        """Mend all links, and deliver what was held up."""
        cuts, self.cuts = self.cuts, set()
        for source, target in sorted(cuts):
            for message in self._delayed.pop((source, target), []):
                self._transmit(source, target, message.sent_ns, message.arrive)
