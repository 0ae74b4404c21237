"""Liveness: runs on which an obligation stays pending for ever, under weak fairness.

Weak fairness: a set of steps that could be taken from some time on without a break is taken at last. A run
that breaks a liveness property rests in a pending state where no fair step can be taken, or ends in a
strongly connected component of the pending states that allows, for each fair set, either a step of it inside,
or a state in which none of it can be taken; and any such component holds such a run, which goes all over it.
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
    """The steps that leave pending states, by fingerprints, and which properties are pending in each state.

    Row by row, `sources`, `targets` and `steps` hold a step's two states and its number; `pending` maps a
    state to the indices of the liveness properties that are pending in it.
    """

    sources: array[int] = field(default_factory=lambda: array("Q"))
    targets: array[int] = field(default_factory=lambda: array("Q"))
    steps: array[int] = field(default_factory=lambda: array("Q"))
    pending: dict[int, list[int]] = field(default_factory=dict)

    def mark_pending(self, fingerprint: int, properties: list[int]) -> None:
        """Note which properties are pending in a state, before its steps are added."""
        self.pending[fingerprint] = properties

    def add(self, source: int, target: int, step: int) -> None:
        """Add a step if it leaves a pending state."""
        if source in self.pending:
            self.sources.append(source)
            self.targets.append(target)
            self.steps.append(step)

    def merge(self, other: PendingGraph, step_numbers: Mapping[int, int]) -> None:
        """Add another shard's graph; `step_numbers` maps its numbers of steps to the own ones."""
        self.sources.extend(other.sources)
        self.targets.extend(other.targets)
        if other.steps:
            table = np.zeros(max(step_numbers) + 1, dtype=np.uint64)
            table[list(step_numbers)] = list(step_numbers.values())
            self.steps.frombytes(table[np.frombuffer(other.steps, dtype=np.uint64)].tobytes())
        self.pending.update(other.pending)


@dataclass(frozen=True, slots=True)
class LivenessViolation:
    """A state that a run can reach, and the numbers of the steps of a cycle that it may repeat from there.

    Without steps the run may rest in the state, as no fair step can be taken there.
    """

    fingerprint: int
    cycle: tuple[int, ...]


@dataclass(slots=True)
class _PropertyGraph:
    """The states in which one property is pending, sorted by fingerprint, and the steps that leave them.

    States go by index here. `stays` tells of each step whether it leads to another such state
    (else its target means nothing), `in_fair_set` per fair set whether the step belongs to it.
    """

    states: Indices
    sources: Indices
    targets: Indices
    steps: Indices
    stays: Mask
    in_fair_set: list[Mask]

    def enabled_fair_sets(self) -> Mask:
        """Tell for each fair set (row) and state (column) whether a step of the set can be taken."""
        enabled = np.zeros((len(self.in_fair_set), len(self.states)), dtype=bool)
        for row, of_set in enumerate(self.in_fair_set):
            enabled[row, self.sources[of_set]] = True
        return enabled


def find_liveness_violation(
    graph: PendingGraph,
    property_index: int,
    fair_sets: Sequence[frozenset[int]],
    depth_of: Callable[[int], int],
) -> LivenessViolation | None:
    """Find a run on which a property stays pending for ever, the one that begins nearest to a start.

    :param fair_sets: the numbers of the steps of each fair set.
    :param depth_of: gives a state's distance from the start, by its fingerprint.
    :returns: None if each run answers at last.
    """
    own = _graph_of_property(graph, property_index, fair_sets)
    if not len(own.states):
        return None

    def nearest(candidates: Indices) -> int:
        return min(
            (int(index) for index in candidates),
            key=lambda index: (depth_of(int(own.states[index])), int(own.states[index])),
        )

    enabled = own.enabled_fair_sets()
    resting = np.flatnonzero(~enabled.any(axis=0))
    if resting.size:
        return LivenessViolation(int(own.states[nearest(resting)]), ())
    component = _strongly_connected_components(own)
    broken = _broken_components(own, component, enabled)
    if not broken.any():
        return None
    start = nearest(np.flatnonzero(broken[component]))
    inside = (
        own.stays
        & (component[own.sources] == component[start])
        & (component[own.targets] == component[start])
    )
    columns = (own.sources[inside].tolist(), own.targets[inside].tolist(), own.steps[inside].tolist())
    return LivenessViolation(
        int(own.states[start]), tuple(shortest_cycle(list(zip(*columns, strict=True)), start))
    )


def _graph_of_property(
    graph: PendingGraph, property_index: int, fair_sets: Sequence[frozenset[int]]
) -> _PropertyGraph:
    pending = sorted(state for state, properties in graph.pending.items() if property_index in properties)
    states = np.array(pending, dtype=np.uint64)
    if not len(states):
        nothing = np.zeros(0, dtype=np.int64)
        return _PropertyGraph(states, nothing, nothing, nothing, np.zeros(0, dtype=bool), [])
    sources, leaves = locate(states, graph.sources)
    targets, stays = locate(states, graph.targets)
    steps = np.frombuffer(graph.steps, dtype=np.uint64)[leaves]
    in_fair_set = [np.isin(steps, np.array(sorted(numbers), dtype=np.uint64)) for numbers in fair_sets]
    return _PropertyGraph(states, sources[leaves], targets[leaves], steps, stays[leaves], in_fair_set)


def locate(fingerprints: Indices, wanted: array[int]) -> tuple[Indices, Mask]:
    """Return the index of each wanted one among sorted fingerprints, and whether it is there at all."""
    found = np.frombuffer(wanted, dtype=np.uint64) if wanted else np.zeros(0, dtype=np.uint64)
    indices = np.minimum(np.searchsorted(fingerprints, found), len(fingerprints) - 1)
    return indices, fingerprints[indices] == found


def _strongly_connected_components(own: _PropertyGraph) -> Indices:
    """Return the number of the component of each state."""
    sources, targets = own.sources[own.stays], own.targets[own.stays]
    size = len(own.states)
    matrix = coo_matrix((np.ones(len(sources), dtype=np.int8), (sources, targets)), shape=(size, size))
    _, component = connected_components(matrix, directed=True, connection="strong")
    labels: Indices = component
    return labels


def _broken_components(own: _PropertyGraph, component: Indices, enabled: Mask) -> Mask:
    """Tell of each component whether a run can stay in it for ever without being unfair."""
    count = int(component.max()) + 1
    inside = own.stays & (component[own.sources] == component[own.targets])
    broken = np.zeros(count, dtype=bool)
    broken[component[own.sources[inside]]] = True
    for row, of_set in enumerate(own.in_fair_set):
        is_taken, is_disabled = np.zeros(count, dtype=bool), np.zeros(count, dtype=bool)
        is_taken[component[own.sources[inside & of_set]]] = True
        is_disabled[component[~enabled[row]]] = True
        broken &= is_taken | is_disabled
    return broken


def shortest_cycle(edges: Sequence[tuple[int, int, int]], start: int) -> list[int]:
    """Return the steps of a shortest way from a state back to it; edges are source, target and step."""
    outgoing: dict[int, list[tuple[int, int]]] = {}
    for source, target, step in edges:
        outgoing.setdefault(source, []).append((target, step))
    queue = deque([start])
    reached_by: dict[int, tuple[int, int]] = {}  # the state before, and the step from it
    while queue:
        state = queue.popleft()
        for target, step in outgoing.get(state, ()):
            if target == start:
                return _steps_back(reached_by, state, start, [step])
            if target not in reached_by:
                reached_by[target] = state, step
                queue.append(target)
    return []


def _steps_back(
    reached_by: Mapping[int, tuple[int, int]], state: int, start: int, steps: list[int]
) -> list[int]:
    while state != start:
        state, step = reached_by[state]
        steps.append(step)
    return steps[::-1]
