"""Points along one axis, each in a process of its own, a bounded number at once."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, replace
from tempfile import TemporaryFile
from time import sleep
from typing import IO, Any

from meadowworks.simulation.scale import ScaleSettings

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
TARGET_SIZES = {  # the users' letter; changes and churn of a day as an hour's
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
QUIET_VARIABLE = "MEADOWWORKS_LAB_QUIET"  # set for children: no progress
SCALED_SIZES = ("controllers", "backends", "services", "routes")
INTEGER_SETTINGS = ("seed", "boxes", "zones", "controllers", "backends", "services", "routes", "whole")


@dataclass(frozen=True, slots=True)
class ChildRun:
    process: subprocess.Popen[bytes]
    out: IO[str]


def settings_at(settings: ScaleSettings, axis: str, value: float) -> ScaleSettings:
    """The deployment with one of its sizes changed; along `target`, with a part of each of the target's, in
    its zones and under its signalboxes."""
    if axis == "target":
        parts: dict[str, Any] = {
            name: max(1, round(size * value)) for name, size in TARGET_SIZES.items() if name in SCALED_SIZES
        }
        return replace(settings, **parts, boxes=int(TARGET_SIZES["boxes"]), zones=int(TARGET_SIZES["zones"]))
    changed: dict[str, Any] = {axis: int(value) if axis in INTEGER_SETTINGS else value}
    return replace(settings, **changed)


def command_options(settings: ScaleSettings) -> list[str]:
    found = []
    for name, value in asdict(settings).items():
        if isinstance(value, bool):
            found.append(f"--{name}" if value else f"--no-{name}")
        elif value != "":
            found += [f"--{name.replace('_', '-')}", str(value)]
    return found


def run_series(
    series: list[ScaleSettings], processes: int, progress: Callable[[str], None]
) -> Iterator[dict[str, Any]]:
    """Results as they come. At Ctrl-C the children, which get it too, tell what they have. Raises
    RuntimeError, once the others are done, if one had no result."""
    left, running, failed = list(series), list[ChildRun](), 0
    try:
        while left or running:
            while left and len(running) < processes:
                asked = left.pop(0)
                running.append(start_child(asked))
            sleep(0.05)
            for child in [c for c in running if c.process.poll() is not None]:
                running.remove(child)
                if found := child_result(child):
                    yield found
                else:
                    failed += 1
                progress(f"{len(series) - len(left) - len(running)} of {len(series)} runs are done")
    except KeyboardInterrupt:
        for child in running:
            if found := child_result(child):
                yield found
        raise
    finally:
        for child in running:
            if child.process.poll() is None:
                child.process.terminate()


def start_child(settings: ScaleSettings) -> ChildRun:
    command = [
        sys.executable,
        "-O",
        "-m",
        "meadowworks",
        "lab",
        "scale",
        *command_options(settings),
        "--json",
    ]
    out = TemporaryFile("w+")  # noqa: SIM115 (a pipe would hold up a child whose result is long)
    return ChildRun(subprocess.Popen(command, stdout=out, env={**os.environ, QUIET_VARIABLE: "1"}), out)


def child_result(child: ChildRun) -> dict[str, Any] | None:
    """None of a child that ended without one; what it says of that is on standard error."""
    try:
        child.process.wait(30)
    except subprocess.TimeoutExpired:
        child.process.terminate()
    child.out.seek(0)
    text = child.out.read().strip()
    child.out.close()
    found: dict[str, Any] | None = json.loads(text.splitlines()[-1]) if text else None
    return found
