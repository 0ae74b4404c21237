"""One register a version and one of members an epoch: `meadowworks.consensus.register.Acceptor`s on disks
that are wiped, replaced, restarted and taken off, and `Proposer`s, `Reconfiguration`s, `QuorumRead`s and
`StateTransfer`s that race, are given up, begun anew, or finish what another began, as `replica.Replica` has
them do.

A request and its reply are one step, or the reply is lost: what a proposer has heard only tells when its
next requests go, and those are steps of their own; one that got no reply may be asked again. An acceptor's
answer is on its disk when it leaves (the model `replica` looks at that), also to its own proposer: a loss
of power of a proposer's box before any of its writes is a crash before the step in which it asks itself. A
cut needs no clock: every proposer may go on, whoever it no longer reaches.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache, partial
from itertools import combinations
from typing import Any

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.call_factory import QuorumCallFactory
from meadowworks.consensus.membership import decode_member_list, encode_member_list
from meadowworks.consensus.messages import (
    AcceptedReply,
    AcceptRequest,
    InstallRequest,
    LearnRequest,
    PrepareRequest,
    PromiseReply,
    QueryReply,
    Request,
    SealRequest,
    SnapshotReply,
    SnapshotRequest,
    StaleEpochReply,
)
from meadowworks.consensus.metadata import load_acceptor
from meadowworks.consensus.operations import Operation, OperationKind
from meadowworks.consensus.outcomes import (
    Chosen,
    EpochChanged,
    QuorumReadResult,
    RetryWithHigherBallot,
    Superseded,
)
from meadowworks.consensus.proposer import Proposer
from meadowworks.consensus.quorum_read import QuorumRead
from meadowworks.consensus.reconfiguration import Reconfiguration
from meadowworks.consensus.replica import Replica
from meadowworks.consensus.state_transfer import StateTransfer
from meadowworks.consensus.values import (
    MEMBERSHIP_VERSION,
    AcceptorSlot,
    AcceptorState,
    Ballot,
    CommittedValue,
    Epoch,
    digest,
)
from meadowworks.consensus.write_queue import WriteQueue
from meadowworks.modelcheck.model import Model, Property, Step

Members = tuple[tuple[str, str], ...]
Op = Proposer | Reconfiguration | QuorumRead | StateTransfer
BEGUN, TAKEN, BEFORE = Ballot(1, 1, "b.0"), Ballot(1, 1, "a.0"), Ballot(0, 9, "a.0")
X, Y = b"x", b"y"
NOBODY: frozenset[frozenset[int]] = frozenset()


def disks(*names: str) -> Members:
    """Members by their disks: `a` stands at place 0, `b` at 1; `c2` is the second disk at place 2."""
    return tuple(sorted((name, str(ord(name[0]) - ord("a"))) for name in names))


@dataclass(frozen=True, slots=True)
class Want:
    """What a proposer is for. `kind`: put and finish a version, members (propose them; without any, finish
    what another has proposed), change (carry the scene's chosen one through), carry (one that it finds itself
    sealed by), read, leave. `epoch`: it begins in this one alone; -1: in any."""

    home: int
    kind: str
    version: int = 0
    content: bytes | None = None
    members: Members = ()
    epoch: int = -1


@dataclass(frozen=True, slots=True)
class Scene:
    name: str
    wants: tuple[Want, ...]
    tries: tuple[int, ...]
    places: int = 3
    members: Members = disks("a", "b", "c")  # of epoch 1; with `founding`, of the places that found
    after: Members = ()  # chosen already as those of epoch 2, by `b`, with `a`; nothing is sealed yet
    sealed: tuple[int, ...] = ()  # places that are sealed by it, and have it installed, as the scene begins
    joined: tuple[int, ...] = ()
    old: tuple[int, ...] = ()  # places that have accepted X as version 1, under a high number before epoch 1
    taken: tuple[int, ...] = ()  # places that have accepted X as version 1 in epoch 1: it is chosen
    founding: bool = False
    wiped: tuple[int, ...] = ()  # places whose disk may be replaced by an empty one, once
    gone: tuple[int, ...] = ()  # places whose machine and disk may be lost for good, once
    crashes: tuple[int, ...] = ()  # places that may lose power, once
    off: tuple[int, ...] = ()  # places that may be restarted without a vote and then with one, once
    lost: bool = False  # any reply may be lost
    spread: bool = False  # acceptors tell each other what they know to be chosen
    bring: bool = False  # members install others in their epoch
    hear: bool = False  # acceptors hear of each other's epochs
    late: bool = False  # a request may be held up until after its sender has lost power or begun anew
    cut: frozenset[frozenset[int]] = NOBODY  # pairs of places that will not reach each other


def apart(one: Iterable[int], other: Iterable[int]) -> frozenset[frozenset[int]]:
    return frozenset(frozenset((a, b)) for a in one for b in other)


# What came of a request, by the proposer and the acceptor as they were: the acceptor, the proposer, its
# outcome, the reply's epoch if it is a newer one, and what was done. Whom it asks next, too.
Known = dict[tuple[Any, Any], Any]
KNOWN_MOST = 1 << 18


class World:
    """`kept` holds the acceptors as plain values, `made` those that the step in hand has touched. `known` is
    what the machines have answered before; it is of one model, so that a seeded fault finds it empty."""

    def __init__(self, scene: Scene, known: Known) -> None:
        self.scene, self.known = scene, known
        self.outcomes: list[tuple[Any, ...]] = []
        self.kept: list[Any] = [flat_acceptor(first(scene, k)) for k in range(scene.places)]
        self.made: dict[int, Acceptor] = {}
        self.numbers = [0] * scene.places  # of ballots, in memory
        self.ops: list[Any] = [None] * len(scene.wants)
        self.tries: list[int] = list(scene.tries)
        self.left = (scene.wiped, scene.gone, scene.crashes, scene.off)
        self.cut = NOBODY
        self.late: tuple[Any, ...] = ()
        self.chosen: tuple[tuple[int, int, bytes], ...] = ()  # epoch, version, content: may be acknowledged
        self.tried: tuple[tuple[int, bytes], ...] = ()  # sets of members, and in which epoch proposed
        if scene.after:
            content = encode_member_list(scene.after)
            self.chosen, self.tried = ((1, MEMBERSHIP_VERSION, content),), ((1, content),)
        if scene.taken:
            self.chosen = (*self.chosen, (1, 1, X))

    # -- steps

    def enabled(self) -> Iterable[Step]:
        found: list[Step] = []
        scene = self.scene
        for p, want in enumerate(scene.wants):
            if self.kept[want.home] is None:
                continue
            if self.tries[p] and self.may_begin(p, want):
                found.append(("begin", p))
            if self.ops[p] is not None:
                for _, address in self.targets(p):
                    k = int(address)
                    if self.reaches(want.home, k):
                        found.append(("ask", p, k))
                        if scene.lost and k != want.home:
                            found.append(("lost", p, k))
        for place, (_, to) in enumerate(self.late):
            found += [("late", place, k) for k in to if self.kept[k] is not None]
        wiped, gone, crashes, off = self.left
        found += [("wipe", k) for k in wiped if self.kept[k] is not None]
        found += [("gone", k) for k in gone if self.kept[k] is not None]
        found += [("crash", k) for k in crashes if self.kept[k] is not None]
        found += [("off", k) for k in off if self.kept[k] is not None]
        found += [
            ("on", k)
            for k, kept in enumerate(self.kept)
            if k in scene.off and kept is not None and not kept[3]
        ]
        if scene.spread or scene.bring or scene.hear:
            for k, one in enumerate(self.kept):
                for j, other in enumerate(self.kept):
                    if k == j or one is None or other is None or not self.reaches(k, j):
                        continue
                    if scene.spread and other[8][0] < one[8][0]:
                        found.append(("tell", k, j))
                    if scene.hear and other[5][0] > 0:
                        found.append(("hear", k, j))
                    if scene.bring and self.may_bring(one, other):
                        found.append(("bring", k, j))
        if scene.cut and not self.cut:
            found.append(("cut",))
        return found

    def targets(self, p: int) -> Any:
        at = "targets", self.ops[p]
        if (found := self.known.get(at)) is None:
            op = thaw_op(self.ops[p])
            assert op is not None
            found = self.known[at] = op.unanswered_members()
        return found

    def may_begin(self, p: int, want: Want) -> bool:
        epoch, installed, sealed, view = (self.kept[want.home][place] for place in (5, 6, 7, 11))
        newest = max(epoch[0], view[0])
        if want.epoch not in (-1, newest):
            return False
        if want.kind == "carry":
            return bool(installed and sealed is not None)
        if want.kind == "change":
            return True
        if want.kind in ("members", "leave"):
            return bool(installed and sealed is None and epoch[0] == newest)
        if want.kind == "put" and self.scene.cut and not self.cut:
            return False  # before the cut, as in the scenes without one
        if want.kind in ("put", "finish") and want.version <= self.kept[want.home][8][0]:
            return False
        return bool(newest >= 0)

    @staticmethod
    def may_bring(one: Any, other: Any) -> bool:
        """`one` votes, and has the other as a member that does not."""
        epoch, installed, sealed, view = one[5], one[6], one[7], one[11]
        return bool(
            installed
            and sealed is None
            and view[0] <= epoch[0]
            and epoch[0] > 0
            and any(disk == other[0] for disk, _ in epoch[1])
            and not (other[6] and other[5][0] >= epoch[0])
        )

    def reaches(self, k: int, j: int) -> bool:
        return self.kept[j] is not None and not (self.cut and frozenset((k, j)) in self.cut)

    def at(self, k: int) -> Acceptor:
        if k not in self.made:
            self.made[k] = acceptor(self.kept[k])
        return self.made[k]

    def take_step(self, step: Step) -> None:
        kind, *what = step
        self.outcomes, before = [], list(self.kept)
        getattr(self, "do_" + kind)(*what)
        for k, made in self.made.items():  # on its disk before its answer leaves
            made.changed_slots, made.metadata_changed, made.committed_changed = set(), False, False
            self.kept[k] = flat_acceptor(made)
        self.made = {}
        self.outcomes += [
            ("kept", was, now)
            for was, now in zip(before, self.kept, strict=True)
            if was is not now and was is not None and now is not None and was[0] == now[0]
        ]

    def do_begin(self, p: int) -> None:
        want = self.scene.wants[p]
        self.tries[p] -= 1
        self.hold_up(p)
        home = self.at(want.home)
        epoch = home.newest_epoch()
        if want.kind == "change":
            self.put(p, Reconfiguration(epoch_of(1, self.scene.members), epoch_of(2, self.scene.after)))
        elif want.kind == "carry":
            assert home.sealed_by is not None
            self.put(p, Reconfiguration(home.epoch, home.sealed_by))
        elif want.kind == "members" or want.kind == "leave" and len(epoch.members) > 3:
            others = tuple((d, a) for d, a in epoch.members if d != home.member_id)
            which = others if want.kind == "leave" else want.members
            content = encode_member_list(which) if which else None
            if content is not None:
                self.tried = tuple(sorted({*self.tried, (epoch.number, content)}))
            self.put(p, self.proposer(want.home, epoch, MEMBERSHIP_VERSION, content))
        elif want.kind in ("put", "finish"):
            self.put(p, self.proposer(want.home, epoch, want.version, want.content))
        else:
            self.put(p, QuorumRead(epoch), self.newest_chosen())

    def newest_chosen(self) -> int:
        return max((version for _, version, _ in self.chosen), default=0)

    def proposer(self, home: int, epoch: Epoch, version: int, content: bytes | None) -> Proposer:
        calls = QuorumCallFactory(self.at(home), 1)
        calls.last_ballot_number = self.numbers[home]
        made = calls.new_proposer(epoch, version, Operation(OperationKind.PROPOSE, version, content, 0, []))
        self.numbers[home] = calls.last_ballot_number
        return made

    def put(self, p: int, op: Op | None, floor: int | None = None) -> None:
        if floor is None:
            floor = self.ops[p][-1] if self.ops[p] else 0
        self.ops[p] = None if op is None else flat_op(op, floor)

    def do_ask(self, p: int, k: int, heard: bool = True) -> None:
        kept = self.ops[p]
        at = kept, self.kept[k]
        if (found := self.known.get(at)) is None:
            if len(self.known) >= KNOWN_MOST:
                self.known.clear()
            found = self.known[at] = answered(*at)
        self.kept[k], op, outcome, newer, took = found
        if took is not None:
            self.outcomes.append(took)
        if not heard:
            return
        if newer is not None:
            self.at(self.scene.wants[p].home).on_epoch(newer)
        self.ops[p] = op
        if outcome is not None:
            made = thaw_op(kept)
            assert made is not None
            made.outcome = outcome
            self.outcome(p, made)

    def do_lost(self, p: int, k: int) -> None:
        self.do_ask(p, k, heard=False)

    def outcome(self, p: int, op: Op) -> None:
        """As a replica goes on; what it would begin anew by itself is a try."""
        want = self.scene.wants[p]
        home, floor = self.at(want.home), self.ops[p][-1]
        match op.outcome:
            case Chosen(version, content):
                assert isinstance(op, Proposer)
                self.chosen = tuple(sorted({*self.chosen, (op.epoch.number, version, content)}))
                if version == MEMBERSHIP_VERSION:
                    after = Epoch(op.epoch.number + 1, decode_member_list(content))
                    return self.put(p, Reconfiguration(op.epoch, after))
                home.learn(version, content)
                if want.kind == "leave":
                    return self.put(p, QuorumRead(home.newest_epoch()))
                self.tries[p] = 0
            case Superseded(held, history):
                home.learn(held.version, held.value, history)
                if want.kind == "leave":
                    return self.put(p, QuorumRead(home.newest_epoch()))
                self.tries[p] = 0
            case RetryWithHigherBallot(ballot):
                self.numbers[want.home] = max(self.numbers[want.home], ballot.number)
            case EpochChanged(epoch, True):
                return self.put(p, Reconfiguration(op.epoch, epoch))
            case EpochChanged(epoch, False):
                home.on_epoch(epoch)
                if want.kind == "members" and isinstance(op, Reconfiguration):
                    self.tries[p] = 0
                if want.kind == "leave":
                    return self.put(p, QuorumRead(home.newest_epoch()))
            case QuorumReadResult(needs, version, address):
                if want.kind == "read":
                    self.outcomes.append(("read", floor, needs))
                    self.tries[p] = 0
                elif not op.epoch.has_member(home.member_id):
                    there = [kept for kept in self.kept if kept and kept[6] and op.epoch.has_member(kept[0])]
                    count = sum(kept[5][0] >= op.epoch.number for kept in there)
                    self.outcomes.append(("handed", floor, count, op.epoch.majority))
                    self.leaves(p, want.home)
                elif isinstance(op, StateTransfer):
                    least = min(op.epoch.majority, len(op.other_members))
                    self.outcomes.append(("handed", floor, self.knowing(floor, op), least))
                    self.leaves(p, want.home)
                elif needs <= home.committed.version:
                    me = (home.newest_epoch(), home.member_id, home.committed, home.digest_history())
                    return self.put(p, StateTransfer(*me), max(floor, home.committed.version))
                elif version > home.committed.version:
                    if self.kept[int(address)] is not None:
                        whole = self.at(int(address)).handle(SnapshotRequest(home.newest_epoch().number))
                        assert isinstance(whole, SnapshotReply)
                        home.learn(whole.committed.version, whole.committed.value, whole.history)
                    return self.put(p, QuorumRead(home.newest_epoch()))
                else:
                    return self.put(p, self.proposer(want.home, home.newest_epoch(), needs, None))
        self.put(p, None)

    def knowing(self, version: int, op: StateTransfer) -> int:
        """How many of those told hold a version, or a newer one."""
        others = {disk for disk, _ in op.other_members}
        return sum(
            kept is not None and self.at(k).member_id in others and self.at(k).committed.version >= version
            for k, kept in enumerate(self.kept)
        )

    def leaves(self, p: int, home: int) -> None:
        """Its process ends, and its machine goes, with the disk."""
        self.tries[p] = 0
        self.do_gone(home)

    def end_ops(self, home: int) -> None:
        for p, want in enumerate(self.scene.wants):
            if want.home == home:
                self.hold_up(p)
                self.ops[p] = None

    def hold_up(self, p: int) -> None:
        """Requests that are on their way, and not yet answered, come late."""
        op = thaw_op(self.ops[p])
        if self.scene.late and isinstance(op, Proposer | Reconfiguration):
            to = tuple(int(address) for _, address in op.unanswered_members())
            self.late = tuple(sorted({*self.late, (flat_request(op.request()), to)}))

    def do_late(self, place: int, k: int) -> None:
        request, to = self.late[place]
        rest = tuple(j for j in to if j != k)
        left = [*self.late[:place], *([(request, rest)] if rest else []), *self.late[place + 1 :]]
        self.late = tuple(sorted(left))
        other, asked = self.at(k), thaw_request(request)
        newest, votes = other.newest_epoch().number, voter(other, asked.epoch)
        if isinstance(other.handle(asked), PromiseReply | AcceptedReply):
            self.outcomes.append(("took", asked.epoch, newest, votes))

    def do_wipe(self, k: int) -> None:
        """What its process was at goes with it. It is told that this is not the first start."""
        wiped, *rest = self.left
        self.left = (tuple(j for j in wiped if j != k), *rest)  # type: ignore[assignment]
        self.end_ops(k)
        self.numbers[k] = 0
        name = self.at(k).member_id[0] + "2"
        seeds = tuple(address for _, address in self.scene.members)
        self.made[k] = start(
            load_acceptor(None, new_member_id=name, address=str(k), seeds=seeds, bootstrap=False, voting=True)
        )

    def do_gone(self, k: int) -> None:
        wiped, gone, crashes, off = self.left
        self.left = (wiped, tuple(j for j in gone if j != k), crashes, off)
        self.end_ops(k)
        self.numbers[k] = 0
        self.made.pop(k, None)
        self.kept[k] = None

    def do_crash(self, k: int) -> None:
        wiped, gone, crashes, off = self.left
        self.left = (wiped, gone, tuple(j for j in crashes if j != k), off)
        self.restart(k, True)

    def do_off(self, k: int) -> None:
        wiped, gone, crashes, off = self.left
        self.left = (wiped, gone, crashes, tuple(j for j in off if j != k))
        self.restart(k, False)

    def do_on(self, k: int) -> None:
        self.restart(k, True)

    def restart(self, k: int, voting: bool) -> None:
        """What is on the disk comes back, under the next life; what is in memory alone does not."""
        self.end_ops(k)
        self.numbers[k] = 0
        old = self.at(k)
        old.metadata_changed = True
        meta = WriteQueue(old).collect_update().metadata
        self.made[k] = start(
            load_acceptor(
                meta,
                new_member_id="",
                address=old.address,
                seeds=(),
                bootstrap=False,
                voting=voting,
                committed=old.committed,
                history=old.history,
                slots=old.slots,
            )
        )

    def do_tell(self, k: int, j: int) -> None:
        one = self.at(k)
        self.at(j).handle(LearnRequest(one.epoch.number, one.committed, one.digest_history()))

    def do_bring(self, k: int, j: int) -> None:
        one = self.at(k)
        self.at(j).handle(InstallRequest(one.epoch.number, one.epoch, one.export_state()))

    def do_hear(self, k: int, j: int) -> None:
        self.at(k).on_epoch(self.at(j).epoch)

    def do_cut(self) -> None:
        self.cut = self.scene.cut

    # -- kept and told apart: plain values alone, so that what is kept is what tells worlds apart

    def freeze(self) -> Any:
        return self.scene, self.key()

    def key(self) -> Any:
        return (
            self.scene.name,
            tuple(self.kept),
            tuple(self.numbers),
            tuple(self.ops),
            tuple(self.tries),
            self.left,
            bool(self.cut),
            self.late,
            self.chosen,
            self.tried,
        )


def answered(kept: Any, other: Any) -> Any:
    """One request of a proposer and its reply, as `Known` has it."""
    op, one = thaw_op(kept), acceptor(other)
    assert op is not None
    request = op.request()
    newest, votes = one.newest_epoch().number, voter(one, request.epoch)
    reply = one.handle(request)
    took = ("took", request.epoch, newest, votes) if isinstance(reply, PromiseReply | AcceptedReply) else None
    op.on_reply(one.id_in_epoch(request.epoch), reply)
    newer = reply.epoch if isinstance(reply, StaleEpochReply) else None
    same = flat_acceptor(one)
    return other if same == other else same, flat_op(op, kept[-1]), op.outcome, newer, took


def voter(one: Acceptor, epoch: int) -> bool:
    """Whether it is to vote in an epoch, and is ready to."""
    there = one.installed and one.sealed_by is None and one.wants_membership and one.epoch.number == epoch
    return there and any(disk == one.id_in_epoch(epoch) for disk, _ in one.epoch.members)


def first(scene: Scene, k: int) -> Acceptor:
    """An acceptor as it is when the scene begins."""
    disk = chr(ord("a") + k)
    seeds = tuple(address for _, address in scene.members) if scene.founding else ()
    founder = scene.founding and str(k) in seeds
    made = start(
        load_acceptor(None, new_member_id=disk, address=str(k), seeds=seeds, bootstrap=founder, voting=True)
    )
    if not scene.founding and (disk, str(k)) in scene.members:
        made.epoch, made.installed = epoch_of(1, scene.members), True
        if scene.after and k < made.epoch.majority:
            made.slots[MEMBERSHIP_VERSION] = AcceptorSlot(BEGUN, BEGUN, encode_member_list(scene.after))
        if k in scene.taken:
            made.slots[1] = AcceptorSlot(TAKEN, TAKEN, X)
        if k in scene.old:
            made.slots[1] = AcceptorSlot(BEFORE, BEFORE, X)
        if k in scene.sealed:
            made.sealed_by = epoch_of(2, scene.after)
    if k in scene.joined:
        made.handle(InstallRequest(2, epoch_of(2, scene.after), Acceptor("").export_state()))
        made.changed_slots, made.metadata_changed = set(), False
    return made


def start(made: Acceptor) -> Acceptor:
    """Its first write, under a life of its own, is on the disk."""
    Replica(made, 1, lambda: 0.5).start(0)
    return made


# -- plain values, and back


def flat_acceptor(one: Acceptor) -> Any:
    return (
        one.member_id,
        one.address,
        one.founder_id,
        one.wants_membership,
        one.incarnation,
        (one.epoch.number, one.epoch.members),
        one.installed,
        None if one.sealed_by is None else (one.sealed_by.number, one.sealed_by.members),
        (one.committed.version, one.committed.value),
        one.digest_history(),
        flat_slots((v, s.promised, s.accepted, s.value) for v, s in sorted(one.slots.items())),
        (one.announced_epoch.number, one.announced_epoch.members),
    )


def flat_slots(rows: Iterable[tuple[int, Ballot, Ballot, bytes]]) -> Any:
    return tuple([(v, tuple(p), tuple(a), c) for v, p, a, c in rows])


def flat_state(state: AcceptorState) -> Any:
    return (state.committed.version, state.committed.value), state.history, flat_slots(state.slots)


@lru_cache(4096)
def epoch_of(number: int, members: Members) -> Epoch:
    return Epoch(number, members)


def slots_of(rows: Any) -> list[tuple[int, Ballot, Ballot, bytes]]:
    return [(v, Ballot(*p), Ballot(*a), c) for v, p, a, c in rows]


def state_of(kept: Any) -> AcceptorState:
    held, history, rows = kept
    return AcceptorState(CommittedValue(*held), history, tuple(slots_of(rows)))


def acceptor(kept: Any) -> Acceptor:
    disk, address, seat, wants, life, epoch, installed, sealed, held, history, rows, view = kept
    return Acceptor(
        disk,
        address,
        seat,
        wants,
        life,
        epoch_of(*epoch),
        installed,
        None if sealed is None else epoch_of(*sealed),
        CommittedValue(*held),
        dict(history),
        {v: AcceptorSlot(p, a, c) for v, p, a, c in slots_of(rows)},
        epoch_of(*view),
    )


def flat_op(op: Op, floor: int) -> Any:
    """`floor`: the newest version that was chosen when it began, of readers and leavers."""
    match op:
        case Proposer():
            # What was promised tells nothing any more once the second round is on.
            promises = [] if op.accepting else sorted(op.promises.items())
            return (
                "proposer",
                (op.epoch.number, op.epoch.members),
                op.version,
                tuple(op.ballot),
                op.value,
                op.accepting,
                tuple(sorted(op.acceptances)),
                tuple([(who, tuple(p.ballot), tuple(p.accepted), p.value) for who, p in promises]),
                floor,
            )
        case Reconfiguration():
            if op.installing:  # the states matter as what they come to, merged
                merged = op.request()
                assert isinstance(merged, InstallRequest)
                op.states = {"": merged.state}
            return (
                "change",
                (op.epoch.number, op.epoch.members),
                (op.next_epoch.number, op.next_epoch.members),
                op.installing,
                tuple([(who, flat_state(state)) for who, state in sorted(op.states.items())]),
                tuple(sorted(op.installed_members)),
                floor,
            )
        case QuorumRead():
            seen = [
                (
                    who,
                    s.epoch,
                    s.may_vote,
                    s.highest_version,
                    s.committed_version,
                    s.member_id,
                    s.address,
                    s.wants_membership,
                )
                for who, s in sorted(op.replies.items())
            ]
            return "reader", (op.epoch.number, op.epoch.members), tuple(seen), floor
    return (
        "teacher",
        (op.epoch.number, op.epoch.members),
        op.other_members,
        (op.committed.version, op.committed.value),
        op.history,
        tuple(sorted(op.acknowledged)),
        floor,
    )


def thaw_op(kept: Any) -> Op | None:
    match kept:
        case "proposer", epoch, version, ballot, content, accepting, accepts, promises, _:
            proposer = Proposer(epoch_of(*epoch), version, Ballot(*ballot), content)
            proposer.accepting, proposer.acceptances = accepting, set(accepts)
            proposer.promises = {w: PromiseReply(Ballot(*b), Ballot(*a), c) for w, b, a, c in promises}
            return proposer
        case "change", epoch, after, installing, states, installed, _:
            change = Reconfiguration(epoch_of(*epoch), epoch_of(*after))
            change.installing, change.installed_members = installing, set(installed)
            change.states = {who: state_of(state) for who, state in states}
            return change
        case "reader", epoch, seen, _:
            reader = QuorumRead(epoch_of(*epoch))
            reader.replies = {who: QueryReply(*rest) for who, *rest in seen}
            return reader
        case "teacher", epoch, others, held, history, know, _:
            teacher = StateTransfer(epoch_of(*epoch), "", CommittedValue(*held), history)
            teacher.other_members, teacher.acknowledged = others, set(know)
            return teacher
    return None


def flat_request(request: Request) -> Any:
    match request:
        case PrepareRequest(epoch, version, ballot):
            return "prepare", epoch, version, tuple(ballot)
        case AcceptRequest(epoch, version, ballot, content):
            return "accept", epoch, version, tuple(ballot), content
        case SealRequest(epoch, after):
            return "seal", epoch, (after.number, after.members)
        case InstallRequest(epoch, after, state):
            return "install", epoch, (after.number, after.members), flat_state(state)
    raise ValueError(f"{request!r} changes nothing that lasts")


def thaw_request(kept: Any) -> Request:
    match kept:
        case "prepare", epoch, version, ballot:
            return PrepareRequest(epoch, version, Ballot(*ballot))
        case "accept", epoch, version, ballot, content:
            return AcceptRequest(epoch, version, Ballot(*ballot), content)
        case "install", epoch, after, state:
            return InstallRequest(epoch, epoch_of(*after), state_of(state))
        case "seal", epoch, after:
            return SealRequest(epoch, epoch_of(*after))
    raise ValueError(f"no request: {kept!r}")


# -- properties


def one_content(world: World) -> bool:
    """Of a version over all epochs, and of the members after an epoch."""
    found: dict[Any, bytes] = {}
    return all(
        found.setdefault(version or ("after", epoch), content) == content
        for epoch, version, content in world.chosen
    )


def one_ballot(world: World) -> bool:
    """What was accepted under one ballot, or is being proposed under it, is one content."""
    found: dict[Any, bytes] = {}
    for kept in world.kept:
        for version, _, ballot, content in kept[10] if kept is not None else ():
            if ballot[0] >= 0 and found.setdefault((version, ballot), content) != content:
                return False
    for op in world.ops:
        proposes = op is not None and op[0] == "proposer" and op[5]
        if proposes and found.setdefault((op[2], op[3]), op[4]) != op[4]:
            return False
    return True


def epochs(world: World) -> dict[int, Members] | None:
    """Those that anybody has heard of; none if two of one number differ."""
    found: dict[int, Members] = {}
    told = [kept[place] for kept in world.kept if kept is not None for place in (5, 7, 11)]
    told += [op[place] for op in world.ops if op is not None for place in (1, 2) if type(op[place]) is tuple]
    for one in told:
        known = one is not None and len(one) == 2 and type(one[0]) is int and one[0] >= 0
        if known and found.setdefault(one[0], one[1]) != one[1]:
            return None
    return found


def one_set(world: World) -> bool:
    return epochs(world) is not None


def named(kept: Any, epoch: int) -> str:
    return str(kept[2] if epoch == 0 else kept[0])


def members_vote(world: World) -> bool:
    """Who votes in an epoch is one of its members, each once, and may; its majority is more than half."""
    voting: dict[int, list[str]] = {}
    for kept in world.kept:
        if kept is not None and kept[6] and kept[7] is None and kept[11][0] <= kept[5][0]:
            number, members = kept[5]
            if not kept[3] or not any(disk == named(kept, number) for disk, _ in members):
                return False
            voting.setdefault(number, []).append(named(kept, number))
            if 2 * epoch_of(number, members).majority <= len(voting[number]):
                return False
    return all(len(set(names)) == len(names) for names in voting.values())


def lasts(world: World) -> bool:
    """Whoever asks a majority of an epoch in which it was chosen, or of a later one, finds it, or a newer."""
    if not world.chosen:
        return True
    known = epochs(world) or {}
    for epoch, version, content in world.chosen:
        if version == MEMBERSHIP_VERSION:
            continue
        for number, members in known.items():
            if number < epoch:
                continue
            names = {disk for disk, _ in members}
            there = [
                kept
                for kept in world.kept
                if kept is not None and kept[6] and kept[5][0] >= number and kept[0] in names
            ]
            if any(
                not any(finds(kept, version, content) for kept in group)
                for group in combinations(there, len(members) // 2 + 1)
            ):
                return False
    return True


def finds(kept: Any, version: int, content: bytes) -> bool:
    held = kept[8]
    if held[0] > version or held == (version, content):
        return True
    return any(v == version and a[0] >= 0 and c == content for v, _, a, c in kept[10])


def true(world: World) -> bool:
    """What a disk holds as chosen, whole or as a digest, was chosen."""
    chosen = {(version, content) for _, version, content in world.chosen}
    digests = {(version, digest(content)) for version, content in chosen}
    return all(
        (kept[8][0] == 0 or kept[8] in chosen) and digests.issuperset(kept[9])
        for kept in world.kept
        if kept is not None
    )


def proposed(world: World) -> bool:
    return all(
        (epoch, content) in world.tried
        for epoch, version, content in world.chosen
        if version == MEMBERSHIP_VERSION
    )


def never_back(world: World) -> bool:
    return all(forward(was, now) for kind, was, now, *_ in world.outcomes if kind == "kept")


def forward(was: Any, now: Any) -> bool:
    if now[4] < was[4] or now[5][0] < was[5][0] or now[4] == was[4] and now[11][0] < was[11][0]:
        return False
    if now[8] != was[8] and now[8][0] <= was[8][0]:
        return False
    if was[7] is not None and now[7] is None and now[5] == was[5]:
        return False  # it was sealed, and votes again
    rows = {version: (promised, accepted) for version, promised, accepted, _ in now[10]}
    for version, promised, accepted, _ in was[10]:
        stays = now[5] == was[5] if version == MEMBERSHIP_VERSION else now[8][0] < version
        if stays and (version not in rows or rows[version][0] < promised or rows[version][1] < accepted):
            return False
    return True


def newer_deaf(world: World) -> bool:
    return all(row[1] >= row[2] for row in world.outcomes if row[0] == "took") and all(
        (now[5], now[6]) == (was[5], was[6]) or not now[6] or now[5][0] >= was[11][0]
        for kind, was, now, *_ in world.outcomes
        if kind == "kept"
    )


def voters_alone(world: World) -> bool:
    return all(row[3] for row in world.outcomes if row[0] == "took")


def founding(world: World) -> bool:
    return all(epoch > 0 or version == MEMBERSHIP_VERSION for epoch, version, _ in world.chosen)


def tidy(world: World) -> bool:
    return all(
        version == MEMBERSHIP_VERSION or version > kept[8][0]
        for kept in world.kept
        if kept is not None
        for version, *_ in kept[10]
    )


def not_old(world: World) -> bool:
    return all(needs >= floor for kind, floor, needs, *_ in world.outcomes if kind == "read")


def handed_over(world: World) -> bool:
    return all(row[2] >= row[3] for row in world.outcomes if row[0] == "handed")


PROPERTIES = (
    Property(
        "one content",
        "of the contents sent under one number one at most is ever chosen, over all epochs",
        one_content,
    ),
    Property("one ballot", "no ballot stands for two contents", one_ballot),
    Property("one set", "no two epochs have one number and two sets of members", one_set),
    Property(
        "members vote",
        "who votes in an epoch is a member of it and is to vote, and its majority is more than half of them",
        members_vote,
    ),
    Property(
        "lasts",
        "what was chosen is found by whoever asks a majority of that epoch or of any later one",
        lasts,
    ),
    Property("true", "what a disk holds or remembers as chosen was chosen", true),
    Property("proposed", "the members of an epoch were proposed in the one before it", proposed),
    Property(
        "never back",
        "a disk holds no version, epoch, promise or life older than one it held, nor another content of one, "
        "and votes no more where it was sealed",
        never_back,
        "step",
    ),
    Property(
        "newer deaf to older",
        "who has heard of an epoch promises and accepts in none before it, nor becomes a member of one",
        newer_deaf,
        "step",
    ),
    Property(
        "voters alone",
        "who promises or accepts in an epoch is a member installed in it, not sealed, and is to vote",
        voters_alone,
        "step",
    ),
    Property("founding", "in epoch 0 nothing but the members of the next is chosen", founding),
    Property("tidy", "a disk keeps nothing undecided of a version not above the one it holds", tidy),
    Property(
        "not old",
        "a reader is told of whatever was acknowledged before its first question left",
        not_old,
        "step",
    ),
    Property(
        "handed over",
        "what a leaver knows of as acknowledged is on a majority of the others' disks when it ends, or the "
        "epoch without it has a majority installed",
        handed_over,
        "step",
    ),
)


def say(step: Step) -> str:
    kind, *rest = step
    match kind, rest:
        case "begin", [p]:
            return f"proposer {p} begins"
        case "ask", [p, k]:
            return f"proposer {p} asks disk {k} and hears it"
        case "lost", [p, k]:
            return f"proposer {p} asks disk {k}, whose reply is lost"
        case "late", [place, k]:
            return f"held-up request {place} comes to disk {k}"
        case "wipe", [k]:
            return f"disk {k} is replaced by an empty one at its address"
        case "gone", [k]:
            return f"machine {k} is lost with its disk"
        case "crash", [k]:
            return f"box {k} loses power and comes back with its disk"
        case "off", [k]:
            return f"box {k} is started anew and told not to vote"
        case "on", [k]:
            return f"box {k} is started anew and told to vote"
        case "tell", [k, j]:
            return f"disk {k} tells disk {j} what is chosen"
        case "hear", [k, j]:
            return f"disk {k} hears which epoch disk {j} is in"
        case "bring", [k, j]:
            return f"disk {k} installs disk {j} in its epoch"
        case "cut", []:
            return "the core is cut"
    raise ValueError(f"no such step: {step!r}")


AB, ABC, ABCD, ABCDE, BCD, ABD, CDE = (
    disks(*names) for names in ("ab", "abc", "abcd", "abcde", "bcd", "abd", "cde")
)
WIPED = disks("a", "b", "c2")


def put(home: int, content: bytes = X, version: int = 1, epoch: int = -1) -> Want:
    return Want(home, "put", version, content, (), epoch)


def members(home: int, which: Members, epoch: int = -1) -> Want:
    return Want(home, "members", members=which, epoch=epoch)


def starts(large: bool, known: Known) -> list[World]:
    race, change = (put(0, X), put(1, Y)), Want(1, "change")
    two, one = apart((0, 2), (1, 3)), apart((0,), (1, 2, 3))
    one_set, other_set, carry = members(0, ABC, 0), members(1, AB, 0), Want(0, "carry")
    read, old = Want(1, "read"), put(1, X, 1, 2)
    scenes = [
        Scene("begun anew", race, (2, 1)),
        Scene("two versions", (put(0, X, 1), put(1, Y, 2)), (1, 1), spread=True),
        Scene("finished by another", (put(0), Want(1, "finish", 1)), (1, 1), wiped=(0,), lost=True),
        Scene("a bystander's disk is replaced", race, (1, 1), wiped=(2,)),
        Scene("five disks", (put(0),), (1,), 5, disks(*"abcde"), wiped=(4,), lost=True),
        Scene("power is lost", race, (2, 1), crashes=(0,)),
        Scene("held up", race, (1, 1), late=True),
        Scene("a reader", (put(0), read), (1, 1)),
        Scene("two versions are read", (put(0), put(1, Y, 2), Want(2, "read")), (1, 1, 1)),
        Scene("a leaver", (put(0), Want(2, "leave")), (1, 1)),
        Scene("a leaver of four", (carry, Want(3, "leave")), (1, 1), 4, ABCD, taken=(0, 1, 3)),
        Scene("founding, a disk is wiped", (one_set, other_set), (1, 1), wiped=(2,), founding=True),
        Scene("founding, too early", (members(0, ABC), put(1)), (1, 1), founding=True),
        Scene("one comes in", (change, put(0)), (1, 1), 4, after=ABCD),
        Scene("one goes out", (change, put(0)), (1, 1), 4, ABCD, BCD),
        Scene("one is lost, another comes", (change, put(0)), (1, 1), 4, ABC, BCD, gone=(0,)),
        Scene("two in a row", (change, members(2, CDE, 2), old), (1, 1, 1), 5, ABC, BCD),
        Scene("wiped at its address", (members(0, WIPED, 1), put(1)), (1, 1), wiped=(2,)),
        Scene("cut in two", (change, put(0), put(1, Y)), (1, 1, 1), 4, ABC, ABCD, cut=two),
        Scene("cut off alone", (change, put(0), put(1, Y)), (1, 1, 1), 4, ABC, ABCD, cut=one),
        Scene("left half-way", (change, carry), (1, 1), 4, ABC, BCD, crashes=(1,)),
        Scene("left half-way, a version too", (carry, put(2)), (1, 1), 4, ABC, BCD, (0,)),
        Scene("installed at one", (carry, put(2), put(3, Y)), (1, 1, 1), 4, ABC, BCD, (0, 1), (3,)),
        Scene("two sets", (members(0, ABD), members(1, BCD)), (1, 1), 4),
        Scene("a register of members anew", (change, members(2, (), 2)), (1, 1), 4, ABC, BCD),
        Scene("a number from before", (put(1, Y), Want(2, "finish", 1)), (1, 1), old=(0,)),
        Scene("a number from before, handed on", (change, put(1, Y)), (1, 1), 4, ABC, ABD, old=(0,)),
        Scene("five become three", (Want(2, "read"),), (1,), 5, ABCDE, ABC, (3, 4), (2,), taken=(2, 3, 4)),
        Scene("a reader of the old", (change, old, Want(0, "read", epoch=1)), (1, 1, 1), 4, ABC, BCD),
        Scene("not to vote for a while", (change,), (1,), 4, ABC, ABCD, off=(0,), bring=True, hear=True),
        Scene("not to vote, and asked to", (members(2, ()),), (1,), 4, after=ABD, off=(0,)),
        Scene("heard of the newer", (put(1),), (1,), 4, ABC, BCD, (0,), (3,), hear=True),
        Scene("one for another", (change, put(0)), (1, 1), 4, ABC, BCD),
        Scene("two orders at one box", (put(0, X), put(0, Y)), (1, 1)),
        Scene("members and a version", (members(2, ()), put(1)), (1, 1), 4, after=ABD),
    ]
    if large:
        scenes += [
            Scene("any disk is replaced", race, (1, 1), wiped=(0, 1, 2)),
            Scene("begun anew, both", race, (2, 2), lost=True),
            Scene("five disks, a race", race, (1, 1), 5, ABCDE, wiped=(4,)),
            Scene("one comes in, begun anew", (change, put(0)), (1, 2), 4, after=ABCD),
            Scene(
                "left half-way, and a version", (change, carry, put(2)), (1, 1, 1), 4, ABC, BCD, crashes=(1,)
            ),
            Scene("not to vote, and a version", (change, put(0)), (1, 1), 4, ABC, ABCD, off=(0,), bring=True),
        ]
    return [World(scene, known) for scene in scenes]


def model(large: bool) -> Model:
    known: Known = {}
    return Model(
        "timetable",
        "versions of the configuration, and members, on majorities of disks",
        lambda: starts(large, known),
        partial(thaw, known),
        say,
        PROPERTIES,
        may_terminate=lambda world: True,
    )


def thaw(known: Known, state: Any) -> World:
    scene, (_, kept, numbers, ops, tries, left, cut, late, chosen, tried) = state
    world = World.__new__(World)
    world.scene, world.known, world.outcomes, world.made = scene, known, [], {}
    world.kept, world.numbers, world.ops, world.tries = list(kept), list(numbers), list(ops), list(tries)
    world.left, world.cut, world.late = left, scene.cut if cut else NOBODY, late
    world.chosen, world.tried = chosen, tried
    return world
