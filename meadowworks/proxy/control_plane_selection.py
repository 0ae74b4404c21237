"""Where a junction pulls its news from: one signalbox at a time, the nearest that is sure of its news."""

from __future__ import annotations

import xxhash

from meadowworks.gossip.peer_sampling import PeerRecord

PENALTY_NS = 1_500_000_000  # that one which gave no answer, or is not sure, is passed over


class ControlPlaneSelector:
    """Junctions of a zone choose alike, so that their figures come together at one signalbox."""

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.avoided_until_ns: dict[str, int] = {}

    def choose(
        self, now: int, cards: list[PeerRecord], seeds: list[tuple[str, int]]
    ) -> tuple[str, int] | None:
        """An address to pull from; nothing if none is known. `seeds` are those that no card speaks for."""
        rows = [(c.zone != self.zone, self.rank(c.host), c.host, c.port) for c in cards]
        rows += [(True, self.rank(host), host, port) for host, port in seeds]
        if not rows:
            return None
        best = min(rows, key=lambda row: (max(0, self.avoided_until_ns.get(row[2], 0) - now), row))
        return best[2], best[3]

    def rank(self, host: str) -> int:
        return xxhash.xxh32_intdigest(f"{self.zone} {host}")

    def mark_failed(self, now: int, host: str) -> None:
        self.avoided_until_ns[host] = now + PENALTY_NS
