"""`load_balancing.priority_admission`: the least urgent requests are refused first, and none is starved."""

from __future__ import annotations

import pytest

from meadowworks.load_balancing.priority_admission import RESERVED_SHARE, PriorityAdmission


def admission_of(counts: dict[int, int]) -> PriorityAdmission:
    admission = PriorityAdmission()
    for priority, count in counts.items():
        for _ in range(count):
            admission.record_request(priority)
    return admission


def test_one_priority_has_the_ratio_of_its_service() -> None:
    assert admission_of({2: 9}).ratio(2, 0.6) == 0.6


def test_without_overload_everything_is_admitted() -> None:
    admission = admission_of({0: 5, 1: 5})
    assert [admission.ratio(priority, 1.0) for priority in (0, 1)] == [1.0, 1.0]


def test_the_least_urgent_is_refused_first() -> None:
    ratios = admission_of({0: 10, 1: 10, 2: 20}).ratios(0.7)
    assert ratios[0] == ratios[1] == pytest.approx(1.0)
    assert ratios[2] == pytest.approx(0.4)  # 0.7 * 40 requests, less the 20 before


def test_under_heavy_overload_each_keeps_its_reserved_part() -> None:
    ratios = admission_of({0: 30, 1: 10}).ratios(0.2)
    assert ratios[1] == pytest.approx(RESERVED_SHARE * 0.2)
    assert 30 * ratios[0] + 10 * ratios[1] == pytest.approx(0.2 * 40)


def test_a_priority_that_nobody_asks_for_any_more_is_forgotten() -> None:
    admission = admission_of({0: 3, 1: 3})
    for _ in range(30):
        admission.decay()
    assert not admission.counts
    assert admission.ratio(1, 0.5) == 0.5
