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
from meadowworks.modelcheck.models.consensus.frozen import freeze_acceptor
from meadowworks.modelcheck.models.consensus.properties import is_not_older
from meadowworks.modelcheck.models.consensus.scenarios import ABC, X, Y, members_of

AB, BC = members_of("a", "b"), members_of("b", "c")
NOW, FAR = 10 * SECOND_NS, 99 * SECOND_NS
Members = tuple[tuple[str, str], ...]


def one_half() -> float:
    return 0.5


@dataclass(frozen=True, slots=True)
class Scenario:
    """`orders`: place, version, content, each given once. `changes`: places that propose `after` as the next
    members, once; `leaves`: places that are told to end."""

    name: str
    proposals: tuple[tuple[int, int, bytes], ...] = ()
    crash_places: tuple[int, ...] = ()
    place_count: int = 3
    members: Members = ABC
    next_members: Members = ()
    reconfiguring_places: tuple[int, ...] = ()
    leaving_places: tuple[int, ...] = ()


@dataclass(slots=True)
class Disk:
    """What is there after a loss of power, and the write that is on its way."""

    metadata: dict[str, Any] | None = None
    committed: CommittedValue = CommittedValue()
    history: dict[int, bytes] | None = None
    slots: dict[int, AcceptorSlot] | None = None
    write_in_flight: Persist | None = None

    def save(self, rows: StateUpdate) -> None:
        self.history, self.slots = self.history or {}, self.slots or {}
        if rows.metadata is not None:
            self.metadata = dict(rows.metadata)
        if rows.committed is not None:
            self.committed = rows.committed
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
            self.metadata,
            new_member_id="",
            address=address,
            seeds=(),
            bootstrap=False,
            voting=True,
            committed=self.committed,
            history=self.history,
            slots={v: AcceptorSlot(s.promised, s.accepted, s.value) for v, s in (self.slots or {}).items()},
        )


@dataclass(frozen=True, slots=True)
class Sent:
    """A request that is on its way."""

    place: int
    incarnation: int
    request_id: int
    destination: int
    request: Request


class World:
    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.outcomes: list[tuple[Any, ...]] = []
        self.disks = [Disk() for _ in range(scenario.place_count)]
        self.replicas: list[Replica] = []
        self.requests_in_flight: list[Sent] = []
        self.proposals_left, self.reconfigurations_left, self.leaves_left = (
            scenario.proposals,
            scenario.reconfiguring_places,
            scenario.leaving_places,
        )
        self.crashes_left = scenario.crash_places
        self.acknowledged: tuple[tuple[int, bytes], ...] = ()
        for k, disk in enumerate(self.disks):
            made = Acceptor(
                chr(ord("a") + k), str(k), epoch=Epoch(1, scenario.members), metadata_changed=True
            )
            made.installed = made.epoch.has_member(made.member_id)
            disk.save(WriteQueue(made).collect_update())
            assert disk.metadata is not None
            disk.metadata |= {"installed": made.installed, "life": 1}  # as it was written before any fault
            self.replicas.append(Replica(disk.acceptor(str(k)), 1, one_half))
            self.replicas[k].start(NOW)
            self.run_effects(k)

    def enabled(self) -> Iterable[Step]:
        found: list[Step] = [("order", place) for place in range(len(self.proposals_left))]
        found += [("ask", s.place, s.incarnation, s.request_id) for s in self.requests_in_flight]
        found += [("written", k) for k, disk in enumerate(self.disks) if disk.write_in_flight]
        found += [("crash", k) for k in self.crashes_left]
        found += [("change", k) for k in self.reconfigurations_left]
        found += [("leave", k) for k in self.leaves_left]
        return found

    def take_step(self, step: Step) -> None:
        kind, *what = step
        self.outcomes = []
        before = [freeze_acceptor(disk.acceptor("")) for disk in self.disks]
        getattr(self, "do_" + kind)(*what)
        for was, disk in zip(before, self.disks, strict=True):
            self.outcomes.append(("kept", was, freeze_acceptor(disk.acceptor(""))))

    def do_order(self, place: int) -> None:
        k, version, content = self.proposals_left[place]
        self.proposals_left = (*self.proposals_left[:place], *self.proposals_left[place + 1 :])
        replica = self.replicas[k]
        for j, other in enumerate(self.replicas):
            if j != k:  # it has its lease
                replica.on_query_reply(NOW, NOW, other.acceptor.query_reply())
        replica.propose(NOW, version * 1000 + content[0], version, content, FAR)
        self.run_effects(k)

    def do_change(self, k: int) -> None:
        self.reconfigurations_left = tuple(j for j in self.reconfigurations_left if j != k)
        replica = self.replicas[k]
        if replica.started and replica.acceptor.may_vote():
            replica.begin_operation(
                NOW,
                Operation(
                    OperationKind.MEMBERS,
                    MEMBERSHIP_VERSION,
                    encode_member_list(self.scenario.next_members),
                    FAR,
                    [],
                ),
            )
            replica.flush(NOW)
        self.run_effects(k)

    def do_leave(self, k: int) -> None:
        self.leaves_left = tuple(j for j in self.leaves_left if j != k)
        self.replicas[k].leave(NOW, FAR)
        self.run_effects(k)

    def do_ask(self, place: int, incarnation: int, request_id: int) -> None:
        found = next(
            s
            for s in self.requests_in_flight
            if (s.place, s.incarnation, s.request_id) == (place, incarnation, request_id)
        )
        self.requests_in_flight.remove(found)
        self.replicas[found.destination].on_request(NOW, (place, incarnation, request_id), found.request)
        self.run_effects(found.destination)

    def do_written(self, k: int) -> None:
        disk = self.disks[k]
        write, disk.write_in_flight = disk.write_in_flight, None
        assert write is not None
        disk.save(write.update)
        self.replicas[k].on_persisted(NOW, write.write_id)
        self.run_effects(k)

    def do_crash(self, k: int) -> None:
        self.crashes_left = tuple(j for j in self.crashes_left if j != k)
        self.disks[k].write_in_flight = None
        self.replicas[k] = Replica(self.disks[k].acceptor(str(k)), 1, one_half)
        self.replicas[k].start(NOW)
        self.run_effects(k)

    def run_effects(self, k: int) -> None:
        """Does what a replica's inputs have come to, and what the replies come to in turn."""
        waiting = deque([k])
        while waiting:
            k = waiting.popleft()
            replica = self.replicas[k]
            for effect in replica.take_effects():
                match effect:
                    case Persist():
                        assert self.disks[k].write_in_flight is None
                        self.disks[k].write_in_flight = effect
                    case SendRequest(request_id, address, request):
                        incarnation = replica.acceptor.incarnation
                        metadata = self.disks[k].metadata
                        self.outcomes.append(("asked", incarnation, metadata["life"] if metadata else 0))
                        self.requests_in_flight.append(
                            Sent(k, incarnation, request_id, int(address), request)
                        )
                    case SendReply((place, incarnation, request_id), member_id, reply):
                        self.outcomes.append(("told", self.is_on_disk(k, reply)))
                        if self.replicas[place].acceptor.incarnation == incarnation:
                            self.replicas[place].on_reply(NOW, request_id, member_id, reply)
                            waiting.append(place)
                    case CompleteOperation(order, Committed()) if order >= 1000:
                        self.acknowledged = tuple(
                            sorted({*self.acknowledged, (order // 1000, bytes([order % 1000]))})
                        )

    def is_on_disk(self, k: int, reply: Any) -> bool:
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
        rest = (
            self.proposals_left,
            self.reconfigurations_left,
            self.leaves_left,
            self.crashes_left,
            self.acknowledged,
        )
        return pickle.dumps(
            (self.scenario, self.disks, self.replicas, self.requests_in_flight, rest), pickle.HIGHEST_PROTOCOL
        )

    def key(self) -> Any:
        return (
            self.scenario.name,
            to_plain(self.disks),
            tuple([to_plain(vars(replica)) for replica in self.replicas]),
            tuple(sorted([to_plain(s) for s in self.requests_in_flight], key=repr)),
            self.proposals_left,
            self.reconfigurations_left,
            self.leaves_left,
            self.crashes_left,
            self.acknowledged,
        )


IGNORED_FIELDS = {
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


def to_plain(what: Any) -> Any:
    """As numbers, words and tuples. What time alone would use is left out: time stands still."""
    match what:
        case Enum():
            return to_plain(what.value)
        case None | bool() | int() | str() | bytes():
            return what
        case list() | deque() | tuple():
            return tuple([to_plain(one) for one in what])
        case dict():
            rows = [(k, to_plain(v)) for k, v in what.items() if k not in IGNORED_FIELDS]
            return tuple(sorted(rows, key=repr))
        case set():
            return tuple(sorted(what))
    if is_dataclass(what):
        return (type(what).__name__, *(to_plain(getattr(what, f.name)) for f in fields(what)))
    return (type(what).__name__, to_plain(vars(what)))


def thaw_world(state: Any) -> World:
    world = World.__new__(World)
    world.outcomes = []
    world.scenario, world.disks, world.replicas, world.requests_in_flight, rest = pickle.loads(state)
    (
        world.proposals_left,
        world.reconfigurations_left,
        world.leaves_left,
        world.crashes_left,
        world.acknowledged,
    ) = rest
    return world


# -- properties


def one_value_acknowledged(world: World) -> bool:
    versions = [version for version, _ in world.acknowledged]
    return len(versions) == len(set(versions))


def acknowledged_is_found(world: World) -> bool:
    """What was acknowledged is on a majority of the disks of its epoch's members, written."""
    if not world.acknowledged:
        return True
    disks = [disk.acceptor("") for disk in world.disks]
    newest = max((d.epoch for d in disks if d.installed), key=lambda e: e.number)
    group = [
        d for d in disks if d.installed and newest.has_member(d.member_id) and d.epoch.number == newest.number
    ]
    if len(group) < newest.majority:
        group = [d for d in disks if d.installed and any(d.member_id == n for n, _ in world.scenario.members)]
        newest = Epoch(1, world.scenario.members)
    return all(
        any(holds_value(one, version, content) for one in some)
        for version, content in world.acknowledged
        for some in combinations(group, newest.majority)
    )


def holds_value(one: Acceptor, version: int, content: bytes) -> bool:
    slot = one.slots.get(version)
    return (
        one.committed.version > version
        or one.committed == CommittedValue(version, content)
        or slot is not None
        and slot.accepted > NO_BALLOT
        and slot.value == content
    )


def one_value_per_ballot(world: World) -> bool:
    found: dict[Any, bytes] = {}
    taken = [
        (version, slot.accepted, slot.value)
        for replica in (*(b.acceptor for b in world.replicas), *(d.acceptor("") for d in world.disks))
        for version, slot in replica.slots.items()
        if slot.accepted > NO_BALLOT
    ]
    taken += [
        (s.request.version, s.request.ballot, s.request.value)
        for s in world.requests_in_flight
        if isinstance(s.request, AcceptRequest)
    ]
    return all(found.setdefault((version, ballot), content) == content for version, ballot, content in taken)


def replies_rest_on_disk(world: World) -> bool:
    return all(row[1] for row in world.outcomes if row[0] == "told")


def own_votes_rest_on_disk(world: World) -> bool:
    """What a job counts of its own acceptor's is on its disk."""
    for replica, disk in zip(world.replicas, world.disks, strict=True):
        one, me = disk.acceptor(""), replica.acceptor.member_id
        for operation in replica.operations.values():
            match operation.quorum_call:
                case Proposer() as call:
                    slot = one.slots.get(call.version) or AcceptorSlot()
                    past = one.committed.version >= call.version > 0 or one.epoch.number > call.epoch.number
                    if me in call.acceptances and slot.accepted < call.ballot and not past:
                        return False
                    if me in call.promises and slot.promised < call.ballot and not past:
                        return False
                case Reconfiguration() as call:
                    if (
                        me in call.states
                        and one.sealed_by is None
                        and one.epoch.number < call.next_epoch.number
                    ):
                        return False
                    if me in call.installed_members and one.epoch.number < call.next_epoch.number:
                        return False
    return True


def incarnation_first(world: World) -> bool:
    return all(row[2] >= row[1] for row in world.outcomes if row[0] == "asked")


def disk_never_regresses(world: World) -> bool:
    return all(is_not_older(row[1], row[2]) for row in world.outcomes if row[0] == "kept")


def disk_equals_memory(world: World) -> bool:
    """A disk on which everything is written holds what the memory does."""
    for replica, disk in zip(world.replicas, world.disks, strict=True):
        if disk.write_in_flight is None and not replica.acceptor.has_unwritten_changes():
            memory, there = (
                freeze_acceptor(replica.acceptor),
                freeze_acceptor(disk.acceptor(replica.acceptor.address)),
            )
            if memory[:3] + memory[4:11] != there[:3] + there[4:11]:
                return False
    return True


PROPERTIES = (
    Property(
        "one content",
        "of two contents under one number one at most is ever acknowledged",
        one_value_acknowledged,
    ),
    Property(
        "lasts", "what was acknowledged is found on the written disks of any majority", acknowledged_is_found
    ),
    Property(
        "one ballot",
        "no ballot stands for two contents, in memory, on disks or on the way",
        one_value_per_ballot,
    ),
    Property(
        "told rests on the disk",
        "what a reply says is on its disk when it leaves",
        replies_rest_on_disk,
        "step",
    ),
    Property(
        "own rests on the disk", "what a box counts of its own answers is on its disk", own_votes_rest_on_disk
    ),
    Property("life first", "no request leaves before its life is on the disk", incarnation_first, "step"),
    Property(
        "never back",
        "a disk goes back in no version, promise, epoch, seal or life",
        disk_never_regresses,
        "step",
    ),
    Property("whole", "with nothing left to write, the disk holds what the memory does", disk_equals_memory),
)


def say(step: Step) -> str:
    kind, *rest = step
    match kind, rest:
        case "order", [place]:
            return f"order {place} of those left is given"
        case "ask", [k, incarnation, request_id]:
            return f"request {request_id} of box {k} in its life {incarnation} comes"
        case "written", [k]:
            return f"disk {k} has written"
        case "crash", [k]:
            return f"box {k} loses power and comes back"
        case "change", [k]:
            return f"box {k} proposes other members"
        case "leave", [k]:
            return f"box {k} is told to end"
    raise ValueError(f"no such step: {step!r}")


def initial_worlds(large: bool) -> list[World]:
    scenarios = [
        Scenario("an order, and power is lost", ((0, 1, X),), (1,)),
        Scenario("two at one box, which loses power", ((0, 1, X), (0, 1, Y)), (0,), 2, AB),
        Scenario("members, and power is lost", (), (0,), 3, AB, BC, (1,)),
        Scenario("two carry the members through", (), (), 3, AB, BC, (0, 1)),
        Scenario("members and a version", ((1, 1, X),), (), 3, AB, BC, (1,)),
        Scenario("told to end as it starts", (), (0,), 2, AB, leaving_places=(0,)),
        Scenario("two boxes of two", ((0, 1, X), (1, 1, Y)), (), 2, AB),
    ]
    if large:
        scenarios += [
            Scenario("a race of three, and power is lost", ((0, 1, X), (1, 1, Y)), (0,)),
            Scenario("an order and two losses", ((0, 1, X),), (0, 1)),
            Scenario("members, a version, and power is lost", ((0, 1, X),), (0,), 3, AB, BC, (1,)),
        ]
    return [World(scenario) for scenario in scenarios]


def model(large: bool) -> Model:
    return Model(
        "replica",
        "signalboxes' machines with their disks: the order of writes and sends",
        lambda: initial_worlds(large),
        thaw_world,
        say,
        PROPERTIES,
        may_terminate=lambda world: True,
    )
