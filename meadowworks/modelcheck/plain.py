"""The plainest explorer there is, as the baseline: a queue, and every state kept whole by its key."""

from __future__ import annotations

import time
from collections import deque
from typing import Any

from meadowworks.modelcheck.model import Model, Result


def explore_baseline(model: Model, max_states: int = 0) -> Result:
    """Visits every state in one process; counts alone, no paths and no liveness. Raises what a step
    raises."""
    began = time.monotonic()
    seen: dict[Any, None] = {}
    queue: deque[tuple[int, Any]] = deque()
    result = Result(model.name)
    for world in model.initial_worlds():
        seen[world.key()] = None
        queue.append((0, world.freeze()))
    while queue:
        depth, state = queue.popleft()
        result.depth = max(result.depth, depth)
        world = model.thaw(state)
        assert all(p.holds(world) for p in model.properties if p.checked_on == "state")
        for step in list(world.enabled()):
            world = model.thaw(state)
            world.take_step(step)
            result.transitions += 1
            assert all(p.holds(world) for p in model.properties if p.checked_on == "step")
            key = world.key()
            if key not in seen:
                seen[key] = None
                queue.append((depth + 1, world.freeze()))
        if max_states and len(seen) >= max_states:
            result.left_out = f"all beyond {max_states} states"
            break
        if model.max_depth and depth >= model.max_depth:
            result.left_out = f"what takes more than {model.max_depth} steps"
            break
    result.states = len(seen)
    result.seconds = time.monotonic() - began
    return result
