"""Whom a controller knows: a partial view, shuffled between neighbours.

A view holds a bounded number of cards. Neighbours swap some of theirs when they speak; a card carries a
count that only its owner raises, so that an old one never replaces a newer, and one whose owner has not been
heard of for long goes. Seeds are asked as long as the view lacks a card for them.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

VIEW_MOST, SWAP = 16, 6  # cards kept, and swapped at a time
STALE_NS = 20_000_000_000  # a card whose count has not risen for so long is dropped
FRESH_NS = 4_000_000_000  # one that has risen within this is taken to be there


@dataclass(frozen=True, slots=True)
class Card:
    """A controller as it says of itself; its address tells it from others. `life` is its process's, under
    which it is a source of news. `beat` is raised by its owner alone, and begins above its last life's."""

    name: str
    host: str
    port: int
    zone: str
    voting: bool
    life: str
    beat: int

    def pack(self) -> list[Any]:
        return [self.name, self.host, self.port, self.zone, self.voting, self.life, self.beat]

    @staticmethod
    def unpack(raw: Any) -> Card:
        """Raises ValueError or TypeError for what is no card."""
        name, host, port, zone, voting, life, beat = raw
        return Card(str(name), str(host), int(port), str(zone), bool(voting), str(life), int(beat))


@dataclass(slots=True)
class Known:
    card: Card
    risen_ns: int


@dataclass(slots=True)
class Members:
    """The partial view of one controller. `me` has no place in it."""

    me: Card
    seed: int
    view: dict[str, Known] = field(default_factory=dict)  # by host
    count: int = 0

    def chance(self) -> float:
        self.count += 1
        return zlib.crc32(f"{self.seed}:{self.count}".encode()) / 2**32

    def pulse(self) -> None:
        self.me = replace(self.me, beat=self.me.beat + 1)

    def met(self, now: int, cards: Iterable[Card]) -> None:
        """Takes cards in: a newer one of a controller replaces the older."""
        for card in cards:
            if card.host == self.me.host and card.port == self.me.port:
                # Guards against a clock that was set back before this life began: a card of the last one
                # would stand for this controller until its count is passed.
                if card.life != self.me.life and card.beat >= self.me.beat:
                    self.me = replace(self.me, beat=card.beat + 1)
                continue
            old = self.view.get(card.host)
            if old is None or card.beat > old.card.beat:
                self.view[card.host] = Known(card, now)
        self.expire(now)

    def expire(self, now: int) -> None:
        for host in [h for h, k in self.view.items() if now - k.risen_ns > STALE_NS]:
            del self.view[host]
        while len(self.view) > VIEW_MOST:  # voters are few and stay; of the rest the stalest goes
            rest = [h for h, k in self.view.items() if not k.card.voting] or list(self.view)
            del self.view[min(rest, key=lambda h: self.view[h].risen_ns)]

    def swap(self) -> list[Card]:
        """What a neighbour is told: itself and some others, drawn anew each time."""
        cards = sorted((k.card for k in self.view.values()), key=lambda c: c.host)
        drawn = sorted(((self.chance(), c) for c in cards), key=lambda pair: pair[0])[: SWAP - 1]
        return [self.me, *(card for _, card in drawn)]

    def voters(self, now: int | None = None) -> list[Card]:
        """Others that vote; with a time, those that were heard of just before it."""
        return [
            k.card
            for _, k in sorted(self.view.items())
            if k.card.voting and (now is None or now - k.risen_ns <= FRESH_NS)
        ]

    def lonely(self, seeds: Sequence[tuple[str, int]], inner: int) -> list[tuple[str, int]]:
        """Inner addresses of seeds that no card in the view speaks for."""
        known = {*self.view, self.me.host}
        return [(host, inner) for host, _ in seeds if host not in known]
