"""`meadowworks days SITE --bench PATH`: the days of our own (`lab/days/*.toml`), played by the users' bench.

A day is a TOML file in the form of a site's `[[day]]`; it names no zone, service or address, so it plays on
any site. One line a day is printed as the day ends: what was played stands when the rest is broken off.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import tempfile
import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

from cappa import Arg

from meadowworks.cli.main import CommandError

DAYS_FOLDER = Path(__file__).parent / "days"
MAX_JOBS = 8
MAX_SEEDS = 100
CONTRACT_NOT_OPEN = re.compile(
    r"(\w+): (contract \w+) is not open$"
)  # a kind of trouble that a site does not have


@dataclass(frozen=True)
class DayOutcome:
    """How one day went: `held` if it was played to its end, broke no rule and passed its gate. A day whose
    kinds need a contract that the site has not is `left_out`; that is no failure and is said."""

    name: str
    passed: bool
    summary: str
    left_out: bool = False


def day_files(folder: Path, only: Sequence[str]) -> list[Path]:
    """The files of the days asked for, all without names, in order of their names. Raises Bad for a name that
    there is not, and for a file that can't be read or says another name than its own."""
    files = {file.stem: file for file in sorted(folder.glob("*.toml"))}
    if unknown := [name for name in only if name not in files]:
        raise CommandError(f"there is no day {unknown[0]!r}: there are {', '.join(files)}")
    for name, file in files.items():
        try:
            said = tomllib.loads(file.read_text("utf-8")).get("name")
        except (OSError, ValueError) as trouble:
            raise CommandError(f"{file}: {trouble}") from None
        if said != name:
            raise CommandError(f"{file} says the name {said!r}")
    return [file for name, file in files.items() if not only or name in only]


def evaluate_report(name: str, report: Mapping[str, Any]) -> DayOutcome:
    """What the bench's report of a day says: broken rules, else a fault, else what the gate lacks, else its
    worth (0 to 1, before prices)."""
    if broken := report.get("breaks"):
        rules = ", ".join(f"{rule} {times}" for rule, times in broken.items())
        return DayOutcome(name, False, f"BROKEN {rules}")
    if report.get("fault"):
        return DayOutcome(name, False, f"FAULT {report['fault']}")
    if report.get("short"):
        return DayOutcome(name, False, "GATE failed: " + ", ".join(map(str, report["short"])))
    return DayOutcome(name, True, f"passed, worth {report['served']:.3f}")


async def run_day(bench: Path, site: Path, file: Path, seed: int, journal_line: str) -> DayOutcome:
    """One day by one process of the bench, which is ended with it; seed 0 is the day's own. The journal entry
    is the bench's."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        words = ["run", str(site), str(file), "--jobs", "1", "--why", journal_line, "--report", str(report)]
        words += ["--seed", str(seed)] if seed else []
        try:
            run = await asyncio.create_subprocess_exec(
                str(bench), *words, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT
            )
        except OSError as trouble:
            return DayOutcome(file.stem, False, f"not played: {trouble}")
        try:
            said = (await run.communicate())[0].decode(errors="replace").split("\n")
        finally:
            if run.returncode is None:
                run.terminate()
                await run.wait()
        lines = [line for line in said if line.strip()]
        if not report.exists():
            last = lines[-1] if lines else "the bench says nothing"
            if closed := CONTRACT_NOT_OPEN.search(last):
                return DayOutcome(file.stem, True, f"left out, {closed[1]} needs {closed[2]}", left_out=True)
            return DayOutcome(file.stem, False, f"not played: {last}")
        found = evaluate_report(file.stem, json.loads(report.read_text("utf-8")))
    snapshot = next((line for line in lines if line.startswith("snapshot ")), "no snapshot")
    return DayOutcome(found.name, found.passed, f"{found.summary}; {snapshot}")


async def run_days(
    bench: Path, site: Path, runs: Sequence[tuple[Path, int]], jobs: int, journal_line: str
) -> list[DayOutcome]:
    """Plays days, each with a seed, `jobs` at a time, and prints one line as each ends."""
    room = asyncio.Semaphore(jobs)

    async def one(file: Path, seed: int) -> DayOutcome:
        async with room:
            outcome = await run_day(bench, site, file, seed, journal_line)
        label = f"{outcome.name} {seed}" if seed else outcome.name
        print(f"{label:20} {site.stem:20} {outcome.summary}", flush=True)
        return outcome

    async with asyncio.TaskGroup() as group:
        played = [group.create_task(one(*one_play)) for one_play in runs]
    return [task.result() for task in played]


def days(
    site: Annotated[str, Arg(help="the site's TOML file")],
    bench: Annotated[str, Arg(long=True, help="the users' fleetbench; it plays the folder it is run in")],
    only: Annotated[list[str] | None, Arg(long=True, help="one day by its name; may be given again")] = None,
    seeds: Annotated[int, Arg(long=True, help="plays of each day, with seeds 1, 2, ... and not its own")] = 0,
    jobs: Annotated[int, Arg(long=True, help=f"days at a time, 1 to {MAX_JOBS}")] = 2,
    why: Annotated[str, Arg(long=True, help="a line for the bench's journal")] = "days of our own",
) -> int:
    """Plays the days of our own on a site. Status 0 if all hold, 1 if a rule was broken, a gate was missed or
    a day could not be played."""
    if not 1 <= jobs <= MAX_JOBS:
        raise CommandError(f"{jobs} days at a time: 1 to {MAX_JOBS}")
    if not 0 <= seeds <= MAX_SEEDS:
        raise CommandError(f"{seeds} seeds: 0 to {MAX_SEEDS}")
    for file in (site, bench):
        if not Path(file).is_file():
            raise CommandError(f"there is no file {file}")
    if not os.access(bench, os.X_OK):
        raise CommandError(f"{bench} is no program")
    plays = [
        (file, seed) for seed in range(1, seeds + 1) or (0,) for file in day_files(DAYS_FOLDER, only or [])
    ]
    outcomes = asyncio.run(run_days(Path(bench).resolve(), Path(site), plays, jobs, why))
    failed, left_out = sum(not o.passed for o in outcomes), sum(o.left_out for o in outcomes)
    played = f"{len(plays) - left_out} days on {Path(site).stem}"
    print(f"{played}, {failed} that did not hold, {left_out} left out")
    return 1 if failed else 0
