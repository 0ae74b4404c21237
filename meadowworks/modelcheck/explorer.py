"""Breadth-first exploration of all states of a model, in one process or several.

Each process owns the states whose fingerprints are assigned to it. All processes finish a level before the
next one starts, so the first path found to a state is a shortest one, and the same one in every run.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from types import TracebackType
from typing import Protocol

from meadowworks.modelcheck.counterexamples import liveness_counterexamples, shortest_counterexamples
from meadowworks.modelcheck.model import Model, Result
from meadowworks.modelcheck.shard import Shard
from meadowworks.modelcheck.worker_processes import MultiProcessExplorer

LevelCallback = Callable[[int, int], None]


class LevelExplorer(Protocol):
    """Visits the states of a model level by level; leaving the context stops its processes."""

    def explore_level(self) -> int:
        """Visit the next level and return the number of new states."""
        ...

    def violated_properties(self) -> set[str]:
        """Return the names of the properties violated so far."""
        ...

    def merged_shard(self) -> Shard:
        """Return one shard with all explored states; no level can be explored afterwards."""
        ...

    def __enter__(self) -> LevelExplorer: ...

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None: ...


class SingleProcessExplorer:
    """An explorer that runs in this process, with one shard for all states."""

    def __init__(self, model: Model, start_indices: tuple[int, ...]) -> None:
        self._shard = Shard(model, start_indices=start_indices)
        self._discovered = self._shard.initial_states()

    def explore_level(self) -> int:
        """Visit the next level and return the number of new states."""
        self._shard.add_states(self._discovered)
        new_states = len(self._shard.frontier)
        self._discovered = self._shard.expand() if new_states else []
        return new_states

    def violated_properties(self) -> set[str]:
        """Return the names of the properties violated so far."""
        return {violation.property_name for violation in self._shard.violations}

    def merged_shard(self) -> Shard:
        """Return the shard with all explored states."""
        return self._shard

    def __enter__(self) -> SingleProcessExplorer:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Do nothing: no processes were started."""


@dataclass(frozen=True, slots=True)
class LevelsVisited:
    """The number of levels an exploration visited, and why it stopped early (empty: it did not)."""

    levels: int
    left_out: str


def explore(
    model: Model,
    workers: int = 1,
    max_states: int = 0,
    stop_on: frozenset[str] = frozenset(),
    on_level: LevelCallback | None = None,
    start_indices: tuple[int, ...] = (),
) -> Result:
    """Visit every state of a model and check its properties; the result states what was not visited.

    :param workers: number of processes; 1 explores in this process.
    :param max_states: bound on the number of states (0: none), checked after each level.
    :param stop_on: names of properties; exploration stops after the level in which one is violated.
    :param on_level: called after each level with the number of levels and of states visited so far.
    :param start_indices: indices of the initial worlds to explore from (empty: all).
    :raises ValueError: if `max_states` is negative or `workers` is less than 1.
    """
    if workers < 1 or max_states < 0:
        raise ValueError(f"workers must be at least 1 and max_states at least 0: {workers}, {max_states}")
    started_at = time.monotonic()
    with _start_explorer(model, workers, start_indices) as explorer:
        visited = _explore_levels(explorer, max_states, stop_on, on_level)
        shard = explorer.merged_shard()
    left_out = visited.left_out
    if model.max_depth and visited.levels > model.max_depth:
        left_out = left_out or f"states more than {model.max_depth} steps from the start"
    result = Result(
        model.name,
        len(shard.visited),
        shard.transitions,
        depth=max(0, visited.levels - 1),
        left_out=left_out,
        counterexamples=tuple(shortest_counterexamples(model, shard)),
        metrics=shard.metrics or None,
    )
    if result.is_complete:  # an infinite run can only be recognized once all states are known
        result.counterexamples += tuple(liveness_counterexamples(model, shard))
    result.seconds = time.monotonic() - started_at
    return result


def _start_explorer(model: Model, workers: int, start_indices: tuple[int, ...]) -> LevelExplorer:
    if workers > 1:
        return MultiProcessExplorer(model, workers, start_indices)
    return SingleProcessExplorer(model, start_indices)


def _explore_levels(
    explorer: LevelExplorer, max_states: int, stop_on: frozenset[str], on_level: LevelCallback | None
) -> LevelsVisited:
    levels = states = 0
    while new_states := explorer.explore_level():
        states += new_states
        levels += 1
        if on_level:
            on_level(levels, states)
        if max_states and states >= max_states:
            left_out = f"all beyond {states} states, at {levels} steps: the bound is {max_states}"
            return LevelsVisited(levels, left_out)
        if stop_on & explorer.violated_properties():
            return LevelsVisited(levels, f"all beyond {levels} steps: a property was violated")
    return LevelsVisited(levels, "")
