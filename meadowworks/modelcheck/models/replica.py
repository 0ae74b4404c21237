"""Signalboxes' parts in the agreement, whole: `meadowworks.consensus.replica.Replica`s, each with a disk on
which a write is made or lost with the power, and requests that come at any time, or from a life that is over.

What a replica holds in memory and what is on its disk are two things here; a write is on the disk at a step
of its own, and a loss of power before it leaves the disk as it was. Time stands still: nothing is sent again,
and who would pause waits for good. A reply is heard when it leaves, if who asked still lives.
"""

from __future__ import annotations

import pickle
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, fields, is_dataclass
from enum import Enum
from itertools import combinations
from typing import Any

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.effects import (
    Committed,
    CompleteOperation,
    Persist,
    SendReply,
    SendRequest,
    StateUpdate,
)
from meadowworks.consensus.membership import encode_member_list
from meadowworks.consensus.messages import (
    AcceptedReply,
    AcceptRequest,
    InstalledReply,
    PromiseReply,
    QueryReply,
    Request,
    SealedReply,
)
from meadowworks.consensus.metadata import load_acceptor
from meadowworks.consensus.operations import Operation, OperationKind
from meadowworks.consensus.proposer import Proposer
from meadowworks.consensus.reconfiguration import Reconfiguration
from meadowworks.consensus.replica import Replica
from meadowworks.consensus.timing import SECOND_NS
from meadowworks.consensus.values import MEMBERSHIP_VERSION, NO_BALLOT, AcceptorSlot, CommittedValue, Epoch
from meadowworks.consensus.write_queue import WriteQueue
from meadowworks.modelcheck.model import Model, Property, Step
from meadowworks.modelcheck.models.consensus import ABC, X, Y, disks, flat_acceptor, forward

AB, BC = disks("a", "b"), disks("b", "c")
NOW, FAR = 10 * SECOND_NS, 99 * SECOND_NS
Members = tuple[tuple[str, str], ...]


def half() -> float:
    return 0.5


@dataclass(frozen=True, slots=True)
class Scene:
    """`orders`: place, version, content, each given once. `changes`: places that propose `after` as the next
    members, once; `leaves`: places that are told to end."""

    name: str
    orders: tuple[tuple[int, int, bytes], ...] = ()
    crashes: tuple[int, ...] = ()
    places: int = 3
    members: Members = ABC
    after: Members = ()
    changes: tuple[int, ...] = ()
    leaves: tuple[int, ...] = ()


@dataclass(slots=True)
class Disk:
    """What is there after a loss of power, and the write that is on its way."""

    meta: dict[str, Any] | None = None
    held: CommittedValue = CommittedValue()
    history: dict[int, bytes] | None = None
    slots: dict[int, AcceptorSlot] | None = None
    pending: Persist | None = None

    def save(self, rows: StateUpdate) -> None:
        self.history, self.slots = self.history or {}, self.slots or {}
        if rows.metadata is not None:
            self.meta = dict(rows.metadata)
        if rows.committed is not None:
            self.held = rows.committed
            self.history = {
                v: d for v, d in {**self.history, **rows.history}.items() if v >= rows.oldest_history_version
            }
        for version, slot in rows.slots.items():
            if slot is None:
                self.slots.pop(version, None)
            else:
                self.slots[version] = AcceptorSlot(slot.promised, slot.accepted, slot.value)

    def acceptor(self, address: str) -> Acceptor:
        return load_acceptor(
            self.meta,
            new_member_id="",
            address=address,
            seeds=(),
            bootstrap=False,
            voting=True,
            committed=self.held,
            history=self.history,
            slots={v: AcceptorSlot(s.promised, s.accepted, s.value) for v, s in (self.slots or {}).items()},
        )


@dataclass(frozen=True, slots=True)
class Sent:
    """A request that is on its way."""

    place: int
    life: int
    question: int
    to: int
    request: Request


class World:
    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        self.outcomes: list[tuple[Any, ...]] = []
        self.disks = [Disk() for _ in range(scene.places)]
        self.boxes: list[Replica] = []
        self.sent: list[Sent] = []
        self.orders, self.changes, self.leaves = scene.orders, scene.changes, scene.leaves
        self.crashes = scene.crashes
        self.acked: tuple[tuple[int, bytes], ...] = ()
        for k, disk in enumerate(self.disks):
            made = Acceptor(chr(ord("a") + k), str(k), epoch=Epoch(1, scene.members), metadata_changed=True)
            made.installed = made.epoch.has_member(made.member_id)
            disk.save(WriteQueue(made).collect_update())
            assert disk.meta is not None
            disk.meta |= {"installed": made.installed, "life": 1}  # as it was written before any fault
            self.boxes.append(Replica(disk.acceptor(str(k)), 1, half))
            self.boxes[k].start(NOW)
            self.settle(k)

    def enabled(self) -> Iterable[Step]:
        found: list[Step] = [("order", place) for place in range(len(self.orders))]
        found += [("ask", s.place, s.life, s.question) for s in self.sent]
        found += [("written", k) for k, disk in enumerate(self.disks) if disk.pending]
        found += [("crash", k) for k in self.crashes]
        found += [("change", k) for k in self.changes]
        found += [("leave", k) for k in self.leaves]
        return found

    def take_step(self, step: Step) -> None:
        kind, *what = step
        self.outcomes = []
        before = [flat_acceptor(disk.acceptor("")) for disk in self.disks]
        getattr(self, "do_" + kind)(*what)
        for was, disk in zip(before, self.disks, strict=True):
            self.outcomes.append(("kept", was, flat_acceptor(disk.acceptor(""))))

    def do_order(self, place: int) -> None:
        k, version, content = self.orders[place]
        self.orders = (*self.orders[:place], *self.orders[place + 1 :])
        box = self.boxes[k]
        for j, other in enumerate(self.boxes):
            if j != k:  # it has its lease
                box.on_query_reply(NOW, NOW, other.acceptor.query_reply())
        box.propose(NOW, version * 1000 + content[0], version, content, FAR)
        self.settle(k)

    def do_change(self, k: int) -> None:
        self.changes = tuple(j for j in self.changes if j != k)
        box = self.boxes[k]
        if box.started and box.acceptor.may_vote():
            box.begin_operation(
                NOW,
                Operation(
                    OperationKind.MEMBERS, MEMBERSHIP_VERSION, encode_member_list(self.scene.after), FAR, []
                ),
            )
            box.flush(NOW)
        self.settle(k)

    def do_leave(self, k: int) -> None:
        self.leaves = tuple(j for j in self.leaves if j != k)
        self.boxes[k].leave(NOW, FAR)
        self.settle(k)

    def do_ask(self, place: int, life: int, question: int) -> None:
        found = next(s for s in self.sent if (s.place, s.life, s.question) == (place, life, question))
        self.sent.remove(found)
        self.boxes[found.to].on_request(NOW, (place, life, question), found.request)
        self.settle(found.to)

    def do_written(self, k: int) -> None:
        disk = self.disks[k]
        write, disk.pending = disk.pending, None
        assert write is not None
        disk.save(write.update)
        self.boxes[k].on_persisted(NOW, write.write_id)
        self.settle(k)

    def do_crash(self, k: int) -> None:
        self.crashes = tuple(j for j in self.crashes if j != k)
        self.disks[k].pending = None
        self.boxes[k] = Replica(self.disks[k].acceptor(str(k)), 1, half)
        self.boxes[k].start(NOW)
        self.settle(k)

    def settle(self, k: int) -> None:
        """Does what a replica's inputs have come to, and what the replies come to in turn."""
        waiting = deque([k])
        while waiting:
            k = waiting.popleft()
            box = self.boxes[k]
            for effect in box.take_effects():
                match effect:
                    case Persist():
                        assert self.disks[k].pending is None
                        self.disks[k].pending = effect
                    case SendRequest(question, address, request):
                        life = box.acceptor.incarnation
                        meta = self.disks[k].meta
                        self.outcomes.append(("asked", life, meta["life"] if meta else 0))
                        self.sent.append(Sent(k, life, question, int(address), request))
                    case SendReply((place, life, question), who, reply):
                        self.outcomes.append(("told", self.rests(k, reply)))
                        if self.boxes[place].acceptor.incarnation == life:
                            self.boxes[place].on_reply(NOW, question, who, reply)
                            waiting.append(place)
                    case CompleteOperation(order, Committed()) if order >= 1000:
                        self.acked = tuple(sorted({*self.acked, (order // 1000, bytes([order % 1000]))}))

    def rests(self, k: int, reply: Any) -> bool:
        """Whether what a reply says is on the disk of who says it."""
        one = self.disks[k].acceptor("")
        match reply:
            case PromiseReply(ballot) | AcceptedReply(ballot):
                return one.epoch.number > ballot.epoch or any(
                    (s.accepted if isinstance(reply, AcceptedReply) else s.promised) >= ballot
                    or one.committed.version >= version > 0
                    for version, s in [*one.slots.items(), (one.committed.version, AcceptorSlot())]
                )
            case SealedReply(after):
                return one.epoch.number >= after.number or one.sealed_by == after
            case InstalledReply(number):
                return one.epoch.number >= number and one.installed
            case QueryReply():
                return reply.committed_version <= one.committed.version
        return True

    def freeze(self) -> Any:
        rest = (self.orders, self.changes, self.leaves, self.crashes, self.acked)
        return pickle.dumps((self.scene, self.disks, self.boxes, self.sent, rest), pickle.HIGHEST_PROTOCOL)

    def key(self) -> Any:
        return (
            self.scene.name,
            plain(self.disks),
            tuple([plain(vars(box)) for box in self.boxes]),
            tuple(sorted([plain(s) for s in self.sent], key=repr)),
            self.orders,
            self.changes,
            self.leaves,
            self.crashes,
            self.acked,
        )


IDLE = {
    "random_fraction",
    "_acceptor",  # is the replica's, which is looked at
    "_lease",
    "effects",
    "pending_requests",
    "peers",
    "own_state",
    "condition_since_ns",
    "last_tick_ns",
    "last_check_ns",
}


def plain(what: Any) -> Any:
    """As numbers, words and tuples. What time alone would use is left out: time stands still."""
    match what:
        case Enum():
            return plain(what.value)
        case None | bool() | int() | str() | bytes():
            return what
        case list() | deque() | tuple():
            return tuple([plain(one) for one in what])
        case dict():
            rows = [(k, plain(v)) for k, v in what.items() if k not in IDLE]
            return tuple(sorted(rows, key=repr))
        case set():
            return tuple(sorted(what))
    if is_dataclass(what):
        return (type(what).__name__, *(plain(getattr(what, f.name)) for f in fields(what)))
    return (type(what).__name__, plain(vars(what)))


def thaw(state: Any) -> World:
    world = World.__new__(World)
    world.outcomes = []
    world.scene, world.disks, world.boxes, world.sent, rest = pickle.loads(state)
    world.orders, world.changes, world.leaves, world.crashes, world.acked = rest
    return world


# -- properties


def one_content(world: World) -> bool:
    versions = [version for version, _ in world.acked]
    return len(versions) == len(set(versions))


def lasts(world: World) -> bool:
    """What was acknowledged is on a majority of the disks of its epoch's members, written."""
    if not world.acked:
        return True
    disks = [disk.acceptor("") for disk in world.disks]
    newest = max((d.epoch for d in disks if d.installed), key=lambda e: e.number)
    group = [
        d for d in disks if d.installed and newest.has_member(d.member_id) and d.epoch.number == newest.number
    ]
    if len(group) < newest.majority:
        group = [d for d in disks if d.installed and any(d.member_id == n for n, _ in world.scene.members)]
        newest = Epoch(1, world.scene.members)
    return all(
        any(finds(one, version, content) for one in some)
        for version, content in world.acked
        for some in combinations(group, newest.majority)
    )


def finds(one: Acceptor, version: int, content: bytes) -> bool:
    slot = one.slots.get(version)
    return (
        one.committed.version > version
        or one.committed == CommittedValue(version, content)
        or slot is not None
        and slot.accepted > NO_BALLOT
        and slot.value == content
    )


def one_ballot(world: World) -> bool:
    found: dict[Any, bytes] = {}
    taken = [
        (version, slot.accepted, slot.value)
        for box in (*(b.acceptor for b in world.boxes), *(d.acceptor("") for d in world.disks))
        for version, slot in box.slots.items()
        if slot.accepted > NO_BALLOT
    ]
    taken += [
        (s.request.version, s.request.ballot, s.request.value)
        for s in world.sent
        if isinstance(s.request, AcceptRequest)
    ]
    return all(found.setdefault((version, ballot), content) == content for version, ballot, content in taken)


def told_rests(world: World) -> bool:
    return all(row[1] for row in world.outcomes if row[0] == "told")


def own_rests(world: World) -> bool:
    """What a job counts of its own acceptor's is on its disk."""
    for box, disk in zip(world.boxes, world.disks, strict=True):
        one, me = disk.acceptor(""), box.acceptor.member_id
        for job in box.operations.values():
            match job.quorum_call:
                case Proposer() as op:
                    slot = one.slots.get(op.version) or AcceptorSlot()
                    past = one.committed.version >= op.version > 0 or one.epoch.number > op.epoch.number
                    if me in op.acceptances and slot.accepted < op.ballot and not past:
                        return False
                    if me in op.promises and slot.promised < op.ballot and not past:
                        return False
                case Reconfiguration() as op:
                    if me in op.states and one.sealed_by is None and one.epoch.number < op.next_epoch.number:
                        return False
                    if me in op.installed_members and one.epoch.number < op.next_epoch.number:
                        return False
    return True


def life_first(world: World) -> bool:
    return all(row[2] >= row[1] for row in world.outcomes if row[0] == "asked")


def never_back(world: World) -> bool:
    return all(forward(row[1], row[2]) for row in world.outcomes if row[0] == "kept")


def whole(world: World) -> bool:
    """A disk on which everything is written holds what the memory does."""
    for box, disk in zip(world.boxes, world.disks, strict=True):
        if disk.pending is None and not box.acceptor.has_unwritten_changes():
            memory, there = flat_acceptor(box.acceptor), flat_acceptor(disk.acceptor(box.acceptor.address))
            if memory[:3] + memory[4:11] != there[:3] + there[4:11]:
                return False
    return True


PROPERTIES = (
    Property("one content", "of two contents under one number one at most is ever acknowledged", one_content),
    Property("lasts", "what was acknowledged is found on the written disks of any majority", lasts),
    Property(
        "one ballot", "no ballot stands for two contents, in memory, on disks or on the way", one_ballot
    ),
    Property("told rests on the disk", "what a reply says is on its disk when it leaves", told_rests, "step"),
    Property("own rests on the disk", "what a box counts of its own answers is on its disk", own_rests),
    Property("life first", "no request leaves before its life is on the disk", life_first, "step"),
    Property(
        "never back", "a disk goes back in no version, promise, epoch, seal or life", never_back, "step"
    ),
    Property("whole", "with nothing left to write, the disk holds what the memory does", whole),
)


def say(step: Step) -> str:
    kind, *rest = step
    match kind, rest:
        case "order", [place]:
            return f"order {place} of those left is given"
        case "ask", [k, life, question]:
            return f"request {question} of box {k} in its life {life} comes"
        case "written", [k]:
            return f"disk {k} has written"
        case "crash", [k]:
            return f"box {k} loses power and comes back"
        case "change", [k]:
            return f"box {k} proposes other members"
        case "leave", [k]:
            return f"box {k} is told to end"
    raise ValueError(f"no such step: {step!r}")


def starts(large: bool) -> list[World]:
    scenes = [
        Scene("an order, and power is lost", ((0, 1, X),), (1,)),
        Scene("two at one box, which loses power", ((0, 1, X), (0, 1, Y)), (0,), 2, AB),
        Scene("members, and power is lost", (), (0,), 3, AB, BC, (1,)),
        Scene("two carry the members through", (), (), 3, AB, BC, (0, 1)),
        Scene("members and a version", ((1, 1, X),), (), 3, AB, BC, (1,)),
        Scene("told to end as it starts", (), (0,), 2, AB, leaves=(0,)),
        Scene("two boxes of two", ((0, 1, X), (1, 1, Y)), (), 2, AB),
    ]
    if large:
        scenes += [
            Scene("a race of three, and power is lost", ((0, 1, X), (1, 1, Y)), (0,)),
            Scene("an order and two losses", ((0, 1, X),), (0, 1)),
            Scene("members, a version, and power is lost", ((0, 1, X),), (0,), 3, AB, BC, (1,)),
        ]
    return [World(scene) for scene in scenes]


def model(large: bool) -> Model:
    return Model(
        "replica",
        "signalboxes' machines with their disks: the order of writes and sends",
        lambda: starts(large),
        thaw,
        say,
        PROPERTIES,
        may_terminate=lambda world: True,
    )
