"""`meadowworks days SITE --bench PATH`: plays the project's own days (`days/*.toml`) with the users' bench.

A day is a test scenario: a TOML file in the format of a site's `[[day]]`. It contains no zone, service or
address, so it runs on any site. Each result is printed as soon as its day ends, so an interrupted run shows
the results so far.
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
CONTRACT_NOT_OPEN = re.compile(
    r"(\w+): (contract \w+) is not open$"
)  # for a fault that the site doesn't support


@dataclass(frozen=True, slots=True)
class DayOutcome:
    """The outcome of one day.

    `passed` means that the day ran to its end, violated no rule and passed its gate. A day is `left_out` if
    its faults need a contract that the site doesn't have; it is reported and doesn't count as failed.
    """

    name: str
    passed: bool
    summary: str
    left_out: bool = False


@dataclass(frozen=True, slots=True)
class DayRun:
    """A day to run and its seed; 0 stands for the seed in the day's file."""

    file: Path
    seed: int

    @property
    def label(self) -> str:
        """The name of the day, followed by the seed unless that is the one in the file."""
        return f"{self.file.stem} {self.seed}" if self.seed else self.file.stem


@dataclass(frozen=True, slots=True)
class Bench:
    """The users' bench, the site to run on, and the line for the bench's journal."""

    program: Path
    site: Path
    journal_line: str

    async def run(self, run: DayRun) -> DayOutcome:
        """Run one day in a bench process, which writes the journal; cancellation terminates the process."""
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
        """Run the bench and return the non-empty lines of its output."""
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
    """Return the files of the given days, or of all days if none is given, sorted by name.

    :raises CommandError: for an unknown day, an unreadable file, or a `name` other than the file's name
    """
    files = {file.stem: file for file in sorted(folder.glob("*.toml"))}
    if unknown := [name for name in only if name not in files]:
        raise CommandError(f"there is no day {unknown[0]!r}; the days are {', '.join(files)}")
    for name, file in files.items():
        try:
            own_name = tomllib.loads(file.read_text("utf-8")).get("name")
        except (OSError, ValueError) as error:
            raise CommandError(f"{file}: {error}") from None
        if own_name != name:
            raise CommandError(f"{file}: name is {own_name!r}, must be the file's name without .toml")
    return [file for name, file in files.items() if not only or name in only]


def evaluate_report(name: str, report: Mapping[str, Any]) -> DayOutcome:
    """Return the outcome of a day by the bench's report.

    The summary is the first that applies: the violated rules, the fault, the failed parts of the gate, or the
    worth (0 to 1, before prices).
    """
    if violations := report.get("breaks"):
        rules = ", ".join(f"{rule} {times}" for rule, times in violations.items())
        return DayOutcome(name, False, f"BROKEN {rules}")
    if report.get("fault"):
        return DayOutcome(name, False, f"FAULT {report['fault']}")
    if report.get("short"):
        return DayOutcome(name, False, "GATE failed: " + ", ".join(map(str, report["short"])))
    return DayOutcome(name, True, f"passed, worth {report['served']:.3f}")


def explain_missing_report(name: str, output: Sequence[str]) -> DayOutcome:
    """Return the outcome of a day without a report, by the last line of the bench's output."""
    last = output[-1] if output else "the bench printed nothing"
    if match := CONTRACT_NOT_OPEN.search(last):
        return DayOutcome(name, True, f"left out, {match[1]} needs {match[2]}", left_out=True)
    return DayOutcome(name, False, f"not played: {last}")


async def run_days(bench: Bench, runs: Sequence[DayRun], jobs: int) -> list[DayOutcome]:
    """Run days, `jobs` at a time, and print one line as each ends."""
    semaphore = asyncio.Semaphore(jobs)

    async def run_one(run: DayRun) -> DayOutcome:
        async with semaphore:
            outcome = await bench.run(run)
        print(f"{run.label:20} {bench.site.stem:20} {outcome.summary}", flush=True)
        return outcome

    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(run_one(run)) for run in runs]
    return [task.result() for task in tasks]


def days(
    site: Annotated[str, Arg(help="the site's TOML file")],
    bench: Annotated[str, Arg(long=True, help="path of the users' fleetbench; it plays the current folder")],
    only: Annotated[list[str] | None, Arg(long=True, help="name of a day to play; can be repeated")] = None,
    seeds: Annotated[
        int, Arg(long=True, help="play each day so often, with seeds 1, 2, ... in place of its own")
    ] = 0,
    jobs: Annotated[int, Arg(long=True, help=f"days to play at a time, 1 to {MAX_JOBS}")] = 2,
    why: Annotated[str, Arg(long=True, help="line for the bench's journal")] = "days of our own",
) -> int:
    """Play the project's own days on a site.

    Status 0 if all pass, 1 if a rule was broken, a gate was missed or a day could not be played.
    """
    # The docstring is shown by --help.
    if not 1 <= jobs <= MAX_JOBS:
        raise CommandError(f"--jobs must be from 1 to {MAX_JOBS}, not {jobs}")
    if not 0 <= seeds <= MAX_SEEDS:
        raise CommandError(f"--seeds must be from 0 to {MAX_SEEDS}, not {seeds}")
    for file in (site, bench):
        if not Path(file).is_file():
            raise CommandError(f"there is no file {file}")
    if not os.access(bench, os.X_OK):
        raise CommandError(f"{bench} is not executable")
    files = day_files(DAYS_FOLDER, only or [])
    runs = [DayRun(file, seed) for seed in range(1, seeds + 1) or (0,) for file in files]
    outcomes = asyncio.run(run_days(Bench(Path(bench).resolve(), Path(site), why), runs, jobs))
    failed = sum(not outcome.passed for outcome in outcomes)
    left_out = sum(outcome.left_out for outcome in outcomes)
    played = f"{len(runs) - left_out} days on {Path(site).stem}"
    print(f"{played}, {failed} that did not hold, {left_out} left out")
    return 1 if failed else 0
