"""Bounds the bytes of request and response bodies that a proxy holds for all its clients together."""

from __future__ import annotations

from types import TracebackType


class MemoryBudget:
    """At most `limit_bytes` at a time: guards against many large bodies at once."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes, self.reserved_bytes = limit_bytes, 0

    def reserve(self, size: int) -> bool:
        """Whether `size` more bytes may be held; they are counted if so."""
        if self.reserved_bytes + size > self.limit_bytes:
            return False
        self.reserved_bytes += size
        return True

    def release(self, size: int) -> None:
        """Give back bytes that were reserved."""
        self.reserved_bytes -= size


class MemoryReservation:
    """What one request holds of a budget; a context manager that gives it back.

    What is reserved afterwards, by an attempt that has outlasted its request, is given back by another
    `release`.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget, self.reserved_bytes = budget, 0

    def __enter__(self) -> MemoryReservation:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.release()

    def reserve(self, size: int) -> bool:
        """Whether `size` more bytes may be held for this request; they are counted if so."""
        if not self.budget.reserve(size):
            return False
        self.reserved_bytes += size
        return True

    def release(self) -> None:
        """Give back all that this request holds."""
        reserved, self.reserved_bytes = self.reserved_bytes, 0
        self.budget.release(reserved)
