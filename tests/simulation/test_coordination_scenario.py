"""`lab coordination`: a few seeds without violations, and planted faults that are found."""

from __future__ import annotations

import pytest

from meadowworks.cli import main as commands
from meadowworks.simulation.coordination.command import run_seed
from meadowworks.simulation.coordination.seeded_faults import SEEDED_FAULTS, SeededFault

SEEDS = range(4)


@pytest.mark.parametrize("seed", SEEDS)
def test_scenario_has_no_violation(seed: int) -> None:
    outcome = run_seed("", seed)
    assert not outcome.violations
    assert outcome.outcomes["LockGranted"] > 0
    assert outcome.outcomes["CellWritten"] > 0


def test_same_seed_gives_same_outcome() -> None:
    assert run_seed("", 1) == run_seed("", 1)


@pytest.mark.parametrize(
    ("name", "rule", "seeds"),
    [
        ("read-barrier", "STALE", (0, 1)),
        ("put-memory", "MIXED", (0, 1)),
        ("watch-history", "LOST", (21, 52)),
    ],
)
def test_planted_fault_is_found(name: str, rule: str, seeds: tuple[int, ...]) -> None:
    violations = [text for seed in seeds for text in run_seed(name, seed).violations]
    assert any(text.startswith(rule) for text in violations)


@pytest.mark.parametrize("fault", SEEDED_FAULTS, ids=lambda fault: fault.name)
def test_each_fault_replaces_an_existing_method(fault: SeededFault) -> None:
    assert hasattr(fault.owner, fault.method)


@pytest.mark.parametrize("arguments", [["--seeds", "3"], ["--without", "nothing"], ["--processes", "17"]])
def test_invalid_option_is_reported_in_one_line(
    arguments: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert commands.main(["lab", "coordination", *arguments]) == 2
    assert capsys.readouterr().err.count("\n") == 1
