"""The Paxos acceptor: its durable state and its replies to requests.

A reply must not be sent before the changes that it depends on are on disk; `replica` ensures this.

Source: L. Lamport, "Paxos Made Simple" (2001), section 2.2. For sealing and installing see `reconfiguration`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from meadowworks.consensus.log_sender import reply_to_reader
from meadowworks.consensus.messages import (
    AcceptedReply,
    AcceptRequest,
    BallotRejectedReply,
    InstalledReply,
    InstallPositionRequest,
    InstallRequest,
    LearnRequest,
    LogMissingReply,
    NotAMemberReply,
    PrepareRequest,
    PromiseReply,
    QueryReply,
    QueryRequest,
    Reply,
    Request,
    SealedPositionReply,
    SealedReply,
    SealPositionRequest,
    SealRequest,
    SnapshotReply,
    SnapshotRequest,
    StaleEpochReply,
    VersionDecidedReply,
    VoteRequest,
)
from meadowworks.consensus.replicated_log import (
    EntryPosition,
    FetchedLog,
    LogSource,
    LogState,
    ReplicatedLog,
)
from meadowworks.consensus.transfer_messages import EntriesRequest, SnapshotChunkRequest
from meadowworks.consensus.values import (
    HISTORY_LENGTH,
    MEMBERSHIP_VERSION,
    NO_BALLOT,
    NO_EPOCH,
    NO_EPOCH_NUMBER,
    NOTHING_COMMITTED,
    AcceptorSlot,
    AcceptorState,
    CommittedValue,
    DigestHistory,
    Epoch,
    digest,
)
from meadowworks.runtime.errors import InvariantError

# Bounds the slots of versions that are promised or accepted but not yet known to be committed: more than
# operators have under way at any time.
MAX_UNDECIDED_VERSIONS = 512


@dataclass(slots=True)
class Acceptor:
    """The acceptor state of one disk.

    `member_id` identifies the disk as a member; `bootstrap_id` identifies it in epoch 0. `is_eligible`: the
    settings allow membership and the replica is not leaving. `installed`: the acceptor is a member of `epoch`
    and holds the state that it needs to vote in it. `sealed_by` is the epoch that ended `epoch` at this
    acceptor. `announced_epoch` is the newest epoch that another replica has announced; it is not stored.
    `log` is the replicated log of this disk; None if the replica does not take part in one. `fetched_log` is
    the log of another replica that a request for a later epoch needs; it is not stored.
    `changed_slots`, `metadata_changed` and `committed_changed` mark what must be written before the next
    reply is sent.
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
    log: ReplicatedLog | None = None
    fetched_log: FetchedLog | None = None
    changed_slots: set[int] = field(default_factory=set)
    metadata_changed: bool = False  # any field apart from the slots, the committed value and the history
    committed_changed: bool = False  # the committed value and the history
    disk_failed: bool = False  # the disk rejects writes or does not complete them

    # -- state

    def newest_epoch(self) -> Epoch:
        """Return the newest epoch that this acceptor has joined or that was announced to it."""
        if self.announced_epoch.number >= self.epoch.number:
            return self.announced_epoch
        return self.epoch

    def id_in_epoch(self, epoch: int) -> str:
        """Return the member id of this acceptor in an epoch."""
        return self.bootstrap_id if epoch == 0 else self.member_id

    def may_vote(self) -> bool:
        """Return whether the acceptor may promise and accept in its epoch."""
        if self.disk_failed:
            return False
        return self.installed and self.sealed_by is None and self.announced_epoch.number <= self.epoch.number

    def has_unwritten_changes(self) -> bool:
        """Return whether a write must complete before the next reply is sent."""
        if self.log is not None and self.log.has_unwritten_changes():
            return True
        return bool(self.changed_slots) or self.metadata_changed or self.committed_changed

    def highest_undecided_version(self) -> int:
        """Return the highest version with an accepted but uncommitted value; 0 if there is none."""
        return max((v for v, s in self.slots.items() if v and s.accepted > NO_BALLOT), default=0)

    def digest_history(self) -> DigestHistory:
        """Return the digests of past versions in the form in which they are sent."""
        return tuple(sorted(self.history.items()))

    def export_state(self) -> AcceptorState:
        """Return the state that is transferred to the next epoch.

        It contains the log if that belongs to the epoch of this acceptor.
        """
        log = self.log.export() if self.log is not None and self.log.epoch == self.epoch.number else None
        return replace(self.export_registers(), log=log)

    def export_registers(self) -> AcceptorState:
        """Return the state that is transferred to the next epoch, without the log."""
        slots = tuple((v, s.promised, s.accepted, s.value) for v, s in sorted(self.slots.items()) if v)
        return AcceptorState(self.committed, self.digest_history(), slots)

    def log_source(self) -> LogSource | None:
        """Return where the log ends and can be read; None if it does not belong to the epoch."""
        if self.log is None or self.log.epoch != self.epoch.number:
            return None
        return LogSource(self.log.last_position, self.address)

    def query_reply(self) -> QueryReply:
        """Return this acceptor's state as a reply to a query."""
        return QueryReply(
            self.newest_epoch().number,
            self.may_vote(),
            max(self.committed.version, self.highest_undecided_version()),
            self.committed.version,
            self.member_id,
            self.address,
            self.is_eligible and not self.disk_failed,  # lets another disk replace a failed one
        )

    # -- requests

    def handle(self, request: Request) -> Reply:
        """Return the reply to a request. It may be sent once all changes are on disk.

        :raises InvariantError: if two different epochs were chosen to follow the same epoch.
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
            case InstallPositionRequest(_, next_epoch, state, source):
                return self.install_at(next_epoch, state, source)
            case SealRequest(epoch, next_epoch):
                return self.seal(epoch, next_epoch) or SealedReply(next_epoch, self.export_state())
            case SealPositionRequest(epoch, next_epoch):
                return self.seal(epoch, next_epoch) or SealedPositionReply(
                    next_epoch, self.export_registers(), self.log_source()
                )
            case SnapshotChunkRequest() | EntriesRequest() if self.log is not None:
                return reply_to_reader(self.log, request)
            case PrepareRequest() | AcceptRequest():
                return self.vote(request)
        return NotAMemberReply(self.epoch.number)  # `log_replica` handles the requests of the log

    def vote(self, request: VoteRequest) -> Reply:
        """Return the reply to a prepare or accept request."""
        if request.epoch < self.newest_epoch().number:
            return StaleEpochReply(self.newest_epoch())
        if request.epoch != self.epoch.number or not self.installed or request.ballot.epoch != request.epoch:
            return NotAMemberReply(self.epoch.number)
        if self.sealed_by is not None:
            return SealedReply(self.sealed_by)
        if MEMBERSHIP_VERSION < request.version <= self.committed.version:
            return VersionDecidedReply(self.committed, self.digest_history())
        if request.version != MEMBERSHIP_VERSION and request.epoch == 0:
            return NotAMemberReply(0)  # epoch 0 only chooses the members of epoch 1
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
        """Return whether a request for a new version must be rejected.

        Prevents unbounded slots at a member that accepts values but never learns which were committed.
        """
        return version != MEMBERSHIP_VERSION and len(self.slots) >= MAX_UNDECIDED_VERSIONS

    def seal(self, epoch: int, next_epoch: Epoch) -> Reply | None:
        """Stop voting in an epoch because `next_epoch` has been chosen.

        :returns: the refusal, or None if the acceptor is sealed.
        :raises InvariantError: if this acceptor was sealed for a different next epoch.
        """
        if self.epoch.number >= next_epoch.number:
            return StaleEpochReply(self.epoch)
        if self.epoch.number != epoch or not self.installed:
            return NotAMemberReply(self.epoch.number)
        if self.sealed_by is None:
            self.sealed_by, self.metadata_changed = next_epoch, True
        elif self.sealed_by != next_epoch:
            raise InvariantError(
                f"two memberships chosen after epoch {epoch}: {self.sealed_by}, {next_epoch}"
            )
        return None

    def install(self, next_epoch: Epoch, state: AcceptorState) -> Reply:
        """Join `next_epoch` with the state transferred from the previous epoch.

        Slots that are already held are kept: a value that was accepted in an earlier epoch is either in
        `state` or was never chosen.
        """
        if self.installed and self.epoch.number >= next_epoch.number:
            if self.epoch.number == next_epoch.number:
                self._adopt_log(next_epoch, state.log)
            return InstalledReply(self.epoch.number)
        if not self._may_join(next_epoch) or self._would_lose_log_entries(state.log):
            return NotAMemberReply(self.epoch.number)
        self._adopt_log(next_epoch, state.log)
        return self._join(next_epoch, state)

    def install_at(self, next_epoch: Epoch, state: AcceptorState, source: LogSource | None) -> Reply:
        """Join `next_epoch` once the own log, or a fetched one, reaches the position of the source.

        Such a log contains everything that was committed in the previous epoch, because its last position is
        at least that of the most up-to-date log of a sealed majority. So a member whose log is ahead of the
        source keeps it.
        """
        if self.log is None or source is None:
            return self.install(next_epoch, state)
        has_joined = self.installed and self.epoch.number >= next_epoch.number
        if has_joined and (self.epoch.number > next_epoch.number or self.log.epoch >= next_epoch.number):
            return InstalledReply(self.epoch.number)
        if not has_joined and not self._may_join(next_epoch):
            return NotAMemberReply(self.epoch.number)
        if not self._continue_log(next_epoch, source.position):
            return LogMissingReply(self.epoch.number)
        return InstalledReply(next_epoch.number) if has_joined else self._join(next_epoch, state)

    def _may_join(self, next_epoch: Epoch) -> bool:
        if not next_epoch.has_member(self.member_id) or next_epoch.number < self.newest_epoch().number:
            return False
        # Otherwise voting is disabled, or this replica is leaving.
        return self.installed or self.is_eligible

    def _join(self, next_epoch: Epoch, state: AcceptorState) -> InstalledReply:
        """Become a member of an epoch whose log the acceptor has."""
        if next_epoch.number > self.epoch.number:  # otherwise it rejoins its own epoch and keeps its seal
            self.epoch, self.sealed_by = next_epoch, None
            if self.slots.pop(MEMBERSHIP_VERSION, None):
                self.changed_slots.add(MEMBERSHIP_VERSION)
        self.installed, self.metadata_changed = True, True
        self.merge_state(state)
        return InstalledReply(next_epoch.number)

    def _would_lose_log_entries(self, state: LogState | None) -> bool:
        """Return whether a state for the next epoch lacks entries that may be committed.

        Prevents a release without a log, or a member that has got none from it, from replacing the log.
        """
        if self.log is None or self.log.epoch != self.epoch.number or not self.log.last_index:
            return False
        return state is None or state.last_position.index < self.log.snapshot.index

    def _continue_log(self, epoch: Epoch, required: EntryPosition) -> bool:
        """Start an epoch with a log that reaches a position.

        :returns: false if neither the own nor the fetched log does.
        """
        assert self.log is not None
        fetched = self.fetched_log
        if self.log.last_position >= required:
            self.log.continue_in(epoch.number)
            return True
        if fetched is None or fetched.last_position < required:
            return False
        return self.log.accept(epoch.number, fetched)

    def _adopt_log(self, epoch: Epoch, state: LogState | None) -> None:
        """Start an epoch with the log of the previous one, unless the own log already belongs to it.

        A member with an empty log keeps it if the state contains none, since nothing was committed there. A
        new member must wait for a state that contains the log.
        """
        if self.log is None or self.log.epoch >= epoch.number:
            return
        if state is None and self.log.epoch == self.epoch.number and self.installed:
            state = LogState()
        if state is not None:
            self.log.adopt(epoch.number, state)
        elif self.log.epoch == NO_EPOCH_NUMBER:
            # Prevents `load_acceptor` from taking this empty log for that of a member since the upgrade.
            self.log.epoch, self.log.metadata_changed = 0, True

    # -- learning

    def merge_state(self, state: AcceptorState) -> None:
        """Merge the state of another acceptor; for each version the value with the higher ballot wins."""
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
        """Record an epoch that another replica has announced.

        :returns: whether the epoch is newer than every epoch seen so far.
        """
        if epoch.number <= self.newest_epoch().number:
            return False
        self.announced_epoch = epoch
        return True

    def learn(self, version: int, value: bytes, history: Iterable[tuple[int, bytes]] = ()) -> bool:
        """Record a chosen value.

        :param history: digests of the values of earlier versions.
        :returns: whether the version is newer than the committed version.
        """
        new_digests = {v: d for v, d in history if v not in self.history and v <= version}
        if version > 0 and version not in self.history:
            new_digests[version] = digest(value)
        if new_digests:
            self.history.update(new_digests)
            for oldest_version in sorted(self.history)[:-HISTORY_LENGTH]:
                del self.history[oldest_version]
            self.committed_changed = True
        if version <= self.committed.version:
            return False
        self.committed, self.committed_changed = CommittedValue(version, value), True
        for decided_version in [v for v in self.slots if MEMBERSHIP_VERSION < v <= version]:
            del self.slots[decided_version]
            self.changed_slots.add(decided_version)
        return True
