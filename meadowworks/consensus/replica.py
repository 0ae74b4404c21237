"""A signalbox's part in the agreement, as one machine without I/O: its acceptor, what it proposes, whom it
has heard of, and the order of its writes and sends.

Every input takes the time; what is to be done comes out of `take` as effects, in order. Nothing that an
acceptor answers leaves before the write that it rests on is reported by `written`; no request leaves before
the number of this life is on the disk. Times are of the steady clock, in nanoseconds.

What may be said to the outside goes by a lease: a majority of the epoch's members have answered questions
that left within `LEASE_NS`, and what they have accepted is known here.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from meadowworks.consensus.register import (
    MEMBERSHIP,
    NONE,
    UNKNOWN,
    Acceptor,
    Again,
    Ballot,
    Change,
    Chosen,
    Epoch,
    Fetch,
    Held,
    Install,
    Moved,
    Newer,
    Overtaken,
    Proposer,
    Read,
    Reader,
    Reply,
    Request,
    Seen,
    Slot,
    Teacher,
    Whole,
    digest,
    members_after,
    pack_epoch,
    unpack_epoch,
)

MS, SECOND = 1_000_000, 1_000_000_000
LEASE_NS = 1_800 * MS
RESEND_NS = 300 * MS  # that a reply is waited for before the request goes again
PAUSE_NS, PAUSE_MOST_NS = 20 * MS, 500 * MS  # before a try that a higher ballot ended begins anew
FINISH_NS, THIN_NS = 400 * MS, 60 * MS  # that another may take to finish its own; less when a copy is missing
SILENT_NS = 2 * SECOND  # a member that has not answered for so long is away
YOUNG_NS = 2 * SECOND  # an epoch, or a life, that began within this
RANK_NS = 250 * MS  # by which the next member waits longer before it proposes other members
FOUND_NS = 1_500 * MS  # that founding waits for voters that are not heard of yet
STEP_NS = 250 * MS  # between looks at the members
FORGET_NS = 60 * SECOND  # after which a disk that is not heard of is not spoken of either
THAW_NS = SECOND  # a turn that is later than this: this process stood still, and knows nobody's silence
NOTHING = Held()
LEAVE = -1  # the order under which `leave` reports


@dataclass(frozen=True, slots=True)
class Rows:
    """What a write holds. `meta`: all of the acceptor's own fields; `slots`: none takes one away; `history`:
    what is added, and what is below `floor` goes."""

    meta: Mapping[str, Any] | None
    held: Held | None
    history: Mapping[int, bytes]
    floor: int
    slots: Mapping[int, Slot | None]


@dataclass(frozen=True, slots=True)
class Write:
    mark: int
    rows: Rows


@dataclass(frozen=True, slots=True)
class Ask:
    question: int
    address: str
    request: Request


@dataclass(frozen=True, slots=True)
class Tell:
    """The reply to a request that came under `ticket`; `who` says it."""

    ticket: Any
    who: str
    reply: Reply


@dataclass(frozen=True, slots=True)
class Taken:
    """In force, or overtaken by a higher version and without effect."""


@dataclass(frozen=True, slots=True)
class Another:
    """Another content was chosen under this number."""


@dataclass(frozen=True, slots=True)
class Late:
    """Not decided in time, or not to be known here: it may be in force. `back_ns`: when to ask again."""

    back_ns: int


@dataclass(frozen=True, slots=True)
class Answer:
    order: int
    outcome: Taken | Another | Late | Held


@dataclass(frozen=True, slots=True)
class InForce:
    held: Held


@dataclass(frozen=True, slots=True)
class Note:
    text: str


Effect = Write | Ask | Tell | Answer | InForce | Note
Op = Proposer | Change | Reader | Teacher


@dataclass(slots=True)
class Peer:
    """Another signalbox's disk. `sent_ns`: when the newest question left that counts for the lease."""

    seen: Seen
    heard_ns: int
    sent_ns: int = 0
    waits: list[tuple[int, int]] = field(default_factory=list)  # versions to be known, and when asked


@dataclass(slots=True)
class Job:
    """Something that is carried through: an order, a read, a version or a change of members to finish."""

    kind: str  # order, finish, read, members, leave
    version: int
    content: bytes | None
    until_ns: int
    orders: list[int]
    op: Op | None = None
    round: int = 0
    due_ns: int = 0
    pause_ns: int = PAUSE_NS
    floor: int = 0
    before: Epoch | None = None  # of a change that is to be carried through: the epoch that ends


class Replica:
    """`chance` gives numbers from 0 to 1."""

    def __init__(self, acceptor: Acceptor, tolerate: int, chance: Callable[[], float]) -> None:
        self.acceptor, self.tolerate, self.chance = acceptor, tolerate, chance
        self.effects: list[Effect] = []
        self.peers: dict[str, Peer] = {}
        self.mine = Peer(acceptor.seen(), 0)  # as a member: what it has accepted may be acknowledged already
        self.jobs: dict[int, Job] = {}
        self.questions: dict[int, tuple[int, int, str]] = {}  # job, round, disk
        self.count = self.number = 0
        self.mark = self.inflight = self.synced = 0
        self.rows: Rows | None = None  # in flight
        self.retry_ns = 0
        self.gated: deque[tuple[int, Any]] = deque()
        self.ready: deque[Any] = deque()
        self.kept = set(acceptor.history)
        self.started = self.leaving = False
        self.born_ns = self.epoch_ns = self.turn_ns = self.step_ns = 0
        self.since: dict[Any, int] = {}  # when something that should not last was first seen

    # -- inputs

    def start(self, now: int) -> None:
        """The first write holds the number of this life: ballots made in it are of this life alone."""
        self.born_ns = self.epoch_ns = self.turn_ns = now
        self.acceptor.life += 1
        self.acceptor.meta = True
        self.later(("started",))
        self.settle(now)

    def asked(self, now: int, ticket: Any, request: Request) -> None:
        """A request from another signalbox."""
        who = self.acceptor.name(request.epoch)
        self.later(("tell", ticket, who, self.answered(now, request)))
        self.settle(now)

    def heard(self, now: int, question: int, who: str, reply: Reply) -> None:
        """The reply to a question."""
        if (found := self.questions.pop(question, None)) is None:
            return
        number, turn, _ = found
        if isinstance(reply, Newer):
            self.told(now, reply.epoch)
        if (job := self.jobs.get(number)) is not None and job.round == turn:
            self.reply(now, number, job, who, reply)
        self.settle(now)

    def failed(self, now: int, question: int) -> None:
        """No reply came, or may come any more."""
        self.questions.pop(question, None)

    def written(self, now: int, mark: int) -> None:
        """The write of a mark, and all before it, are on the disk."""
        self.synced, self.inflight, self.rows = mark, 0, None
        while self.gated and self.gated[0][0] <= mark:
            self.ready.append(self.gated.popleft()[1])
        self.settle(now)

    def unwritten(self, now: int, mark: int) -> None:
        """The disk refused the write: what rests on it waits, and it is tried again."""
        self.retry_ns = now + 200 * MS

    def order(self, now: int, order: int, version: int, content: bytes, until_ns: int) -> None:
        """An operator's change, checked."""
        if not self.sure(now):
            self.effects.append(Answer(order, Late(SECOND)))
            return
        if version <= self.acceptor.held.version:
            self.effects.append(Answer(order, self.verdict(version, content)))
            return
        for job in self.jobs.values():
            if job.kind == "order" and job.version == version and job.content == content:
                job.orders.append(order)
                job.until_ns = max(job.until_ns, until_ns)
                return
        self.begin(now, Job("order", version, content, until_ns, [order]))
        self.settle(now)

    def read(self, now: int, order: int, until_ns: int) -> None:
        """The newest version that may have been acknowledged before now."""
        if not self.started or self.acceptor.newest().number < 1 or self.leaving:
            self.effects.append(Answer(order, Late(SECOND)))
            return
        self.begin(now, Job("read", 0, None, until_ns, [order]))
        self.settle(now)

    def learn(self, now: int, held: Held, history: Any = ()) -> None:
        """Another signalbox says what is chosen."""
        self.learnt(held, history)
        self.settle(now)

    def met(self, now: int, sent_ns: int, seen: Seen) -> None:
        """Another signalbox's answer to a question of this one that left at `sent_ns`."""
        peer = self.peers.get(seen.disk)
        if peer is None:
            for disk in [d for d, p in self.peers.items() if p.seen.address == seen.address]:
                del self.peers[disk]  # an empty disk stands there now
            peer = self.peers[seen.disk] = Peer(seen, now)
        peer.seen, peer.heard_ns = seen, now
        if seen.votes and seen.epoch == self.acceptor.newest().number:
            peer.waits = [*peer.waits, (seen.needs, sent_ns)][-8:]
            self.freshen(peer)

    def told(self, now: int, epoch: Epoch) -> None:
        """An epoch that is in force somewhere."""
        if epoch.number > 0 and self.acceptor.told(epoch):
            self.epoch_ns = now
            for peer in self.peers.values():
                peer.sent_ns, peer.waits = 0, []
            self.note(f"epoch {epoch.number} has {len(epoch.members)} members")

    def leave(self, now: int, until_ns: int) -> None:
        """This signalbox ends: what it holds is handed over; `Answer(LEAVE, ...)` tells when."""
        self.leaving, self.acceptor.wants = True, False
        for job in list(self.jobs.values()):
            if job.kind in ("order", "read"):
                job.until_ns = min(job.until_ns, now + 400 * MS)
        if not self.acceptor.votes():
            self.effects.append(Answer(LEAVE, Taken()))
            return
        self.begin(now, Job("leave", 0, None, until_ns, [LEAVE]))
        self.settle(now)

    def tick(self, now: int) -> None:
        """Time has passed; `due` says when to call."""
        if now - self.turn_ns > THAW_NS:
            for peer in self.peers.values():
                peer.heard_ns = now
        self.turn_ns = now
        if self.inflight and self.retry_ns and now >= self.retry_ns and self.rows is not None:
            self.retry_ns = 0
            self.effects.append(Write(self.inflight, self.rows))
        for number, job in list(self.jobs.items()):
            if now >= job.until_ns:
                self.end(number, Late(200 * MS))
            elif now >= job.due_ns:
                if job.op is None:
                    self.again(now, number, job)
                else:
                    self.drive(now, number, job)
        if self.started and now - self.step_ns >= STEP_NS:
            self.step_ns = now
            self.mine.waits = [*self.mine.waits, (self.acceptor.undecided(), now)][-8:]
            self.freshen(self.mine)
            for disk in [d for d, p in self.peers.items() if now - p.heard_ns > FORGET_NS]:
                del self.peers[disk]
            self.look(now)
        self.settle(now)

    def due(self) -> int:
        """When `tick` is next to be called."""
        times = [self.step_ns + STEP_NS, *(min(j.due_ns, j.until_ns) for j in self.jobs.values())]
        if self.retry_ns:
            times.append(self.retry_ns)
        return min(times)

    def take(self) -> list[Effect]:
        found, self.effects = self.effects, []
        return found

    # -- what may be said

    def as_of(self, now: int) -> int | None:
        """Whatever was acknowledged before this time is known here; none if that can't be said of any."""
        epoch, acceptor = self.acceptor.newest(), self.acceptor
        if not self.started or epoch.number < 1 or not epoch.members:
            return None
        times = []
        for disk, _ in epoch.members:
            if disk == acceptor.disk:
                if acceptor.votes():
                    times.append(now if not acceptor.undecided() else self.mine.sent_ns)
            elif (peer := self.peers.get(disk)) is not None and peer.sent_ns:
                times.append(peer.sent_ns)
        if len(times) < epoch.majority:
            return None
        return sorted(times, reverse=True)[epoch.majority - 1]

    def sure(self, now: int) -> bool:
        """Whether this signalbox has its lease."""
        at = self.as_of(now)
        return at is not None and not self.leaving and now - at < LEASE_NS

    def verdict(self, version: int, content: bytes) -> Taken | Another:
        """Of a version not above the one held."""
        held = self.acceptor.held
        if version == held.version:
            return Taken() if content == held.content else Another()
        known = self.acceptor.history.get(version)
        return Taken() if known is None or known == digest(content) else Another()

    # -- jobs

    def begin(self, now: int, job: Job) -> None:
        self.count += 1
        self.jobs[self.count] = job
        self.again(now, self.count, job)

    def again(self, now: int, number: int, job: Job) -> None:
        """Begins a try."""
        acceptor = self.acceptor
        epoch = acceptor.newest()
        job.round += 1
        if not self.started:  # a ballot of this life may not leave before the life is on the disk
            job.op, job.due_ns = None, now + RESEND_NS
            return
        if job.kind == "members":
            if job.before is not None:
                job.op = Change(job.before, Epoch(job.before.number + 1, unpack_members(job.content or b"")))
            elif acceptor.epoch.number != epoch.number or not acceptor.votes():
                return self.end(number, None)  # the set has changed meanwhile
            else:
                job.op = self.proposer(epoch, MEMBERSHIP, job)
        elif job.kind in ("order", "finish"):
            if epoch.number < 1:
                job.op, job.due_ns = None, now + RESEND_NS
                return
            if job.version <= acceptor.held.version:
                return self.end(number, self.verdict(job.version, job.content or b""))
            job.op = self.proposer(epoch, job.version, job)
        elif job.kind == "leave" and len(epoch.members) > 2 * self.tolerate + 1 and acceptor.votes():
            job.content = job.content or pack_members(
                tuple((d, a) for d, a in epoch.members if d != acceptor.disk)
            )
            job.op = self.proposer(epoch, MEMBERSHIP, job)
        else:
            job.op = Reader(epoch)
        self.drive(now, number, job)

    def proposer(self, epoch: Epoch, version: int, job: Job) -> Proposer:
        slot = self.acceptor.slots.get(version)
        self.number = max(self.number, job.floor, slot.promised.number if slot else 0) + 1
        who = f"{self.acceptor.disk}.{self.acceptor.life}"
        return Proposer(epoch, version, Ballot(epoch.number, self.number, who), job.content)

    def drive(self, now: int, number: int, job: Job) -> None:
        """Sends the round's request to whoever has not answered it."""
        op = job.op
        assert op is not None
        job.due_ns = now + RESEND_NS
        request = op.request()
        for disk, address in op.targets():
            if disk == self.acceptor.name(request.epoch):
                self.later(("own", number, job.round, disk, self.answered(now, request)))
            else:
                self.ask(number, job.round, disk, address, request)

    def ask(self, number: int, turn: int, disk: str, address: str, request: Request) -> None:
        self.count += 1
        self.questions[self.count] = number, turn, disk
        while len(self.questions) > 4096:
            del self.questions[next(iter(self.questions))]
        self.effects.append(Ask(self.count, address, request))

    def reply(self, now: int, number: int, job: Job, who: str, reply: Reply) -> None:
        if isinstance(reply, Whole):
            self.learnt(reply.held, reply.history)
            if job.op is None:
                self.again(now, number, job)
            return
        if job.op is None or not job.op.heard(who, reply):
            return
        if job.op.outcome is None:
            job.round += 1
            self.drive(now, number, job)
            return
        outcome = job.op.outcome
        match outcome:
            case Chosen(version, content) if version == MEMBERSHIP:
                before = job.op.epoch
                job.before, job.content = before, content
                job.op = Change(before, Epoch(before.number + 1, unpack_members(content)))
                job.round += 1
                self.drive(now, number, job)
            case Chosen(version, content):
                self.learnt(Held(version, content), ())
                if job.kind == "order":
                    self.end(number, Taken() if content == job.content else Another())
                elif job.kind == "finish":
                    self.end(number, None)
                else:
                    self.again(now, number, job)
            case Overtaken(held, history):
                self.learnt(held, history)
                if job.kind == "order":
                    self.end(number, self.verdict(job.version, job.content or b""))
                elif job.kind == "finish":
                    self.end(number, None)
                else:
                    self.again(now, number, job)
            case Again(ballot):
                if ballot == NONE and job.kind in ("finish", "members"):
                    return self.end(number, None)
                job.floor = max(job.floor, ballot.number)
                self.pause(now, job)
            case Moved(epoch, sealed):
                before = job.op.epoch
                if sealed:
                    self.carry(now, before, epoch)
                else:
                    self.told(now, epoch)
                if job.kind == "members":
                    self.end(number, None)
                else:
                    if job.kind == "leave":
                        job.before, job.content = None, None
                    self.pause(now, job)
            case Read(needs, version, address):
                self.found(now, number, job, needs, version, address)

    def found(self, now: int, number: int, job: Job, needs: int, version: int, address: str) -> None:
        """A majority has said what it holds."""
        acceptor = self.acceptor
        assert job.op is not None
        if job.kind == "leave" and not job.op.epoch.has(acceptor.disk):
            self.note("handed over, and out of the members")
            self.end(number, Taken())
        elif isinstance(job.op, Teacher):
            self.note(f"version {job.op.held.version:08x} is on a majority of the others' disks")
            self.end(number, Taken())
        elif needs <= acceptor.held.version:
            if job.kind == "leave":
                job.op = Teacher(acceptor.newest(), acceptor.disk, acceptor.held, acceptor.past())
                job.round += 1
                if not job.op.others:
                    return self.end(number, Taken())
                self.drive(now, number, job)
            else:
                self.end(number, acceptor.held)
        elif version > acceptor.held.version and address != acceptor.address:
            job.op, job.round, job.due_ns = None, job.round + 1, now + RESEND_NS
            self.ask(number, job.round, "", address, Fetch(acceptor.newest().number))
        else:
            job.content = None
            job.op = self.proposer(acceptor.newest(), needs, job)
            job.round += 1
            self.drive(now, number, job)

    def pause(self, now: int, job: Job) -> None:
        job.op, job.round = None, job.round + 1
        job.due_ns = now + int(job.pause_ns * (0.5 + self.chance()))
        job.pause_ns = min(PAUSE_MOST_NS, 2 * job.pause_ns)

    def carry(self, now: int, before: Epoch, after: Epoch) -> None:
        """Carries a change through that another has had chosen."""
        if any(j.kind == "members" for j in self.jobs.values()):
            return
        job = Job("members", MEMBERSHIP, pack_members(after.members), now + 2 * SECOND, [], before=before)
        self.begin(now, job)

    def end(self, number: int, outcome: Taken | Another | Late | Held | None) -> None:
        job = self.jobs.pop(number)
        for order in job.orders:
            if outcome is not None:
                self.effects.append(Answer(order, outcome))

    # -- what is known

    def learnt(self, held: Held, history: Any) -> None:
        if self.acceptor.learn(held.version, held.content, history):
            self.effects.append(InForce(self.acceptor.held))
        for peer in (self.mine, *self.peers.values()):
            self.freshen(peer)

    def freshen(self, peer: Peer) -> None:
        """A question counts once what its answer spoke of is known here."""
        known = [sent for needs, sent in peer.waits if needs <= self.acceptor.held.version]
        peer.sent_ns = max([peer.sent_ns, *known])
        peer.waits = [(n, s) for n, s in peer.waits if n > self.acceptor.held.version]

    def answered(self, now: int, request: Request) -> Reply:
        """The own acceptor's answer. By it, it may be of another epoch, or hold a newer version."""
        epoch, held = self.acceptor.epoch.number, self.acceptor.held.version
        reply = self.acceptor.answer(request)
        if self.acceptor.held.version > held:
            self.effects.append(InForce(self.acceptor.held))
            for peer in (self.mine, *self.peers.values()):
                self.freshen(peer)
        if self.acceptor.epoch.number > epoch:
            self.joined(now)
        return reply

    def joined(self, now: int) -> None:
        self.epoch_ns = now
        self.note(f"a member of epoch {self.acceptor.epoch.number}, of {len(self.acceptor.epoch.members)}")
        for peer in self.peers.values():
            peer.sent_ns, peer.waits = 0, []

    # -- from time to time

    def silent(self, now: int) -> list[str]:
        """Members that have not answered for long, the longest first."""
        found = []
        for disk, _ in self.acceptor.epoch.members:
            if disk in (self.acceptor.disk, self.acceptor.seat):
                continue
            peer = self.peers.get(disk)
            since = max(peer.heard_ns, self.born_ns) if peer else max(self.epoch_ns, self.born_ns)
            if now - since > SILENT_NS:
                found.append((since, disk))
        return [disk for _, disk in sorted(found)]

    def candidates(self, now: int) -> dict[str, str]:
        found = {
            disk: peer.seen.address
            for disk, peer in self.peers.items()
            if peer.seen.wants
            and peer.seen.epoch >= self.acceptor.epoch.number  # said since it may know itself out
            and now - peer.heard_ns < SILENT_NS
            and not self.acceptor.epoch.has(disk)
        }
        if self.acceptor.wants and not self.acceptor.epoch.has(self.acceptor.disk):
            found[self.acceptor.disk] = self.acceptor.address  # a founder, in epoch 0
        return found

    def lasting(self, now: int, what: Any, holds: bool) -> int:
        """For how long something has been so."""
        if not holds:
            self.since.pop(what, None)
            return -1
        return now - self.since.setdefault(what, now)

    def look(self, now: int) -> None:
        """Finishes what others have left, and sees to it that the members are as they should be."""
        acceptor, epoch = self.acceptor, self.acceptor.epoch
        changing = any(j.kind in ("members", "leave") for j in self.jobs.values())
        silent = self.silent(now)
        alive = sorted(d for d, _ in epoch.members if d not in silent)
        me = acceptor.name(epoch.number)
        rank = alive.index(me) if me in alive else len(alive)
        if acceptor.sealed is not None and acceptor.installed:
            if self.lasting(now, "sealed", True) >= rank * RANK_NS and not changing:
                self.carry(now, epoch, acceptor.sealed)
            return
        self.lasting(now, "sealed", False)
        if not acceptor.votes():
            return
        thin = bool(silent) or now - self.epoch_ns < YOUNG_NS
        undecided = acceptor.undecided()
        for key in [k for k in self.since if isinstance(k, tuple) and k[1] != undecided]:
            del self.since[key]
        waits = (THIN_NS if thin else FINISH_NS) + rank * 60 * MS
        if self.lasting(now, ("version", undecided), undecided > acceptor.held.version) >= waits and not any(
            j.version == undecided for j in self.jobs.values()
        ):
            self.note(f"finishing version {undecided:08x}")
            self.begin(now, Job("finish", undecided, None, now + SECOND, []))
        slot = acceptor.slots.get(MEMBERSHIP)
        begun = slot is not None and slot.accepted > NONE
        if self.lasting(now, "begun", begun) >= FINISH_NS + rank * RANK_NS and not changing:
            self.begin(now, Job("members", MEMBERSHIP, None, now + 2 * SECOND, []))
            return
        if epoch.number > 0:
            self.bring(now)
        if changing or begun or self.leaving:
            return
        wanted = self.wanted(now, silent)
        if self.lasting(now, "members", wanted is not None) >= rank * RANK_NS and wanted is not None:
            self.note(f"proposing {len(wanted)} members for epoch {epoch.number + 1}")
            self.begin(now, Job("members", MEMBERSHIP, pack_members(wanted), now + 2 * SECOND, []))

    def wanted(self, now: int, silent: list[str]) -> tuple[tuple[str, str], ...] | None:
        candidates = self.candidates(now)
        if self.acceptor.epoch.number > 0:
            return members_after(self.acceptor.epoch, self.tolerate, silent, candidates)
        # Founding: nothing can have been acknowledged yet, and whoever comes later is taken in.
        enough = 2 * self.tolerate + 1 if now - self.born_ns < FOUND_NS else self.tolerate + 1
        return tuple(sorted(candidates.items())) if len(candidates) >= enough else None

    def bring(self, now: int) -> None:
        """Installs members that have missed the change to this epoch."""
        for disk, address in self.acceptor.epoch.members:
            peer = self.peers.get(disk)
            if peer is None or peer.seen.votes and peer.seen.epoch == self.acceptor.epoch.number:
                continue
            if peer.seen.epoch <= self.acceptor.epoch.number and now - peer.heard_ns < SILENT_NS:
                install = Install(self.acceptor.epoch.number, self.acceptor.epoch, self.acceptor.state())
                self.ask(0, 0, disk, address, install)

    def note(self, text: str) -> None:
        self.effects.append(Note(text))

    # -- the order of writes and sends

    def dirty(self) -> bool:
        return bool(self.acceptor.changed) or self.acceptor.meta or self.acceptor.news

    def later(self, what: Any) -> None:
        """Something that rests on all that the acceptor has come to hold: it waits for the write of that."""
        if self.dirty():
            self.gated.append((self.mark + 1, what))
        elif self.inflight:
            self.gated.append((self.inflight, what))
        else:
            self.ready.append(what)

    def settle(self, now: int) -> None:
        """Does what is ready, then hands out the next write if none is under way."""
        while self.ready:
            match self.ready.popleft():
                case ("started",):
                    self.started = True
                case ("tell", ticket, who, reply):
                    self.effects.append(Tell(ticket, who, reply))
                case ("own", number, turn, who, reply):
                    if isinstance(reply, Newer):
                        self.told(now, reply.epoch)
                    job = self.jobs.get(number)
                    if job is not None and job.round == turn:
                        self.reply(now, number, job, who, reply)
        if self.dirty() and not self.inflight:
            self.mark += 1
            self.inflight, self.rows = self.mark, self.collect()
            self.effects.append(Write(self.mark, self.rows))

    def collect(self) -> Rows:
        """What has changed since the last write, as a copy."""
        acceptor = self.acceptor
        meta = None
        if acceptor.meta:
            meta = {
                "disk": acceptor.disk,
                "seat": acceptor.seat,
                "life": acceptor.life,
                "epoch": pack_epoch(acceptor.epoch),
                "installed": acceptor.installed,
                "sealed": None if acceptor.sealed is None else pack_epoch(acceptor.sealed),
            }
        slots = {
            v: Slot(s.promised, s.accepted, s.content) if (s := acceptor.slots.get(v)) else None
            for v in acceptor.changed
        }
        added = {v: d for v, d in acceptor.history.items() if v not in self.kept} if acceptor.news else {}
        self.kept = set(acceptor.history)
        held = acceptor.held if acceptor.news else None
        acceptor.changed, acceptor.meta, acceptor.news = set(), False, False
        return Rows(meta, held, added, min(acceptor.history, default=0), slots)

    def status(self, now: int) -> dict[str, Any]:
        acceptor, at = self.acceptor, self.as_of(now)
        return {
            "sure": self.sure(now),
            "lease_ms": None if at is None else max(0, (LEASE_NS - (now - at)) // MS),
            "disk": acceptor.disk,
            "life": acceptor.life,
            "voting": acceptor.votes(),
            "epoch": acceptor.newest().number,
            "members_of_epoch": dict(acceptor.newest().members),
            "version": f"{acceptor.held.version:08x}",
            "undecided": [f"{v:08x}" for v in sorted(acceptor.slots) if v],
        }


def pack_members(members: tuple[tuple[str, str], ...]) -> bytes:
    """As the content of a register: equal for equal sets."""
    return "\n".join(f"{disk} {address}" for disk, address in sorted(members)).encode()


def unpack_members(content: bytes) -> tuple[tuple[str, str], ...]:
    rows = [line.partition(" ") for line in content.decode().splitlines()]
    return tuple((disk, address) for disk, _, address in rows)


def acceptor_for(
    meta: Mapping[str, Any] | None,
    *,
    disk: str,
    address: str,
    seeds: tuple[str, ...],
    bootstrap: bool,
    voting: bool,
    held: Held = NOTHING,
    history: Mapping[int, bytes] | None = None,
    slots: Mapping[int, Slot] | None = None,
) -> Acceptor:
    """The acceptor of a disk as it is at a start. `meta` is what the disk holds; none if it is empty, then
    `disk` is its name from now on. `address` and `seeds` are of the port for signalboxes among themselves."""
    if meta is not None:
        sealed = meta["sealed"]
        return Acceptor(
            str(meta["disk"]),
            address,
            str(meta["seat"]),
            voting,
            int(meta["life"]),
            unpack_epoch(meta["epoch"]),
            bool(meta["installed"]) and voting,
            None if sealed is None else unpack_epoch(sealed),
            held,
            dict(history or {}),
            dict(slots or {}),
        )
    epoch, seat = Epoch(UNKNOWN), ""
    founder = bootstrap and address in seeds
    if bootstrap:
        # All are told the same seeds at the first start: they are the members of epoch 0, by their seats.
        epoch = Epoch(0, tuple(sorted((f"@{seed}", seed) for seed in seeds)))
        seat = f"@{address}" if founder else ""
    return Acceptor(disk, address, seat, voting, epoch=epoch, installed=founder, meta=True)
