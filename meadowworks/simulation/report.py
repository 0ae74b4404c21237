"""What `lab scale` has measured: points, a fit, its spread, and what it leads to at the target's size."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from html import escape
from statistics import mean
from typing import Any

from meadowworks.simulation.series import SCALED_SIZES, TARGET_SIZES

AXES = tuple(name for name in TARGET_SIZES if name != "target")
Selector = Callable[[dict[str, Any]], float | None]


@dataclass(frozen=True, slots=True)
class Metric:
    """Something measured. `budget` in the same unit, if the users named one."""

    name: str
    unit: str
    select: Selector
    budget: float | None = None


def role_metric(who: str, what: str, scale: float = 1.0) -> Selector:
    def pick(found: dict[str, Any]) -> float | None:
        value = found["roles"][who].get(what)
        return None if value is None else value * scale

    return pick


def start_metric(what: str, scale: float = 1.0) -> Selector:
    return lambda found: found["start"]["junction"][what] * scale if found["start"] else None


def memory_metric(who: str) -> Selector:
    return lambda found: found["memory"].get(who, {}).get("held_mb")


def slowest_change(found: dict[str, Any]) -> float | None:
    values = [one["at_all_s"] for one in found["changes"] if one["at_all_s"] is not None]
    return max(values) if values else None


METRICS = (
    Metric("a junction's processor time", "ms/s", role_metric("junction", "processor_ms_s"), 26.0),
    Metric("a junction's bytes in", "kB/s", role_metric("junction", "in_bytes_s", 1e-3), 7.0),
    Metric("a junction's memory", "MB", memory_metric("junction"), 32.0),
    Metric("a signalbox's processor time", "ms/s", role_metric("signalbox", "processor_ms_s"), 1000.0),
    Metric("a signalbox's bytes out", "kB/s", role_metric("signalbox", "out_bytes_s", 1e-3)),
    Metric("a signalbox's messages out", "1/s", role_metric("signalbox", "out_messages_s")),
    Metric("a signalbox's memory", "MB", memory_metric("signalbox")),
    Metric("a junction's start, bytes", "kB", start_metric("bytes", 1e-3)),
    Metric("a junction's start, processor time", "ms", start_metric("processor_ms")),
    Metric("a change in force everywhere", "s", slowest_change, 4.0),
)


@dataclass(frozen=True, slots=True)
class LinearFit:
    """y = base + slope * x by least squares of relative deviations. `off`: the largest of those."""

    base: float
    slope: float
    max_deviation: float
    exponent: float  # of the upper half of the points, by logarithms

    def at(self, x: float) -> float:
        return self.base + self.slope * x


def fit_line(points: Sequence[tuple[float, float]]) -> LinearFit | None:
    points = [(x, y) for x, y in points if y > 0]
    if len({x for x, _ in points}) < 2:
        return None
    w = [1 / y**2 for _, y in points]
    sw = sum(w)
    mx = sum(a * x for a, (x, _) in zip(w, points, strict=True)) / sw
    my = sum(a * y for a, (_, y) in zip(w, points, strict=True)) / sw
    sxx = sum(a * (x - mx) ** 2 for a, (x, _) in zip(w, points, strict=True))
    slope = sum(a * (x - mx) * (y - my) for a, (x, y) in zip(w, points, strict=True)) / sxx
    base = my - slope * mx
    off = max(abs(base + slope * x - y) / y for x, y in points)
    return LinearFit(base, slope, off, power_exponent(points))


def power_exponent(points: Sequence[tuple[float, float]]) -> float:
    points = sorted(p for p in points if p[0] > 0)
    xs = sorted({x for x, _ in points})
    upper = [(math.log(x), math.log(y)) for x, y in points if x >= xs[len(xs) // 2 - (len(xs) < 4)]]
    mx, my = mean(x for x, _ in upper), mean(y for _, y in upper)
    spread = sum((x - mx) ** 2 for x, _ in upper)
    return sum((x - mx) * (y - my) for x, y in upper) / spread if spread else 0.0


def fraction_of_target(found: dict[str, Any]) -> float:
    """Which part of the target's every size was played; 0 if they are no such parts."""
    asked = found["asked"]
    part: float = round(asked["backends"] / TARGET_SIZES["backends"], 3)
    fits = all(asked[name] == max(1, round(TARGET_SIZES[name] * part)) for name in SCALED_SIZES)
    return part if fits and asked["zones"] == TARGET_SIZES["zones"] else 0.0


def axis_value(found: dict[str, Any], axis: str) -> float:
    return fraction_of_target(found) if axis == "target" else float(found["asked"][axis])


def results_by_axis(results: Iterable[dict[str, Any]]) -> dict[str, list[dict[str, Any]]]:
    """Results by the axis along which they differ from the most usual of the file's values."""
    results = [r for r in results if r["complete"] and not r["loss"]]
    if parts := [r for r in results if fraction_of_target(r)]:
        return {"target": parts, **results_by_axis(r for r in results if not fraction_of_target(r))}
    usual: dict[str, Any] = {}
    for name in AXES:
        values = [r["asked"][name] for r in results]
        usual[name] = max(set(values), key=values.count) if values else None
    found: dict[str, list[dict[str, Any]]] = {}
    for name in AXES:
        rows = [r for r in results if all(r["asked"][o] == usual[o] for o in AXES if o != name)]
        if len({r["asked"][name] for r in rows}) > 1:
            found[name] = rows
    return found


def build_report(results: list[dict[str, Any]]) -> tuple[str, str]:
    """Markdown tables, and a plot of each row, of the axes along which the results of one file differ."""
    text, pictures = [], []
    for axis, rows in results_by_axis(results).items():
        text += ["", f"### {axis}", ""]
        xs = sorted({axis_value(r, axis) for r in rows})
        head = [f"{x:g}" for x in xs]
        end = f"{TARGET_SIZES[axis]:g}"
        text += [
            "| | " + " | ".join(head) + f" | fit | off by | power | at {end} by the fit | by the power |",
            "|" + "---|" * (len(head) + 6),
        ]
        pictures.append(f"<h2>{axis}</h2>")
        for figure in METRICS:
            points = [(axis_value(r, axis), y) for r in rows if (y := figure.select(r)) is not None]
            if len({x for x, _ in points}) < 2:
                continue
            cells = [format_cell([y for x, y in points if x == at]) for at in xs]
            found = fit_line(points)
            tail = [""] * 5
            if found:
                top = max(x for x, _ in points)
                mark = "" if top >= TARGET_SIZES[axis] else " x"
                last = mean(y for x, y in points if x == top)
                by_power = last * (TARGET_SIZES[axis] / top) ** found.exponent
                tail = [
                    f"{format_number(found.base)} + {format_number(found.slope)} n",
                    f"{found.max_deviation:.0%}",
                    f"{found.exponent:.2f}",
                    format_number(found.at(TARGET_SIZES[axis])) + mark,
                    format_number(by_power) + mark,
                ]
            text.append(f"| {figure.name}, {figure.unit} | " + " | ".join([*cells, *tail]) + " |")
            pictures.append(draw_plot(f"{figure.name}, {figure.unit}", axis, points, found, figure.budget))
        text += ["", *processor_breakdown([r for r in rows if axis_value(r, axis) == max(xs)], max(xs))]
    return "\n".join(text).strip(), "\n".join(pictures)


def build_page(pictures: list[str]) -> str:
    head = (
        "<!doctype html><meta charset=utf-8><title>lab scale</title>"
        "<style>body{font:14px sans-serif;margin:2em}svg{margin:4px}</style>"
        "<h1>Measured points, fit and budget</h1>"
        "<p>Dots: runs. Line: base + slope n, to the largest point or the target. Dashed: the budget.</p>\n"
    )
    return head + "\n".join(pictures) + "\n"


def processor_breakdown(rows: list[dict[str, Any]], at: float) -> list[str]:
    """What each role's processor time consists of, the largest first."""
    lines = []
    for who in ("junction", "signalbox"):
        names: dict[str, list[float]] = {}
        for found in rows:
            for part, ms in found["roles"][who]["parts_ms_s"].items():
                names.setdefault(part, []).append(ms)
        most = sorted(((mean(values), name) for name, values in names.items()), reverse=True)[:5]
        named = ", ".join(f"{name} {format_number(ms)}" for ms, name in most)
        lines.append(f"At {at:g} a {who}'s: {named} ms/s.")
    return lines


def format_number(value: float) -> str:
    return f"{value:.3g}" if abs(value) < 1000 else f"{value:,.0f}"


def format_cell(values: list[float]) -> str:
    """Mean, and half of what lies between the least and the most as a part of it."""
    if not values:
        return ""
    middle = mean(values)
    spread = (max(values) - min(values)) / 2 / middle if middle else 0.0
    return format_number(middle) + (f" ±{spread:.0%}" if len(values) > 1 and spread >= 0.005 else "")


def draw_plot(
    title: str,
    axis: str,
    points: list[tuple[float, float]],
    found: LinearFit | None,
    budget: float | None,
    wide: int = 420,
    high: int = 260,
) -> str:
    """Both scales logarithmic."""
    points = [(x, y) for x, y in points if x > 0 and y > 0]
    if not points:
        return ""
    end = TARGET_SIZES[axis]
    xs = [x for x, _ in points] + [end]
    ys = [y for _, y in points] + ([budget] if budget else [])
    if found and found.at(end) > 0:
        ys.append(found.at(end))
    low_x, top_x = math.log10(min(xs)) - 0.05, math.log10(max(xs)) + 0.05
    low_y, top_y = math.log10(min(ys)) - 0.1, math.log10(max(ys)) + 0.1

    def spot(x: float, y: float) -> tuple[float, float]:
        return (
            50 + (math.log10(x) - low_x) / (top_x - low_x) * (wide - 60),
            high - 30 - (math.log10(y) - low_y) / (top_y - low_y) * (high - 60),
        )

    marks = []
    for k in range(math.ceil(low_x), math.floor(top_x) + 1):
        at = spot(10.0**k, 10**low_y)
        marks.append(
            f'<text x="{at[0]:.0f}" y="{high - 14}" text-anchor="middle">{10.0**k:g}</text>'
            f'<path d="M{at[0]:.0f} 30V{high - 30}" stroke="#ddd"/>'
        )
    for k in range(math.ceil(low_y), math.floor(top_y) + 1):
        at = spot(10**low_x, 10.0**k)
        marks.append(
            f'<text x="46" y="{at[1] + 4:.0f}" text-anchor="end">{10.0**k:g}</text>'
            f'<path d="M50 {at[1]:.0f}H{wide - 10}" stroke="#ddd"/>'
        )
    if found:
        steps = [10 ** (low_x + (math.log10(max(xs)) - low_x) * k / 40) for k in range(41)]
        way = [spot(x, found.at(x)) for x in steps if found.at(x) > 0 and math.log10(found.at(x)) >= low_y]
        marks.append(
            '<polyline fill="none" stroke="#27c" points="'
            + " ".join(f"{x:.1f},{y:.1f}" for x, y in way)
            + '"/>'
        )
    if budget:
        y = spot(xs[0], budget)[1]
        marks.append(f'<path d="M50 {y:.1f}H{wide - 10}" stroke="#c33" stroke-dasharray="5 4"/>')
    marks += [f'<circle cx="{spot(x, y)[0]:.1f}" cy="{spot(x, y)[1]:.1f}" r="3"/>' for x, y in points]
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{wide}" height="{high}" font-size="11" '
        f'font-family="sans-serif"><text x="50" y="18" font-size="13">{escape(title)} by {axis}</text>'
        + "".join(marks)
        + "</svg>"
    )
