"""Reports of `lab scale`: tables, fits and plots of kept results."""

from __future__ import annotations

import pytest

from meadowworks.simulation.scale.linear_fit import fit_line
from meadowworks.simulation.scale.report import build_report
from tests.simulation.conftest import RunSmall


def test_a_size_at_which_no_change_came_into_force_leaves_its_place_empty(run_small: RunSmall) -> None:
    few, many = run_small(controllers=7, memory=True), run_small(controllers=13, memory=True)
    for change in many["changes"]:
        change["at_all_s"] = None
    text, _ = build_report([few, many, few])
    (row,) = [line for line in text.splitlines() if "in force everywhere" in line] or [""]
    assert not row  # a line wants two sizes
    assert "| a junction's bytes in" in text


def test_a_fit_finds_a_line_and_says_how_far_off_it_is() -> None:
    found = fit_line([(x, 3.0 + 0.5 * x) for x in (10.0, 30.0, 100.0, 300.0)])
    assert found
    assert found.base == pytest.approx(3.0)
    assert found.slope == pytest.approx(0.5)
    assert found.max_deviation < 1e-9
    assert found.at(3300) == pytest.approx(1653.0)
    bent = fit_line([(x, x**2) for x in (10.0, 30.0, 100.0, 300.0)])
    assert bent
    assert bent.max_deviation > 0.3
    assert bent.exponent == pytest.approx(2.0)
