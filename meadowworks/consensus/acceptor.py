"""The acceptor of Paxos: what one disk holds, and how it answers requests.

Nothing that an acceptor answers may leave before its changes are on the disk; `replica` sees to that.

Source: L. Lamport, "Paxos Made Simple" (2001), section 2.2; for sealing and installing see `reconfiguration`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from meadowworks.consensus.messages import (
    AcceptedReply,
    BallotRejectedReply,
    InstalledReply,
    InstallRequest,
    LearnRequest,
    NotAMemberReply,
    PrepareRequest,
    PromiseReply,
    QueryReply,
    QueryRequest,
    Reply,
    Request,
    SealedReply,
    SealRequest,
    SnapshotReply,
    SnapshotRequest,
    StaleEpochReply,
    VersionDecidedReply,
    VoteRequest,
)
from meadowworks.consensus.values import (
    HISTORY_LENGTH,
    MEMBERSHIP_VERSION,
    NO_BALLOT,
    NO_EPOCH,
    NOTHING_COMMITTED,
    AcceptorSlot,
    AcceptorState,
    CommittedValue,
    DigestHistory,
    Epoch,
    digest,
)
from meadowworks.runtime.errors import InvariantError

# Versions that were promised or accepted and not learnt yet: more than operators have under way at any time.
MAX_UNDECIDED_VERSIONS = 512


@dataclass(slots=True)
class Acceptor:
    """What one disk holds.

    `member_id` is its name as a member, `bootstrap_id` the one under which it is a member of epoch 0.
    `installed`: it is a member of `epoch` and holds what a member must hold to vote in it. `sealed_by` is the
    epoch that ended `epoch` at this acceptor. `announced_epoch` is the newest epoch learnt of; it is not kept
    on the disk. `changed_slots`, `metadata_changed` and `committed_changed` tell what must be written before
    a reply leaves.
    """

    member_id: str
    address: str = ""
    bootstrap_id: str = ""
    is_eligible: bool = True
    incarnation: int = 0
    epoch: Epoch = NO_EPOCH
    installed: bool = False
    sealed_by: Epoch | None = None
    committed: CommittedValue = NOTHING_COMMITTED
    history: dict[int, bytes] = field(default_factory=dict)
    slots: dict[int, AcceptorSlot] = field(default_factory=dict)
    announced_epoch: Epoch = NO_EPOCH
    changed_slots: set[int] = field(default_factory=set)
    metadata_changed: bool = False  # all but slots and values
    committed_changed: bool = False  # the committed value and the history
    disk_failed: bool = False  # the disk refuses writes, or does not end them

    # -- what it is

    def newest_epoch(self) -> Epoch:
        """The newest epoch that it has learnt of."""
        if self.announced_epoch.number >= self.epoch.number:
            return self.announced_epoch
        return self.epoch

    def id_in_epoch(self, epoch: int) -> str:
        """The id under which it is counted in an epoch."""
        return self.bootstrap_id if epoch == 0 else self.member_id

    def may_vote(self) -> bool:
        """Whether it may promise and accept in its epoch."""
        if self.disk_failed:
            return False
        return self.installed and self.sealed_by is None and self.announced_epoch.number <= self.epoch.number

    def has_unwritten_changes(self) -> bool:
        """Whether anything must be written before a reply leaves."""
        return bool(self.changed_slots) or self.metadata_changed or self.committed_changed

    def highest_undecided_version(self) -> int:
        """The highest version that it has accepted a value for and that is not committed; 0 if none."""
        return max((v for v, s in self.slots.items() if v and s.accepted > NO_BALLOT), default=0)

    def digest_history(self) -> DigestHistory:
        """The digests of past versions, as they are sent."""
        return tuple(sorted(self.history.items()))

    def export_state(self) -> AcceptorState:
        """What it holds of versions, as it is transferred to the next epoch."""
        slots = tuple((v, s.promised, s.accepted, s.value) for v, s in sorted(self.slots.items()) if v)
        return AcceptorState(self.committed, self.digest_history(), slots)

    def query_reply(self) -> QueryReply:
        """What it says of itself."""
        return QueryReply(
            self.newest_epoch().number,
            self.may_vote(),
            max(self.committed.version, self.highest_undecided_version()),
            self.committed.version,
            self.member_id,
            self.address,
            self.is_eligible and not self.disk_failed,  # another disk may take its place
        )

    # -- requests

    def handle(self, request: Request) -> Reply:
        """The reply to a request. It may leave once what has changed is on the disk.

        :raises InvariantError: if two different epochs were chosen after one.
        """
        match request:
            case QueryRequest(epoch):
                if epoch < self.epoch.number and self.installed:
                    return StaleEpochReply(self.epoch)
                return self.query_reply()
            case SnapshotRequest():
                return SnapshotReply(self.committed, self.digest_history())
            case LearnRequest(_, committed, history):
                self.learn(committed.version, committed.value, history)
                return self.query_reply()
            case InstallRequest(_, next_epoch, state):
                return self.install(next_epoch, state)
            case SealRequest(epoch, next_epoch):
                return self.seal(epoch, next_epoch)
        return self.vote(request)

    def vote(self, request: VoteRequest) -> Reply:
        """The reply to either round of a proposal."""
        if request.epoch < self.newest_epoch().number:
            return StaleEpochReply(self.newest_epoch())
        if request.epoch != self.epoch.number or not self.installed or request.ballot.epoch != request.epoch:
            return NotAMemberReply(self.epoch.number)
        if self.sealed_by is not None:
            return SealedReply(self.sealed_by)
        if MEMBERSHIP_VERSION < request.version <= self.committed.version:
            return VersionDecidedReply(self.committed, self.digest_history())
        if request.version != MEMBERSHIP_VERSION and request.epoch == 0:
            return NotAMemberReply(0)  # in epoch 0 only the members of epoch 1 are chosen
        slot = self.slots.get(request.version) or AcceptorSlot()
        if request.version not in self.slots and self._has_too_many_undecided(request.version):
            return NotAMemberReply(self.epoch.number)
        if request.ballot < slot.promised:
            return BallotRejectedReply(slot.promised)
        self.slots[request.version] = slot
        slot.promised = request.ballot
        self.changed_slots.add(request.version)
        if isinstance(request, PrepareRequest):
            return PromiseReply(request.ballot, slot.accepted, slot.value)
        slot.accepted, slot.value = request.ballot, request.value
        return AcceptedReply(request.ballot)

    def _has_too_many_undecided(self, version: int) -> bool:
        """Whether it takes no part in a further version until it has learnt what was decided.

        Guards against slots without number at a member that accepts, and hears of no decision.
        """
        return version != MEMBERSHIP_VERSION and len(self.slots) >= MAX_UNDECIDED_VERSIONS

    def seal(self, epoch: int, next_epoch: Epoch) -> Reply:
        """Ends its part in an epoch, since `next_epoch` has been chosen.

        :raises InvariantError: if another epoch was chosen after this one.
        """
        if self.epoch.number >= next_epoch.number:
            return StaleEpochReply(self.epoch)
        if self.epoch.number != epoch or not self.installed:
            return NotAMemberReply(self.epoch.number)
        if self.sealed_by is None:
            self.sealed_by, self.metadata_changed = next_epoch, True
        elif self.sealed_by != next_epoch:
            raise InvariantError(f"two sets of members after epoch {epoch}")
        return SealedReply(next_epoch, self.export_state())

    def install(self, next_epoch: Epoch, state: AcceptorState) -> Reply:
        """Becomes a member of `next_epoch`, with the state that was transferred.

        What it holds besides stays: it was accepted in an earlier epoch, so it is in `state`, or was never
        chosen.
        """
        if self.installed and self.epoch.number >= next_epoch.number:
            return InstalledReply(self.epoch.number)
        if not next_epoch.has_member(self.member_id) or next_epoch.number < self.newest_epoch().number:
            return NotAMemberReply(self.epoch.number)
        if not self.installed and not self.is_eligible:
            return NotAMemberReply(self.epoch.number)  # the settings say not to vote
        if next_epoch.number > self.epoch.number:  # else it comes back to where it was, sealed or not
            self.epoch, self.sealed_by = next_epoch, None
            if self.slots.pop(MEMBERSHIP_VERSION, None):
                self.changed_slots.add(MEMBERSHIP_VERSION)
        self.installed, self.metadata_changed = True, True
        self.merge_state(state)
        return InstalledReply(next_epoch.number)

    # -- what it comes to know

    def merge_state(self, state: AcceptorState) -> None:
        """Takes in what another acceptor held: the higher ballot of each version counts."""
        self.learn(state.committed.version, state.committed.value, state.history)
        for version, promised, accepted, value in state.slots:
            if version <= self.committed.version:
                continue
            slot = self.slots.setdefault(version, AcceptorSlot())
            slot.promised = max(slot.promised, promised)
            if accepted > slot.accepted:
                slot.accepted, slot.value = accepted, value
            self.changed_slots.add(version)

    def on_epoch_announced(self, epoch: Epoch) -> bool:
        """Hears of an epoch that is in force somewhere.

        :returns: whether it is newer than all it has learnt of.
        """
        if epoch.number <= self.newest_epoch().number:
            return False
        self.announced_epoch = epoch
        return True

    def learn(self, version: int, value: bytes, history: Iterable[tuple[int, bytes]] = ()) -> bool:
        """A value is known to be chosen.

        :param history: digests of the values of earlier versions.
        :returns: whether the version is newer than the one committed here.
        """
        known = {v: d for v, d in history if v not in self.history and v <= version}
        if version > 0 and version not in self.history:
            known[version] = digest(value)
        if known:
            self.history.update(known)
            for old in sorted(self.history)[:-HISTORY_LENGTH]:
                del self.history[old]
            self.committed_changed = True
        if version <= self.committed.version:
            return False
        self.committed, self.committed_changed = CommittedValue(version, value), True
        for old in [v for v in self.slots if MEMBERSHIP_VERSION < v <= version]:
            del self.slots[old]
            self.changed_slots.add(old)
        return True
