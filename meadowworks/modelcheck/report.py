"""What `meadowworks check` prints: tables and paths for a terminal, objects for JSON."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from rich.console import Console
from rich.table import Table

from meadowworks.modelcheck.baseline_explorer import BaselineComparison
from meadowworks.modelcheck.catalog import build_model
from meadowworks.modelcheck.counterexample_file import describe_steps, to_json
from meadowworks.modelcheck.fault_search import FaultSearch
from meadowworks.modelcheck.model import Counterexample, Model, Result, reported_properties


def print_result(console: Console, model: Model, result: Result) -> None:
    """Print the size of an exploration and each property, with the path to each that broke."""
    extent = "complete" if result.is_complete else f"left out: {result.left_out}"
    console.print(f"[bold]{model.name}[/bold]: {model.description}")
    console.print(
        f"  {result.states} states, {result.transitions} transitions, {result.depth} steps deep, "
        f"{result.seconds:.1f} s, {extent}"
    )
    for name, value in (result.metrics or {}).items():
        console.print(f"  {name}: {value:g}")
    found = {one.name: one for one in result.counterexamples}
    for name, description in reported_properties(model):
        verdict = "[red]BROKEN[/red]" if name in found else "holds"
        console.print(f"  {verdict}  {name}: {description}")
        if name in found:
            print_counterexample(console, model, found[name])


def print_counterexample(console: Console, model: Model, found: Counterexample) -> None:
    """Print the start of a counterexample and its numbered steps."""
    reason = f" ({found.reason})" if found.reason else ""
    console.print(f"          from start {found.start_index}{reason}")
    for number, step in enumerate(describe_steps(model, found), 1):
        console.print(f"          {number:3}. {step}", markup=False)


def print_faults(console: Console, searches: Sequence[FaultSearch]) -> None:
    """Print a table of the seeded faults and of the properties that found them."""
    if not searches:
        return
    table = Table("model", "a guard taken out", "found by", "steps", box=None)
    for one in searches:
        found_by = one.counterexample.name if one.found and one.counterexample else "[red]NOT FOUND[/red]"
        table.add_row(one.fault.model, one.fault.name, found_by, str(one.path_length) if one.found else "")
    console.print(table)
    console.print(f"{sum(one.found for one in searches)} of {len(searches)} seeded faults found")


def result_to_json(model: Model, result: Result, large: bool) -> dict[str, Any]:
    """Return the JSON object of a model that was explored."""
    found = {one.name: one for one in result.counterexamples}
    return {
        "name": model.name,
        "words": model.description,
        "states": result.states,
        "transitions": result.transitions,
        "depth": result.depth,
        "complete": result.is_complete,
        "left_out": result.left_out,
        "seconds": round(result.seconds, 2),
        "figures": result.metrics or {},
        "properties": [
            {
                "name": name,
                "words": description,
                "holds": name not in found,
                "path": to_json(model, found[name], large) if name in found else None,
            }
            for name, description in reported_properties(model)
        ],
    }


def fault_to_json(search: FaultSearch) -> dict[str, Any]:
    """Return the JSON object of a seeded fault that was looked for."""
    fault, found = search.fault, search.counterexample
    model = build_model(fault.model, fault.large)
    return {
        "name": fault.name,
        "model": fault.model,
        "found": search.found,
        "by": found.name if found else "",
        "length": search.path_length,
        "seconds": round(search.seconds, 2),
        "path": to_json(model, found, fault.large, fault.name) if found else None,
    }


def comparison_to_json(name: str, compared: BaselineComparison, workers: int) -> dict[str, Any]:
    """Return the JSON object of a model that was explored by the baseline too."""
    baseline, one, several = compared.baseline, compared.one_process, compared.several_processes
    return {
        "name": name,
        "states": one.states,
        "same": compared.same_states,
        "plain_per_s": round(baseline.states / baseline.seconds),
        "one_per_s": round(one.states / one.seconds),
        "several_per_s": round(several.states / several.seconds),
        "workers": workers,
        "one_to_plain": round(baseline.seconds / one.seconds, 2),
        "several_to_plain": round(baseline.seconds / several.seconds, 2),
    }


def print_comparisons(console: Console, rows: Sequence[dict[str, Any]], workers: int) -> None:
    """Print the objects of `comparison_to_json` as a table."""
    table = Table(
        "model", "states", "plain, states/s", "one process", f"{workers} processes", "ratio", box=None
    )
    for row in rows:
        columns = ("name", "states", "plain_per_s", "one_per_s", "several_per_s")
        ratios = f"{row['one_to_plain']}, {row['several_to_plain']}"
        table.add_row(*(str(row[column]) for column in columns), ratios)
    console.print(table)
