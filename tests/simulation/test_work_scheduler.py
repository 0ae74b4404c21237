"""Nodes that process one work item at a time, and links between zones."""

from __future__ import annotations

import time

import pytest

from meadowworks.simulation.event_scheduler import SECOND
from meadowworks.simulation.scale.scheduler import (
    START_NS,
    MemoryLimitError,
    SimulatedNode,
    WorkScheduler,
)
from meadowworks.simulation.scale.topology import BETWEEN_REGIONS_NS, IN_REGION_NS, IN_ZONE_NS, Topology


def build(count_cpu: bool, max_mb: float = 1e6) -> WorkScheduler:
    return WorkScheduler(count_cpu, max_mb, lambda _line: None)


def test_delays_of_scheduled_actions_start_at_the_end_of_the_work() -> None:
    scheduler, node, times = build(count_cpu=True), SimulatedNode("n", "z"), list[int]()

    def work() -> None:
        node.meter.timed("spin", lambda: [time.process_time_ns() for _ in range(10_000)])
        scheduler.call_after_work(0, lambda: times.append(scheduler.now))

    scheduler.enqueue(node, work)
    scheduler.run_until(START_NS + SECOND)
    assert times == [START_NS + node.meter.cpu_ns["spin"]]


def test_work_takes_no_time_without_processor_time() -> None:
    scheduler, node, times = build(count_cpu=False), SimulatedNode("n", "z"), list[int]()
    scheduler.enqueue(node, lambda: scheduler.call_after_work(5, lambda: times.append(scheduler.now)))
    scheduler.run_until(START_NS + SECOND)
    assert times == [START_NS + 5]


def test_node_works_sequentially_and_not_without_power() -> None:
    scheduler, node, calls = build(count_cpu=False), SimulatedNode("n", "z"), list[str]()
    scheduler.enqueue(node, lambda: calls.append("first"))
    scheduler.enqueue(node, lambda: calls.append("second"))
    assert calls == ["first"]
    scheduler.powered_off.add("n")
    scheduler.run_until(START_NS + SECOND)
    assert calls == ["first"]


def test_run_above_the_memory_limit_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    scheduler = build(count_cpu=False, max_mb=1.0)
    clock = iter(range(0, 100, 3))
    monkeypatch.setattr(time, "monotonic", lambda: float(next(clock)))
    scheduler.call_later(0, lambda: None)
    with pytest.raises(MemoryLimitError):
        scheduler.run_until(START_NS + SECOND)


def test_link_delays_and_reachability_between_zones() -> None:
    topology = Topology(8)
    near, same_region, far = topology.zones[0], topology.zones[3], topology.zones[4]
    assert topology.link_delay_ns(near, near) == IN_ZONE_NS
    assert topology.link_delay_ns(near, same_region) == IN_REGION_NS
    assert topology.link_delay_ns(near, far) == BETWEEN_REGIONS_NS
    topology.isolated_regions.add(topology.region_of(far))
    assert topology.is_reachable(near, same_region)
    assert topology.is_reachable(far, topology.zones[5])
    assert not topology.is_reachable(near, far)
    assert not topology.is_reachable(far, near)
