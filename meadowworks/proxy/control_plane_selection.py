"""Which control-plane node a proxy pulls from: the nearest one that has a lease and answers."""

from __future__ import annotations

import xxhash

from meadowworks.gossip.peer_sampling import PeerRecord

# A node that gave no reply, or has no lease, is passed over for so long: about one pull.
PENALTY_NS = 1_500_000_000


class ControlPlaneSelector:
    """Proxies of a zone choose alike, so that their load reports come together at one node."""

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.avoided_until_ns: dict[str, int] = {}  # by host

    def choose(
        self, now: int, nodes: list[PeerRecord], seeds: list[tuple[str, int]]
    ) -> tuple[str, int] | None:
        """The host and port to pull from; None if no node is known.

        :param nodes: the control-plane nodes that are known
        :param seeds: the addresses that none of them has
        """
        candidates = [(node.zone != self.zone, self.rank(node.host), node.host, node.port) for node in nodes]
        candidates += [(True, self.rank(host), host, port) for host, port in seeds]
        if not candidates:
            return None
        *_, host, port = min(
            candidates, key=lambda found: (max(0, self.avoided_until_ns.get(found[2], 0) - now), found)
        )
        return host, port

    def rank(self, host: str) -> int:
        """The place of a node in the order that all proxies of the zone share."""
        return xxhash.xxh32_intdigest(f"{self.zone} {host}")

    def mark_failed(self, now: int, host: str) -> None:
        """Pass a node over for a moment."""
        self.avoided_until_ns[host] = now + PENALTY_NS
