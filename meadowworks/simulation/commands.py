"""`meadowworks lab`: measurements of the product's own machines, without a bench."""

from __future__ import annotations

import json
import math
import os
import sys
from dataclasses import replace
from pathlib import Path
from typing import Annotated, Any

from cappa import Arg

from meadowworks.cli.main import CommandError
from meadowworks.simulation import cost, report, scale, series

WHAT = (
    "cost: of joins, reports, ticks, routes, at two sizes; control: days of losses; "
    "scale: hollow controllers at a size; report: a page of what scale has kept"
)


def lab(
    what: Annotated[str, Arg(help=WHAT)],
    files: Annotated[list[Path] | None, Arg(help="report: what scale has kept")] = None,
    controllers: Annotated[int, Arg(long=True, help="junctions and signalboxes together")] = 30,
    boxes: Annotated[int, Arg(long=True, help="signalboxes among them")] = 3,
    zones: Annotated[int, Arg(long=True, help="zones, four to a region")] = 4,
    backends: Annotated[int, Arg(long=True, help="backends")] = 100,
    services: Annotated[int, Arg(long=True, help="services")] = 10,
    routes: Annotated[int, Arg(long=True, help="routes of the configuration")] = 100,
    changes: Annotated[float, Arg(long=True, help="of the configuration, an hour")] = 0.0,
    churn: Annotated[float, Arg(long=True, help="lives that end and are followed by another, an hour")] = 0.0,
    requests: Annotated[float, Arg(long=True, help="a second and junction")] = 190.0,
    seconds: Annotated[float, Arg(long=True, help="simulated seconds that are counted")] = 10.0,
    whole: Annotated[int, Arg(long=True, help="junctions that are played whole")] = 4,
    seed: Annotated[int, Arg(long=True, help="of what is drawn")] = 1,
    cpu: Annotated[
        bool, Arg(long="--cpu/--no-cpu", help="whether processor time delays what comes after it")
    ] = True,
    memory: Annotated[bool, Arg(long="--memory/--no-memory", help="measure a start and memory too")] = True,
    loss: Annotated[str, Arg(long=True, help=f"what is lost: {', '.join(scale.LOSSES)}")] = "",
    profile: Annotated[
        bool, Arg(long="--profile/--no-profile", help="where each role's time goes, by function")
    ] = False,
    most_mb: Annotated[float, Arg(long=True, help="of memory in a process; beyond it a run ends")] = 4000.0,
    axis: Annotated[str, Arg(long=True, help=f"a series along one of {', '.join(series.AXIS_VALUES)}")] = "",
    points: Annotated[str, Arg(long=True, help="of the series, with commas between")] = "",
    runs: Annotated[int, Arg(long=True, help="of each point, with other seeds")] = 1,
    processes: Annotated[int | None, Arg(long=True, help="at once, 16 at most; else 1, control 4")] = None,
    keep: Annotated[Path | None, Arg(long=True, help="a file that each result is added to")] = None,
    page: Annotated[Path | None, Arg(long=True, help="report: the HTML page to write")] = None,
    point: Annotated[int, Arg(long=True, help="control: of the letter, from 1")] = 1,
    seeds: Annotated[str, Arg(long=True, help="control: the days, A:B without B")] = "0:100",
    without: Annotated[str, Arg(long=True, help="control: a guard that is taken out")] = "",
    guards: Annotated[bool, Arg(long=True, help="control: list the guards")] = False,
    as_json: Annotated[bool, Arg(long="--json", help="one JSON object on standard output")] = False,
) -> int:
    """Measures the product's machines: as ratios within one run, on days of losses in simulated time, or at a
    size with hollow controllers."""
    if what == "cost":
        return cost.main()
    if what == "control":
        from meadowworks.simulation.control import command  # needs apsw

        workers = 4 if processes is None else processes
        return command.run_control(point, seeds, without, guards, workers, as_json)
    if what == "report":
        return write_report(files or [], page)
    if what != "scale":
        raise CommandError(f"there is no measurement {what!r}: there are cost, control, scale and report")
    asked = scale.ScaleSettings(
        controllers,
        boxes,
        zones,
        backends,
        services,
        routes,
        changes,
        churn,
        requests,
        seconds,
        whole,
        seed,
        cpu,
        memory,
        loss,
        profile,
        most_mb,
    )
    check_settings(asked)
    many = 1 if processes is None else processes
    if runs < 1 or not 1 <= many <= 16:
        raise CommandError("--runs is 1 or more, --processes from 1 to 16")
    if not axis and runs == 1:
        found = scale.measure(asked, print_progress)
        append_result(keep, found)
        print(json.dumps(found) if as_json else format_result(found))
        return 0 if found["complete"] else 130
    if axis and axis not in series.AXIS_VALUES:
        raise CommandError(f"there is no axis {axis!r}: there are {', '.join(series.AXIS_VALUES)}")
    values = parse_numbers(points) or series.AXIS_VALUES.get(axis, (0,))
    wanted = [
        replace(one, seed=seed + run)
        for value in values
        for run in range(runs)
        for one in [series.settings_at(asked, axis, value) if axis else asked]
    ]
    for one in wanted:
        check_settings(one)
    found_all = []
    complete = True
    try:
        for found in series.run_series(wanted, many, print_progress):
            append_result(keep, found)
            found_all.append(found)
            if not as_json:
                print(format_result(found), flush=True)
    except KeyboardInterrupt:
        complete = False
    except RuntimeError as trouble:
        raise CommandError(str(trouble)) from None
    if as_json:
        print(json.dumps({"complete": complete, "points": found_all}))
    return 0 if complete else 130


def check_settings(settings: scale.ScaleSettings) -> None:
    """Raises Bad for what cannot be played."""
    if not 1 <= settings.boxes <= 16 or settings.controllers <= settings.boxes:
        raise CommandError("--boxes is from 1 to 16, and there are more --controllers than that")
    least = min(settings.zones, settings.backends, settings.services, settings.routes, settings.whole)
    if least < 1 or not settings.seconds > 0:
        raise CommandError(
            "--zones, --backends, --services, --routes and --whole are 1 or more, --seconds above 0"
        )
    if min(settings.changes, settings.churn, settings.requests) < 0 or not math.isfinite(
        settings.changes + settings.churn + settings.requests + settings.seconds
    ):
        raise CommandError("--changes, --churn and --requests are 0 or more")
    if not settings.most_mb > 0:
        raise CommandError("--most-mb is above 0")
    if settings.loss and settings.loss not in scale.LOSSES:
        raise CommandError(f"there is no loss {settings.loss!r}: there are {', '.join(scale.LOSSES)}")


def parse_numbers(text: str) -> tuple[float, ...]:
    try:
        return tuple(float(part) for part in text.split(",")) if text else ()
    except ValueError:
        raise CommandError(f"--points are numbers with commas between, not {text[:40]!r}") from None


def print_progress(line: str) -> None:
    if series.QUIET_VARIABLE not in os.environ:
        print(f"lab scale: {line}", file=sys.stderr, flush=True)


def append_result(file: Path | None, found: dict[str, Any]) -> None:
    if file:
        file.parent.mkdir(parents=True, exist_ok=True)
        with file.open("a") as out:
            out.write(json.dumps(found) + "\n")


def format_result(found: dict[str, Any]) -> str:
    asked = found["asked"]
    lines = [
        ", ".join(f"{name} {asked[name]:g}" for name in series.TARGET_SIZES if name in asked)
        + ("" if found["complete"] else f" (not to its end: {found['why']})")
    ]
    for name, role in found["roles"].items():
        if role:
            memory = found["memory"].get(name, {}).get("held_mb")
            lines.append(
                f"  {name:9} x {role['controllers']}: {role['processor_ms_s']:.2f} ms of processor a second, "
                f"in {role['in_bytes_s'] / 1000:.2f} kB, out {role['out_bytes_s'] / 1000:.2f} kB, "
                f"{role['out_messages_s']:.2f} messages"
                + (f", {memory:.2f} MB" if memory is not None else "")
            )
    for one in found["changes"]:
        shown = (f"{n} {v:.3f}" if v is not None else f"{n} not in time" for n, v in one.items())
        lines.append(f"  a change: {', '.join(shown)}")
    for name, rows in found.get("profile", {}).items():
        lines.append(f"  {name}, parts with and without what a function calls:")
        lines += [f"    {r['whole']:.2f} {r['own']:.2f} {r['function']}, {r['calls']} calls" for r in rows]
    if found["loss"]:
        lines.append(f"  loss: {json.dumps(found['loss'])}")
    return "\n".join(lines)


def write_report(files: list[Path], page: Path | None) -> int:
    if not files:
        raise CommandError("report wants the files that scale has kept")
    texts, pages = [], []
    for file in files:
        try:
            results = [json.loads(line) for line in file.read_text().splitlines() if line.strip()]
            text, plots = report.build_report(results)
        except (OSError, ValueError) as trouble:
            raise CommandError(f"{file}: {trouble}") from None
        except (KeyError, TypeError) as trouble:
            raise CommandError(f"{file}: these are no results of scale: {trouble}") from None
        texts.append(text)
        pages.append(plots)
    text, html = "\n\n".join(texts), report.build_page(pages)
    if page:
        page.write_text(html)
    print(text)
    return 0
