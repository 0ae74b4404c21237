"""Spreads the requests of a route over its services more evenly than chance does.

Each route follows a low-discrepancy sequence: its points rise by the golden ratio, modulo 1 (Weyl 1916;
Knuth, The Art of Computer Programming 3, 6.4). After n requests each service's share is off its weight by an
order of log(n)/n; drawn by chance it would be by an order of 1/sqrt(n).
"""

from __future__ import annotations

from collections.abc import Callable

GOLDEN_RATIO_FRACTION = 0.6180339887498949


class SplitSequence:
    """The next point of each route, from 0 up to, but without, 1.

    :param random_fraction: draws each route's first point, so that proxies do not go in step
    """

    def __init__(self, random_fraction: Callable[[], float]) -> None:
        self._random_fraction = random_fraction
        self._points: dict[str, float] = {}  # by route

    def next_point(self, route_name: str) -> float:
        """The point of the route's next request."""
        point = self._points.get(route_name)
        if point is None:
            point = self._random_fraction()
        self._points[route_name] = (point + GOLDEN_RATIO_FRACTION) % 1.0
        return point

    def clear(self) -> None:
        """Forget all routes: another configuration is in force."""
        self._points.clear()
