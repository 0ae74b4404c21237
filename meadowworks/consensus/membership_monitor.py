"""Periodic maintenance: finishing undecided versions and adjusting the membership.

Members act in the order of their rank among the answering members. Each waits longer than the one before it,
so that usually one member acts and the others find the work done.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum, auto

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.lease import LeaseTracker
from meadowworks.consensus.membership import next_members
from meadowworks.consensus.operations import Operation, OperationKind
from meadowworks.consensus.timing import (
    BOOTSTRAP_WAIT_NS,
    EPOCH_SETTLING_NS,
    FINISH_DELAY_DEGRADED_NS,
    FINISH_DELAY_NS,
    FINISH_RANK_DELAY_NS,
    MEMBER_SILENCE_TIMEOUT_NS,
    RANK_DELAY_NS,
)
from meadowworks.consensus.values import MEMBERSHIP_VERSION, NO_BALLOT, Epoch, Members

# Sorts leaving members before all silent ones.
LEAVING_SINCE_NS = -1

# -- decisions


@dataclass(frozen=True, slots=True)
class CompleteReconfiguration:
    """Complete a membership change that has been chosen: seal the epoch and install the next one."""

    epoch: Epoch
    next_epoch: Epoch


@dataclass(frozen=True, slots=True)
class FinishVersion:
    """Finish a version that another replica has started."""

    version: int


@dataclass(frozen=True, slots=True)
class FinishMembershipProposal:
    """Finish a membership proposal that another replica has started."""


@dataclass(frozen=True, slots=True)
class InstallLaggingMembers:
    """Install the members that have missed the change to this epoch."""


@dataclass(frozen=True, slots=True)
class ProposeMembers:
    """Propose these members for the next epoch."""

    members: Members


Decision = (
    CompleteReconfiguration
    | FinishVersion
    | FinishMembershipProposal
    | InstallLaggingMembers
    | ProposeMembers
)


class Condition(Enum):
    """A state that requires action if it persists."""

    SEALED = auto()  # the epoch has been sealed, and the next one is not installed here
    VERSION_UNDECIDED = auto()
    MEMBERS_UNDECIDED = auto()
    MEMBERS_TO_CHANGE = auto()


class MembershipMonitor:
    """Decides which conditions have persisted long enough to be acted on."""

    def __init__(self, acceptor: Acceptor, lease: LeaseTracker, tolerated_failures: int) -> None:
        self._acceptor, self._lease = acceptor, lease
        self.tolerated_failures = tolerated_failures
        self.started_ns = self.epoch_since_ns = 0
        self.condition_since_ns: dict[tuple[Condition, int], int] = {}  # by condition and version, or 0

    def on_start(self, now_ns: int) -> None:
        """Initialize the timers when the process starts."""
        self.started_ns = self.epoch_since_ns = now_ns

    def on_new_epoch(self, now_ns: int) -> None:
        """Record the time at which this replica learned of an epoch or joined it."""
        self.epoch_since_ns = now_ns

    # -- silent members and candidates

    def silent_members(self, now_ns: int) -> list[str]:
        """Return the ids of leaving members, then of silent members with the longest silent first.

        Leaving members are included at once. Prevents a new membership whose majority depends on a leaving
        member and is lost when another member fails.
        """
        silent = []
        for member_id, _ in self._acceptor.epoch.members:
            if member_id in (self._acceptor.member_id, self._acceptor.bootstrap_id):
                continue
            peer = self._lease.peers.get(member_id)
            if peer is not None and not peer.last_reply.is_eligible:
                silent.append((LEAVING_SINCE_NS, member_id))
                continue
            last_reply_ns = peer.last_reply_ns if peer else self.epoch_since_ns
            since_ns = max(last_reply_ns, self.started_ns)
            if now_ns - since_ns > MEMBER_SILENCE_TIMEOUT_NS:
                silent.append((since_ns, member_id))
        return [member_id for _, member_id in sorted(silent)]

    def membership_candidates(self, now_ns: int) -> dict[str, str]:
        """Return ids and addresses of reachable, eligible replicas that are not members."""
        epoch = self._acceptor.epoch
        candidates = {
            member_id: peer.last_reply.address
            for member_id, peer in self._lease.peers.items()
            if peer.last_reply.is_eligible
            and peer.last_reply.epoch >= epoch.number  # an older reply may precede its removal
            and now_ns - peer.last_reply_ns < MEMBER_SILENCE_TIMEOUT_NS
            and not epoch.has_member(member_id)
        }
        if self._acceptor.is_eligible and not epoch.has_member(self._acceptor.member_id):
            candidates[self._acceptor.member_id] = self._acceptor.address  # in epoch 0
        return candidates

    def desired_members(self, now_ns: int, silent_members: list[str]) -> Members | None:
        """Return the members that the next epoch should have; None if no change is needed."""
        candidates = self.membership_candidates(now_ns)
        if self._acceptor.epoch.number > 0:
            return next_members(self._acceptor.epoch, self.tolerated_failures, silent_members, candidates)
        # No value can have been acknowledged in epoch 0, and later replicas are added in later epochs.
        required = self.tolerated_failures + 1
        if now_ns - self.started_ns < BOOTSTRAP_WAIT_NS:
            required = 2 * self.tolerated_failures + 1
        return tuple(sorted(candidates.items())) if len(candidates) >= required else None

    # -- decisions

    def decisions(
        self, now_ns: int, operations: Mapping[int, Operation], leaving: bool
    ) -> Iterator[Decision]:
        """Yield the actions that are due. Each must be carried out before the next one is requested."""
        acceptor = self._acceptor
        changing = any(o.kind in (OperationKind.MEMBERS, OperationKind.LEAVE) for o in operations.values())
        silent = self.silent_members(now_ns)
        rank = self._rank(silent)
        sealed = acceptor.sealed_by is not None and acceptor.installed
        sealed_for_ns = self._duration_ns(now_ns, (Condition.SEALED, 0), sealed)
        if sealed:
            assert acceptor.sealed_by is not None
            if sealed_for_ns >= rank * RANK_DELAY_NS and not changing:
                yield CompleteReconfiguration(acceptor.epoch, acceptor.sealed_by)
            return
        if not acceptor.may_vote():
            return
        yield from self._undecided_version_decisions(now_ns, rank, bool(silent), operations)
        slot = acceptor.slots.get(MEMBERSHIP_VERSION)
        proposal_started = slot is not None and slot.accepted > NO_BALLOT
        undecided_for_ns = self._duration_ns(now_ns, (Condition.MEMBERS_UNDECIDED, 0), proposal_started)
        if undecided_for_ns >= FINISH_DELAY_NS + rank * RANK_DELAY_NS and not changing:
            yield FinishMembershipProposal()
            return
        if acceptor.epoch.number > 0:
            yield InstallLaggingMembers()
        if changing or proposal_started or leaving:
            return
        desired = self.desired_members(now_ns, silent)
        desired_for_ns = self._duration_ns(now_ns, (Condition.MEMBERS_TO_CHANGE, 0), desired is not None)
        if desired is not None and desired_for_ns >= rank * RANK_DELAY_NS:
            yield ProposeMembers(desired)

    def _undecided_version_decisions(
        self, now_ns: int, rank: int, member_silent: bool, operations: Mapping[int, Operation]
    ) -> Iterator[Decision]:
        version = self._acceptor.highest_undecided_version()
        for condition in [*self.condition_since_ns]:
            if condition[0] is Condition.VERSION_UNDECIDED and condition[1] != version:
                del self.condition_since_ns[condition]
        degraded = member_silent or now_ns - self.epoch_since_ns < EPOCH_SETTLING_NS
        delay_ns = FINISH_DELAY_DEGRADED_NS if degraded else FINISH_DELAY_NS
        undecided = version > self._acceptor.committed.version
        undecided_for_ns = self._duration_ns(now_ns, (Condition.VERSION_UNDECIDED, version), undecided)
        if undecided_for_ns < delay_ns + rank * FINISH_RANK_DELAY_NS:
            return
        if not any(operation.version == version for operation in operations.values()):
            yield FinishVersion(version)

    def _rank(self, silent_members: list[str]) -> int:
        """Return the position of this replica among the answering members; the last if it is not a member."""
        epoch = self._acceptor.epoch
        answering = sorted(member_id for member_id, _ in epoch.members if member_id not in silent_members)
        own_id = self._acceptor.id_in_epoch(epoch.number)
        return answering.index(own_id) if own_id in answering else len(answering)

    def _duration_ns(self, now_ns: int, condition: tuple[Condition, int], holds: bool) -> int:
        """Return how long a condition has held; -1 if it does not hold."""
        if not holds:
            self.condition_since_ns.pop(condition, None)
            return -1
        return now_ns - self.condition_since_ns.setdefault(condition, now_ns)
