"""What a model is: worlds that can be stepped, frozen and told apart, and properties in plain words."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

FAULT = "no fault"  # the property that no step raises
DEADLOCK = "no deadlock"
Step = tuple[Any, ...]  # a name and small numbers or words: goes into JSON and back


class World(Protocol):
    """A small world around a machine. `do` takes one of the steps that `enabled` named; `did` is what came of
    the last step, for the properties of steps."""

    did: list[tuple[Any, ...]]

    def enabled(self) -> Iterable[Step]: ...
    def do(self, step: Step) -> None: ...
    def freeze(self) -> Any: ...  # so that thaw gives the same world again; what is kept while it waits
    def key(self) -> Hashable: ...  # numbers, words and tuples alone; equal for worlds that are alike


@dataclass(frozen=True, slots=True)
class Property:
    """`on` is state (of each state), step (of each step's outcome) or end (of states without a step)."""

    name: str
    words: str
    holds: Callable[[Any], bool]
    on: str = "state"


@dataclass(frozen=True, slots=True)
class Live:
    """Something is owed while `waits` is true, and must not be owed for ever. Each of `fair` names steps of
    which one is taken at last, if from some time on one could be taken at any moment."""

    name: str
    words: str
    waits: Callable[[Any], bool]
    fair: tuple[Callable[[Step], bool], ...]


def taken(*start: Any) -> Callable[[Step], bool]:
    """The steps that begin so, for `Live.fair`."""
    return lambda step: step[: len(start)] == start


@dataclass(frozen=True, slots=True)
class Model:
    """`say` puts a step into plain words. `depth` bounds the steps where the states have no end (0: none)."""

    name: str
    words: str
    starts: Callable[[], Sequence[World]]
    thaw: Callable[[Any], World]
    say: Callable[[Step], str]
    properties: tuple[Property, ...]
    lives: tuple[Live, ...] = ()
    finished: Callable[[Any], bool] = lambda world: True  # may end here; else it is a deadlock
    depth: int = 0
    figures: Callable[[Any], dict[str, float]] | None = None  # of each state; the greatest is reported


@dataclass(frozen=True, slots=True)
class Broken:
    """A property that broke, with the shortest path to it: the start's place, the steps, and for what is
    never answered the steps of the cycle that goes on for ever."""

    name: str
    words: str
    start: int
    steps: tuple[Step, ...]
    cycle: tuple[Step, ...] = ()
    why: str = ""


@dataclass(slots=True)
class Result:
    """What an exploration found. `left_out` says in words what it did not look at; empty where complete."""

    name: str
    states: int = 0
    transitions: int = 0
    depth: int = 0
    seconds: float = 0.0
    left_out: str = ""
    broken: tuple[Broken, ...] = ()
    figures: dict[str, float] | None = None

    @property
    def complete(self) -> bool:
        return not self.left_out
