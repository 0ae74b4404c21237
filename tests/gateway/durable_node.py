"""The registry of a control-plane node with a disk whose writes the test triggers."""

from __future__ import annotations

from typing import Any

from meadowworks.modelcheck.models.registry_node import RegistryNode
from meadowworks.registry.heartbeats import CallAccepted, CallOutcome


def heartbeat(state: str = "up", sequence: int = 1, **fields: Any) -> dict[str, Any]:
    """Return a heartbeat document; `fields` replace its top-level fields."""
    return {
        "addr": "10.0.0.9:80",
        "details": {"svc": "s", "ver": "v1", "zone": "north", "capacity": 2},
        "status": {"state": state, "calls": sequence, "warmupMs": 0},
        **fields,
    }


class DurableNode(RegistryNode):
    """A registry of at most four instances; `rows` is the content of its disk."""

    def __init__(self, host: str, incarnation: int = 1, rows: dict[str, Any] | None = None) -> None:
        super().__init__(f"{host}.{incarnation}", max_registrations=4)
        self.host = host
        self.rows: dict[str, Any] = dict(rows or {})
        self.drain_log.restore(0, self.rows)
        self.heartbeats.restore(0, self.rows)

    def write_all(self) -> None:
        """Write batches until no write is pending."""
        while batch := self.drain_log.next_batch():
            rows = {**self.rows, **batch.rows}
            self.rows = {key: value for key, value in rows.items() if key not in batch.deleted}
            self.drain_log.on_written()

    def pull(self, other: RegistryNode, reply: bool = True) -> None:
        """Pull from a node and acknowledge its drains; without `reply`, the reply is lost."""
        self.acknowledge_drains(self.host, other.source_id, other)
        if reply:
            for delta in other.deltas_for(self):
                self.updates.apply(0, delta)

    def is_replicated(
        self,
        outcome: CallOutcome,
        voters: tuple[str, ...] = ("b",),
        tolerated_failures: int = 1,
        is_voter: bool = True,
    ) -> bool:
        """Return whether the call with this outcome may be acknowledged."""
        assert isinstance(outcome, CallAccepted)
        assert outcome.version
        return self.drain_log.is_replicated(outcome.version, voters, tolerated_failures, is_voter)
