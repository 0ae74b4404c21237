"""Pulls between two control planes, which transfer state and renew leases."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from meadowworks.consensus.messages import QueryReply
from meadowworks.consensus.values import CommittedValue, DigestHistory, Epoch
from meadowworks.gossip.updates import SourceDelta
from meadowworks.simulation.event_scheduler import MS, SECOND, Callback

if TYPE_CHECKING:
    from meadowworks.simulation.control.node import SimulatedControlPlaneNode

LONG_POLL_NS = SECOND // 2  # how long a pull without new state waits at its target
PULL_TIMEOUT_NS = SECOND
ACK_PENDING_POLL_NS = 50 * MS  # while the requester has drains of the target to acknowledge
NEXT_PULL_DELAY_NS = 10 * MS
DRAIN_WRITE_DELAY_NS = 15 * MS  # before the next pull, while drain records are being written
RETRY_DELAY_NS = 300 * MS  # after a pull from a machine that is down


@dataclass(frozen=True, slots=True, eq=False)
class WaitingPull:
    """A pull that waits at its target until the target has state that the requester lacks."""

    version: int
    epoch: int
    vector: dict[str, int]
    source: str  # the requester's incarnation
    answer: Callback

    def lacks(self, version: int, epoch: int) -> bool:
        """Return whether the requester lacks a version or an epoch."""
        return self.version < version or self.epoch < epoch


@dataclass(frozen=True, slots=True)
class PullAnswer:
    """The answer to a pull: the target's state and the changes that the requester lacks."""

    state: QueryReply
    epoch: Epoch | None
    committed: CommittedValue | None
    history: DigestHistory
    source: str
    deltas: tuple[SourceDelta, ...]


class Pull:
    """One pull of a node from a target, up to the scheduling of the next one."""

    def __init__(self, node: SimulatedControlPlaneNode, target: SimulatedControlPlaneNode) -> None:
        acceptor = node.replica.acceptor
        self._node, self._target = node, target
        self._cluster = node.cluster
        self._incarnation = node.incarnation
        self._sent_ns = node.local_time()
        self._version, self._epoch = acceptor.committed.version, acceptor.newest_epoch().number
        self._source = node.registry.source_id
        self._vector = node.registry.updates.remote_version_vector()
        target_source = node.registry.sources.get(target.address, "")
        self._drain_acknowledgement = node.registry.drain_log.acknowledgement(target_source)
        is_caught_up = node.registry.drain_log.is_caught_up(target_source)
        self._long_poll_ns = LONG_POLL_NS if is_caught_up else ACK_PENDING_POLL_NS
        self._is_open = True

    def send(self) -> None:
        """Send the pull, which ends with its answer or a timeout."""
        node, target = self._node, self._target
        if not target.up:
            self._end(RETRY_DELAY_NS)
            return
        on_timeout = partial(node.deliver, self._incarnation, partial(self._end, NEXT_PULL_DELAY_NS))
        self._cluster.scheduler.call_later(PULL_TIMEOUT_NS, on_timeout)
        self._cluster.network.send(node.address, target.address, self._arrive)

    def _end(self, wait_ns: int) -> None:
        if self._is_open:
            self._is_open = False
            next_pull = partial(self._node.pull, self._incarnation, self._target.address)
            self._cluster.scheduler.call_later(wait_ns, next_pull)

    # -- at the target

    def _arrive(self) -> None:
        target = self._target
        if not target.up:
            return
        target.deliver(target.incarnation, self._record_acknowledgement)
        answer = partial(self._answer, target.incarnation)
        acceptor, registry = target.replica.acceptor, target.registry
        pending = WaitingPull(self._version, self._epoch, self._vector, self._source, answer)
        lacks_state = pending.lacks(acceptor.committed.version, acceptor.epoch.number)
        if lacks_state or registry.has_backend_changes(self._vector, self._source):
            answer()
            return
        target.driver.pending_pulls.append(pending)
        self._cluster.scheduler.call_later(self._long_poll_ns, partial(self._end_wait, pending))

    def _record_acknowledgement(self) -> None:
        if self._node.voting:
            registry = self._target.registry
            registry.drain_log.on_acknowledgement(self._node.address, *self._drain_acknowledgement)
            registry.answer_durable_calls()

    def _end_wait(self, pending: WaitingPull) -> None:
        if pending in self._target.driver.pending_pulls:
            self._target.driver.pending_pulls.remove(pending)
            pending.answer()

    def _answer(self, target_incarnation: int) -> None:
        if self._target.up and target_incarnation == self._target.incarnation:
            self._target.deliver(target_incarnation, self._send_answer)

    def _send_answer(self) -> None:
        acceptor = self._target.replica.acceptor
        has_newer_epoch = acceptor.installed and acceptor.epoch.number > self._epoch
        has_newer_version = acceptor.committed.version > self._version
        answer = PullAnswer(
            acceptor.query_reply(),
            acceptor.epoch if has_newer_epoch else None,
            acceptor.committed if has_newer_version else None,
            acceptor.digest_history(),
            self._target.registry.source_id,
            self._target.registry.deltas_for(self._vector, self._source),
        )
        arrive = partial(self._node.deliver, self._incarnation, partial(self._on_answer, answer))
        self._cluster.network.send(self._target.address, self._node.address, arrive)

    # -- at the requester

    def _on_answer(self, answer: PullAnswer) -> None:
        if not self._is_open:
            return  # the pull has timed out
        replica, now = self._node.replica, self._node.local_time()
        if answer.epoch is not None:
            replica.on_epoch_announced(now, answer.epoch)
        replica.on_query_reply(now, self._sent_ns, answer.state)
        if answer.committed is not None:
            replica.on_committed_value(now, answer.committed, answer.history)
        registry = self._node.registry
        registry.apply(self._target.address, answer.source, answer.deltas)
        is_caught_up = registry.drain_log.is_caught_up(answer.source)
        self._end(NEXT_PULL_DELAY_NS if is_caught_up else DRAIN_WRITE_DELAY_NS)
