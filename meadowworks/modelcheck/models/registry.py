"""The model ``roster``: what must hold of drains on the disks of two control-plane nodes."""

from __future__ import annotations

from meadowworks.modelcheck.model import Model, Property, Step
from meadowworks.modelcheck.models.registry_world import Budget, Node, RegistryWorld, thaw
from meadowworks.registry.backend_state import STATE_RANK


def acknowledged_drain_is_on_both_disks(world: RegistryWorld) -> bool:
    """An acknowledged drain survives the loss of either disk."""
    return all(backend in disk for backend in world.acknowledged for disk in world.disks)


def acknowledged_drain_is_known(world: RegistryWorld) -> bool:
    """No node that has lost its power takes an acknowledged drain back."""
    return all(is_drained(node, backend) for backend in world.acknowledged for node in world.nodes)


def drain_on_disk_is_known(world: RegistryWorld) -> bool:
    """What is on a node's disk is draining in its directory."""
    return all(is_drained(node, backend) for node in world.nodes for backend in world.disks[node.host])


def is_drained(node: Node, backend: str) -> bool:
    """Returns whether a node takes a backend as draining or gone."""
    return STATE_RANK.get(node.directory.merged_state(backend), 0) > 0


PROPERTIES = (
    Property(
        "on both disks",
        "a drain that was acknowledged is on both disks",
        acknowledged_drain_is_on_both_disks,
    ),
    Property("known by both", "no box that has lost its power takes it back", acknowledged_drain_is_known),
    Property("said again", "what is on a box's disk is draining in its list", drain_on_disk_is_known),
)

STEP_DESCRIPTIONS = {
    "drain": "backend {0} drains, and says so at box 0",
    "word": "box 0 says something else",
    "write": "box {0} begins to write what it has learnt",
    "written": "box {0}'s disk has it",
    "refused": "box {0}'s disk refuses it",
    "pull": "box {0} pulls",
    "ask": "box {0} asks, and the reply is on its way",
    "come": "that reply comes",
    "lost": "that reply is lost",
    "loss": "box {0} loses its power and starts again; late beats come",
    "ack": "backend {0}'s drain is acknowledged",
}


def describe_step(step: Step) -> str:
    """Returns a step in plain words."""
    kind, *arguments = step
    return STEP_DESCRIPTIONS[kind].format(*arguments)


def initial_worlds(large: bool) -> list[RegistryWorld]:
    """Returns the worlds to explore from."""
    budgets = [
        Budget("a drain, a loss"),
        Budget("two drains", drains=2, pulls=3),
        Budget("a drain, another update, a loss", words=1, pulls=3),
        Budget("late replies", late=1, words=1, pulls=1),
        Budget("a disk that refuses", refusals=1, words=1, pulls=2),
    ]
    if large:
        budgets.append(Budget("all of it", drains=2, losses=2, pulls=4, late=1, words=1, refusals=1))
    return [RegistryWorld(budget) for budget in budgets]


def model(large: bool) -> Model:
    """Returns the model as the checker explores it."""
    return Model("roster", "drains on disks", lambda: initial_worlds(large), thaw, describe_step, PROPERTIES)
