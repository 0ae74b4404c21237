"""A minimal explorer as a baseline for speed and state counts: one queue and a set of state keys."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Any

from meadowworks.modelcheck.catalog import build_model
from meadowworks.modelcheck.explorer import explore
from meadowworks.modelcheck.model import Model, Result


def explore_baseline(model: Model, max_states: int = 0) -> Result:
    """Visit and count every state in one process, without paths or liveness checking.

    :param max_states: bound on the number of states (0: none).
    :raises AssertionError: if a property is violated, unless Python runs with `-O`.
    :raises Exception: whatever a step raises.
    """
    started_at = time.monotonic()
    visited: set[Hashable] = set()
    queue: deque[tuple[int, Any]] = deque()
    result = Result(model.name)
    for world in model.initial_worlds():
        visited.add(world.key())
        queue.append((0, world.freeze()))
    while queue:
        depth, frozen_world = queue.popleft()
        result.depth = max(result.depth, depth)
        world = model.thaw(frozen_world)
        assert all(prop.holds(world) for prop in model.properties_on("state"))
        for step in list(world.enabled()):
            world = model.thaw(frozen_world)
            world.take_step(step)
            result.transitions += 1
            assert all(prop.holds(world) for prop in model.properties_on("step"))
            key = world.key()
            if key not in visited:
                visited.add(key)
                queue.append((depth + 1, world.freeze()))
        if max_states and len(visited) >= max_states:
            result.left_out = f"all beyond {max_states} states"
            break
        if model.max_depth and depth >= model.max_depth:
            result.left_out = f"states more than {model.max_depth} steps from the start"
            break
    result.states = len(visited)
    result.seconds = time.monotonic() - started_at
    return result


@dataclass(frozen=True, slots=True)
class BaselineComparison:
    """The results of the baseline explorer and of `explore`, in one process and in several, on one model."""

    baseline: Result
    one_process: Result
    several_processes: Result

    @property
    def same_states(self) -> bool:
        """Whether all three explorations visited the same number of states."""
        return self.baseline.states == self.one_process.states == self.several_processes.states


def compare_with_baseline(name: str, workers: int) -> BaselineComparison:
    """Explore a model three times in sequence: with the baseline, one process and several processes.

    :raises UnknownNameError: if there is no such model.
    """
    model = build_model(name, large=False)
    return BaselineComparison(explore_baseline(model), explore(model), explore(model, workers))
