"""Extraction of counterexamples from an explored shard."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from meadowworks.modelcheck.liveness import find_liveness_violation
from meadowworks.modelcheck.model import Counterexample, Model, Step, reported_properties
from meadowworks.modelcheck.shard import NO_PARENT, Shard, Violation


def path_to(shard: Shard, fingerprint: int, steps: Sequence[Step]) -> tuple[int, tuple[Step, ...]]:
    """Return the index of the initial world and the steps that lead from it to a state."""
    path: list[Step] = []
    while True:
        parent, step_number = shard.visited[fingerprint]
        if parent == NO_PARENT:
            return step_number, tuple(reversed(path))
        path.append(steps[step_number])
        fingerprint = parent


def shortest_counterexamples(model: Model, shard: Shard) -> list[Counterexample]:
    """Return a shortest counterexample for each violated property, sorted by property name.

    Ties are broken by the index of the initial world, then by the text of the steps.
    """
    steps = list(shard.step_numbers)
    descriptions = dict(reported_properties(model))
    shortest: dict[str, Counterexample] = {}
    for violation in shard.violations:
        start_index, path = _path_of_violation(shard, violation, steps)
        name = violation.property_name
        counterexample = Counterexample(name, descriptions[name], start_index, path, (), violation.reason)
        if name not in shortest or _sort_key(counterexample) < _sort_key(shortest[name]):
            shortest[name] = counterexample
    return [shortest[name] for name in sorted(shortest)]


def _path_of_violation(
    shard: Shard, violation: Violation, steps: Sequence[Step]
) -> tuple[int, tuple[Step, ...]]:
    if violation.parent == NO_PARENT:
        return violation.step_number, ()
    start_index, path = path_to(shard, violation.parent, steps)
    return start_index, (*path, steps[violation.step_number])


def _sort_key(counterexample: Counterexample) -> tuple[int, int, str]:
    return len(counterexample.steps), counterexample.start_index, repr(counterexample.steps)


def liveness_counterexamples(model: Model, shard: Shard) -> list[Counterexample]:
    """Return a path and a cycle for each liveness property that can stay pending forever."""
    steps = list(shard.step_numbers)
    depth_of = depth_lookup(shard)
    counterexamples = []
    for index, prop in enumerate(model.liveness):
        fair_sets = [
            frozenset(n for n, step in enumerate(steps) if is_fair(step)) for is_fair in prop.fair_steps
        ]
        violation = find_liveness_violation(shard.pending_graph, index, fair_sets, depth_of)
        if violation is None:
            continue
        start_index, path = path_to(shard, violation.fingerprint, steps)
        cycle = tuple(steps[number] for number in violation.cycle)
        reason = "then forever" if cycle else "then no fair step is enabled"
        counterexamples.append(Counterexample(prop.name, prop.description, start_index, path, cycle, reason))
    return counterexamples


def depth_lookup(shard: Shard) -> Callable[[int], int]:
    """Return a function that gives the distance of a state from its initial state, by fingerprint."""
    depths: dict[int, int] = {NO_PARENT: -1}

    def depth_of(fingerprint: int) -> int:
        ancestors = []
        ancestor_fingerprint = fingerprint
        while ancestor_fingerprint not in depths:
            ancestors.append(ancestor_fingerprint)
            ancestor_fingerprint = shard.visited[ancestor_fingerprint][0]
        for depth, ancestor in enumerate(reversed(ancestors), depths[ancestor_fingerprint] + 1):
            depths[ancestor] = depth
        return depths[fingerprint]

    return depth_of
