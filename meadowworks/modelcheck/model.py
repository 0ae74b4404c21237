"""What a model is: worlds that can be stepped, frozen and told apart, and properties in plain words."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

NO_EXCEPTION = "no fault"  # the property that no step raises
NO_DEADLOCK = "no deadlock"
Step = tuple[Any, ...]  # a name and small numbers or words: goes into JSON and back


class World(Protocol):
    """A small world around a machine. `do` takes one of the steps that `enabled` named; `did` is what came of
    the last step, for the properties of steps."""

    outcomes: list[tuple[Any, ...]]

    def enabled(self) -> Iterable[Step]: ...
    def take_step(self, step: Step) -> None: ...
    def freeze(self) -> Any: ...  # so that thaw gives the same world again; what is kept while it waits
    def key(self) -> Hashable: ...  # numbers, words and tuples alone; equal for worlds that are alike


@dataclass(frozen=True, slots=True)
class Property:
    """`on` is state (of each state), step (of each step's outcome) or end (of states without a step)."""

    name: str
    description: str
    holds: Callable[[Any], bool]
    checked_on: str = "state"


@dataclass(frozen=True, slots=True)
class LivenessProperty:
    """Something is owed while `waits` is true, and must not be owed for ever. Each of `fair` names steps of
    which one is taken at last, if from some time on one could be taken at any moment."""

    name: str
    description: str
    is_pending: Callable[[Any], bool]
    fair_steps: tuple[Callable[[Step], bool], ...]


def steps_starting_with(*prefix: Any) -> Callable[[Step], bool]:
    """The steps that begin so, for `Live.fair`."""
    return lambda step: step[: len(prefix)] == prefix


@dataclass(frozen=True, slots=True)
class Model:
    """`say` puts a step into plain words. `depth` bounds the steps where the states have no end (0: none)."""

    name: str
    description: str
    initial_worlds: Callable[[], Sequence[World]]
    thaw: Callable[[Any], World]
    describe_step: Callable[[Step], str]
    properties: tuple[Property, ...]
    liveness: tuple[LivenessProperty, ...] = ()
    may_terminate: Callable[[Any], bool] = lambda world: True  # may end here; else it is a deadlock
    max_depth: int = 0
    metrics: Callable[[Any], dict[str, float]] | None = None  # of each state; the greatest is reported


@dataclass(frozen=True, slots=True)
class Counterexample:
    """A property that broke, with the shortest path to it: the start's place, the steps, and for what is
    never answered the steps of the cycle that goes on for ever."""

    name: str
    description: str
    start_index: int
    steps: tuple[Step, ...]
    cycle: tuple[Step, ...] = ()
    reason: str = ""


@dataclass(slots=True)
class Result:
    """What an exploration found. `left_out` says in words what it did not look at; empty where complete."""

    model_name: str
    states: int = 0
    transitions: int = 0
    depth: int = 0
    seconds: float = 0.0
    left_out: str = ""
    counterexamples: tuple[Counterexample, ...] = ()
    metrics: dict[str, float] | None = None

    @property
    def complete(self) -> bool:
        return not self.left_out
