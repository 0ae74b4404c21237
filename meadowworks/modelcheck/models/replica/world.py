"""The world of the model: replicas with their disks, and the possible steps."""

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
    SealedPositionReply,
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

# Time does not advance, so no deadline is reached.
NOW, FAR = 10 * SECOND_NS, 99 * SECOND_NS


Members = tuple[tuple[str, str], ...]

# Maps the kind of a step, which counterexample files store, to the method that carries it out.
STEP_METHODS: dict[str, str] = {
    "order": "propose_value",
    "ask": "deliver_request",
    "written": "complete_write",
    "crash": "restart_after_power_loss",
    "change": "propose_members",
    "leave": "shut_down_replica",
}


def one_half() -> float:
    """Return 0.5 in place of a random number."""
    return 0.5


@dataclass(frozen=True, slots=True)
class ReplicaScenario:
    """The initial state of a world, and the events that may occur in it.

    `proposals` are tuples of replica index, version and value. The replicas at `reconfiguring_indices`
    propose `next_members`, those at `leaving_indices` are told to shut down, and those at `crash_indices`
    lose power. Each event occurs at most once.
    """

    name: str
    proposals: tuple[tuple[int, int, bytes], ...] = ()
    crash_indices: tuple[int, ...] = ()
    replica_count: int = 3
    members: Members = ABC
    next_members: Members = ()
    reconfiguring_indices: tuple[int, ...] = ()
    leaving_indices: tuple[int, ...] = ()


class ReplicaWorld:
    """Replicas with their disks, and the requests in flight between them."""

    def __init__(self, scenario: ReplicaScenario) -> None:
        self.scenario = scenario
        self.outcomes: list[tuple[Any, ...]] = []
        self.disks = [Disk() for _ in range(scenario.replica_count)]
        self.replicas: list[Replica] = []
        self.requests_in_flight: list[RequestInFlight] = []
        self.proposals_left, self.reconfigurations_left, self.leaves_left = (
            scenario.proposals,
            scenario.reconfiguring_indices,
            scenario.leaving_indices,
        )
        self.crashes_left = scenario.crash_indices
        self.acknowledged: tuple[tuple[int, bytes], ...] = ()
        for k, disk in enumerate(self.disks):
            acceptor = Acceptor(
                chr(ord("a") + k), str(k), epoch=Epoch(1, scenario.members), metadata_changed=True
            )
            acceptor.installed = acceptor.epoch.has_member(acceptor.member_id)
            disk.save(WriteQueue(acceptor).collect_update())
            assert disk.metadata is not None
            disk.metadata |= {"installed": acceptor.installed, "life": 1}  # as written before any fault
            self.replicas.append(Replica(disk.acceptor(str(k)), 1, one_half))
            self.replicas[k].start(NOW)
            self.run_effects(k)

    def enabled(self) -> Iterable[Step]:
        """Return the steps that can be taken in this state."""
        steps: list[Step] = [("order", index) for index in range(len(self.proposals_left))]
        steps += [
            ("ask", message.source, message.incarnation, message.request_id)
            for message in self.requests_in_flight
        ]
        steps += [("written", k) for k, disk in enumerate(self.disks) if disk.write_in_flight]
        steps += [("crash", k) for k in self.crashes_left]
        steps += [("change", k) for k in self.reconfigurations_left]
        steps += [("leave", k) for k in self.leaves_left]
        return steps

    def take_step(self, step: Step) -> None:
        """Take one of the enabled steps."""
        kind, *args = step
        self.outcomes = []
        before = [freeze_acceptor(disk.acceptor("")) for disk in self.disks]
        getattr(self, STEP_METHODS[kind])(*args)
        for old_state, disk in zip(before, self.disks, strict=True):
            self.outcomes.append(("kept", old_state, freeze_acceptor(disk.acceptor(""))))

    def propose_value(self, index: int) -> None:
        """Propose a client's value at a replica that holds the lease."""
        k, version, content = self.proposals_left[index]
        self.proposals_left = (*self.proposals_left[:index], *self.proposals_left[index + 1 :])
        replica = self.replicas[k]
        for j, other in enumerate(self.replicas):
            if j != k:  # the replies give the replica its lease
                replica.on_query_reply(NOW, NOW, other.acceptor.query_reply())
        replica.propose(NOW, version * 1000 + content[0], version, content, FAR)
        self.run_effects(k)

    def propose_members(self, k: int) -> None:
        """Let a replica propose the next members."""
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

    def shut_down_replica(self, k: int) -> None:
        """Tell a replica to shut down."""
        self.leaves_left = tuple(j for j in self.leaves_left if j != k)
        self.replicas[k].leave(NOW, FAR)
        self.run_effects(k)

    def deliver_request(self, source: int, incarnation: int, request_id: int) -> None:
        """Deliver a request to its destination."""
        message = next(
            other
            for other in self.requests_in_flight
            if (other.source, other.incarnation, other.request_id) == (source, incarnation, request_id)
        )
        self.requests_in_flight.remove(message)
        self.replicas[message.destination].on_request(NOW, (source, incarnation, request_id), message.request)
        self.run_effects(message.destination)

    def complete_write(self, k: int) -> None:
        """Complete the write in flight of a disk."""
        disk = self.disks[k]
        write, disk.write_in_flight = disk.write_in_flight, None
        assert write is not None
        disk.save(write.update)
        self.replicas[k].on_persisted(NOW, write.write_id)
        self.run_effects(k)

    def restart_after_power_loss(self, k: int) -> None:
        """Let a replica lose power with its write in flight, and restart it from its disk."""
        self.crashes_left = tuple(j for j in self.crashes_left if j != k)
        self.disks[k].write_in_flight = None
        self.replicas[k] = Replica(self.disks[k].acceptor(str(k)), 1, one_half)
        self.replicas[k].start(NOW)
        self.run_effects(k)

    def run_effects(self, k: int) -> None:
        """Execute a replica's effects, and those that the replies cause at other replicas."""
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
                    case SendReply((source, incarnation, request_id), member_id, reply):
                        self.outcomes.append(("told", self.is_on_disk(k, reply)))
                        if self.replicas[source].acceptor.incarnation == incarnation:
                            self.replicas[source].on_reply(NOW, request_id, member_id, reply)
                            waiting.append(source)
                    case CompleteOperation(operation_id, Committed()) if operation_id >= 1000:
                        self.acknowledged = tuple(
                            sorted({*self.acknowledged, (operation_id // 1000, bytes([operation_id % 1000]))})
                        )

    def is_on_disk(self, k: int, reply: Any) -> bool:
        """Return whether the state in a reply is on the disk of its sender."""
        durable = self.disks[k].acceptor("")
        match reply:
            case PromiseReply(ballot) | AcceptedReply(ballot):
                return durable.epoch.number > ballot.epoch or any(
                    (slot.accepted if isinstance(reply, AcceptedReply) else slot.promised) >= ballot
                    or durable.committed.version >= version > 0
                    for version, slot in [*durable.slots.items(), (durable.committed.version, AcceptorSlot())]
                )
            case SealedReply(next_epoch) | SealedPositionReply(next_epoch):
                return durable.epoch.number >= next_epoch.number or durable.sealed_by == next_epoch
            case InstalledReply(number):
                return durable.epoch.number >= number and durable.installed
            case QueryReply():
                return reply.committed_version <= durable.committed.version
        return True

    def freeze(self) -> Any:
        """Return the pickled world, without the last step's outcomes."""
        events_left = (
            self.proposals_left,
            self.reconfigurations_left,
            self.leaves_left,
            self.crashes_left,
            self.acknowledged,
        )
        return pickle.dumps(
            (self.scenario, self.disks, self.replicas, self.requests_in_flight, events_left),
            pickle.HIGHEST_PROTOCOL,
        )

    def key(self) -> Any:
        """Return a value that is equal for worlds in the same state."""
        return (
            self.scenario.name,
            to_plain(self.disks),
            tuple([to_plain(vars(replica)) for replica in self.replicas]),
            tuple(sorted([to_plain(message) for message in self.requests_in_flight], key=repr)),
            self.proposals_left,
            self.reconfigurations_left,
            self.leaves_left,
            self.crashes_left,
            self.acknowledged,
        )


def thaw_world(state: Any) -> ReplicaWorld:
    """Rebuild a world from the result of `freeze`."""
    world = ReplicaWorld.__new__(ReplicaWorld)
    world.outcomes = []
    world.scenario, world.disks, world.replicas, world.requests_in_flight, events_left = pickle.loads(state)
    (
        world.proposals_left,
        world.reconfigurations_left,
        world.leaves_left,
        world.crashes_left,
        world.acknowledged,
    ) = events_left
    return world
