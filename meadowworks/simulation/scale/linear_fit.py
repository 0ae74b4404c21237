"""Fits of measured points: a straight line, and the exponent of their growth."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from statistics import mean

Point = tuple[float, float]


@dataclass(frozen=True, slots=True)
class LinearFit:
    """The line y = base + slope * x, fitted by least squares of the relative deviations.

    `max_deviation` is the largest relative deviation. `exponent` is that of a power law, fitted to the upper
    half of the points on logarithmic scales.
    """

    base: float
    slope: float
    max_deviation: float
    exponent: float

    def at(self, x: float) -> float:
        """Return the line's value at x."""
        return self.base + self.slope * x


def fit_line(points: Sequence[Point]) -> LinearFit | None:
    """Fit a line to the points with positive y; None if they have fewer than two different x."""
    points = [(x, y) for x, y in points if y > 0]
    if len({x for x, _ in points}) < 2:
        return None
    weights = [1 / y**2 for _, y in points]
    weighted = list(zip(weights, points, strict=True))
    total = sum(weights)
    mean_x = sum(weight * x for weight, (x, _) in weighted) / total
    mean_y = sum(weight * y for weight, (_, y) in weighted) / total
    variance = sum(weight * (x - mean_x) ** 2 for weight, (x, _) in weighted)
    slope = sum(weight * (x - mean_x) * (y - mean_y) for weight, (x, y) in weighted) / variance
    base = mean_y - slope * mean_x
    max_deviation = max(abs(base + slope * x - y) / y for x, y in points)
    return LinearFit(base, slope, max_deviation, power_exponent(points))


def power_exponent(points: Sequence[Point]) -> float:
    """Return the slope of log y over log x in the upper half of the x, at least the upper two."""
    points = sorted(point for point in points if point[0] > 0)
    xs = sorted({x for x, _ in points})
    lowest_x = xs[len(xs) // 2 - (len(xs) < 4)]
    upper = [(math.log(x), math.log(y)) for x, y in points if x >= lowest_x]
    mean_x, mean_y = mean(x for x, _ in upper), mean(y for _, y in upper)
    variance = sum((x - mean_x) ** 2 for x, _ in upper)
    return sum((x - mean_x) * (y - mean_y) for x, y in upper) / variance if variance else 0.0
