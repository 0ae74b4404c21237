"""What the machines of a scenario share: time, network, chance and those who watch."""

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
    """The control planes of a scenario and their surroundings.

    `tolerated_failures` and `write_failure_rate` are drawn by the scenario. `fault_active` says that a
    machine or link is in trouble, `last_fault_ns` when the newest fault began or ended.
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
        self.checker: InvariantChecker  # set by the scenario, which it watches
        self._trace = trace

    @property
    def now(self) -> int:
        """The simulated time in nanoseconds."""
        return self.scheduler.now

    def voters(self) -> list[SimulatedControlPlaneNode]:
        """Return the machines that vote, or would if they were up."""
        return [node for node in self.nodes.values() if node.voting and not node.removed]

    def mark_fault(self) -> None:
        """Note that a fault begins or ends now."""
        self.last_fault_ns = self.now

    def log(self, source: str, text: str) -> None:
        """Tell those who follow the scenario what happens."""
        if self._trace is not None:
            self._trace(f"{self.now / SECOND:9.4f} {source:10} {text}")
