"""The connection model for the explorer, and the descriptions of its steps."""

from __future__ import annotations

from meadowworks.modelcheck.model import Model, Step
from meadowworks.modelcheck.models.connection.liveness import LIVENESS_PROPERTIES
from meadowworks.modelcheck.models.connection.properties import PROPERTIES
from meadowworks.modelcheck.models.connection.scenarios import scenarios
from meadowworks.modelcheck.models.connection.world import World, initial_world, thaw

STEP_DESCRIPTIONS = {
    "dial": "connection {0} is accepted",
    "crowd": "connection {0} waits for a free descriptor",
    "attach": "connection {0} identifies as the proxy",
    "beat": "connection {0} sends a heartbeat",
    "rubbish": "connection {0} sends an unreadable line",
    "long": "connection {0} sends an overlong line without an end",
    "spoilt": "connection {0} sends a message with a malformed field",
    "mark": "connection {0} acknowledges nonce {1}",
    "usage": "connection {0} reports its demand",
    "deafen": "connection {0} stops reading",
    "shut": "the remote end closes connection {0}",
    "late": "the handshake of connection {0} times out",
    "lost": "the controller detects the end of connection {0}",
    "begin": "the actor of connection {0} starts",
    "act": "the actor of connection {0} handles its next item",
    "module": "the controller handles its next event",
    "order": "the policy changes the weight",
}


def describe_step(step: Step) -> str:
    """Return the description of a step for printed paths."""
    kind, *arguments = step
    return STEP_DESCRIPTIONS[kind].format(*arguments)


def initial_worlds(large: bool) -> list[World]:
    """Return a world for each scenario."""
    return [initial_world(scenario) for scenario in scenarios(large)]


def model(large: bool = False) -> Model:
    """Return the model, with the larger scenarios if `large`."""
    return Model(
        "connection",
        "the lifecycle of connections: an older and a newer stream of a proxy, unidentified peers",
        lambda: initial_worlds(large),
        thaw,
        describe_step,
        PROPERTIES,
        LIVENESS_PROPERTIES,
    )
