"""The model as the explorer takes it, and its steps in words."""

from __future__ import annotations

from functools import partial

from meadowworks.modelcheck.model import Model, Step
from meadowworks.modelcheck.models.consensus.properties import PROPERTIES
from meadowworks.modelcheck.models.consensus.scenario_table import scenarios
from meadowworks.modelcheck.models.consensus.world import Memo, World, thaw_world

STEP_DESCRIPTIONS = {
    "begin": "proposer {} begins",
    "ask": "proposer {} asks disk {} and hears it",
    "lost": "proposer {} asks disk {}, whose reply is lost",
    "late": "held-up request {} comes to disk {}",
    "wipe": "disk {} is replaced by an empty one at its address",
    "gone": "machine {} is lost with its disk",
    "crash": "box {} loses power and comes back with its disk",
    "off": "box {} is started anew and told not to vote",
    "on": "box {} is started anew and told to vote",
    "tell": "disk {} tells disk {} what is chosen",
    "hear": "disk {} hears which epoch disk {} is in",
    "bring": "disk {} installs disk {} in its epoch",
    "cut": "the core is cut",
}


def describe_step(step: Step) -> str:
    """A step in words, as paths are printed.

    :raises ValueError: if it is no step of this model.
    """
    kind, *numbers = step
    description = STEP_DESCRIPTIONS.get(kind)
    if description is None or description.count("{}") != len(numbers):
        raise ValueError(f"no such step: {step!r}")
    return description.format(*numbers)


def initial_worlds(large: bool, memo: Memo) -> list[World]:
    """A world for each scenario."""
    return [World(scenario, memo) for scenario in scenarios(large)]


def model(large: bool) -> Model:
    """The model, with the larger scenarios too if they are asked for."""
    memo: Memo = {}
    return Model(
        "timetable",
        "versions of the configuration, and members, on majorities of disks",
        lambda: initial_worlds(large, memo),
        partial(thaw_world, memo),
        describe_step,
        PROPERTIES,
        may_terminate=lambda _world: True,
    )
