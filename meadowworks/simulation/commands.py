"""`meadowworks lab`: measurements of the product's own state machines, without a bench."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from cappa import Arg

from meadowworks.cli.errors import CommandError
from meadowworks.simulation import cost
from meadowworks.simulation.scale.command import SeriesSettings, run_scale, write_report
from meadowworks.simulation.scale.series import AXIS_VALUES
from meadowworks.simulation.scale.settings import LOSSES, ScaleSettings

WHAT = (
    "cost: of joins, reports, ticks, routes, at two sizes; control: consensus under losses; "
    "scale: programs without sockets at a size; report: a page of what scale has kept"
)
CONTROL_PROCESSES, SCALE_PROCESSES = 4, 1  # at once, if none are named


def lab(
    what: Annotated[str, Arg(help=WHAT)],
    files: Annotated[list[Path] | None, Arg(help="report: what scale has kept")] = None,
    controllers: Annotated[int, Arg(long=True, help="proxies and control planes together")] = 30,
    boxes: Annotated[int, Arg(long=True, help="control planes among them")] = 3,
    zones: Annotated[int, Arg(long=True, help="zones, four to a region")] = 4,
    backends: Annotated[int, Arg(long=True, help="backends")] = 100,
    services: Annotated[int, Arg(long=True, help="services")] = 10,
    routes: Annotated[int, Arg(long=True, help="routes of the configuration")] = 100,
    changes: Annotated[float, Arg(long=True, help="of the configuration, an hour")] = 0.0,
    churn: Annotated[
        float, Arg(long=True, help="instances that end and are followed by another, an hour")
    ] = 0.0,
    requests: Annotated[float, Arg(long=True, help="a second and proxy")] = 190.0,
    seconds: Annotated[float, Arg(long=True, help="simulated seconds that are counted")] = 10.0,
    whole: Annotated[int, Arg(long=True, help="proxies that are simulated whole")] = 4,
    seed: Annotated[int, Arg(long=True, help="of what is drawn")] = 1,
    cpu: Annotated[
        bool, Arg(long="--cpu/--no-cpu", help="whether processor time delays what comes after it")
    ] = True,
    memory: Annotated[bool, Arg(long="--memory/--no-memory", help="measure a start and memory too")] = True,
    loss: Annotated[str, Arg(long=True, help=f"what is lost: {', '.join(LOSSES)}")] = "",
    profile: Annotated[
        bool, Arg(long="--profile/--no-profile", help="where each role's time goes, by function")
    ] = False,
    most_mb: Annotated[float, Arg(long=True, help="of memory in a process; beyond it a run ends")] = 4000.0,
    axis: Annotated[str, Arg(long=True, help=f"a series along one of {', '.join(AXIS_VALUES)}")] = "",
    points: Annotated[str, Arg(long=True, help="of the series, with commas between")] = "",
    runs: Annotated[int, Arg(long=True, help="of each point, with other seeds")] = 1,
    processes: Annotated[int | None, Arg(long=True, help="at once, 16 at most; else 1, control 4")] = None,
    keep: Annotated[Path | None, Arg(long=True, help="a file that each result is added to")] = None,
    page: Annotated[Path | None, Arg(long=True, help="report: the HTML page to write")] = None,
    point: Annotated[int, Arg(long=True, help="control: the scenario, from 1")] = 1,
    seeds: Annotated[str, Arg(long=True, help="control: the seeds, A:B without B")] = "0:100",
    without: Annotated[str, Arg(long=True, help="control: a guard that is taken out")] = "",
    guards: Annotated[bool, Arg(long=True, help="control: list the guards")] = False,
    as_json: Annotated[bool, Arg(long="--json", help="one JSON object on standard output")] = False,
) -> int:
    """Measure the product's state machines: as ratios within one run, under losses, or at a size.

    Status 0 if all was played to its end, and of control if nothing was violated.
    """
    # The docstring is the text of --help.
    if what == "cost":
        return cost.main()
    if what == "control":
        from meadowworks.simulation.control import command  # needs apsw, which other measurements do not

        workers = CONTROL_PROCESSES if processes is None else processes
        return command.run_control(point, seeds, without, guards, workers, as_json)
    if what == "report":
        return write_report(files or [], page)
    if what != "scale":
        raise CommandError(f"there is no measurement {what!r}: there are cost, control, scale and report")
    settings = ScaleSettings(
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
    plan = SeriesSettings(axis, points, runs, SCALE_PROCESSES if processes is None else processes)
    return run_scale(settings, plan, keep, as_json)
