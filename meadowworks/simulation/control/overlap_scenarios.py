"""Halves, and losses that overlap beyond what is tolerated, with no more disks lost than that allows."""

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
# How long a strike waits: right after an acknowledgement, or some while after no matter what.
IMMEDIATE_DELAY_MS, SHORT_DELAY_MS = (0, 4), (5, 400)


def overlapping_faults(scenario: ClusterScenario) -> None:
    """Cut members into halves, and let stops, freezes and cuts overlap; in all a few disks are lost.

    Service may rest until all are back. Nothing that was acknowledged is lost or shown in an older state.
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
    """Right after an acknowledgement as many disks are lost as may be, while all others lose power."""
    end_ns = 4 * SECOND + DISK_LOSS_COUNT * DISK_LOSS_GAP_NS
    scenario.generate_load(LOAD_START_NS, end_ns, scenario.workload.submit, UPDATE_GAP_MS)
    for number in range(DISK_LOSS_COUNT):
        scenario.scheduler.call_at(
            4 * SECOND + number * DISK_LOSS_GAP_NS, partial(_schedule_disk_loss, scenario)
        )
    scenario.scheduler.run_until(end_ns)


def _schedule_disk_loss(scenario: ClusterScenario) -> None:
    """Strike after the next acknowledgement of any kind, or a while after now."""
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
    """Take the disks of as many voters as may be lost, and the power of all other machines, at once."""
    rng = scenario.random
    victims = rng.sample(scenario.voters(), scenario.tolerated_failures)
    scenario.cluster.log("#", f"disks are lost: {[node.address for node in victims]}; all lose power")
    for node in list(scenario.nodes.values()):
        scenario.kill(node, True)
        if node in victims:
            node.wipe()
        back_ns = rng.randrange(200, 1500) * MS
        scenario.scheduler.call_later(back_ns, partial(scenario.restart, node))


# -- faults that overlap; each may take a disk, as long as one is left to be taken


def partition_into_halves(scenario: ClusterScenario, wipes_left: list[int]) -> None:  # noqa: ARG001  (faults are called alike)
    """Cut the voters into two halves for some seconds; all other machines reach both."""
    addresses = [node.address for node in scenario.voters()]
    scenario.random.shuffle(addresses)
    size = len(addresses) // 2
    scenario.cluster.mark_fault()
    scenario.cluster.fault_active = True
    scenario.cluster.log("#", f"halves: {addresses[:size]} and {addresses[size:]}")
    for one in addresses[:size]:
        for other in addresses[size:]:
            scenario.network.cut(one, other)
            scenario.network.cut(other, one)
    scenario.scheduler.call_later(
        scenario.random.randrange(*OUTAGE_DURATION_MS) * MS, partial(_heal_network, scenario)
    )


def _heal_network(scenario: ClusterScenario) -> None:
    scenario.cluster.mark_fault()
    scenario.network.heal()
    scenario.cluster.fault_active = any(node.frozen for node in scenario.nodes.values())


def stop_some(scenario: ClusterScenario, wipes_left: list[int]) -> None:
    """Take the power or the process of any number of machines; each comes back by itself."""
    rng = scenario.random
    nodes = list(scenario.nodes.values())
    for node in rng.sample(nodes, rng.randint(1, len(nodes))):
        scenario.kill(node, rng.random() < 0.7)
        if wipes_left[0] and node.voting and rng.random() < 0.2:
            wipes_left[0] -= 1
            node.wipe()
        back_ns = rng.randrange(*OUTAGE_DURATION_MS) * MS
        scenario.scheduler.call_later(back_ns, partial(restart_node, scenario, node))


def freeze_some(scenario: ClusterScenario, wipes_left: list[int]) -> None:  # noqa: ARG001
    """Freeze any number of voters; each goes on by itself."""
    rng = scenario.random
    voters = scenario.voters()
    for node in rng.sample(voters, rng.randint(1, len(voters))):
        scenario.isolate(node, "frozen")
        scenario.scheduler.call_later(
            rng.randrange(*OUTAGE_DURATION_MS) * MS, partial(_thaw, scenario, node, node.incarnation)
        )


def _thaw(scenario: ClusterScenario, node: SimulatedControlPlaneNode, incarnation: int) -> None:
    scenario.cluster.mark_fault()
    if node.incarnation == incarnation:
        node.thaw()
    still_frozen = any(one.frozen for one in scenario.nodes.values())
    scenario.cluster.fault_active = still_frozen or bool(scenario.network.cuts)


def stop_all_nodes(scenario: ClusterScenario, wipes_left: list[int]) -> None:  # noqa: ARG001
    """Stop all processes at once; they come back with their disks."""
    stop_all(scenario, scenario.random.random() < 0.7)


def lose_disk_while_minority_lags(scenario: ClusterScenario, wipes_left: list[int]) -> None:
    """Let a minority miss changes, then lose one of the others' disks while the rest are dark."""
    rng, scheduler = scenario.random, scenario.scheduler
    behind = rng.sample(scenario.voters(), scenario.tolerated_failures)
    for node in behind:
        scenario.isolate(node, "both")

    def stop_others() -> None:
        others = [node for node in scenario.voters() if node not in behind]
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
