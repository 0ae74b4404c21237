"""The model `replica` as the explorer runs it, with its scenarios and descriptions of its steps."""

from __future__ import annotations

from meadowworks.modelcheck.model import Model, Step
from meadowworks.modelcheck.models.consensus.scenarios import X, Y, members_of
from meadowworks.modelcheck.models.replica.properties import PROPERTIES
from meadowworks.modelcheck.models.replica.world import ReplicaScenario, ReplicaWorld, thaw_world

AB, BC = members_of("a", "b"), members_of("b", "c")


def describe_step(step: Step) -> str:
    """Describe a step in words.

    :raises ValueError: for an unknown step.
    """
    kind, *args = step
    match kind, args:
        case "order", [proposal_index]:
            return f"proposal {proposal_index} of the remaining ones is made"
        case "ask", [k, incarnation, request_id]:
            return f"request {request_id} of replica {k}, incarnation {incarnation}, arrives"
        case "written", [k]:
            return f"the write of disk {k} completes"
        case "crash", [k]:
            return f"replica {k} loses power and restarts"
        case "change", [k]:
            return f"replica {k} proposes the next members"
        case "leave", [k]:
            return f"replica {k} is told to shut down"
    raise ValueError(f"unknown step: {step!r}")


def initial_worlds(large: bool) -> list[ReplicaWorld]:
    """Return a world for each scenario.

    Seeded faults refer to worlds by index, so new scenarios go to the end.
    """
    scenarios = [
        ReplicaScenario("an order, and power is lost", ((0, 1, X),), (1,)),
        ReplicaScenario("two at one box, which loses power", ((0, 1, X), (0, 1, Y)), (0,), 2, AB),
        ReplicaScenario("members, and power is lost", (), (0,), 3, AB, BC, (1,)),
        ReplicaScenario("two carry the members through", (), (), 3, AB, BC, (0, 1)),
        ReplicaScenario("members and a version", ((1, 1, X),), (), 3, AB, BC, (1,)),
        ReplicaScenario("told to end as it starts", (), (0,), 2, AB, leaving_indices=(0,)),
        ReplicaScenario("two boxes of two", ((0, 1, X), (1, 1, Y)), (), 2, AB),
    ]
    if large:
        scenarios += [
            ReplicaScenario("a race of three, and power is lost", ((0, 1, X), (1, 1, Y)), (0,)),
            ReplicaScenario("an order and two losses", ((0, 1, X),), (0, 1)),
            ReplicaScenario("members, a version, and power is lost", ((0, 1, X),), (0,), 3, AB, BC, (1,)),
        ]
    return [ReplicaWorld(scenario) for scenario in scenarios]


def model(large: bool) -> Model:
    """Return the model; with `large` it includes the larger scenarios."""
    return Model(
        "replica",
        "consensus replicas with their disks: the order of writes and sends",
        lambda: initial_worlds(large),
        thaw_world,
        describe_step,
        PROPERTIES,
        may_terminate=lambda _world: True,
    )
