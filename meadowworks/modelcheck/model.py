"""Transition systems and their properties: the types that models, explorers and reports share."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Literal, Protocol

NO_EXCEPTION = "no fault"  # name of the property that no step raises an exception
NO_DEADLOCK = "no deadlock"
Step = tuple[Any, ...]  # a name followed by JSON-serializable arguments
Scope = Literal["state", "step", "end"]


class World(Protocol):
    """A small environment around state machines of the product, in one of its states.

    `outcomes` holds the results of the last step, for the properties that are checked on steps.
    """

    outcomes: list[tuple[Any, ...]]

    def enabled(self) -> Iterable[Step]:
        """Return the steps that can be taken in this state."""
        ...

    def take_step(self, step: Step) -> None:
        """Take one of the steps that `enabled` returned."""
        ...

    def freeze(self) -> Any:
        """Return a compact snapshot, from which the model's `thaw` restores an equal world."""
        ...

    def key(self) -> Hashable:
        """Return the identity of the state: equal for worlds that count as the same state.

        It is built from numbers, strings and tuples only, so that it can be hashed in every process alike.
        """
        ...


@dataclass(frozen=True, slots=True)
class Property:
    """A safety condition on each state, on each step, or on states without enabled steps."""

    name: str
    description: str
    holds: Callable[[Any], bool]
    checked_on: Scope = "state"


@dataclass(frozen=True, slots=True)
class LivenessProperty:
    """An obligation that may be pending in a state but must not stay pending forever.

    Each predicate of `fair_steps` selects a set of steps under weak fairness: if from some time on
    some step of the set is enabled in every state, a step of the set is eventually taken.
    """

    name: str
    description: str
    is_pending: Callable[[Any], bool]
    fair_steps: tuple[Callable[[Step], bool], ...]


def steps_starting_with(*prefix: Any) -> Callable[[Step], bool]:
    """Return a predicate for the steps that begin with these items, for `LivenessProperty.fair_steps`."""
    return lambda step: step[: len(prefix)] == prefix


@dataclass(frozen=True, slots=True)
class Model:
    """A transition system and its properties.

    `thaw` restores a frozen world and `describe_step` renders a step for reports. `max_depth` bounds the
    number of steps of a model with an infinite state space (0: no bound). `metrics` are computed in each
    state, and their maxima are reported. A world without enabled steps is a deadlock unless it
    `may_terminate`.
    """

    name: str
    description: str
    initial_worlds: Callable[[], Sequence[World]]
    thaw: Callable[[Any], World]
    describe_step: Callable[[Step], str]
    properties: tuple[Property, ...]
    liveness: tuple[LivenessProperty, ...] = ()
    may_terminate: Callable[[Any], bool] = lambda world: True  # noqa: ARG005 (default of a predicate)
    max_depth: int = 0
    metrics: Callable[[Any], dict[str, float]] | None = None

    def properties_on(self, scope: Scope) -> list[Property]:
        """Return the properties that are checked in the given scope."""
        return [prop for prop in self.properties if prop.checked_on == scope]


IMPLICIT_PROPERTIES = (
    Property(NO_EXCEPTION, "no step raises an exception or fails an assertion", lambda _: True),
    Property(NO_DEADLOCK, "a state without enabled steps is a valid final state", lambda _: True),
)


def reported_properties(model: Model) -> list[tuple[str, str]]:
    """Return the name and description of every property of a model, in the order of reports."""
    properties: tuple[Property | LivenessProperty, ...] = (
        *model.properties,
        *model.liveness,
        *IMPLICIT_PROPERTIES,
    )
    return [(prop.name, prop.description) for prop in properties]


@dataclass(frozen=True, slots=True)
class Counterexample:
    """A violated property with a shortest path to the violation.

    The path is the index of the initial world and the steps from there. For a liveness property, `cycle`
    holds the steps that can repeat forever after the path.
    """

    name: str
    description: str
    start_index: int
    steps: tuple[Step, ...]
    cycle: tuple[Step, ...] = ()
    reason: str = ""


@dataclass(slots=True)
class Result:
    """The result of an exploration; `left_out` describes the unvisited states, if any."""

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
