"""`meadowworks days SITE --bench PATH`: the project's own days (`days/*.toml`), played by the users' bench.

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
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Annotated, Any

from cappa import Arg

from meadowworks.cli.errors import CommandError

DAYS_FOLDER = Path(__file__).parent / "days"
MAX_JOBS = 8
MAX_SEEDS = 100
CONTRACT_NOT_OPEN = re.compile(r"(\w+): (contract \w+) is not open$")  # said of a fault that a site lacks


@dataclass(frozen=True, slots=True)
class DayOutcome:
    """How one day went.

    It has passed if it was played to its end, broke no rule and passed its gate. A day whose faults need a
    contract that the site has not is `left_out`; that is no failure and is said.
    """

    name: str
    passed: bool
    summary: str
    left_out: bool = False


@dataclass(frozen=True, slots=True)
class DayRun:
    """A day to be played, with a seed; 0 stands for the day's own."""

    file: Path
    seed: int

    @property
    def label(self) -> str:
        """The name of the day, with its seed if that is not its own."""
        return f"{self.file.stem} {self.seed}" if self.seed else self.file.stem


@dataclass(frozen=True, slots=True)
class Bench:
    """The users' bench, and the site and the line of the journal that it is called with."""

    program: Path
    site: Path
    journal_line: str

    async def run(self, run: DayRun) -> DayOutcome:
        """Play one day by a process of the bench, which is ended with it; the bench writes the journal."""
        name = run.file.stem
        with tempfile.TemporaryDirectory() as folder:
            report = Path(folder) / "report.json"
            try:
                output = await self._output(self._arguments(run, report))
            except OSError as error:
                return DayOutcome(name, False, f"not played: {error}")
            if not report.exists():
                return explain_missing_report(name, output)
            outcome = evaluate_report(name, json.loads(report.read_text("utf-8")))
        snapshot = next((line for line in output if line.startswith("snapshot ")), "no snapshot")
        return replace(outcome, summary=f"{outcome.summary}; {snapshot}")

    def _arguments(self, run: DayRun, report: Path) -> list[str]:
        arguments = ["run", str(self.site), str(run.file), "--jobs", "1", "--why", self.journal_line]
        arguments += ["--report", str(report)]
        return [*arguments, "--seed", str(run.seed)] if run.seed else arguments

    async def _output(self, arguments: Sequence[str]) -> list[str]:
        """Return the lines that the bench prints, without empty ones."""
        process = await asyncio.create_subprocess_exec(
            str(self.program), *arguments, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT
        )
        try:
            output, _ = await process.communicate()
        finally:
            if process.returncode is None:
                process.terminate()
                await process.wait()
        return [line for line in output.decode(errors="replace").split("\n") if line.strip()]


def day_files(folder: Path, only: Sequence[str]) -> list[Path]:
    """Return the files of the days asked for, all without names, in order of their names.

    :raises CommandError: for an unknown name, and for a file that can't be read or has another name in it.
    """
    files = {file.stem: file for file in sorted(folder.glob("*.toml"))}
    if unknown := [name for name in only if name not in files]:
        raise CommandError(f"there is no day {unknown[0]!r}: there are {', '.join(files)}")
    for name, file in files.items():
        try:
            own_name = tomllib.loads(file.read_text("utf-8")).get("name")
        except (OSError, ValueError) as error:
            raise CommandError(f"{file}: {error}") from None
        if own_name != name:
            raise CommandError(f"{file} says the name {own_name!r}")
    return [file for name, file in files.items() if not only or name in only]


def evaluate_report(name: str, report: Mapping[str, Any]) -> DayOutcome:
    """Return what the bench's report of a day says.

    That is broken rules, else a fault, else what the gate lacks, else the worth (0 to 1, before prices).
    """
    if broken := report.get("breaks"):
        rules = ", ".join(f"{rule} {times}" for rule, times in broken.items())
        return DayOutcome(name, False, f"BROKEN {rules}")
    if report.get("fault"):
        return DayOutcome(name, False, f"FAULT {report['fault']}")
    if report.get("short"):
        return DayOutcome(name, False, "GATE failed: " + ", ".join(map(str, report["short"])))
    return DayOutcome(name, True, f"passed, worth {report['served']:.3f}")


def explain_missing_report(name: str, output: Sequence[str]) -> DayOutcome:
    """Return why a day was not played, by the last line of the bench."""
    last = output[-1] if output else "the bench says nothing"
    if closed := CONTRACT_NOT_OPEN.search(last):
        return DayOutcome(name, True, f"left out, {closed[1]} needs {closed[2]}", left_out=True)
    return DayOutcome(name, False, f"not played: {last}")


async def run_days(bench: Bench, runs: Sequence[DayRun], jobs: int) -> list[DayOutcome]:
    """Play days, `jobs` at a time, and print one line as each ends."""
    limit = asyncio.Semaphore(jobs)

    async def run_one(run: DayRun) -> DayOutcome:
        async with limit:
            outcome = await bench.run(run)
        print(f"{run.label:20} {bench.site.stem:20} {outcome.summary}", flush=True)
        return outcome

    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(run_one(run)) for run in runs]
    return [task.result() for task in tasks]


def days(
    site: Annotated[str, Arg(help="the site's TOML file")],
    bench: Annotated[str, Arg(long=True, help="the users' fleetbench; it plays the folder it is run in")],
    only: Annotated[list[str] | None, Arg(long=True, help="one day by its name; may be given again")] = None,
    seeds: Annotated[int, Arg(long=True, help="plays of each day, with seeds 1, 2, ... and not its own")] = 0,
    jobs: Annotated[int, Arg(long=True, help=f"days at a time, 1 to {MAX_JOBS}")] = 2,
    why: Annotated[str, Arg(long=True, help="a line for the bench's journal")] = "days of our own",
) -> int:
    """Play the project's own days on a site.

    Status 0 if all pass, 1 if a rule was broken, a gate was missed or a day could not be played.
    """
    # The docstring is the text of --help.
    if not 1 <= jobs <= MAX_JOBS:
        raise CommandError(f"{jobs} days at a time: 1 to {MAX_JOBS}")
    if not 0 <= seeds <= MAX_SEEDS:
        raise CommandError(f"{seeds} seeds: 0 to {MAX_SEEDS}")
    for file in (site, bench):
        if not Path(file).is_file():
            raise CommandError(f"there is no file {file}")
    if not os.access(bench, os.X_OK):
        raise CommandError(f"{bench} is no program")
    files = day_files(DAYS_FOLDER, only or [])
    runs = [DayRun(file, seed) for seed in range(1, seeds + 1) or (0,) for file in files]
    outcomes = asyncio.run(run_days(Bench(Path(bench).resolve(), Path(site), why), runs, jobs))
    failed = sum(not outcome.passed for outcome in outcomes)
    left_out = sum(outcome.left_out for outcome in outcomes)
    played = f"{len(runs) - left_out} days on {Path(site).stem}"
    print(f"{played}, {failed} that did not hold, {left_out} left out")
    return 1 if failed else 0
