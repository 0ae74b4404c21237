"""The model ``roster``: durability of drains on the disks of two control-plane nodes."""

from __future__ import annotations

from meadowworks.modelcheck.model import Model, Property, Step
from meadowworks.modelcheck.models.registry_world import PeerNode, RegistryBudget, RegistryWorld, thaw
from meadowworks.registry.backend_state import STATE_RANK


def acknowledged_drain_is_on_both_disks(world: RegistryWorld) -> bool:
    """Return whether every acknowledged drain is on both disks, so that it survives the loss of one."""
    return all(backend in disk for backend in world.acknowledged for disk in world.disks)


def acknowledged_drain_is_in_directories(world: RegistryWorld) -> bool:
    """Return whether both nodes have each acknowledged drain, also after a loss of power."""
    return all(is_draining_or_gone(node, backend) for backend in world.acknowledged for node in world.nodes)


def drain_on_disk_is_in_directory(world: RegistryWorld) -> bool:
    """Return whether each backend on a node's disk is draining in the node's directory."""
    return all(
        is_draining_or_gone(node, backend) for node in world.nodes for backend in world.disks[node.host]
    )


def is_draining_or_gone(node: PeerNode, backend: str) -> bool:
    """Return whether a backend is draining or gone in a node's directory."""
    return STATE_RANK.get(node.directory.merged_state(backend), 0) > 0


PROPERTIES = (
    Property(
        "on both disks",
        "an acknowledged drain is on both disks",
        acknowledged_drain_is_on_both_disks,
    ),
    Property(
        "known by both",
        "an acknowledged drain is in both directories, also after a loss of power",
        acknowledged_drain_is_in_directories,
    ),
    Property(
        "said again",
        "a backend on a node's disk is draining in the node's directory",
        drain_on_disk_is_in_directory,
    ),
)

STEP_DESCRIPTIONS = {
    "drain": "backend {0} drains and reports this to node 0",
    "word": "node 0 publishes an unrelated update",
    "write": "node {0} starts to write its unsynced drains",
    "written": "the write of node {0} completes",
    "refused": "the write of node {0} fails",
    "pull": "node {0} pulls",
    "ask": "node {0} pulls, and the reply is delayed",
    "come": "the delayed reply arrives",
    "lost": "the delayed reply is lost",
    "loss": "node {0} loses power and restarts; old heartbeats arrive",
    "ack": "backend {0}'s drain is acknowledged",
}


def describe_step(step: Step) -> str:
    """Describe a step in words."""
    kind, *arguments = step
    return STEP_DESCRIPTIONS[kind].format(*arguments)


def initial_worlds(large: bool) -> list[RegistryWorld]:
    """Return the worlds to explore from."""
    budgets = [
        RegistryBudget("a drain, a loss"),
        RegistryBudget("two drains", drains=2, pulls=3),
        RegistryBudget("a drain, another update, a loss", unrelated_updates=1, pulls=3),
        RegistryBudget("late replies", delayed_replies=1, unrelated_updates=1, pulls=1),
        RegistryBudget("a disk that refuses", write_failures=1, unrelated_updates=1, pulls=2),
    ]
    if large:
        budgets.append(
            RegistryBudget(
                "all of it",
                drains=2,
                power_losses=2,
                pulls=4,
                delayed_replies=1,
                unrelated_updates=1,
                write_failures=1,
            )
        )
    return [RegistryWorld(budget) for budget in budgets]


def model(large: bool) -> Model:
    """Return the model as the checker explores it."""
    return Model("roster", "drains on disks", lambda: initial_worlds(large), thaw, describe_step, PROPERTIES)
