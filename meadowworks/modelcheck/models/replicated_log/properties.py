"""Properties of the states and steps of the model `replicated_log`."""

from __future__ import annotations

from itertools import combinations

from meadowworks.consensus.values import Epoch
from meadowworks.modelcheck.model import Property
from meadowworks.modelcheck.models.replicated_log.frozen import LogView, NodeView
from meadowworks.modelcheck.models.replicated_log.messages import Records
from meadowworks.modelcheck.models.replicated_log.world import (
    BarrierPassed,
    EntriesApplied,
    LogWorld,
    ReplySent,
)


def one_leader_per_term(world: LogWorld) -> bool:
    """Return whether no two nodes have been leader in one term."""
    terms = [term for term, _ in world.state.leaders]
    return len(terms) == len(set(terms))


def one_vote_per_term(world: LogWorld) -> bool:
    """Return whether no member has voted for two candidates in one term."""
    voters = [(vote.term, vote.voter_id) for vote in world.state.votes]
    return len(voters) == len(set(voters))


def views_of(world: LogWorld) -> list[NodeView]:
    """Return the views of all nodes."""
    return [node.view for node in world.state.nodes]


def later_leaders_hold_committed_entries(world: LogWorld) -> bool:
    """Return whether the log of each leader contains what was committed in earlier terms."""
    return all(
        contains(view.memory.records, index, world)
        for view in views_of(world)
        if view.is_leader
        for index, committed in enumerate(world.state.committed)
        if committed.leader_term < view.memory.term
    )


def contains(records: Records, index: int, world: LogWorld) -> bool:
    """Return whether a log contains the committed entry at an index, which begins at 0."""
    return index < len(records) and records[index] == world.state.committed[index].record


def committed_entries_are_durable(world: LogWorld) -> bool:
    """Return whether any majority of the disks of the newest epoch contains every committed entry.

    The epoch is the newest one that a majority of its members has installed. Majorities with a disk that has
    been wiped are left out.
    """
    disks = [view.disk for view in views_of(world)]
    epoch = newest_installed_epoch(disks)
    members = [disk for disk in disks if epoch.has_member(disk.member_id)]
    return all(
        any(contains(disk.records, index, world) for disk in majority)
        for majority in combinations(members, epoch.majority)
        for index in range(len(world.state.committed))
    )


def newest_installed_epoch(disks: list[LogView]) -> Epoch:
    """Return the newest epoch that a majority of its members has installed with a log."""
    epochs = sorted({disk.epoch for disk in disks if disk.is_installed}, key=lambda epoch: -epoch.number)
    for epoch in epochs:
        installed = [
            disk
            for disk in disks
            if epoch.has_member(disk.member_id) and disk.is_installed and disk.log_epoch >= epoch.number
        ]
        if len(installed) >= epoch.majority:
            return epoch
    return epochs[-1]


def entries_are_applied_in_order(world: LogWorld) -> bool:
    """Return whether what a node has applied is the beginning of what was committed, and never shrinks."""
    return all(row.is_consistent for row in world.outcomes if isinstance(row, EntriesApplied))


def barriers_cover_committed_entries(world: LogWorld) -> bool:
    """Return whether a barrier that passes covers what was committed before it began."""
    return all(
        min(row.barrier_index, row.applied) >= row.committed_before
        for row in world.outcomes
        if isinstance(row, BarrierPassed)
    )


def replies_are_durable(world: LogWorld) -> bool:
    """Return whether what a reply or the own vote confirms was on the disk before it was sent."""
    return all(row.is_durable for row in world.outcomes if isinstance(row, ReplySent))


def own_entries_are_durable(world: LogWorld) -> bool:
    """Return whether the entries that a leader counts for itself are on its disk."""
    return all(
        view.memory.records[: view.own_durable_index] == view.disk.records[: view.own_durable_index]
        for view in views_of(world)
        if view.is_leader
    )


def disk_equals_memory(world: LogWorld) -> bool:
    """Return whether the log on each disk without pending writes equals the log in memory."""
    return all(view.is_writing or view.memory == view.disk for view in views_of(world))


PROPERTIES = (
    Property("one leader", "no term has two leaders", one_leader_per_term),
    Property("one vote", "no member votes for two candidates in one term", one_vote_per_term),
    Property(
        "leaders are complete",
        "the leader of a term has every entry that was committed in an earlier term",
        later_leaders_hold_committed_entries,
    ),
    Property(
        "committed entries last",
        "any majority of the disks of the newest epoch contains every committed entry",
        committed_entries_are_durable,
    ),
    Property(
        "same entries",
        "every replica applies the committed entries, each at its index and in order",
        entries_are_applied_in_order,
        "step",
    ),
    Property(
        "barriers cover",
        "a read barrier that passes covers every entry that was committed before it began",
        barriers_cover_committed_entries,
        "step",
    ),
    Property(
        "log replies are durable",
        "a vote, a reply to an append, a seal or an install is on the disk before it is sent",
        replies_are_durable,
        "step",
    ),
    Property(
        "own entries are durable",
        "the own entries that a leader counts are on its disk",
        own_entries_are_durable,
    ),
    Property(
        "log written whole", "a disk without pending writes equals the log in memory", disk_equals_memory
    ),
)
