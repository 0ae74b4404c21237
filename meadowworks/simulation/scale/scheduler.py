"""Simulated time for a deployment: events, and nodes that work on one thing at a time."""

from __future__ import annotations

import heapq
import resource
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from meadowworks.simulation.event_scheduler import SECOND, Callback, EventScheduler
from meadowworks.simulation.scale.resource_meter import ResourceMeter

START_NS = 1000 * SECOND  # away from 0, which stands for "never" in places
LOOK_EVERY_S = 2.0  # by the clock: progress is told and memory is looked at


class MemoryLimitError(Exception):
    """The run has taken more memory than it may."""


def peak_mb() -> float:
    """Return the most memory that this process has taken, in MB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


@dataclass(slots=True, eq=False)
class SimulatedNode:
    """A machine that works on one thing at a time, in the order in which work comes.

    `unreachable` names the nodes that gave no answer, to which a connection must be made first.
    """

    name: str
    zone: str
    meter: ResourceMeter = field(default_factory=ResourceMeter)
    work: deque[Callback] = field(default_factory=deque)
    busy: bool = False
    incarnation: int = 0
    unreachable: set[str] = field(default_factory=set)


class WorkScheduler(EventScheduler):
    """Events, and work of nodes that takes as long as its processor time.

    :param count_cpu: whether processor time delays what comes after it.
    :param max_mb: the most memory that the process may take.
    """

    def __init__(self, count_cpu: bool, max_mb: float, progress: Callable[[str], None]) -> None:
        super().__init__()
        self.now = START_NS
        self.powered_off: set[str] = set()  # names of nodes
        self._count_cpu, self._max_mb, self._progress = count_cpu, max_mb, progress
        self._outbox: list[tuple[int, Callback]] | None = None  # what the work at hand has scheduled

    def call_after_work(self, wait_ns: int, action: Callback) -> None:
        """Call an action later; from within a node's work, the time counts from when that work is done."""
        if self._outbox is None:
            self.call_later(wait_ns, action)
        else:
            self._outbox.append((wait_ns, action))

    def enqueue(self, node: SimulatedNode, action: Callback) -> None:
        """Give a node something to work on."""
        node.work.append(action)
        if not node.busy:
            self._work_on_next(node)

    def _work_on_next(self, node: SimulatedNode) -> None:
        if node.name in self.powered_off:
            node.work.clear()
        if not node.work:
            node.busy = False
            return
        node.busy = True
        action = node.work.popleft()
        outbox: list[tuple[int, Callback]] = []
        self._outbox = outbox
        node.meter.turn_ns = 0
        action()
        spent_ns = node.meter.take_turn_ns()
        took_ns = spent_ns if self._count_cpu else 0
        self._outbox = None
        for wait_ns, scheduled in outbox:
            self.call_later(took_ns + wait_ns, scheduled)
        self.call_later(took_ns, lambda: self._work_on_next(node))

    def run_until(self, until_ns: int, announce: bool = False) -> None:
        """Play what happens up to a time, and say from time to time how much is left if it is announced.

        :raises MemoryLimitError: when the process has taken too much memory.
        """
        looked_s = time.monotonic()
        while self.events and self.events[0][0] <= until_ns:
            self.now, _, action = heapq.heappop(self.events)
            action()
            if time.monotonic() - looked_s > LOOK_EVERY_S:
                looked_s = time.monotonic()
                if announce:
                    self._progress(f"{(until_ns - self.now) / SECOND:.1f} simulated seconds to go")
                if peak_mb() > self._max_mb:
                    raise MemoryLimitError
        self.now = until_ns
