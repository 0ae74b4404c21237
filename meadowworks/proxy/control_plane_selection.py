"""Selection of the control-plane node to pull from: the nearest one that replies and holds a lease."""

from __future__ import annotations

import xxhash

from meadowworks.gossip.peer_sampling import PeerRecord

# How long a node that did not reply, or holds no lease, is avoided: about one pull.
PENALTY_NS = 1_500_000_000


class ControlPlaneSelector:
    """Selector by which the proxies of a zone choose the same node, which then adds up their load reports."""

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.avoided_until_ns: dict[str, int] = {}  # by host

    def choose(
        self, now: int, nodes: list[PeerRecord], seeds: list[tuple[str, int]]
    ) -> tuple[str, int] | None:
        """Return the host and port to pull from; None if no node is known.

        Nodes that are not avoided come first, then those of the proxy's zone, then the order of `rank`.

        :param nodes: the known control-plane nodes
        :param seeds: the configured addresses that belong to none of them
        """
        candidates = [(node.zone != self.zone, self.rank(node.host), node.host, node.port) for node in nodes]
        candidates += [(True, self.rank(host), host, port) for host, port in seeds]
        if not candidates:
            return None
        *_, host, port = min(
            candidates, key=lambda node: (max(0, self.avoided_until_ns.get(node[2], 0) - now), node)
        )
        return host, port

    def rank(self, host: str) -> int:
        """Return the sort key of a node in an order that all proxies of the zone share."""
        return xxhash.xxh32_intdigest(f"{self.zone} {host}")

    def mark_failed(self, now: int, host: str) -> None:
        """Avoid a node for `PENALTY_NS`."""
        self.avoided_until_ns[host] = now + PENALTY_NS
