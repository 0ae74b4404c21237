"""What a model consists of: worlds that take steps, and the properties that must hold of them."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Literal, Protocol

NO_EXCEPTION = "no fault"  # name of the property that no step raises
NO_DEADLOCK = "no deadlock"
Step = tuple[Any, ...]  # a name, then small numbers or words: goes into JSON and back
Scope = Literal["state", "step", "end"]


class World(Protocol):
    """A small world around a state machine of the product, in one of its states.

    `outcomes` is what came of the last step, for the properties that are checked on steps.
    """

    outcomes: list[tuple[Any, ...]]

    def enabled(self) -> Iterable[Step]:
        """Name the steps that can be taken in this state."""
        ...

    def take_step(self, step: Step) -> None:
        """Take one of the steps that `enabled` named."""
        ...

    def freeze(self) -> Any:
        """Return a compact copy, from which the model's `thaw` makes the same world again."""
        ...

    def key(self) -> Hashable:
        """Return numbers, strings and tuples alone, equal for worlds that count as one state."""
        ...


@dataclass(frozen=True, slots=True)
class Property:
    """A condition that must hold of each state, of each step's outcomes, or of states without a step."""

    name: str
    description: str
    holds: Callable[[Any], bool]
    checked_on: Scope = "state"


@dataclass(frozen=True, slots=True)
class LivenessProperty:
    """An obligation that may be pending in a state, and must not stay so for ever.

    Each of `fair_steps` selects a set of steps under weak fairness: one of them is taken at last if, from
    some time on, one could be taken at any moment.
    """

    name: str
    description: str
    is_pending: Callable[[Any], bool]
    fair_steps: tuple[Callable[[Step], bool], ...]


def steps_starting_with(*prefix: Any) -> Callable[[Step], bool]:
    """Select the steps that begin with these items, for `LivenessProperty.fair_steps`."""
    return lambda step: step[: len(prefix)] == prefix


@dataclass(frozen=True, slots=True)
class Model:
    """A transition system and its properties.

    `thaw` restores a frozen world, `describe_step` puts a step into plain words, `max_depth` bounds the steps
    where the states have no end (0: none), and `metrics` are measured in each state, of which the greatest
    values are reported. A world without a step is a deadlock unless it `may_terminate`.
    """

    name: str
    description: str
    initial_worlds: Callable[[], Sequence[World]]
    thaw: Callable[[Any], World]
    describe_step: Callable[[Step], str]
    properties: tuple[Property, ...]
    liveness: tuple[LivenessProperty, ...] = ()
    may_terminate: Callable[[Any], bool] = lambda world: True  # noqa: ARG005 (the default of a predicate)
    max_depth: int = 0
    metrics: Callable[[Any], dict[str, float]] | None = None

    def properties_on(self, scope: Scope) -> list[Property]:
        """Return the properties that are checked on states, steps or ends."""
        return [prop for prop in self.properties if prop.checked_on == scope]


IMPLICIT_PROPERTIES = (
    Property(NO_EXCEPTION, "no step ends in an exception or a broken assertion", lambda _: True),
    Property(NO_DEADLOCK, "where nothing can happen any more, nothing is owed", lambda _: True),
)


def reported_properties(model: Model) -> list[tuple[str, str]]:
    """Return name and description of all that is checked of a model, in the order of reports."""
    stated: tuple[Property | LivenessProperty, ...] = (
        *model.properties,
        *model.liveness,
        *IMPLICIT_PROPERTIES,
    )
    return [(prop.name, prop.description) for prop in stated]


@dataclass(frozen=True, slots=True)
class Counterexample:
    """A broken property with the shortest path to it.

    The path is the index of the start and the steps from there; for a liveness property also the steps of the
    cycle that can go on for ever.
    """

    name: str
    description: str
    start_index: int
    steps: tuple[Step, ...]
    cycle: tuple[Step, ...] = ()
    reason: str = ""


@dataclass(slots=True)
class Result:
    """What an exploration found. `left_out` says in words what it did not visit; empty where complete."""

    model_name: str
    states: int = 0
    transitions: int = 0
    depth: int = 0
    seconds: float = 0.0
    left_out: str = ""
    counterexamples: tuple[Counterexample, ...] = ()
    metrics: dict[str, float] | None = None

    @property
    def is_complete(self) -> bool:
        """Whether every state was visited."""
        return not self.left_out
