"""`lab coordination`: runs the coordination scenario for a range of seeds, optionally with a seeded fault."""

from __future__ import annotations

import json
import multiprocessing
import sys
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial

from meadowworks.cli.errors import CommandError
from meadowworks.simulation.control.command import (
    EXIT_INTERRUPTED,
    MAX_PROCESSES,
    ignore_interrupts,
    parse_seeds,
)
from meadowworks.simulation.coordination.coordination_scenario import run_coordination_scenario
from meadowworks.simulation.coordination.seeded_faults import (
    SEEDED_FAULTS,
    SEEDED_FAULTS_BY_NAME,
    UNIT_TESTED_FAULTS,
    seeded_fault,
)

MAX_VIOLATIONS_PER_SEED = 5


@dataclass(frozen=True, slots=True)
class SeedOutcome:
    """The violations of one seed, and the number of its calls by the name of their outcome."""

    seed: int
    violations: list[str]
    outcomes: Counter[str]


def run_coordination(seeds: str, without: str, list_guards: bool, processes: int, as_json: bool) -> int:
    """Run the scenario for each seed and print the calls and violations, or list the guards.

    :param seeds: the first seed and the exclusive end, as `A:B`.
    :param without: the name of a guard to remove, or empty.
    :returns: the exit status: 0, 1 after a violation, or 130 if interrupted.
    :raises CommandError: if an option is invalid.
    """
    if list_guards:
        for fault in SEEDED_FAULTS:
            detected_by = "unit test" if fault.name in UNIT_TESTED_FAULTS else "scenario"
            print(f"{fault.name:20} {detected_by:10} {fault.text}")
        return 0
    seed_range = parse_seeds(seeds)
    if without and without not in SEEDED_FAULTS_BY_NAME:
        raise CommandError(f"there is no guard {without!r}: --guards lists them")
    if not 1 <= processes <= MAX_PROCESSES:
        raise CommandError(f"--processes must be from 1 to {MAX_PROCESSES}, not {processes}")
    finished: list[SeedOutcome] = []
    try:
        finished.extend(_outcomes(seed_range, without, processes))
    except KeyboardInterrupt:
        print("lab coordination: interrupted", file=sys.stderr, flush=True)
        return EXIT_INTERRUPTED
    _print_report(seeds, without, finished, as_json)
    return 1 if any(outcome.violations for outcome in finished) else 0


def _outcomes(seeds: range, without: str, processes: int) -> Iterator[SeedOutcome]:
    run = partial(run_seed, without)
    if processes == 1 or len(seeds) == 1:
        yield from map(run, seeds)
        return
    with multiprocessing.Pool(min(processes, len(seeds)), ignore_interrupts) as pool:
        yield from pool.imap(run, seeds)


def run_seed(without: str, seed: int) -> SeedOutcome:
    """Run the scenario of one seed, without a guard if `without` names one.

    An exception of the product is a violation too.
    """
    try:
        with seeded_fault(without):
            result = run_coordination_scenario(seed)
    except Exception as error:
        return SeedOutcome(seed, [f"crash: {type(error).__name__}: {error}"], Counter())
    return SeedOutcome(seed, result.violations, result.outcomes)


def _print_report(seeds: str, without: str, finished: list[SeedOutcome], as_json: bool) -> None:
    outcomes = sum((outcome.outcomes for outcome in finished), Counter[str]())
    violating = {o.seed: o.violations[:MAX_VIOLATIONS_PER_SEED] for o in finished if o.violations}
    if as_json:
        found = {str(seed): violations for seed, violations in violating.items()}
        print(json.dumps({"seeds": seeds, "without": without, "calls": outcomes, "found": found}))
        return
    print(f"{len(finished)} runs, {outcomes.total()} calls, {len(violating)} runs with violations")
    for name, count in sorted(outcomes.items()):
        print(f"{name:24} {count}")
    for seed, violations in violating.items():
        print("\n".join(f"seed {seed}: {text}" for text in violations))
