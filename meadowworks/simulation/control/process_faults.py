"""Kills and losses of power with a later restart."""

from __future__ import annotations

from functools import partial

from meadowworks.simulation.control.node import SimulatedControlPlaneNode
from meadowworks.simulation.control.scenario import NEVER_NS, ClusterScenario
from meadowworks.simulation.event_scheduler import MS, SECOND


def stop_all(scenario: ClusterScenario, power_lost: bool) -> None:
    """Kill or power off all machines within 30 milliseconds, and restart each with its disk."""
    spread_ms = scenario.random.choice([0, 0, 30])
    for node in list(scenario.nodes.values()):
        if node.up and not node.removed:
            stop_ns = scenario.random.randrange(spread_ms * MS + 1)
            scenario.scheduler.call_later(stop_ns, partial(scenario.kill, node, power_lost))
            start_ns = stop_ns + SECOND // 5 + scenario.random.randrange(SECOND)
            scenario.scheduler.call_later(start_ns, partial(restart_node, scenario, node))


def stop_one(scenario: ClusterScenario) -> None:
    """Kill or power off a random machine, and restart it after at most 2.5 seconds."""
    running = [node for node in scenario.voters() if node.up]
    if running:
        node = scenario.random.choice(running)
        scenario.kill(node, scenario.random.random() < 0.6)
        wait_ns = scenario.random.randrange(50, 2500) * MS
        scenario.scheduler.call_later(wait_ns, partial(restart_node, scenario, node))


def restart_node(scenario: ClusterScenario, node: SimulatedControlPlaneNode) -> None:
    """Restart a process, unless it is up or its machine is removed."""
    if node.removed or node.up:
        return
    scenario.restart(node)
    if node in scenario.voters_by_index:
        index = scenario.voters_by_index.index(node)
        if scenario.lost_until_ns[index] < NEVER_NS:
            scenario.voter_returned(index)
