"""The model as the explorer takes it, its scenarios and its steps in words."""

from __future__ import annotations

from meadowworks.modelcheck.model import Model, Step
from meadowworks.modelcheck.models.consensus.scenarios import X, Y, members_of
from meadowworks.modelcheck.models.replica.properties import PROPERTIES
from meadowworks.modelcheck.models.replica.world import Scenario, World, thaw_world

AB, BC = members_of("a", "b"), members_of("b", "c")


def describe_step(step: Step) -> str:
    """A step in words, as paths are printed."""
    kind, *rest = step
    match kind, rest:
        case "order", [place]:
            return f"order {place} of those left is given"
        case "ask", [k, incarnation, request_id]:
            return f"request {request_id} of box {k} in its life {incarnation} comes"
        case "written", [k]:
            return f"disk {k} has written"
        case "crash", [k]:
            return f"box {k} loses power and comes back"
        case "change", [k]:
            return f"box {k} proposes other members"
        case "leave", [k]:
            return f"box {k} is told to end"
    raise ValueError(f"no such step: {step!r}")


def initial_worlds(large: bool) -> list[World]:
    """A world for each scenario, by place: seeded faults name theirs by it, so new ones go to the end."""
    scenarios = [
        Scenario("an order, and power is lost", ((0, 1, X),), (1,)),
        Scenario("two at one box, which loses power", ((0, 1, X), (0, 1, Y)), (0,), 2, AB),
        Scenario("members, and power is lost", (), (0,), 3, AB, BC, (1,)),
        Scenario("two carry the members through", (), (), 3, AB, BC, (0, 1)),
        Scenario("members and a version", ((1, 1, X),), (), 3, AB, BC, (1,)),
        Scenario("told to end as it starts", (), (0,), 2, AB, leaving_places=(0,)),
        Scenario("two boxes of two", ((0, 1, X), (1, 1, Y)), (), 2, AB),
    ]
    if large:
        scenarios += [
            Scenario("a race of three, and power is lost", ((0, 1, X), (1, 1, Y)), (0,)),
            Scenario("an order and two losses", ((0, 1, X),), (0, 1)),
            Scenario("members, a version, and power is lost", ((0, 1, X),), (0,), 3, AB, BC, (1,)),
        ]
    return [World(scenario) for scenario in scenarios]


def model(large: bool) -> Model:
    """The model, with the larger scenarios too if they are asked for."""
    return Model(
        "replica",
        "signalboxes' machines with their disks: the order of writes and sends",
        lambda: initial_worlds(large),
        thaw_world,
        describe_step,
        PROPERTIES,
        may_terminate=lambda _world: True,
    )
