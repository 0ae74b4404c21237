"""The explorers, and replay, on a toy model and small worlds of the product."""

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


class Lamp:
    """A toy: a counter that goes up; it may stay at two for ever, ends at three, and raises at four."""

    def __init__(self, at: int) -> None:
        self.at = at
        self.outcomes: list[tuple[Any, ...]] = []

    def enabled(self) -> Iterable[Step]:
        return {2: [("on", 1), ("stay", 0)], 3: []}.get(self.at, [("up", 1)])

    def take_step(self, step: Step) -> None:
        self.outcomes = [step]
        if self.at == 4:
            raise RuntimeError("burnt out")
        self.at += step[1]

    def freeze(self) -> int:
        return self.at

    def key(self) -> int:
        return self.at


def lamp(
    *properties: Property, starts: tuple[int, ...] = (0,), fair: tuple[str, ...] = ("up", "stay")
) -> Model:
    fair_steps = tuple(steps_starting_with(name) for name in fair)
    dark_at_last = LivenessProperty("dark at last", "it reaches three", lambda w: w.at < 3, fair_steps)
    return Model(
        "lamp",
        "a toy",
        lambda: [Lamp(k) for k in starts],
        Lamp,
        lambda step: f"goes {step[0]}",
        properties,
        (dark_at_last,),
        may_terminate=lambda w: w.at != 3,
    )


@pytest.mark.parametrize("workers", [1, 3])
def test_the_explorer_finds_every_kind_of_break_by_a_shortest_path_that_plays_again(workers: int) -> None:
    model = lamp(
        Property("not two", "", lambda w: w.at != 2),
        Property("no staying", "", lambda w: ("stay", 0) not in w.outcomes, "step"),
        starts=(0, 4),
    )
    result = explore(model, workers)
    found = {one.name: (one.start_index, one.steps, one.cycle) for one in result.counterexamples}
    up, on, stay = ("up", 1), ("on", 1), ("stay", 0)
    assert found == {
        "not two": (0, (up, up), ()),
        "no staying": (0, (up, up, stay), ()),
        NO_DEADLOCK: (0, (up, up, on), ()),
        NO_EXCEPTION: (1, (up,), ()),
        "dark at last": (0, (up, up), (stay,)),
    }
    assert (result.states, result.transitions, result.is_complete) == (5, 5, True)
    for one in result.counterexamples:
        assert one.name in replay(model, one.start_index, one.steps, one.cycle)


def test_a_run_may_rest_where_nothing_fair_can_be_done_and_not_stay_where_it_can() -> None:
    def never(*fair: str) -> list[tuple[Any, ...]]:
        found = explore(lamp(fair=fair)).counterexamples
        return [(one.steps, one.cycle) for one in found if one.name == "dark at last"]

    assert never() == [((), ())]
    assert never("up", "on") == []
    assert never("up", "stay", "on") == []
    assert never("up") == [((("up", 1), ("up", 1)), ())]


def test_a_bound_says_what_it_left_out() -> None:
    assert "beyond 3 states" in explore(lamp(), max_states=3).left_out
    assert "more than 1 steps" in explore(replace(lamp(), max_depth=1)).left_out
    assert not explore(lamp(), max_states=100).left_out
    with pytest.raises(ValueError, match="workers are at least 1"):
        explore(lamp(), workers=0)


@pytest.mark.parametrize("name", ["connection", "attempt"])
def test_the_plain_explorer_sees_the_same_states(name: str) -> None:
    model = build_model(name, False)
    first = replace(model, initial_worlds=lambda: model.initial_worlds()[:1])
    one, several, baseline = explore(first), explore(first, 3), explore_baseline(first)
    assert one.is_complete
    assert (one.states, one.transitions, one.depth) == (
        baseline.states,
        baseline.transitions,
        baseline.depth,
    )
    assert (several.states, several.transitions) == (one.states, one.transitions)
