"""Admission by priority: the least urgent requests are rejected first, and no priority is starved."""

from __future__ import annotations

import pytest

from meadowworks.load_balancing.priority_admission import RESERVED_SHARE, PriorityAdmission
from meadowworks.load_balancing.service_balancer import ServiceBalancer
from tests.gateway.helpers import SECOND


@pytest.mark.parametrize(
    ("counts", "service_ratio", "expected"),
    [
        ({2: 9}, 0.6, {2: 0.6}),  # a single priority gets the ratio of its service
        ({0: 5, 1: 5}, 1.0, {0: 1.0, 1: 1.0}),
        # Of 0.7 * 40 requests, priorities 0 and 1 take 20.
        ({0: 10, 1: 10, 2: 20}, 0.7, {0: 1.0, 1: 1.0, 2: 0.4}),
        ({0: 30, 1: 10}, 0.2, {0: (0.2 * 40 - 10 * RESERVED_SHARE * 0.2) / 30, 1: RESERVED_SHARE * 0.2}),
    ],
)
def test_ratio_is_divided_by_priority(
    counts: dict[int, int], service_ratio: float, expected: dict[int, float]
) -> None:
    admission = PriorityAdmission()
    for priority, count in counts.items():
        for _ in range(count):
            admission.record_request(priority)
    ratios = {priority: admission.ratio(priority, service_ratio) for priority in counts}
    assert ratios == pytest.approx(expected)


def test_priority_without_recent_requests_is_forgotten() -> None:
    balancer = ServiceBalancer("s", ["north"], "north", SECOND, 1, 0)
    balancer.priority_admission.record_request(1)
    for second in range(30):
        balancer.tick(second * SECOND)
    assert not balancer.priority_admission.counts
