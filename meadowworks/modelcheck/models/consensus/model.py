"""The consensus model for the explorer, and the descriptions of its steps."""

from __future__ import annotations

from functools import partial

from meadowworks.modelcheck.model import Model, Step
from meadowworks.modelcheck.models.consensus.properties import PROPERTIES
from meadowworks.modelcheck.models.consensus.scenario_table import scenarios
from meadowworks.modelcheck.models.consensus.world import Memo, World, thaw_world

STEP_DESCRIPTIONS = {
    "begin": "proposer {} begins",
    "ask": "proposer {} sends its request to disk {} and receives the reply",
    "lost": "proposer {} sends its request to disk {}, whose reply is lost",
    "late": "late request {} arrives at disk {}",
    "wipe": "disk {} is replaced by an empty one at its address",
    "gone": "machine {} is lost with its disk",
    "crash": "machine {} loses power and restarts with its disk",
    "off": "machine {} restarts with settings that exclude it from voting",
    "on": "machine {} restarts with settings that let it vote",
    "tell": "disk {} sends its committed value to disk {}",
    "hear": "disk {} receives the epoch of disk {}",
    "bring": "disk {} installs disk {} in its epoch",
    "cut": "the network partition starts",
}


def describe_step(step: Step) -> str:
    """Return the description of a step for printed paths.

    :raises ValueError: if this model has no such step.
    """
    kind, *arguments = step
    description = STEP_DESCRIPTIONS.get(kind)
    if description is None or description.count("{}") != len(arguments):
        raise ValueError(f"the consensus model has no such step: {step!r}")
    return description.format(*arguments)


def initial_worlds(large: bool, memo: Memo) -> list[World]:
    """Return a world for each scenario."""
    return [World(scenario, memo) for scenario in scenarios(large)]


def model(large: bool) -> Model:
    """Return the model, with the larger scenarios if `large`."""
    memo: Memo = {}
    return Model(
        "timetable",
        "configuration versions and epoch members, decided by majorities of disks",
        lambda: initial_worlds(large, memo),
        partial(thaw_world, memo),
        describe_step,
        PROPERTIES,
        may_terminate=lambda _world: True,
    )
