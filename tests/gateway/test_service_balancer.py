"""Weights of a service: local backends by capacity, or remote ones if there are none."""

from __future__ import annotations

from meadowworks.load_balancing.service_balancer import BackendLoad, ServiceBalancer
from meadowworks.registry.backends import BackendInstance
from tests.gateway.helpers import SECOND


def test_weights_follow_local_capacity_and_draining_backends_leave_at_once() -> None:
    service = ServiceBalancer("s", ["north", "south"], "north", SECOND // 2, 1, 0)

    def instances(*states: str) -> list[BackendInstance]:
        zones = ("north", "north", "south")
        return [
            BackendInstance(f"b{k}", "s", "h", k, zones[k], 2.0 + k, state, 0, 0)
            for k, state in enumerate(states)
        ]

    service.update_backends(1, instances("up", "up", "up"))
    weights = {service.endpoint_ids.name_by_index[p]: w for p, w in service.weights.items()}
    assert weights == {"b0": 2.0, "b1": 3.0}
    assert {service.endpoint_ids.name_by_index[p] for p in service.remote_weights} == {"b2"}
    service.update_backends(2, instances("draining", "up", "up"))
    assert {service.endpoint_ids.name_by_index[p] for p in service.weights} == {"b1"}
    service.update_backends(3, instances("draining", "draining", "up"))
    # Without local backends, the weights are those of the remote ones.
    assert {service.endpoint_ids.name_by_index[p] for p in service.weights} == {"b2"}
    for k in range(1, 40):  # demand within the capacity is not throttled
        now = k * SECOND
        service.record_zone_report(now, 0, {"b2": BackendLoad(20, 0, 20_000_000, 0.0)}, 20, SECOND)
        service.tick(now)
        service.tick(now + SECOND // 2)
    assert service.admission_ratio == 1.0
    assert not service.is_report_overdue(40 * SECOND, 0)
    assert service.is_report_overdue(50 * SECOND, 0)
