"""Long work in turns with the event loop, which is never held for more than a few milliseconds.

No thread: all threads of a process share one interpreter lock and, on the users' machines, one core, and a
call into a library may hold that lock for as long as it takes.
"""

from __future__ import annotations

import asyncio
import time
from contextlib import nullcontext
from dataclasses import dataclass
from typing import Generic, TypeVar

from meadowworks.runtime.steps import Steps

# Short beside the shortest deadline in use (tens of milliseconds), long beside a step (tens of microseconds).
TIME_SLICE_S = 0.002
T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class _Outcome(Generic[T]):
    """What all steps have come to."""

    value: T


async def run_cooperatively(steps: Steps[T], lock: asyncio.Lock | None = None) -> T:
    """Run all steps, and let the event loop turn after each time slice.

    Work that ends within its first slice never waits, except for the lock.

    :param lock: held from the first step to the last, so that works which need much memory run one by one.
    :returns: the outcome of the last step.
    """
    async with lock or nullcontext():
        while True:
            outcome = _run_slice(steps)
            if outcome is not None:
                return outcome.value
            await asyncio.sleep(0)


def _run_slice(steps: Steps[T]) -> _Outcome[T] | None:
    """Run steps for one time slice.

    :returns: None if there are further steps.
    """
    end = time.monotonic() + TIME_SLICE_S
    try:
        while time.monotonic() < end:
            next(steps)
    except StopIteration as finished:
        return _Outcome(finished.value)
    return None
