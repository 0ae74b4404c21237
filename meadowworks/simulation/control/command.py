"""`lab control`: runs a scenario for a range of seeds, optionally with a guard disabled."""

from __future__ import annotations

import json
import multiprocessing
import re
import signal
import sys
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from functools import partial

from meadowworks.cli.errors import CommandError
from meadowworks.simulation.control.counts import ScenarioCounts
from meadowworks.simulation.control.guards import GUARDS, GUARDS_BY_NAME, UNIT_TESTED_GUARDS, without_guard
from meadowworks.simulation.control.scenarios import SCENARIO_NUMBERS, run_scenario

MAX_PROCESSES = 16
MAX_MESSAGES_PER_SEED, MAX_MESSAGES_SHOWN = 3, 20
PROGRESS_INTERVAL = 50  # scenarios
EXIT_INTERRUPTED = 130  # exit status after SIGINT, as shells report it


@dataclass(frozen=True, slots=True)
class SeedOutcome:
    """Counts and violation messages of one seed."""

    seed: int
    counts: ScenarioCounts
    messages: list[str]


@dataclass(frozen=True, slots=True)
class RunOutcome:
    """Summed counts and violation messages of a run; `complete` unless it was interrupted."""

    counts: ScenarioCounts
    messages: list[str]
    complete: bool


def run_control(
    scenario_number: int, seeds: str, without: str, list_guards: bool, processes: int, as_json: bool
) -> int:
    """Run a scenario for each seed and print the counts, or list the guards.

    :param scenario_number: one of `SCENARIO_NUMBERS`.
    :param seeds: the first seed and the exclusive end, as `A:B`.
    :param without: the name of a guard to disable, or empty.
    :returns: the exit status: 0, 1 after a violation, or 130 if interrupted.
    :raises CommandError: if an option is invalid.
    """
    if list_guards:
        print_guards()
        return 0
    if scenario_number not in SCENARIO_NUMBERS:
        raise CommandError(
            f"there is no point {scenario_number}: there are {', '.join(map(str, SCENARIO_NUMBERS))}"
        )
    seed_range = parse_seeds(seeds)
    if without and without not in GUARDS_BY_NAME:
        raise CommandError(f"there is no guard {without!r}: --guards lists them")
    if not 1 <= processes <= MAX_PROCESSES:
        raise CommandError(f"--processes must be from 1 to {MAX_PROCESSES}, not {processes}")
    outcome = run_seeds(scenario_number, seed_range, without, processes)
    report = {"point": scenario_number, "seeds": seeds, **asdict(outcome.counts)}
    if as_json:
        report |= {"without": without, "complete": outcome.complete, "found": outcome.messages}
        print(json.dumps(report))
    else:
        print("\n".join(f"{name:24} {value}" for name, value in report.items()))
        print("\n".join(outcome.messages[:MAX_MESSAGES_SHOWN]))
    if not outcome.complete:
        return EXIT_INTERRUPTED
    return 1 if outcome.counts.violations() else 0


def print_guards() -> None:
    """Print each guard with the test that detects its absence and its description."""
    for guard in GUARDS:
        detected_by = "unit test" if guard.name in UNIT_TESTED_GUARDS else f"point {guard.scenario_number}"
        print(f"{guard.name:20} {detected_by:22} {guard.text}")


def parse_seeds(text: str) -> range:
    """Parse a range of seeds `A:B`.

    :raises CommandError: if the text has another form or the range is empty.
    """
    match = re.fullmatch(r"(\d{1,9}):(\d{1,9})", text)
    if match is None or int(match[1]) >= int(match[2]):
        raise CommandError(f"--seeds are A:B with A below B, not {text[:40]!r}")
    return range(int(match[1]), int(match[2]))


def run_seeds(scenario_number: int, seeds: range, without: str, processes: int) -> RunOutcome:
    """Run a scenario for each seed; after an interrupt return the partial sums."""
    counts, messages, done = ScenarioCounts(), list[str](), 0
    try:
        for result in _outcomes(scenario_number, seeds, without, processes):
            done += 1
            counts.merge(result.counts)
            messages += [f"seed {result.seed}: {text}" for text in result.messages[:MAX_MESSAGES_PER_SEED]]
            if processes > 1 and done % PROGRESS_INTERVAL == 0:
                print(f"lab control: {done} of {len(seeds)} scenarios", file=sys.stderr, flush=True)
    except KeyboardInterrupt:
        print(f"lab control: interrupted after {done} of {len(seeds)} scenarios", file=sys.stderr, flush=True)
        return RunOutcome(counts, sorted(messages), False)
    return RunOutcome(counts, sorted(messages), True)


def _outcomes(scenario_number: int, seeds: range, without: str, processes: int) -> Iterator[SeedOutcome]:
    run = partial(run_seed, scenario_number, without)
    if processes == 1 or len(seeds) == 1:
        yield from map(run, seeds)
        return
    with multiprocessing.Pool(min(processes, len(seeds)), ignore_interrupts) as pool:
        yield from pool.imap_unordered(run, seeds)


def ignore_interrupts() -> None:
    """Ignore SIGINT in worker processes; the parent process handles it."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def run_seed(scenario_number: int, without: str, seed: int) -> SeedOutcome:
    """Run the scenario of one seed, with a guard disabled if `without` names one."""
    with without_guard(without):
        result = run_scenario(scenario_number, seed)
    return SeedOutcome(seed, result.counts, result.messages)
