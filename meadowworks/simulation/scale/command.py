"""`lab scale` and `lab report`: simulations of a deployment, and reports of their results."""

from __future__ import annotations

import json
import math
import os
import sys
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from meadowworks.cli.errors import CommandError
from meadowworks.simulation.scale import report, series
from meadowworks.simulation.scale.settings import LOSSES, ScaleSettings
from meadowworks.simulation.scale.simulation import measure

MAX_CONTROL_PLANES = 16
MAX_PROCESSES = 16
EXIT_INTERRUPTED = 130  # exit code of an incomplete run, as a shell's for Ctrl-C


@dataclass(frozen=True, slots=True)
class SeriesSettings:
    """The runs to make: one, several with successive seeds, or a series along an axis."""

    axis: str
    points: str
    runs: int
    processes: int


def run_scale(settings: ScaleSettings, plan: SeriesSettings, results_file: Path | None, as_json: bool) -> int:
    """Run one simulation or a series and print the results.

    :param results_file: a file to which each result is appended as a line of JSON.
    :returns: an exit code, `EXIT_INTERRUPTED` if a run was not completed.
    :raises CommandError: for invalid settings.
    """
    check_settings(settings)
    if plan.runs < 1 or not 1 <= plan.processes <= MAX_PROCESSES:
        raise CommandError(f"--runs must be 1 or more, --processes from 1 to {MAX_PROCESSES}")
    if plan.axis or plan.runs > 1:
        return run_all(settings, plan, results_file, as_json)
    result = measure(settings, print_progress)
    append_result(results_file, result)
    print(json.dumps(result) if as_json else format_result(result))
    return 0 if result["complete"] else EXIT_INTERRUPTED


def run_all(settings: ScaleSettings, plan: SeriesSettings, results_file: Path | None, as_json: bool) -> int:
    """Run a series, each run in a separate process."""
    all_settings = list(expand_series(settings, plan))
    for run_settings in all_settings:
        check_settings(run_settings)
    results = []
    complete = True
    try:
        for result in series.run_series(all_settings, plan.processes, print_progress):
            append_result(results_file, result)
            results.append(result)
            if not as_json:
                print(format_result(result), flush=True)
    except KeyboardInterrupt:
        complete = False
    if as_json:
        print(json.dumps({"complete": complete, "points": results}))
    return 0 if complete else EXIT_INTERRUPTED


def expand_series(settings: ScaleSettings, plan: SeriesSettings) -> Iterator[ScaleSettings]:
    """Yield the settings of each run: for each point, one run for each seed.

    :raises CommandError: for an unknown axis, or points that are not numbers.
    """
    if plan.axis and plan.axis not in series.AXIS_VALUES:
        raise CommandError(f"there is no axis {plan.axis!r}: there are {', '.join(series.AXIS_VALUES)}")
    values = parse_numbers(plan.points) or series.AXIS_VALUES.get(plan.axis, (0,))
    for value in values:
        at_point = series.settings_at(settings, plan.axis, value) if plan.axis else settings
        for run in range(plan.runs):
            yield replace(at_point, seed=settings.seed + run)


def check_settings(settings: ScaleSettings) -> None:
    """Check that a deployment can be simulated.

    :raises CommandError: for settings out of range.
    """
    if not 1 <= settings.boxes <= MAX_CONTROL_PLANES or settings.controllers <= settings.boxes:
        raise CommandError(
            f"--boxes must be from 1 to {MAX_CONTROL_PLANES}, and there must be more --controllers than that"
        )
    sizes = (settings.zones, settings.backends, settings.services, settings.routes, settings.whole)
    if min(sizes) < 1 or not settings.seconds > 0:
        raise CommandError(
            "--zones, --backends, --services, --routes and --whole must be 1 or more, --seconds above 0"
        )
    rates = (settings.changes, settings.churn, settings.requests)
    if min(rates) < 0 or not math.isfinite(sum(rates) + settings.seconds):
        raise CommandError("--changes, --churn and --requests must be 0 or more")
    if not settings.most_mb > 0:
        raise CommandError("--most-mb must be above 0")
    if settings.loss and settings.loss not in LOSSES:
        raise CommandError(f"there is no loss {settings.loss!r}: there are {', '.join(LOSSES)}")


def parse_numbers(text: str) -> tuple[float, ...]:
    """Parse numbers separated by commas.

    :raises CommandError: for any other text.
    """
    try:
        return tuple(float(part) for part in text.split(",")) if text else ()
    except ValueError:
        raise CommandError(f"--points must be numbers separated by commas, not {text[:40]!r}") from None


def print_progress(line: str) -> None:
    """Print the progress of a run on standard error, except in a child process of a series."""
    if series.QUIET_VARIABLE not in os.environ:
        print(f"lab scale: {line}", file=sys.stderr, flush=True)


def append_result(file: Path | None, result: dict[str, Any]) -> None:
    """Append a result to a file, if one is given."""
    if file:
        file.parent.mkdir(parents=True, exist_ok=True)
        with file.open("a") as out:
            out.write(json.dumps(result) + "\n")


def format_result(result: dict[str, Any]) -> str:
    """Format a result as lines for a terminal."""
    settings = result["asked"]
    sizes = ", ".join(f"{name} {settings[name]:g}" for name in series.TARGET_SIZES if name in settings)
    lines = [sizes if result["complete"] else f"{sizes} (incomplete: {result['why']})"]
    for name, role in result["roles"].items():
        if role:
            lines.append(_format_role(name, role, result["memory"].get(name, {}).get("held_mb")))
    for change in result["changes"]:
        shown = (
            f"{name} {value:.3f}" if value is not None else f"{name} not in time"
            for name, value in change.items()
        )
        lines.append(f"  configuration change: {', '.join(shown)}")
    for name, rows in result.get("profile", {}).items():
        lines.append(f"  {name}, share of the time by function, with and without its callees:")
        lines += [f"    {r['whole']:.2f} {r['own']:.2f} {r['function']}, {r['calls']} calls" for r in rows]
    if result["loss"]:
        lines.append(f"  loss: {json.dumps(result['loss'])}")
    return "\n".join(lines)


def _format_role(name: str, role: dict[str, Any], memory_mb: float | None) -> str:
    memory = f", {memory_mb:.2f} MB" if memory_mb is not None else ""
    return (
        f"  {name:9} x {role['controllers']}: {role['processor_ms_s']:.2f} ms of processor a second, "
        f"in {role['in_bytes_s'] / 1000:.2f} kB, out {role['out_bytes_s'] / 1000:.2f} kB, "
        f"{role['out_messages_s']:.2f} messages{memory}"
    )


def write_report(files: Sequence[Path], page: Path | None) -> int:
    """Print Markdown tables of kept results, and write a page of plots if one is named.

    :raises CommandError: without files, and for files that contain no results.
    """
    if not files:
        raise CommandError("report wants the files that scale has kept")
    reports = [_report_of(file) for file in files]
    if page:
        page.write_text(report.build_page([plots for _, plots in reports]))
    print("\n\n".join(text for text, _ in reports))
    return 0


def _report_of(file: Path) -> tuple[str, str]:
    try:
        results = [json.loads(line) for line in file.read_text().splitlines() if line.strip()]
        return report.build_report(results)
    except (OSError, ValueError) as error:
        raise CommandError(f"{file}: {error}") from None
    except (KeyError, TypeError) as error:
        raise CommandError(f"{file}: these are no results of scale: {error}") from None
