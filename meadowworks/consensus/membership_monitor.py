"""What a replica does from time to time: finish what others left undone, keep the members as they should be.

The members act one after another, by their rank among those that answer: each waits a little longer than the
one before it, so that as a rule one acts and the others find it done.
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

# Since when a leaving member counts as silent: before any that is.
LEAVING_SINCE_NS = -1

# -- decisions


@dataclass(frozen=True, slots=True)
class CompleteReconfiguration:
    """Seal and install a change of members that is chosen already."""

    epoch: Epoch
    next_epoch: Epoch


@dataclass(frozen=True, slots=True)
class FinishVersion:
    """Finish a version that another replica has begun."""

    version: int


@dataclass(frozen=True, slots=True)
class FinishMembershipProposal:
    """Finish a proposal of members that another replica has begun."""


@dataclass(frozen=True, slots=True)
class InstallLaggingMembers:
    """Install members that have missed the change to this epoch."""


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
    """A state that should not last."""

    SEALED = auto()  # the own epoch has ended, and the next is not installed here
    VERSION_UNDECIDED = auto()
    MEMBERS_UNDECIDED = auto()
    MEMBERS_TO_CHANGE = auto()


class MembershipMonitor:
    """Decides what has lasted long enough to be acted on."""

    def __init__(self, acceptor: Acceptor, lease: LeaseTracker, tolerated_failures: int) -> None:
        self._acceptor, self._lease = acceptor, lease
        self.tolerated_failures = tolerated_failures
        self.started_ns = self.epoch_since_ns = 0
        self.condition_since_ns: dict[tuple[Condition, int], int] = {}  # with the version, if it is of one

    def on_start(self, now_ns: int) -> None:
        """The process starts."""
        self.started_ns = self.epoch_since_ns = now_ns

    def on_new_epoch(self, now_ns: int) -> None:
        """This replica has learnt of an epoch, or become a member of one."""
        self.epoch_since_ns = now_ns

    # -- who answers, and who should be a member

    def silent_members(self, now_ns: int) -> list[str]:
        """Members that have not answered for long, the longest first; and before them those that leave.

        A member that leaves for good is as good as gone: guards against a membership that counts on it when a
        newcomer is added, and then loses another member before the leaving one is silent.
        """
        found = []
        for member_id, _ in self._acceptor.epoch.members:
            if member_id in (self._acceptor.member_id, self._acceptor.bootstrap_id):
                continue
            peer = self._lease.peers.get(member_id)
            if peer is not None and not peer.last_reply.is_eligible:
                found.append((LEAVING_SINCE_NS, member_id))
                continue
            last_sign_ns = peer.last_reply_ns if peer else self.epoch_since_ns
            since_ns = max(last_sign_ns, self.started_ns)
            if now_ns - since_ns > MEMBER_SILENCE_TIMEOUT_NS:
                found.append((since_ns, member_id))
        return [member_id for _, member_id in sorted(found)]

    def membership_candidates(self, now_ns: int) -> dict[str, str]:
        """Ids and addresses of those that are in touch, want to be members and are none."""
        epoch = self._acceptor.epoch
        found = {
            member_id: peer.last_reply.address
            for member_id, peer in self._lease.peers.items()
            if peer.last_reply.is_eligible
            and peer.last_reply.epoch >= epoch.number  # an older reply may be of when it still was a member
            and now_ns - peer.last_reply_ns < MEMBER_SILENCE_TIMEOUT_NS
            and not epoch.has_member(member_id)
        }
        if self._acceptor.is_eligible and not epoch.has_member(self._acceptor.member_id):
            found[self._acceptor.member_id] = self._acceptor.address  # a founder, in epoch 0
        return found

    def desired_members(self, now_ns: int, silent_members: list[str]) -> Members | None:
        """The members that the next epoch should have; none if nothing should change."""
        candidates = self.membership_candidates(now_ns)
        if self._acceptor.epoch.number > 0:
            return next_members(self._acceptor.epoch, self.tolerated_failures, silent_members, candidates)
        # Nothing can have been acknowledged in epoch 0, and whoever comes later becomes a member then.
        enough = self.tolerated_failures + 1
        if now_ns - self.started_ns < BOOTSTRAP_WAIT_NS:
            enough = 2 * self.tolerated_failures + 1
        return tuple(sorted(candidates.items())) if len(candidates) >= enough else None

    # -- decisions

    def decisions(
        self, now_ns: int, operations: Mapping[int, Operation], leaving: bool
    ) -> Iterator[Decision]:
        """What is to be done now. Each decision must be carried out before the next one is asked for."""
        acceptor = self._acceptor
        changing = any(o.kind in (OperationKind.MEMBERS, OperationKind.LEAVE) for o in operations.values())
        silent = self.silent_members(now_ns)
        rank = self._rank(silent)
        sealed = acceptor.sealed_by is not None and acceptor.installed
        sealed_for_ns = self._lasts_ns(now_ns, (Condition.SEALED, 0), sealed)
        if sealed:
            assert acceptor.sealed_by is not None
            if sealed_for_ns >= rank * RANK_DELAY_NS and not changing:
                yield CompleteReconfiguration(acceptor.epoch, acceptor.sealed_by)
            return
        if not acceptor.may_vote():
            return
        yield from self._undecided_version(now_ns, rank, bool(silent), operations)
        slot = acceptor.slots.get(MEMBERSHIP_VERSION)
        begun = slot is not None and slot.accepted > NO_BALLOT
        begun_for_ns = self._lasts_ns(now_ns, (Condition.MEMBERS_UNDECIDED, 0), begun)
        if begun_for_ns >= FINISH_DELAY_NS + rank * RANK_DELAY_NS and not changing:
            yield FinishMembershipProposal()
            return
        if acceptor.epoch.number > 0:
            yield InstallLaggingMembers()
        if changing or begun or leaving:
            return
        desired = self.desired_members(now_ns, silent)
        wanted_for_ns = self._lasts_ns(now_ns, (Condition.MEMBERS_TO_CHANGE, 0), desired is not None)
        if desired is not None and wanted_for_ns >= rank * RANK_DELAY_NS:
            yield ProposeMembers(desired)

    def _undecided_version(
        self, now_ns: int, rank: int, member_silent: bool, operations: Mapping[int, Operation]
    ) -> Iterator[Decision]:
        version = self._acceptor.highest_undecided_version()
        for condition in [*self.condition_since_ns]:
            if condition[0] is Condition.VERSION_UNDECIDED and condition[1] != version:
                del self.condition_since_ns[condition]
        degraded = member_silent or now_ns - self.epoch_since_ns < EPOCH_SETTLING_NS
        delay_ns = FINISH_DELAY_DEGRADED_NS if degraded else FINISH_DELAY_NS
        undecided = version > self._acceptor.committed.version
        undecided_for_ns = self._lasts_ns(now_ns, (Condition.VERSION_UNDECIDED, version), undecided)
        if undecided_for_ns < delay_ns + rank * FINISH_RANK_DELAY_NS:
            return
        if not any(operation.version == version for operation in operations.values()):
            yield FinishVersion(version)

    def _rank(self, silent_members: list[str]) -> int:
        """The place of this replica among the members that answer; the last if it is none of them."""
        epoch = self._acceptor.epoch
        answering = sorted(member_id for member_id, _ in epoch.members if member_id not in silent_members)
        own_id = self._acceptor.id_in_epoch(epoch.number)
        return answering.index(own_id) if own_id in answering else len(answering)

    def _lasts_ns(self, now_ns: int, condition: tuple[Condition, int], holds: bool) -> int:
        """For how long a condition has held; -1 if it does not."""
        if not holds:
            self.condition_since_ns.pop(condition, None)
            return -1
        return now_ns - self.condition_since_ns.setdefault(condition, now_ns)
