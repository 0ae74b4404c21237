"""Counterexamples as JSON files: written by a check, replayed by anybody."""

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
    """A file that holds no counterexample; the text is one plain sentence."""


@dataclass(frozen=True, slots=True)
class StoredCounterexample:
    """A path as a file has it; `fault` is the seeded fault under which it breaks `violates`, or empty."""

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
    """Return the JSON object of a file, in which each step stands in plain words too."""
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
    """Put each step into plain words, those of the cycle marked as such."""
    path = [model.describe_step(step) for step in counterexample.steps]
    return path + ["for ever: " + model.describe_step(step) for step in counterexample.cycle]


def read_counterexample(path: Path) -> StoredCounterexample:
    """Read a file.

    :raises CounterexampleFileError: with what is wrong with it.
    """
    try:
        stored = json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise CounterexampleFileError(f"{path} cannot be read: {error.strerror}") from error
    except ValueError as error:
        raise CounterexampleFileError(f"{path} is no whole JSON: {error}") from error
    if not isinstance(stored, dict) or stored.get("form") != FORMAT_VERSION:
        raise CounterexampleFileError(f"{path} holds no path of form {FORMAT_VERSION}")
    for name, kind in FIELD_TYPES.items():
        if type(stored.get(name)) is not kind:
            raise CounterexampleFileError(f"{path}: {name} is missing or no {kind.__name__}")
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
    """Check a list of steps that comes out of JSON.

    :param field: names the list in errors.
    :raises CounterexampleFileError: if it is no such list.
    """
    if not isinstance(stored, list):
        raise CounterexampleFileError(f"{field} is no list of steps")
    for number, step in enumerate(stored, 1):
        if not isinstance(step, list) or not step or not isinstance(step[0], str):
            raise CounterexampleFileError(f"step {number} of {field} makes no sense: {step!r:.60}")
    return tuple(tuple(step) for step in stored)


def replay_counterexample(stored: StoredCounterexample) -> tuple[Model, list[str]]:
    """Take the path again, with its fault injected if it names one.

    :returns: the model, and the names of the properties that the last step breaks.
    :raises UnknownNameError: for a model or fault that there is not.
    :raises ValueError: where the path does not fit the model.
    """
    with ExitStack() as stack:
        if stored.fault:
            stack.enter_context(injected_fault(get_seeded_fault(stored.fault)))
        model = build_model(stored.model, stored.large)
        return model, replay(model, stored.start_index, stored.steps, stored.cycle)
