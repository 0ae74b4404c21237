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

FAR = 1 << 60
Patches = Callable[[], list[Any]]


@dataclass(frozen=True)
class Guard:
    """`patches` take it out; `point` is where that is seen, or was looked for."""

    name: str
    text: str
    point: int
    patches: Patches


def put(owner: Any, **new: Any) -> Patches:
    return lambda: [mock.patch.object(owner, name, value) for name, value in new.items()]


# -- ballots and acceptors


def lifeless(self: Replica, epoch: Epoch, version: int, job: Any) -> Proposer:
    slot = self.acceptor.slots.get(version)
    self.number = max(self.number, job.floor, slot.promised.number if slot else 0) + 1
    return Proposer(epoch, version, Ballot(epoch.number, self.number, self.acceptor.disk), job.content)


def at_once(self: Replica, what: Any) -> None:
    self.ready.append(what)


def answering(*without: str) -> Callable[[Acceptor, Any], Reply]:
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


def stubborn(self: Proposer, who: str, reply: Reply) -> bool:
    if isinstance(reply, Promised) and self.content is not None:
        reply = Promised(reply.ballot, NONE, b"")
    return HEARD(self, who, reply)


HEARD = Proposer.heard


def unsynced(self: disks.PlayedDisk, db: Any) -> None:
    OPEN(self, db)
    self.db.execute("PRAGMA synchronous=OFF")


OPEN = disks.PlayedDisk.open


# -- members


def unsealed(self: Acceptor, epoch: int, after: Epoch) -> Reply:
    if self.epoch.number != epoch or not self.installed:
        return Outside(self.epoch.number)
    return Sealed(after, self.state())


def empty_handed(self: Acceptor, after: Epoch, state: State) -> Reply:
    return INSTALL(self, after, State(Held(), (), ()))


INSTALL = Acceptor.install


def one_installs(self: Change, who: str, reply: Reply) -> bool:
    if self.installing and isinstance(reply, Installed) and self.after.has(who) and self.outcome is None:
        self.outcome = register.Moved(self.after, False)
        return True
    return CARRIED(self, who, reply)


CARRIED = Change.heard


def same_name(meta: Any, **given: Any) -> Acceptor:
    return FOUND(meta, **{**given, "disk": given["address"].replace(".", "")})


FOUND = replica.acceptor_for


def told_in(self: Acceptor, epoch: Epoch) -> bool:
    news = TOLD(self, epoch)
    if news and epoch.has(self.disk) and not self.installed:
        self.epoch, self.installed, self.meta = epoch, True, True
    return news


TOLD = Acceptor.told


def gladly(self: Replica, now: int, until_ns: int) -> None:
    self.leaving, self.acceptor.wants = True, False
    self.effects.append(Answer(replica.LEAVE, Taken()))


def any_candidate(self: Replica, now: int) -> dict[str, str]:
    found = {
        disk: peer.seen.address
        for disk, peer in self.peers.items()
        if peer.seen.wants and now - peer.heard_ns < replica.SILENT_NS and not self.acceptor.epoch.has(disk)
    }
    if self.acceptor.wants and not self.acceptor.epoch.has(self.acceptor.disk):
        found[self.acceptor.disk] = self.acceptor.address
    return found


def ever_smaller(
    epoch: Epoch, tolerate: int, silent: Any, candidates: Any, leaving: str = ""
) -> tuple[tuple[str, str], ...] | None:
    return register.members_after(epoch, 0, silent, candidates, leaving)


def fixed(self: Replica, now: int, silent: list[str]) -> Any:
    return None if self.acceptor.epoch.number > 0 else WANTED(self, now, silent)


WANTED = Replica.wanted


# -- what is said outside


def from_answer(self: Replica, now: int, sent_ns: int, seen: Seen) -> None:
    MET(self, now, now, seen)


MET = Replica.met


def always(self: Replica, now: int) -> int | None:
    return now if self.started and self.acceptor.newest().number > 0 else None


def first_one(self: Reader, who: str, reply: Reply) -> bool:
    if self.outcome is None and isinstance(reply, Seen) and reply.votes and self.epoch.has(who):
        self.outcome = Read(reply.needs, reply.version, reply.address)
        return True
    return READ(self, who, reply)


READ = Reader.heard


def held_alone(self: Acceptor) -> Seen:
    seen = SEEN(self)
    return Seen(seen.epoch, seen.votes, seen.version, seen.version, seen.disk, seen.address, seen.wants)


SEEN = Acceptor.seen


def votes_ever(self: Acceptor) -> bool:
    return self.installed


def by_number(self: Replica, version: int, content: bytes) -> Taken | Another:
    return Taken()


def by_held(self: Replica, version: int, content: bytes) -> Taken | Another:
    held = self.acceptor.held
    return Taken() if (held.version, held.content) == (version, content) else Another()


def late_is_another(self: Replica, number: int, outcome: Any) -> None:
    END(self, number, Another() if isinstance(outcome, replica.Late) else outcome)


END = Replica.end


def nothing(*_: Any) -> None:
    return None


def driven_once(self: Replica, now: int, number: int, job: Any) -> None:
    DRIVE(self, now, number, job)
    job.due_ns = FAR


DRIVE = Replica.drive

GUARDS = (
    Guard("life-in-ballot", "a ballot names the life that made it", 2,
          put(Replica, proposer=lifeless)),
    Guard("write-before-reply", "no reply leaves before its write", 2,
          put(Replica, later=at_once)),
    Guard("sync", "a write is synced before it counts", 2,
          put(disks.PlayedDisk, open=unsynced)),
    Guard("promise", "a lower ballot is refused", 2,
          put(Acceptor, answer=answering("promise"))),
    Guard("adopt-accepted", "a proposer takes up what was accepted", 2,
          put(Proposer, heard=stubborn)),
    Guard("past", "a version that is chosen is not voted on again", 2,
          put(Acceptor, answer=answering("past"))),
    Guard("one-content", "an order is acknowledged by its content", 2,
          put(Replica, verdict=by_number)),
    Guard("history", "digests of past versions", 2,
          put(Replica, verdict=by_held)),
    Guard("late-is-no-refusal", "not decided in time is no refusal", 2,
          put(Replica, end=late_is_another)),
    Guard("epoch-compare", "only requests of the own epoch count", 3,
          put(Acceptor, answer=answering("epoch", "seal"))),
    Guard("seal", "the old epoch ends before the next begins", 3,
          put(Acceptor, seal=unsealed)),
    Guard("transfer", "a member begins with what the old epoch held", 3,
          put(Acceptor, install=empty_handed)),
    Guard("install-majority", "a change is done at a majority of the new set", 3,
          put(Change, heard=one_installs)),
    Guard("wiped-is-another", "an empty disk is another member", 3,
          lambda: put(control, acceptor_for=same_name)() + put(Acceptor, told=told_in)()),
    Guard("hand-over", "a leaver is out, and its copies elsewhere, before it ends", 3,
          put(Replica, leave=gladly)),
    Guard("leaver-stays-out", "a candidate has spoken since the epoch began", 3,
          put(Replica, candidates=any_candidate)),
    Guard("never-below-2t+1", "silence takes nobody out below it", 3,
          put(replica, members_after=ever_smaller)),
    Guard("replace", "an empty disk that is there takes a lost one's place", 3,
          put(Replica, wanted=fixed)),
    Guard("bring", "who missed a change is installed later", 3,
          put(Replica, bring=nothing)),
    Guard("finish", "what is undecided is finished", 1,
          put(replica, FINISH_NS=FAR, THIN_NS=FAR)),
    Guard("resend", "a request without reply goes again", 3,
          put(Replica, drive=driven_once)),
    Guard("lease", "sure only with a majority heard", 1,
          put(Replica, as_of=always)),
    Guard("lease-from-asking", "a lease counts from the question", 1,
          put(Replica, met=from_answer)),
    Guard("lease-in-epoch", "a sealed or overtaken member gives no lease", 3,
          put(Acceptor, votes=votes_ever)),
    Guard("read-majority", "a read asks a majority", 1,
          put(Reader, heard=first_one)),
    Guard("needs-undecided", "what was accepted must be known before it is read", 1,
          put(Acceptor, seen=held_alone)),
    Guard("thaw", "a process that stood still knows nobody's silence", 3,
          put(replica, THAW_NS=FAR)),
)  # fmt: skip
# Taken out alone, no day of 60 found these gone; by reading, others stand behind them: finish for transfer,
# carry for install-majority, members_after for thaw, the next try of the operator for resend.
UNSEEN = ("transfer", "install-majority", "never-below-2t+1", "thaw", "resend")
NAMES = {guard.name: guard for guard in GUARDS}


@contextmanager
def taken_out(name: str) -> Iterator[None]:
    """The product without a guard; with all of them if there is no name."""
    with contextlib.ExitStack() as stack:
        for patch in NAMES[name].patches() if name else []:
            stack.enter_context(patch)
        yield
