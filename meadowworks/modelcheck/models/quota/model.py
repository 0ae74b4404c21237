"""The quota model for the explorer, and the descriptions of its steps."""

from __future__ import annotations

from functools import partial

from meadowworks.modelcheck.model import Model, Step
from meadowworks.modelcheck.models.quota.properties import PROPERTIES, liveness_properties, overshoot
from meadowworks.modelcheck.models.quota.scenarios import Scenario, scenarios
from meadowworks.modelcheck.models.quota.world import World, thaw_world

HOLDERS_WITH_FAIR_STEPS = 2  # the number of holders in every scenario
STEP_DESCRIPTIONS = {
    "come": "holder {0} joins",
    "beat": "holder {0} sends a report",
    "begin": "a call tries to start at holder {0}",
    "end": "a call ends at holder {0}",
    "leave": "holder {0} leaves without calls in flight",
    "die": "holder {0} crashes and its calls end",
    "view": "the estimate of holder {0} becomes {1} calls",
    "deliver": "message {1} in transit for or from holder {0} arrives",
    "lose": "message {1} in transit for or from holder {0} is lost",
    "pass": "a unit of time passes",
}


def describe_step(step: Step) -> str:
    """Return the description of a step for printed paths."""
    kind, *arguments = step
    return STEP_DESCRIPTIONS[kind].format(*arguments)


def initial_worlds(model_scenarios: tuple[Scenario, ...]) -> list[World]:
    """Return a world for each scenario."""
    return [World(scenario) for scenario in model_scenarios]


def model(large: bool = False) -> Model:
    """Return the model, with the larger scenarios if `large`."""
    return Model(
        "grants",
        "grants of one quota, while reports are late and holders join and leave",
        partial(initial_worlds, scenarios(large)),
        thaw_world,
        describe_step,
        PROPERTIES,
        liveness_properties(HOLDERS_WITH_FAIR_STEPS),
        metrics=overshoot,
    )
