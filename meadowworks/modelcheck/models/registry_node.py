"""The backend registry of a control-plane node, wired as in ``controlplane.server``.

The models of gossip and of the registry, and the tests of the drain log, run it without a clock, a network
or a disk: time does not advance, and the caller transfers deltas and performs writes.
"""

from __future__ import annotations

from typing import Any

from meadowworks.gossip.updates import MAX_TOMBSTONES, KeyUpdate, SourceDelta, UpdateStore
from meadowworks.registry.backends import BackendDirectory
from meadowworks.registry.drain_log import DrainLog
from meadowworks.registry.heartbeats import MAX_REGISTRATIONS, HeartbeatRegistry

HEARTBEAT_MS = 1000
BACKEND_DETAILS = {"svc": "s", "zone": "z", "capacity": 2, "ver": "v"}


def heartbeat_document(state: str, sequence: int) -> dict[str, Any]:
    """Return a heartbeat as a backend sends it."""
    status = {"state": state, "calls": sequence, "warmupMs": 0}
    return {"addr": "h:1", "details": BACKEND_DETAILS, "status": status}


class RegistryNode:
    """The updates, backends and drains of one process.

    :ivar source_id: the incarnation, which is also the source id of its updates.
    :ivar now_ns: the time that the drain log receives.
    """

    def __init__(
        self,
        source_id: str,
        max_tombstones: int = MAX_TOMBSTONES,
        max_registrations: int = MAX_REGISTRATIONS,
    ) -> None:
        self.source_id = source_id
        self.now_ns = 0
        self.updates = UpdateStore(source_id, max_tombstones)
        self.directory = BackendDirectory(_zero, _zero)
        self.drain_log = DrainLog(source_id)
        self.updates.update_listeners += [self.directory.on_update, self._on_update]
        self.updates.version_listeners.append(self.drain_log.on_version)
        self.heartbeats = HeartbeatRegistry(
            self.updates.publish, HEARTBEAT_MS, self.drain_log.state, self.is_known, max_registrations
        )

    def is_known(self, instance_id: str) -> bool:
        """Return whether any node has reported an instance, or the drain log has a record of it."""
        return self.directory.is_reported(instance_id) or instance_id in self.drain_log.records

    def deltas_for(self, requester: RegistryNode) -> tuple[SourceDelta, ...]:
        """Return the deltas that another node lacks, as in the reply to its pull."""
        return tuple(
            self.updates.deltas_since(requester.updates.remote_version_vector(), requester.source_id)
        )

    def acknowledge_drains(self, host: str, source: str, to: RegistryNode) -> None:
        """Acknowledge to another node the drains of one of its incarnations that are on this disk."""
        to.drain_log.on_acknowledgement(host, *self.drain_log.acknowledgement(source))

    def _on_update(self, update: KeyUpdate) -> None:
        self.drain_log.on_update(self.now_ns, update)


def _zero(*_: Any) -> int:
    """Replace the clock and the silence of every source: time does not advance."""
    return 0
