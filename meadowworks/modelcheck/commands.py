"""`meadowworks check`: explores the models, looks for the seeded faults, plays paths again."""

from __future__ import annotations

import json
import os
import re
import sys
from pathlib import Path
from typing import Annotated, Any

from cappa import Arg
from rich.console import Console
from rich.progress import Progress, SpinnerColumn, TextColumn
from rich.table import Table

from meadowworks.cli.main import CommandError
from meadowworks.modelcheck import faults, paths, runs
from meadowworks.modelcheck.explore import IMPLICIT_PROPERTIES, explore
from meadowworks.modelcheck.model import Counterexample, Model, Result


def check(
    model: Annotated[str, Arg(help=f"{', '.join(runs.MODELS)}; all without one")] = "",
    large: Annotated[bool, Arg(long=True, help="larger worlds: minutes on several cores")] = False,
    seeded: Annotated[bool, Arg(long="--faults/--no-faults", help="look for the seeded faults too")] = True,
    workers: Annotated[int, Arg(long=True, help="processes; 0: one a core")] = 0,
    most: Annotated[
        str, Arg(long=True, help="a bound on the states of a model; what it leaves out is said")
    ] = "",
    depth: Annotated[str, Arg(long=True, help="a bound on the steps of a path")] = "",
    play: Annotated[Path | None, Arg(long=True, help="play the path in this file again")] = None,
    keep: Annotated[Path | None, Arg(long=True, help="a folder for the paths found, a file each")] = None,
    baseline: Annotated[bool, Arg(long=True, help="time the plain explorer beside this one")] = False,
    as_json: Annotated[bool, Arg(long="--json", help="one JSON object on standard output")] = False,
) -> int:
    """Explore the product's machines whole and say which property breaks, with the shortest path."""
    bound, steps = parse_bound(most, "--most"), parse_bound(depth, "--depth")
    if workers < 0:
        raise CommandError("--workers is 0 or more")
    workers = workers or os.cpu_count() or 1
    if play:
        return replay_file(play, as_json)
    names = [model] if model else list(runs.MODELS)
    for name in names:
        runs.model_of(name, large)  # an unknown one is told before anything is done
    if baseline:
        return compare_explorers(names, workers, as_json)
    out = Console(stderr=as_json, highlight=False)
    results = [run_model(name, large, workers, bound, steps) for name in names]
    for built, result in results:
        print_result(out, built, result)
    wanted = [fault.name for fault in faults.FAULTS if fault.model in names] if seeded and not large else []
    found = search_faults(wanted, workers)
    print_faults(out, found)
    if keep:
        write_paths(keep, results, found, large)
    if as_json:
        print(
            json.dumps(
                {
                    "models": [result_to_json(*pair, large) for pair in results],
                    "faults": [fault_to_json(one) for one in found],
                }
            )
        )
    sound = all(not result.counterexamples for _, result in results) and all(one.found for one in found)
    return 0 if sound else 1


def parse_bound(text: str, option: str) -> int:
    """A bound, if one is given."""
    if not text:
        return 0
    if not re.fullmatch(r"[0-9]{1,12}", text) or not int(text):
        raise CommandError(f"{option} is a whole number above 0, not {text[:40]!r}")
    return int(text)


def progress_bar(label: str) -> Progress:
    """Shown on a terminal and nowhere else."""
    console = Console(stderr=True)
    return Progress(
        SpinnerColumn(),
        TextColumn(label + " {task.description}"),
        console=console,
        transient=True,
        disable=not sys.stderr.isatty(),
    )


def run_model(name: str, large: bool, workers: int, max_states: int, max_depth: int) -> tuple[Model, Result]:
    built = runs.model_of(name, large, max_depth)
    with progress_bar(name) as progress:
        task = progress.add_task("")
        return built, explore(
            built,
            workers,
            max_states,
            on_level=lambda depth, states: progress.update(
                task, description=f"{states} states, {depth - 1} steps deep"
            ),
        )


def search_faults(names: list[str], workers: int) -> list[runs.FaultSearch]:
    with progress_bar("seeded faults") as progress:
        task = progress.add_task("")
        found = []
        for one in runs.find_faults(names, workers):
            found.append(one)
            progress.update(task, description=f"{len(found)} of {len(names)}")
        return found


def print_result(out: Console, built: Model, result: Result) -> None:
    how = "complete" if result.complete else f"left out: {result.left_out}"
    out.print(f"[bold]{built.name}[/bold]: {built.description}")
    out.print(
        f"  {result.states} states, {result.transitions} transitions, {result.depth} steps deep, "
        f"{result.seconds:.1f} s, {how}"
    )
    for name, value in (result.metrics or {}).items():
        out.print(f"  {name}: {value:g}")
    broken = {b.name: b for b in result.counterexamples}
    for name, words in reported_properties(built):
        out.print(f"  {'[red]BROKEN[/red]' if name in broken else 'holds'}  {name}: {words}")
        if name in broken:
            print_path(out, built, broken[name])


def reported_properties(built: Model) -> list[tuple[str, str]]:
    return (
        [(p.name, p.description) for p in built.properties]
        + [(p.name, p.description) for p in built.liveness]
        + [(p.name, p.description) for p in IMPLICIT_PROPERTIES]
    )


def print_path(out: Console, built: Model, broken: Counterexample) -> None:
    out.print(f"          from start {broken.start_index}" + (f" ({broken.reason})" if broken.reason else ""))
    for place, said in enumerate(paths.described_steps(built, broken), 1):
        out.print(f"          {place:3}. {said}", markup=False)


def print_faults(out: Console, found: list[runs.FaultSearch]) -> None:
    if not found:
        return
    table = Table("model", "a guard taken out", "found by", "steps", box=None)
    for one in found:
        by = one.counterexample.name if one.found and one.counterexample else "[red]NOT FOUND[/red]"
        table.add_row(one.fault.model, one.fault.name, by, str(path_length(one)) if one.found else "")
    out.print(table)
    out.print(f"{sum(one.found for one in found)} of {len(found)} seeded faults found")


def path_length(one: runs.FaultSearch) -> int:
    return len(one.counterexample.steps) + len(one.counterexample.cycle) if one.counterexample else 0


def result_to_json(built: Model, result: Result, large: bool) -> dict[str, Any]:
    broken = {b.name: b for b in result.counterexamples}
    return {
        "name": built.name,
        "words": built.description,
        "states": result.states,
        "transitions": result.transitions,
        "depth": result.depth,
        "complete": result.complete,
        "left_out": result.left_out,
        "seconds": round(result.seconds, 2),
        "figures": result.metrics or {},
        "properties": [
            {
                "name": name,
                "words": words,
                "holds": name not in broken,
                "path": paths.to_json(built, broken[name], large) if name in broken else None,
            }
            for name, words in reported_properties(built)
        ],
    }


def fault_to_json(one: runs.FaultSearch) -> dict[str, Any]:
    built = runs.model_of(one.fault.model, one.fault.large)
    return {
        "name": one.fault.name,
        "model": one.fault.model,
        "found": one.found,
        "by": one.counterexample.name if one.counterexample else "",
        "length": path_length(one),
        "seconds": round(one.seconds, 2),
        "path": paths.to_json(built, one.counterexample, one.fault.large, one.fault.name)
        if one.counterexample
        else None,
    }


def write_paths(
    folder: Path, results: list[tuple[Model, Result]], found: list[runs.FaultSearch], large: bool
) -> None:
    """A file for each path, under the property's or the fault's name."""
    try:
        folder.mkdir(parents=True, exist_ok=True)
        for built, result in results:
            for broken in result.counterexamples:
                write_path(folder, f"{built.name} {broken.name}", paths.to_json(built, broken, large))
        for one in found:
            if one.counterexample:
                built = runs.model_of(one.fault.model, one.fault.large)
                told = paths.to_json(built, one.counterexample, one.fault.large, one.fault.name)
                write_path(folder, f"{built.name} {one.fault.name}", told)
    except OSError as trouble:
        raise CommandError(f"{folder} cannot be written: {trouble.strerror}") from trouble


def write_path(folder: Path, name: str, told: dict[str, Any]) -> None:
    plain = re.sub(r"[^a-z0-9]+", "-", name.lower()).strip("-")
    (folder / f"{plain}.json").write_text(json.dumps(told, indent=1) + "\n", encoding="utf-8")


def replay_file(file: Path, as_json: bool) -> int:
    """Exits 1 where the path breaks its property again, as a check that found it would."""
    kept_path = paths.read_counterexample(file)
    try:
        built, broken = runs.replay_counterexample(kept_path)
    except runs.UnknownNameError as trouble:
        raise CommandError(f"{file}: {trouble}") from trouble
    except (ValueError, LookupError, TypeError) as trouble:
        raise CommandError(f"{file}: {trouble}") from trouble
    holds = kept_path.violates not in broken
    if as_json:
        print(
            json.dumps(
                {"model": built.name, "property": kept_path.violates, "holds": holds, "broken": broken}
            )
        )
    else:
        for place, step in enumerate((*kept_path.steps, *kept_path.cycle), 1):
            print(f"{place:3}. {built.describe_step(step)}")
        print(f"{kept_path.violates}: {'holds' if holds else 'BROKEN'}")
    return 0 if holds else 1


def compare_explorers(names: list[str], workers: int, as_json: bool) -> int:
    """The plain explorer, this one in one process and in several, in turn and on the same machine."""
    rows = []
    for name in names:
        plain, one, several = runs.compare_with_baseline(name, workers)
        rows.append(
            {
                "name": name,
                "states": one.states,
                "same": plain.states == one.states == several.states,
                "plain_per_s": round(plain.states / plain.seconds),
                "one_per_s": round(one.states / one.seconds),
                "several_per_s": round(several.states / several.seconds),
                "workers": workers,
                "one_to_plain": round(plain.seconds / one.seconds, 2),
                "several_to_plain": round(plain.seconds / several.seconds, 2),
            }
        )
    if as_json:
        print(json.dumps({"baseline": rows}))
    else:
        table = Table(
            "model", "states", "plain, states/s", "one process", f"{workers} processes", "ratio", box=None
        )
        for row in rows:
            table.add_row(
                *(str(row[k]) for k in ("name", "states", "plain_per_s", "one_per_s", "several_per_s")),
                f"{row['one_to_plain']}, {row['several_to_plain']}",
            )
        Console(highlight=False).print(table)
    return 0 if all(row["same"] for row in rows) else 1
