"""Runs of the check: models, seeded faults, the baseline, a path played again."""

from __future__ import annotations

import multiprocessing as mp
import time
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack
from dataclasses import dataclass, replace

from meadowworks.modelcheck import faults, plain
from meadowworks.modelcheck.explore import explore, replay
from meadowworks.modelcheck.fault import SeededFault, injected_fault
from meadowworks.modelcheck.model import Counterexample, Model, Result
from meadowworks.modelcheck.models import (
    attempt,
    connection,
    consensus,
    forwarding,
    gossip,
    policy,
    quota,
    registry,
    replica,
)
from meadowworks.modelcheck.paths import StoredCounterexample

MODELS: dict[str, Callable[[bool], Model]] = {
    "attempt": attempt.model,
    "connection": connection.model,
    "module": policy.model,
    "grants": quota.model,
    "timetable": consensus.model,
    "replica": replica.model,
    "carriage": forwarding.model,
    "telegraph": gossip.model,
    "roster": registry.model,
}
FAULT_MAX_STATES = 1 << 19  # states looked at for a fault; none needs as many


class UnknownNameError(ValueError):
    """A name that stands for nothing here."""


def model_of(name: str, large: bool, depth: int = 0) -> Model:
    """A depth replaces the model's own bound. Raises Unknown."""
    if name not in MODELS:
        raise UnknownNameError(f"there is no model {name!r}: there are {', '.join(MODELS)}")
    model = MODELS[name](large)
    return replace(model, max_depth=depth) if depth else model


def fault_of(name: str) -> SeededFault:
    for fault in faults.FAULTS:
        if fault.name == name:
            return fault
    raise UnknownNameError(f"there is no fault {name!r}")


@dataclass(frozen=True, slots=True)
class FaultSearch:
    """What became of a seeded fault: the broken property with the shortest path, and whether playing that
    path again, with the fault still in, breaks it again."""

    fault: SeededFault
    counterexample: Counterexample | None
    replayed: bool
    states: int
    seconds: float

    @property
    def found(self) -> bool:
        return self.counterexample is not None and self.replayed


def find_fault(name: str) -> FaultSearch:
    """Plants a fault and explores until a property that it is said to break has broken."""
    fault = fault_of(name)
    began = time.monotonic()
    with injected_fault(fault):
        model = model_of(fault.model, fault.large, fault.max_depth)
        result = explore(
            model,
            max_states=FAULT_MAX_STATES,
            stop_on=frozenset(fault.violates),
            start_indices=fault.start_indices,
        )
        hits = sorted(
            (b for b in result.counterexamples if b.name in fault.violates),
            key=lambda b: (len(b.steps), b.name),
        )
        broken = hits[0] if hits else None
        again = broken is not None and broken.name in replay(
            model, broken.start_index, broken.steps, broken.cycle
        )
    return FaultSearch(fault, broken, again, result.states, time.monotonic() - began)


def find_faults(names: Sequence[str], workers: int) -> Iterator[FaultSearch]:
    """Every fault in a process of its own kind, as they come to be found, in the table's order."""
    with ProcessPoolExecutor(workers, mp_context=mp.get_context("fork")) as pool:
        yield from pool.map(find_fault, names)


def replay_counterexample(stored: StoredCounterexample) -> tuple[Model, list[str]]:
    """The model of a path, and the properties that its last step breaks. Raises Unknown, and ValueError where
    the path does not fit."""
    with ExitStack() as stack:
        if stored.fault:
            stack.enter_context(injected_fault(fault_of(stored.fault)))
        model = model_of(stored.model, stored.large)
        return model, replay(model, stored.start_index, stored.steps, stored.cycle)


def compare_with_baseline(name: str, workers: int) -> tuple[Result, Result, Result]:
    """The same machine by the plain explorer, by this one in one process, and in several; one run, in
    turn."""
    model = model_of(name, False)
    return plain.explore_baseline(model), explore(model), explore(model, workers)
