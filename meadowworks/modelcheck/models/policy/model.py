"""The model as the explorer takes it, and its steps in words."""

from __future__ import annotations

from meadowworks.modelcheck.model import Model, Step
from meadowworks.modelcheck.models.policy.initial_worlds import initial_worlds
from meadowworks.modelcheck.models.policy.properties import PROPERTIES
from meadowworks.modelcheck.models.policy.world import ALL_FAIL, NO_FAILURES, thaw

MAX_DEPTH, MAX_DEPTH_LARGE = 3, 4  # a fourth step takes minutes on several cores
STEP_DESCRIPTIONS = {
    "tick": "half a report's time goes by",
    "stall": "the controller stands still for six ticks",
    "whole": "the whole list comes",
    "list": "the list says: backend {0} is {1}",
    "miss": "backend {0} is gone, and the change is missed",
    "start": "backend {0} has just been started",
    "join": "proxy {0} joins",
    "leave": "proxy {0} leaves",
    "ask": "{0} calls of each route come to each proxy",
    "channel": "the channel stands still, or goes on",
}
REPORT_DESCRIPTIONS = {
    NO_FAILURES: "reports: all is well",
    ALL_FAIL: "reports: every try fails, queues are full",
}


def describe_step(step: Step) -> str:
    """A step in words, as paths are printed."""
    kind, *arguments = step
    if kind == "report":
        (failing,) = arguments
        return REPORT_DESCRIPTIONS.get(failing, f"reports: backend {failing} drops all")
    return STEP_DESCRIPTIONS[kind].format(*arguments)


def model(large: bool = False) -> Model:
    """The model, a step deeper if it is to be large."""
    return Model(
        "module",
        "the decision module and the node's orders in a small world",
        initial_worlds,
        thaw,
        describe_step,
        PROPERTIES,
        max_depth=MAX_DEPTH_LARGE if large else MAX_DEPTH,
    )
