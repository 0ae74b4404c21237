"""Reports of `lab scale`: measured points, a fit with its deviation, and its prediction for the target."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from statistics import mean
from typing import Any

from meadowworks.simulation.scale.linear_fit import LinearFit, Point, fit_line
from meadowworks.simulation.scale.plot import draw_plot
from meadowworks.simulation.scale.series import SCALED_SIZES, TARGET_SIZES

AXES = tuple(name for name in TARGET_SIZES if name != "target")
PARTS_SHOWN = 5  # the largest parts of a role's processor time
RunResult = dict[str, Any]  # the JSON object of one run of `lab scale`
Selector = Callable[[RunResult], float | None]


@dataclass(frozen=True, slots=True)
class Metric:
    """A measured quantity; `budget` is the users' limit in the same unit, if any."""

    name: str
    unit: str
    select: Selector
    budget: float | None = None


def role_metric(role: str, field: str, factor: float = 1.0) -> Selector:
    """Return a selector of a role's figure, multiplied by a unit conversion factor."""

    def select(result: RunResult) -> float | None:
        value = result["roles"][role].get(field)
        return None if value is None else value * factor

    return select


def start_metric(field: str, factor: float = 1.0) -> Selector:
    """Return a selector of a figure of a proxy's start, multiplied by a unit conversion factor."""
    return lambda result: result["start"]["junction"][field] * factor if result["start"] else None


def memory_metric(role: str) -> Selector:
    """Return a selector of the memory of one program of a role."""
    return lambda result: result["memory"].get(role, {}).get("held_mb")


def slowest_change(result: RunResult) -> float | None:
    """Return the longest time until a configuration change was applied everywhere, None without changes."""
    values = [change["at_all_s"] for change in result["changes"] if change["at_all_s"] is not None]
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


def fraction_of_target(result: RunResult) -> float:
    """Return the simulated fraction of the target's sizes; 0 if the sizes have different fractions."""
    settings = result["asked"]
    fraction: float = round(settings["backends"] / TARGET_SIZES["backends"], 3)
    fits = all(settings[name] == max(1, round(TARGET_SIZES[name] * fraction)) for name in SCALED_SIZES)
    return fraction if fits and settings["zones"] == TARGET_SIZES["zones"] else 0.0


def axis_value(result: RunResult, axis: str) -> float:
    """Return a result's value on an axis."""
    return fraction_of_target(result) if axis == "target" else float(result["asked"][axis])


def results_by_axis(results: Iterable[RunResult]) -> dict[str, list[RunResult]]:
    """Group results by the axis along which they differ from the most common values."""
    results = [result for result in results if result["complete"] and not result["loss"]]
    if of_target := [result for result in results if fraction_of_target(result)]:
        others = (result for result in results if not fraction_of_target(result))
        return {"target": of_target, **results_by_axis(others)}
    common_values: dict[str, Any] = {}
    for axis in AXES:
        values = [result["asked"][axis] for result in results]
        common_values[axis] = max(set(values), key=values.count) if values else None
    groups: dict[str, list[RunResult]] = {}
    for axis in AXES:
        varying = [
            result
            for result in results
            if all(result["asked"][name] == common_values[name] for name in AXES if name != axis)
        ]
        if len({result["asked"][axis] for result in varying}) > 1:
            groups[axis] = varying
    return groups


def build_report(results: Sequence[RunResult]) -> tuple[str, str]:
    """Return Markdown tables and SVG plots, for each axis along which the results differ."""
    text, plots = [], []
    for axis, rows in results_by_axis(results).items():
        xs = sorted({axis_value(result, axis) for result in rows})
        target = TARGET_SIZES[axis]
        text += ["", f"### {axis}", "", *_table_head(xs, target)]
        plots.append(f"<h2>{axis}</h2>")
        for metric in METRICS:
            points = [
                (axis_value(result, axis), y) for result in rows if (y := metric.select(result)) is not None
            ]
            if len({x for x, _ in points}) < 2:
                continue
            fit = fit_line(points)
            title = f"{metric.name}, {metric.unit}"
            text.append(_table_row(title, xs, points, fit, target))
            plots.append(draw_plot(title, axis, points, fit, metric.budget, target))
        largest = [result for result in rows if axis_value(result, axis) == max(xs)]
        text += ["", *processor_breakdown(largest, max(xs))]
    return "\n".join(text).strip(), "\n".join(plots)


def _table_head(xs: Sequence[float], target: float) -> list[str]:
    columns = " | ".join(f"{x:g}" for x in xs)
    return [
        f"| | {columns} | fit | off by | power | at {target:g} by the fit | by the power |",
        "|" + "---|" * (len(xs) + 6),
    ]


def _table_row(
    title: str, xs: Sequence[float], points: Sequence[Point], fit: LinearFit | None, target: float
) -> str:
    cells = [format_cell([y for x, y in points if x == at]) for at in xs]
    cells += _predictions(points, fit, target) if fit else [""] * 5
    return f"| {title} | " + " | ".join(cells) + " |"


def _predictions(points: Sequence[Point], fit: LinearFit, target: float) -> list[str]:
    """Return the cells of the fit, and the predictions for the target by the line and by the power law."""
    largest_x = max(x for x, _ in points)
    extrapolated = "" if largest_x >= target else " x"
    last = mean(y for x, y in points if x == largest_x)
    by_power = last * (target / largest_x) ** fit.exponent
    return [
        f"{format_number(fit.base)} + {format_number(fit.slope)} n",
        f"{fit.max_deviation:.0%}",
        f"{fit.exponent:.2f}",
        format_number(fit.at(target)) + extrapolated,
        format_number(by_power) + extrapolated,
    ]


def build_page(plots: Sequence[str]) -> str:
    """Return an HTML page of the plots."""
    head = (
        "<!doctype html><meta charset=utf-8><title>lab scale</title>"
        "<style>body{font:14px sans-serif;margin:2em}svg{margin:4px}</style>"
        "<h1>Measured points, fit and budget</h1>"
        "<p>Dots: runs. Line: base + slope n, to the largest point or the target. Dashed: the budget.</p>\n"
    )
    return head + "\n".join(plots) + "\n"


def processor_breakdown(results: Sequence[RunResult], size: float) -> list[str]:
    """Return a line for each role with the largest parts of its processor time."""
    lines = []
    for role in ("junction", "signalbox"):
        ms_by_part: dict[str, list[float]] = {}
        for result in results:
            for part, ms in result["roles"][role]["parts_ms_s"].items():
                ms_by_part.setdefault(part, []).append(ms)
        largest = sorted(((mean(values), part) for part, values in ms_by_part.items()), reverse=True)
        named = ", ".join(f"{part} {format_number(ms)}" for ms, part in largest[:PARTS_SHOWN])
        lines.append(f"At {size:g} a {role}'s: {named} ms/s.")
    return lines


def format_number(value: float) -> str:
    """Format a number with three digits, or from 1000 as an integer with commas."""
    return f"{value:.3g}" if abs(value) < 1000 else f"{value:,.0f}"


def format_cell(values: Sequence[float]) -> str:
    """Format the mean, and half the range as a percentage of the mean."""
    if not values:
        return ""
    middle = mean(values)
    spread = (max(values) - min(values)) / 2 / middle if middle else 0.0
    return format_number(middle) + (f" ±{spread:.0%}" if len(values) > 1 and spread >= 0.005 else "")
