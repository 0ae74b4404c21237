"""The model ``telegraph``: what must hold of updates between two control-plane nodes and a proxy."""

from __future__ import annotations

from typing import Any

from meadowworks.gossip.updates import SourceLog
from meadowworks.modelcheck.model import Model, Property, Step
from meadowworks.modelcheck.models.gossip_node import CONTROL_PLANE, DRAINED_BACKEND
from meadowworks.modelcheck.models.gossip_world import Budget, GossipWorld, thaw
from meadowworks.registry.backend_state import (
    BACKEND_KEY_PREFIX,
    GONE,
    STATE_RANK,
    SUSPECT,
    BackendValue,
)

DRAINED_KEY = BACKEND_KEY_PREFIX + DRAINED_BACKEND


def state_never_goes_back(world: GossipWorld) -> bool:
    """In no process does an instance go back from draining or gone."""
    return all(after >= before for kind, before, after in world.outcomes if kind == "rank" and before >= 1)


def peer_records_advance(world: GossipWorld) -> bool:
    """No record of a peer is replaced by an older one."""
    return all(after >= before for kind, before, after in world.outcomes if kind == "peer")


def acknowledged_drain_is_known(world: GossipWorld) -> bool:
    """An acknowledged drain is known at each node, whatever power was lost since."""
    return all(world.nodes[host].rank() >= 1 for host in world.acknowledged)


def replicas_are_complete(world: GossipWorld) -> bool:
    """Who holds a source's newest version holds all its values, and no others."""
    for holder in world.nodes:
        for source in world.nodes:
            original = source.updates.sources[source.source_id]
            replica = holder.updates.sources.get(source.source_id)
            if replica is None or replica.latest_version != original.latest_version:
                continue
            if live_values(replica) != live_values(original):
                return False
    return True


def live_values(log: SourceLog) -> dict[str, Any]:
    """Returns the values of a source's keys, tombstones left out."""
    return {key: value for key, (_, value) in log.entries.items() if value is not None}


def same_versions_give_same_state(world: GossipWorld) -> bool:
    """Two processes with the same versions merge the same state."""
    ranks_by_versions: dict[str, set[int]] = {}
    for node in world.nodes:
        vector = {name: version for name, version in node.updates.version_vector().items() if version}
        ranks_by_versions.setdefault(repr(sorted(vector.items())), set()).add(node.rank())
    return all(len(ranks) == 1 for ranks in ranks_by_versions.values())


def suspect_only_by_all_reports(world: GossipWorld) -> bool:
    """An instance is suspect only where no source that knows it says otherwise."""
    for node in world.nodes:
        instance = node.directory.instances.get(DRAINED_BACKEND)
        if instance is None or instance.state != SUSPECT:
            continue
        logs = node.updates.sources.values()
        values = [log.entries[DRAINED_KEY][1] for log in logs if DRAINED_KEY in log.entries]
        if not all(BackendValue._make(value).is_suspect for value in values if value is not None):
            return False
    return True


def gone_only_after_leaving(world: GossipWorld) -> bool:
    """Neither silence nor the end of a node makes an instance gone."""
    return world.state == GONE or all(node.rank() < STATE_RANK[GONE] for node in world.nodes)


def directory_keeps_up_with_calls(world: GossipWorld) -> bool:
    """A node's directory is never behind what an instance has told the node itself.

    An instance that left where nothing was known of it has no address there yet.
    """
    for host in CONTROL_PLANE:
        node = world.nodes[host]
        registration = node.heartbeats.registrations.get(DRAINED_BACKEND)
        if registration is None or DRAINED_BACKEND not in node.directory.instances:
            continue
        if registration.state not in STATE_RANK or node.rank() < STATE_RANK[registration.state]:
            return False
    return True


PROPERTIES = (
    Property(
        "never back",
        "in no process does a life go from draining or gone back to up",
        state_never_goes_back,
        "step",
    ),
    Property("cards rise", "a card is never replaced by an older one", peer_records_advance, "step"),
    Property(
        "acknowledged",
        "a drain that was acknowledged is known at each signalbox, on its disk",
        acknowledged_drain_is_known,
    ),
    Property(
        "copies whole",
        "who is at a source's newest version holds just what it says",
        replicas_are_complete,
    ),
    Property("same list", "who holds the same news folds the same list", same_versions_give_same_state),
    Property(
        "quiet by all",
        "a life is quiet only where all that know it say so",
        suspect_only_by_all_reports,
    ),
    Property(
        "none buried alive",
        "a backend is gone for a process only once it has left",
        gone_only_after_leaving,
    ),
    Property(
        "own words",
        "a signalbox's list is never behind what it was told itself",
        directory_keeps_up_with_calls,
    ),
)

STEP_DESCRIPTIONS = {
    "drain": "the backend drains, and says so at {0}",
    "leave": "the backend leaves, and says so at {0}",
    "late": "an old beat comes to {0}",
    "silence": "{0} has not heard the backend for long",
    "restart": "{0} loses its power and starts again",
    "forget": "signalbox 0 forgets the other backend",
    "pull": "{0} pulls from {1}",
    "ask": "{0} asks {1}, whose answer is on its way",
    "come": "that answer comes",
    "lost": "that answer is lost, or was the last of it",
    "ack": "the drain is acknowledged",
    "cut": "the signalboxes are cut off from each other, or joined again",
}
HOST_DESCRIPTIONS = ("signalbox 0", "signalbox 1", "the junction")


def describe_step(step: Step) -> str:
    """Returns a step in plain words."""
    kind, *hosts = step
    return STEP_DESCRIPTIONS[kind].format(*[HOST_DESCRIPTIONS[host] for host in hosts])


def initial_worlds(large: bool) -> list[GossipWorld]:
    """Returns the worlds to explore from."""
    budgets = [
        Budget("a drain, a late heartbeat, a partition", drains=1, late=1, cuts=1, pulls=3),
        Budget("a drain, a departure, a restart", drains=1, leaves=1, restarts=1, pulls=3),
        Budget("forgotten while replies are slow", forgets=1, slow=2, pulls=2),
        Budget("silent at one node", silences=2, late=1, pulls=3),
        Budget("a restart, slow replies", drains=1, restarts=1, slow=1, pulls=2),
    ]
    if large:
        budgets += [
            Budget(
                "all of it",
                drains=1,
                leaves=1,
                late=1,
                silences=1,
                restarts=1,
                forgets=1,
                slow=1,
                cuts=1,
                pulls=4,
            ),
            Budget("two restarts", drains=1, late=1, restarts=2, slow=2, pulls=4),
        ]
    return [GossipWorld(budget) for budget in budgets]


def model(large: bool) -> Model:
    """Returns the model as the checker explores it."""
    return Model(
        "telegraph",
        "news of backends between controllers",
        lambda: initial_worlds(large),
        thaw,
        describe_step,
        PROPERTIES,
    )
