"""Drives the product's `Replica` for one incarnation of a simulated control plane."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from meadowworks.consensus.effects import (
    ApplyEntries,
    CompleteBarrier,
    CompleteOperation,
    Effect,
    LeaderChanged,
    LogEffect,
    LogEntry,
    Persist,
    RestoreSnapshot,
    SendReply,
    SendRequest,
    ValueCommitted,
)
from meadowworks.consensus.messages import AcceptRequest, Reply, Request
from meadowworks.consensus.operations import LEAVE_WAITER_ID
from meadowworks.consensus.replica import Replica
from meadowworks.consensus.values import NO_BALLOT, Ballot, CommittedValue
from meadowworks.controlplane.log_listener import LogListener
from meadowworks.simulation.control.pull import WaitingPull
from meadowworks.simulation.control.simulated_disk import SimulatedStore
from meadowworks.simulation.event_scheduler import MS, SECOND

if TYPE_CHECKING:
    from meadowworks.simulation.control.node import SimulatedControlPlaneNode

CALL_TIMEOUT_NS = SECOND  # for the reply to a request
OPERATION_TIMEOUT_NS = 900 * MS  # for an update or a read
TIMER_RESOLUTION_NS = MS // 10
SLOW_WRITE_RATE = 0.02
SLOW_WRITE_MS, WRITE_MS = (20, 250), (1, 6)
MAX_INTERRUPTED_WRITE_OPERATIONS = 14  # exclusive bound

OnOutcome = Callable[[object], None]


@dataclass(frozen=True, slots=True, eq=False)
class RequestOrigin:
    """The driver and request that a reply is sent to."""

    driver: ReplicaDriver
    request_id: int


def notify_log_listener(listener: LogListener, effect: LogEffect) -> None:
    """Pass an effect of the replicated log to a listener."""
    match effect:
        case ApplyEntries(entries):
            listener.on_entries(entries)
        case RestoreSnapshot(index, content):
            listener.on_snapshot(index, content)
        case LeaderChanged():
            listener.on_leader_changed(effect)
        case CompleteBarrier(waiter_id, index):
            listener.on_barrier(waiter_id, index)


class ReplicaDriver:
    """Runs the effects of a replica and passes requests, replies and timer events to it.

    `pending_pulls` are pulls of other nodes that wait for changes of this node's state. `log_listener`
    receives the effects of the replicated log.
    """

    def __init__(self, node: SimulatedControlPlaneNode, replica: Replica, store: SimulatedStore) -> None:
        self.replica = replica
        self.log_listener: LogListener | None = None
        self.pending_pulls: list[WaitingPull] = []
        self._node, self._cluster, self._store = node, node.cluster, store
        self._incarnation = node.incarnation
        self._pending_write: Persist | None = None
        self._timer_ns = 0
        self._operation_count = 0
        self._seen_backend_update_count = 0
        self._outcome_callbacks: dict[int, OnOutcome] = {}

    # -- effects

    def run_effects(self) -> None:
        """Run the replica's effects, answer the pulls that a change has unblocked, and set the timer."""
        while effects := self.replica.take_effects():
            for effect in effects:
                self._run_effect(effect)
        self._cluster.checker.check_lease(self._node)
        self._answer_pending_pulls()
        self._set_timer()

    def _run_effect(self, effect: Effect) -> None:
        match effect:
            case Persist():
                self._begin_write(effect)
            case SendRequest(request_id, address, request):
                self._send_request(request_id, address, request)
            case SendReply(origin, member_id, reply):
                self._send_reply(origin, member_id, reply)
            case CompleteOperation(waiter_id, outcome):
                if (callback := self._outcome_callbacks.pop(waiter_id, None)) is not None:
                    callback(outcome)
            case ValueCommitted(committed):
                source = f"in force at {self._node.address}"
                self._cluster.checker.on_chosen(committed.version, committed.value, source)
                self._node.log(f"in force: {committed.version}")
            case LogEntry(event, fields):
                self._node.log(" ".join([event, *(f"{name}={value}" for name, value in fields.items())]))
            case ApplyEntries() | RestoreSnapshot() | LeaderChanged() | CompleteBarrier():
                if self.log_listener is not None:
                    notify_log_listener(self.log_listener, effect)

    def _answer_pending_pulls(self) -> None:
        acceptor = self.replica.acceptor
        version, epoch = acceptor.committed.version, acceptor.epoch.number
        registry = self._node.registry
        has_backend_updates = registry.backend_update_count > self._seen_backend_update_count
        self._seen_backend_update_count = registry.backend_update_count
        answered = [
            pull
            for pull in self.pending_pulls
            if pull.lacks(version, epoch)
            or (has_backend_updates and registry.has_backend_changes(pull.vector, pull.source))
        ]
        self.pending_pulls = [pull for pull in self.pending_pulls if pull not in answered]
        for pull in answered:
            pull.answer()

    # -- writes

    def _begin_write(self, effect: Persist) -> None:
        self._pending_write = effect
        rng = self._cluster.random
        is_slow = self._node.slow_disk or rng.random() < SLOW_WRITE_RATE
        wait_ms = rng.uniform(*(SLOW_WRITE_MS if is_slow else WRITE_MS))
        end_write = partial(self._node.deliver, self._incarnation, partial(self._end_write, effect))
        begin_ns = max(self._cluster.now, self._node.disk_stalled_until_ns)
        self._cluster.scheduler.call_at(begin_ns + int(wait_ms * MS), end_write)

    def _end_write(self, effect: Persist) -> None:
        now = self._node.local_time()
        if self._cluster.random.random() < self._cluster.write_failure_rate:
            self.replica.on_persist_failed(now, effect.write_id)
            return
        self._store.save(effect.update)
        self._pending_write = None
        self._cluster.checker.on_persisted(self._node, effect)
        self.replica.on_persisted(now, effect.write_id)
        counts, acceptor = self._cluster.checker.counts, self.replica.acceptor
        counts.most_slots = max(counts.most_slots, len(acceptor.slots))
        counts.most_history = max(counts.most_history, len(acceptor.history))
        counts.disk_kb = max(counts.disk_kb, self._node.disk.size_bytes() // 1024)

    def interrupt_write(self, power_lost: bool) -> None:
        """Run some or all disk operations of a pending write, as if the process ended during the write."""
        if self._pending_write is None:
            return
        effect, self._pending_write = self._pending_write, None
        self._node.disk.operations_left = self._cluster.random.randrange(MAX_INTERRUPTED_WRITE_OPERATIONS)
        try:
            self._store.save(effect.update)
        except sqlite3.Error:
            return
        if not power_lost:  # without a loss of power a completed write stays on the disk
            self._cluster.checker.on_persisted(self._node, effect)

    def abandon_store(self) -> None:
        """Close the store of a process that has ended."""
        self._store.abandon()

    # -- the timer

    def _set_timer(self) -> None:
        scheduler = self._cluster.scheduler
        tick_ns = self._node.to_simulated_time(self.replica.next_tick_ns())
        due_ns = max(scheduler.now + TIMER_RESOLUTION_NS, tick_ns)
        if not self._timer_ns or due_ns < self._timer_ns or self._timer_ns <= scheduler.now:
            self._timer_ns = due_ns
            scheduler.call_at(due_ns, partial(self._on_timer, due_ns))

    def _on_timer(self, due_ns: int) -> None:
        if self._node.incarnation == self._incarnation and self._timer_ns == due_ns:
            self._node.deliver(self._incarnation, self._tick)

    def _tick(self) -> None:
        self._timer_ns = 0
        self.replica.tick(self._node.local_time())

    # -- requests and replies

    def _send_request(self, request_id: int, address: str, request: Request) -> None:
        node, scheduler = self._node, self._cluster.scheduler
        target = self._cluster.nodes.get(address)
        on_timeout = partial(node.deliver, self._incarnation, partial(self._on_timeout, request_id))
        if target is None or not target.up:
            scheduler.call_later(MS, on_timeout)
            return
        scheduler.call_later(CALL_TIMEOUT_NS, on_timeout)
        arrive = partial(target.on_request, RequestOrigin(self, request_id), request)
        self._cluster.network.send(node.address, address, arrive)

    def _on_timeout(self, request_id: int) -> None:
        self.replica.on_request_failed(self._node.local_time(), request_id)

    def on_request(self, origin: RequestOrigin, request: Request) -> None:
        """Pass a request to the replica, and check that a member of an ended epoch accepts no value."""
        acceptor = self.replica.acceptor
        epoch_is_over = acceptor.sealed_by is not None or acceptor.newest_epoch().number > request.epoch
        ballot_before = self._accepted_ballot(request)
        self.replica.on_request(self._node.local_time(), origin, request)
        if epoch_is_over and self._accepted_ballot(request) not in (ballot_before, NO_BALLOT):
            self._cluster.checker.on_late_acceptance(self._node, request)

    def _accepted_ballot(self, request: Request) -> Ballot:
        """Return the ballot accepted for the version of an accept request, `NO_BALLOT` for other requests."""
        if not isinstance(request, AcceptRequest):
            return NO_BALLOT
        slot = self.replica.acceptor.slots.get(request.version)
        return slot.accepted if slot else NO_BALLOT

    def _send_reply(self, origin: RequestOrigin, member_id: str, reply: Reply) -> None:
        requester = origin.driver
        handle_reply = partial(requester.on_reply, origin.request_id, member_id, reply)
        arrive = partial(requester._node.deliver, requester._incarnation, handle_reply)
        self._cluster.network.send(self._node.address, requester._node.address, arrive)

    def on_reply(self, request_id: int, member_id: str, reply: Reply) -> None:
        """Pass the reply to a request of this node to the replica."""
        self.replica.on_reply(self._node.local_time(), request_id, member_id, reply)

    # -- operations

    def submit(self, version: int, value: bytes, on_outcome: OnOutcome) -> None:
        """Propose an operator's update."""
        waiter_id, now = self._add_waiter(on_outcome), self._node.local_time()
        self.replica.propose(now, waiter_id, version, value, now + OPERATION_TIMEOUT_NS)

    def read(self) -> None:
        """Start a quorum read whose result the checker verifies."""
        started_ns = self._cluster.now

        def on_outcome(outcome: object) -> None:
            if isinstance(outcome, CommittedValue):
                self._cluster.checker.on_read(self._node, started_ns, outcome)

        waiter_id, now = self._add_waiter(on_outcome), self._node.local_time()
        self.replica.read(now, waiter_id, now + OPERATION_TIMEOUT_NS)

    def leave(self, timeout_ns: int, on_outcome: OnOutcome) -> None:
        """Start the hand-over of a process that shuts down, and answer the pending pulls."""
        self._outcome_callbacks[LEAVE_WAITER_ID] = on_outcome
        now = self._node.local_time()
        self.replica.leave(now, now + timeout_ns)
        pending, self.pending_pulls = self.pending_pulls, []
        for pull in pending:  # as the product does, so that other nodes learn of the departure
            pull.answer()

    def _add_waiter(self, on_outcome: OnOutcome) -> int:
        self._operation_count += 1
        self._outcome_callbacks[self._operation_count] = on_outcome
        return self._operation_count
