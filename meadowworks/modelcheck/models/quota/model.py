"""The model as the explorer takes it, and its steps in words."""

from __future__ import annotations

from functools import partial

from meadowworks.modelcheck.model import Model, Step
from meadowworks.modelcheck.models.quota.properties import PROPERTIES, liveness_properties, overshoot
from meadowworks.modelcheck.models.quota.scenarios import Scenario, scenarios
from meadowworks.modelcheck.models.quota.world import World, thaw_world

HOLDERS_WITH_FAIR_STEPS = 2  # all of every scenario
STEP_DESCRIPTIONS = {
    "come": "holder {0} comes",
    "beat": "holder {0} reports",
    "begin": "a call wants to begin at holder {0}",
    "end": "a call ends at holder {0}",
    "leave": "holder {0} leaves, with nothing under way",
    "die": "holder {0} dies, and its calls with it",
    "view": "holder {0} now holds that {1} calls can be borne",
    "deliver": "message {1} of holder {0}'s on the wire arrives",
    "lose": "message {1} of holder {0}'s is lost",
    "pass": "a unit of time goes by",
}


def describe_step(step: Step) -> str:
    """Return a step in plain words."""
    kind, *arguments = step
    return STEP_DESCRIPTIONS[kind].format(*arguments)


def initial_worlds(chosen: tuple[Scenario, ...]) -> list[World]:
    """Return a world for each scenario."""
    return [World(scenario) for scenario in chosen]


def model(large: bool = False) -> Model:
    """Return the model, with the larger scenarios too if they are asked for."""
    return Model(
        "grants",
        "grants under one budget, while reports are late and holders come and go",
        partial(initial_worlds, scenarios(large)),
        thaw_world,
        describe_step,
        PROPERTIES,
        liveness_properties(HOLDERS_WITH_FAIR_STEPS),
        metrics=overshoot,
    )
