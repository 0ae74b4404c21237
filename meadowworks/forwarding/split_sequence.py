"""Low-discrepancy sequences that split the requests of a route among its services.

The points of a sequence advance by the golden ratio modulo 1 (Weyl 1916; Knuth, The Art of Computer
Programming 3, 6.4). After n requests, the share of each service differs from its weight by O(log(n)/n); with
random points the difference would be O(1/sqrt(n)).
"""

from __future__ import annotations

from collections.abc import Callable

GOLDEN_RATIO_FRACTION = 0.6180339887498949


class SplitSequence:
    """Generator of points in [0, 1), with a sequence for each route.

    :param random_fraction: returns the first point of a route; being random, it keeps proxies out of step
    """

    def __init__(self, random_fraction: Callable[[], float]) -> None:
        self._random_fraction = random_fraction
        self._points: dict[str, float] = {}  # by route

    def next_point(self, route_name: str) -> float:
        """Return the point for the next request of the route."""
        point = self._points.get(route_name)
        if point is None:
            point = self._random_fraction()
        self._points[route_name] = (point + GOLDEN_RATIO_FRACTION) % 1.0
        return point

    def clear(self) -> None:
        """Restart the sequences of all routes, after a configuration change."""
        self._points.clear()
