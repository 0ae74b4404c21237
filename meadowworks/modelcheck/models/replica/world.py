"""One world of the model: replicas with their disks, and the steps that may come."""

from __future__ import annotations

import pickle
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.effects import (
    Committed,
    CompleteOperation,
    Persist,
    SendReply,
    SendRequest,
)
from meadowworks.consensus.membership import encode_member_list
from meadowworks.consensus.messages import (
    AcceptedReply,
    InstalledReply,
    PromiseReply,
    QueryReply,
    SealedReply,
)
from meadowworks.consensus.operations import Operation, OperationKind
from meadowworks.consensus.replica import Replica
from meadowworks.consensus.timing import SECOND_NS
from meadowworks.consensus.values import MEMBERSHIP_VERSION, AcceptorSlot, Epoch
from meadowworks.consensus.write_queue import WriteQueue
from meadowworks.modelcheck.model import Step
from meadowworks.modelcheck.models.consensus.frozen import freeze_acceptor
from meadowworks.modelcheck.models.consensus.scenarios import ABC
from meadowworks.modelcheck.models.replica.disk import Disk, RequestInFlight
from meadowworks.modelcheck.models.replica.plain_values import to_plain

# Time stands still; no deadline is ever reached.
NOW, FAR = 10 * SECOND_NS, 99 * SECOND_NS


Members = tuple[tuple[str, str], ...]


def one_half() -> float:
    """In place of a random number."""
    return 0.5


@dataclass(frozen=True, slots=True)
class Scenario:
    """How a world begins, and what may happen in it.

    `proposals`: place, version and value, each given once. `reconfiguring_places` propose `next_members`,
    `leaving_places` are told to shut down, `crash_places` lose power, each once.
    """

    name: str
    proposals: tuple[tuple[int, int, bytes], ...] = ()
    crash_places: tuple[int, ...] = ()
    place_count: int = 3
    members: Members = ABC
    next_members: Members = ()
    reconfiguring_places: tuple[int, ...] = ()
    leaving_places: tuple[int, ...] = ()


class World:
    """Replicas, their disks, and the requests between them."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.outcomes: list[tuple[Any, ...]] = []
        self.disks = [Disk() for _ in range(scenario.place_count)]
        self.replicas: list[Replica] = []
        self.requests_in_flight: list[RequestInFlight] = []
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
        """The steps that may come next."""
        found: list[Step] = [("order", place) for place in range(len(self.proposals_left))]
        found += [("ask", s.place, s.incarnation, s.request_id) for s in self.requests_in_flight]
        found += [("written", k) for k, disk in enumerate(self.disks) if disk.write_in_flight]
        found += [("crash", k) for k in self.crashes_left]
        found += [("change", k) for k in self.reconfigurations_left]
        found += [("leave", k) for k in self.leaves_left]
        return found

    def take_step(self, step: Step) -> None:
        """Takes a step."""
        kind, *what = step
        self.outcomes = []
        before = [freeze_acceptor(disk.acceptor("")) for disk in self.disks]
        getattr(self, "do_" + kind)(*what)
        for was, disk in zip(before, self.disks, strict=True):
            self.outcomes.append(("kept", was, freeze_acceptor(disk.acceptor(""))))

    def do_order(self, place: int) -> None:
        """A client's value is proposed at a replica that has its lease."""
        k, version, content = self.proposals_left[place]
        self.proposals_left = (*self.proposals_left[:place], *self.proposals_left[place + 1 :])
        replica = self.replicas[k]
        for j, other in enumerate(self.replicas):
            if j != k:  # it has its lease
                replica.on_query_reply(NOW, NOW, other.acceptor.query_reply())
        replica.propose(NOW, version * 1000 + content[0], version, content, FAR)
        self.run_effects(k)

    def do_change(self, k: int) -> None:
        """A replica proposes other members."""
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
        """A replica is told to shut down."""
        self.leaves_left = tuple(j for j in self.leaves_left if j != k)
        self.replicas[k].leave(NOW, FAR)
        self.run_effects(k)

    def do_ask(self, place: int, incarnation: int, request_id: int) -> None:
        """A request comes to its destination."""
        found = next(
            s
            for s in self.requests_in_flight
            if (s.place, s.incarnation, s.request_id) == (place, incarnation, request_id)
        )
        self.requests_in_flight.remove(found)
        self.replicas[found.destination].on_request(NOW, (place, incarnation, request_id), found.request)
        self.run_effects(found.destination)

    def do_written(self, k: int) -> None:
        """A write is on the disk."""
        disk = self.disks[k]
        write, disk.write_in_flight = disk.write_in_flight, None
        assert write is not None
        disk.save(write.update)
        self.replicas[k].on_persisted(NOW, write.write_id)
        self.run_effects(k)

    def do_crash(self, k: int) -> None:
        """A machine loses power, with the write that is under way, and its process starts again."""
        self.crashes_left = tuple(j for j in self.crashes_left if j != k)
        self.disks[k].write_in_flight = None
        self.replicas[k] = Replica(self.disks[k].acceptor(str(k)), 1, one_half)
        self.replicas[k].start(NOW)
        self.run_effects(k)

    def run_effects(self, k: int) -> None:
        """Carries out a replica's effects, and what the replies lead to in turn."""
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
                            RequestInFlight(k, incarnation, request_id, int(address), request)
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
        """The world as bytes."""
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
        """What tells this world from others."""
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


def thaw_world(state: Any) -> World:
    """The world that was frozen."""
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
