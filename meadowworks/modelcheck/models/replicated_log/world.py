"""The world of the model: nodes, messages in flight, and what has been committed and promised."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import astuple, dataclass, replace
from typing import Any, NamedTuple

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.log_host import Role
from meadowworks.consensus.log_messages import LogVoteReply, LogVoteRequest
from meadowworks.consensus.reconfiguration import Reconfiguration
from meadowworks.consensus.replicated_log import ReplicatedLog
from meadowworks.consensus.values import Epoch, Term
from meadowworks.consensus.write_queue import WriteQueue
from meadowworks.modelcheck.model import Step
from meadowworks.modelcheck.models.replica.disk import Disk
from meadowworks.modelcheck.models.replicated_log.frozen import (
    FrozenNode,
    FrozenReconfiguration,
    freeze_node,
    freeze_reconfiguration,
)
from meadowworks.modelcheck.models.replicated_log.limits import small_limits
from meadowworks.modelcheck.models.replicated_log.messages import (
    LogRecord,
    Message,
    ReplyInFlight,
    RequestInFlight,
    label,
    plain_message,
)
from meadowworks.modelcheck.models.replicated_log.node import (
    HEARTBEAT_NS,
    NOW_NS,
    Node,
    ReconfigurationTicket,
    SentReply,
)
from meadowworks.modelcheck.models.replicated_log.scenarios import SETTLE, LogScenario, Preparation

FIRST_EPOCH = 1


@dataclass(frozen=True, slots=True)
class Committed:
    """A committed entry, and the term of the leader that committed it."""

    record: LogRecord
    leader_term: Term


@dataclass(frozen=True, slots=True, order=True)
class Vote:
    """A vote that has left the voter."""

    term: Term
    voter_id: str
    candidate_id: str


@dataclass(frozen=True, slots=True)
class BarrierBegun:
    """A read barrier that a node waits for, and the number of entries committed when it began."""

    node: int
    committed: int


@dataclass(frozen=True, slots=True)
class Budget:
    """How often each event may still occur; see `LogScenario`."""

    timeouts: tuple[int, ...]
    power_losses: tuple[int, ...]
    wiped: tuple[int, ...]
    proposals: int
    barriers: int
    compactions: int
    heartbeats: int
    copies: int


@dataclass(frozen=True, slots=True)
class LogState:
    """All that changes in a world, in values that are never changed in place."""

    nodes: tuple[FrozenNode, ...]
    reconfigurations: tuple[FrozenReconfiguration, ...]
    messages: tuple[Message, ...]
    budget: Budget
    committed: tuple[Committed, ...] = ()
    leaders: frozenset[tuple[Term, str]] = frozenset()
    votes: frozenset[Vote] = frozenset()
    barriers: tuple[BarrierBegun, ...] = ()


class ReplySent(NamedTuple):
    """The outcome of a step: a reply has left its node."""

    is_durable: bool


class EntriesApplied(NamedTuple):
    """The outcome of a step: a node has applied entries."""

    is_consistent: bool


class BarrierPassed(NamedTuple):
    """The outcome of a step: a read barrier has passed."""

    barrier_index: int
    applied: int
    committed_before: int


class LogWorld:
    """Nodes with their disks, and the messages in flight between them."""

    def __init__(self, scenario: LogScenario) -> None:
        self.scenario = replace(scenario, disconnected=())
        self.outcomes: list[tuple[Any, ...]] = []
        epoch = Epoch(FIRST_EPOCH, scenario.members)
        nodes = tuple(
            freeze_node(started_node(index, new_disk(member_id, epoch), 0, scenario.sends_whole_states))
            for index, (member_id, _) in enumerate(scenario.members)
        )
        self.state = LogState(nodes, (), (), preparation_budget(scenario))
        for preparation in scenario.preparations:
            self._prepare(preparation)
        self.scenario = scenario
        connected = [m for m in self.state.messages if not self._is_disconnected(m.source, m.destination)]
        self.state = replace(self.state, messages=tuple(connected))
        next_epoch = Epoch(FIRST_EPOCH + 1, scenario.next_members)
        call = Reconfiguration(epoch, next_epoch)
        if scenario.sends_whole_states:
            call.send_whole_states()
        reconfiguration = freeze_reconfiguration(call)
        self.state = replace(
            self.state,
            budget=budget_of(scenario),
            reconfigurations=(reconfiguration,) * scenario.reconfigurations,
        )

    def _prepare(self, preparation: Preparation) -> None:
        """Take a step of the preparation; with a seeded fault it may not be possible."""
        if preparation.kind != SETTLE:
            step = (preparation.kind, preparation.node)
            if step in self.enabled():
                self.take_step(step)
            return
        self._complete_writes()
        for _ in range(preparation.deliveries):
            messages = [m for m in self.state.messages if is_between(m, preparation.connected)]
            if not messages:
                break
            self.take_step(message_step(messages[0]))
            self._complete_writes()
        self.state = replace(self.state, messages=())

    def _complete_writes(self) -> None:
        for k in range(len(self.state.nodes)):
            while self.state.nodes[k].view.is_writing:
                self.take_step(("write", k))

    # -- steps

    def enabled(self) -> Iterable[Step]:
        """Return the steps that can be taken in this state."""
        state, budget = self.state, self.state.budget
        steps: list[Step] = [message_step(message) for message in state.messages]
        if budget.copies:
            requests = [m for m in state.messages if isinstance(m, RequestInFlight) and not m.is_copy]
            steps += [("copy", label(message)) for message in requests]
        for k in range(len(state.nodes)):
            steps += self._steps_at(k)
        steps += [("fetch", k) for k, node in enumerate(state.nodes) if node.view.is_fetching]
        for number, reconfiguration in enumerate(state.reconfigurations):
            for member_id, address in reconfiguration.targets:
                view = state.nodes[int(address)].view
                if view.memory.member_id == member_id and number not in view.pending_reconfigurations:
                    steps.append(("reconfigure", number, int(address)))
        return steps

    def _steps_at(self, k: int) -> Iterable[Step]:
        view, budget = self.state.nodes[k].view, self.state.budget
        if k in budget.timeouts and view.may_vote and not view.is_leader:
            yield "timeout", k
        if not view.may_vote and view.role is not Role.FOLLOWER:
            yield "stop", k
        if view.is_writing:
            yield "write", k
        if k in budget.power_losses:
            yield "power", k
        if k in budget.wiped:
            yield "wipe", k
        if not view.is_leader:
            return
        if budget.heartbeats:
            yield "heartbeat", k
        if budget.proposals and view.may_vote:
            yield "propose", k
        if budget.barriers and view.may_vote and all(barrier.node != k for barrier in self.state.barriers):
            yield "barrier", k
        if budget.compactions and len(view.applied) > view.snapshot_index:
            yield "compact", k

    def take_step(self, step: Step) -> None:
        """Take one of the enabled steps."""
        kind, *arguments = step
        self.outcomes = []
        with small_limits():
            getattr(self, STEP_METHODS[kind])(*arguments)

    def deliver(self, text: str) -> None:
        """Deliver a request or a reply."""
        message = self._message(text)
        self.state = replace(
            self.state, messages=tuple(other for other in self.state.messages if other is not message)
        )
        node = self.state.nodes[message.destination].thaw()
        if isinstance(message, RequestInFlight):
            node.receive_request(message)
        else:
            node.receive_reply(message)
        self._finish(node)

    def copy(self, text: str) -> None:
        """Duplicate a request."""
        message = self._message(text)
        assert isinstance(message, RequestInFlight)
        self._spend(copies=self.state.budget.copies - 1)
        self._add_messages([replace(message, is_copy=True)])

    def _message(self, text: str) -> Message:
        return next(message for message in self.state.messages if label(message) == text)

    def time_out(self, k: int) -> None:
        """Start an election at a node that has received nothing from a leader."""
        self._spend(timeouts=without_one(self.state.budget.timeouts, k))
        node = self.state.nodes[k].thaw()
        node.time_out()
        self._finish(node)

    def stop_voting(self, k: int) -> None:
        """Let a leader or candidate find that it may not vote."""
        node = self.state.nodes[k].thaw()
        node.log_replica.tick(NOW_NS)
        self._finish(node)

    def send_again(self, k: int) -> None:
        """Let a leader give up its requests and send heartbeats; the requests may still arrive."""
        self._spend(heartbeats=self.state.budget.heartbeats - 1)
        node = self.state.nodes[k].thaw()
        for member_id in list(node.log_replica.followers):
            node.log_replica.on_request_failed(member_id)
        node.log_replica.tick(HEARTBEAT_NS)
        self._finish(node)

    def complete_write(self, k: int) -> None:
        """Complete the write in flight at a node."""
        node = self.state.nodes[k].thaw()
        node.complete_write()
        self._finish(node)

    def lose_power(self, k: int) -> None:
        """Let a node lose what it has not written, and restart it from its disk."""
        self._spend(power_losses=without_one(self.state.budget.power_losses, k))
        node = self.state.nodes[k].thaw()
        node.disk.write_in_flight = None
        self._restart(k, node.disk)

    def wipe(self, k: int) -> None:
        """Replace a node's disk by an empty one, which has another member id."""
        self._spend(wiped=without_one(self.state.budget.wiped, k))
        member_id = f"{self.state.nodes[k].view.memory.member_id}2"
        self._restart(k, new_disk(member_id, None))

    def _restart(self, k: int, disk: Disk) -> None:
        incarnation = self.state.nodes[k].view.incarnation + 1
        self.state = replace(
            self.state,
            barriers=tuple(barrier for barrier in self.state.barriers if barrier.node != k),
            messages=tuple(
                message
                for message in self.state.messages
                if isinstance(message, RequestInFlight) or message.destination != k
            ),
        )
        self._finish(started_node(k, disk, incarnation, self.scenario.sends_whole_states))

    def propose(self, k: int) -> None:
        """Propose an entry at a leader."""
        payload = b"%d" % self.state.budget.proposals
        self._spend(proposals=self.state.budget.proposals - 1)
        node = self.state.nodes[k].thaw()
        node.log_replica.propose(NOW_NS, payload)
        self._finish(node)

    def begin_barrier(self, k: int) -> None:
        """Begin a read barrier at a leader."""
        self._spend(barriers=self.state.budget.barriers - 1)
        begun = BarrierBegun(k, len(self.state.committed))
        self.state = replace(self.state, barriers=(*self.state.barriers, begun))
        node = self.state.nodes[k].thaw()
        node.log_replica.begin_barrier(NOW_NS, k)
        self._finish(node)

    def compact(self, k: int) -> None:
        """Replace the applied entries of a leader's log by a snapshot."""
        self._spend(compactions=self.state.budget.compactions - 1)
        node = self.state.nodes[k].thaw()
        node.compact()
        self._finish(node)

    def reconfigure(self, number: int, k: int) -> None:
        """Deliver the current request of a reconfiguration to a node."""
        request = self.state.reconfigurations[number].thaw().request()
        node = self.state.nodes[k].thaw()
        node.receive_reconfiguration(number, request)
        self._finish(node)

    def fetch(self, k: int) -> None:
        """Deliver the request of a node's log transfer, and the reply to it."""
        node = self.state.nodes[k].thaw()
        assert node.fetch_in_flight is not None
        sender = self.state.nodes[int(node.fetch_in_flight.address)].thaw()
        reply = sender.acceptor.handle(node.fetch_in_flight.request)
        self._finish(sender)
        node.receive_fetch_reply(reply)
        self._finish(node)

    # -- results of a step

    def _finish(self, node: Node) -> None:
        """Complete the writes that need no step, and take what the node has sent and applied."""
        node.flush()
        while node.index not in self.state.budget.power_losses and node.disk.write_in_flight is not None:
            node.complete_write()
        self._take_applied(node)
        self._take_barriers(node)
        self._take_requests(node)
        replies, node.replies = node.replies, []
        if node.log_replica.is_leader:
            leader = (node.log_state.term, node.acceptor.member_id)
            self.state = replace(self.state, leaders=self.state.leaders | {leader})
        k = node.index
        nodes = (*self.state.nodes[:k], freeze_node(node), *self.state.nodes[k + 1 :])
        self.state = replace(self.state, nodes=nodes)
        for reply in replies:
            self._take_reply(node, reply)

    def _take_applied(self, node: Node) -> None:
        committed, is_consistent = list(self.state.committed), True
        entries, node.newly_applied = node.newly_applied, []
        for entry in entries:
            record = LogRecord(entry.term, entry.payload)
            if entry.index == len(committed) + 1:
                committed.append(Committed(record, node.log_state.term))
            elif entry.index > len(committed) or committed[entry.index - 1].record != record:
                is_consistent = False
        records = tuple(other.record for other in committed[: len(node.applied)])
        before = self.state.nodes[node.index].view
        if node.incarnation == before.incarnation and len(node.applied) < len(before.applied):
            is_consistent = False  # the state machine has gone back
        self.outcomes.append(EntriesApplied(is_consistent and node.applied == records))
        self.state = replace(self.state, committed=tuple(committed))

    def _take_barriers(self, node: Node) -> None:
        passed, node.passed_barriers = node.passed_barriers, []
        for barrier in [barrier for barrier in self.state.barriers if barrier.node == node.index]:
            for index in passed:
                self.outcomes.append(BarrierPassed(index, len(node.applied), barrier.committed))
            if passed or not node.log_replica.barriers:
                left = tuple(other for other in self.state.barriers if other is not barrier)
                self.state = replace(self.state, barriers=left)

    def _take_requests(self, node: Node) -> None:
        requests, node.requests = node.requests, []
        connected = [m for m in requests if not self._is_disconnected(m.source, m.destination)]
        for message in requests:
            if isinstance(message.request, LogVoteRequest):
                own_id, term = node.acceptor.member_id, message.request.term
                self._add_vote(Vote(term, own_id, own_id))
                self.outcomes.append(ReplySent(node.has_vote_on_disk(term, own_id)))
        self._add_messages(connected)

    def _take_reply(self, node: Node, sent: SentReply) -> None:
        self.outcomes.append(ReplySent(sent.is_durable))
        if isinstance(sent.ticket, ReconfigurationTicket):
            self._pass_to_reconfiguration(sent.ticket.number, sent)
            return
        message = sent.ticket.message
        if isinstance(sent.reply, LogVoteReply) and sent.reply.granted:
            assert isinstance(message.request, LogVoteRequest)
            self._add_vote(Vote(sent.reply.voted_term, sent.member_id, message.request.candidate_id))
        if message.is_copy or self.state.nodes[message.source].view.incarnation != message.incarnation:
            return
        reply = ReplyInFlight(node.index, message.source, message.target_id, sent.member_id, sent.reply)
        self._add_messages([reply])

    def _pass_to_reconfiguration(self, number: int, sent: SentReply) -> None:
        reconfiguration = self.state.reconfigurations[number].thaw()
        reconfiguration.on_reply(sent.member_id, sent.reply)
        frozen = list(self.state.reconfigurations)
        frozen[number] = freeze_reconfiguration(reconfiguration)
        self.state = replace(self.state, reconfigurations=tuple(frozen))

    def _add_vote(self, vote: Vote) -> None:
        self.state = replace(self.state, votes=self.state.votes | {vote})

    def _add_messages(self, messages: Iterable[Message]) -> None:
        added = {*self.state.messages, *messages}
        self.state = replace(self.state, messages=tuple(sorted(added, key=plain_message)))

    def _is_disconnected(self, source: int, destination: int) -> bool:
        pairs = self.scenario.disconnected
        return (source, destination) in pairs or (destination, source) in pairs

    def _spend(self, **changes: Any) -> None:
        self.state = replace(self.state, budget=replace(self.state.budget, **changes))

    # -- `model.World`

    def freeze(self) -> Any:
        """Return the scenario and the state, which never change in place."""
        return self.scenario, self.state

    def key(self) -> Any:
        """Return a value that is equal for worlds in the same state."""
        state = self.state
        return (
            self.scenario.name,
            tuple([node.key for node in state.nodes]),
            tuple([reconfiguration.key for reconfiguration in state.reconfigurations]),
            tuple([plain_message(message) for message in state.messages]),
            astuple(state.budget),
            tuple([(*c.record.term, c.record.payload, *c.leader_term) for c in state.committed]),
            tuple(sorted((tuple(term), member_id) for term, member_id in state.leaders)),
            tuple(sorted((tuple(v.term), v.voter_id, v.candidate_id) for v in state.votes)),
            tuple([(barrier.node, barrier.committed) for barrier in state.barriers]),
        )


# Maps the kind of a step, which counterexample files store, to the method that carries it out.
STEP_METHODS: dict[str, str] = {
    "request": "deliver",
    "reply": "deliver",
    "copy": "copy",
    "timeout": "time_out",
    "stop": "stop_voting",
    "heartbeat": "send_again",
    "write": "complete_write",
    "power": "lose_power",
    "wipe": "wipe",
    "propose": "propose",
    "barrier": "begin_barrier",
    "compact": "compact",
    "reconfigure": "reconfigure",
    "fetch": "fetch",
}


def thaw_world(frozen: Any) -> LogWorld:
    """Rebuild a world from the result of `freeze`."""
    world = LogWorld.__new__(LogWorld)
    world.scenario, world.state = frozen
    world.outcomes = []
    return world


def new_disk(member_id: str, epoch: Epoch | None) -> Disk:
    """Return the disk of a member of an epoch with an empty log, or of a disk that has joined none."""
    address = str(ord(member_id[0]) - ord("a"))
    acceptor = Acceptor(member_id, address, metadata_changed=True, log=ReplicatedLog(metadata_changed=True))
    if epoch is not None:
        acceptor.epoch, acceptor.installed = epoch, True
        acceptor.log = ReplicatedLog(epoch.number, Term(epoch.number, 0), metadata_changed=True)
    disk = Disk()
    disk.save(WriteQueue(acceptor).collect_update())
    return disk


def started_node(index: int, disk: Disk, incarnation: int = 0, sends_whole_states: bool = False) -> Node:
    """Return a node that has started from its disk."""
    node = Node(index, disk, incarnation, sends_whole_states)
    node.flush()
    return node


def preparation_budget(scenario: LogScenario) -> Budget:
    """Return enough of each event for the preparations; writes are steps as in the scenario."""
    count = len(scenario.preparations)
    nodes = tuple(range(len(scenario.members))) * count
    return Budget(nodes, scenario.power_losses, nodes, scenario.proposals + count, count, count, count, 0)


def budget_of(scenario: LogScenario) -> Budget:
    """Return the events of a scenario."""
    return Budget(
        scenario.timeouts,
        scenario.power_losses,
        scenario.wiped,
        scenario.proposals,
        scenario.barriers,
        scenario.compactions,
        scenario.heartbeats,
        scenario.copies,
    )


def without_one(items: tuple[int, ...], item: int) -> tuple[int, ...]:
    """Return the items without one of those that equal `item`."""
    index = items.index(item)
    return items[:index] + items[index + 1 :]


def is_between(message: Message, nodes: tuple[int, ...]) -> bool:
    """Return whether both ends of a message are among some nodes."""
    return message.source in nodes and message.destination in nodes


def message_step(message: Message) -> Step:
    """Return the step that delivers a message."""
    return "request" if isinstance(message, RequestInFlight) else "reply", label(message)
