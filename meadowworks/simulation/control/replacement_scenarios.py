"""Scenario: planned and unplanned replacement of machines, with further faults meanwhile."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from meadowworks.simulation.control.node import SimulatedControlPlaneNode
from meadowworks.simulation.control.process_faults import stop_all
from meadowworks.simulation.control.scenario import NEVER_NS, ClusterScenario
from meadowworks.simulation.event_scheduler import MS, SECOND

GRACE_NS = 6 * SECOND  # for the hand-over of a process that shuts down
Fault = Callable[[ClusterScenario, int], None]


def replace_machines(scenario: ClusterScenario) -> None:
    """Apply a sequence of random faults, often as soon as another machine may be lost."""
    rng = scenario.random
    update = partial(scenario.workload.submit, 0.1)
    scenario.generate_load(3 * SECOND, 42 * SECOND, update, (100, 900))
    scenario.scheduler.call_at(4 * SECOND, partial(_next_fault, scenario))
    scenario.scheduler.run_until(44 * SECOND)
    if rng.random() < 0.5 and scenario.losable_voters():
        index = rng.choice(scenario.losable_voters())
        scenario.lost_until_ns[index] = NEVER_NS
        scenario.kill(scenario.voters_by_index[index], True)  # permanently


def _next_fault(scenario: ClusterScenario) -> None:
    rng, scheduler = scenario.random, scenario.scheduler
    if scenario.now > 38 * SECOND:
        return
    fault = rng.choice(FAULTS)
    losable = scenario.losable_voters()
    if fault in WHOLE_CLUSTER_FAULTS:
        fault(scenario, -1)
    elif losable:
        fault(scenario, rng.choice(losable))
    draw = rng.random()
    ends_ns = [until_ns for until_ns in scenario.lost_until_ns if scenario.now < until_ns < NEVER_NS]
    next_fault = partial(_next_fault, scenario)
    if draw < 0.4 and ends_ns:  # as soon as a machine no longer counts as lost
        scheduler.call_at(min(ends_ns) + rng.randrange(30 * MS), next_fault)
    elif draw < 0.7:
        scheduler.call_later(rng.randrange(3 * SECOND), next_fault)
    else:
        scheduler.call_later(rng.randrange(7 * SECOND), next_fault)


# -- faults of one machine


def lose_machine(scenario: ClusterScenario, index: int) -> None:
    """Lose a machine permanently; a successor starts at another address."""
    scenario.lost_until_ns[index] = NEVER_NS
    node = scenario.voters_by_index[index]
    partial_update_before_loss(scenario, node)

    def lose() -> None:
        scenario.kill(node, True)
        node.removed = True
        scenario.network.extra_delay_ns.clear()

    rng, scheduler = scenario.random, scenario.scheduler
    scheduler.call_later(rng.randrange(4, 60) * MS, lose)
    scheduler.call_later(rng.randrange(100, 3000) * MS, partial(start_successor, scenario, index))


def start_successor(scenario: ClusterScenario, index: int) -> None:
    """Start a new machine that takes over an index."""
    scenario.voters_by_index[index] = scenario.add_node()
    scenario.restart(scenario.voters_by_index[index])
    scenario.voter_returned(index)


def partial_update_before_loss(scenario: ClusterScenario, node: SimulatedControlPlaneNode) -> None:
    """Replicate an update partially before its node is lost, then submit a rival to another node."""
    rng, scheduler = scenario.random, scenario.scheduler
    if not node.up or rng.random() < 0.2:
        return
    others = [other for other in scenario.voters() if other is not node and other.up]
    version = scenario.workload.claim_next_version()
    delayed, reached = others[: scenario.tolerated_failures], others[scenario.tolerated_failures :]
    for other in delayed:
        delay_ns = rng.randrange(10, 300) * MS
        scenario.network.extra_delay_ns[node.address, other.address] = delay_ns
    scenario.workload.send(version, b"%d-eve" % version, 0.1, first_node=node)
    if not others:
        return
    for other in reached:  # delays the nodes that could complete the update
        scheduler.call_later(20 * MS, partial(_set_slow_disk, other, True))
        scheduler.call_later(2 * SECOND, partial(_set_slow_disk, other, False))
    rival = partial(scenario.workload.send, version, b"%d-rival" % version, 0.1, first_node=others[0])
    scheduler.call_later(rng.choice([150, 300, rng.randrange(5, 1500)]) * MS, rival)


def _set_slow_disk(node: SimulatedControlPlaneNode, is_slow: bool) -> None:
    node.slow_disk = is_slow


def wipe_machine(scenario: ClusterScenario, index: int) -> None:
    """Kill a machine and restart it at its address with an empty disk."""
    scenario.lost_until_ns[index] = NEVER_NS
    node = scenario.voters_by_index[index]
    partial_update_before_loss(scenario, node)

    def lose() -> None:
        scenario.kill(node, scenario.random.random() < 0.5)
        scenario.network.extra_delay_ns.clear()

    def return_machine() -> None:
        node.wipe()
        scenario.restart(node)
        scenario.voter_returned(index)

    rng, scheduler = scenario.random, scenario.scheduler
    scheduler.call_later(rng.randrange(4, 60) * MS, lose)
    scheduler.call_later(rng.choice([70, 70, rng.randrange(70, 3000)]) * MS, return_machine)


def replace_gracefully(scenario: ClusterScenario, index: int) -> None:
    """Start a successor and shut its predecessor down, in either order; sometimes kill it meanwhile."""
    rng, scheduler = scenario.random, scenario.scheduler
    scenario.lost_until_ns[index] = NEVER_NS
    shut_down = partial(_shut_down, scenario, index, scenario.voters_by_index[index])
    if rng.random() < 0.5:
        start_successor(scenario, index)
        scheduler.call_later(rng.randrange(300, 5000) * MS, shut_down)
    else:
        shut_down()
        successor = partial(start_successor, scenario, index)
        scheduler.call_later(rng.randrange(300, 5000) * MS, successor)


def _shut_down(scenario: ClusterScenario, index: int, node: SimulatedControlPlaneNode) -> None:
    rng, scheduler = scenario.random, scenario.scheduler
    scenario.cluster.mark_fault()
    if not node.up:  # retry until it is up
        scheduler.call_later(SECOND // 2, partial(_shut_down, scenario, index, node))
        return
    node.shut_down(GRACE_NS)
    if rng.random() < 0.3:
        kill = partial(_kill_during_shutdown, scenario, index, node)
        scheduler.call_later(rng.randrange(5, 600) * MS, kill)


def _kill_during_shutdown(scenario: ClusterScenario, index: int, node: SimulatedControlPlaneNode) -> None:
    lost = len([until_ns for until_ns in scenario.lost_until_ns if until_ns > scenario.now])
    # Once the successor has started, the predecessor counts as another machine.
    if scenario.voters_by_index[index] is node or lost < scenario.tolerated_failures:
        scenario.kill(node, scenario.random.random() < 0.5)


def lose_power(scenario: ClusterScenario, index: int) -> None:
    """Cut a machine's power, and restart it later with its disk."""
    scenario.lost_until_ns[index] = NEVER_NS
    scenario.kill(scenario.voters_by_index[index], True)

    def return_machine() -> None:
        scenario.restart(scenario.voters_by_index[index])
        scenario.voter_returned(index)

    scenario.scheduler.call_later(scenario.random.randrange(50, 6000) * MS, return_machine)


def freeze_process(scenario: ClusterScenario, index: int) -> None:
    """Suspend a process for up to nine seconds, as SIGSTOP does."""
    node = scenario.voters_by_index[index]
    scenario.lost_until_ns[index] = NEVER_NS
    scenario.isolate(node, "frozen")

    def resume() -> None:
        scenario.cluster.mark_fault()
        node.thaw()
        scenario.cluster.fault_active = any(other.frozen for other in scenario.nodes.values())
        scenario.voter_returned(index)

    scenario.scheduler.call_later(scenario.random.randrange(100, 9000) * MS, resume)


# -- faults of the whole cluster


def split_network(scenario: ClusterScenario, _index: int) -> None:
    """Partition the voters, sometimes in one direction; the cluster may stop but must stay consistent."""
    rng, cluster, network = scenario.random, scenario.cluster, scenario.network
    addresses = [node.address for node in scenario.voters()]
    rng.shuffle(addresses)
    size = rng.randint(1, len(addresses) - 1)
    one_way = rng.random() < 0.3
    cluster.mark_fault()
    cluster.fault_active = True
    cluster.log("#", f"cut: {addresses[:size]} from {addresses[size:]}{' one way' if one_way else ''}")
    for first in addresses[:size]:
        for second in addresses[size:]:
            network.cut(first, second)
            if not one_way:
                network.cut(second, first)
    wait_ns = rng.randrange(200, 6000) * MS
    for index, until_ns in enumerate(scenario.lost_until_ns):
        scenario.lost_until_ns[index] = max(until_ns, scenario.now + wait_ns + MS)
    scenario.scheduler.call_later(wait_ns, partial(_heal_split, scenario))


def _heal_split(scenario: ClusterScenario) -> None:
    scenario.cluster.mark_fault()
    scenario.network.heal()
    scenario.cluster.fault_active = False
    for index, until_ns in enumerate(scenario.lost_until_ns):
        if until_ns < NEVER_NS:
            scenario.voter_returned(index)


def stop_all_and_wipe_one(scenario: ClusterScenario, _index: int) -> None:
    """Stop all processes; sometimes also lose one disk, if a machine may be lost."""
    rng = scenario.random
    running = [index for index in scenario.losable_voters() if scenario.voters_by_index[index].up]
    stop_all(scenario, rng.random() < 0.6)
    if not running or rng.random() >= 0.5:
        return
    index = rng.choice(running)
    node = scenario.voters_by_index[index]
    scenario.lost_until_ns[index] = NEVER_NS

    def return_machine() -> None:
        if not node.up:
            node.wipe()
            scenario.restart(node)
        scenario.voter_returned(index)

    scenario.kill(node, True)
    node.wipe()
    scenario.scheduler.call_later(rng.randrange(100, 3000) * MS, return_machine)


FAULTS: tuple[Fault, ...] = (
    lose_machine,
    lose_machine,
    wipe_machine,
    wipe_machine,
    replace_gracefully,
    replace_gracefully,
    lose_power,
    freeze_process,
    split_network,
    stop_all_and_wipe_one,
)
WHOLE_CLUSTER_FAULTS = (split_network, stop_all_and_wipe_one)
