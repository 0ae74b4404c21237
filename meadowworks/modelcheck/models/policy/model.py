"""The model `module` as the explorer runs it, and descriptions of its steps."""

from __future__ import annotations

from meadowworks.modelcheck.model import Model, Step
from meadowworks.modelcheck.models.policy.initial_worlds import initial_worlds
from meadowworks.modelcheck.models.policy.properties import PROPERTIES
from meadowworks.modelcheck.models.policy.world import ALL_FAIL, NO_FAILURES, thaw

MAX_DEPTH, MAX_DEPTH_LARGE = 3, 4  # depth 4 takes minutes on several cores
STEP_DESCRIPTIONS = {
    "tick": "half a report interval passes",
    "stall": "the controller does not run for six ticks",
    "whole": "the full endpoint list arrives",
    "list": "the list changes backend {0} to {1}",
    "miss": "backend {0} is gone, and the change of the list is missed",
    "start": "backend {0} has just been started",
    "join": "proxy {0} joins",
    "leave": "proxy {0} leaves",
    "ask": "each proxy receives {0} requests of each route",
    "channel": "the channel stalls or resumes",
}
REPORT_DESCRIPTIONS = {
    NO_FAILURES: "reports: no failures",
    ALL_FAIL: "reports: every attempt fails, queues are full",
}


def describe_step(step: Step) -> str:
    """Describe a step in words."""
    kind, *arguments = step
    if kind == "report":
        (failing,) = arguments
        return REPORT_DESCRIPTIONS.get(failing, f"reports: every attempt at backend {failing} fails")
    return STEP_DESCRIPTIONS[kind].format(*arguments)


def model(large: bool = False) -> Model:
    """Return the model; with `large` it is explored one step deeper."""
    return Model(
        "module",
        "the policy controller and its table updates in a small deployment",
        initial_worlds,
        thaw,
        describe_step,
        PROPERTIES,
        max_depth=MAX_DEPTH_LARGE if large else MAX_DEPTH,
    )
