"""Counterexample files: JSON files written by `meadowworks check --keep` and replayed with `--play`."""

from __future__ import annotations

import json
from collections.abc import Mapping
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from meadowworks.modelcheck.catalog import build_model, get_seeded_fault
from meadowworks.modelcheck.model import Counterexample, Model, Step
from meadowworks.modelcheck.replay import replay
from meadowworks.modelcheck.seeded_fault import injected_fault

FORMAT_VERSION = 1
FIELD_TYPES: Mapping[str, type] = {"model": str, "large": bool, "fault": str, "breaks": str, "start": int}


class CounterexampleFileError(ValueError):
    """A file does not hold a valid counterexample; the message is one line for the user."""


@dataclass(frozen=True, slots=True)
class StoredCounterexample:
    """The contents of a file; `fault` names the seeded fault to inject for the replay, or is empty."""

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
    """Return the JSON object of a file; `words` describes each step for readers."""
    return {
        "form": FORMAT_VERSION,
        "model": model.name,
        "large": large,
        "fault": fault_name,
        "breaks": counterexample.name,
        "start": counterexample.start_index,
        "steps": [list(step) for step in counterexample.steps],
        "cycle": [list(step) for step in counterexample.cycle],
        "words": describe_steps(model, counterexample),
        "why": counterexample.reason,
    }


def describe_steps(model: Model, counterexample: Counterexample) -> list[str]:
    """Return a description of each step; those of the cycle are marked."""
    path = [model.describe_step(step) for step in counterexample.steps]
    return path + ["forever: " + model.describe_step(step) for step in counterexample.cycle]


def read_counterexample(path: Path) -> StoredCounterexample:
    """Read and validate a counterexample file.

    :raises CounterexampleFileError: if the file cannot be read or does not hold a counterexample.
    """
    try:
        stored = json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise CounterexampleFileError(f"{path} cannot be read: {error.strerror}") from error
    except ValueError as error:
        raise CounterexampleFileError(f"{path} is not valid JSON: {error}") from error
    if not isinstance(stored, dict) or stored.get("form") != FORMAT_VERSION:
        raise CounterexampleFileError(f"{path} holds no path of form {FORMAT_VERSION}")
    for name, kind in FIELD_TYPES.items():
        if type(stored.get(name)) is not kind:
            raise CounterexampleFileError(f"{path}: {name} is missing or not of type {kind.__name__}")
    return StoredCounterexample(
        stored["model"],
        stored["large"],
        stored["fault"],
        stored["breaks"],
        stored["start"],
        parse_steps(stored.get("steps"), "steps"),
        parse_steps(stored.get("cycle"), "cycle"),
    )


def parse_steps(stored: Any, field: str) -> tuple[Step, ...]:
    """Validate a decoded list of steps and convert it to tuples.

    :param field: name of the list in error messages.
    :raises CounterexampleFileError: if it is not a list of steps.
    """
    if not isinstance(stored, list):
        raise CounterexampleFileError(f"{field} is not a list of steps")
    for number, step in enumerate(stored, 1):
        if not isinstance(step, list) or not step or not isinstance(step[0], str):
            raise CounterexampleFileError(
                f"step {number} of {field} must be a list that begins with a name, not {step!r:.60}"
            )
    return tuple(tuple(step) for step in stored)


def replay_counterexample(stored: StoredCounterexample) -> tuple[Model, list[str]]:
    """Replay a path, with its seeded fault injected if it names one.

    :returns: the model and the names of the properties violated by the last step.
    :raises UnknownNameError: if the model or the fault does not exist.
    :raises ValueError: if the path does not fit the model.
    """
    with ExitStack() as stack:
        if stored.fault:
            stack.enter_context(injected_fault(get_seeded_fault(stored.fault)))
        model = build_model(stored.model, stored.large)
        return model, replay(model, stored.start_index, stored.steps, stored.cycle)
