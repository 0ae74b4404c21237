"""The states that one process owns during an exploration, and the violations found in them.

A visited state is stored as the 64-bit fingerprint of its key, with the fingerprint of its parent and the
step from there. Frozen worlds are stored only for the frontier. Two keys with the same fingerprint would hide
a state: for n states the probability is about n * n / 2**65, or 3e-8 for a million states.
"""

from __future__ import annotations

import marshal
import traceback
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from xxhash import xxh3_64_intdigest

from meadowworks.modelcheck.liveness import PendingGraph
from meadowworks.modelcheck.model import NO_DEADLOCK, NO_EXCEPTION, Model, Property, Step, World

MARSHAL_VERSION = 2  # later versions write back references, which differ between equal values
NO_PARENT = 0  # parent fingerprint of initial states


def compute_fingerprint(key: Any) -> int:
    """Return a 64-bit hash of a state's key that is never `NO_PARENT`."""
    return xxh3_64_intdigest(marshal.dumps(key, MARSHAL_VERSION)) or 1


@dataclass(slots=True)
class DiscoveredState:
    """A reached state with its parent, the step from the parent and the frozen world.

    For an initial state, `parent` is `NO_PARENT` and `step_number` the index of the initial world.
    """

    fingerprint: int
    parent: int
    step_number: int
    frozen_world: Any


@dataclass(slots=True)
class Violation:
    """A violated property; `parent` and `step_number` are those of `DiscoveredState`."""

    property_name: str
    parent: int
    step_number: int
    reason: str = ""


@dataclass(slots=True)
class Shard:
    """The states whose fingerprints are assigned to one process.

    `visited` maps the fingerprint of a state to that of its parent and the number of the step from there;
    `start_indices` selects initial worlds (empty: all); `depth` is the number of steps from the initial
    states to the frontier.
    """

    model: Model
    visited: dict[int, tuple[int, int]] = field(default_factory=dict)
    frontier: list[tuple[int, Any]] = field(default_factory=list)
    step_numbers: dict[Step, int] = field(default_factory=dict)
    transitions: int = 0
    violations: list[Violation] = field(default_factory=list)
    pending_graph: PendingGraph = field(default_factory=PendingGraph)
    metrics: dict[str, float] = field(default_factory=dict)
    start_indices: tuple[int, ...] = ()
    depth: int = 0

    def step_number(self, step: Step) -> int:
        """Return the number of a step; assign the next one to a new step."""
        return self.step_numbers.setdefault(step, len(self.step_numbers))

    def initial_states(self) -> list[DiscoveredState]:
        """Return the model's initial states, limited to `start_indices` if given."""
        worlds = self.model.initial_worlds()
        initial_states = []
        for index in range(len(worlds)):
            if not self.start_indices or index in self.start_indices:
                world = worlds[index]
                initial_states.append(
                    DiscoveredState(compute_fingerprint(world.key()), NO_PARENT, index, world.freeze())
                )
        return initial_states

    def add_states(self, states: Sequence[DiscoveredState]) -> None:
        """Add states of this shard to the frontier unless they are visited already."""
        for state in states:
            if state.fingerprint not in self.visited:
                self.visited[state.fingerprint] = state.parent, state.step_number
                self.frontier.append((state.fingerprint, state.frozen_world))

    def expand(self) -> list[DiscoveredState]:
        """Take every enabled step of the frontier's states and return the new states, each once."""
        frontier, self.frontier = self.frontier, []
        discovered: dict[int, DiscoveredState] = {}
        is_last_level = 0 < self.model.max_depth <= self.depth  # its states are checked but not expanded
        self.depth += 1
        state_properties = self.model.properties_on("state")
        step_properties = self.model.properties_on("step")
        for fingerprint, frozen_world in frontier:
            world = self.model.thaw(frozen_world)
            self._check_state(world, fingerprint, state_properties)
            if is_last_level:
                continue
            steps = list(world.enabled())
            if not steps:
                self._check_end(world, fingerprint)
            for index, step in enumerate(steps):
                if index:  # the first step reuses the world that returned the steps
                    world = self.model.thaw(frozen_world)
                self._take_step(world, step, fingerprint, step_properties, discovered)
        return list(discovered.values())

    def _take_step(
        self,
        world: World,
        step: Step,
        parent: int,
        step_properties: Sequence[Property],
        discovered: dict[int, DiscoveredState],
    ) -> None:
        number = self.step_number(step)
        self.transitions += 1
        try:
            world.take_step(step)
            key = world.key()
        except Exception as error:  # any exception of a step is a violation
            self.violations.append(Violation(NO_EXCEPTION, parent, number, describe_error(error)))
            return
        for prop in step_properties:
            if not prop.holds(world):
                self.violations.append(Violation(prop.name, parent, number))
        fingerprint = compute_fingerprint(key)
        if self.model.liveness:
            self.pending_graph.add(parent, fingerprint, number)
        if fingerprint not in discovered and fingerprint not in self.visited:
            discovered[fingerprint] = DiscoveredState(fingerprint, parent, number, world.freeze())

    def _check_state(self, world: World, fingerprint: int, properties: Sequence[Property]) -> None:
        parent, step_number = self.visited[fingerprint]
        for prop in properties:
            if not prop.holds(world):
                self.violations.append(Violation(prop.name, parent, step_number))
        if self.model.metrics:
            update_maxima(self.metrics, self.model.metrics(world))
        pending = [index for index, prop in enumerate(self.model.liveness) if prop.is_pending(world)]
        if pending:
            self.pending_graph.mark_pending(fingerprint, pending)

    def _check_end(self, world: World, fingerprint: int) -> None:
        parent, step_number = self.visited[fingerprint]
        if not self.model.may_terminate(world):
            self.violations.append(Violation(NO_DEADLOCK, parent, step_number))
        for prop in self.model.properties_on("end"):
            if not prop.holds(world):
                self.violations.append(Violation(prop.name, parent, step_number))


def update_maxima(metrics: dict[str, float], measured: Mapping[str, float]) -> None:
    """Update each metric to the maximum of its value and the measured one."""
    for name, value in measured.items():
        metrics[name] = max(value, metrics.get(name, value))


def describe_error(error: Exception) -> str:
    """Return the type and text of an exception with the function and line that raised it."""
    raised_at = traceback.extract_tb(error.__traceback__)[-1]
    return f"{type(error).__name__}: {error} ({raised_at.name}, line {raised_at.lineno})"
