"""Peer sampling: a bounded partial view of the peers, shuffled between neighbours.

Peers exchange random samples of their views in their requests and replies. A record contains a heartbeat
counter that only its owner increments, so an old record never replaces a newer one, and a record whose
counter does not increase expires. Seeds are contacted while the view has no record of them.

Source: the shuffle of Cyclon (Voulgaris, Gavidia, van Steen, 2005), with heartbeat counters in place of ages
as in the failure detector of van Renesse, Minsky, Hayden (1998). Unlike in both, voters are evicted last.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

MAX_VIEW_SIZE = 16  # records; the few voters and enough other peers for shuffles to reach every peer
SHUFFLE_SIZE = 6  # records in one exchange, including the sender's own
# A peer increments its heartbeat every second; its record reaches the others after a few exchanges.
PEER_ALIVE_NS = 4_000_000_000  # a peer is alive if its heartbeat has increased within this time
PEER_EXPIRY_NS = 20_000_000_000  # a record expires if its heartbeat has not increased for this time


@dataclass(frozen=True, slots=True)
class PeerRecord:
    """A peer's description of itself; the peer is a control-plane node or a proxy, identified by its address.

    :ivar port: the port on which it receives pulls.
    :ivar is_voter: whether it is a control-plane node that may vote.
    :ivar incarnation: identifies its process, and is the source of the updates that the process publishes.
    :ivar heartbeat: a counter that only the owner increments. It starts at the start time of the process in
        seconds, which is above the counter of the previous incarnation.
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
    """An entry of a view.

    :ivar last_heartbeat_ns: the time at which the record's heartbeat last increased, by this process's clock.
    """

    record: PeerRecord
    last_heartbeat_ns: int


class PartialView:
    """The partial view of one process.

    :ivar local: this process's own record, which is not part of the view.
    :ivar peers: the entries of the view, by host.
    """

    def __init__(self, local: PeerRecord, random_seed: int) -> None:
        self.local = local
        self.peers: dict[str, PeerEntry] = {}
        self._random_seed = random_seed
        self._draws = 0

    def advance_heartbeat(self) -> None:
        """Increment this process's own heartbeat."""
        self.local = replace(self.local, heartbeat=self.local.heartbeat + 1)

    def merge(self, now_ns: int, records: Iterable[PeerRecord]) -> None:
        """Merge records into the view; the newer of two records of one peer is kept."""
        for record in records:
            if record.host == self.local.host and record.port == self.local.port:
                self._supersede_earlier_incarnation(record)
                continue
            entry = self.peers.get(record.host)
            if entry is None or record.heartbeat > entry.record.heartbeat:
                self.peers[record.host] = PeerEntry(record, now_ns)
        self.expire(now_ns)

    def _supersede_earlier_incarnation(self, record: PeerRecord) -> None:
        """Raise this process's heartbeat above that of an earlier incarnation.

        Prevents peers from ignoring this process until its heartbeat has caught up with the earlier record,
        if the clock was set back before the start of this process.
        """
        if record.incarnation != self.local.incarnation and record.heartbeat >= self.local.heartbeat:
            self.local = replace(self.local, heartbeat=record.heartbeat + 1)

    def expire(self, now_ns: int) -> None:
        """Drop expired records, and the stalest records beyond ``MAX_VIEW_SIZE``."""
        for host, entry in list(self.peers.items()):
            if now_ns - entry.last_heartbeat_ns > PEER_EXPIRY_NS:
                del self.peers[host]
        while len(self.peers) > MAX_VIEW_SIZE:
            # Voters are evicted last: they are few, and every peer needs them.
            non_voters = [host for host, entry in self.peers.items() if not entry.record.is_voter]
            candidates = non_voters or list(self.peers)
            del self.peers[min(candidates, key=lambda host: self.peers[host].last_heartbeat_ns)]

    def shuffle_sample(self) -> list[PeerRecord]:
        """Return the records to send to a peer: the own record, then a random sample of the view."""
        records = sorted((entry.record for entry in self.peers.values()), key=lambda record: record.host)
        shuffled = sorted(((self._random_fraction(), record) for record in records), key=lambda pair: pair[0])
        return [self.local, *(record for _, record in shuffled[: SHUFFLE_SIZE - 1])]

    def voters(self, now_ns: int | None = None) -> list[PeerRecord]:
        """Return the other voters, sorted by host; given a time, only those alive at that time."""
        return [
            entry.record
            for _, entry in sorted(self.peers.items())
            if entry.record.is_voter and (now_ns is None or now_ns - entry.last_heartbeat_ns <= PEER_ALIVE_NS)
        ]

    def undiscovered_seeds(self, seeds: Sequence[tuple[str, int]], inner_port: int) -> list[tuple[str, int]]:
        """Return the pull addresses of the seeds that the view has no record of."""
        discovered = {*self.peers, self.local.host}
        return [(host, inner_port) for host, _ in seeds if host not in discovered]

    def _random_fraction(self) -> float:
        """Return the next pseudo-random number from 0 to 1; the seed makes simulations repeatable."""
        self._draws += 1
        return zlib.crc32(f"{self._random_seed}:{self._draws}".encode()) / 2**32
