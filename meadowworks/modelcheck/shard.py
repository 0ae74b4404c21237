"""The states that one process owns during an exploration, and what was found in them.

A state is kept as a 64-bit fingerprint of its key, with the fingerprint and step that led to it; whole worlds
are kept only while they wait to be expanded. Two keys with one fingerprint would hide a state: with n states
the chance is about n * n / 2**65, 3e-8 for a million.
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

MARSHAL_VERSION = 2  # the last format without back references, which depend on more than the value
NO_PARENT = 0  # stands for the parent's fingerprint of a start


def compute_fingerprint(key: Any) -> int:
    """Hash the key of a state to 64 bits, never `NO_PARENT`."""
    return xxh3_64_intdigest(marshal.dumps(key, MARSHAL_VERSION)) or 1


@dataclass(slots=True)
class DiscoveredState:
    """A state that was reached: from which state, by which step, and the frozen world.

    For a start, `parent` is `NO_PARENT` and `step_number` the index of the start.
    """

    fingerprint: int
    parent: int
    step_number: int
    frozen_world: Any


@dataclass(slots=True)
class Violation:
    """A property broken by the step from a parent, or at a start, numbered as in `DiscoveredState`."""

    property_name: str
    parent: int
    step_number: int
    reason: str = ""


@dataclass(slots=True)
class Shard:
    """The states whose fingerprints fall to one process.

    `visited` maps a fingerprint to those of the parent and the step's number; `start_indices` limits the
    starts (empty: all); `depth` counts the steps from the starts to the frontier.
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
        """Return the number of a step, a new one if it has none yet."""
        return self.step_numbers.setdefault(step, len(self.step_numbers))

    def initial_states(self) -> list[DiscoveredState]:
        """Return the model's starts, or those of `start_indices`."""
        found = []
        for index, world in enumerate(self.model.initial_worlds()):
            if not self.start_indices or index in self.start_indices:
                found.append(
                    DiscoveredState(compute_fingerprint(world.key()), NO_PARENT, index, world.freeze())
                )
        return found

    def add_states(self, states: Sequence[DiscoveredState]) -> None:
        """Put states that fall to this shard on the frontier, those that are visited already aside."""
        for state in states:
            if state.fingerprint not in self.visited:
                self.visited[state.fingerprint] = state.parent, state.step_number
                self.frontier.append((state.fingerprint, state.frozen_world))

    def expand(self) -> list[DiscoveredState]:
        """Take every step from the frontier and return the states that they lead to, each once."""
        frontier, self.frontier = self.frontier, []
        found: dict[int, DiscoveredState] = {}
        is_last_level = 0 < self.model.max_depth <= self.depth  # checked, and not gone on from
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
                if index:  # the world that was asked for its steps takes the first of them
                    world = self.model.thaw(frozen_world)
                self._take_step(world, step, fingerprint, step_properties, found)
        return list(found.values())

    def _take_step(
        self,
        world: World,
        step: Step,
        parent: int,
        step_properties: Sequence[Property],
        found: dict[int, DiscoveredState],
    ) -> None:
        number = self.step_number(step)
        self.transitions += 1
        try:
            world.take_step(step)
            key = world.key()
        except Exception as error:  # whatever a step raises is a violation to report
            self.violations.append(Violation(NO_EXCEPTION, parent, number, describe_error(error)))
            return
        for prop in step_properties:
            if not prop.holds(world):
                self.violations.append(Violation(prop.name, parent, number))
        fingerprint = compute_fingerprint(key)
        if self.model.liveness:
            self.pending_graph.add(parent, fingerprint, number)
        if fingerprint not in found and fingerprint not in self.visited:
            found[fingerprint] = DiscoveredState(fingerprint, parent, number, world.freeze())

    def _check_state(self, world: World, fingerprint: int, properties: Sequence[Property]) -> None:
        parent, step_number = self.visited[fingerprint]
        for prop in properties:
            if not prop.holds(world):
                self.violations.append(Violation(prop.name, parent, step_number))
        if self.model.metrics:
            update_maxima(self.metrics, self.model.metrics(world))
        pending = [index for index, live in enumerate(self.model.liveness) if live.is_pending(world)]
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
    """Raise each metric to the value that was measured, if that is greater."""
    for name, value in measured.items():
        metrics[name] = max(value, metrics.get(name, value))


def describe_error(error: Exception) -> str:
    """Say what was raised, in which function and line."""
    raised_at = traceback.extract_tb(error.__traceback__)[-1]
    return f"{type(error).__name__}: {error} ({raised_at.name}, line {raised_at.lineno})"
