"""The attempt model for the explorer, and the descriptions of its steps."""

from __future__ import annotations

from functools import partial

from meadowworks.attempts.retry_policy import ANSWERED, FAILED, NEVER_RAN
from meadowworks.modelcheck.model import Model, Step
from meadowworks.modelcheck.models.attempt.properties import LIVENESS_PROPERTIES, PROPERTIES
from meadowworks.modelcheck.models.attempt.scenarios import Scenario, scenarios
from meadowworks.modelcheck.models.attempt.world import World, thaw_world

STEP_DESCRIPTIONS = {
    "leave": "the client of call {0} disconnects (request {1})",
    "cut": "the connection of attempt {1} of proxy {0} ends after its reply",
    "drain": "backend {0} drains and is removed from the table",
    "back": "backend {0} is in the table again",
    "end": "backend {0} crashes; its unanswered attempts are cut off",
    "strict": "the retry policy changes to no retries",
    "die": "proxy {0} crashes",
    "rise": "proxy {0} restarts without state",
}
OTHER_STEP_DESCRIPTION = "a unit of time passes"
REPLY_DESCRIPTIONS = {
    ANSWERED: "the answer",
    NEVER_RAN: "proof that it never ran",
    FAILED: "a failure without proof",
}


def describe_step(step: Step) -> str:
    """Return the description of a step for printed paths.

    :raises ValueError: for a request or a reply of the wrong length.
    """
    kind, *arguments = step
    if kind == "ask":
        key, index, proxy, draw, is_admitted = arguments
        action = "the client repeats its request" if index else "the client sends a request"
        admission = f"admitted, draw {draw}" if is_admitted else "not admitted"
        return f"{action}: call {key} at proxy {proxy}, {admission}"
    if kind == "reply":
        proxy, number, reply, _ = arguments
        return f"{REPLY_DESCRIPTIONS[reply]} for attempt {number} reaches proxy {proxy}"
    return STEP_DESCRIPTIONS.get(kind, OTHER_STEP_DESCRIPTION).format(*arguments)


def initial_worlds(model_scenarios: tuple[Scenario, ...]) -> list[World]:
    """Return a world for each scenario."""
    return [World(scenario) for scenario in model_scenarios]


def model(large: bool = False) -> Model:
    """Return the model: two backends, a call and its client's one repeat.

    :param large: use three backends, and add scenarios with two calls at two proxies.
    """
    size = "three backends, two calls, two proxies" if large else "two backends, a call, the client's retry"
    return Model(
        "attempt",
        f"the lifecycle of a call at a proxy: {size}",
        partial(initial_worlds, scenarios(large)),
        thaw_world,
        describe_step,
        PROPERTIES,
        LIVENESS_PROPERTIES,
        may_terminate=lambda world: not world.is_reply_pending(),
    )
