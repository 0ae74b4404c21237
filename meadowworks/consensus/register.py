"""One register a version: which content a version of the configuration has, and when that is certain.

Sides, all free of I/O. An `Acceptor` is what one disk holds: it answers requests, and nothing that it
answers may leave before its writes are on the disk (`replica` orders that). A `Proposer` asks the members
of an epoch in two rounds (single-decree, by ballots); a content is chosen once a majority of that epoch's
members have accepted it under one ballot, and only then may it be acknowledged or come into force.

Who is a member is itself agreed on. `Epoch` n+1 is chosen by a majority of epoch n (in the register of
version 0, which every epoch has anew), n is then sealed at a majority, which from then on neither promise
nor accept in it, and what these held is installed with a majority of n+1: that is a `Reconfiguration`. A
member is a disk, by the name that it gave itself when it was empty: a wiped disk, or another in its place,
is another member. Epoch 0 is of the seeds that all processes are told at the first start; no version is
chosen in it.

Source: Lamport's single-decree synod for a version; stop, transfer and go on for a change of members.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from meadowworks.runtime.errors import InvariantError

HISTORY_LENGTH = 256  # versions below the one held whose content's digest is remembered
UNKNOWN_EPOCH = -1  # the number of no epoch
MEMBERSHIP_VERSION = 0  # the version whose content is the next epoch's members


class Ballot(NamedTuple):
    """The epoch leads: a ballot of a later epoch is above all of an earlier one. `proposer_id` is a disk's
    name and the number of its life, which is on the disk before the first request leaves: no ballot is used
    twice."""

    epoch: int
    number: int
    proposer_id: str


NO_BALLOT = Ballot(UNKNOWN_EPOCH, 0, "")


@dataclass(frozen=True, slots=True)
class Epoch:
    """`members`: a disk's name and its address, sorted."""

    number: int = UNKNOWN_EPOCH
    members: tuple[tuple[str, str], ...] = ()

    @property
    def majority(self) -> int:
        return len(self.members) // 2 + 1

    def has_member(self, member_id: str) -> bool:
        return any(name == member_id for name, _ in self.members)


@dataclass(slots=True)
class AcceptorSlot:
    """A version that may be undecided."""

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: bytes = b""


@dataclass(frozen=True, slots=True)
class CommittedValue:
    """The highest version that is known to be chosen. Version 0 is none."""

    version: int = 0
    value: bytes = b""


def digest(value: bytes) -> bytes:
    """16 bytes that stand for a content."""
    return hashlib.blake2b(value, digest_size=16).digest()


DigestHistory = tuple[tuple[int, bytes], ...]  # versions that were chosen, and the digests of their values


@dataclass(frozen=True, slots=True)
class AcceptorState:
    """What an acceptor holds of versions, as it is handed to others."""

    committed: CommittedValue
    history: DigestHistory
    slots: tuple[tuple[int, Ballot, Ballot, bytes], ...]


# Requests to an acceptor, and its replies. `epoch` is the sender's.


@dataclass(frozen=True, slots=True)
class PrepareRequest:
    epoch: int
    version: int
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class AcceptRequest:
    epoch: int
    version: int
    ballot: Ballot
    value: bytes


@dataclass(frozen=True, slots=True)
class SealRequest:
    """Ends an epoch at an acceptor: `next_epoch` has been chosen as the next one."""

    epoch: int
    next_epoch: Epoch


@dataclass(frozen=True, slots=True)
class InstallRequest:
    """Makes an acceptor a member of an epoch, with what the one before held."""

    epoch: int
    next_epoch: Epoch
    state: AcceptorState


@dataclass(frozen=True, slots=True)
class QueryRequest:
    """Asks which version is held and which is undecided, without their contents."""

    epoch: int


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Asks for the version held, whole."""

    epoch: int


@dataclass(frozen=True, slots=True)
class LearnRequest:
    """Tells what is chosen."""

    epoch: int
    committed: CommittedValue
    history: DigestHistory


@dataclass(frozen=True, slots=True)
class QueryReply:
    """`may_vote`: it is a member of `epoch` and neither sealed nor told of a newer. `highest_version`: the
    highest version that it holds or has accepted: whatever was acknowledged before it said so is not above
    that, at one of any majority. `wants_membership`: it would be a member, with `member_id` at
    `address`."""

    epoch: int
    may_vote: bool
    highest_version: int
    committed_version: int
    member_id: str
    address: str
    wants_membership: bool


@dataclass(frozen=True, slots=True)
class PromiseReply:
    ballot: Ballot
    accepted: Ballot
    value: bytes


@dataclass(frozen=True, slots=True)
class AcceptedReply:
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class BallotRejectedReply:
    """Another ballot stands in the way."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class VersionDecidedReply:
    """The version is not above one that is chosen already."""

    committed: CommittedValue
    history: DigestHistory


@dataclass(frozen=True, slots=True)
class StaleEpochReply:
    """The sender's epoch is over: this one is in force, or about to be."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class SealedReply:
    """This acceptor takes no more part in the sender's epoch; `next_epoch` has been chosen."""

    next_epoch: Epoch
    state: AcceptorState | None = None


@dataclass(frozen=True, slots=True)
class InstalledReply:
    epoch: int


@dataclass(frozen=True, slots=True)
class NotAMemberReply:
    """This acceptor is no member of the sender's epoch, or not installed in it: it may not be counted."""

    epoch: int


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    committed: CommittedValue
    history: DigestHistory


Request = (
    PrepareRequest
    | AcceptRequest
    | SealRequest
    | InstallRequest
    | QueryRequest
    | SnapshotRequest
    | LearnRequest
)
Reply = (
    PromiseReply
    | AcceptedReply
    | BallotRejectedReply
    | VersionDecidedReply
    | StaleEpochReply
    | SealedReply
    | InstalledReply
    | NotAMemberReply
    | QueryReply
    | SnapshotReply
)


@dataclass(slots=True)
class Acceptor:
    """What one disk holds. `changed_slots`, `metadata_changed` and `committed_changed` tell what to write
    before a reply leaves.

    `member_id` is its name as a member, `founder_id` the one under which it founds (epoch 0). `installed`:
    it is a member of `epoch` and holds what must be held to vote in it. `announced_epoch` is the newest
    epoch heard of, which is not kept on the disk."""

    member_id: str
    address: str = ""
    founder_id: str = ""
    wants_membership: bool = True
    incarnation: int = 0
    epoch: Epoch = Epoch()
    installed: bool = False
    sealed_by: Epoch | None = None
    committed: CommittedValue = CommittedValue()
    history: dict[int, bytes] = field(default_factory=dict)
    slots: dict[int, AcceptorSlot] = field(default_factory=dict)
    announced_epoch: Epoch = Epoch()
    changed_slots: set[int] = field(default_factory=set)  # slots to write
    metadata_changed: bool = False  # all but slots and contents to write
    committed_changed: bool = False  # held and history to write

    def newest_epoch(self) -> Epoch:
        return max(self.announced_epoch, self.epoch, key=lambda e: e.number)

    def id_in_epoch(self, epoch: int) -> str:
        """Under which it is counted in an epoch."""
        return self.founder_id if epoch == 0 else self.member_id

    def may_vote(self) -> bool:
        return self.installed and self.sealed_by is None and self.announced_epoch.number <= self.epoch.number

    def handle(self, request: Request) -> Reply:
        match request:
            case QueryRequest(epoch):
                if epoch < self.epoch.number and self.installed:
                    return StaleEpochReply(self.epoch)
                return self.query_reply()
            case SnapshotRequest():
                return SnapshotReply(self.committed, self.digest_history())
            case LearnRequest(_, held, history):
                self.learn(held.version, held.value, history)
                return self.query_reply()
            case InstallRequest(_, after, state):
                return self.install(after, state)
            case SealRequest(epoch, after):
                return self.seal(epoch, after)
        if request.epoch < self.newest_epoch().number:
            return StaleEpochReply(self.newest_epoch())
        if request.epoch != self.epoch.number or not self.installed or request.ballot.epoch != request.epoch:
            return NotAMemberReply(self.epoch.number)
        if self.sealed_by is not None:
            return SealedReply(self.sealed_by)
        if MEMBERSHIP_VERSION < request.version <= self.committed.version:
            return VersionDecidedReply(self.committed, self.digest_history())
        if request.version != MEMBERSHIP_VERSION and request.epoch == 0:
            return NotAMemberReply(0)  # who votes is not settled yet
        slot = self.slots.get(request.version) or AcceptorSlot()
        if request.ballot < slot.promised:
            return BallotRejectedReply(slot.promised)
        self.slots[request.version] = slot
        slot.promised = request.ballot
        self.changed_slots.add(request.version)
        if isinstance(request, PrepareRequest):
            return PromiseReply(request.ballot, slot.accepted, slot.value)
        slot.accepted, slot.value = request.ballot, request.value
        return AcceptedReply(request.ballot)

    def seal(self, epoch: int, next_epoch: Epoch) -> Reply:
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
        """What is held besides stays: it was accepted in an earlier epoch, so it is what `state` holds, or
        was never chosen."""
        if self.installed and self.epoch.number >= next_epoch.number:
            return InstalledReply(self.epoch.number)
        if not next_epoch.has_member(self.member_id) or next_epoch.number < self.newest_epoch().number:
            return NotAMemberReply(self.epoch.number)
        if not self.installed and not self.wants_membership:
            return NotAMemberReply(self.epoch.number)  # told not to vote
        if next_epoch.number > self.epoch.number:  # else it comes back to where it was, sealed or not
            self.epoch, self.sealed_by = next_epoch, None
            if self.slots.pop(MEMBERSHIP_VERSION, None):
                self.changed_slots.add(MEMBERSHIP_VERSION)
        self.installed, self.metadata_changed = True, True
        self.merge_state(state)
        return InstalledReply(next_epoch.number)

    def merge_state(self, state: AcceptorState) -> None:
        self.learn(state.committed.version, state.committed.value, state.history)
        for version, promised, accepted, content in state.slots:
            if version <= self.committed.version:
                continue
            slot = self.slots.setdefault(version, AcceptorSlot())
            slot.promised = max(slot.promised, promised)
            if accepted > slot.accepted:
                slot.accepted, slot.value = accepted, content
            self.changed_slots.add(version)

    def on_epoch(self, epoch: Epoch) -> bool:
        """Hears of an epoch that is in force somewhere. True if it is news."""
        if epoch.number <= self.newest_epoch().number:
            return False
        self.announced_epoch = epoch
        return True

    def export_state(self) -> AcceptorState:
        slots = tuple((v, s.promised, s.accepted, s.value) for v, s in sorted(self.slots.items()) if v)
        return AcceptorState(self.committed, self.digest_history(), slots)

    def digest_history(self) -> DigestHistory:
        return tuple(sorted(self.history.items()))

    def query_reply(self) -> QueryReply:
        return QueryReply(
            self.newest_epoch().number,
            self.may_vote(),
            max(self.committed.version, self.highest_undecided_version()),
            self.committed.version,
            self.member_id,
            self.address,
            self.wants_membership,
        )

    def learn(self, version: int, value: bytes, history: Iterable[tuple[int, bytes]] = ()) -> bool:
        """A content is known to be chosen. True if it is newer than what is held."""
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

    def highest_undecided_version(self) -> int:
        """The highest version above the one held that some proposal has been accepted for; 0 if none."""
        return max((v for v, s in self.slots.items() if v and s.accepted > NO_BALLOT), default=0)


@dataclass(frozen=True, slots=True)
class Chosen:
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class Superseded:
    """A version not below this one is chosen already."""

    committed: CommittedValue
    history: DigestHistory = ()


@dataclass(frozen=True, slots=True)
class RetryWithHigherBallot:
    """A higher ballot stands in the way: begin anew, above it. NONE: there is nothing to finish."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class EpochChanged:
    """The epoch is over, or about to be; `reconfiguration_pending`: its end is still to be carried
    through."""

    epoch: Epoch
    reconfiguration_pending: bool


@dataclass(frozen=True, slots=True)
class QuorumReadResult:
    """`highest_version`: what is to be known before anything may be read out; `committed_version` stands at
    `address`."""

    highest_version: int
    committed_version: int
    address: str


Outcome = Chosen | Superseded | RetryWithHigherBallot | EpochChanged


class Proposer:
    """One try, under one ballot, to get a content chosen for a version; without a content, to finish what
    another has begun. A majority of the epoch's members must agree; each is counted once, by its name, and
    nobody else is."""

    def __init__(self, epoch: Epoch, version: int, ballot: Ballot, value: bytes | None) -> None:
        self.epoch, self.version, self.ballot, self.value = epoch, version, ballot, value
        self.promises: dict[str, PromiseReply] = {}
        self.acceptances: set[str] = set()
        self.accepting = False
        self.outcome: Outcome | None = None

    def request(self) -> Request:
        if self.accepting:
            assert self.value is not None
            return AcceptRequest(self.epoch.number, self.version, self.ballot, self.value)
        return PrepareRequest(self.epoch.number, self.version, self.ballot)

    def unanswered_members(self) -> list[tuple[str, str]]:
        """Members that have not answered this round."""
        done = self.acceptances if self.accepting else self.promises.keys()
        return [(disk, address) for disk, address in self.epoch.members if disk not in done]

    def on_reply(self, member_id: str, reply: Reply) -> bool:
        """Takes a reply in. True when the next request is due, or the outcome is there."""
        if self.outcome is not None:
            return False
        match reply:
            case VersionDecidedReply(held, history):
                self.outcome = Superseded(held, history)
            case StaleEpochReply(epoch):
                self.outcome = EpochChanged(epoch, False)
            case SealedReply(after) if self.epoch.has_member(member_id):
                self.outcome = EpochChanged(after, True)
            case BallotRejectedReply(ballot):
                self.outcome = RetryWithHigherBallot(ballot)
            case PromiseReply(ballot=ballot) if (
                ballot == self.ballot and not self.accepting and self.epoch.has_member(member_id)
            ):
                self.promises[member_id] = reply
                if len(self.promises) < self.epoch.majority:
                    return False
                best = max(self.promises.values(), key=lambda p: p.accepted)
                if best.accepted > NO_BALLOT:
                    self.value = best.value
                if self.value is None:
                    self.outcome = RetryWithHigherBallot(NO_BALLOT)
                    return True
                self.accepting = True
            case AcceptedReply(ballot) if ballot == self.ballot and self.accepting and self.epoch.has_member(
                member_id
            ):
                self.acceptances.add(member_id)
                if len(self.acceptances) < self.epoch.majority:
                    return False
                assert self.value is not None
                self.outcome = Chosen(self.version, self.value)
            case _:
                return False
        return True


class Reconfiguration:
    """Carries a chosen change of members through: seals the old epoch at a majority, installs what these
    held with a majority of the new one. May be done by several at once, and again."""

    def __init__(self, epoch: Epoch, next_epoch: Epoch) -> None:
        self.epoch, self.next_epoch = epoch, next_epoch
        self.states: dict[str, AcceptorState] = {}
        self.installed_members: set[str] = set()
        self.installing = False
        self.outcome: EpochChanged | None = None

    def request(self) -> Request:
        if not self.installing:
            return SealRequest(self.epoch.number, self.next_epoch)
        merged = Acceptor("")
        for state in self.states.values():
            merged.merge_state(state)
        return InstallRequest(self.next_epoch.number, self.next_epoch, merged.export_state())

    def unanswered_members(self) -> list[tuple[str, str]]:
        if self.installing:
            return [(d, a) for d, a in self.next_epoch.members if d not in self.installed_members]
        return [(d, a) for d, a in self.epoch.members if d not in self.states]

    def on_reply(self, member_id: str, reply: Reply) -> bool:
        """True when the next request is due, or the outcome is there."""
        if self.outcome is not None:
            return False
        match reply:
            case SealedReply(_, state) if state is not None and not self.installing and self.epoch.has_member(
                member_id
            ):
                self.states[member_id] = state
                if len(self.states) < self.epoch.majority:
                    return False
                self.installing = True
            case StaleEpochReply(epoch) if epoch.number > self.next_epoch.number or not self.installing:
                self.outcome = EpochChanged(epoch, False)
            case InstalledReply(
                number
            ) if self.installing and number >= self.next_epoch.number and self.next_epoch.has_member(
                member_id
            ):
                self.installed_members.add(member_id)
                if len(self.installed_members) < self.next_epoch.majority:
                    return False
                self.outcome = EpochChanged(self.next_epoch, False)
            case _:
                return False
        return True


class QuorumRead:
    """Asks a majority of an epoch's members what they hold: whatever was acknowledged before the first
    question left is not above `highest_version`."""

    def __init__(self, epoch: Epoch) -> None:
        self.epoch = epoch
        self.replies: dict[str, QueryReply] = {}
        self.outcome: EpochChanged | QuorumReadResult | None = None

    def request(self) -> Request:
        return QueryRequest(self.epoch.number)

    def unanswered_members(self) -> list[tuple[str, str]]:
        return [(d, a) for d, a in self.epoch.members if d not in self.replies]

    def on_reply(self, member_id: str, reply: Reply) -> bool:
        if self.outcome is not None:
            return False
        match reply:
            case StaleEpochReply(epoch):
                self.outcome = EpochChanged(epoch, False)
            case QueryReply(
                epoch=number, may_vote=True
            ) if number == self.epoch.number and self.epoch.has_member(member_id):
                self.replies[member_id] = reply
                if len(self.replies) < self.epoch.majority:
                    return False
                best = max(self.replies, key=lambda name: self.replies[name].committed_version)
                self.outcome = QuorumReadResult(
                    max(r.highest_version for r in self.replies.values()),
                    self.replies[best].committed_version,
                    self.replies[best].address,
                )
            case _:
                return False
        return True


class StateTransfer:
    """Tells members what is chosen, until a majority of the others hold it on their disks."""

    def __init__(
        self, epoch: Epoch, member_id: str, committed: CommittedValue, history: DigestHistory
    ) -> None:
        self.epoch, self.committed, self.history = epoch, committed, history
        self.other_members = tuple((d, a) for d, a in epoch.members if d != member_id)
        self.acknowledged: set[str] = set()
        self.outcome: QuorumReadResult | None = None

    def request(self) -> Request:
        return LearnRequest(self.epoch.number, self.committed, self.history)

    def unanswered_members(self) -> list[tuple[str, str]]:
        return [(d, a) for d, a in self.other_members if d not in self.acknowledged]

    def on_reply(self, member_id: str, reply: Reply) -> bool:
        if (
            self.outcome is not None
            or not isinstance(reply, QueryReply)
            or reply.committed_version < self.committed.version
        ):
            return False
        if not any(member_id == d for d, _ in self.other_members):
            return False
        self.acknowledged.add(member_id)
        if len(self.acknowledged) < min(self.epoch.majority, len(self.other_members)):
            return False
        self.outcome = QuorumReadResult(self.committed.version, self.committed.version, "")
        return True


def next_members(
    epoch: Epoch,
    tolerated_failures: int,
    silent_members: Iterable[str],
    candidates: Mapping[str, str],
    leaving: str = "",
) -> tuple[tuple[str, str], ...] | None:
    """Which members the next epoch should have; none if the set is as it should be, or the change has no
    majority in touch on the new side.

    `silent_members`: members not heard of for long, the longest first; `candidates`: disks that are in
    touch and want to be members, with their addresses; `leaving`: one that ends. An empty disk at a
    member's address stands in its place. Nobody is taken out, by silence or by leaving, below the `2 x
    tolerated_failures + 1` that the settings speak of: who is away may come back with its disk, and a
    smaller set bears less.
    """
    least = 2 * tolerated_failures + 1
    members = dict(epoch.members)
    quiet = [disk for disk in silent_members if disk in members]
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


def encode_epoch(epoch: Epoch) -> list[Any]:
    return [epoch.number, [list(m) for m in epoch.members]]


def decode_epoch(raw: Any) -> Epoch:
    """Raises ValueError or TypeError for what is none."""
    number, members = raw
    return Epoch(int(number), tuple((str(disk), str(address)) for disk, address in members))


def encode_value(value: Any) -> Any:
    match value:
        case Epoch():
            return encode_epoch(value)
        case CommittedValue(version, content):
            return [version, content]
        case AcceptorState(held, history, slots):
            rows = [[v, list(p), list(a), c] for v, p, a, c in slots]
            return [encode_value(held), [list(h) for h in history], rows]
        case Ballot():
            return list(value)
        case tuple():
            return [list(h) for h in value]  # a history
    return value


def encode(message: Request | Reply) -> list[Any]:
    return [
        WIRE_NAMES[type(message)],
        *(encode_value(getattr(message, f)) for f in message.__dataclass_fields__),
    ]


def decode_ballot(raw: Any) -> Ballot:
    epoch, number, who = raw
    return Ballot(int(epoch), int(number), str(who))


def decode_committed_value(raw: Any) -> CommittedValue:
    version, content = raw
    return CommittedValue(int(version), bytes(content))


def decode_history(raw: Any) -> DigestHistory:
    return tuple((int(version), bytes(what)) for version, what in raw)


def decode_state(raw: Any) -> AcceptorState:
    what, past, slots = raw
    return AcceptorState(
        decode_committed_value(what),
        decode_history(past),
        tuple((int(v), decode_ballot(p), decode_ballot(a), bytes(c)) for v, p, a, c in slots),
    )


def decode_optional_state(raw: Any) -> AcceptorState | None:
    return None if raw is None else decode_state(raw)


FIELD_DECODERS: dict[type, tuple[Any, ...]] = {
    PrepareRequest: (int, int, decode_ballot),
    AcceptRequest: (int, int, decode_ballot, bytes),
    SealRequest: (int, decode_epoch),
    InstallRequest: (int, decode_epoch, decode_state),
    QueryRequest: (int,),
    SnapshotRequest: (int,),
    LearnRequest: (int, decode_committed_value, decode_history),
    QueryReply: (int, bool, int, int, str, str, bool),
    PromiseReply: (decode_ballot, decode_ballot, bytes),
    AcceptedReply: (decode_ballot,),
    BallotRejectedReply: (decode_ballot,),
    VersionDecidedReply: (decode_committed_value, decode_history),
    StaleEpochReply: (decode_epoch,),
    SealedReply: (decode_epoch, decode_optional_state),
    InstalledReply: (int,),
    NotAMemberReply: (int,),
    SnapshotReply: (decode_committed_value, decode_history),
}
# How a message is named on the wire; it stays as it is when a class gets another name.
WIRE_NAMES: dict[type, str] = {
    PrepareRequest: "Prepare",
    AcceptRequest: "Accept",
    SealRequest: "Seal",
    InstallRequest: "Install",
    QueryRequest: "Look",
    SnapshotRequest: "Fetch",
    LearnRequest: "Teach",
    QueryReply: "Seen",
    PromiseReply: "Promised",
    AcceptedReply: "Accepted",
    BallotRejectedReply: "Refused",
    VersionDecidedReply: "Past",
    StaleEpochReply: "Newer",
    SealedReply: "Sealed",
    InstalledReply: "Installed",
    NotAMemberReply: "Outside",
    SnapshotReply: "Whole",
}
MESSAGE_TYPES = {name: kind for kind, name in WIRE_NAMES.items()}


def decode(raw: Any) -> Any:
    """A request or a reply. Raises ValueError, TypeError or KeyError for what is none."""
    name, *rest = raw
    kind = MESSAGE_TYPES[name]
    readers = FIELD_DECODERS[kind]
    if len(rest) != len(readers):
        raise ValueError(f"no {name}")
    for reader, value in zip(readers, rest, strict=True):
        # Guards against bytes(4), int("4") and the like: a shape that is off is none of ours.
        if reader in (int, bool, str, bytes) and type(value) is not reader:
            raise TypeError(f"no {name}")
    return kind(*(reader(value) for reader, value in zip(readers, rest, strict=True)))
