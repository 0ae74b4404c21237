"""When a request leaves its zone."""

from __future__ import annotations

from itertools import product

from meadowworks.forwarding.endpoint_selection import (
    EndpointChoices,
    choose_endpoints,
    estimate_delays,
    local_zone_suffices,
)


def test_a_request_leaves_its_zone_only_if_nothing_local_is_likely_to_be_in_time() -> None:
    local, remote, service_times = {1: 2.0}, {2: 2.0}, {1: 100.0, 2: 100.0}

    def choose(load: dict[int, float], response_bytes: float = 0.0) -> EndpointChoices:
        return choose_endpoints(local, remote, load, service_times, 400.0, response_bytes)

    assert choose({1: 1.0}).weights == local
    assert choose({1: 3.0}).weights == local  # a request waits there, and yet in time
    for load, first in (({1: 4.0}, 2), ({1: 4.0, 2: 4.0}, 1), ({1: 9.0, 2: 4.0}, 2)):
        choices = choose(load)
        assert choices.weights == {1: 2.0, 2: 2.0}
        assert min(choices.delays_ns.items(), key=lambda item: item[1])[0] == first
    assert 2 in choose({1: 4.0}, 400.0).weights
    assert choose({1: 4.0}, 5000.0).weights == local  # its bytes are not worth it
    slow = choose_endpoints(local, remote, {1: 1.0}, {1: 300.0}, 400.0)
    assert slow.weights == local  # but a slot is free
    assert choose_endpoints({}, remote, {}, service_times, 400.0).weights == remote


def test_where_the_local_zone_suffices_other_zones_change_nothing() -> None:
    """The short way of the choice, beside the whole one, over small states of three backends.

    The short way must be taken in some states and not in others.
    """
    taken, full, states = 0, 0, (0.0, 1.0, 2.0, 5.0)
    for one, two, far, known, target in product(states, states, states, (0, 1, 2, 3), (50.0, 400.0)):
        local, remote, busy = {1: 2.0, 2: 1.0}, {3: 2.0}, {1: one, 2: two, 3: far}
        service_times = {place: 100.0 * place for place in (1, 2, 3)[:known]}
        if not local_zone_suffices(local, busy, service_times):
            full += 1
            continue
        taken += 1
        assert choose_endpoints(local, remote, busy, service_times, target) == (
            local,
            estimate_delays(local, busy, service_times),
            True,
        )
    assert taken
    assert full
