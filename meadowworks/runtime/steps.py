"""Work cut into steps, so that whoever drives it may do something else between two of them.

A generator yields after each step and returns its outcome. It does no I/O and reads no clock: tools run it at
once by `run_to_completion`, the programs in turns with their event loop by `runtime.cooperative`.
"""

from __future__ import annotations

from collections.abc import Generator
from typing import TypeVar

T = TypeVar("T")
Steps = Generator[None, None, T]


def run_to_completion(steps: Steps[T]) -> T:
    """Run all steps one after the other.

    :returns: the outcome of the last step.
    """
    while True:
        try:
            next(steps)
        except StopIteration as finished:
            return finished.value  # type: ignore[no-any-return]
