"""A simulated network between machines that loses, duplicates and delays messages."""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import dataclass

from meadowworks.simulation.event_scheduler import MS, Callback, EventScheduler

Link = tuple[str, str]  # the addresses of sender and receiver


@dataclass(frozen=True, slots=True)
class DelayedMessage:
    """A message held at a cut link until the link is healed."""

    sent_ns: int
    arrive: Callback


class SimulatedNetwork:
    """Delivers messages after a few milliseconds; each may be lost, duplicated or late, by configured rates.

    A cut affects one direction of a link: messages that reach it are dropped, or held and delivered once
    the link is healed. `last_contact` is, by link, the send time of the newest message that arrived;
    `extra_delay_ns` is an additional delay by link.
    """

    def __init__(self, scheduler: EventScheduler, rng: random.Random) -> None:
        self.cuts: set[Link] = set()
        self.last_contact: dict[Link, int] = {}
        self.extra_delay_ns: dict[Link, int] = {}
        self.loss_rate = self.duplicate_rate = self.late_rate = 0.0
        self._scheduler, self._random = scheduler, rng
        self._delayed: dict[Link, list[DelayedMessage]] = defaultdict(list)

    def send(self, source: str, target: str, arrive: Callback) -> None:
        """Send a message; `arrive` is called on each delivery."""
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
        """Cut a link in one direction."""
        self.cuts.add((source, target))

    def heal(self) -> None:
        """Restore all links and transmit the held messages."""
        cuts, self.cuts = self.cuts, set()
        for source, target in sorted(cuts):
            for message in self._delayed.pop((source, target), []):
                self._transmit(source, target, message.sent_ns, message.arrive)
