"""Reports of `lab scale`: tables and fits of kept results."""

from __future__ import annotations

import pytest

from meadowworks.simulation.scale.linear_fit import fit_line
from meadowworks.simulation.scale.report import build_report
from tests.simulation.conftest import RunSmall


def test_metric_without_a_value_at_a_size_has_no_row(run_small: RunSmall) -> None:
    few, many = run_small(controllers=7, memory=True), run_small(controllers=13, memory=True)
    for change in many["changes"]:
        change["at_all_s"] = None
    text, _ = build_report([few, many, few])
    (row,) = [line for line in text.splitlines() if "in force everywhere" in line] or [""]
    assert not row  # a fit needs two sizes
    assert "| a junction's bytes in" in text


def test_fit_returns_the_line_and_its_deviation() -> None:
    fit = fit_line([(x, 3.0 + 0.5 * x) for x in (10.0, 30.0, 100.0, 300.0)])
    assert fit
    assert fit.base == pytest.approx(3.0)
    assert fit.slope == pytest.approx(0.5)
    assert fit.max_deviation < 1e-9
    assert fit.at(3300) == pytest.approx(1653.0)
    curve = fit_line([(x, x**2) for x in (10.0, 30.0, 100.0, 300.0)])
    assert curve
    assert curve.max_deviation > 0.3
    assert curve.exponent == pytest.approx(2.0)
