"""SVG plots of measured points on logarithmic scales."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from html import escape

from meadowworks.simulation.scale.linear_fit import LinearFit, Point

WIDTH, HEIGHT = 420, 260  # pixels
LEFT, RIGHT, TOP, BOTTOM = 50, 10, 30, 30  # margins in pixels
LINE_SEGMENTS = 40


@dataclass(frozen=True, slots=True)
class LogScales:
    """The mapping of values to pixels; the limits are decimal logarithms."""

    low_x: float
    high_x: float
    low_y: float
    high_y: float

    @classmethod
    def around(cls, xs: Sequence[float], ys: Sequence[float]) -> LogScales:
        """Return scales that cover the values with a small margin."""
        return cls(
            math.log10(min(xs)) - 0.05,
            math.log10(max(xs)) + 0.05,
            math.log10(min(ys)) - 0.1,
            math.log10(max(ys)) + 0.1,
        )

    def position(self, x: float, y: float) -> Point:
        """Return the position of a point in pixels."""
        return (
            LEFT + (math.log10(x) - self.low_x) / (self.high_x - self.low_x) * (WIDTH - LEFT - RIGHT),
            HEIGHT
            - BOTTOM
            - (math.log10(y) - self.low_y) / (self.high_y - self.low_y) * (HEIGHT - TOP - BOTTOM),
        )


def draw_plot(
    title: str,
    axis: str,
    points: Sequence[Point],
    fit: LinearFit | None,
    budget: float | None,
    target: float,
) -> str:
    """Draw the points, the fitted line up to the target, and the budget; empty without positive points."""
    points = [(x, y) for x, y in points if x > 0 and y > 0]
    if not points:
        return ""
    xs = [x for x, _ in points] + [target]
    ys = [y for _, y in points] + ([budget] if budget else [])
    if fit and fit.at(target) > 0:
        ys.append(fit.at(target))
    scales = LogScales.around(xs, ys)
    marks = _grid(scales)
    if fit:
        marks.append(_fitted_line(scales, fit, max(xs)))
    if budget:
        y = scales.position(xs[0], budget)[1]
        marks.append(f'<path d="M{LEFT} {y:.1f}H{WIDTH - RIGHT}" stroke="#c33" stroke-dasharray="5 4"/>')
    for point in points:
        x, y = scales.position(*point)
        marks.append(f'<circle cx="{x:.1f}" cy="{y:.1f}" r="3"/>')
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" font-size="11" '
        f'font-family="sans-serif"><text x="50" y="18" font-size="13">{escape(title)} by {axis}</text>'
        + "".join(marks)
        + "</svg>"
    )


def _grid(scales: LogScales) -> list[str]:
    """Draw a grid line and a label at each power of ten."""
    marks = []
    for power in range(math.ceil(scales.low_x), math.floor(scales.high_x) + 1):
        x, _ = scales.position(10.0**power, 10**scales.low_y)
        marks.append(
            f'<text x="{x:.0f}" y="{HEIGHT - 14}" text-anchor="middle">{10.0**power:g}</text>'
            f'<path d="M{x:.0f} {TOP}V{HEIGHT - BOTTOM}" stroke="#ddd"/>'
        )
    for power in range(math.ceil(scales.low_y), math.floor(scales.high_y) + 1):
        _, y = scales.position(10**scales.low_x, 10.0**power)
        marks.append(
            f'<text x="{LEFT - 4}" y="{y + 4:.0f}" text-anchor="end">{10.0**power:g}</text>'
            f'<path d="M{LEFT} {y:.0f}H{WIDTH - RIGHT}" stroke="#ddd"/>'
        )
    return marks


def _fitted_line(scales: LogScales, fit: LinearFit, to_x: float) -> str:
    width = math.log10(to_x) - scales.low_x
    xs = [10 ** (scales.low_x + width * k / LINE_SEGMENTS) for k in range(LINE_SEGMENTS + 1)]
    shown = [x for x in xs if fit.at(x) > 0 and math.log10(fit.at(x)) >= scales.low_y]
    positions = [scales.position(x, fit.at(x)) for x in shown]
    corners = " ".join(f"{x:.1f},{y:.1f}" for x, y in positions)
    return f'<polyline fill="none" stroke="#27c" points="{corners}"/>'
