"""Runs of `lab scale` along one axis, each in a process of its own, a bounded number at once."""

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
TARGET_SIZES = {  # the size that users plan for; changes and churn of a day as an hour's
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
QUIET_VARIABLE = "MEADOWWORKS_LAB_QUIET"  # in the environment of children: no progress
POLL_INTERVAL_S = 0.05
EXIT_TIMEOUT_S = 30  # for a child to say what it has after Ctrl-C


@dataclass(frozen=True, slots=True)
class ChildRun:
    """A process that plays one run, and the file that takes its standard output."""

    process: subprocess.Popen[bytes]
    out: IO[str]


def settings_at(settings: ScaleSettings, axis: str, value: float) -> ScaleSettings:
    """Return the settings with one of the sizes changed.

    Along `target` each size is that part of the target's, in its zones and under its control planes.
    """
    if axis == "target":
        sizes: dict[str, Any] = {name: max(1, round(TARGET_SIZES[name] * value)) for name in SCALED_SIZES}
        return replace(settings, **sizes, boxes=int(TARGET_SIZES["boxes"]), zones=int(TARGET_SIZES["zones"]))
    changed: dict[str, Any] = {axis: int(value) if axis in INTEGER_SETTINGS else value}
    return replace(settings, **changed)


def command_options(settings: ScaleSettings) -> list[str]:
    """Return the options of `lab scale` that stand for the settings."""
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
    """Yield results as they come; a run that has none is left out, and has said why on standard error.

    :param processes: how many run at once.
    :raises KeyboardInterrupt: at Ctrl-C, which the children get too; what they have is yielded before.
    """
    waiting, running = list(series), list[ChildRun]()
    try:
        while waiting or running:
            while waiting and len(running) < processes:
                running.append(start_child(waiting.pop(0)))
            sleep(POLL_INTERVAL_S)
            for child in [one for one in running if one.process.poll() is not None]:
                running.remove(child)
                if result := child_result(child):
                    yield result
                done = len(series) - len(waiting) - len(running)
                progress(f"{done} of {len(series)} runs are done")
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
    """Start a process that plays one run."""
    program = [sys.executable, "-O", "-m", "meadowworks"]
    command = [*program, "lab", "scale", *command_options(settings), "--json"]
    out = TemporaryFile("w+")  # noqa: SIM115 (a pipe would hold up a child whose result is long)
    environment = {**os.environ, QUIET_VARIABLE: "1"}
    return ChildRun(subprocess.Popen(command, stdout=out, env=environment), out)


def child_result(child: ChildRun) -> dict[str, Any] | None:
    """Return what a child has printed, None if that is nothing."""
    try:
        child.process.wait(EXIT_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        child.process.terminate()
    child.out.seek(0)
    text = child.out.read().strip()
    child.out.close()
    result: dict[str, Any] | None = json.loads(text.splitlines()[-1]) if text else None
    return result
