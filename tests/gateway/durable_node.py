"""A control-plane node's registry with a disk that is written by hand."""

from __future__ import annotations

from typing import Any

from meadowworks.modelcheck.models.registry_node import RegistryNode
from meadowworks.registry.heartbeats import CallAccepted, CallOutcome


def heartbeat(state: str = "up", sequence: int = 1, **fields: Any) -> dict[str, Any]:
    """A heartbeat's document; `fields` replace those on its top level."""
    return {
        "addr": "10.0.0.9:80",
        "details": {"svc": "s", "ver": "v1", "zone": "north", "capacity": 2},
        "status": {"state": state, "calls": sequence, "warmupMs": 0},
        **fields,
    }


class DurableNode(RegistryNode):
    """Registers four instances at most. `rows` are what its disk holds, from the start on."""

    def __init__(self, host: str, incarnation: int = 1, rows: dict[str, Any] | None = None) -> None:
        super().__init__(f"{host}.{incarnation}", max_registrations=4)
        self.host = host
        self.rows: dict[str, Any] = dict(rows or {})
        self.drain_log.restore(0, self.rows)
        self.heartbeats.restore(0, self.rows)

    def write_all(self) -> None:
        """Writes until nothing is owed to the disk."""
        while batch := self.drain_log.next_batch():
            rows = {**self.rows, **batch.rows}
            self.rows = {key: value for key, value in rows.items() if key not in batch.deleted}
            self.drain_log.on_written()

    def pull(self, other: RegistryNode, reply: bool = True) -> None:
        """Pulls, with an acknowledgement of the other's present incarnation; the reply may be lost."""
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
        """Whether the call with this outcome may be acknowledged."""
        assert isinstance(outcome, CallAccepted)
        assert outcome.version
        return self.drain_log.is_replicated(outcome.version, voters, tolerated_failures, is_voter)
