"""`meadowworks check`: explores the models, looks for the seeded faults, replays counterexamples."""

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
    model: Annotated[str, Arg(help=f"{', '.join(MODELS)}; all without one")] = "",
    large: Annotated[bool, Arg(long=True, help="larger worlds: minutes on several cores")] = False,
    seeded: Annotated[bool, Arg(long="--faults/--no-faults", help="look for the seeded faults too")] = True,
    workers: Annotated[int, Arg(long=True, help="processes; 0: one a core")] = 0,
    most: Annotated[
        str, Arg(long=True, help="a bound on the states of a model; what it leaves out is said")
    ] = "",
    depth: Annotated[str, Arg(long=True, help="a bound on the steps of a path")] = "",
    play: Annotated[Path | None, Arg(long=True, help="replay the path in this file")] = None,
    keep: Annotated[Path | None, Arg(long=True, help="a folder for the paths found, a file each")] = None,
    baseline: Annotated[bool, Arg(long=True, help="time the plain explorer beside this one")] = False,
    as_json: Annotated[bool, Arg(long="--json", help="one JSON object on standard output")] = False,
) -> int:
    """Explore the product's state machines exhaustively and say which property breaks, by the shortest path.

    Status 0 if all properties hold and all seeded faults are found, 1 if not.
    """
    # The docstring is the text of --help.
    bounds = Bounds(parse_bound(most, "--most"), parse_bound(depth, "--depth"))
    if workers < 0:
        raise CommandError("--workers is 0 or more")
    workers = workers or os.cpu_count() or 1
    if play:
        return replay_file(play, as_json)
    names = [model] if model else list(MODELS)
    for name in names:
        build_model(name, large)  # an unknown name is refused before anything is done
    if baseline:
        return compare_explorers(names, workers, as_json)
    with_faults = seeded and not large  # the larger worlds would take hours for all faults
    faults = [fault.name for fault in SEEDED_FAULTS if fault.model in names] if with_faults else []
    return check_models(names, faults, workers, bounds, large=large, keep=keep, as_json=as_json)


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds on an exploration; 0 stands for none, or for the model's own."""

    max_states: int
    max_depth: int


def parse_bound(text: str, option: str) -> int:
    """Read a bound, 0 if none is given.

    :raises CommandError: for anything but a whole number above 0.
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
    """Explore models, look for faults, and report both; the exit code is 1 if anything is amiss."""
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
        print(json.dumps({"models": models, "faults": [report.fault_to_json(one) for one in searches]}))
    sound = all(not result.counterexamples for _, result in results) and all(one.found for one in searches)
    return 0 if sound else 1


def run_model(name: str, large: bool, workers: int, bounds: Bounds) -> tuple[Model, Result]:
    """Explore one model, with progress on the terminal."""
    model = build_model(name, large, bounds.max_depth)
    with progress_bar(name) as progress:
        task = progress.add_task("")

        def on_level(depth: int, states: int) -> None:
            progress.update(task, description=f"{states} states, {depth - 1} steps deep")

        return model, explore(model, workers, bounds.max_states, on_level=on_level)


def search_faults(names: Sequence[str], workers: int) -> list[FaultSearch]:
    """Look for seeded faults, with progress on the terminal."""
    searches = []
    with progress_bar("seeded faults") as progress:
        task = progress.add_task("")
        for one in find_faults(names, workers):
            searches.append(one)
            progress.update(task, description=f"{len(searches)} of {len(names)}")
    return searches


def progress_bar(label: str) -> Progress:
    """Return a progress line that is shown on a terminal and nowhere else."""
    return Progress(
        SpinnerColumn(),
        TextColumn(label + " {task.description}"),
        console=Console(stderr=True),
        transient=True,
        disable=not sys.stderr.isatty(),
    )


def write_counterexamples(
    folder: Path, results: Sequence[tuple[Model, Result]], searches: Sequence[FaultSearch], large: bool
) -> None:
    """Write a file for each counterexample, under the property's or the fault's name.

    :raises CommandError: if the folder can't be written.
    """
    try:
        folder.mkdir(parents=True, exist_ok=True)
        for model, result in results:
            for found in result.counterexamples:
                write_counterexample(folder, f"{model.name} {found.name}", to_json(model, found, large))
        for search in searches:
            if search.counterexample:
                fault = search.fault
                model = build_model(fault.model, fault.large)
                stored = to_json(model, search.counterexample, fault.large, fault.name)
                write_counterexample(folder, f"{model.name} {fault.name}", stored)
    except OSError as error:
        raise CommandError(f"{folder} cannot be written: {error.strerror}") from error


def write_counterexample(folder: Path, name: str, stored: dict[str, Any]) -> None:
    """Write one file, named by the letters and digits of `name`."""
    plain_name = re.sub(r"[^a-z0-9]+", "-", name.lower()).strip("-")
    (folder / f"{plain_name}.json").write_text(json.dumps(stored, indent=1) + "\n", encoding="utf-8")


def replay_file(file: Path, as_json: bool) -> int:
    """Replay a counterexample; the exit code is 1 where it breaks its property again, as for a check.

    :raises CommandError: for a path that does not fit its model.
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
    """Time the baseline explorer and this one, in one process and in several, one after another."""
    comparisons = {name: compare_with_baseline(name, workers) for name in names}
    rows = [report.comparison_to_json(name, one, workers) for name, one in comparisons.items()]
    if as_json:
        print(json.dumps({"baseline": rows}))
    else:
        report.print_comparisons(Console(highlight=False), rows, workers)
    return 0 if all(one.same_states for one in comparisons.values()) else 1
