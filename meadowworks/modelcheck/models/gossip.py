"""The model ``telegraph``: gossip of updates between two control-plane nodes and a proxy."""

from __future__ import annotations

from typing import Any

from meadowworks.gossip.updates import SourceLog
from meadowworks.modelcheck.model import Model, Property, Step
from meadowworks.modelcheck.models.gossip_node import CONTROL_PLANE, DRAINED_BACKEND
from meadowworks.modelcheck.models.gossip_world import GossipBudget, GossipWorld, thaw
from meadowworks.registry.backend_state import (
    BACKEND_KEY_PREFIX,
    GONE,
    STATE_RANK,
    SUSPECT,
    BackendValue,
)

DRAINED_KEY = BACKEND_KEY_PREFIX + DRAINED_BACKEND


def drained_state_never_reverts(world: GossipWorld) -> bool:
    """Return whether no process took an instance back from draining or gone."""
    return all(after >= before for kind, before, after in world.outcomes if kind == "rank" and before >= 1)


def peer_records_never_regress(world: GossipWorld) -> bool:
    """Return whether no record of a peer was replaced by an older one."""
    return all(after >= before for kind, before, after in world.outcomes if kind == "peer")


def acknowledged_drain_is_in_directories(world: GossipWorld) -> bool:
    """Return whether each node has an acknowledged drain, also after restarts."""
    return all(world.nodes[host].rank() >= 1 for host in world.acknowledged)


def replicas_are_complete(world: GossipWorld) -> bool:
    """Return whether each process at a source's latest version has exactly the source's values."""
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
    """Return the values of a source's keys, without tombstones."""
    return {key: value for key, (_, value) in log.entries.items() if value is not None}


def same_versions_give_same_state(world: GossipWorld) -> bool:
    """Return whether processes with equal version vectors derive the same state."""
    ranks_by_versions: dict[str, set[int]] = {}
    for node in world.nodes:
        vector = {name: version for name, version in node.updates.version_vector().items() if version}
        ranks_by_versions.setdefault(repr(sorted(vector.items())), set()).add(node.rank())
    return all(len(ranks) == 1 for ranks in ranks_by_versions.values())


def suspect_only_by_all_reports(world: GossipWorld) -> bool:
    """Return whether an instance is suspect only where every source that reports it does so."""
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
    """Return whether no instance is gone before it has left.

    Neither missing heartbeats nor the end of a node makes an instance gone.
    """
    return world.state == GONE or all(node.rank() < STATE_RANK[GONE] for node in world.nodes)


def directory_reflects_own_heartbeats(world: GossipWorld) -> bool:
    """Return whether each node's directory reflects the heartbeats that the node received itself.

    An instance that left at a node where it was unknown has no address there yet.
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
        "in no process does an instance go from draining or gone back to up",
        drained_state_never_reverts,
        "step",
    ),
    Property(
        "cards rise", "a peer's record is never replaced by an older one", peer_records_never_regress, "step"
    ),
    Property(
        "acknowledged",
        "an acknowledged drain is in the directory of each control-plane node",
        acknowledged_drain_is_in_directories,
    ),
    Property(
        "copies whole",
        "a process at a source's latest version has exactly the source's values",
        replicas_are_complete,
    ),
    Property(
        "same list",
        "processes with equal version vectors derive the same state",
        same_versions_give_same_state,
    ),
    Property(
        "quiet by all",
        "an instance is suspect only where every source that reports it does so",
        suspect_only_by_all_reports,
    ),
    Property(
        "none buried alive",
        "a backend is gone in a process only after it has left",
        gone_only_after_leaving,
    ),
    Property(
        "own words",
        "a control-plane node's directory reflects the heartbeats that it received itself",
        directory_reflects_own_heartbeats,
    ),
)

STEP_DESCRIPTIONS = {
    "drain": "the backend drains and reports this to {0}",
    "leave": "the backend leaves and reports this to {0}",
    "late": "an old heartbeat arrives at {0}",
    "silence": "the backend's heartbeats to {0} time out",
    "restart": "{0} loses power and restarts",
    "forget": "node 0 deletes the key of the second backend",
    "pull": "{0} pulls from {1}",
    "ask": "{0} pulls from {1}, and the reply is delayed",
    "come": "the delayed reply arrives",
    "lost": "the delayed reply is lost, or does not arrive again",
    "ack": "the drain is acknowledged",
    "cut": "the control-plane nodes are partitioned, or the partition heals",
}
HOST_DESCRIPTIONS = ("node 0", "node 1", "the proxy")


def describe_step(step: Step) -> str:
    """Describe a step in words."""
    kind, *hosts = step
    return STEP_DESCRIPTIONS[kind].format(*[HOST_DESCRIPTIONS[host] for host in hosts])


def initial_worlds(large: bool) -> list[GossipWorld]:
    """Return the worlds to explore from."""
    budgets = [
        GossipBudget(
            "a drain, a late heartbeat, a partition", drains=1, late_heartbeats=1, partitions=1, pulls=3
        ),
        GossipBudget("a drain, a departure, a restart", drains=1, leaves=1, restarts=1, pulls=3),
        GossipBudget("forgotten while replies are slow", key_deletions=1, slow_replies=2, pulls=2),
        GossipBudget("silent at one node", heartbeat_timeouts=2, late_heartbeats=1, pulls=3),
        GossipBudget("a restart, slow replies", drains=1, restarts=1, slow_replies=1, pulls=2),
    ]
    if large:
        budgets += [
            GossipBudget(
                "all of it",
                drains=1,
                leaves=1,
                late_heartbeats=1,
                heartbeat_timeouts=1,
                restarts=1,
                key_deletions=1,
                slow_replies=1,
                partitions=1,
                pulls=4,
            ),
            GossipBudget("two restarts", drains=1, late_heartbeats=1, restarts=2, slow_replies=2, pulls=4),
        ]
    return [GossipWorld(budget) for budget in budgets]


def model(large: bool) -> Model:
    """Return the model as the checker explores it."""
    return Model(
        "telegraph",
        "updates about backends between control-plane nodes",
        lambda: initial_worlds(large),
        thaw,
        describe_step,
        PROPERTIES,
    )
