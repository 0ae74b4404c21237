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

from meadowworks.simulation.scale import Asked

POINTS: dict[str, tuple[float, ...]] = {
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
TARGET = {  # the users' letter; changes and churn of a day as an hour's
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
QUIET = "MEADOWWORKS_LAB_QUIET"  # set for children: no progress
SIZES = ("controllers", "backends", "services", "routes")
WHOLE = ("seed", "boxes", "zones", "controllers", "backends", "services", "routes", "whole")


@dataclass(frozen=True, slots=True)
class Child:
    process: subprocess.Popen[bytes]
    out: IO[str]


def point(asked: Asked, axis: str, value: float) -> Asked:
    """The deployment with one of its sizes changed; along `target`, with a part of each of the target's, in
    its zones and under its signalboxes."""
    if axis == "target":
        parts: dict[str, Any] = {
            name: max(1, round(size * value)) for name, size in TARGET.items() if name in SIZES
        }
        return replace(asked, **parts, boxes=int(TARGET["boxes"]), zones=int(TARGET["zones"]))
    changed: dict[str, Any] = {axis: int(value) if axis in WHOLE else value}
    return replace(asked, **changed)


def words(asked: Asked) -> list[str]:
    found = []
    for name, value in asdict(asked).items():
        if isinstance(value, bool):
            found.append(f"--{name}" if value else f"--no-{name}")
        elif value != "":
            found += [f"--{name.replace('_', '-')}", str(value)]
    return found


def play(wanted: list[Asked], processes: int, told: Callable[[str], None]) -> Iterator[dict[str, Any]]:
    """Results as they come. At Ctrl-C the children, which get it too, tell what they have. Raises
    RuntimeError, once the others are done, if one had no result."""
    left, running, failed = list(wanted), list[Child](), 0
    try:
        while left or running:
            while left and len(running) < processes:
                asked = left.pop(0)
                running.append(start(asked))
            sleep(0.05)
            for child in [c for c in running if c.process.poll() is not None]:
                running.remove(child)
                if found := result(child):
                    yield found
                else:
                    failed += 1
                told(f"{len(wanted) - len(left) - len(running)} of {len(wanted)} runs are done")
    except KeyboardInterrupt:
        for child in running:
            if found := result(child):
                yield found
        raise
    finally:
        for child in running:
            if child.process.poll() is None:
                child.process.terminate()


def start(asked: Asked) -> Child:
    command = [sys.executable, "-O", "-m", "meadowworks", "lab", "scale", *words(asked), "--json"]
    out = TemporaryFile("w+")  # noqa: SIM115 (a pipe would hold up a child whose result is long)
    return Child(subprocess.Popen(command, stdout=out, env={**os.environ, QUIET: "1"}), out)


def result(child: Child) -> dict[str, Any] | None:
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
