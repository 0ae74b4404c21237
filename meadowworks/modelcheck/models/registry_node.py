"""The part of a control-plane node that knows of backends, wired as in ``controlplane.server``.

The models of gossip and of the registry, and the tests of the drain log, run it without a clock, a network
or a disk: time stands still, and the caller carries deltas and writes.
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
    """Returns a heartbeat as a backend sends it."""
    status = {"state": state, "calls": sequence, "warmupMs": 0}
    return {"addr": "h:1", "details": BACKEND_DETAILS, "status": status}


class RegistryNode:
    """What one process holds of updates, backends and drains.

    :ivar source_id: its incarnation, and the source under which it publishes.
    :ivar now_ns: its clock, as far as the drain log is concerned.
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
        """Returns whether any node has reported an instance."""
        return self.directory.is_reported(instance_id) or instance_id in self.drain_log.records

    def deltas_for(self, requester: RegistryNode) -> tuple[SourceDelta, ...]:
        """Returns what another node lacks, as the reply to its pull carries it."""
        return tuple(
            self.updates.deltas_since(requester.updates.remote_version_vector(), requester.source_id)
        )

    def acknowledge_drains(self, host: str, source: str, to: RegistryNode) -> None:
        """Tells another node, with a pull, which drains of one of its incarnations are on this disk."""
        to.drain_log.on_acknowledgement(host, *self.drain_log.acknowledgement(source))

    def _on_update(self, update: KeyUpdate) -> None:
        self.drain_log.on_update(self.now_ns, update)


def _zero(*_: Any) -> int:
    """Stands for the clock and for every source's silence: no time goes by."""
    return 0
