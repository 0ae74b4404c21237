"""`meadowworks lab`: simulations and measurements of the product's state machines, without a bench."""

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
    "cost: processor time of joins, reports, ticks and route lookup at two sizes; "
    "control: consensus under losses; coordination: locks, numbers, keys and watches "
    "under losses; scale: a deployment of a given size, simulated without sockets; "
    "report: tables and a page of the results that scale has kept"
)
CONTROL_PROCESSES, SCALE_PROCESSES = 4, 1  # default number of processes at once


def lab(
    what: Annotated[str, Arg(help=WHAT)],
    files: Annotated[list[Path] | None, Arg(help="report: files that scale has kept")] = None,
    controllers: Annotated[int, Arg(long=True, help="proxies and control planes together")] = 30,
    boxes: Annotated[int, Arg(long=True, help="control planes among the controllers")] = 3,
    zones: Annotated[int, Arg(long=True, help="zones, four to a region")] = 4,
    backends: Annotated[int, Arg(long=True, help="number of backends")] = 100,
    services: Annotated[int, Arg(long=True, help="number of services")] = 10,
    routes: Annotated[int, Arg(long=True, help="routes of the configuration")] = 100,
    changes: Annotated[float, Arg(long=True, help="changes of the configuration per hour")] = 0.0,
    churn: Annotated[
        float, Arg(long=True, help="backends and proxies per hour that end and are replaced")
    ] = 0.0,
    requests: Annotated[float, Arg(long=True, help="requests per second at each proxy")] = 190.0,
    seconds: Annotated[float, Arg(long=True, help="simulated seconds to measure")] = 10.0,
    whole: Annotated[int, Arg(long=True, help="proxies that are simulated in full, the others by stubs")] = 4,
    seed: Annotated[int, Arg(long=True, help="seed of the random numbers")] = 1,
    cpu: Annotated[
        bool, Arg(long="--cpu/--no-cpu", help="whether the processor time of work delays later events")
    ] = True,
    memory: Annotated[
        bool, Arg(long="--memory/--no-memory", help="also measure the start of a program and its memory")
    ] = True,
    loss: Annotated[str, Arg(long=True, help=f"machines that are lost: {', '.join(LOSSES)}")] = "",
    profile: Annotated[
        bool, Arg(long="--profile/--no-profile", help="profile each role by function")
    ] = False,
    most_mb: Annotated[
        float, Arg(long=True, help="memory limit of a process in MB, above which a run ends")
    ] = 4000.0,
    axis: Annotated[str, Arg(long=True, help=f"run a series along an axis: {', '.join(AXIS_VALUES)}")] = "",
    points: Annotated[str, Arg(long=True, help="values along the axis, separated by commas")] = "",
    runs: Annotated[int, Arg(long=True, help="runs of each point, with successive seeds")] = 1,
    processes: Annotated[
        int | None,
        Arg(long=True, help="processes at once, at most 16; by default 1, for control and coordination 4"),
    ] = None,
    keep: Annotated[Path | None, Arg(long=True, help="file to which each result is appended")] = None,
    page: Annotated[Path | None, Arg(long=True, help="report: HTML page of plots to write")] = None,
    point: Annotated[int, Arg(long=True, help="control: number of the scenario, from 1")] = 1,
    seeds: Annotated[
        str, Arg(long=True, help="control, coordination: range of seeds A:B, without B")
    ] = "0:100",
    without: Annotated[str, Arg(long=True, help="control, coordination: guard to remove")] = "",
    guards: Annotated[bool, Arg(long=True, help="control, coordination: list the guards")] = False,
    as_json: Annotated[bool, Arg(long="--json", help="print one JSON object")] = False,
) -> int:
    """Simulate and measure the product's state machines: their cost, under losses, or in a large deployment.

    Status 0 if all runs were completed, and for control if no property was violated.
    """
    # The docstring is shown by --help.
    if what == "cost":
        return cost.main()
    if what == "control":
        from meadowworks.simulation.control import (
            command,
        )  # imports apsw, which the other measurements don't need

        workers = CONTROL_PROCESSES if processes is None else processes
        return command.run_control(point, seeds, without, guards, workers, as_json)
    if what == "coordination":
        from meadowworks.simulation.coordination import command as coordination_command

        workers = CONTROL_PROCESSES if processes is None else processes
        return coordination_command.run_coordination(seeds, without, guards, workers, as_json)
    if what == "report":
        return write_report(files or [], page)
    if what != "scale":
        raise CommandError(
            f"there is no measurement {what!r}: there are cost, control, coordination, scale and report"
        )
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
