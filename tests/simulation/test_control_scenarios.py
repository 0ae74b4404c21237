"""`lab control`: a few seeds of each scenario, and scenarios that detect disabled guards."""

from __future__ import annotations

import pytest

from meadowworks.cli import main as commands
from meadowworks.simulation.control.command import run_seed, run_seeds
from meadowworks.simulation.control.guards import GUARDS_BY_NAME
from meadowworks.simulation.control.scenarios import SCENARIO_NUMBERS


@pytest.mark.parametrize("scenario_number", SCENARIO_NUMBERS)
def test_scenario_has_no_violation(scenario_number: int) -> None:
    outcome = run_seeds(scenario_number, range(3), "", 1)
    assert outcome.complete
    assert outcome.counts.days == 3
    assert outcome.counts.acked + outcome.counts.calls_answered > 0
    assert not outcome.counts.violations(), outcome.messages


def test_same_seed_gives_same_outcome() -> None:
    assert run_seed(2, "", 5) == run_seed(2, "", 5)


@pytest.mark.parametrize(
    ("name", "count_name"),
    [
        ("lease", "served_without_majority"),
        ("read-majority", "served_without_majority"),
        ("one-content", "confirmed_twice"),
        ("history", "refused_though_taken"),
        ("sync", "never_level"),
        ("replace", "never_level"),
    ],
)
def test_disabled_guard_is_detected(name: str, count_name: str) -> None:
    outcome = run_seeds(GUARDS_BY_NAME[name].scenario_number, range(2), name, 1)
    assert outcome.counts.violations().get(count_name), outcome.counts


def test_guard_is_restored_after_its_scenario() -> None:
    run_seed(2, "one-content", 0)
    assert not run_seeds(2, range(1), "", 1).counts.violations()


@pytest.mark.parametrize("name", sorted(GUARDS_BY_NAME))
def test_each_guard_patches_existing_attributes(name: str) -> None:
    for patch in GUARDS_BY_NAME[name].patches:
        assert hasattr(patch.owner, patch.name)


@pytest.mark.parametrize(
    "arguments",
    [
        ["--point", "9"],
        ["--seeds", "3"],
        ["--seeds", "4:4"],
        ["--without", "nothing"],
        ["--processes", "17"],
    ],
)
def test_invalid_option_is_reported_in_one_line(
    arguments: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert commands.main(["lab", "control", *arguments]) == 2
    assert capsys.readouterr().err.count("\n") == 1
