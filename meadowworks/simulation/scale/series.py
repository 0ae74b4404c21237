"""Series of `lab scale` along one axis; each run is a separate process, and a bounded number run at once."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Callable, Iterator, Sequence
from dataclasses import asdict, dataclass, replace
from tempfile import TemporaryFile
from time import sleep
from typing import IO, Any

from meadowworks.simulation.scale.settings import ScaleSettings

AXIS_VALUES: dict[str, tuple[float, ...]] = {
    "controllers": (10, 30, 100, 300, 1000, 3300),
    "backends": (30, 100, 300, 1000, 3000, 10000, 28000),
    "services": (3, 10, 30, 100, 300, 1000, 1800),
    "routes": (10, 100, 1000, 5000, 16000, 52000),
    "changes": (0, 360, 1200, 3600, 12000, 36000),
    "churn": (0, 360, 1200, 3600, 12000, 36000),
    "boxes": (3, 5, 7, 9),
    "zones": (4, 8, 16, 24),
    "target": (0.003, 0.01, 0.03, 0.1),
}
TARGET_SIZES = {  # the size that users plan for; changes and churn are a day's figures as rates per hour
    "controllers": 3300,
    "backends": 28000,
    "services": 1800,
    "routes": 52000,
    "changes": 92.0,
    "churn": 324.0,
    "boxes": 9,
    "zones": 24,
    "target": 1,
}
SCALED_SIZES = ("controllers", "backends", "services", "routes")
INTEGER_SETTINGS = ("seed", "boxes", "zones", "controllers", "backends", "services", "routes", "whole")
QUIET_VARIABLE = "MEADOWWORKS_LAB_QUIET"  # in the environment of children, disables reports of progress
POLL_INTERVAL_S = 0.05
EXIT_TIMEOUT_S = 30  # for a child to print its result after Ctrl-C


@dataclass(frozen=True, slots=True)
class ChildRun:
    """A process of one run, and the file that receives its standard output."""

    process: subprocess.Popen[bytes]
    out: IO[str]


def settings_at(settings: ScaleSettings, axis: str, value: float) -> ScaleSettings:
    """Return the settings with the value of one axis changed.

    On the axis `target`, the value is a fraction of the target's sizes; zones and control planes are as in
    the target.
    """
    if axis == "target":
        sizes: dict[str, Any] = {name: max(1, round(TARGET_SIZES[name] * value)) for name in SCALED_SIZES}
        return replace(settings, **sizes, boxes=int(TARGET_SIZES["boxes"]), zones=int(TARGET_SIZES["zones"]))
    changed: dict[str, Any] = {axis: int(value) if axis in INTEGER_SETTINGS else value}
    return replace(settings, **changed)


def command_options(settings: ScaleSettings) -> list[str]:
    """Return the settings as options of `lab scale`."""
    options = []
    for name, value in asdict(settings).items():
        if isinstance(value, bool):
            options.append(f"--{name}" if value else f"--no-{name}")
        elif value != "":
            options += [f"--{name.replace('_', '-')}", str(value)]
    return options


def run_series(
    series: Sequence[ScaleSettings], processes: int, progress: Callable[[str], None]
) -> Iterator[dict[str, Any]]:
    """Yield results in order of completion; a run without a result has printed its error on standard error.

    :param processes: the number of runs at once.
    :raises KeyboardInterrupt: on Ctrl-C, after the partial results of the children, which also receive it.
    """
    pending, running = list(series), list[ChildRun]()
    try:
        while pending or running:
            while pending and len(running) < processes:
                running.append(start_child(pending.pop(0)))
            sleep(POLL_INTERVAL_S)
            for child in [child for child in running if child.process.poll() is not None]:
                running.remove(child)
                if result := child_result(child):
                    yield result
                done = len(series) - len(pending) - len(running)
                progress(f"{done} of {len(series)} runs done")
    except KeyboardInterrupt:
        for child in running:
            if result := child_result(child):
                yield result
        raise
    finally:
        for child in running:
            if child.process.poll() is None:
                child.process.terminate()


def start_child(settings: ScaleSettings) -> ChildRun:
    """Start the process of one run."""
    program = [sys.executable, "-O", "-m", "meadowworks"]
    command = [*program, "lab", "scale", *command_options(settings), "--json"]
    out = TemporaryFile("w+")  # noqa: SIM115 (a pipe would block a child with a long result)
    environment = {**os.environ, QUIET_VARIABLE: "1"}
    return ChildRun(subprocess.Popen(command, stdout=out, env=environment), out)


def child_result(child: ChildRun) -> dict[str, Any] | None:
    """Return the result that a child has printed, None without output."""
    try:
        child.process.wait(EXIT_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        child.process.terminate()
    child.out.seek(0)
    output = child.out.read().strip()
    child.out.close()
    result: dict[str, Any] | None = json.loads(output.splitlines()[-1]) if output else None
    return result
