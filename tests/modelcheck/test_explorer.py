"""Tests of the explorers and of replay, on a toy model and on small worlds of the product."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

import pytest

from meadowworks.modelcheck.baseline_explorer import explore_baseline
from meadowworks.modelcheck.catalog import build_model
from meadowworks.modelcheck.explorer import explore
from meadowworks.modelcheck.model import (
    NO_DEADLOCK,
    NO_EXCEPTION,
    LivenessProperty,
    Model,
    Property,
    Step,
    steps_starting_with,
)
from meadowworks.modelcheck.replay import replay


class Counter:
    """A counter that goes up: at two it can stay forever, at three it ends, at four its step raises."""

    def __init__(self, count: int) -> None:
        self.count = count
        self.outcomes: list[tuple[Any, ...]] = []

    def enabled(self) -> Iterable[Step]:
        return {2: [("on", 1), ("stay", 0)], 3: []}.get(self.count, [("up", 1)])

    def take_step(self, step: Step) -> None:
        self.outcomes = [step]
        if self.count == 4:
            raise RuntimeError("step at four")
        self.count += step[1]

    def freeze(self) -> int:
        return self.count

    def key(self) -> int:
        return self.count


def counter_model(
    *properties: Property, starts: tuple[int, ...] = (0,), fair: tuple[str, ...] = ("up", "stay")
) -> Model:
    fair_steps = tuple(steps_starting_with(name) for name in fair)
    reaches_three = LivenessProperty(
        "reaches three", "the counter reaches three", lambda w: w.count < 3, fair_steps
    )
    return Model(
        "counter",
        "a toy model",
        lambda: [Counter(k) for k in starts],
        Counter,
        lambda step: f"step {step[0]}",
        properties,
        (reaches_three,),
        may_terminate=lambda w: w.count != 3,
    )


@pytest.mark.parametrize("workers", [1, 3])
def test_explorer_finds_each_kind_of_violation_by_a_shortest_replayable_path(workers: int) -> None:
    model = counter_model(
        Property("not two", "", lambda w: w.count != 2),
        Property("no staying", "", lambda w: ("stay", 0) not in w.outcomes, "step"),
        starts=(0, 4),
    )
    result = explore(model, workers)
    found = {
        example.name: (example.start_index, example.steps, example.cycle)
        for example in result.counterexamples
    }
    up, on, stay = ("up", 1), ("on", 1), ("stay", 0)
    assert found == {
        "not two": (0, (up, up), ()),
        "no staying": (0, (up, up, stay), ()),
        NO_DEADLOCK: (0, (up, up, on), ()),
        NO_EXCEPTION: (1, (up,), ()),
        "reaches three": (0, (up, up), (stay,)),
    }
    assert (result.states, result.transitions, result.is_complete) == (5, 5, True)
    for example in result.counterexamples:
        assert example.name in replay(model, example.start_index, example.steps, example.cycle)


def test_run_may_stop_only_where_no_fair_step_is_enabled() -> None:
    def violations(*fair: str) -> list[tuple[Any, ...]]:
        examples = explore(counter_model(fair=fair)).counterexamples
        return [(example.steps, example.cycle) for example in examples if example.name == "reaches three"]

    assert violations() == [((), ())]
    assert violations("up", "on") == []
    assert violations("up", "stay", "on") == []
    assert violations("up") == [((("up", 1), ("up", 1)), ())]


def test_bounded_exploration_states_what_it_left_out() -> None:
    assert "beyond 3 states" in explore(counter_model(), max_states=3).left_out
    assert "more than 1 steps" in explore(replace(counter_model(), max_depth=1)).left_out
    assert not explore(counter_model(), max_states=100).left_out
    with pytest.raises(ValueError, match="workers must be at least 1"):
        explore(counter_model(), workers=0)


@pytest.mark.parametrize("name", ["connection", "attempt"])
def test_baseline_explorer_visits_the_same_states(name: str) -> None:
    model = build_model(name, False)
    single_world = replace(model, initial_worlds=lambda: model.initial_worlds()[:1])
    single, multiple, baseline = (
        explore(single_world),
        explore(single_world, 3),
        explore_baseline(single_world),
    )
    assert single.is_complete
    assert (single.states, single.transitions, single.depth) == (
        baseline.states,
        baseline.transitions,
        baseline.depth,
    )
    assert (multiple.states, multiple.transitions) == (single.states, single.transitions)
