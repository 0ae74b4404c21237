"""Many days of `meadowworks lab control`: over seeds, on some processes, with a guard taken out or none."""

from __future__ import annotations

import json
import multiprocessing
import re
import sys
from dataclasses import asdict
from functools import partial
from typing import Any

from meadowworks.cli.main import CommandError
from meadowworks.simulation import drill, guards
from meadowworks.simulation.control import ScenarioCounts

ScenarioOutcome = tuple[int, ScenarioCounts, list[str]]


def main(point: int, seeds: str, without: str, listed: bool, processes: int, as_json: bool) -> int:
    if listed:
        for guard in guards.GUARDS:
            seen = "seen by no day alone" if guard.name in guards.MASKED_GUARDS else f"point {guard.point}"
            print(f"{guard.name:20} {seen:22} {guard.text}")
        return 0
    if point not in drill.SCENARIOS:
        raise CommandError(f"there is no point {point}: there are {', '.join(map(str, drill.SCENARIOS))}")
    if (match := re.fullmatch(r"(\d{1,9}):(\d{1,9})", seeds)) is None or int(match[1]) >= int(match[2]):
        raise CommandError(f"--seeds are A:B with A below B, not {seeds[:40]!r}")
    if without and without not in guards.GUARDS_BY_NAME:
        raise CommandError(f"there is no guard {without!r}: --guards lists them")
    if not 1 <= processes <= 16:
        raise CommandError("--processes is from 1 to 16")
    days = range(int(match[1]), int(match[2]))
    total, found, complete = run_seeds(point, days, without, processes)
    if as_json:
        shown: dict[str, Any] = {"point": point, "seeds": seeds, **asdict(total)}
        print(json.dumps(shown | {"without": without, "complete": complete, "found": found}))
    else:
        rows = {"point": point, "seeds": seeds, **asdict(total)}
        print("\n".join(f"{name:24} {value}" for name, value in rows.items()))
        print("\n".join(found[:20]))
    if not complete:
        return 130
    return 1 if total.violations() else 0


def run_seeds(
    point: int, days: range, without: str, processes: int
) -> tuple[ScenarioCounts, list[str], bool]:
    """The sum of the days, what was found, and whether all days were played."""
    total, done = ScenarioCounts(), 0
    found: list[str] = []
    act = partial(run_seed, point, without)
    try:
        if processes == 1 or len(days) == 1:
            for one in map(act, days):
                done += 1
                add_outcome(total, found, one)
        else:
            with multiprocessing.Pool(min(processes, len(days)), ignore_interrupts) as pool:
                for one in pool.imap_unordered(act, days):
                    done += 1
                    add_outcome(total, found, one)
                    if done % 50 == 0:
                        print(f"lab control: {done} of {len(days)} days", file=sys.stderr, flush=True)
    except KeyboardInterrupt:
        print(f"lab control: ended after {done} of {len(days)} days", file=sys.stderr, flush=True)
        return total, sorted(found), False
    return total, sorted(found), True


def ignore_interrupts() -> None:
    """A Ctrl-C is the first process's to hear."""
    import signal

    signal.signal(signal.SIGINT, signal.SIG_IGN)


def add_outcome(total: ScenarioCounts, found: list[str], one: ScenarioOutcome) -> None:
    seed, counts, texts = one
    total.merge(counts)
    found += [f"seed {seed}: {text}" for text in texts[:3]]


def run_seed(point: int, without: str, seed: int) -> ScenarioOutcome:
    with guards.without_guard(without):
        truth = drill.run_scenario(point, seed)
    return seed, truth.counts, truth.messages
