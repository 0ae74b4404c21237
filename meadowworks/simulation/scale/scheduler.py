"""Simulated time for a deployment: events, and nodes that process their work one item at a time."""

from __future__ import annotations

import heapq
import resource
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from meadowworks.simulation.event_scheduler import SECOND, Callback, EventScheduler
from meadowworks.simulation.scale.resource_meter import ResourceMeter

START_NS = 1000 * SECOND  # not 0, which stands for "never" in some fields
CHECK_INTERVAL_S = 2.0  # real time between reports of progress and checks of memory


class MemoryLimitError(Exception):
    """The process uses more memory than its limit."""


def peak_mb() -> float:
    """Return the peak memory of this process in MB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


@dataclass(slots=True, eq=False)
class SimulatedNode:
    """A machine that processes its work in order of arrival, one item at a time.

    `unreachable` has the names of nodes that did not answer, to which a new connection must be made.
    """

    name: str
    zone: str
    meter: ResourceMeter = field(default_factory=ResourceMeter)
    work: deque[Callback] = field(default_factory=deque)
    is_busy: bool = False
    incarnation: int = 0
    unreachable: set[str] = field(default_factory=set)


class WorkScheduler(EventScheduler):
    """Runs events, and the work of nodes, whose duration is its processor time.

    :param count_cpu: whether processor time takes simulated time.
    :param max_mb: the memory limit of the process.
    """

    def __init__(self, count_cpu: bool, max_mb: float, progress: Callable[[str], None]) -> None:
        super().__init__()
        self.now = START_NS
        self.powered_off: set[str] = set()  # names of nodes
        self._count_cpu, self._max_mb, self._progress = count_cpu, max_mb, progress
        self._outbox: list[tuple[int, Callback]] | None = None  # actions scheduled by the current work

    def call_after_work(self, wait_ns: int, action: Callback) -> None:
        """Call an action after a delay, which starts at the end of the current work if there is one."""
        if self._outbox is None:
            self.call_later(wait_ns, action)
        else:
            self._outbox.append((wait_ns, action))

    def enqueue(self, node: SimulatedNode, action: Callback) -> None:
        """Add an action to a node's work."""
        node.work.append(action)
        if not node.is_busy:
            self._work_on_next(node)

    def _work_on_next(self, node: SimulatedNode) -> None:
        if node.name in self.powered_off:
            node.work.clear()
        if not node.work:
            node.is_busy = False
            return
        node.is_busy = True
        action = node.work.popleft()
        outbox: list[tuple[int, Callback]] = []
        self._outbox = outbox
        node.meter.work_ns = 0
        action()
        spent_ns = node.meter.take_work_ns()
        duration_ns = spent_ns if self._count_cpu else 0
        self._outbox = None
        for wait_ns, scheduled in outbox:
            self.call_later(duration_ns + wait_ns, scheduled)
        self.call_later(duration_ns, lambda: self._work_on_next(node))

    def run_until(self, until_ns: int, report_progress: bool = False) -> None:
        """Run all events up to and including a time, and advance the clock to it.

        :param report_progress: whether to report the remaining time periodically.
        :raises MemoryLimitError: when the process uses more memory than its limit.
        """
        last_check_s = time.monotonic()
        while self.events and self.events[0][0] <= until_ns:
            self.now, _, action = heapq.heappop(self.events)
            action()
            if time.monotonic() - last_check_s > CHECK_INTERVAL_S:
                last_check_s = time.monotonic()
                if report_progress:
                    self._progress(f"{(until_ns - self.now) / SECOND:.1f} simulated seconds to go")
                if peak_mb() > self._max_mb:
                    raise MemoryLimitError
        self.now = until_ns
