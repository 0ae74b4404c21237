"""What happens in each world of the model: who proposes what, and which faults may come."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

Members = tuple[tuple[str, str], ...]
X, Y = b"x", b"y"
NO_PAIRS: frozenset[frozenset[int]] = frozenset()


def members_of(*names: str) -> Members:
    """Members by their disks: `a` stands at place 0, `b` at 1; `c2` is the second disk at place 2."""
    return tuple(sorted((name, str(ord(name[0]) - ord("a"))) for name in names))


@dataclass(frozen=True, slots=True)
class Task:
    """What a call is for.

    `kind`: `put` and `finish` are of a version; `members` proposes them, or without any finishes what another
    has proposed; `change` completes the scenario's chosen members, `carry` those that its place finds itself
    sealed by; `read` and `leave`. `epoch`: it begins in this one alone; -1: in any.
    """

    place: int
    kind: str
    version: int = 0
    value: bytes | None = None
    members: Members = ()
    epoch: int = -1


THREE_MEMBERS = members_of("a", "b", "c")


@dataclass(frozen=True, slots=True)
class Scenario:
    """How a world begins, and what may happen in it. A place is a machine's number and its address."""

    name: str
    tasks: tuple[Task, ...]
    attempts: tuple[int, ...]  # that each task may begin
    place_count: int = 3
    members: Members = THREE_MEMBERS  # of epoch 1; with `founding`, of the places that found
    # Chosen already as those of epoch 2, by `b`, with `a`; nothing is sealed yet.
    next_members: Members = ()
    # Places that are sealed by epoch 2, and that have it installed, as the scenario begins.
    sealed_at: tuple[int, ...] = ()
    installed_at: tuple[int, ...] = ()
    # Places that have accepted X as version 1, under a high number before epoch 1.
    accepted_before: tuple[int, ...] = ()
    # Places that have accepted X as version 1 in epoch 1: it is chosen.
    chosen_at: tuple[int, ...] = ()
    founding: bool = False
    # Faults, each once a place: an empty disk in place of the old one; machine and disk lost for good; power
    # lost; restarted without a vote, and later with one.
    replaceable_disks: tuple[int, ...] = ()
    losable_machines: tuple[int, ...] = ()
    crash_places: tuple[int, ...] = ()
    restart_places: tuple[int, ...] = ()
    replies_may_be_lost: bool = False
    acceptors_learn: bool = False  # acceptors tell each other what they know to be chosen
    members_install: bool = False  # members install others in their epoch
    acceptors_announce: bool = False  # acceptors hear of each other's epochs
    requests_may_be_late: bool = False  # until after their sender has lost power or begun again
    partition: frozenset[frozenset[int]] = NO_PAIRS  # pairs of places that will not reach each other


def pairs_between(one: Iterable[int], other: Iterable[int]) -> frozenset[frozenset[int]]:
    """All pairs of a place of the one side and a place of the other."""
    return frozenset(frozenset((a, b)) for a in one for b in other)


AB, ABC, ABCD, ABCDE, BCD, ABD, CDE = (
    members_of(*names) for names in ("ab", "abc", "abcd", "abcde", "bcd", "abd", "cde")
)
WIPED = members_of("a", "b", "c2")


def propose(place: int, value: bytes = X, version: int = 1, epoch: int = -1) -> Task:
    """A task that proposes a value for a version."""
    return Task(place, "put", version, value, (), epoch)


def propose_members(place: int, members: Members, epoch: int = -1) -> Task:
    """A task that proposes the next epoch's members."""
    return Task(place, "members", members=members, epoch=epoch)
