"""What is owed for ever: cycles of states that never answer, under stated fairness.

Fairness here is weak: a set of steps that could be taken from some time on without a break is taken at last.
A run that breaks a liveness property rests in a waiting state where no fair step can be taken, or ends in a
strongly connected part of the waiting states that allows, for each fair set, either a step of it inside, or a
state in which none of it can be taken; and any such part holds such a run, which goes all over it.
"""

from __future__ import annotations

from array import array
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import numpy as np
from scipy.sparse import coo_matrix  # type: ignore[import-untyped]
from scipy.sparse.csgraph import connected_components  # type: ignore[import-untyped]


@dataclass(slots=True)
class PendingGraph:
    """Steps from state to state by fingerprint, and which states wait for what."""

    sources: array[int] = field(default_factory=lambda: array("Q"))
    targets: array[int] = field(default_factory=lambda: array("Q"))
    steps: array[int] = field(default_factory=lambda: array("Q"))
    pending: dict[int, list[int]] = field(default_factory=dict)

    def mark_pending(self, fingerprint: int, properties: list[int]) -> None:
        self.pending[fingerprint] = properties

    def add(self, source: int, target: int, step: int) -> None:
        if source in self.pending:
            self.sources.append(source)
            self.targets.append(target)
            self.steps.append(step)

    def merge(self, other: PendingGraph, step_numbers: Mapping[int, int]) -> None:
        """Takes in another's, whose steps are numbered otherwise."""
        self.sources.extend(other.sources)
        self.targets.extend(other.targets)
        if other.steps:
            table = np.zeros(max(step_numbers) + 1, dtype=np.uint64)
            table[list(step_numbers)] = list(step_numbers.values())
            self.steps.frombytes(table[np.frombuffer(other.steps, dtype=np.uint64)].tobytes())
        self.pending.update(other.pending)


def find_unanswered_run(
    graph: PendingGraph,
    property_index: int,
    fair_sets: Sequence[frozenset[int]],
    depth_of: Callable[[int], int],
) -> tuple[int, list[int]] | None:
    """A state and the steps of a cycle from it on which `what` is owed for ever; no steps where a run may
    rest there, no fair step being possible; nothing if there is none. `far` gives a state's distance from the
    start: the nearest such state is told."""
    waiting = np.array(
        sorted(mark for mark, owed in graph.pending.items() if property_index in owed), dtype=np.uint64
    )
    size = len(waiting)
    if not size:
        return None
    here, from_waiting = locate(waiting, graph.sources)
    there, to_waiting = locate(waiting, graph.targets)
    there, to_waiting = there[from_waiting], to_waiting[from_waiting]
    here, steps = here[from_waiting], np.frombuffer(graph.steps, dtype=np.uint64)[from_waiting]
    of_set = [np.isin(steps, np.array(sorted(names), dtype=np.uint64)) for names in fair_sets]
    can = np.zeros((len(fair_sets), size), dtype=bool)  # the fair sets of which a step can be taken, by state
    for k, mask in enumerate(of_set):
        can[k, here[mask]] = True

    def nearest(candidates: Any) -> int:
        return min((int(k) for k in candidates), key=lambda k: (depth_of(int(waiting[k])), int(waiting[k])))

    if (rests := np.flatnonzero(~can.any(axis=0))).size:
        return int(waiting[nearest(rests)]), []
    here, there, steps = here[to_waiting], there[to_waiting], steps[to_waiting]
    graph = coo_matrix((np.ones(len(here), dtype=np.int8), (here, there)), shape=(size, size))
    count, part = connected_components(graph, directed=True, connection="strong")
    inside = part[here] == part[there]
    broken = np.zeros(count, dtype=bool)
    broken[part[here[inside]]] = True
    for k, mask in enumerate(of_set):
        taken, lacks = np.zeros(count, dtype=bool), np.zeros(count, dtype=bool)
        taken[part[here[inside & mask[to_waiting]]]] = True
        lacks[part[~can[k]]] = True
        broken &= taken | lacks
    if not broken.any():
        return None
    start = nearest(np.flatnonzero(broken[part]))
    mine = inside & (part[here] == part[start])
    loop = zip(here[mine].tolist(), there[mine].tolist(), steps[mine].tolist(), strict=True)
    return int(waiting[start]), shortest_cycle(list(loop), start)


def locate(fingerprints: Any, wanted: array[int]) -> tuple[Any, Any]:
    """Where each of the marks stands among the sorted ones, and whether it does."""
    found = np.frombuffer(wanted, dtype=np.uint64) if wanted else np.zeros(0, dtype=np.uint64)
    at = np.minimum(np.searchsorted(fingerprints, found), len(fingerprints) - 1)
    return at, fingerprints[at] == found


def shortest_cycle(edges: Sequence[tuple[int, int, int]], start: int) -> list[int]:
    """The steps of a shortest way from a state back to it."""
    out: dict[int, list[tuple[int, int]]] = {}
    for here, there, step in edges:
        out.setdefault(here, []).append((there, step))
    queue, came = deque([start]), dict[int, tuple[int, int]]()
    while queue:
        here = queue.popleft()
        for there, step in out.get(here, ()):
            if there == start:
                taken = [step]
                while here != start:
                    here, step = came[here]
                    taken.append(step)
                return taken[::-1]
            if there not in came:
                came[there] = here, step
                queue.append(there)
    return []
