"""`lab control`: many scenarios over seeds, on some processes, with a guard taken out or none."""

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
EXIT_INTERRUPTED = 130  # exit code, as a shell has it for Ctrl-C


@dataclass(frozen=True, slots=True)
class SeedOutcome:
    """What one scenario came to."""

    seed: int
    counts: ScenarioCounts
    messages: list[str]


@dataclass(frozen=True, slots=True)
class RunOutcome:
    """What a run over seeds came to; `complete` unless it was ended before the last of them."""

    counts: ScenarioCounts
    messages: list[str]
    complete: bool


def run_control(
    scenario_number: int, seeds: str, without: str, list_guards: bool, processes: int, as_json: bool
) -> int:
    """Run scenarios and print what they came to, or list the guards that can be taken out.

    :param scenario_number: the scenario's number.
    :param seeds: the first seed and the one after the last, with a colon between.
    :param without: the name of a guard to take out, or empty.
    :returns: an exit code, 1 if something was violated.
    :raises CommandError: for options that make no sense.
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
        raise CommandError(f"--processes is from 1 to {MAX_PROCESSES}")
    outcome = run_seeds(scenario_number, seed_range, without, processes)
    shown = {"point": scenario_number, "seeds": seeds, **asdict(outcome.counts)}
    if as_json:
        shown |= {"without": without, "complete": outcome.complete, "found": outcome.messages}
        print(json.dumps(shown))
    else:
        print("\n".join(f"{name:24} {value}" for name, value in shown.items()))
        print("\n".join(outcome.messages[:MAX_MESSAGES_SHOWN]))
    if not outcome.complete:
        return EXIT_INTERRUPTED
    return 1 if outcome.counts.violations() else 0


def print_guards() -> None:
    """Print each guard, and the scenario in which it is missed."""
    for guard in GUARDS:
        seen = "its own check" if guard.name in UNIT_TESTED_GUARDS else f"point {guard.scenario_number}"
        print(f"{guard.name:20} {seen:22} {guard.text}")


def parse_seeds(text: str) -> range:
    """Read a range of seeds.

    :raises CommandError: for anything else, and for an empty range.
    """
    match = re.fullmatch(r"(\d{1,9}):(\d{1,9})", text)
    if match is None or int(match[1]) >= int(match[2]):
        raise CommandError(f"--seeds are A:B with A below B, not {text[:40]!r}")
    return range(int(match[1]), int(match[2]))


def run_seeds(scenario_number: int, seeds: range, without: str, processes: int) -> RunOutcome:
    """Run a scenario for each seed; at Ctrl-C return what there is."""
    counts, messages, done = ScenarioCounts(), list[str](), 0
    try:
        for one in _outcomes(scenario_number, seeds, without, processes):
            done += 1
            counts.merge(one.counts)
            messages += [f"seed {one.seed}: {text}" for text in one.messages[:MAX_MESSAGES_PER_SEED]]
            if processes > 1 and done % PROGRESS_INTERVAL == 0:
                print(f"lab control: {done} of {len(seeds)} days", file=sys.stderr, flush=True)
    except KeyboardInterrupt:
        print(f"lab control: ended after {done} of {len(seeds)} days", file=sys.stderr, flush=True)
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
    """Leave a Ctrl-C to the first process."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def run_seed(scenario_number: int, without: str, seed: int) -> SeedOutcome:
    """Run one scenario, with a guard taken out if one is named."""
    with without_guard(without):
        result = run_scenario(scenario_number, seed)
    return SeedOutcome(seed, result.counts, result.messages)
