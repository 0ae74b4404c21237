"""Counts the disks that are lost, so that faults never lose more than the system tolerates."""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass, field

RECOVERY_S = 6.0  # from the return of a node with an empty disk until its disk counts again


@dataclass(slots=True)
class LostDisks:
    """The nodes whose disks are lost, and since when they have been back with an empty one.

    A disk counts again once its node has been back for `RECOVERY_S`. That time starts over while more nodes
    are unavailable or without their disk than the system tolerates, because the members cannot take in the
    empty disk then.

    :ivar tolerated: the number of disks that may be lost at the same time.
    """

    tolerated: int
    _back_since_s: dict[int, float] = field(default_factory=dict)  # by node
    _unavailable: Set[int] = frozenset()
    _is_impaired: bool = False

    def on_lost(self, node: int, now_s: float) -> None:
        """Count the disk of a node as lost."""
        self._back_since_s[node] = now_s

    def forget(self, node: int) -> None:
        """Count a node no more, because another one replaces it."""
        self._back_since_s.pop(node, None)

    def observe(self, unavailable: Set[int], now_s: float) -> None:
        """Note which nodes are unavailable from now on."""
        lost = self.lost_nodes(now_s)
        was_impaired, self._is_impaired = self._is_impaired, len(lost | unavailable) > self.tolerated
        restarts_all = was_impaired or self._is_impaired
        for node in lost:
            if restarts_all or node in self._unavailable or node in unavailable:
                self._back_since_s[node] = now_s
        self._unavailable = unavailable

    def lost_nodes(self, now_s: float) -> set[int]:
        """Return the nodes whose disks count as lost."""
        for node, back_since_s in list(self._back_since_s.items()):
            is_back = not self._is_impaired and node not in self._unavailable
            if is_back and now_s - back_since_s >= RECOVERY_S:
                del self._back_since_s[node]
        return set(self._back_since_s)

    def may_lose(self, node: int, now_s: float) -> bool:
        """Return whether the disk of a node may be lost now."""
        return len(self.lost_nodes(now_s) | {node}) <= self.tolerated
