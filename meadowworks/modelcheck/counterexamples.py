"""Paths to broken properties, read out of an explored shard."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from meadowworks.modelcheck.liveness import find_liveness_violation
from meadowworks.modelcheck.model import Counterexample, Model, Step, reported_properties
from meadowworks.modelcheck.shard import NO_PARENT, Shard, Violation


def path_to(shard: Shard, fingerprint: int, steps: Sequence[Step]) -> tuple[int, tuple[Step, ...]]:
    """Return the index of the start, and the steps that lead from it to a state."""
    path: list[Step] = []
    while True:
        parent, step_number = shard.visited[fingerprint]
        if parent == NO_PARENT:
            return step_number, tuple(reversed(path))
        path.append(steps[step_number])
        fingerprint = parent


def shortest_counterexamples(model: Model, shard: Shard) -> list[Counterexample]:
    """Return the shortest path to each broken property, by the properties' names.

    Of equally short paths it is the first by start, then by the text of the steps.
    """
    steps = list(shard.step_numbers)
    descriptions = dict(reported_properties(model))
    shortest: dict[str, Counterexample] = {}
    for violation in shard.violations:
        start_index, path = _path_of_violation(shard, violation, steps)
        name = violation.property_name
        found = Counterexample(name, descriptions[name], start_index, path, (), violation.reason)
        if name not in shortest or _order(found) < _order(shortest[name]):
            shortest[name] = found
    return [shortest[name] for name in sorted(shortest)]


def _path_of_violation(
    shard: Shard, violation: Violation, steps: Sequence[Step]
) -> tuple[int, tuple[Step, ...]]:
    if violation.parent == NO_PARENT:
        return violation.step_number, ()
    start_index, path = path_to(shard, violation.parent, steps)
    return start_index, (*path, steps[violation.step_number])


def _order(found: Counterexample) -> tuple[int, int, str]:
    return len(found.steps), found.start_index, repr(found.steps)


def liveness_counterexamples(model: Model, shard: Shard) -> list[Counterexample]:
    """Return a path and a cycle for each liveness property that a run can leave unanswered for ever."""
    steps = list(shard.step_numbers)
    depth_of = depth_lookup(shard)
    found = []
    for index, live in enumerate(model.liveness):
        fair_sets = [
            frozenset(n for n, step in enumerate(steps) if is_fair(step)) for is_fair in live.fair_steps
        ]
        run = find_liveness_violation(shard.pending_graph, index, fair_sets, depth_of)
        if run is None:
            continue
        start_index, path = path_to(shard, run.fingerprint, steps)
        cycle = tuple(steps[number] for number in run.cycle)
        reason = "then for ever" if cycle else "then nothing more need happen"
        found.append(Counterexample(live.name, live.description, start_index, path, cycle, reason))
    return found


def depth_lookup(shard: Shard) -> Callable[[int], int]:
    """Return a function that gives a state's distance from its start, by the state's fingerprint."""
    depths: dict[int, int] = {NO_PARENT: -1}

    def depth_of(fingerprint: int) -> int:
        ancestors = []
        known = fingerprint
        while known not in depths:
            ancestors.append(known)
            known = shard.visited[known][0]
        for depth, ancestor in enumerate(reversed(ancestors), depths[known] + 1):
            depths[ancestor] = depth
        return depths[fingerprint]

    return depth_of
