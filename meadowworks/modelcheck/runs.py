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
from meadowworks.modelcheck.fault import Fault, planted
from meadowworks.modelcheck.model import Broken, Model, Result
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
from meadowworks.modelcheck.paths import Kept

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
FAULT_MOST = 1 << 19  # states looked at for a fault; none needs as many


class Unknown(ValueError):
    """A name that stands for nothing here."""


def model_of(name: str, large: bool, depth: int = 0) -> Model:
    """A depth replaces the model's own bound. Raises Unknown."""
    if name not in MODELS:
        raise Unknown(f"there is no model {name!r}: there are {', '.join(MODELS)}")
    model = MODELS[name](large)
    return replace(model, depth=depth) if depth else model


def fault_of(name: str) -> Fault:
    for fault in faults.FAULTS:
        if fault.name == name:
            return fault
    raise Unknown(f"there is no fault {name!r}")


@dataclass(frozen=True, slots=True)
class Found:
    """What became of a seeded fault: the broken property with the shortest path, and whether playing that
    path again, with the fault still in, breaks it again."""

    fault: Fault
    broken: Broken | None
    again: bool
    states: int
    seconds: float

    @property
    def found(self) -> bool:
        return self.broken is not None and self.again


def seek(name: str) -> Found:
    """Plants a fault and explores until a property that it is said to break has broken."""
    fault = fault_of(name)
    began = time.monotonic()
    with planted(fault):
        model = model_of(fault.model, fault.large, fault.depth)
        result = explore(model, most=FAULT_MOST, until=frozenset(fault.breaks), only=fault.starts)
        hits = sorted(
            (b for b in result.broken if b.name in fault.breaks), key=lambda b: (len(b.steps), b.name)
        )
        broken = hits[0] if hits else None
        again = broken is not None and broken.name in replay(model, broken.start, broken.steps, broken.cycle)
    return Found(fault, broken, again, result.states, time.monotonic() - began)


def seek_all(names: Sequence[str], workers: int) -> Iterator[Found]:
    """Every fault in a process of its own kind, as they come to be found, in the table's order."""
    with ProcessPoolExecutor(workers, mp_context=mp.get_context("fork")) as pool:
        yield from pool.map(seek, names)


def play(kept: Kept) -> tuple[Model, list[str]]:
    """The model of a path, and the properties that its last step breaks. Raises Unknown, and ValueError where
    the path does not fit."""
    with ExitStack() as stack:
        if kept.fault:
            stack.enter_context(planted(fault_of(kept.fault)))
        model = model_of(kept.model, kept.large)
        return model, replay(model, kept.start, kept.steps, kept.cycle)


def baseline(name: str, workers: int) -> tuple[Result, Result, Result]:
    """The same machine by the plain explorer, by this one in one process, and in several; one run, in
    turn."""
    model = model_of(name, False)
    return plain.explore(model), explore(model), explore(model, workers)
