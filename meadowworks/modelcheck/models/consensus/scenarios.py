"""The form of a scenario: its tasks, its initial state and the faults that can happen."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

Members = tuple[tuple[str, str], ...]
X, Y = b"x", b"y"
NO_PAIRS: frozenset[frozenset[int]] = frozenset()


def members_of(*names: str) -> Members:
    """Return members by disk: `a` is in machine 0, `b` in machine 1; `c2` is the second disk of machine 2."""
    return tuple(sorted((name, str(ord(name[0]) - ord("a"))) for name in names))


@dataclass(frozen=True, slots=True)
class Task:
    """An operation that a machine attempts.

    :ivar kind: `put` proposes a value for a version, `finish` completes a version that another has proposed.
        `members` proposes a member list, or completes another's proposal if `members` is empty. `change` is
        the reconfiguration to the scenario's `next_members`, `carry` the one to the epoch that has sealed the
        machine's acceptor. `read` and `leave` are a quorum read and the leave of the machine.
    :ivar epoch: the only epoch in which the task may begin, -1 for any.
    """

    machine: int
    kind: str
    version: int = 0
    value: bytes | None = None
    members: Members = ()
    epoch: int = -1


THREE_MEMBERS = members_of("a", "b", "c")


@dataclass(frozen=True, slots=True)
class Scenario:
    """An initial state and the events that can follow it.

    A machine is given by its number, which as a string is its address.
    """

    name: str
    tasks: tuple[Task, ...]
    attempts: tuple[int, ...]  # how often each task may begin
    machine_count: int = 3
    # Members of epoch 1; with `founding`, the machines that found the cluster.
    members: Members = THREE_MEMBERS
    # Members of epoch 2, already chosen by a majority of epoch 1, which is not sealed yet.
    next_members: Members = ()
    # Machines that are sealed by epoch 2 in the initial state.
    sealed_at: tuple[int, ...] = ()
    # Machines that have epoch 2 installed in the initial state.
    installed_at: tuple[int, ...] = ()
    # Machines that have accepted X as version 1 with a high ballot number of epoch 0.
    accepted_before: tuple[int, ...] = ()
    # Machines that have accepted X as version 1 in epoch 1, where it is chosen.
    chosen_at: tuple[int, ...] = ()
    founding: bool = False
    # Faults, each at most once on a machine.
    replaceable_disks: tuple[int, ...] = ()  # the disk is replaced by an empty one
    losable_machines: tuple[int, ...] = ()  # the machine is lost with its disk
    crash_machines: tuple[int, ...] = ()  # the machine loses power
    restart_machines: tuple[int, ...] = ()  # the process restarts without a vote, later with one
    replies_may_be_lost: bool = False
    acceptors_learn: bool = False  # acceptors send each other their committed values
    members_install: bool = False  # members install other members in their epoch
    acceptors_announce: bool = False  # acceptors announce their epochs to each other
    requests_may_be_late: bool = False  # requests can arrive after their sender has restarted or begun again
    partition: frozenset[frozenset[int]] = NO_PAIRS  # pairs of machines that the partition separates


def pairs_between(machines: Iterable[int], other_machines: Iterable[int]) -> frozenset[frozenset[int]]:
    """Return all pairs of a machine on one side and a machine on the other."""
    return frozenset(frozenset((machine, other)) for machine in machines for other in other_machines)


AB, ABC, ABCD, ABCDE, BCD, ABD, CDE = (
    members_of(*names) for names in ("ab", "abc", "abcd", "abcde", "bcd", "abd", "cde")
)
ABC_WITH_C_REPLACED = members_of("a", "b", "c2")


def propose(machine: int, value: bytes = X, version: int = 1, epoch: int = -1) -> Task:
    """Return a task that proposes a value for a version."""
    return Task(machine, "put", version, value, (), epoch)


def propose_members(machine: int, members: Members, epoch: int = -1) -> Task:
    """Return a task that proposes the members of the next epoch."""
    return Task(machine, "members", members=members, epoch=epoch)
