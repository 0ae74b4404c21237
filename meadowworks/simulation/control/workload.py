"""The load of a scenario: configuration updates by operators, and reads."""

from __future__ import annotations

from functools import partial

from meadowworks.simulation.control.cluster import Cluster
from meadowworks.simulation.control.node import SimulatedControlPlaneNode
from meadowworks.simulation.control.operator_update import OPERATOR_TIMEOUT_NS, OperatorUpdate
from meadowworks.simulation.event_scheduler import MS, Callback

RECENT_UPDATES = 6  # from which `resend` chooses
READ_GAP_MS = (50, 400)
MillisecondRange = tuple[int, int]  # inclusive minimum, exclusive maximum


class Workload:
    """Sends updates and reads; `highest_version` is the highest version sent so far."""

    def __init__(self, cluster: Cluster) -> None:
        self.updates: list[OperatorUpdate] = []
        self.highest_version = 0
        self._cluster = cluster

    def claim_next_version(self) -> int:
        """Return the next version and count it as sent."""
        self.highest_version += 1
        return self.highest_version

    def create(
        self,
        version: int,
        value: bytes,
        reply_loss: float,
        *,
        send_twice: bool = False,
        first_node: SimulatedControlPlaneNode | None = None,
        timeout_ns: int = OPERATOR_TIMEOUT_NS,
    ) -> OperatorUpdate:
        """Send an update that `resend` does not repeat."""
        self.highest_version = max(self.highest_version, version)
        return OperatorUpdate(self._cluster, version, value, reply_loss, send_twice, first_node, timeout_ns)

    def send(
        self,
        version: int,
        value: bytes,
        reply_loss: float,
        first_node: SimulatedControlPlaneNode | None = None,
    ) -> None:
        """Send an update that `resend` may repeat."""
        self.updates.append(self.create(version, value, reply_loss, first_node=first_node))

    def submit(self, reply_loss: float = 0.05, rival_count: int = 0) -> None:
        """Send an update with a new version and `rival_count` more with that version, some of equal value."""
        rng = self._cluster.random
        version = self.highest_version + rng.choice([1, 1, 1, 2, 5])
        values = [f"{version}-{number}".encode() for number in range(rival_count + 1)]
        for number in range(rival_count + 1):
            value = values[number] if number == 0 or rng.random() < 0.8 else values[0]
            delay_ns = 0 if number == 0 else rng.randrange(50 * MS)
            self._cluster.scheduler.call_later(
                delay_ns, partial(self._send_to_some, version, value, reply_loss)
            )

    def _send_to_some(self, version: int, value: bytes, reply_loss: float) -> None:
        send_twice = self._cluster.random.random() < 0.3
        self.updates.append(self.create(version, value, reply_loss, send_twice=send_twice))

    def resend(self) -> None:
        """Repeat one of the latest updates, whether or not it was acknowledged."""
        if self.updates:
            update = self._cluster.random.choice(self.updates[-RECENT_UPDATES:])
            self._send_to_some(update.version, update.value, 0.2)

    def read_at_random_node(self) -> None:
        """Start a quorum read at a random node, if it is up."""
        node = self._cluster.random.choice(list(self._cluster.nodes.values()))
        if node.up:
            node.deliver(node.incarnation, node.read)

    def repeat(self, start_ns: int, end_ns: int, action: Callback, gap_ms: MillisecondRange) -> None:
        """Run an action repeatedly, with random gaps, between two times."""
        cluster = self._cluster

        def run_once() -> None:
            if cluster.now < end_ns:
                action()
                cluster.scheduler.call_later(cluster.random.randrange(*gap_ms) * MS, run_once)

        cluster.scheduler.call_at(start_ns, run_once)
