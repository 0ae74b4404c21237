"""A disk of the model, and requests on their way."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.effects import (
    Persist,
    StateUpdate,
)
from meadowworks.consensus.messages import (
    Request,
)
from meadowworks.consensus.metadata import load_acceptor
from meadowworks.consensus.values import (
    NOTHING_COMMITTED,
    AcceptorSlot,
    CommittedValue,
)


@dataclass(slots=True)
class Disk:
    """What is there after a loss of power, and the write that is on its way."""

    metadata: dict[str, Any] | None = None
    committed: CommittedValue = NOTHING_COMMITTED
    history: dict[int, bytes] | None = None
    slots: dict[int, AcceptorSlot] | None = None
    write_in_flight: Persist | None = None

    def save(self, update: StateUpdate) -> None:
        """Makes what a write holds the state of the disk."""
        self.history, self.slots = self.history or {}, self.slots or {}
        if update.metadata is not None:
            self.metadata = dict(update.metadata)
        if update.committed is not None:
            self.committed = update.committed
            self.history = {
                v: d
                for v, d in {**self.history, **update.history}.items()
                if v >= update.oldest_history_version
            }
        for version, slot in update.slots.items():
            if slot is None:
                self.slots.pop(version, None)
            else:
                self.slots[version] = AcceptorSlot(slot.promised, slot.accepted, slot.value)

    def acceptor(self, address: str) -> Acceptor:
        """The acceptor that a process would start with."""
        return load_acceptor(
            self.metadata,
            new_member_id="",
            address=address,
            seeds=(),
            bootstrap=False,
            voting=True,
            committed=self.committed,
            history=self.history,
            slots={v: AcceptorSlot(s.promised, s.accepted, s.value) for v, s in (self.slots or {}).items()},
        )


@dataclass(frozen=True, slots=True)
class RequestInFlight:
    """A request that is on its way."""

    place: int
    incarnation: int
    request_id: int
    destination: int
    request: Request
