"""Computations divided into steps, so that the caller can do other work between them.

A generator yields after each step and returns the result. It does no I/O and reads no clock. Tools run all
steps at once with `run_to_completion`; the programs use `runtime.cooperative` to interleave other tasks.
"""

from __future__ import annotations

from collections.abc import Generator
from typing import TypeVar

T = TypeVar("T")
Steps = Generator[None, None, T]


def run_to_completion(steps: Steps[T]) -> T:
    """Run all steps without interruption.

    :returns: the result of the computation.
    """
    while True:
        try:
            next(steps)
        except StopIteration as finished:
            return finished.value  # type: ignore[no-any-return]
