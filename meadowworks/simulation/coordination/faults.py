"""Overlapping faults of the machines of a coordination scenario."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from meadowworks.simulation.control.node import SimulatedControlPlaneNode
from meadowworks.simulation.control.overlap_scenarios import (
    freeze_some,
    lose_disk_while_minority_lags,
    partition_into_halves,
    stop_all_nodes,
    stop_some,
)
from meadowworks.simulation.control.process_faults import restart_node
from meadowworks.simulation.control.replacement_scenarios import start_successor
from meadowworks.simulation.control.scenario import ClusterScenario
from meadowworks.simulation.event_scheduler import MS, SECOND

OUTAGE_MS = (100, 4000)
SUCCESSOR_DELAY_MS = (100, 2000)
DISK_STALL_MS = (200, 3000)
TRANSFER_MS = (50, 600)
RESTART_MS = (50, 1500)
LAG_MS, ELECTION_MS = (100, 600), (500, 1500)
GRACE_NS = 2 * SECOND
CLOSING_POWER_LOSS_RATE = 0.5
CLOSING_RESTART_MS = (200, 1500)


class Faults:
    """Injects faults. At most `tolerated_failures` disks are lost in a run, as faults may overlap."""

    def __init__(self, scenario: ClusterScenario) -> None:
        self.scenario = scenario
        self.wipes_left = [scenario.tolerated_failures]  # a list, as the shared faults change it

    def inject(self, fault: Fault) -> None:
        """Inject a fault, which ends by itself."""
        fault(self)

    def end(self) -> int:
        """End all faults, sometimes with a loss of all power and the remaining disks.

        :returns: the delay in nanoseconds after which all machines have been started.
        """
        scenario, network = self.scenario, self.scenario.network
        network.loss_rate = network.duplicate_rate = network.late_rate = 0.0
        scenario.cluster.write_failure_rate = 0.0
        scenario.heal()
        for node in scenario.voters():
            node.disk_stalled_until_ns = 0
        if scenario.random.random() < CLOSING_POWER_LOSS_RATE:
            return self._lose_all_power()
        for node in scenario.voters():
            scenario.restart(node)
        return 0

    def _lose_all_power(self) -> int:
        rng, scenario = self.scenario.random, self.scenario
        victims = rng.sample(scenario.voters(), self.wipes_left[0])
        self.wipes_left[0] = 0  # a fault that is still under way must not lose another disk
        scenario.cluster.log("#", f"closing loss of power, disks lost: {[node.address for node in victims]}")
        delays_ns = [0]
        for node in scenario.voters():
            scenario.kill(node, True)
            if node in victims:
                node.wipe()
            delays_ns.append(rng.randrange(*CLOSING_RESTART_MS) * MS)
            scenario.scheduler.call_later(delays_ns[-1], partial(scenario.restart, node))
        return max(delays_ns)

    def leader(self) -> SimulatedControlPlaneNode | None:
        """Return a running node that believes to be the leader of the log."""
        leaders = [node for node in self.scenario.voters() if node.up and node.replica.is_log_leader()]
        return self.scenario.random.choice(leaders) if leaders else None


Fault = Callable[[Faults], None]


def isolate_leader(faults: Faults) -> None:
    """Cut the leader off in one or both directions, or freeze it."""
    scenario, rng = faults.scenario, faults.scenario.random
    if (node := faults.leader()) is not None:
        scenario.isolate(node, rng.choice(("in", "out", "both", "frozen")))
        scenario.scheduler.call_later(rng.randrange(*OUTAGE_MS) * MS, scenario.heal)


def stop_leader(faults: Faults) -> None:
    """Kill or power off the leader, and restart it."""
    scenario, rng = faults.scenario, faults.scenario.random
    if (node := faults.leader()) is not None:
        scenario.kill(node, rng.random() < 0.5)
        restart = partial(restart_node, scenario, node)
        scenario.scheduler.call_later(rng.randrange(*RESTART_MS) * MS, restart)


def transfer_leadership(faults: Faults) -> None:
    """Let the leader hand its role over as at a shutdown, then kill and restart it."""
    scenario, rng = faults.scenario, faults.scenario.random
    if (node := faults.leader()) is None:
        return
    log_replica = node.replica.log_replica
    assert log_replica is not None
    node.deliver(node.incarnation, lambda: log_replica.resign(node.local_time()))
    incarnation = node.incarnation

    def kill() -> None:
        if node.incarnation == incarnation:
            scenario.kill(node, False)

    stop_ns = rng.randrange(*TRANSFER_MS) * MS
    scenario.scheduler.call_later(stop_ns, kill)
    restart = partial(restart_node, scenario, node)
    scenario.scheduler.call_later(stop_ns + rng.randrange(*RESTART_MS) * MS, restart)


def stall_disks(faults: Faults) -> None:
    """Stall the writes of some disks, or of the leader's."""
    scenario, rng = faults.scenario, faults.scenario.random
    leader = faults.leader()
    nodes = rng.sample(scenario.voters(), rng.randint(1, len(scenario.voters())))
    if leader is not None and rng.random() < 0.5:
        nodes = [leader]
    for node in nodes:
        node.disk_stalled_until_ns = scenario.now + rng.randrange(*DISK_STALL_MS) * MS
    scenario.cluster.log("#", f"disks stall: {[node.address for node in nodes]}")


def replace_machine(faults: Faults) -> None:
    """Lose a machine with its disk, or shut it down, and start a successor at another address."""
    scenario, rng = faults.scenario, faults.scenario.random
    if not faults.wipes_left[0]:
        return
    faults.wipes_left[0] -= 1
    index = rng.randrange(len(scenario.voters_by_index))
    node = scenario.voters_by_index[index]
    if rng.random() < 0.5 and node.up and not node.frozen:
        node.shut_down(GRACE_NS)
    else:
        scenario.kill(node, True)
        node.removed = True
    start = partial(start_successor, scenario, index)
    scenario.scheduler.call_later(rng.randrange(*SUCCESSOR_DELAY_MS) * MS, start)


def lose_leader_with_unsynced_log(faults: Faults) -> None:
    """Stall the leader's disk while two followers lag, then lose its power and cut the other two off."""
    scenario, rng = faults.scenario, faults.scenario.random
    if (leader := faults.leader()) is None:
        return
    followers = [node for node in scenario.voters() if node is not leader]
    rng.shuffle(followers)
    lagging, current = followers[:2], followers[2:]
    leader.disk_stalled_until_ns = scenario.now + max(DISK_STALL_MS) * MS
    for node in lagging:
        scenario.isolate(node, "both")

    def lose() -> None:
        scenario.kill(leader, True)
        leader.disk_stalled_until_ns = 0
        scenario.heal()
        for node in current:
            scenario.isolate(node, "both")
        scenario.restart(leader)

    lose_ns = rng.randrange(*LAG_MS) * MS
    scenario.scheduler.call_later(lose_ns, lose)
    scenario.scheduler.call_later(lose_ns + rng.randrange(*ELECTION_MS) * MS, scenario.heal)


def restart_stalled_voters(faults: Faults) -> None:
    """Let an election run while voters' disks stall, then cut its winner off and power the voters off."""
    scenario, rng = faults.scenario, faults.scenario.random
    if (leader := faults.leader()) is None:
        return
    others = [node for node in scenario.voters() if node is not leader]
    absent, *voters = rng.sample(others, len(others))
    scenario.isolate(absent, "both")
    scenario.kill(leader, True)
    for node in voters:
        node.disk_stalled_until_ns = scenario.now + 2 * max(ELECTION_MS) * MS

    def end_election() -> None:
        winners = [node for node in voters if node.up and node.replica.is_log_leader()]
        scenario.heal()
        for node in voters:
            if node in winners:
                scenario.isolate(node, "both")
            else:
                scenario.kill(node, True)
            node.disk_stalled_until_ns = 0
            scenario.restart(node)
        scenario.restart(leader)

    end_ns = rng.randrange(*ELECTION_MS) * MS
    scenario.scheduler.call_later(end_ns, end_election)
    scenario.scheduler.call_later(end_ns + max(ELECTION_MS) * MS, scenario.heal)


def _shared(fault: Callable[[ClusterScenario, list[int]], None]) -> Fault:
    return lambda faults: fault(faults.scenario, faults.wipes_left)


FAULTS: tuple[Fault, ...] = (
    isolate_leader,
    isolate_leader,
    stop_leader,
    transfer_leadership,
    stall_disks,
    replace_machine,
    lose_leader_with_unsynced_log,
    restart_stalled_voters,
    _shared(partition_into_halves),
    _shared(stop_some),
    _shared(freeze_some),
    _shared(stop_all_nodes),
    _shared(lose_disk_while_minority_lags),
)
