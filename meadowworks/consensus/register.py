"""One register a version: which content a version of the configuration has, and when that is certain.

Sides, all free of I/O. An `Acceptor` is what one disk holds: it answers requests, and nothing that it
answers may leave before its writes are on the disk (`replica` orders that). A `Proposer` asks the members of
an epoch in two rounds (single-decree, by ballots); a content is chosen once a majority of that epoch's
members have accepted it under one ballot, and only then may it be acknowledged or come into force.

Who is a member is itself agreed on. `Epoch` n+1 is chosen by a majority of epoch n (in the register of
version 0, which every epoch has anew), n is then sealed at a majority, which from then on neither promise nor
accept in it, and what these held is installed with a majority of n+1: that is a `Change`. A member is a disk,
by the name that it gave itself when it was empty: a wiped disk, or another in its place, is another member.
Epoch 0 is of the seeds that all processes are told at the first start; no version is chosen in it.

Source: Lamport's single-decree synod for a version; stop, transfer and go on for a change of members.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from meadowworks.runtime.errors import InvariantError

HISTORY = 256  # versions below the one held whose content's digest is remembered
UNKNOWN = -1  # the number of no epoch
MEMBERSHIP = 0  # the version whose content is the next epoch's members


class Ballot(NamedTuple):
    """The epoch leads: a ballot of a later epoch is above all of an earlier one. `who` is a disk's name and
    the number of its life, which is on the disk before the first request leaves: no ballot is used twice."""

    epoch: int
    number: int
    who: str


NONE = Ballot(UNKNOWN, 0, "")


@dataclass(frozen=True, slots=True)
class Epoch:
    """`members`: a disk's name and its address, sorted."""

    number: int = UNKNOWN
    members: tuple[tuple[str, str], ...] = ()

    @property
    def majority(self) -> int:
        return len(self.members) // 2 + 1

    def has(self, disk: str) -> bool:
        return any(name == disk for name, _ in self.members)


@dataclass(slots=True)
class Slot:
    """A version that may be undecided."""

    promised: Ballot = NONE
    accepted: Ballot = NONE
    content: bytes = b""


@dataclass(frozen=True, slots=True)
class Held:
    """The highest version that is known to be chosen. Version 0 is none."""

    version: int = 0
    content: bytes = b""


def digest(content: bytes) -> bytes:
    """16 bytes that stand for a content."""
    return hashlib.blake2b(content, digest_size=16).digest()


History = tuple[tuple[int, bytes], ...]  # versions that were chosen, and their contents' digests


@dataclass(frozen=True, slots=True)
class State:
    """What an acceptor holds of versions, as it is handed to others."""

    held: Held
    history: History
    slots: tuple[tuple[int, Ballot, Ballot, bytes], ...]


# Requests to an acceptor, and its replies. `epoch` is the sender's.


@dataclass(frozen=True, slots=True)
class Prepare:
    epoch: int
    version: int
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Accept:
    epoch: int
    version: int
    ballot: Ballot
    content: bytes


@dataclass(frozen=True, slots=True)
class Seal:
    """Ends an epoch at an acceptor: `after` has been chosen as the next one."""

    epoch: int
    after: Epoch


@dataclass(frozen=True, slots=True)
class Install:
    """Makes an acceptor a member of an epoch, with what the one before held."""

    epoch: int
    after: Epoch
    state: State


@dataclass(frozen=True, slots=True)
class Look:
    """Asks which version is held and which is undecided, without their contents."""

    epoch: int


@dataclass(frozen=True, slots=True)
class Fetch:
    """Asks for the version held, whole."""

    epoch: int


@dataclass(frozen=True, slots=True)
class Teach:
    """Tells what is chosen."""

    epoch: int
    held: Held
    history: History


@dataclass(frozen=True, slots=True)
class Seen:
    """`votes`: it is a member of `epoch` and neither sealed nor told of a newer. `needs`: the highest version
    that it holds or has accepted: whatever was acknowledged before it said so is not above that, at one of
    any majority. `wants`: it would be a member, with `disk` at `address`."""

    epoch: int
    votes: bool
    needs: int
    version: int
    disk: str
    address: str
    wants: bool


@dataclass(frozen=True, slots=True)
class Promised:
    ballot: Ballot
    accepted: Ballot
    content: bytes


@dataclass(frozen=True, slots=True)
class Accepted:
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Refused:
    """Another ballot stands in the way."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Past:
    """The version is not above one that is chosen already."""

    held: Held
    history: History


@dataclass(frozen=True, slots=True)
class Newer:
    """The sender's epoch is over: this one is in force, or about to be."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Sealed:
    """This acceptor takes no more part in the sender's epoch; `after` has been chosen."""

    after: Epoch
    state: State | None = None


@dataclass(frozen=True, slots=True)
class Installed:
    epoch: int


@dataclass(frozen=True, slots=True)
class Outside:
    """This acceptor is no member of the sender's epoch, or not installed in it: it may not be counted."""

    epoch: int


@dataclass(frozen=True, slots=True)
class Whole:
    held: Held
    history: History


Request = Prepare | Accept | Seal | Install | Look | Fetch | Teach
Reply = Promised | Accepted | Refused | Past | Newer | Sealed | Installed | Outside | Seen | Whole


@dataclass(slots=True)
class Acceptor:
    """What one disk holds. `changed`, `meta` and `news` tell what to write before a reply leaves.

    `disk` is its name as a member, `seat` the one under which it founds (epoch 0). `installed`: it is a
    member of `epoch` and holds what must be held to vote in it. `view` is the newest epoch heard of, which is
    not kept on the disk."""

    disk: str
    address: str = ""
    seat: str = ""
    wants: bool = True
    life: int = 0
    epoch: Epoch = Epoch()
    installed: bool = False
    sealed: Epoch | None = None
    held: Held = Held()
    history: dict[int, bytes] = field(default_factory=dict)
    slots: dict[int, Slot] = field(default_factory=dict)
    view: Epoch = Epoch()
    changed: set[int] = field(default_factory=set)  # slots to write
    meta: bool = False  # all but slots and contents to write
    news: bool = False  # held and history to write

    def newest(self) -> Epoch:
        return max(self.view, self.epoch, key=lambda e: e.number)

    def name(self, epoch: int) -> str:
        """Under which it is counted in an epoch."""
        return self.seat if epoch == 0 else self.disk

    def votes(self) -> bool:
        return self.installed and self.sealed is None and self.view.number <= self.epoch.number

    def answer(self, request: Request) -> Reply:
        match request:
            case Look(epoch):
                if epoch < self.epoch.number and self.installed:
                    return Newer(self.epoch)
                return self.seen()
            case Fetch():
                return Whole(self.held, self.past())
            case Teach(_, held, history):
                self.learn(held.version, held.content, history)
                return self.seen()
            case Install(_, after, state):
                return self.install(after, state)
            case Seal(epoch, after):
                return self.seal(epoch, after)
        if request.epoch < self.newest().number:
            return Newer(self.newest())
        if request.epoch != self.epoch.number or not self.installed or request.ballot.epoch != request.epoch:
            return Outside(self.epoch.number)
        if self.sealed is not None:
            return Sealed(self.sealed)
        if MEMBERSHIP < request.version <= self.held.version:
            return Past(self.held, self.past())
        if request.version != MEMBERSHIP and request.epoch == 0:
            return Outside(0)  # who votes is not settled yet
        slot = self.slots.get(request.version) or Slot()
        if request.ballot < slot.promised:
            return Refused(slot.promised)
        self.slots[request.version] = slot
        slot.promised = request.ballot
        self.changed.add(request.version)
        if isinstance(request, Prepare):
            return Promised(request.ballot, slot.accepted, slot.content)
        slot.accepted, slot.content = request.ballot, request.content
        return Accepted(request.ballot)

    def seal(self, epoch: int, after: Epoch) -> Reply:
        if self.epoch.number >= after.number:
            return Newer(self.epoch)
        if self.epoch.number != epoch or not self.installed:
            return Outside(self.epoch.number)
        if self.sealed is None:
            self.sealed, self.meta = after, True
        elif self.sealed != after:
            raise InvariantError(f"two sets of members after epoch {epoch}")
        return Sealed(after, self.state())

    def install(self, after: Epoch, state: State) -> Reply:
        """What is held besides stays: it was accepted in an earlier epoch, so it is what `state` holds, or
        was never chosen."""
        if self.installed and self.epoch.number >= after.number:
            return Installed(self.epoch.number)
        if not after.has(self.disk) or after.number < self.newest().number:
            return Outside(self.epoch.number)
        if not self.installed and not self.wants:
            return Outside(self.epoch.number)  # told not to vote
        if after.number > self.epoch.number:  # else it comes back to where it was, sealed or not
            self.epoch, self.sealed = after, None
            if self.slots.pop(MEMBERSHIP, None):
                self.changed.add(MEMBERSHIP)
        self.installed, self.meta = True, True
        self.merge(state)
        return Installed(after.number)

    def merge(self, state: State) -> None:
        self.learn(state.held.version, state.held.content, state.history)
        for version, promised, accepted, content in state.slots:
            if version <= self.held.version:
                continue
            slot = self.slots.setdefault(version, Slot())
            slot.promised = max(slot.promised, promised)
            if accepted > slot.accepted:
                slot.accepted, slot.content = accepted, content
            self.changed.add(version)

    def told(self, epoch: Epoch) -> bool:
        """Hears of an epoch that is in force somewhere. True if it is news."""
        if epoch.number <= self.newest().number:
            return False
        self.view = epoch
        return True

    def state(self) -> State:
        slots = tuple((v, s.promised, s.accepted, s.content) for v, s in sorted(self.slots.items()) if v)
        return State(self.held, self.past(), slots)

    def past(self) -> History:
        return tuple(sorted(self.history.items()))

    def seen(self) -> Seen:
        return Seen(
            self.newest().number,
            self.votes(),
            max(self.held.version, self.undecided()),
            self.held.version,
            self.disk,
            self.address,
            self.wants,
        )

    def learn(self, version: int, content: bytes, history: Iterable[tuple[int, bytes]] = ()) -> bool:
        """A content is known to be chosen. True if it is newer than what is held."""
        known = {v: d for v, d in history if v not in self.history and v <= version}
        if version > 0 and version not in self.history:
            known[version] = digest(content)
        if known:
            self.history.update(known)
            for old in sorted(self.history)[:-HISTORY]:
                del self.history[old]
            self.news = True
        if version <= self.held.version:
            return False
        self.held, self.news = Held(version, content), True
        for old in [v for v in self.slots if MEMBERSHIP < v <= version]:
            del self.slots[old]
            self.changed.add(old)
        return True

    def undecided(self) -> int:
        """The highest version above the one held that some proposal has been accepted for; 0 if none."""
        return max((v for v, s in self.slots.items() if v and s.accepted > NONE), default=0)


@dataclass(frozen=True, slots=True)
class Chosen:
    version: int
    content: bytes


@dataclass(frozen=True, slots=True)
class Overtaken:
    """A version not below this one is chosen already."""

    held: Held
    history: History = ()


@dataclass(frozen=True, slots=True)
class Again:
    """A higher ballot stands in the way: begin anew, above it. NONE: there is nothing to finish."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Moved:
    """The epoch is over, or about to be; `sealed`: its end is still to be carried through."""

    epoch: Epoch
    sealed: bool


@dataclass(frozen=True, slots=True)
class Read:
    """`needs`: what is to be known before anything may be read out; `version` stands at `address`."""

    needs: int
    version: int
    address: str


Outcome = Chosen | Overtaken | Again | Moved


class Proposer:
    """One try, under one ballot, to get a content chosen for a version; without a content, to finish what
    another has begun. A majority of the epoch's members must agree; each is counted once, by its name, and
    nobody else is."""

    def __init__(self, epoch: Epoch, version: int, ballot: Ballot, content: bytes | None) -> None:
        self.epoch, self.version, self.ballot, self.content = epoch, version, ballot, content
        self.promises: dict[str, Promised] = {}
        self.accepts: set[str] = set()
        self.accepting = False
        self.outcome: Outcome | None = None

    def request(self) -> Request:
        if self.accepting:
            assert self.content is not None
            return Accept(self.epoch.number, self.version, self.ballot, self.content)
        return Prepare(self.epoch.number, self.version, self.ballot)

    def targets(self) -> list[tuple[str, str]]:
        """Members that have not answered this round."""
        done = self.accepts if self.accepting else self.promises.keys()
        return [(disk, address) for disk, address in self.epoch.members if disk not in done]

    def heard(self, who: str, reply: Reply) -> bool:
        """Takes a reply in. True when the next request is due, or the outcome is there."""
        if self.outcome is not None:
            return False
        match reply:
            case Past(held, history):
                self.outcome = Overtaken(held, history)
            case Newer(epoch):
                self.outcome = Moved(epoch, False)
            case Sealed(after) if self.epoch.has(who):
                self.outcome = Moved(after, True)
            case Refused(ballot):
                self.outcome = Again(ballot)
            case Promised(ballot=ballot) if (
                ballot == self.ballot and not self.accepting and self.epoch.has(who)
            ):
                self.promises[who] = reply
                if len(self.promises) < self.epoch.majority:
                    return False
                best = max(self.promises.values(), key=lambda p: p.accepted)
                if best.accepted > NONE:
                    self.content = best.content
                if self.content is None:
                    self.outcome = Again(NONE)
                    return True
                self.accepting = True
            case Accepted(ballot) if ballot == self.ballot and self.accepting and self.epoch.has(who):
                self.accepts.add(who)
                if len(self.accepts) < self.epoch.majority:
                    return False
                assert self.content is not None
                self.outcome = Chosen(self.version, self.content)
            case _:
                return False
        return True


class Change:
    """Carries a chosen change of members through: seals the old epoch at a majority, installs what these
    held with a majority of the new one. May be done by several at once, and again."""

    def __init__(self, epoch: Epoch, after: Epoch) -> None:
        self.epoch, self.after = epoch, after
        self.states: dict[str, State] = {}
        self.installed: set[str] = set()
        self.installing = False
        self.outcome: Moved | None = None

    def request(self) -> Request:
        if not self.installing:
            return Seal(self.epoch.number, self.after)
        merged = Acceptor("")
        for state in self.states.values():
            merged.merge(state)
        return Install(self.after.number, self.after, merged.state())

    def targets(self) -> list[tuple[str, str]]:
        if self.installing:
            return [(d, a) for d, a in self.after.members if d not in self.installed]
        return [(d, a) for d, a in self.epoch.members if d not in self.states]

    def heard(self, who: str, reply: Reply) -> bool:
        """True when the next request is due, or the outcome is there."""
        if self.outcome is not None:
            return False
        match reply:
            case Sealed(_, state) if state is not None and not self.installing and self.epoch.has(who):
                self.states[who] = state
                if len(self.states) < self.epoch.majority:
                    return False
                self.installing = True
            case Newer(epoch) if epoch.number > self.after.number or not self.installing:
                self.outcome = Moved(epoch, False)
            case Installed(number) if self.installing and number >= self.after.number and self.after.has(who):
                self.installed.add(who)
                if len(self.installed) < self.after.majority:
                    return False
                self.outcome = Moved(self.after, False)
            case _:
                return False
        return True


class Reader:
    """Asks a majority of an epoch's members what they hold: whatever was acknowledged before the first
    question left is not above `needs`."""

    def __init__(self, epoch: Epoch) -> None:
        self.epoch = epoch
        self.seen: dict[str, Seen] = {}
        self.outcome: Moved | Read | None = None

    def request(self) -> Request:
        return Look(self.epoch.number)

    def targets(self) -> list[tuple[str, str]]:
        return [(d, a) for d, a in self.epoch.members if d not in self.seen]

    def heard(self, who: str, reply: Reply) -> bool:
        if self.outcome is not None:
            return False
        match reply:
            case Newer(epoch):
                self.outcome = Moved(epoch, False)
            case Seen(epoch=number, votes=True) if number == self.epoch.number and self.epoch.has(who):
                self.seen[who] = reply
                if len(self.seen) < self.epoch.majority:
                    return False
                best = max(self.seen, key=lambda name: self.seen[name].version)
                self.outcome = Read(
                    max(s.needs for s in self.seen.values()), self.seen[best].version, self.seen[best].address
                )
            case _:
                return False
        return True


class Teacher:
    """Tells members what is chosen, until a majority of the others hold it on their disks."""

    def __init__(self, epoch: Epoch, me: str, held: Held, history: History) -> None:
        self.epoch, self.held, self.history = epoch, held, history
        self.others = tuple((d, a) for d, a in epoch.members if d != me)
        self.know: set[str] = set()
        self.outcome: Read | None = None

    def request(self) -> Request:
        return Teach(self.epoch.number, self.held, self.history)

    def targets(self) -> list[tuple[str, str]]:
        return [(d, a) for d, a in self.others if d not in self.know]

    def heard(self, who: str, reply: Reply) -> bool:
        if self.outcome is not None or not isinstance(reply, Seen) or reply.version < self.held.version:
            return False
        if not any(who == d for d, _ in self.others):
            return False
        self.know.add(who)
        if len(self.know) < min(self.epoch.majority, len(self.others)):
            return False
        self.outcome = Read(self.held.version, self.held.version, "")
        return True


def members_after(
    epoch: Epoch,
    tolerate: int,
    silent: Iterable[str],
    candidates: Mapping[str, str],
    leaving: str = "",
) -> tuple[tuple[str, str], ...] | None:
    """Which members the next epoch should have; none if the set is as it should be, or the change has no
    majority in touch on the new side.

    `silent`: members not heard of for long, the longest first; `candidates`: disks that are in touch and want
    to be members, with their addresses; `leaving`: one that ends. An empty disk at a member's address stands
    in its place. Nobody is taken out, by silence or by leaving, below the `2 x tolerate + 1` that the
    settings speak of: who is away may come back with its disk, and a smaller set bears less.
    """
    least = 2 * tolerate + 1
    members = dict(epoch.members)
    quiet = [disk for disk in silent if disk in members]
    for disk, address in sorted(candidates.items()):
        if disk in members:
            continue
        for old in [d for d, a in members.items() if a == address]:
            del members[old]
        members[disk] = address
    for disk in [leaving, *quiet]:
        if disk in members and len(members) > least:
            del members[disk]
    found = tuple(sorted(members.items()))
    if found == epoch.members:
        return None
    if len([d for d in members if d not in quiet]) < len(members) // 2 + 1:
        return None
    return found


# -- as plain values for msgpack


def pack_epoch(epoch: Epoch) -> list[Any]:
    return [epoch.number, [list(m) for m in epoch.members]]


def unpack_epoch(raw: Any) -> Epoch:
    """Raises ValueError or TypeError for what is none."""
    number, members = raw
    return Epoch(int(number), tuple((str(disk), str(address)) for disk, address in members))


def plain(value: Any) -> Any:
    match value:
        case Epoch():
            return pack_epoch(value)
        case Held(version, content):
            return [version, content]
        case State(held, history, slots):
            rows = [[v, list(p), list(a), c] for v, p, a, c in slots]
            return [plain(held), [list(h) for h in history], rows]
        case Ballot():
            return list(value)
        case tuple():
            return [list(h) for h in value]  # a history
    return value


def pack(what: Request | Reply) -> list[Any]:
    name = type(what).__name__
    return [name, *(plain(getattr(what, f)) for f in what.__dataclass_fields__)]


def ballot(raw: Any) -> Ballot:
    epoch, number, who = raw
    return Ballot(int(epoch), int(number), str(who))


def held(raw: Any) -> Held:
    version, content = raw
    return Held(int(version), bytes(content))


def history(raw: Any) -> History:
    return tuple((int(version), bytes(what)) for version, what in raw)


def state(raw: Any) -> State:
    what, past, slots = raw
    return State(
        held(what), history(past), tuple((int(v), ballot(p), ballot(a), bytes(c)) for v, p, a, c in slots)
    )


def maybe_state(raw: Any) -> State | None:
    return None if raw is None else state(raw)


READERS: dict[type, tuple[Any, ...]] = {
    Prepare: (int, int, ballot),
    Accept: (int, int, ballot, bytes),
    Seal: (int, unpack_epoch),
    Install: (int, unpack_epoch, state),
    Look: (int,),
    Fetch: (int,),
    Teach: (int, held, history),
    Seen: (int, bool, int, int, str, str, bool),
    Promised: (ballot, ballot, bytes),
    Accepted: (ballot,),
    Refused: (ballot,),
    Past: (held, history),
    Newer: (unpack_epoch,),
    Sealed: (unpack_epoch, maybe_state),
    Installed: (int,),
    Outside: (int,),
    Whole: (held, history),
}
KINDS = {kind.__name__: kind for kind in READERS}


def unpack(raw: Any) -> Any:
    """A request or a reply. Raises ValueError, TypeError or KeyError for what is none."""
    name, *rest = raw
    kind = KINDS[name]
    readers = READERS[kind]
    if len(rest) != len(readers):
        raise ValueError(f"no {name}")
    for reader, value in zip(readers, rest, strict=True):
        # Guards against bytes(4), int("4") and the like: a shape that is off is none of ours.
        if reader in (int, bool, str, bytes) and type(value) is not reader:
            raise TypeError(f"no {name}")
    return kind(*(reader(value) for reader, value in zip(readers, rest, strict=True)))
