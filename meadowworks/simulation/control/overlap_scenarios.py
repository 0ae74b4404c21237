"""Scenarios: overlapping faults of more machines than tolerated, with a tolerated number of lost disks."""

from __future__ import annotations

from functools import partial

from meadowworks.simulation.control.node import SimulatedControlPlaneNode
from meadowworks.simulation.control.process_faults import restart_node, stop_all
from meadowworks.simulation.control.scenario import ClusterScenario
from meadowworks.simulation.event_scheduler import MS, SECOND

LOAD_START_NS, FAULTS_END_NS, LOAD_END_NS = 3 * SECOND, 26 * SECOND, 34 * SECOND
UPDATE_GAP_MS = (100, 700)
FAULT_GAP_MS = (200, 4000)
OUTAGE_DURATION_MS = (100, 5000)
DISK_LOSS_COUNT, DISK_LOSS_GAP_NS = 4, 8 * SECOND
# Delay of a disk loss: after an acknowledgement, or after the time at which it is scheduled.
IMMEDIATE_DELAY_MS, SHORT_DELAY_MS = (0, 4), (5, 400)


def overlapping_faults(scenario: ClusterScenario) -> None:
    """Let partitions, stops and freezes overlap; at most `tolerated_failures` disks are lost in total.

    The cluster may be unavailable until all nodes are back, but no acknowledged update may be lost and no
    older state may be served.
    """
    scenario.generate_load(LOAD_START_NS, LOAD_END_NS, scenario.workload.submit, UPDATE_GAP_MS)
    wipes_left = [scenario.tolerated_failures]

    def next_fault() -> None:
        if scenario.now < FAULTS_END_NS:
            fault = scenario.random.choice(
                (partition_into_halves, stop_some, freeze_some, stop_all_nodes, lose_disk_while_minority_lags)
            )
            fault(scenario, wipes_left)
            scenario.scheduler.call_later(scenario.random.randrange(*FAULT_GAP_MS) * MS, next_fault)

    scenario.scheduler.call_at(4 * SECOND, next_fault)
    scenario.scheduler.run_until(LOAD_END_NS)


def acknowledged_then_disks_lost(scenario: ClusterScenario) -> None:
    """After an acknowledgement, lose `tolerated_failures` disks and the power of all machines, repeatedly."""
    end_ns = 4 * SECOND + DISK_LOSS_COUNT * DISK_LOSS_GAP_NS
    scenario.generate_load(LOAD_START_NS, end_ns, scenario.workload.submit, UPDATE_GAP_MS)
    for number in range(DISK_LOSS_COUNT):
        scenario.scheduler.call_at(
            4 * SECOND + number * DISK_LOSS_GAP_NS, partial(_schedule_disk_loss, scenario)
        )
    scenario.scheduler.run_until(end_ns)


def _schedule_disk_loss(scenario: ClusterScenario) -> None:
    """Schedule a loss of disks after the next acknowledgement, or sometimes after a short delay."""
    rng, listeners = scenario.random, scenario.checker.acknowledgement_listeners
    if rng.random() < 0.2:
        scenario.scheduler.call_later(
            rng.randrange(*SHORT_DELAY_MS) * MS, partial(lose_disks_and_power, scenario)
        )
        return

    def on_acknowledgement() -> None:
        listeners.remove(on_acknowledgement)
        wait_ns = rng.randrange(IMMEDIATE_DELAY_MS[0] * MS, IMMEDIATE_DELAY_MS[1] * MS)
        scenario.scheduler.call_later(wait_ns, partial(lose_disks_and_power, scenario))

    listeners.append(on_acknowledgement)


def lose_disks_and_power(scenario: ClusterScenario) -> None:
    """Wipe the disks of `tolerated_failures` voters and cut the power of all machines at once."""
    rng = scenario.random
    victims = rng.sample(scenario.voters(), scenario.tolerated_failures)
    scenario.cluster.log("#", f"disks lost: {[node.address for node in victims]}; all machines lose power")
    for node in list(scenario.nodes.values()):
        scenario.kill(node, True)
        if node in victims:
            node.wipe()
        restart_delay_ns = rng.randrange(200, 1500) * MS
        scenario.scheduler.call_later(restart_delay_ns, partial(scenario.restart, node))


# -- overlapping faults, all with one signature; `wipes_left[0]` is the number of disks that may still be lost


def partition_into_halves(scenario: ClusterScenario, wipes_left: list[int]) -> None:  # noqa: ARG001
    """Partition the voters into two halves for a while; other machines reach both."""
    addresses = [node.address for node in scenario.voters()]
    scenario.random.shuffle(addresses)
    size = len(addresses) // 2
    scenario.cluster.mark_fault()
    scenario.cluster.fault_active = True
    scenario.cluster.log("#", f"halves: {addresses[:size]} and {addresses[size:]}")
    for first in addresses[:size]:
        for second in addresses[size:]:
            scenario.network.cut(first, second)
            scenario.network.cut(second, first)
    scenario.scheduler.call_later(
        scenario.random.randrange(*OUTAGE_DURATION_MS) * MS, partial(_heal_network, scenario)
    )


def _heal_network(scenario: ClusterScenario) -> None:
    scenario.cluster.mark_fault()
    scenario.network.heal()
    scenario.cluster.fault_active = any(node.frozen for node in scenario.nodes.values())


def stop_some(scenario: ClusterScenario, wipes_left: list[int]) -> None:
    """Kill or power off a random set of machines, and restart each after its own delay."""
    rng = scenario.random
    nodes = list(scenario.nodes.values())
    for node in rng.sample(nodes, rng.randint(1, len(nodes))):
        scenario.kill(node, rng.random() < 0.7)
        if wipes_left[0] and node.voting and rng.random() < 0.2:
            wipes_left[0] -= 1
            node.wipe()
        restart_delay_ns = rng.randrange(*OUTAGE_DURATION_MS) * MS
        scenario.scheduler.call_later(restart_delay_ns, partial(restart_node, scenario, node))


def freeze_some(scenario: ClusterScenario, wipes_left: list[int]) -> None:  # noqa: ARG001
    """Freeze a random set of voters, and resume each after its own delay."""
    rng = scenario.random
    voters = scenario.voters()
    for node in rng.sample(voters, rng.randint(1, len(voters))):
        scenario.isolate(node, "frozen")
        scenario.scheduler.call_later(
            rng.randrange(*OUTAGE_DURATION_MS) * MS, partial(_resume, scenario, node, node.incarnation)
        )


def _resume(scenario: ClusterScenario, node: SimulatedControlPlaneNode, incarnation: int) -> None:
    scenario.cluster.mark_fault()
    if node.incarnation == incarnation:
        node.thaw()
    still_frozen = any(other.frozen for other in scenario.nodes.values())
    scenario.cluster.fault_active = still_frozen or bool(scenario.network.cuts)


def stop_all_nodes(scenario: ClusterScenario, wipes_left: list[int]) -> None:  # noqa: ARG001
    """Stop all processes; they restart with their disks."""
    stop_all(scenario, scenario.random.random() < 0.7)


def lose_disk_while_minority_lags(scenario: ClusterScenario, wipes_left: list[int]) -> None:
    """Isolate a minority so that it misses updates, then power off the others and lose one of their disks."""
    rng, scheduler = scenario.random, scenario.scheduler
    lagging = rng.sample(scenario.voters(), scenario.tolerated_failures)
    for node in lagging:
        scenario.isolate(node, "both")

    def stop_others() -> None:
        others = [node for node in scenario.voters() if node not in lagging]
        for node in others:
            scenario.kill(node, True)
            scheduler.call_later(
                rng.randrange(*OUTAGE_DURATION_MS) * MS, partial(restart_node, scenario, node)
            )
        if wipes_left[0]:
            wipes_left[0] -= 1
            rng.choice(others).wipe()
        _heal_network(scenario)

    scheduler.call_later(rng.randrange(500, 3000) * MS, stop_others)
