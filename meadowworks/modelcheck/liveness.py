"""Liveness checking: finds runs on which an obligation stays pending forever, under weak fairness.

Weak fairness: if from some time on some step of a fair set is enabled in every state, a step of the set is
eventually taken. A run violates a liveness property in one of two ways. It stops in a pending state in which
no fair step is enabled, or it eventually stays in a strongly connected component of the pending states in
which, for each fair set, a step of the set stays inside the component or the set is disabled in some state.
Every such component contains a violating run: one that visits all its states and takes all its steps
infinitely often.
"""

from __future__ import annotations

from array import array
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import numpy as np
from numpy.typing import NDArray
from scipy.sparse import coo_matrix  # type: ignore[import-untyped]
from scipy.sparse.csgraph import connected_components  # type: ignore[import-untyped]

Indices = NDArray[Any]
Mask = NDArray[np.bool_]


@dataclass(slots=True)
class PendingGraph:
    """The transitions out of pending states, with states given by fingerprint.

    `sources`, `targets` and `steps` are parallel arrays: the two states of a transition and the number of its
    step. `pending` maps a state to the indices of the liveness properties that are pending in it.
    """

    sources: array[int] = field(default_factory=lambda: array("Q"))
    targets: array[int] = field(default_factory=lambda: array("Q"))
    steps: array[int] = field(default_factory=lambda: array("Q"))
    pending: dict[int, list[int]] = field(default_factory=dict)

    def mark_pending(self, fingerprint: int, properties: list[int]) -> None:
        """Record the properties that are pending in a state; call this before adding its transitions."""
        self.pending[fingerprint] = properties

    def add(self, source: int, target: int, step: int) -> None:
        """Add a transition if its source is a pending state."""
        if source in self.pending:
            self.sources.append(source)
            self.targets.append(target)
            self.steps.append(step)

    def merge(self, other: PendingGraph, step_numbers: Mapping[int, int]) -> None:
        """Add another shard's graph; `step_numbers` maps its step numbers to those of this graph."""
        self.sources.extend(other.sources)
        self.targets.extend(other.targets)
        if other.steps:
            table = np.zeros(max(step_numbers) + 1, dtype=np.uint64)
            table[list(step_numbers)] = list(step_numbers.values())
            self.steps.frombytes(table[np.frombuffer(other.steps, dtype=np.uint64)].tobytes())
        self.pending.update(other.pending)


@dataclass(frozen=True, slots=True)
class LivenessViolation:
    """A reachable state from which a property may stay pending forever.

    `cycle` holds the numbers of the steps that can repeat from the state. It is empty if the run can stop in
    the state, because no fair step is enabled there.
    """

    fingerprint: int
    cycle: tuple[int, ...]


@dataclass(slots=True)
class _PropertyGraph:
    """The states in which one property is pending, sorted by fingerprint, and the transitions out of them.

    `sources` and `targets` are indices into `states`. `stays_pending` marks the transitions that lead to
    one of these states; the target of any other transition is meaningless. `in_fair_set` holds one mask
    over the transitions for each fair set.
    """

    states: Indices
    sources: Indices
    targets: Indices
    steps: Indices
    stays_pending: Mask
    in_fair_set: list[Mask]

    def enabled_fair_sets(self) -> Mask:
        """Return, for each fair set (row) and state (column), whether a step of the set is enabled."""
        enabled = np.zeros((len(self.in_fair_set), len(self.states)), dtype=bool)
        for row, fair_mask in enumerate(self.in_fair_set):
            enabled[row, self.sources[fair_mask]] = True
        return enabled


def find_liveness_violation(
    graph: PendingGraph,
    property_index: int,
    fair_sets: Sequence[frozenset[int]],
    depth_of: Callable[[int], int],
) -> LivenessViolation | None:
    """Find a run on which a property stays pending forever; prefer one nearest to an initial state.

    :param fair_sets: the step numbers of each fair set.
    :param depth_of: returns the distance of a state from its initial state, by fingerprint.
    :returns: None if the property holds on every run.
    """
    property_graph = _build_property_graph(graph, property_index, fair_sets)
    if not len(property_graph.states):
        return None

    def nearest_to_start(candidates: Indices) -> int:
        return min(
            (int(index) for index in candidates),
            key=lambda index: (
                depth_of(int(property_graph.states[index])),
                int(property_graph.states[index]),
            ),
        )

    enabled = property_graph.enabled_fair_sets()
    stopped = np.flatnonzero(~enabled.any(axis=0))
    if stopped.size:
        return LivenessViolation(int(property_graph.states[nearest_to_start(stopped)]), ())
    component = _strongly_connected_components(property_graph)
    violating = _violating_components(property_graph, component, enabled)
    if not violating.any():
        return None
    start = nearest_to_start(np.flatnonzero(violating[component]))
    inside = (
        property_graph.stays_pending
        & (component[property_graph.sources] == component[start])
        & (component[property_graph.targets] == component[start])
    )
    edge_columns = (
        property_graph.sources[inside].tolist(),
        property_graph.targets[inside].tolist(),
        property_graph.steps[inside].tolist(),
    )
    return LivenessViolation(
        int(property_graph.states[start]), tuple(shortest_cycle(list(zip(*edge_columns, strict=True)), start))
    )


def _build_property_graph(
    graph: PendingGraph, property_index: int, fair_sets: Sequence[frozenset[int]]
) -> _PropertyGraph:
    pending = sorted(state for state, properties in graph.pending.items() if property_index in properties)
    states = np.array(pending, dtype=np.uint64)
    if not len(states):
        no_transitions = np.zeros(0, dtype=np.int64)
        return _PropertyGraph(
            states, no_transitions, no_transitions, no_transitions, np.zeros(0, dtype=bool), []
        )
    sources, leaves_pending = locate(states, graph.sources)
    targets, stays_pending = locate(states, graph.targets)
    steps = np.frombuffer(graph.steps, dtype=np.uint64)[leaves_pending]
    in_fair_set = [np.isin(steps, np.array(sorted(numbers), dtype=np.uint64)) for numbers in fair_sets]
    return _PropertyGraph(
        states,
        sources[leaves_pending],
        targets[leaves_pending],
        steps,
        stays_pending[leaves_pending],
        in_fair_set,
    )


def locate(fingerprints: Indices, wanted: array[int]) -> tuple[Indices, Mask]:
    """Return the index of each wanted fingerprint among sorted fingerprints, and a mask of those present."""
    wanted_array = np.frombuffer(wanted, dtype=np.uint64) if wanted else np.zeros(0, dtype=np.uint64)
    indices = np.minimum(np.searchsorted(fingerprints, wanted_array), len(fingerprints) - 1)
    return indices, fingerprints[indices] == wanted_array


def _strongly_connected_components(graph: _PropertyGraph) -> Indices:
    """Return the component number of each state."""
    sources, targets = graph.sources[graph.stays_pending], graph.targets[graph.stays_pending]
    size = len(graph.states)
    matrix = coo_matrix((np.ones(len(sources), dtype=np.int8), (sources, targets)), shape=(size, size))
    _, component = connected_components(matrix, directed=True, connection="strong")
    labels: Indices = component
    return labels


def _violating_components(graph: _PropertyGraph, component: Indices, enabled: Mask) -> Mask:
    """Return, for each component, whether a fair run can stay in it forever."""
    count = int(component.max()) + 1
    inside = graph.stays_pending & (component[graph.sources] == component[graph.targets])
    violating = np.zeros(count, dtype=bool)
    violating[component[graph.sources[inside]]] = True
    for row, fair_mask in enumerate(graph.in_fair_set):
        is_taken, is_disabled = np.zeros(count, dtype=bool), np.zeros(count, dtype=bool)
        is_taken[component[graph.sources[inside & fair_mask]]] = True
        is_disabled[component[~enabled[row]]] = True
        violating &= is_taken | is_disabled
    return violating


def shortest_cycle(edges: Sequence[tuple[int, int, int]], start: int) -> list[int]:
    """Return the steps of a shortest cycle through `start`; edges are (source, target, step number)."""
    outgoing: dict[int, list[tuple[int, int]]] = {}
    for source, target, step in edges:
        outgoing.setdefault(source, []).append((target, step))
    queue = deque([start])
    reached_by: dict[int, tuple[int, int]] = {}  # predecessor and the step from it
    while queue:
        state = queue.popleft()
        for target, step in outgoing.get(state, ()):
            if target == start:
                return _trace_back(reached_by, state, start, [step])
            if target not in reached_by:
                reached_by[target] = state, step
                queue.append(target)
    return []


def _trace_back(
    reached_by: Mapping[int, tuple[int, int]], state: int, start: int, steps: list[int]
) -> list[int]:
    while state != start:
        state, step = reached_by[state]
        steps.append(step)
    return steps[::-1]
