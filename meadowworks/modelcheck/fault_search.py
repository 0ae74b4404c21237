"""Looks for the seeded faults: each must be found by a property that it is said to break."""

from __future__ import annotations

import multiprocessing as mp
import time
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from meadowworks.modelcheck.catalog import build_model, get_seeded_fault
from meadowworks.modelcheck.explorer import explore
from meadowworks.modelcheck.model import Counterexample, Result
from meadowworks.modelcheck.replay import replay
from meadowworks.modelcheck.seeded_fault import SeededFault, injected_fault

MAX_STATES = 1 << 19  # visited in search of a fault; none needs as many


@dataclass(frozen=True, slots=True)
class FaultSearch:
    """What became of a seeded fault.

    `counterexample` is the shortest path to a property that broke, `replayed` whether taking that path again,
    with the fault still injected, breaks it again.
    """

    fault: SeededFault
    counterexample: Counterexample | None
    replayed: bool
    states: int
    seconds: float

    @property
    def found(self) -> bool:
        """Whether a property broke, and breaks again by the same path."""
        return self.counterexample is not None and self.replayed

    @property
    def path_length(self) -> int:
        """The number of steps of the counterexample, 0 without one."""
        found = self.counterexample
        return len(found.steps) + len(found.cycle) if found else 0


def find_fault(name: str) -> FaultSearch:
    """Inject a fault and explore until a property that it is said to break has broken.

    :raises UnknownNameError: if there is no such fault.
    """
    fault = get_seeded_fault(name)
    began = time.monotonic()
    with injected_fault(fault):
        model = build_model(fault.model, fault.large, fault.max_depth)
        result = explore(
            model,
            max_states=MAX_STATES,
            stop_on=frozenset(fault.violates),
            start_indices=fault.start_indices,
        )
        found = _shortest_expected(fault, result)
        replayed = found is not None and found.name in replay(
            model, found.start_index, found.steps, found.cycle
        )
    return FaultSearch(fault, found, replayed, result.states, time.monotonic() - began)


def _shortest_expected(fault: SeededFault, result: Result) -> Counterexample | None:
    expected = [one for one in result.counterexamples if one.name in fault.violates]
    expected.sort(key=lambda one: (len(one.steps), one.name))
    return expected[0] if expected else None


def find_faults(names: Sequence[str], workers: int) -> Iterator[FaultSearch]:
    """Look for faults, each in a worker process, and yield the results in the order of the names."""
    with ProcessPoolExecutor(workers, mp_context=mp.get_context("fork")) as pool:
        yield from pool.map(find_fault, names)
