"""The clock of the node whose code runs, for product modules that read the monotonic clock."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from unittest import mock

from meadowworks.controlplane import leader_calls, leader_duties, replicated_state

Clock = Callable[[], int]
_clocks: list[Clock] = []


@contextmanager
def running_with(clock: Clock) -> Iterator[None]:
    """Make a clock the one that `now_ns` reads within the context."""
    _clocks.append(clock)
    try:
        yield
    finally:
        _clocks.pop()


def now_ns() -> int:
    """Return the time of the node whose code runs."""
    return _clocks[-1]()


@contextmanager
def simulated_clocks() -> Iterator[None]:
    """Let the product's coordination modules read the clocks of simulated nodes."""
    with ExitStack() as stack:
        for module in (leader_calls, leader_duties, replicated_state):
            stack.enter_context(mock.patch.object(module, "now_ns", now_ns))
        yield
