"""Split of a route's requests: each service gets its share, even with few requests per proxy."""

from __future__ import annotations

import random

import pytest

from meadowworks.config.route_table import Route, WeightedService
from meadowworks.forwarding.split_sequence import SplitSequence


def route_of(*weights: float) -> Route:
    services = tuple(WeightedService(f"s{number}", weight) for number, weight in enumerate(weights))
    return Route("r", True, 1000.0, 300.0, 0, 1, services)


@pytest.mark.parametrize("weights", [(90, 10), (50, 50), (1, 1, 1), (97, 3), (70, 20, 10), (5, 0)])
@pytest.mark.parametrize(("proxies", "requests"), [(1, 300), (10, 30), (30, 10)])
def test_each_service_gets_its_share_of_300_requests(
    weights: tuple[float, ...], proxies: int, requests: int
) -> None:
    generator, route, counts = random.Random(7), route_of(*weights), dict.fromkeys(range(len(weights)), 0)
    for _ in range(proxies):
        sequence = SplitSequence(generator.random)
        for _ in range(requests):
            counts[int(route.pick_service(sequence.next_point("r"))[1:])] += 1
    for number, weight in enumerate(weights):
        assert counts[number] / 300 == pytest.approx(weight / sum(weights), abs=0.03)
    assert all(counts[number] == 0 for number, weight in enumerate(weights) if not weight)


def test_each_route_has_its_own_sequence() -> None:
    sequence = SplitSequence(iter([0.1, 0.7, 0.3]).__next__)
    assert [sequence.next_point(name) for name in ("a", "b")] == [0.1, 0.7]
    assert sequence.next_point("a") == pytest.approx(0.1 + 0.618034 - 0.0, abs=1e-5)
    sequence.clear()
    assert sequence.next_point("a") == 0.3
