"""Halves, and losses that overlap beyond what is tolerated, with no more disks lost than that allows."""

from __future__ import annotations

from functools import partial

from meadowworks.simulation.control.node import ControlPlaneNode
from meadowworks.simulation.control.process_faults import restart_node, stop_all
from meadowworks.simulation.control.scenario import Scenario
from meadowworks.simulation.event_scheduler import MS, SECOND

LOAD_START_NS, FAULTS_END_NS, LOAD_END_NS = 3 * SECOND, 26 * SECOND, 34 * SECOND
UPDATE_GAP_MS = (100, 700)
FAULT_GAP_MS = (200, 4000)
OUTAGE_MS = (100, 5000)
STRIKES, STRIKE_GAP_NS = 4, 8 * SECOND
# How long a strike waits: right after an acknowledgement, or some while after no matter what.
AT_ONCE_MS, SOON_MS = (0, 4), (5, 400)


def halves_and_overlaps(scenario: Scenario) -> None:
    """Cut members into halves, and let stops, freezes and cuts overlap; in all a few disks are lost.

    Service may rest until all are back. Nothing that was acknowledged is lost or shown in an older state.
    """
    scenario.generate_load(LOAD_START_NS, LOAD_END_NS, scenario.workload.submit, UPDATE_GAP_MS)
    wipes_left = [scenario.tolerated_failures]

    def next_fault() -> None:
        if scenario.now < FAULTS_END_NS:
            fault = scenario.random.choice((cut_halves, stop_some, freeze_some, stop_everything, fall_behind))
            fault(scenario, wipes_left)
            scenario.scheduler.call_later(scenario.random.randrange(*FAULT_GAP_MS) * MS, next_fault)

    scenario.scheduler.call_at(4 * SECOND, next_fault)
    scenario.scheduler.run_until(LOAD_END_NS)


def acknowledged_then_disks_lost(scenario: Scenario) -> None:
    """Right after an acknowledgement as many disks are lost as may be, while all others lose power."""
    end_ns = 4 * SECOND + STRIKES * STRIKE_GAP_NS
    scenario.generate_load(LOAD_START_NS, end_ns, scenario.workload.submit, UPDATE_GAP_MS)
    for number in range(STRIKES):
        scenario.scheduler.call_at(4 * SECOND + number * STRIKE_GAP_NS, partial(_arm_strike, scenario))
    scenario.scheduler.run_until(end_ns)


def _arm_strike(scenario: Scenario) -> None:
    """Strike after the next acknowledgement of any kind, or a while after now."""
    chance, listeners = scenario.random, scenario.checker.acknowledgement_listeners
    if chance.random() < 0.2:
        scenario.scheduler.call_later(chance.randrange(*SOON_MS) * MS, partial(strike, scenario))
        return

    def on_acknowledgement() -> None:
        listeners.remove(on_acknowledgement)
        wait_ns = chance.randrange(AT_ONCE_MS[0] * MS, AT_ONCE_MS[1] * MS)
        scenario.scheduler.call_later(wait_ns, partial(strike, scenario))

    listeners.append(on_acknowledgement)


def strike(scenario: Scenario) -> None:
    """Take the disks of as many voters as may be lost, and the power of all other machines, at once."""
    chance = scenario.random
    victims = chance.sample(scenario.voters(), scenario.tolerated_failures)
    scenario.cluster.log("#", f"disks are lost: {[node.address for node in victims]}; all lose power")
    for node in list(scenario.nodes.values()):
        scenario.kill(node, True)
        if node in victims:
            node.wipe()
        back_ns = chance.randrange(200, 1500) * MS
        scenario.scheduler.call_later(back_ns, partial(scenario.restart, node))


# -- faults that overlap; each may take a disk, as long as one is left to be taken


def cut_halves(scenario: Scenario, wipes_left: list[int]) -> None:  # noqa: ARG001  (faults are called alike)
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
    scenario.scheduler.call_later(scenario.random.randrange(*OUTAGE_MS) * MS, partial(_mend, scenario))


def _mend(scenario: Scenario) -> None:
    scenario.cluster.mark_fault()
    scenario.network.heal()
    scenario.cluster.fault_active = any(node.frozen for node in scenario.nodes.values())


def stop_some(scenario: Scenario, wipes_left: list[int]) -> None:
    """Take the power or the process of any number of machines; each comes back by itself."""
    chance = scenario.random
    nodes = list(scenario.nodes.values())
    for node in chance.sample(nodes, chance.randint(1, len(nodes))):
        scenario.kill(node, chance.random() < 0.7)
        if wipes_left[0] and node.voting and chance.random() < 0.2:
            wipes_left[0] -= 1
            node.wipe()
        back_ns = chance.randrange(*OUTAGE_MS) * MS
        scenario.scheduler.call_later(back_ns, partial(restart_node, scenario, node))


def freeze_some(scenario: Scenario, wipes_left: list[int]) -> None:  # noqa: ARG001
    """Freeze any number of voters; each goes on by itself."""
    chance = scenario.random
    voters = scenario.voters()
    for node in chance.sample(voters, chance.randint(1, len(voters))):
        scenario.isolate(node, "frozen")
        scenario.scheduler.call_later(
            chance.randrange(*OUTAGE_MS) * MS, partial(_thaw, scenario, node, node.incarnation)
        )


def _thaw(scenario: Scenario, node: ControlPlaneNode, incarnation: int) -> None:
    scenario.cluster.mark_fault()
    if node.incarnation == incarnation:
        node.thaw()
    still_frozen = any(one.frozen for one in scenario.nodes.values())
    scenario.cluster.fault_active = still_frozen or bool(scenario.network.cuts)


def stop_everything(scenario: Scenario, wipes_left: list[int]) -> None:  # noqa: ARG001
    """Stop all processes at once; they come back with their disks."""
    stop_all(scenario, scenario.random.random() < 0.7)


def fall_behind(scenario: Scenario, wipes_left: list[int]) -> None:
    """Let a minority miss changes, then lose one of the others' disks while the rest are dark."""
    chance, scheduler = scenario.random, scenario.scheduler
    behind = chance.sample(scenario.voters(), scenario.tolerated_failures)
    for node in behind:
        scenario.isolate(node, "both")

    def strike_the_others() -> None:
        others = [node for node in scenario.voters() if node not in behind]
        for node in others:
            scenario.kill(node, True)
            scheduler.call_later(chance.randrange(*OUTAGE_MS) * MS, partial(restart_node, scenario, node))
        if wipes_left[0]:
            wipes_left[0] -= 1
            chance.choice(others).wipe()
        _mend(scenario)

    scheduler.call_later(chance.randrange(500, 3000) * MS, strike_the_others)
