"""What keeps the rules in the product's control machines, each as a patch that takes it out.

A patch stands in place of a method or a figure of the product's class, in this process alone."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any
from unittest import mock

from meadowworks.consensus import register, replica
from meadowworks.consensus.register import (
    MEMBERSHIP,
    NONE,
    Accepted,
    Acceptor,
    Ballot,
    Change,
    Epoch,
    Held,
    Installed,
    Outside,
    Past,
    Prepare,
    Promised,
    Proposer,
    Read,
    Reader,
    Refused,
    Reply,
    Sealed,
    Seen,
    Slot,
    State,
)
from meadowworks.consensus.replica import Another, Answer, Replica, Taken
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


def ballot_without_incarnation(self: Replica, epoch: Epoch, version: int, job: Any) -> Proposer:
    slot = self.acceptor.slots.get(version)
    self.number = max(self.number, job.floor, slot.promised.number if slot else 0) + 1
    return Proposer(epoch, version, Ballot(epoch.number, self.number, self.acceptor.disk), job.content)


def reply_before_write(self: Replica, what: Any) -> None:
    self.ready.append(what)


def answer_without(*without: str) -> Callable[[Acceptor, Any], Reply]:
    """`Acceptor.answer` for the two rounds, without some of its checks."""
    whole = Acceptor.answer

    def answer(self: Acceptor, request: Any) -> Reply:
        if not isinstance(request, Prepare | register.Accept):
            return whole(self, request)
        if "epoch" not in without:
            if request.epoch < self.newest().number:
                return register.Newer(self.newest())
            if request.epoch != self.epoch.number or request.ballot.epoch != request.epoch:
                return Outside(self.epoch.number)
        if not self.installed:
            return Outside(self.epoch.number)
        if self.sealed is not None and "seal" not in without:
            return Sealed(self.sealed)
        if MEMBERSHIP < request.version <= self.held.version and "past" not in without:
            return Past(self.held, self.past())
        if request.version != MEMBERSHIP and request.epoch == 0:
            return Outside(0)
        slot = self.slots.get(request.version) or Slot()
        if request.ballot < slot.promised and "promise" not in without:
            return Refused(slot.promised)
        self.slots[request.version] = slot
        slot.promised = max(slot.promised, request.ballot)
        self.changed.add(request.version)
        if isinstance(request, Prepare):
            return Promised(request.ballot, slot.accepted, slot.content)
        slot.accepted, slot.content = request.ballot, request.content
        return Accepted(request.ballot)

    return answer


def ignore_accepted_value(self: Proposer, who: str, reply: Reply) -> bool:
    if isinstance(reply, Promised) and self.content is not None:
        reply = Promised(reply.ballot, NONE, b"")
    return PROPOSER_ON_REPLY(self, who, reply)


PROPOSER_ON_REPLY = Proposer.heard


def open_without_sync(self: disks.SimulatedStore, db: Any) -> None:
    STORE_OPEN(self, db)
    self.db.execute("PRAGMA synchronous=OFF")


STORE_OPEN = disks.SimulatedStore.open


# -- members


def reply_without_seal(self: Acceptor, epoch: int, after: Epoch) -> Reply:
    if self.epoch.number != epoch or not self.installed:
        return Outside(self.epoch.number)
    return Sealed(after, self.state())


def install_empty_state(self: Acceptor, after: Epoch, state: State) -> Reply:
    return ACCEPTOR_INSTALL(self, after, State(Held(), (), ()))


ACCEPTOR_INSTALL = Acceptor.install


def accept_one_install(self: Change, who: str, reply: Reply) -> bool:
    if self.installing and isinstance(reply, Installed) and self.after.has(who) and self.outcome is None:
        self.outcome = register.Moved(self.after, False)
        return True
    return CHANGE_ON_REPLY(self, who, reply)


CHANGE_ON_REPLY = Change.heard


def acceptor_named_by_address(meta: Any, **given: Any) -> Acceptor:
    return ACCEPTOR_FOR(meta, **{**given, "disk": given["address"].replace(".", "")})


ACCEPTOR_FOR = replica.acceptor_for


def install_when_notified(self: Acceptor, epoch: Epoch) -> bool:
    news = ACCEPTOR_ON_EPOCH(self, epoch)
    if news and epoch.has(self.disk) and not self.installed:
        self.epoch, self.installed, self.meta = epoch, True, True
    return news


ACCEPTOR_ON_EPOCH = Acceptor.told


def leave_at_once(self: Replica, now: int, until_ns: int) -> None:
    self.leaving, self.acceptor.wants = True, False
    self.effects.append(Answer(replica.LEAVE, Taken()))


def candidates_of_any_age(self: Replica, now: int) -> dict[str, str]:
    found = {
        disk: peer.seen.address
        for disk, peer in self.peers.items()
        if peer.seen.wants and now - peer.heard_ns < replica.SILENT_NS and not self.acceptor.epoch.has(disk)
    }
    if self.acceptor.wants and not self.acceptor.epoch.has(self.acceptor.disk):
        found[self.acceptor.disk] = self.acceptor.address
    return found


def members_without_minimum(
    epoch: Epoch, tolerate: int, silent: Any, candidates: Any, leaving: str = ""
) -> tuple[tuple[str, str], ...] | None:
    return register.members_after(epoch, 0, silent, candidates, leaving)


def never_reconfigure(self: Replica, now: int, silent: list[str]) -> Any:
    return None if self.acceptor.epoch.number > 0 else REPLICA_WANTED(self, now, silent)


REPLICA_WANTED = Replica.wanted


# -- what is said outside


def lease_from_reply_time(self: Replica, now: int, sent_ns: int, seen: Seen) -> None:
    REPLICA_ON_CONTACT(self, now, now, seen)


REPLICA_ON_CONTACT = Replica.met


def lease_always_held(self: Replica, now: int) -> int | None:
    return now if self.started and self.acceptor.newest().number > 0 else None


def read_from_one(self: Reader, who: str, reply: Reply) -> bool:
    if self.outcome is None and isinstance(reply, Seen) and reply.votes and self.epoch.has(who):
        self.outcome = Read(reply.needs, reply.version, reply.address)
        return True
    return READER_ON_REPLY(self, who, reply)


READER_ON_REPLY = Reader.heard


def hide_undecided(self: Acceptor) -> Seen:
    seen = ACCEPTOR_SEEN(self)
    return Seen(seen.epoch, seen.votes, seen.version, seen.version, seen.disk, seen.address, seen.wants)


ACCEPTOR_SEEN = Acceptor.seen


def vote_when_installed(self: Acceptor) -> bool:
    return self.installed


def acknowledge_by_version(self: Replica, version: int, content: bytes) -> Taken | Another:
    return Taken()


def acknowledge_by_held_value(self: Replica, version: int, content: bytes) -> Taken | Another:
    held = self.acceptor.held
    return Taken() if (held.version, held.content) == (version, content) else Another()


def timeout_is_conflict(self: Replica, number: int, outcome: Any) -> None:
    REPLICA_END(self, number, Another() if isinstance(outcome, replica.Late) else outcome)


REPLICA_END = Replica.end


def do_nothing(*_: Any) -> None:
    return None


def drive_once(self: Replica, now: int, number: int, job: Any) -> None:
    REPLICA_DRIVE(self, now, number, job)
    job.due_ns = NEVER_NS


REPLICA_DRIVE = Replica.drive

GUARDS = (
    Guard("life-in-ballot", "a ballot names the life that made it", 2,
          patches_of(Replica, proposer=ballot_without_incarnation)),
    Guard("write-before-reply", "no reply leaves before its write", 2,
          patches_of(Replica, later=reply_before_write)),
    Guard("sync", "a write is synced before it counts", 2,
          patches_of(disks.SimulatedStore, open=open_without_sync)),
    Guard("promise", "a lower ballot is refused", 2,
          patches_of(Acceptor, answer=answer_without("promise"))),
    Guard("adopt-accepted", "a proposer takes up what was accepted", 2,
          patches_of(Proposer, heard=ignore_accepted_value)),
    Guard("past", "a version that is chosen is not voted on again", 2,
          patches_of(Acceptor, answer=answer_without("past"))),
    Guard("one-content", "an order is acknowledged by its content", 2,
          patches_of(Replica, verdict=acknowledge_by_version)),
    Guard("history", "digests of past versions", 2,
          patches_of(Replica, verdict=acknowledge_by_held_value)),
    Guard("late-is-no-refusal", "not decided in time is no refusal", 2,
          patches_of(Replica, end=timeout_is_conflict)),
    Guard("epoch-compare", "only requests of the own epoch count", 3,
          patches_of(Acceptor, answer=answer_without("epoch", "seal"))),
    Guard("seal", "the old epoch ends before the next begins", 3,
          patches_of(Acceptor, seal=reply_without_seal)),
    Guard("transfer", "a member begins with what the old epoch held", 3,
          patches_of(Acceptor, install=install_empty_state)),
    Guard("install-majority", "a change is done at a majority of the new set", 3,
          patches_of(Change, heard=accept_one_install)),
    Guard("wiped-is-another", "an empty disk is another member", 3,
          lambda: patches_of(control, acceptor_for=acceptor_named_by_address)()
          + patches_of(Acceptor, told=install_when_notified)()),
    Guard("hand-over", "a leaver is out, and its copies elsewhere, before it ends", 3,
          patches_of(Replica, leave=leave_at_once)),
    Guard("leaver-stays-out", "a candidate has spoken since the epoch began", 3,
          patches_of(Replica, candidates=candidates_of_any_age)),
    Guard("never-below-2t+1", "silence takes nobody out below it", 3,
          patches_of(replica, members_after=members_without_minimum)),
    Guard("replace", "an empty disk that is there takes a lost one's place", 3,
          patches_of(Replica, wanted=never_reconfigure)),
    Guard("bring", "who missed a change is installed later", 3,
          patches_of(Replica, bring=do_nothing)),
    Guard("finish", "what is undecided is finished", 1,
          patches_of(replica, FINISH_NS=NEVER_NS, THIN_NS=NEVER_NS)),
    Guard("resend", "a request without reply goes again", 3,
          patches_of(Replica, drive=drive_once)),
    Guard("lease", "sure only with a majority heard", 1,
          patches_of(Replica, as_of=lease_always_held)),
    Guard("lease-from-asking", "a lease counts from the question", 1,
          patches_of(Replica, met=lease_from_reply_time)),
    Guard("lease-in-epoch", "a sealed or overtaken member gives no lease", 3,
          patches_of(Acceptor, votes=vote_when_installed)),
    Guard("read-majority", "a read asks a majority", 1,
          patches_of(Reader, heard=read_from_one)),
    Guard("needs-undecided", "what was accepted must be known before it is read", 1,
          patches_of(Acceptor, seen=hide_undecided)),
    Guard("thaw", "a process that stood still knows nobody's silence", 3,
          patches_of(replica, THAW_NS=NEVER_NS)),
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
