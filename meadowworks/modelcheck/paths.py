"""Paths to broken properties as files: written by a check, played again by anybody."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from meadowworks.modelcheck.model import Counterexample, Model, Step

FORMAT_VERSION = 1


class CounterexampleFileError(ValueError):
    """A file that holds no path, in one plain sentence."""


@dataclass(frozen=True, slots=True)
class StoredCounterexample:
    """A path as a file has it; `fault` is the seeded fault under which it breaks, if any."""

    model: str
    large: bool
    fault: str
    violates: str
    start_index: int
    steps: tuple[Step, ...]
    cycle: tuple[Step, ...]


def to_json(
    model: Model, counterexample: Counterexample, large: bool, fault_name: str = ""
) -> dict[str, Any]:
    """As JSON, with each step in words beside it."""
    return {
        "form": FORMAT_VERSION,
        "model": model.name,
        "large": large,
        "fault": fault_name,
        "breaks": counterexample.name,
        "start": counterexample.start_index,
        "steps": [list(step) for step in counterexample.steps],
        "cycle": [list(step) for step in counterexample.cycle],
        "words": described_steps(model, counterexample),
        "why": counterexample.reason,
    }


def described_steps(model: Model, counterexample: Counterexample) -> list[str]:
    said = [model.describe_step(step) for step in counterexample.steps]
    return said + ["for ever: " + model.describe_step(step) for step in counterexample.cycle]


def parse_steps(given: Any, where: str) -> tuple[Step, ...]:
    if not isinstance(given, list):
        raise CounterexampleFileError(f"{where} is no list of steps")
    for place, step in enumerate(given, 1):
        if not isinstance(step, list) or not step or not isinstance(step[0], str):
            raise CounterexampleFileError(f"step {place} of {where} makes no sense: {step!r:.60}")
    return tuple(tuple(step) for step in given)


def read_counterexample(path: Path) -> StoredCounterexample:
    """Raises Spoilt with what is wrong with the file."""
    try:
        given = json.loads(path.read_text(encoding="utf-8"))
    except OSError as trouble:
        raise CounterexampleFileError(f"{path} cannot be read: {trouble.strerror}") from trouble
    except ValueError as trouble:
        raise CounterexampleFileError(f"{path} is no whole JSON: {trouble}") from trouble
    if not isinstance(given, dict) or given.get("form") != FORMAT_VERSION:
        raise CounterexampleFileError(f"{path} holds no path of form {FORMAT_VERSION}")
    kinds: Sequence[tuple[str, type]] = (
        ("model", str),
        ("large", bool),
        ("fault", str),
        ("breaks", str),
        ("start", int),
    )
    for name, kind in kinds:
        if type(given.get(name)) is not kind:
            raise CounterexampleFileError(f"{path}: {name} is missing or no {kind.__name__}")
    return StoredCounterexample(
        given["model"],
        given["large"],
        given["fault"],
        given["breaks"],
        given["start"],
        parse_steps(given.get("steps"), "steps"),
        parse_steps(given.get("cycle"), "cycle"),
    )
