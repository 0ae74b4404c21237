"""Breadth-first exploration of all states of a model, in one process or several.

Processes own states by fingerprint and go level by level, so the first path found to a state is a shortest
one, and the same one in every run.
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
    """Visits the states of a model level by level; processes are ended when the context is left."""

    def explore_level(self) -> int:
        """Visit the next level and return how many states were new."""
        ...

    def violated_properties(self) -> set[str]:
        """Return the names of the properties that are broken so far."""
        ...

    def merged_shard(self) -> Shard:
        """Return all that is known; no level can be explored after it."""
        ...

    def __enter__(self) -> LevelExplorer: ...

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None: ...


class SingleProcessExplorer:
    """Explores in this process, with one shard for all states."""

    def __init__(self, model: Model, start_indices: tuple[int, ...]) -> None:
        self._shard = Shard(model, start_indices=start_indices)
        self._discovered = self._shard.initial_states()

    def explore_level(self) -> int:
        """Visit the next level and return how many states were new."""
        self._shard.add_states(self._discovered)
        new_states = len(self._shard.frontier)
        self._discovered = self._shard.expand() if new_states else []
        return new_states

    def violated_properties(self) -> set[str]:
        """Return the names of the properties that are broken so far."""
        return {violation.property_name for violation in self._shard.violations}

    def merged_shard(self) -> Shard:
        """Return the one shard."""
        return self._shard

    def __enter__(self) -> SingleProcessExplorer:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """There is nothing to end."""


@dataclass(frozen=True, slots=True)
class LevelsVisited:
    """How far an exploration went, and why it stopped before the end, if it did."""

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
    """Visit every state of a model, or say what was left out.

    :param workers: processes; 1 explores in this one.
    :param max_states: a bound on the states (0: none), looked at after each level.
    :param stop_on: names of properties; the level in which one breaks is the last.
    :param on_level: is told depth and states after each level.
    :param start_indices: the starts that matter (empty: all).
    :raises ValueError: for a bound under 0 or fewer workers than one.
    """
    if workers < 1 or max_states < 0:
        raise ValueError("workers are at least 1, and a bound is at least 0")
    began = time.monotonic()
    with _start_explorer(model, workers, start_indices) as explorer:
        visited = _explore_levels(explorer, max_states, stop_on, on_level)
        shard = explorer.merged_shard()
    left_out = visited.left_out
    if model.max_depth and visited.levels > model.max_depth:
        left_out = left_out or f"what takes more than {model.max_depth} steps"
    result = Result(
        model.name,
        len(shard.visited),
        shard.transitions,
        depth=max(0, visited.levels - 1),
        left_out=left_out,
        counterexamples=tuple(shortest_counterexamples(model, shard)),
        metrics=shard.metrics or None,
    )
    if result.is_complete:  # a run that goes on for ever is only known once all states are
        result.counterexamples += tuple(liveness_counterexamples(model, shard))
    result.seconds = time.monotonic() - began
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
            bound = f"all beyond {states} states, at {levels} steps: the bound was {max_states}"
            return LevelsVisited(levels, bound)
        if stop_on & explorer.violated_properties():
            return LevelsVisited(levels, f"all beyond {levels} steps: a property broke")
    return LevelsVisited(levels, "")
