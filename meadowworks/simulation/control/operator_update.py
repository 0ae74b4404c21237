"""An operator's configuration update, which is retried until it is acknowledged or rejected."""

from __future__ import annotations

from functools import partial

from meadowworks.consensus.effects import Committed, Conflict
from meadowworks.simulation.control.cluster import Cluster
from meadowworks.simulation.control.node import SimulatedControlPlaneNode
from meadowworks.simulation.event_scheduler import MS, SECOND

OPERATOR_TIMEOUT_NS = 12 * SECOND  # after which an operator stops retrying
ATTEMPT_TIMEOUT_NS = SECOND
INITIAL_BACKOFF_NS, MAX_BACKOFF_NS = 100 * MS, 2 * SECOND
FAULT_FREE_BEFORE_TIMING_NS = 3 * SECOND  # fault-free time before an update whose latency counts


class OperatorUpdate:
    """One configuration update.

    :param reply_loss: the probability that a reply to the operator is lost.
    :param send_twice: whether to start with two attempts at once.
    :param first_node: the node of the first attempt; a random one if None.
    """

    def __init__(
        self,
        cluster: Cluster,
        version: int,
        value: bytes,
        reply_loss: float,
        send_twice: bool = False,
        first_node: SimulatedControlPlaneNode | None = None,
        timeout_ns: int = OPERATOR_TIMEOUT_NS,
    ) -> None:
        self.version, self.value = version, value
        self.acknowledged_ns: int | None = None
        self.reply_loss = reply_loss
        self._cluster = cluster
        self._submitted_ns, self._timeout_ns = cluster.now, timeout_ns
        self._last_node: SimulatedControlPlaneNode | None = None
        self._committed = self._rejected = False
        self._backoff_ns = INITIAL_BACKOFF_NS
        cluster.checker.counts.orders += 1
        for _ in range(2 if send_twice else 1):
            self.attempt(first_node)

    def attempt(self, first_node: SimulatedControlPlaneNode | None = None) -> None:
        """Send the update to a node, if possible not to the node of the previous attempt."""
        cluster = self._cluster
        if self.is_finished() or cluster.now - self._submitted_ns > self._timeout_ns:
            return
        voters = cluster.voters()
        others = [node for node in voters if node is not self._last_node] or voters
        self._last_node = node = first_node or cluster.random.choice(others)
        attempt = UpdateAttempt(self, cluster, node)
        attempt.send()

    def is_finished(self) -> bool:
        """Return whether the operator has received a final answer."""
        return self.acknowledged_ns is not None or self._rejected

    def next_backoff_ns(self) -> int:
        """Increase the backoff and return it with jitter."""
        self._backoff_ns = min(MAX_BACKOFF_NS, self._backoff_ns * 3 // 2)
        return int(self._backoff_ns * self._cluster.random.uniform(0.5, 1))

    def on_outcome(self, node: SimulatedControlPlaneNode, outcome: object) -> None:
        """Pass a node's outcome to the checker, whether or not the reply reaches the operator."""
        checker = self._cluster.checker
        if isinstance(outcome, Committed):
            checker.on_acknowledged(self.version, self.value, node)
            self._note_first_commit()
        elif isinstance(outcome, Conflict):
            checker.on_conflict(self.version, self.value, node)

    def on_answer(self, outcome: object) -> None:
        """Record an outcome that has reached the operator."""
        if isinstance(outcome, Conflict):
            self._rejected = True
        elif isinstance(outcome, Committed) and self.acknowledged_ns is None:
            self.acknowledged_ns = self._cluster.now
            self._cluster.checker.counts.acked += 1

    def _note_first_commit(self) -> None:
        cluster, counts = self._cluster, self._cluster.checker.counts
        was_calm = cluster.last_fault_ns + FAULT_FREE_BEFORE_TIMING_NS < self._submitted_ns
        if not self._committed and not cluster.fault_active and was_calm:
            latency_ms = (cluster.now - self._submitted_ns) // MS
            counts.slowest_ack_ms = max(counts.slowest_ack_ms, latency_ms)
        self._committed = True


class UpdateAttempt:
    """One attempt to send an update to a node, up to its answer or timeout."""

    def __init__(self, update: OperatorUpdate, cluster: Cluster, node: SimulatedControlPlaneNode) -> None:
        self._update, self._cluster, self._node = update, cluster, node
        self._is_waiting = True

    def send(self) -> None:
        """Send the update; a timeout schedules another attempt."""
        update, node, scheduler = self._update, self._node, self._cluster.scheduler
        if not node.up:
            scheduler.call_later(MS, self._retry)
            return
        scheduler.call_later(ATTEMPT_TIMEOUT_NS, self._retry)
        submit = partial(node.submit, update.version, update.value, self._on_outcome)
        delay_ns = self._cluster.random.randrange(MS, 4 * MS)
        scheduler.call_later(delay_ns, partial(node.deliver, node.incarnation, submit))

    def _retry(self) -> None:
        if self._is_waiting:
            self._is_waiting = False
            self._cluster.scheduler.call_later(self._update.next_backoff_ns(), self._update.attempt)

    def _on_outcome(self, outcome: object) -> None:
        self._update.on_outcome(self._node, outcome)
        if self._cluster.random.random() < self._update.reply_loss:
            return
        self._update.on_answer(outcome)
        if self._update.is_finished():
            self._is_waiting = False
        else:
            self._retry()
