"""What keeps the rules in the product's control machines, each as a patch that takes it out.

A patch stands in place of a method or a figure of the product's class, in this process alone."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any
from unittest import mock

from meadowworks.consensus import membership_monitor, replica
from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.call_factory import QuorumCallFactory
from meadowworks.consensus.effects import Committed, CompleteOperation, Conflict, Undecided
from meadowworks.consensus.membership import next_members
from meadowworks.consensus.membership_monitor import MembershipMonitor
from meadowworks.consensus.messages import (
    AcceptedReply,
    AcceptRequest,
    BallotRejectedReply,
    InstalledReply,
    NotAMemberReply,
    PrepareRequest,
    PromiseReply,
    QueryReply,
    Reply,
    SealedReply,
    StaleEpochReply,
    VersionDecidedReply,
)
from meadowworks.consensus.metadata import load_acceptor
from meadowworks.consensus.operations import LEAVE_WAITER_ID
from meadowworks.consensus.outcomes import EpochChanged, QuorumReadResult
from meadowworks.consensus.proposer import Proposer
from meadowworks.consensus.quorum_read import QuorumRead
from meadowworks.consensus.reconfiguration import Reconfiguration
from meadowworks.consensus.replica import Replica
from meadowworks.consensus.timing import MEMBER_SILENCE_TIMEOUT_NS
from meadowworks.consensus.values import (
    MEMBERSHIP_VERSION,
    NO_BALLOT,
    AcceptorSlot,
    AcceptorState,
    Ballot,
    CommittedValue,
    Epoch,
)
from meadowworks.consensus.write_queue import WriteQueue
from meadowworks.simulation import control, disks

NEVER_NS = 1 << 60
Patches = Callable[[], list[Any]]


@dataclass(frozen=True)
class Guard:
    """`patches` take it out; `point` is where that is seen, or was looked for."""

    name: str
    text: str
    point: int
    patches: Patches


def patches_of(owner: Any, **new: Any) -> Patches:
    return lambda: [mock.patch.object(owner, name, value) for name, value in new.items()]


# -- ballots and acceptors


def ballot_without_incarnation(self: QuorumCallFactory, epoch: Epoch, version: int, job: Any) -> Proposer:
    slot = self._acceptor.slots.get(version)
    self.last_ballot_number = (
        max(self.last_ballot_number, job.min_ballot_number, slot.promised.number if slot else 0) + 1
    )
    return Proposer(
        epoch, version, Ballot(epoch.number, self.last_ballot_number, self._acceptor.member_id), job.value
    )


def reply_before_write(self: WriteQueue, what: Any) -> None:
    self.ready.append(what)


def answer_without(*without: str) -> Callable[[Acceptor, Any], Reply]:
    """`Acceptor.answer` for the two rounds, without some of its checks."""
    whole = Acceptor.handle

    def answer(self: Acceptor, request: Any) -> Reply:
        if not isinstance(request, PrepareRequest | AcceptRequest):
            return whole(self, request)
        if "epoch" not in without:
            if request.epoch < self.newest_epoch().number:
                return StaleEpochReply(self.newest_epoch())
            if request.epoch != self.epoch.number or request.ballot.epoch != request.epoch:
                return NotAMemberReply(self.epoch.number)
        if not self.installed:
            return NotAMemberReply(self.epoch.number)
        if self.sealed_by is not None and "seal" not in without:
            return SealedReply(self.sealed_by)
        if MEMBERSHIP_VERSION < request.version <= self.committed.version and "past" not in without:
            return VersionDecidedReply(self.committed, self.digest_history())
        if request.version != MEMBERSHIP_VERSION and request.epoch == 0:
            return NotAMemberReply(0)
        slot = self.slots.get(request.version) or AcceptorSlot()
        if request.ballot < slot.promised and "promise" not in without:
            return BallotRejectedReply(slot.promised)
        self.slots[request.version] = slot
        slot.promised = max(slot.promised, request.ballot)
        self.changed_slots.add(request.version)
        if isinstance(request, PrepareRequest):
            return PromiseReply(request.ballot, slot.accepted, slot.value)
        slot.accepted, slot.value = request.ballot, request.value
        return AcceptedReply(request.ballot)

    return answer


def ignore_accepted_value(self: Proposer, who: str, reply: Reply) -> bool:
    if isinstance(reply, PromiseReply) and self.value is not None:
        reply = PromiseReply(reply.ballot, NO_BALLOT, b"")
    return PROPOSER_ON_REPLY(self, who, reply)


PROPOSER_ON_REPLY = Proposer.on_reply


def open_without_sync(self: disks.SimulatedStore, db: Any) -> None:
    STORE_OPEN(self, db)
    self.connection.execute("PRAGMA synchronous=OFF")


STORE_OPEN = disks.SimulatedStore.configure


# -- members


def reply_without_seal(self: Acceptor, epoch: int, after: Epoch) -> Reply:
    if self.epoch.number != epoch or not self.installed:
        return NotAMemberReply(self.epoch.number)
    return SealedReply(after, self.export_state())


def install_empty_state(self: Acceptor, after: Epoch, state: AcceptorState) -> Reply:
    return ACCEPTOR_INSTALL(self, after, AcceptorState(CommittedValue(), (), ()))


ACCEPTOR_INSTALL = Acceptor.install


def accept_one_install(self: Reconfiguration, who: str, reply: Reply) -> bool:
    if (
        self.installing
        and isinstance(reply, InstalledReply)
        and self.next_epoch.has_member(who)
        and self.outcome is None
    ):
        self.outcome = EpochChanged(self.next_epoch, False)
        return True
    return CHANGE_ON_REPLY(self, who, reply)


CHANGE_ON_REPLY = Reconfiguration.on_reply


def acceptor_named_by_address(meta: Any, **given: Any) -> Acceptor:
    return ACCEPTOR_FOR(meta, **{**given, "new_member_id": given["address"].replace(".", "")})


ACCEPTOR_FOR = load_acceptor


def install_when_notified(self: Acceptor, epoch: Epoch) -> bool:
    news = ACCEPTOR_ON_EPOCH(self, epoch)
    if news and epoch.has_member(self.member_id) and not self.installed:
        self.epoch, self.installed, self.metadata_changed = epoch, True, True
    return news


ACCEPTOR_ON_EPOCH = Acceptor.on_epoch


def leave_at_once(self: Replica, now: int, until_ns: int) -> None:
    self.leaving, self.acceptor.wants_membership = True, False
    self.effects.append(CompleteOperation(LEAVE_WAITER_ID, Committed()))


def candidates_of_any_age(self: MembershipMonitor, now: int) -> dict[str, str]:
    found = {
        disk: peer.last_reply.address
        for disk, peer in self._lease.peers.items()
        if peer.last_reply.wants_membership
        and now - peer.last_reply_ns < MEMBER_SILENCE_TIMEOUT_NS
        and not self._acceptor.epoch.has_member(disk)
    }
    if self._acceptor.wants_membership and not self._acceptor.epoch.has_member(self._acceptor.member_id):
        found[self._acceptor.member_id] = self._acceptor.address
    return found


def members_without_minimum(
    epoch: Epoch, tolerate: int, silent: Any, candidates: Any, leaving: str = ""
) -> tuple[tuple[str, str], ...] | None:
    return next_members(epoch, 0, silent, candidates, leaving)


def never_reconfigure(self: MembershipMonitor, now: int, silent: list[str]) -> Any:
    return None if self._acceptor.epoch.number > 0 else MONITOR_DESIRED_MEMBERS(self, now, silent)


MONITOR_DESIRED_MEMBERS = MembershipMonitor.desired_members


# -- what is said outside


def lease_from_reply_time(self: Replica, now: int, sent_ns: int, seen: QueryReply) -> None:
    REPLICA_ON_CONTACT(self, now, now, seen)


REPLICA_ON_CONTACT = Replica.on_query_reply


def lease_always_held(self: Replica, now: int) -> int | None:
    return now if self.started and self.acceptor.newest_epoch().number > 0 else None


def read_from_one(self: QuorumRead, who: str, reply: Reply) -> bool:
    if (
        self.outcome is None
        and isinstance(reply, QueryReply)
        and reply.may_vote
        and self.epoch.has_member(who)
    ):
        self.outcome = QuorumReadResult(reply.highest_version, reply.committed_version, reply.address)
        return True
    return READER_ON_REPLY(self, who, reply)


READER_ON_REPLY = QuorumRead.on_reply


def hide_undecided(self: Acceptor) -> QueryReply:
    seen = ACCEPTOR_SEEN(self)
    return QueryReply(
        seen.epoch,
        seen.may_vote,
        seen.committed_version,
        seen.committed_version,
        seen.member_id,
        seen.address,
        seen.wants_membership,
    )


ACCEPTOR_SEEN = Acceptor.query_reply


def vote_when_installed(self: Acceptor) -> bool:
    return self.installed


def acknowledge_by_version(self: Replica, version: int, content: bytes) -> Committed | Conflict:
    return Committed()


def acknowledge_by_held_value(self: Replica, version: int, content: bytes) -> Committed | Conflict:
    held = self.acceptor.committed
    return Committed() if (held.version, held.value) == (version, content) else Conflict()


def timeout_is_conflict(self: Replica, number: int, outcome: Any) -> None:
    REPLICA_END(self, number, Conflict() if isinstance(outcome, Undecided) else outcome)


REPLICA_END = Replica.complete_operation


def do_nothing(*_: Any) -> None:
    return None


def drive_once(self: Replica, now: int, number: int, job: Any) -> None:
    REPLICA_DRIVE(self, now, number, job)
    job.due_ns = NEVER_NS


REPLICA_DRIVE = Replica.send_round

GUARDS = (
    Guard("life-in-ballot", "a ballot names the life that made it", 2,
          patches_of(QuorumCallFactory, new_proposer=ballot_without_incarnation)),
    Guard("write-before-reply", "no reply leaves before its write", 2,
          patches_of(WriteQueue, defer=reply_before_write)),
    Guard("sync", "a write is synced before it counts", 2,
          patches_of(disks.SimulatedStore, configure=open_without_sync)),
    Guard("promise", "a lower ballot is refused", 2,
          patches_of(Acceptor, handle=answer_without("promise"))),
    Guard("adopt-accepted", "a proposer takes up what was accepted", 2,
          patches_of(Proposer, on_reply=ignore_accepted_value)),
    Guard("past", "a version that is chosen is not voted on again", 2,
          patches_of(Acceptor, handle=answer_without("past"))),
    Guard("one-content", "an order is acknowledged by its content", 2,
          patches_of(Replica, outcome_of=acknowledge_by_version)),
    Guard("history", "digests of past versions", 2,
          patches_of(Replica, outcome_of=acknowledge_by_held_value)),
    Guard("late-is-no-refusal", "not decided in time is no refusal", 2,
          patches_of(Replica, complete_operation=timeout_is_conflict)),
    Guard("epoch-compare", "only requests of the own epoch count", 3,
          patches_of(Acceptor, handle=answer_without("epoch", "seal"))),
    Guard("seal", "the old epoch ends before the next begins", 3,
          patches_of(Acceptor, seal=reply_without_seal)),
    Guard("transfer", "a member begins with what the old epoch held", 3,
          patches_of(Acceptor, install=install_empty_state)),
    Guard("install-majority", "a change is done at a majority of the new set", 3,
          patches_of(Reconfiguration, on_reply=accept_one_install)),
    Guard("wiped-is-another", "an empty disk is another member", 3,
          lambda: patches_of(control, load_acceptor=acceptor_named_by_address)()
          + patches_of(Acceptor, on_epoch=install_when_notified)()),
    Guard("hand-over", "a leaver is out, and its copies elsewhere, before it ends", 3,
          patches_of(Replica, leave=leave_at_once)),
    Guard("leaver-stays-out", "a candidate has spoken since the epoch began", 3,
          patches_of(MembershipMonitor, membership_candidates=candidates_of_any_age)),
    Guard("never-below-2t+1", "silence takes nobody out below it", 3,
          patches_of(membership_monitor, next_members=members_without_minimum)),
    Guard("replace", "an empty disk that is there takes a lost one's place", 3,
          patches_of(MembershipMonitor, desired_members=never_reconfigure)),
    Guard("bring", "who missed a change is installed later", 3,
          patches_of(Replica, install_lagging_members=do_nothing)),
    Guard("finish", "what is undecided is finished", 1,
          patches_of(membership_monitor, FINISH_DELAY_NS=NEVER_NS, FINISH_DELAY_DEGRADED_NS=NEVER_NS)),
    Guard("resend", "a request without reply goes again", 3,
          patches_of(Replica, send_round=drive_once)),
    Guard("lease", "sure only with a majority heard", 1,
          patches_of(Replica, known_as_of_ns=lease_always_held)),
    Guard("lease-from-asking", "a lease counts from the question", 1,
          patches_of(Replica, on_query_reply=lease_from_reply_time)),
    Guard("lease-in-epoch", "a sealed or overtaken member gives no lease", 3,
          patches_of(Acceptor, may_vote=vote_when_installed)),
    Guard("read-majority", "a read asks a majority", 1,
          patches_of(QuorumRead, on_reply=read_from_one)),
    Guard("needs-undecided", "what was accepted must be known before it is read", 1,
          patches_of(Acceptor, query_reply=hide_undecided)),
    Guard("thaw", "a process that stood still knows nobody's silence", 3,
          patches_of(replica, STALL_THRESHOLD_NS=NEVER_NS)),
)  # fmt: skip
# Taken out alone, no day of 60 found these gone; by reading, others stand behind them: finish for transfer,
# carry for install-majority, members_after for thaw, the next try of the operator for resend.
MASKED_GUARDS = ("transfer", "install-majority", "never-below-2t+1", "thaw", "resend")
GUARDS_BY_NAME = {guard.name: guard for guard in GUARDS}


@contextmanager
def without_guard(name: str) -> Iterator[None]:
    """The product without a guard; with all of them if there is no name."""
    with contextlib.ExitStack() as stack:
        for patch in GUARDS_BY_NAME[name].patches() if name else []:
            stack.enter_context(patch)
        yield
