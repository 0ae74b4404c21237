"""The base of all control-plane scenarios: machines, load, and faults."""

from __future__ import annotations

import random
from functools import partial

from meadowworks.simulation.control.cluster import Cluster, Trace
from meadowworks.simulation.control.invariants import InvariantChecker
from meadowworks.simulation.control.node import SimulatedControlPlaneNode
from meadowworks.simulation.control.simulated_backend import SimulatedBackend
from meadowworks.simulation.control.workload import READ_GAP_MS, MillisecondRange, Workload
from meadowworks.simulation.event_scheduler import MS, SECOND, Callback

CATCH_UP_NS = 4 * SECOND  # after which a returned machine no longer counts as lost
ACKNOWLEDGE_WITHIN_NS = 4 * SECOND  # for the last update, which is sent without faults
NEVER_NS = 1 << 62
LEASE_CHECK_GAP_MS = (30, 60)
MAX_CHECKS_WITHOUT_LEASE = 30  # in a row and without faults, about a second
START_WITHIN_NS, PULL_NEW_NODE_WITHIN_NS = 300 * MS, 200 * MS
BACKEND_GAP_MS, BACKEND_LIFETIME_MS = (300, 2500), (200, 9000)
UNRELIABLE_NETWORK_RATE, LOSS_RATE, DUPLICATE_RATE, LATE_RATE = 0.4, 0.01, 0.02, 0.02


class ClusterScenario:
    """A seeded cluster with its load, and the bookkeeping of which machines may be lost.

    Voting machines have an index from 0; a successor takes over the index of its predecessor.
    `lost_until_ns` is, by index, the time until which a machine counts as lost: while it is away, and for
    `CATCH_UP_NS` after it or its successor has returned. At most `tolerated_failures` machines are lost at
    a time, apart from kills and losses of power that destroy no disk.

    :param tolerated_failures: how many machines may be lost at a time; 0 to draw it from the seed.
    """

    def __init__(self, seed: int, trace: Trace | None = None, tolerated_failures: int = 0) -> None:
        self.cluster = cluster = Cluster(seed, trace)
        self.random, self.scheduler, self.network = cluster.random, cluster.scheduler, cluster.network
        self.nodes = cluster.nodes
        self.checker = cluster.checker = InvariantChecker(cluster)
        self.workload = Workload(cluster)
        self._checks_without_lease: dict[str, int] = {}  # consecutive checks, by address
        self._node_count = 0
        self._backend_random = random.Random(seed + 2)
        self._backend_count = 0
        drawn_failures = 2 if self.random.random() < 0.25 else 1
        cluster.tolerated_failures = tolerated_failures or drawn_failures
        size = 2 * cluster.tolerated_failures + 1
        cluster.write_failure_rate = self.random.choice([0, 0, 0.02])
        self.voters_by_index = [self.add_node() for _ in range(size)]
        self.lost_until_ns = [0] * size
        for index, node in enumerate(self.voters_by_index):
            node.voter_index = index
        self._schedule_starts()
        if self.random.random() < UNRELIABLE_NETWORK_RATE:
            self.network.loss_rate, self.network.duplicate_rate = LOSS_RATE, DUPLICATE_RATE
            self.network.late_rate = LATE_RATE

    @property
    def tolerated_failures(self) -> int:
        """The number of machines that may be lost at a time."""
        return self.cluster.tolerated_failures

    @property
    def now(self) -> int:
        """The simulated time in nanoseconds."""
        return self.scheduler.now

    def voters(self) -> list[SimulatedControlPlaneNode]:
        """Return the voting machines that are not removed, whether or not they are up."""
        return self.cluster.voters()

    def _schedule_starts(self) -> None:
        for node in self.nodes.values():
            start_ns = self.random.randrange(START_WITHIN_NS)
            self.scheduler.call_at(start_ns, partial(node.start, bootstrap=True))
        if self.random.random() < 0.2:
            start_ns = self.random.randrange(START_WITHIN_NS)
            self.scheduler.call_at(start_ns, self.add_node(voting=False).start)

    def add_node(self, voting: bool = True) -> SimulatedControlPlaneNode:
        """Add a machine, from which all running nodes start to pull."""
        self._node_count += 1
        address = f"10.0.0.{self._node_count}"
        node = SimulatedControlPlaneNode(self.cluster, address, voting, self._on_unfinished_shutdown)
        self.nodes[address] = node
        for other in self.nodes.values():
            if other.up:
                other.begin_pulls(address, PULL_NEW_NODE_WITHIN_NS)
        return node

    # -- load

    def generate_load(
        self,
        start_ns: int,
        end_ns: int,
        update: Callback,
        update_gap_ms: MillisecondRange,
        read_gap_ms: MillisecondRange = READ_GAP_MS,
    ) -> None:
        """Run updates, reads, lease checks and backends between two times."""
        self.workload.repeat(start_ns, end_ns, update, update_gap_ms)
        self.workload.repeat(start_ns, end_ns, self.workload.read_at_random_node, read_gap_ms)
        self.workload.repeat(start_ns, end_ns, self._check_leases, LEASE_CHECK_GAP_MS)
        self.run_backends(start_ns, end_ns)

    def run_backends(self, start_ns: int, end_ns: int) -> None:
        """Start backends between two times; each drains or leaves after a random lifetime."""
        rng = self._backend_random
        at_ns = start_ns
        while at_ns < end_ns:
            self._backend_count += 1
            backend_id = f"i-{self._backend_count}"
            backend = SimulatedBackend(self.cluster, backend_id, random.Random(rng.getrandbits(32)))
            self.scheduler.call_at(at_ns, backend.start)
            self.scheduler.call_at(at_ns + rng.randrange(*BACKEND_LIFETIME_MS) * MS, backend.end)
            at_ns += rng.randrange(*BACKEND_GAP_MS) * MS

    def _check_leases(self) -> None:
        is_fault_free = self.is_fault_free()
        for address, node in self.nodes.items():
            if not node.up or node.frozen:
                continue
            self.checker.check_lease(node)
            if is_fault_free:
                self.checker.check_drains(node)
            lacks_lease = is_fault_free and not node.replica.holds_lease(node.local_time())
            checks = self._checks_without_lease.get(address, 0) + 1 if lacks_lease else 0
            self._checks_without_lease[address] = checks
            if checks == MAX_CHECKS_WITHOUT_LEASE:
                self.checker.report_violation("never_level", f"{address} has no lease for a second of calm")

    def is_fault_free(self) -> bool:
        """Return whether there is no fault now and was none within twice `CATCH_UP_NS`."""
        had_fault = self.cluster.last_fault_ns + 2 * CATCH_UP_NS > self.now
        is_lost = max(self.lost_until_ns) > self.now
        return not (self.cluster.fault_active or self.network.cuts or had_fault or is_lost)

    # -- machines that may be lost

    def losable_voters(self) -> list[int]:
        """Return the indices of the machines that are not lost and may be lost now."""
        return [
            index
            for index, until_ns in enumerate(self.lost_until_ns)
            if until_ns <= self.now and self._may_lose(index)
        ]

    def _may_lose(self, index: int) -> bool:
        lost = {lost_index for lost_index, until_ns in enumerate(self.lost_until_ns) if until_ns > self.now}
        return len(lost | {index}) <= self.tolerated_failures

    def voter_returned(self, index: int) -> None:
        """Record that the machine with an index has started, or is connected again."""
        self.lost_until_ns[index] = self.now + CATCH_UP_NS
        self.voters_by_index[index].voter_index = index
        self.expect_catch_up(self.voters_by_index[index])

    def _on_unfinished_shutdown(self, node: SimulatedControlPlaneNode) -> None:
        """Count a machine whose shutdown failed to hand over as lost, until the others can detect its end."""
        index = node.voter_index
        self.lost_until_ns[index] = max(self.lost_until_ns[index], self.now + CATCH_UP_NS)

    # -- faults

    def isolate(self, node: SimulatedControlPlaneNode, mode: str) -> None:
        """Isolate a machine: freeze its process ("frozen"), or cut its links ("in", "out" or "both")."""
        self.cluster.mark_fault()
        self.cluster.fault_active = True
        self.cluster.log("#", f"{node.address} is isolated: {mode}")
        if mode == "frozen":
            node.freeze()
            return
        for other in list(self.nodes):
            if other == node.address:
                continue
            if mode in ("both", "in"):
                self.network.cut(other, node.address)
            if mode in ("both", "out"):
                self.network.cut(node.address, other)

    def heal(self) -> None:
        """Restore all links and resume frozen processes."""
        self.cluster.mark_fault()
        self.cluster.fault_active = False
        self.cluster.log("#", "all links are restored")
        self.network.heal()
        for node in self.nodes.values():
            node.thaw()

    def kill(self, node: SimulatedControlPlaneNode, power_lost: bool) -> None:
        """Kill a process, or cut the power of its machine."""
        self.cluster.mark_fault()
        node.stop(power_lost)

    def restart(self, node: SimulatedControlPlaneNode) -> None:
        """Start a process that is down."""
        self.cluster.mark_fault()
        node.start()

    def expect_catch_up(self, node: SimulatedControlPlaneNode) -> None:
        """Check after `CATCH_UP_NS` that a member has the acknowledged version and a lease.

        The check is skipped if there is a new fault or the process has ended.
        """
        start_ns, incarnation = self.now, node.incarnation

        def check(retries: int) -> None:
            has_ended = not node.up or node.incarnation != incarnation or node.shutting_down
            if self.cluster.last_fault_ns > start_ns or self.network.cuts or has_ended:
                return
            version = node.replica.acceptor.committed.version
            newest = self.checker.newest_acknowledged(self.now - SECOND)
            if version < newest:
                self.checker.report_violation("never_level", f"{node.address} holds {version} < {newest}")
            elif self._lacks_lease(node):
                if retries:  # the network may have lost a pull
                    self.scheduler.call_later(300 * MS, partial(check, retries - 1))
                else:
                    detail = f"{node.address} is not sure for {CATCH_UP_NS // SECOND} s"
                    self.checker.report_violation("never_level", detail)

        self.scheduler.call_later(CATCH_UP_NS, partial(check, 3))

    def _lacks_lease(self, node: SimulatedControlPlaneNode) -> bool:
        has_lease = node.replica.holds_lease(node.local_time())
        return not has_lease and node.voting and self.checker.epoch_in_force > 0

    # -- end of the scenario

    def finish(self, restart_lost: bool = True) -> InvariantChecker:
        """End all faults; check that a last update is acknowledged and no acknowledged update is lost.

        :param restart_lost: whether to restart machines that are permanently lost.
        """
        self.heal()
        for node in self.voters():
            if not node.up and (restart_lost or not self._is_permanently_lost(node)):
                self.restart(node)
            self.expect_catch_up(node)
        self.scheduler.run_until(self.now + 5 * SECOND)
        newest = self.checker.newest_acknowledged(self.now)
        self._send_last_update()
        self.scheduler.run_until(self.now + SECOND)
        for node in self.voters():
            version = node.replica.acceptor.committed.version if node.up else newest
            if version < newest:
                detail = f"{node.address} ends at {version} < {newest}"
                self.checker.report_violation("acked_then_lost", detail)
            if node.up:
                self.checker.check_drains(node)
        for node in self.nodes.values():
            if node.up:
                node.stop(power_lost=False)
            node.disk.remove()
        return self.checker

    def _is_permanently_lost(self, node: SimulatedControlPlaneNode) -> bool:
        indices = [index for index, voter in enumerate(self.voters_by_index) if voter is node]
        return bool(indices) and self.lost_until_ns[indices[0]] >= NEVER_NS

    def _send_last_update(self) -> None:
        self.network.loss_rate = self.network.late_rate = 0.0
        sent_ns = self.now
        update = self.workload.create(self.workload.highest_version + 1, b"last", 0.0)
        self.scheduler.run_until(sent_ns + ACKNOWLEDGE_WITHIN_NS)
        if update.acknowledged_ns is None:
            detail = f"the last order has no answer in {ACKNOWLEDGE_WITHIN_NS // SECOND} s"
            self.checker.report_violation("no_majority_left", detail)
