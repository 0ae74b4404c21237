"""The model as the explorer takes it, and its steps in words."""

from __future__ import annotations

from functools import partial

from meadowworks.attempts.retry_policy import ANSWERED, FAILED, NEVER_RAN
from meadowworks.modelcheck.model import Model, Step
from meadowworks.modelcheck.models.attempt.properties import LIVENESS_PROPERTIES, PROPERTIES
from meadowworks.modelcheck.models.attempt.scenarios import Scenario, scenarios
from meadowworks.modelcheck.models.attempt.world import World, thaw_world

STEP_DESCRIPTIONS = {
    "leave": "the client of call {0} goes away (asking {1})",
    "cut": "the connection of try {1} of proxy {0} ends, after its reply",
    "drain": "backend {0} drains: the table lacks it",
    "back": "backend {0} is in the table again",
    "end": "backend {0} ends; what it had not answered is cut off",
    "strict": "the order says: no further tries",
    "die": "proxy {0} dies",
    "rise": "proxy {0} is back, knowing nothing",
}
OTHER_STEP_DESCRIPTION = "a unit of time goes by"
REPLY_DESCRIPTIONS = {
    ANSWERED: "the answer",
    NEVER_RAN: "proof that it never ran",
    FAILED: "an error, no proof,",
}


def describe_step(step: Step) -> str:
    """Return a step in plain words.

    :raises ValueError: for a request or a reply of the wrong length.
    """
    kind, *numbers = step
    if kind == "ask":
        key, index, proxy, draw, is_admitted = numbers
        who = "the client asks again by itself" if index else "the client asks"
        admission = f"let in, draw {draw}" if is_admitted else "not let in"
        return f"{who}: call {key} at proxy {proxy}, {admission}"
    if kind == "reply":
        proxy, number, reply, _ = numbers
        return f"{REPLY_DESCRIPTIONS[reply]} to try {number} reaches proxy {proxy}"
    return STEP_DESCRIPTIONS.get(kind, OTHER_STEP_DESCRIPTION).format(*numbers)


def initial_worlds(chosen: tuple[Scenario, ...]) -> list[World]:
    """Return a world for each scenario."""
    return [World(scenario) for scenario in chosen]


def model(large: bool = False) -> Model:
    """Return the model: two backends, a call and its client's one repeat.

    :param large: three backends instead, and scenarios of two calls at two proxies.
    """
    size = "three backends, two calls, two proxies" if large else "two backends, a call, the client's retry"
    return Model(
        "attempt",
        f"the life of a call at a proxy: {size}",
        partial(initial_worlds, scenarios(large)),
        thaw_world,
        describe_step,
        PROPERTIES,
        LIVENESS_PROPERTIES,
        may_terminate=lambda world: not world.is_reply_pending(),
    )
