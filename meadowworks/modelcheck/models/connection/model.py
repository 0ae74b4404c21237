"""The model as the explorer takes it, and its steps in words."""

from __future__ import annotations

from meadowworks.modelcheck.model import Model, Step
from meadowworks.modelcheck.models.connection.liveness import LIVENESS_PROPERTIES
from meadowworks.modelcheck.models.connection.properties import PROPERTIES
from meadowworks.modelcheck.models.connection.scenarios import scenarios
from meadowworks.modelcheck.models.connection.world import World, initial_world, thaw

STEP_DESCRIPTIONS = {
    "dial": "connection {0} is taken in",
    "crowd": "connection {0} waits, and there is no descriptor",
    "attach": "connection {0} says it is the proxy",
    "beat": "connection {0} asks for a sign of life",
    "rubbish": "connection {0} says what cannot be read",
    "long": "connection {0} sends a line without an end",
    "spoilt": "connection {0} says a message with a field spoilt",
    "mark": "connection {0} answers mark {1}",
    "usage": "connection {0} reports its usage",
    "deafen": "connection {0} reads nothing from now on",
    "shut": "the other side closes connection {0}",
    "late": "connection {0}: its time to say who it is, is over",
    "lost": "the controller sees the end of connection {0}",
    "begin": "the actor of connection {0} starts",
    "act": "the actor of connection {0} takes what came first",
    "module": "the module takes what came first",
    "order": "the module orders another weight",
}


def describe_step(step: Step) -> str:
    """A step in words, as paths are printed."""
    kind, *arguments = step
    return STEP_DESCRIPTIONS[kind].format(*arguments)


def initial_worlds(large: bool) -> list[World]:
    """A world for each scenario."""
    return [initial_world(scenario) for scenario in scenarios(large)]


def model(large: bool = False) -> Model:
    """The model, with the larger scenarios too if they are asked for."""
    return Model(
        "connection",
        "the life of connections: an older and a newer stream of a proxy, strangers",
        lambda: initial_worlds(large),
        thaw,
        describe_step,
        PROPERTIES,
        LIVENESS_PROPERTIES,
    )
