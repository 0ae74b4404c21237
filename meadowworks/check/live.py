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


@dataclass(slots=True)
class Edges:
    """Steps from state to state by fingerprint, and which states wait for what."""

    sources: array[int] = field(default_factory=lambda: array("Q"))
    targets: array[int] = field(default_factory=lambda: array("Q"))
    steps: array[int] = field(default_factory=lambda: array("L"))
    waits: dict[int, list[int]] = field(default_factory=dict)

    def waiting(self, mark: int, what: list[int]) -> None:
        self.waits[mark] = what

    def add(self, source: int, target: int, step: int) -> None:
        if source in self.waits:
            self.sources.append(source)
            self.targets.append(target)
            self.steps.append(step)

    def join(self, other: Edges, names: Mapping[int, int]) -> None:
        """Takes in another's, whose steps are numbered otherwise."""
        self.sources.extend(other.sources)
        self.targets.extend(other.targets)
        self.steps.extend(names[step] for step in other.steps)
        self.waits.update(other.waits)


def never_answered(
    edges: Edges, what: int, fair: Sequence[frozenset[int]], far: Callable[[int], int]
) -> tuple[int, list[int]] | None:
    """A state and the steps of a cycle from it on which `what` is owed for ever; no steps where a run may
    rest there, no fair step being possible; nothing if there is none. `far` gives a state's distance
    from the start: the nearest such state is told."""
    import numpy as np
    from scipy.sparse import coo_matrix  # type: ignore[import-untyped]
    from scipy.sparse.csgraph import connected_components  # type: ignore[import-untyped]

    waiting = sorted((mark for mark, owed in edges.waits.items() if what in owed), key=lambda m: (far(m), m))
    if not waiting:
        return None
    place = {mark: k for k, mark in enumerate(waiting)}
    can: list[set[int]] = [set() for _ in waiting]  # the fair sets of which a step can be taken
    inner: list[tuple[int, int, int]] = []
    for source, target, step in zip(edges.sources, edges.targets, edges.steps, strict=True):
        here = place.get(source)
        if here is None:
            continue
        can[here].update(k for k, names in enumerate(fair) if step in names)
        if (there := place.get(target)) is not None:
            inner.append((here, there, step))
    for here, sets in enumerate(can):
        if not sets:
            return waiting[here], []
    if not inner:
        return None
    size = len(waiting)
    rows, columns = (np.fromiter((edge[k] for edge in inner), dtype=np.int64) for k in (0, 1))
    graph = coo_matrix((np.ones(len(inner), dtype=np.int8), (rows, columns)), shape=(size, size))
    _, part = connected_components(graph, directed=True, connection="strong")
    taken: dict[int, set[int]] = {}  # by part: the steps inside it
    for here, there, step in inner:
        if part[here] == part[there]:
            taken.setdefault(int(part[here]), set()).add(step)
    for name in sorted(taken, key=lambda name: min(np.flatnonzero(part == name))):
        members = [int(k) for k in np.flatnonzero(part == name)]
        if all(taken[name] & names or any(k not in can[m] for m in members) for k, names in enumerate(fair)):
            return waiting[members[0]], cycle(
                [e for e in inner if part[e[0]] == part[e[1]] == name], members[0]
            )
    return None


def cycle(edges: Sequence[tuple[int, int, int]], start: int) -> list[int]:
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
