"""One pull between two control planes, which keeps their state and leases fresh."""

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

LONG_POLL_NS = SECOND // 2  # that a pull without news waits at its target
PULL_TIMEOUT_NS = SECOND
ACK_PENDING_POLL_NS = 50 * MS  # while the asker owes an acknowledgement of drains
NEXT_PULL_DELAY_NS = 10 * MS
DRAIN_WRITE_DELAY_NS = 15 * MS  # that the next pull waits for a write of drains
RETRY_DELAY_NS = 300 * MS  # after a pull at a machine that is down


@dataclass(frozen=True, slots=True, eq=False)
class WaitingPull:
    """A pull that waits at its target for a newer version or epoch than the asker has."""

    version: int
    epoch: int
    vector: dict[str, int]
    source: str  # the asker's incarnation
    answer: Callback

    def lacks(self, version: int, epoch: int) -> bool:
        """Tell whether the asker lacks a version or an epoch."""
        return self.version < version or self.epoch < epoch


@dataclass(frozen=True, slots=True)
class PullAnswer:
    """What a pull brings: the target's state, and what it has that is newer."""

    state: QueryReply
    epoch: Epoch | None
    committed: CommittedValue | None
    history: DigestHistory
    source: str
    deltas: tuple[SourceDelta, ...]


class Pull:
    """One pull by a node at a target, from its sending until the next one is due."""

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
        """Send the pull; it ends by its answer or its time-out."""
        node, target = self._node, self._target
        if not target.up:
            self._end(RETRY_DELAY_NS)
            return
        time_out = partial(node.deliver, self._incarnation, partial(self._end, NEXT_PULL_DELAY_NS))
        self._cluster.scheduler.call_later(PULL_TIMEOUT_NS, time_out)
        self._cluster.network.send(node.address, target.address, self._arrive)

    def _end(self, wait_ns: int) -> None:
        if self._is_open:
            self._is_open = False
            again = partial(self._node.pull, self._incarnation, self._target.address)
            self._cluster.scheduler.call_later(wait_ns, again)

    # -- at the target

    def _arrive(self) -> None:
        target = self._target
        if not target.up:
            return
        target.deliver(target.incarnation, self._record_acknowledgement)
        answer = partial(self._answer, target.incarnation)
        acceptor, registry = target.replica.acceptor, target.registry
        pending = WaitingPull(self._version, self._epoch, self._vector, self._source, answer)
        is_urgent = pending.lacks(acceptor.committed.version, acceptor.epoch.number)
        if is_urgent or registry.has_backend_changes(self._vector, self._source):
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

    # -- at the node again

    def _on_answer(self, answer: PullAnswer) -> None:
        if not self._is_open:
            return  # the call was given up
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
