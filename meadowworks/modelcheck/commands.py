"""`meadowworks check`: explores the models, searches for the seeded faults and replays counterexamples."""

from __future__ import annotations

import json
import os
import re
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

from cappa import Arg
from rich.console import Console
from rich.progress import Progress, SpinnerColumn, TextColumn

from meadowworks.cli.errors import CommandError
from meadowworks.modelcheck import report
from meadowworks.modelcheck.baseline_explorer import compare_with_baseline
from meadowworks.modelcheck.catalog import MODELS, SEEDED_FAULTS, build_model
from meadowworks.modelcheck.counterexample_file import read_counterexample, replay_counterexample, to_json
from meadowworks.modelcheck.explorer import explore
from meadowworks.modelcheck.fault_search import FaultSearch, find_faults
from meadowworks.modelcheck.model import Model, Result


def check(
    model: Annotated[str, Arg(help=f"{', '.join(MODELS)}; default: all models")] = "",
    large: Annotated[
        bool, Arg(long=True, help="explore larger worlds: takes minutes on several cores")
    ] = False,
    seeded: Annotated[bool, Arg(long="--faults/--no-faults", help="search for the seeded faults too")] = True,
    workers: Annotated[int, Arg(long=True, help="number of processes; 0: one per core")] = 0,
    most: Annotated[
        str, Arg(long=True, help="bound on the states per model; the report states what was not visited")
    ] = "",
    depth: Annotated[str, Arg(long=True, help="bound on the steps of a path")] = "",
    play: Annotated[Path | None, Arg(long=True, help="replay the counterexample in this file")] = None,
    keep: Annotated[
        Path | None, Arg(long=True, help="directory for the counterexamples, one file each")
    ] = None,
    baseline: Annotated[bool, Arg(long=True, help="compare with the speed of the baseline explorer")] = False,
    as_json: Annotated[bool, Arg(long="--json", help="print one JSON object on standard output")] = False,
) -> int:
    """Explore the product's state machines exhaustively and report violated properties with a shortest path.

    Exit code 0 if all properties hold and all seeded faults are found, 1 if not.
    """
    # The docstring is the text of --help.
    bounds = Bounds(parse_bound(most, "--most"), parse_bound(depth, "--depth"))
    if workers < 0:
        raise CommandError(f"--workers must be 0 or more, not {workers}")
    workers = workers or os.cpu_count() or 1
    if play:
        return replay_file(play, as_json)
    names = [model] if model else list(MODELS)
    for name in names:
        build_model(name, large)  # rejects an unknown name before any exploration
    if baseline:
        return compare_explorers(names, workers, as_json)
    with_faults = seeded and not large  # searching for all faults in the larger worlds takes hours
    faults = [fault.name for fault in SEEDED_FAULTS if fault.model in names] if with_faults else []
    return check_models(names, faults, workers, bounds, large=large, keep=keep, as_json=as_json)


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds on an exploration: `max_states` 0 is unbounded, `max_depth` 0 keeps the bound of the model."""

    max_states: int
    max_depth: int


def parse_bound(text: str, option: str) -> int:
    """Parse a bound; an empty text gives 0.

    :raises CommandError: if the text is not a whole number above 0.
    """
    if not text:
        return 0
    if not re.fullmatch(r"[0-9]{1,12}", text) or not int(text):
        raise CommandError(f"{option} is a whole number above 0, not {text[:40]!r}")
    return int(text)


def check_models(
    names: Sequence[str],
    faults: Sequence[str],
    workers: int,
    bounds: Bounds,
    *,
    large: bool,
    keep: Path | None,
    as_json: bool,
) -> int:
    """Explore models, search for faults and report both; return the exit code, 1 if anything failed."""
    console = Console(stderr=as_json, highlight=False)
    results = [run_model(name, large, workers, bounds) for name in names]
    for model, result in results:
        report.print_result(console, model, result)
    searches = search_faults(faults, workers)
    report.print_faults(console, searches)
    if keep:
        write_counterexamples(keep, results, searches, large)
    if as_json:
        models = [report.result_to_json(model, result, large) for model, result in results]
        print(json.dumps({"models": models, "faults": [report.fault_to_json(search) for search in searches]}))
    passed = all(not result.counterexamples for _, result in results) and all(
        search.found for search in searches
    )
    return 0 if passed else 1


def run_model(name: str, large: bool, workers: int, bounds: Bounds) -> tuple[Model, Result]:
    """Explore one model and show progress on the terminal."""
    model = build_model(name, large, bounds.max_depth)
    with progress_bar(name) as progress:
        task = progress.add_task("")

        def on_level(depth: int, states: int) -> None:
            progress.update(task, description=f"{states} states, {depth - 1} steps deep")

        return model, explore(model, workers, bounds.max_states, on_level=on_level)


def search_faults(names: Sequence[str], workers: int) -> list[FaultSearch]:
    """Search for seeded faults and show progress on the terminal."""
    searches = []
    with progress_bar("seeded faults") as progress:
        task = progress.add_task("")
        for search in find_faults(names, workers):
            searches.append(search)
            progress.update(task, description=f"{len(searches)} of {len(names)}")
    return searches


def progress_bar(label: str) -> Progress:
    """Return a progress line that is hidden unless standard error is a terminal."""
    return Progress(
        SpinnerColumn(),
        TextColumn(label + " {task.description}"),
        console=Console(stderr=True),
        transient=True,
        disable=not sys.stderr.isatty(),
    )


def write_counterexamples(
    directory: Path, results: Sequence[tuple[Model, Result]], searches: Sequence[FaultSearch], large: bool
) -> None:
    """Write one file per counterexample, named after the model and the property or fault.

    :raises CommandError: if the directory cannot be written.
    """
    try:
        directory.mkdir(parents=True, exist_ok=True)
        for model, result in results:
            for counterexample in result.counterexamples:
                write_counterexample(
                    directory, f"{model.name} {counterexample.name}", to_json(model, counterexample, large)
                )
        for search in searches:
            if search.counterexample:
                fault = search.fault
                model = build_model(fault.model, fault.large)
                stored = to_json(model, search.counterexample, fault.large, fault.name)
                write_counterexample(directory, f"{model.name} {fault.name}", stored)
    except OSError as error:
        raise CommandError(f"{directory} cannot be written: {error.strerror}") from error


def write_counterexample(directory: Path, name: str, stored: dict[str, Any]) -> None:
    """Write one file; its name keeps the letters and digits of `name`."""
    file_stem = re.sub(r"[^a-z0-9]+", "-", name.lower()).strip("-")
    (directory / f"{file_stem}.json").write_text(json.dumps(stored, indent=1) + "\n", encoding="utf-8")


def replay_file(file: Path, as_json: bool) -> int:
    """Replay a counterexample; return 1 if it violates its property again, else 0.

    :raises CommandError: if the path does not fit its model.
    """
    stored = read_counterexample(file)
    try:
        model, broken = replay_counterexample(stored)
    except (ValueError, LookupError, TypeError) as error:
        raise CommandError(f"{file}: {error}") from error
    holds = stored.violates not in broken
    if as_json:
        print(
            json.dumps({"model": model.name, "property": stored.violates, "holds": holds, "broken": broken})
        )
    else:
        for number, step in enumerate((*stored.steps, *stored.cycle), 1):
            print(f"{number:3}. {model.describe_step(step)}")
        print(f"{stored.violates}: {'holds' if holds else 'BROKEN'}")
    return 0 if holds else 1


def compare_explorers(names: Sequence[str], workers: int, as_json: bool) -> int:
    """Compare the baseline explorer with `explore`, in one process and in several."""
    comparisons = {name: compare_with_baseline(name, workers) for name in names}
    rows = [report.comparison_to_json(name, comparison, workers) for name, comparison in comparisons.items()]
    if as_json:
        print(json.dumps({"baseline": rows}))
    else:
        report.print_comparisons(Console(highlight=False), rows, workers)
    return 0 if all(comparison.same_states for comparison in comparisons.values()) else 1
