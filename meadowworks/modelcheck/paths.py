"""Paths to broken properties as files: written by a check, played again by anybody."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from meadowworks.modelcheck.model import Broken, Model, Step

FORM = 1


class Spoilt(ValueError):
    """A file that holds no path, in one plain sentence."""


@dataclass(frozen=True, slots=True)
class Kept:
    """A path as a file has it; `fault` is the seeded fault under which it breaks, if any."""

    model: str
    large: bool
    fault: str
    breaks: str
    start: int
    steps: tuple[Step, ...]
    cycle: tuple[Step, ...]


def told(model: Model, broken: Broken, large: bool, fault: str = "") -> dict[str, Any]:
    """As JSON, with each step in words beside it."""
    return {
        "form": FORM,
        "model": model.name,
        "large": large,
        "fault": fault,
        "breaks": broken.name,
        "start": broken.start,
        "steps": [list(step) for step in broken.steps],
        "cycle": [list(step) for step in broken.cycle],
        "words": words(model, broken),
        "why": broken.why,
    }


def words(model: Model, broken: Broken) -> list[str]:
    said = [model.say(step) for step in broken.steps]
    return said + ["for ever: " + model.say(step) for step in broken.cycle]


def steps_of(given: Any, where: str) -> tuple[Step, ...]:
    if not isinstance(given, list):
        raise Spoilt(f"{where} is no list of steps")
    for place, step in enumerate(given, 1):
        if not isinstance(step, list) or not step or not isinstance(step[0], str):
            raise Spoilt(f"step {place} of {where} makes no sense: {step!r:.60}")
    return tuple(tuple(step) for step in given)


def read(path: Path) -> Kept:
    """Raises Spoilt with what is wrong with the file."""
    try:
        given = json.loads(path.read_text(encoding="utf-8"))
    except OSError as trouble:
        raise Spoilt(f"{path} cannot be read: {trouble.strerror}") from trouble
    except ValueError as trouble:
        raise Spoilt(f"{path} is no whole JSON: {trouble}") from trouble
    if not isinstance(given, dict) or given.get("form") != FORM:
        raise Spoilt(f"{path} holds no path of form {FORM}")
    kinds: Sequence[tuple[str, type]] = (
        ("model", str),
        ("large", bool),
        ("fault", str),
        ("breaks", str),
        ("start", int),
    )
    for name, kind in kinds:
        if type(given.get(name)) is not kind:
            raise Spoilt(f"{path}: {name} is missing or no {kind.__name__}")
    return Kept(
        given["model"],
        given["large"],
        given["fault"],
        given["breaks"],
        given["start"],
        steps_of(given.get("steps"), "steps"),
        steps_of(given.get("cycle"), "cycle"),
    )
