"""Output of `meadowworks check`: tables and paths for a terminal, objects for JSON."""

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
    """Print the size of an exploration and the verdict on each property, with the path to each violation."""
    extent = "complete" if result.is_complete else f"left out: {result.left_out}"
    console.print(f"[bold]{model.name}[/bold]: {model.description}")
    console.print(
        f"  {result.states} states, {result.transitions} transitions, {result.depth} steps deep, "
        f"{result.seconds:.1f} s, {extent}"
    )
    for name, value in (result.metrics or {}).items():
        console.print(f"  {name}: {value:g}")
    counterexamples = {counterexample.name: counterexample for counterexample in result.counterexamples}
    for name, description in reported_properties(model):
        verdict = "[red]BROKEN[/red]" if name in counterexamples else "holds"
        console.print(f"  {verdict}  {name}: {description}")
        if name in counterexamples:
            print_counterexample(console, model, counterexamples[name])


def print_counterexample(console: Console, model: Model, counterexample: Counterexample) -> None:
    """Print the index of the initial world of a counterexample and its numbered steps."""
    reason = f" ({counterexample.reason})" if counterexample.reason else ""
    console.print(f"          from start {counterexample.start_index}{reason}")
    for number, step in enumerate(describe_steps(model, counterexample), 1):
        console.print(f"          {number:3}. {step}", markup=False)


def print_faults(console: Console, searches: Sequence[FaultSearch]) -> None:
    """Print a table of the seeded faults and the properties that detected them."""
    if not searches:
        return
    table = Table("model", "seeded fault", "found by", "steps", box=None)
    for search in searches:
        found_by = (
            search.counterexample.name if search.found and search.counterexample else "[red]NOT FOUND[/red]"
        )
        table.add_row(
            search.fault.model, search.fault.name, found_by, str(search.path_length) if search.found else ""
        )
    console.print(table)
    console.print(f"{sum(search.found for search in searches)} of {len(searches)} seeded faults found")


def result_to_json(model: Model, result: Result, large: bool) -> dict[str, Any]:
    """Return the JSON object of an explored model."""
    counterexamples = {counterexample.name: counterexample for counterexample in result.counterexamples}
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
                "holds": name not in counterexamples,
                "path": to_json(model, counterexamples[name], large) if name in counterexamples else None,
            }
            for name, description in reported_properties(model)
        ],
    }


def fault_to_json(search: FaultSearch) -> dict[str, Any]:
    """Return the JSON object of the search for a seeded fault."""
    fault, counterexample = search.fault, search.counterexample
    model = build_model(fault.model, fault.large)
    return {
        "name": fault.name,
        "model": fault.model,
        "found": search.found,
        "by": counterexample.name if counterexample else "",
        "length": search.path_length,
        "seconds": round(search.seconds, 2),
        "path": to_json(model, counterexample, fault.large, fault.name) if counterexample else None,
    }


def comparison_to_json(name: str, comparison: BaselineComparison, workers: int) -> dict[str, Any]:
    """Return the JSON object of a comparison with the baseline explorer."""
    baseline, single, multiple = comparison.baseline, comparison.one_process, comparison.several_processes
    return {
        "name": name,
        "states": single.states,
        "same": comparison.same_states,
        "plain_per_s": round(baseline.states / baseline.seconds),
        "one_per_s": round(single.states / single.seconds),
        "several_per_s": round(multiple.states / multiple.seconds),
        "workers": workers,
        "one_to_plain": round(baseline.seconds / single.seconds, 2),
        "several_to_plain": round(baseline.seconds / multiple.seconds, 2),
    }


def print_comparisons(console: Console, rows: Sequence[dict[str, Any]], workers: int) -> None:
    """Print the objects of `comparison_to_json` as a table."""
    table = Table(
        "model", "states", "baseline, states/s", "one process", f"{workers} processes", "ratio", box=None
    )
    for row in rows:
        columns = ("name", "states", "plain_per_s", "one_per_s", "several_per_s")
        ratios = f"{row['one_to_plain']}, {row['several_to_plain']}"
        table.add_row(*(str(row[column]) for column in columns), ratios)
    console.print(table)
