"""State shared by the machines of a scenario: time, network, random numbers and the checker."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from meadowworks.simulation.control.network import SimulatedNetwork
from meadowworks.simulation.event_scheduler import SECOND, EventScheduler

if TYPE_CHECKING:
    from meadowworks.simulation.control.invariants import InvariantChecker
    from meadowworks.simulation.control.node import SimulatedControlPlaneNode

Trace = Callable[[str], None]


class Cluster:
    """The control planes of a scenario and their environment.

    The scenario draws `tolerated_failures` and `write_failure_rate`. `fault_active` is set while a machine
    or link is faulty; `last_fault_ns` is the time at which the latest fault began or ended. `attach_service`
    is called with each node whose process starts and takes part in the replicated log; if it is None, there
    is no log.
    """

    def __init__(self, seed: int, trace: Trace | None) -> None:
        self.random = random.Random(seed)
        self.scheduler = EventScheduler()
        self.network = SimulatedNetwork(self.scheduler, random.Random(seed + 1))
        self.nodes: dict[str, SimulatedControlPlaneNode] = {}  # by address
        self.seed_addresses = tuple(f"10.0.0.{number}" for number in range(1, 4))
        self.tolerated_failures = 1
        self.write_failure_rate = 0.0
        self.fault_active = False
        self.last_fault_ns = 0
        self.attach_service: Callable[[SimulatedControlPlaneNode], None] | None = None
        self.checker: InvariantChecker  # set by the scenario
        self._trace = trace

    @property
    def now(self) -> int:
        """The simulated time in nanoseconds."""
        return self.scheduler.now

    def voters(self) -> list[SimulatedControlPlaneNode]:
        """Return the voting machines that are not removed, whether or not they are up."""
        return [node for node in self.nodes.values() if node.voting and not node.removed]

    def mark_fault(self) -> None:
        """Record that a fault begins or ends now."""
        self.last_fault_ns = self.now

    def log(self, source: str, text: str) -> None:
        """Write a line with the simulated time to the trace, if there is one."""
        if self._trace is not None:
            self._trace(f"{self.now / SECOND:9.4f} {source:10} {text}")
