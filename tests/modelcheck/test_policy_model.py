"""Paths of the policy model that are longer than its exploration depth, each with the guard that it needs."""

from __future__ import annotations

from typing import Any

import pytest

from meadowworks.modelcheck.model import Step
from meadowworks.modelcheck.models.policy.initial_worlds import INITIAL_WORLDS, apply_steps, quiet
from meadowworks.modelcheck.models.policy.properties import drained_at_once, slow_start_respected
from meadowworks.modelcheck.seeded_fault import SeededFault, injected_fault
from meadowworks.modelcheck.seeded_faults.policy import CONTROLLER

# Initial world, steps, property, and the (method, original, replacement) that removes the guard.
FOUR_STEP_PATHS = (
    (
        6,
        (("list", 0, "ready"), ("list", 0, "draining"), ("leave", 0), ("join", 0)),
        drained_at_once,
        ("on_proxy_joined", "not b.ready or ", ""),
    ),
    (
        6,
        (("list", 0, "ready"), ("start", 0), ("leave", 0), ("join", 0)),
        slow_start_respected,
        ("on_proxy_joined", "or self.exceeds_slow_start_weight(now, b, w)", ""),
    ),
    (
        3,
        (("leave", 1), ("list", 1, "ready"), ("start", 1), ("tick",)),
        slow_start_respected,
        ("target_weights", "(min(1.0, factor) if self.is_warming(now, b) else factor)", "factor"),
    ),
)


@pytest.mark.parametrize(
    ("start", "steps", "holds", "guard"), FOUR_STEP_PATHS, ids=["drains", "restarted", "abroad"]
)
def test_four_step_paths_satisfy_their_property_and_violate_it_without_the_guard(
    start: int, steps: tuple[Step, ...], holds: Any, guard: tuple[str, str, str]
) -> None:
    def property_holds() -> bool:
        world = INITIAL_WORLDS[start]()
        apply_steps(world, *steps)
        return bool(holds(world))

    method, original, replacement = guard
    assert property_holds()
    with injected_fault(SeededFault("", "module", CONTROLLER + method, original, replacement, ())):
        assert not property_holds()


def test_a_timer_for_a_removed_backend_does_nothing() -> None:
    world = quiet()
    world.controller.timers.schedule(world.now_ns, lambda: world.controller.retain_missing(99, True))
    world.take_step(("tick",))
    assert 99 not in world.controller.backends
