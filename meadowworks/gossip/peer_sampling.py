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

MAX_VIEW_SIZE, SHUFFLE_SIZE = 16, 6  # cards kept, and swapped at a time
PEER_EXPIRY_NS = 20_000_000_000  # a card whose count has not risen for so long is dropped
PEER_ALIVE_NS = 4_000_000_000  # one that has risen within this is taken to be there


@dataclass(frozen=True, slots=True)
class PeerRecord:
    """A controller as it says of itself; its address tells it from others. `life` is its process's, under
    which it is a source of news. `beat` is raised by its owner alone, and begins above its last life's."""

    name: str
    host: str
    port: int
    zone: str
    is_voter: bool
    incarnation: str
    heartbeat: int

    def pack(self) -> list[Any]:
        return [self.name, self.host, self.port, self.zone, self.is_voter, self.incarnation, self.heartbeat]

    @staticmethod
    def unpack(raw: Any) -> PeerRecord:
        """Raises ValueError or TypeError for what is no card."""
        name, host, port, zone, voting, life, beat = raw
        return PeerRecord(str(name), str(host), int(port), str(zone), bool(voting), str(life), int(beat))


@dataclass(slots=True)
class PeerEntry:
    record: PeerRecord
    last_heartbeat_ns: int


@dataclass(slots=True)
class PartialView:
    """The partial view of one controller. `me` has no place in it."""

    local: PeerRecord
    random_seed: int
    peers: dict[str, PeerEntry] = field(default_factory=dict)  # by host
    draws: int = 0

    def random_fraction(self) -> float:
        self.draws += 1
        return zlib.crc32(f"{self.random_seed}:{self.draws}".encode()) / 2**32

    def advance_heartbeat(self) -> None:
        self.local = replace(self.local, heartbeat=self.local.heartbeat + 1)

    def merge(self, now_ns: int, records: Iterable[PeerRecord]) -> None:
        """Takes cards in: a newer one of a controller replaces the older."""
        for card in records:
            if card.host == self.local.host and card.port == self.local.port:
                # Guards against a clock that was set back before this life began: a card of the last one
                # would stand for this controller until its count is passed.
                if card.incarnation != self.local.incarnation and card.heartbeat >= self.local.heartbeat:
                    self.local = replace(self.local, heartbeat=card.heartbeat + 1)
                continue
            old = self.peers.get(card.host)
            if old is None or card.heartbeat > old.record.heartbeat:
                self.peers[card.host] = PeerEntry(card, now_ns)
        self.expire(now_ns)

    def expire(self, now_ns: int) -> None:
        for host in [h for h, k in self.peers.items() if now_ns - k.last_heartbeat_ns > PEER_EXPIRY_NS]:
            del self.peers[host]
        while len(self.peers) > MAX_VIEW_SIZE:  # voters are few and stay; of the rest the stalest goes
            rest = [h for h, k in self.peers.items() if not k.record.is_voter] or list(self.peers)
            del self.peers[min(rest, key=lambda h: self.peers[h].last_heartbeat_ns)]

    def shuffle_sample(self) -> list[PeerRecord]:
        """What a neighbour is told: itself and some others, drawn anew each time."""
        cards = sorted((k.record for k in self.peers.values()), key=lambda c: c.host)
        drawn = sorted(((self.random_fraction(), c) for c in cards), key=lambda pair: pair[0])[
            : SHUFFLE_SIZE - 1
        ]
        return [self.local, *(card for _, card in drawn)]

    def voters(self, now_ns: int | None = None) -> list[PeerRecord]:
        """Others that vote; with a time, those that were heard of just before it."""
        return [
            k.record
            for _, k in sorted(self.peers.items())
            if k.record.is_voter and (now_ns is None or now_ns - k.last_heartbeat_ns <= PEER_ALIVE_NS)
        ]

    def undiscovered_seeds(self, seeds: Sequence[tuple[str, int]], inner_port: int) -> list[tuple[str, int]]:
        """Inner addresses of seeds that no card in the view speaks for."""
        known = {*self.peers, self.local.host}
        return [(host, inner_port) for host, _ in seeds if host not in known]
