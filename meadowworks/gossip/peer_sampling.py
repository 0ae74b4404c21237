"""Peer sampling: a bounded partial view of the peers, shuffled between neighbours.

Peers exchange a random sample of their views whenever they speak. A record carries a heartbeat counter that
only its owner advances, so an old record never replaces a newer one, and a record whose counter stands still
expires. Seeds are contacted as long as the view lacks a record of them.

Source: the shuffle of Cyclon (Voulgaris, Gavidia, van Steen, 2005), with heartbeat counters in place of ages
as in the failure detector of van Renesse, Minsky, Hayden (1998). Unlike there, voters are evicted last.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

MAX_VIEW_SIZE = 16  # records; a handful of voters and enough others to reach everybody by shuffling
SHUFFLE_SIZE = 6  # records of one exchange, the sender's own among them
# A peer advances its heartbeat each second; its record takes a few exchanges to reach the others.
PEER_ALIVE_NS = 4_000_000_000  # a peer whose heartbeat rose within this is taken to be alive
PEER_EXPIRY_NS = 20_000_000_000  # a record whose heartbeat has not risen for this long is dropped


@dataclass(frozen=True, slots=True)
class PeerRecord:
    """A control-plane node or a proxy as it describes itself; its address is its identity.

    :ivar port: where it takes pulls.
    :ivar is_voter: whether it is a control-plane node that may vote.
    :ivar incarnation: its process, and the source under which that publishes updates.
    :ivar heartbeat: a counter that only the owner advances; it starts at the time of the process's start in
        seconds, and so above that of its last incarnation.
    """

    name: str
    host: str
    port: int
    zone: str
    is_voter: bool
    incarnation: str
    heartbeat: int


@dataclass(slots=True)
class PeerEntry:
    """A record in a view, and when its heartbeat last rose, by this process's clock."""

    record: PeerRecord
    last_heartbeat_ns: int


class PartialView:
    """The peers that this process knows.

    :ivar local: this process's own record; it is not part of the view.
    :ivar peers: the view, by host.
    """

    def __init__(self, local: PeerRecord, random_seed: int) -> None:
        self.local = local
        self.peers: dict[str, PeerEntry] = {}
        self._random_seed = random_seed
        self._draws = 0

    def advance_heartbeat(self) -> None:
        """Advances this process's own heartbeat."""
        self.local = replace(self.local, heartbeat=self.local.heartbeat + 1)

    def merge(self, now_ns: int, records: Iterable[PeerRecord]) -> None:
        """Takes records into the view; of two of one peer the newer stays."""
        for record in records:
            if record.host == self.local.host and record.port == self.local.port:
                self._outrun(record)
                continue
            known = self.peers.get(record.host)
            if known is None or record.heartbeat > known.record.heartbeat:
                self.peers[record.host] = PeerEntry(record, now_ns)
        self.expire(now_ns)

    def _outrun(self, own: PeerRecord) -> None:
        """Raises the heartbeat above a record of an earlier incarnation of this process.

        Guards against a clock that was set back before this start: the peers would keep the old record,
        and ignore this process, until its heartbeat has caught up.
        """
        if own.incarnation != self.local.incarnation and own.heartbeat >= self.local.heartbeat:
            self.local = replace(self.local, heartbeat=own.heartbeat + 1)

    def expire(self, now_ns: int) -> None:
        """Drops records that have expired, and the stalest ones beyond ``MAX_VIEW_SIZE``."""
        for host, entry in list(self.peers.items()):
            if now_ns - entry.last_heartbeat_ns > PEER_EXPIRY_NS:
                del self.peers[host]
        while len(self.peers) > MAX_VIEW_SIZE:
            # Voters are few, and everybody needs them: they go last.
            others = [host for host, entry in self.peers.items() if not entry.record.is_voter]
            candidates = others or list(self.peers)
            del self.peers[min(candidates, key=lambda host: self.peers[host].last_heartbeat_ns)]

    def shuffle_sample(self) -> list[PeerRecord]:
        """Returns what to send to a peer: the own record, then others drawn at random."""
        records = sorted((entry.record for entry in self.peers.values()), key=lambda record: record.host)
        drawn = sorted(((self._random_fraction(), record) for record in records), key=lambda pair: pair[0])
        return [self.local, *(record for _, record in drawn[: SHUFFLE_SIZE - 1])]

    def voters(self, now_ns: int | None = None) -> list[PeerRecord]:
        """Returns the other voters, by host; given a time, only those that are alive then."""
        return [
            entry.record
            for _, entry in sorted(self.peers.items())
            if entry.record.is_voter and (now_ns is None or now_ns - entry.last_heartbeat_ns <= PEER_ALIVE_NS)
        ]

    def undiscovered_seeds(self, seeds: Sequence[tuple[str, int]], inner_port: int) -> list[tuple[str, int]]:
        """Returns the addresses for pulls of those seeds that the view has no record of."""
        known = {*self.peers, self.local.host}
        return [(host, inner_port) for host, _ in seeds if host not in known]

    def _random_fraction(self) -> float:
        """Draws from 0 to 1, repeatable by the seed: models and simulations replay it."""
        self._draws += 1
        return zlib.crc32(f"{self._random_seed}:{self._draws}".encode()) / 2**32
