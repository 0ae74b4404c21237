"""Paths through the model of the decision logic that only larger worlds reach, each with its guard."""

from __future__ import annotations

from typing import Any

import pytest

from meadowworks.modelcheck.model import Step
from meadowworks.modelcheck.models.policy.initial_worlds import INITIAL_WORLDS, quiet, take_steps
from meadowworks.modelcheck.models.policy.properties import cold_spared, drains_first
from meadowworks.modelcheck.seeded_fault import SeededFault, injected_fault
from meadowworks.modelcheck.seeded_faults.policy import CONTROLLER

# Two paths that only four steps reach, each with the guard that keeps it.
NEAR = (
    (
        6,
        (("list", 0, "ready"), ("list", 0, "draining"), ("leave", 0), ("join", 0)),
        drains_first,
        ("on_proxy_joined", "not b.ready or ", ""),
    ),
    (
        6,
        (("list", 0, "ready"), ("start", 0), ("leave", 0), ("join", 0)),
        cold_spared,
        ("on_proxy_joined", "or self.exceeds_slow_start_weight(now, b, w)", ""),
    ),
    (
        3,
        (("leave", 1), ("list", 1, "ready"), ("start", 1), ("tick",)),
        cold_spared,
        ("target_weights", "(min(1.0, factor) if self.is_warming(now, b) else factor)", "factor"),
    ),
)


@pytest.mark.parametrize(("start", "steps", "holds", "guard"), NEAR, ids=["drains", "restarted", "abroad"])
def test_paths_of_four_steps_keep_the_rules_and_break_them_without_their_guard(
    start: int, steps: tuple[Step, ...], holds: Any, guard: tuple[str, str, str]
) -> None:
    def held() -> bool:
        world = INITIAL_WORLDS[start]()
        take_steps(world, *steps)
        return bool(holds(world))

    at, was, now = guard
    assert held()
    with injected_fault(SeededFault("", "module", CONTROLLER + at, was, now, ())):
        assert not held()


def test_what_is_forgotten_before_it_is_looked_at_again_stops_nobody() -> None:
    world = quiet()
    world.controller.timers.schedule(world.now_ns, lambda: world.controller.retain_missing(99, True))
    world.take_step(("tick",))
    assert 99 not in world.controller.backends
