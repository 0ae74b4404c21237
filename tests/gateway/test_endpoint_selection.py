"""Selection of endpoints: when a request leaves its zone."""

from __future__ import annotations

from itertools import product

from meadowworks.forwarding.endpoint_selection import (
    EndpointChoices,
    choose_endpoints,
    estimate_delays,
    local_zone_suffices,
)


def test_a_request_leaves_its_zone_only_if_no_local_endpoint_is_expected_to_meet_the_target() -> None:
    local, remote, service_times = {1: 2.0}, {2: 2.0}, {1: 100.0, 2: 100.0}

    def choose(load: dict[int, float], response_bytes: float = 0.0) -> EndpointChoices:
        return choose_endpoints(local, remote, load, service_times, 400.0, response_bytes)

    assert choose({1: 1.0}).weights == local
    assert choose({1: 3.0}).weights == local  # queued, but within the target
    for load, fastest in (({1: 4.0}, 2), ({1: 4.0, 2: 4.0}, 1), ({1: 9.0, 2: 4.0}, 2)):
        choices = choose(load)
        assert choices.weights == {1: 2.0, 2: 2.0}
        assert min(choices.delays_ns.items(), key=lambda item: item[1])[0] == fastest
    assert 2 in choose({1: 4.0}, 400.0).weights
    assert choose({1: 4.0}, 5000.0).weights == local  # the response is too large for cross-zone traffic
    slow = choose_endpoints(local, remote, {1: 1.0}, {1: 300.0}, 400.0)
    assert slow.weights == local  # slow, but a slot is free
    assert choose_endpoints({}, remote, {}, service_times, 400.0).weights == remote


def test_remote_endpoints_do_not_matter_if_the_local_zone_suffices() -> None:
    """Compares the shortcut of the selection with the full one, over small states of three backends.

    Some states must take the shortcut and others must not.
    """
    shortcuts, full_selections, loads = 0, 0, (0.0, 1.0, 2.0, 5.0)
    for first, second, third, measured, target_ns in product(
        loads, loads, loads, (0, 1, 2, 3), (50.0, 400.0)
    ):
        local, remote, load = {1: 2.0, 2: 1.0}, {3: 2.0}, {1: first, 2: second, 3: third}
        service_times = {endpoint: 100.0 * endpoint for endpoint in (1, 2, 3)[:measured]}
        if not local_zone_suffices(local, load, service_times):
            full_selections += 1
            continue
        shortcuts += 1
        assert choose_endpoints(local, remote, load, service_times, target_ns) == (
            local,
            estimate_delays(local, load, service_times),
            True,
        )
    assert shortcuts
    assert full_selections
