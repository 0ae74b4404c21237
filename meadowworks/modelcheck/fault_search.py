"""Search for seeded faults: each must violate one of the properties declared for it."""

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

MAX_STATES = 1 << 19  # per fault; every seeded fault is found within this bound


@dataclass(frozen=True, slots=True)
class FaultSearch:
    """The result of the search for a seeded fault.

    `counterexample` is the shortest one for a declared property; `replayed` is whether its replay, with the
    fault injected, violates the property again.
    """

    fault: SeededFault
    counterexample: Counterexample | None
    replayed: bool
    states: int
    seconds: float

    @property
    def found(self) -> bool:
        """Whether a declared property was violated and its counterexample could be replayed."""
        return self.counterexample is not None and self.replayed

    @property
    def path_length(self) -> int:
        """The number of steps of the counterexample, or 0 if there is none."""
        counterexample = self.counterexample
        return len(counterexample.steps) + len(counterexample.cycle) if counterexample else 0


def find_fault(name: str) -> FaultSearch:
    """Inject a fault and explore until one of its declared properties is violated.

    :raises UnknownNameError: if there is no such fault.
    """
    fault = get_seeded_fault(name)
    started_at = time.monotonic()
    with injected_fault(fault):
        model = build_model(fault.model, fault.large, fault.max_depth)
        result = explore(
            model,
            max_states=MAX_STATES,
            stop_on=frozenset(fault.violates),
            start_indices=fault.start_indices,
        )
        counterexample = _shortest_expected(fault, result)
        replayed = counterexample is not None and counterexample.name in replay(
            model, counterexample.start_index, counterexample.steps, counterexample.cycle
        )
    return FaultSearch(fault, counterexample, replayed, result.states, time.monotonic() - started_at)


def _shortest_expected(fault: SeededFault, result: Result) -> Counterexample | None:
    expected = [example for example in result.counterexamples if example.name in fault.violates]
    expected.sort(key=lambda example: (len(example.steps), example.name))
    return expected[0] if expected else None


def find_faults(names: Sequence[str], workers: int) -> Iterator[FaultSearch]:
    """Search for faults in worker processes and yield the results in the order of the names."""
    with ProcessPoolExecutor(workers, mp_context=mp.get_context("fork")) as pool:
        yield from pool.map(find_fault, names)
