"""What `lab scale` has measured: points, a fit with its deviation, and what that predicts for the target."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from statistics import mean
from typing import Any

from meadowworks.simulation.scale.linear_fit import LinearFit, Point, fit_line
from meadowworks.simulation.scale.plot import draw_plot
from meadowworks.simulation.scale.series import SCALED_SIZES, TARGET_SIZES

AXES = tuple(name for name in TARGET_SIZES if name != "target")
PARTS_SHOWN = 5  # of a role's processor time, the largest
RunResult = dict[str, Any]  # the JSON object of one run of `lab scale`
Selector = Callable[[RunResult], float | None]


@dataclass(frozen=True, slots=True)
class Metric:
    """A measured quantity; `budget` is in the same unit, if the users named one."""

    name: str
    unit: str
    select: Selector
    budget: float | None = None


def role_metric(role: str, field: str, factor: float = 1.0) -> Selector:
    """Select a figure of one role's, times a factor that changes its unit."""

    def select(result: RunResult) -> float | None:
        value = result["roles"][role].get(field)
        return None if value is None else value * factor

    return select


def start_metric(field: str, factor: float = 1.0) -> Selector:
    """Select a figure of a proxy's start, times a factor that changes its unit."""
    return lambda result: result["start"]["junction"][field] * factor if result["start"] else None


def memory_metric(role: str) -> Selector:
    """Select the memory that one program of a role holds."""
    return lambda result: result["memory"].get(role, {}).get("held_mb")


def slowest_change(result: RunResult) -> float | None:
    """Select the longest time after which a change of the configuration was in force everywhere."""
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
    """Return which fraction of the target's every size was simulated; 0 if the sizes are no such fraction."""
    settings = result["asked"]
    fraction: float = round(settings["backends"] / TARGET_SIZES["backends"], 3)
    fits = all(settings[name] == max(1, round(TARGET_SIZES[name] * fraction)) for name in SCALED_SIZES)
    return fraction if fits and settings["zones"] == TARGET_SIZES["zones"] else 0.0


def axis_value(result: RunResult, axis: str) -> float:
    """Return where on an axis a result stands."""
    return fraction_of_target(result) if axis == "target" else float(result["asked"][axis])


def results_by_axis(results: Iterable[RunResult]) -> dict[str, list[RunResult]]:
    """Group results by the axis along which they differ from the most usual of the file's values."""
    results = [one for one in results if one["complete"] and not one["loss"]]
    if of_target := [one for one in results if fraction_of_target(one)]:
        others = (one for one in results if not fraction_of_target(one))
        return {"target": of_target, **results_by_axis(others)}
    usual: dict[str, Any] = {}
    for axis in AXES:
        values = [one["asked"][axis] for one in results]
        usual[axis] = max(set(values), key=values.count) if values else None
    found: dict[str, list[RunResult]] = {}
    for axis in AXES:
        others_usual = [
            one for one in results if all(one["asked"][name] == usual[name] for name in AXES if name != axis)
        ]
        if len({one["asked"][axis] for one in others_usual}) > 1:
            found[axis] = others_usual
    return found


def build_report(results: Sequence[RunResult]) -> tuple[str, str]:
    """Return Markdown tables and SVG plots of the axes along which the results of one file differ."""
    text, plots = [], []
    for axis, rows in results_by_axis(results).items():
        xs = sorted({axis_value(one, axis) for one in rows})
        target = TARGET_SIZES[axis]
        text += ["", f"### {axis}", "", *_table_head(xs, target)]
        plots.append(f"<h2>{axis}</h2>")
        for metric in METRICS:
            points = [(axis_value(one, axis), y) for one in rows if (y := metric.select(one)) is not None]
            if len({x for x, _ in points}) < 2:
                continue
            fit = fit_line(points)
            title = f"{metric.name}, {metric.unit}"
            text.append(_table_row(title, xs, points, fit, target))
            plots.append(draw_plot(title, axis, points, fit, metric.budget, target))
        largest = [one for one in rows if axis_value(one, axis) == max(xs)]
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
    """Return the fit in figures, and what it and the power of growth predict for the target."""
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
    """Return an HTML page of plots."""
    head = (
        "<!doctype html><meta charset=utf-8><title>lab scale</title>"
        "<style>body{font:14px sans-serif;margin:2em}svg{margin:4px}</style>"
        "<h1>Measured points, fit and budget</h1>"
        "<p>Dots: runs. Line: base + slope n, to the largest point or the target. Dashed: the budget.</p>\n"
    )
    return head + "\n".join(plots) + "\n"


def processor_breakdown(results: Sequence[RunResult], size: float) -> list[str]:
    """Say what each role's processor time consists of, the largest parts first."""
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
    """Return three digits, or thousands with commas."""
    return f"{value:.3g}" if abs(value) < 1000 else f"{value:,.0f}"


def format_cell(values: Sequence[float]) -> str:
    """Return the mean, and half of what lies between the least and the greatest as a part of it."""
    if not values:
        return ""
    middle = mean(values)
    spread = (max(values) - min(values)) / 2 / middle if middle else 0.0
    return format_number(middle) + (f" ±{spread:.0%}" if len(values) > 1 and spread >= 0.005 else "")
