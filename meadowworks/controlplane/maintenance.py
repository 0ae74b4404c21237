"""The periodic work of a node: heartbeats, expiry, load reports, and storing the live backends."""

from __future__ import annotations

from meadowworks.controlplane.node import ControlPlaneNode
from meadowworks.gossip import messages
from meadowworks.runtime import logging as logs
from meadowworks.runtime.clock import now_ns

INTERVAL_S = 1.0  # peers and proxies consider a source dead after several seconds of silence
SUMMARY_INTERVAL_TICKS = 10  # ticks between two summary lines in the log
TICK_KEY = "pulse"  # published with each tick to show that the source is alive
log = logs.get_logger("control-plane")


class Maintenance:
    """Runs the periodic work of a node."""

    def __init__(self, node: ControlPlaneNode) -> None:
        self._node = node
        self._ticks = 0

    async def run(self) -> None:
        """Run one round of the periodic work.

        :raises sqlite3.Error: the backends couldn't be stored; the next round tries again.
        """
        self.tick()
        await self._store_backends()

    def tick(self) -> None:
        """Run the part of the work that doesn't wait for the disk."""
        node, now = self._node, now_ns()
        node.cluster.tick(now)
        node.heartbeats.tick(now)
        node.cluster.backends.refresh_all()
        node.drain_log.tick(now, node.cluster.backends.is_draining_or_gone, node.cluster.updates.sources)
        node.drain_service.start_pending_write()
        node.cluster.backends.changed_ids.clear()  # only proxies read this set; prevents unbounded growth
        self._ticks += 1
        if self._ticks % SUMMARY_INTERVAL_TICKS == 0:
            self._log_summary()
        node.cluster.updates.publish(TICK_KEY, self._ticks)
        node.zone_loads.publish(now)

    async def _store_backends(self) -> None:
        """Store the live backends if their ids have changed, to restore them after all nodes were stopped."""
        node, values = self._node, self._node.heartbeats.durable_values()
        if values.keys() != node.stored_backend_ids:
            await node.store.save_backends(
                {backend_id: messages.encode(value) for backend_id, value in values.items()}
            )
            node.stored_backend_ids = set(values)

    def _log_summary(self) -> None:
        node = self._node
        log.info(
            "node_state",
            lease="held" if node.holds_lease() else "NOT_held",
            peers=len(node.cluster.peers.peers),
            registrations=len(node.heartbeats.registrations),
            backends=len(node.cluster.backends.instances),
        )
