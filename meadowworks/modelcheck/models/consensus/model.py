"""The model as the explorer takes it, and its steps in words."""

from __future__ import annotations

from functools import partial

from meadowworks.modelcheck.model import Model, Step
from meadowworks.modelcheck.models.consensus.properties import PROPERTIES
from meadowworks.modelcheck.models.consensus.scenario_table import scenarios
from meadowworks.modelcheck.models.consensus.world import Memo, World, thaw_world


def describe_step(step: Step) -> str:
    """A step in words, as paths are printed."""
    kind, *rest = step
    match kind, rest:
        case "begin", [p]:
            return f"proposer {p} begins"
        case "ask", [p, k]:
            return f"proposer {p} asks disk {k} and hears it"
        case "lost", [p, k]:
            return f"proposer {p} asks disk {k}, whose reply is lost"
        case "late", [place, k]:
            return f"held-up request {place} comes to disk {k}"
        case "wipe", [k]:
            return f"disk {k} is replaced by an empty one at its address"
        case "gone", [k]:
            return f"machine {k} is lost with its disk"
        case "crash", [k]:
            return f"box {k} loses power and comes back with its disk"
        case "off", [k]:
            return f"box {k} is started anew and told not to vote"
        case "on", [k]:
            return f"box {k} is started anew and told to vote"
        case "tell", [k, j]:
            return f"disk {k} tells disk {j} what is chosen"
        case "hear", [k, j]:
            return f"disk {k} hears which epoch disk {j} is in"
        case "bring", [k, j]:
            return f"disk {k} installs disk {j} in its epoch"
        case "cut", []:
            return "the core is cut"
    raise ValueError(f"no such step: {step!r}")


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
