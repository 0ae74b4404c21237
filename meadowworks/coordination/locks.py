"""The table of held locks. A lock that nobody holds takes no memory."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, Self

from meadowworks.coordination.commands import AcquireLock, ExpireLock, ReleaseLock, RenewLock
from meadowworks.coordination.record_codec import FieldCodec, checked_list
from meadowworks.coordination.results import (
    Done,
    Hold,
    LockGranted,
    LockLost,
    LockRefused,
    LockReleased,
    LockRenewed,
    TooManyNames,
)

# All releases that run together must have the same limit, or their states would differ.
MAX_HELD_LOCKS = 65_536

_HOLD_CODEC = FieldCodec(Hold)


class LockTable:
    """The holds by lock name, in the order of their grants.

    A fence is the log index of its grant, so fences rise without a memory of earlier holds. An owner that
    acquires its lock again gets a new fence, and only that one releases the lock. This prevents a late copy
    of an earlier release from freeing a lock that its owner has acquired again.
    """

    def __init__(self) -> None:
        self._holds: dict[str, Hold] = {}

    def __len__(self) -> int:
        return len(self._holds)

    def holds(self) -> tuple[Hold, ...]:
        """Return all holds in the order of their grants."""
        return tuple(self._holds.values())

    def hold(self, name: str) -> Hold | None:
        """Return the hold of a lock, or None if nobody holds it."""
        return self._holds.get(name)

    def acquire(self, index: int, command: AcquireLock) -> LockGranted | LockRefused | TooManyNames:
        """Grant a lock that nobody holds, or extend the hold of the same owner under a new fence."""
        hold = self._holds.get(command.name)
        if hold is None:
            return self._grant(index, command)
        if hold.owner != command.owner:
            return LockRefused()
        first_fence = hold.first_fence or hold.fence
        self._extend(index, replace(hold, fence=index, first_fence=first_fence), command.hold_ms)
        return LockGranted(index)

    def renew(self, index: int, command: RenewLock) -> LockRenewed | LockLost:
        """Extend the hold of this owner, if the fence is one that was returned for the hold."""
        hold = self._holds.get(command.name)
        if hold is None or hold.owner != command.owner:
            return LockLost()
        if not (hold.first_fence or hold.fence) <= command.fence <= hold.fence:
            return LockLost()
        self._extend(index, hold, command.hold_ms)
        return LockRenewed()

    def release(self, command: ReleaseLock) -> LockReleased:
        """Remove the hold of this owner if it has this fence, the latest one."""
        hold = self._holds.get(command.name)
        if hold is not None and hold.owner == command.owner and hold.fence == command.fence:
            del self._holds[command.name]
        return LockReleased()

    def expire(self, command: ExpireLock) -> Done:
        """Remove the hold unless it was granted or extended at another log index."""
        hold = self._holds.get(command.name)
        if hold is not None and hold.extended_at == command.extended_at:
            del self._holds[command.name]
        return Done()

    def _grant(self, index: int, command: AcquireLock) -> LockGranted | TooManyNames:
        if len(self._holds) >= MAX_HELD_LOCKS:
            return TooManyNames()
        self._holds[command.name] = Hold(
            command.name, command.owner, fence=index, hold_ms=command.hold_ms, extended_at=index
        )
        return LockGranted(index)

    def _extend(self, index: int, hold: Hold, hold_ms: int) -> None:
        # Prevents a late copy of an earlier call from shortening what the holder relies on.
        longest_ms = max(hold.hold_ms, hold_ms)
        self._holds[hold.name] = replace(hold, hold_ms=longest_ms, extended_at=index)

    def to_plain(self) -> list[Any]:
        """Return the table as plain values for msgpack."""
        return [_HOLD_CODEC.to_list(hold) for hold in self._holds.values()]

    @classmethod
    def from_plain(cls, raw: Any) -> Self:
        """Return the table that `to_plain` listed.

        :raises ValueError, TypeError: if `raw` is not a table.
        """
        table = cls()
        holds = [_HOLD_CODEC.from_list(row) for row in checked_list(raw)]
        table._holds = {hold.name: hold for hold in holds}
        return table
