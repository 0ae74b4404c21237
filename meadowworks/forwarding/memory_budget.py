"""How many bytes of bodies and answers a junction holds for all its clients together."""

from __future__ import annotations


class MemoryBudget:
    """`most` bytes. Guards against many large bodies at once, each within its own bound."""

    def __init__(self, most: int) -> None:
        self.limit_bytes, self.reserved_bytes = most, 0

    def reserve(self, size: int) -> bool:
        """Whether so many bytes more may be held; they are counted if so."""
        if self.reserved_bytes + size > self.limit_bytes:
            return False
        self.reserved_bytes += size
        return True

    def release(self, size: int) -> None:
        self.reserved_bytes -= size


class MemoryReservation:
    """What one request holds of a room: given back as a whole, and again if more has been taken since."""

    def __init__(self, room: MemoryBudget) -> None:
        self.budget, self.reserved_bytes = room, 0

    def reserve(self, size: int) -> bool:
        if not self.budget.reserve(size):
            return False
        self.reserved_bytes += size
        return True

    def release(self) -> None:
        held, self.reserved_bytes = self.reserved_bytes, 0
        self.budget.release(held)
