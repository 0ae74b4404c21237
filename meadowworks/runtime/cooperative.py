"""Cooperative execution of long computations, which block the event loop for at most a few milliseconds.

Threads are not used: they share the interpreter lock and, on the target machines, one core, and a call into a
library may hold the lock until it returns.
"""

from __future__ import annotations

import asyncio
import time
from contextlib import nullcontext
from dataclasses import dataclass
from typing import Generic, TypeVar

from meadowworks.runtime.steps import Steps

# Much shorter than the shortest deadline in use (tens of milliseconds), much longer than a step (tens of
# microseconds).
TIME_SLICE_S = 0.002
T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class _Outcome(Generic[T]):
    """The result of completed steps, which may itself be None."""

    value: T


async def run_cooperatively(steps: Steps[T], lock: asyncio.Lock | None = None) -> T:
    """Run all steps, and yield to the event loop after each time slice.

    A computation that ends within its first slice does not yield, except while it waits for the lock.

    :param lock: held from first to last step, so that memory-intensive computations run one at a time.
    :returns: the result of the computation.
    """
    async with lock or nullcontext():
        while True:
            outcome = _run_slice(steps)
            if outcome is not None:
                return outcome.value
            await asyncio.sleep(0)


def _run_slice(steps: Steps[T]) -> _Outcome[T] | None:
    """Run steps for one time slice.

    :returns: the outcome, or None if steps remain.
    """
    end = time.monotonic() + TIME_SLICE_S
    try:
        while time.monotonic() < end:
            next(steps)
    except StopIteration as finished:
        return _Outcome(finished.value)
    return None
