"""A caller that closes a run: it checks that one thing is available again."""

from __future__ import annotations

import random
from collections.abc import Sequence

from meadowworks.coordination.commands import AcquireLock, IssueNumber, ReleaseLock
from meadowworks.coordination.results import LockGranted, LockRefused
from meadowworks.simulation.coordination.caller import (
    RETRY_PAUSE_NS,
    Caller,
    CallerStep,
    MakeCall,
    Pause,
    Stop,
)
from meadowworks.simulation.coordination.history import (
    Arguments,
    Call,
    ReadCellCall,
    WatchGroupCall,
    is_in_doubt,
    is_turned_away,
)


class ClosingCaller(Caller):
    """Repeats one call until it is answered, and releases the lock if it got one."""

    def __init__(
        self,
        name: str,
        addresses: Sequence[str],
        rng: random.Random,
        calls: list[Call],
        arguments: AcquireLock | IssueNumber | ReadCellCall | WatchGroupCall,
    ) -> None:
        super().__init__(name, addresses, rng, calls)
        self._next_arguments: Arguments | None = arguments
        self._next_ns = 0

    def next_step(self, now_ns: int) -> CallerStep:
        """Make the call unless it has been answered."""
        if self._next_arguments is None:
            return Stop()
        if now_ns < self._next_ns:
            return Pause(self._next_ns)
        return MakeCall(self._next_arguments)

    def on_outcome(self, now_ns: int, call: Call) -> None:
        """Prepare the next call."""
        self._next_ns = now_ns + RETRY_PAUSE_NS
        match call.arguments, call.outcome:
            case AcquireLock(name=name, owner=owner), LockGranted(fence):
                self._next_arguments = ReleaseLock(name, owner, fence)
            case _, LockRefused():
                return
            case _, outcome if not (is_in_doubt(outcome) or is_turned_away(outcome)):
                self._next_arguments = None
