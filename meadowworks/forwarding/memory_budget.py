"""Limit on the bytes of request and response bodies that a process buffers for all its clients."""

from __future__ import annotations

from types import TracebackType


class MemoryBudget:
    """Shared budget of `limit_bytes`. Prevents many concurrent large bodies from exhausting the memory."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes, self.reserved_bytes = limit_bytes, 0

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes; return False, with nothing reserved, if they would exceed the limit."""
        if self.reserved_bytes + size > self.limit_bytes:
            return False
        self.reserved_bytes += size
        return True

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self.reserved_bytes -= size


class MemoryReservation:
    """The part of a budget that one request holds; a context manager that releases it on exit.

    An attempt that outlasts its request may reserve more after the exit; another `release` frees that.
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
        """Reserve `size` bytes for this request; return False if they would exceed the budget's limit."""
        if not self.budget.reserve(size):
            return False
        self.reserved_bytes += size
        return True

    def release(self) -> None:
        """Release all bytes that this request holds."""
        reserved, self.reserved_bytes = self.reserved_bytes, 0
        self.budget.release(reserved)
