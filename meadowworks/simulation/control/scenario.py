"""One seeded scenario: machines, operators, and the faults that may happen to them."""

from __future__ import annotations

import random
from functools import partial

from meadowworks.simulation.control.cluster import Cluster, Trace
from meadowworks.simulation.control.invariants import InvariantChecker
from meadowworks.simulation.control.node import SimulatedControlPlaneNode
from meadowworks.simulation.control.simulated_backend import SimulatedBackend
from meadowworks.simulation.control.workload import READ_GAP_MS, MillisecondRange, Workload
from meadowworks.simulation.event_scheduler import MS, SECOND, Callback

CATCH_UP_NS = 4 * SECOND  # after which a machine that is back counts as there
ACKNOWLEDGE_WITHIN_NS = 4 * SECOND  # for the last update, when all is well
NEVER_NS = 1 << 62
LEASE_CHECK_GAP_MS = (30, 60)
MAX_CHECKS_WITHOUT_LEASE = 30  # in a row, about a second, in calm
START_WITHIN_NS, PULL_NEW_NODE_WITHIN_NS = 300 * MS, 200 * MS
BACKEND_GAP_MS, BACKEND_LIFETIME_MS = (300, 2500), (200, 9000)
UNRELIABLE_NETWORK_RATE, LOSS_RATE, DUPLICATE_RATE, LATE_RATE = 0.4, 0.01, 0.02, 0.02


class ClusterScenario:
    """The machines of a cluster, and which of them may be lost now.

    Voting machines have places, numbered from 0. `lost_until_ns` says until when each place counts as lost: a
    machine that is away, and for `CATCH_UP_NS` after it, or its successor, is there. No more than
    `tolerated_failures` are lost at once, but for kills and losses of power that take no disk.

    :param tolerated_failures: 0 to draw it.
    """

    def __init__(self, seed: int, trace: Trace | None = None, tolerated_failures: int = 0) -> None:
        self.cluster = cluster = Cluster(seed, trace)
        self.random, self.scheduler, self.network = cluster.random, cluster.scheduler, cluster.network
        self.nodes = cluster.nodes
        self.checker = cluster.checker = InvariantChecker(cluster)
        self.workload = Workload(cluster)
        self._checks_without_lease: dict[str, int] = {}  # in a row, by address
        self._node_count = 0
        self._backend_random = random.Random(seed + 2)
        self._backend_count = 0
        drawn = 2 if self.random.random() < 0.25 else 1
        cluster.tolerated_failures = tolerated_failures or drawn
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
        """How many machines may be lost at once."""
        return self.cluster.tolerated_failures

    @property
    def now(self) -> int:
        """The simulated time in nanoseconds."""
        return self.scheduler.now

    def voters(self) -> list[SimulatedControlPlaneNode]:
        """Return the machines that vote, or would if they were up."""
        return self.cluster.voters()

    def _schedule_starts(self) -> None:
        for node in self.nodes.values():
            start_ns = self.random.randrange(START_WITHIN_NS)
            self.scheduler.call_at(start_ns, partial(node.start, bootstrap=True))
        if self.random.random() < 0.2:
            start_ns = self.random.randrange(START_WITHIN_NS)
            self.scheduler.call_at(start_ns, self.add_node(voting=False).start)

    def add_node(self, voting: bool = True) -> SimulatedControlPlaneNode:
        """Add a machine, which all that are up begin to pull from."""
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
        """Update, read and check leases between two times."""
        self.workload.repeat(start_ns, end_ns, update, update_gap_ms)
        self.workload.repeat(start_ns, end_ns, self.workload.read_at_random_node, read_gap_ms)
        self.workload.repeat(start_ns, end_ns, self._check_leases, LEASE_CHECK_GAP_MS)
        self.run_backends(start_ns, end_ns)

    def run_backends(self, start_ns: int, end_ns: int) -> None:
        """Start backends between two times, each of which drains or leaves a while later."""
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
        """Tell whether there is no fault, and was none in the last seconds."""
        had_fault = self.cluster.last_fault_ns + 2 * CATCH_UP_NS > self.now
        is_lost = max(self.lost_until_ns) > self.now
        return not (self.cluster.fault_active or self.network.cuts or had_fault or is_lost)

    # -- which machines may be lost

    def losable_voters(self) -> list[int]:
        """Return the places whose machines are there and may be lost now."""
        return [
            index
            for index, until_ns in enumerate(self.lost_until_ns)
            if until_ns <= self.now and self._may_lose(index)
        ]

    def _may_lose(self, index: int) -> bool:
        lost = {place for place, until_ns in enumerate(self.lost_until_ns) if until_ns > self.now}
        return len(lost | {index}) <= self.tolerated_failures

    def voter_returned(self, index: int) -> None:
        """Note that the machine of a place has started, or is in touch again."""
        self.lost_until_ns[index] = self.now + CATCH_UP_NS
        self.voters_by_index[index].voter_index = index
        self.expect_catch_up(self.voters_by_index[index])

    def _on_unfinished_shutdown(self, node: SimulatedControlPlaneNode) -> None:
        """Count a machine that was to hand over as lost until the others have had the time to see its end."""
        index = node.voter_index
        self.lost_until_ns[index] = max(self.lost_until_ns[index], self.now + CATCH_UP_NS)

    # -- faults

    def isolate(self, node: SimulatedControlPlaneNode, mode: str) -> None:
        """Freeze a machine, or cut its links: "in", "out" or "both" ways."""
        self.cluster.mark_fault()
        self.cluster.fault_active = True
        self.cluster.log("#", f"{node.address} is cut off: {mode}")
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
        """Mend all links, and let frozen processes go on."""
        self.cluster.mark_fault()
        self.cluster.fault_active = False
        self.cluster.log("#", "all links are whole")
        self.network.heal()
        for node in self.nodes.values():
            node.thaw()

    def kill(self, node: SimulatedControlPlaneNode, power_lost: bool) -> None:
        """End a process, or take a machine's power."""
        self.cluster.mark_fault()
        node.stop(power_lost)

    def restart(self, node: SimulatedControlPlaneNode) -> None:
        """Start a process again."""
        self.cluster.mark_fault()
        node.start()

    def expect_catch_up(self, node: SimulatedControlPlaneNode) -> None:
        """Check that a member soon has what was acknowledged and its lease, unless there is a fault."""
        start_ns, incarnation = self.now, node.incarnation

        def check(retries: int) -> None:
            is_gone = not node.up or node.incarnation != incarnation or node.shutting_down
            if self.cluster.last_fault_ns > start_ns or self.network.cuts or is_gone:
                return
            version = node.replica.acceptor.committed.version
            newest = self.checker.newest_acknowledged(self.now - SECOND)
            if version < newest:
                self.checker.report_violation("never_level", f"{node.address} holds {version} < {newest}")
            elif self._lacks_lease(node):
                if retries:  # a pull may have been lost
                    self.scheduler.call_later(300 * MS, partial(check, retries - 1))
                else:
                    detail = f"{node.address} is not sure for {CATCH_UP_NS // SECOND} s"
                    self.checker.report_violation("never_level", detail)

        self.scheduler.call_later(CATCH_UP_NS, partial(check, 3))

    def _lacks_lease(self, node: SimulatedControlPlaneNode) -> bool:
        has_lease = node.replica.holds_lease(node.local_time())
        return not has_lease and node.voting and self.checker.epoch_in_force > 0

    # -- the end

    def finish(self, restart_lost: bool = True) -> InvariantChecker:
        """End all faults and check that an update is acknowledged and nothing is lost.

        :param restart_lost: whether places that are lost for good get their machines back.
        """
        self.heal()
        for node in self.voters():
            if not node.up and (restart_lost or not self._is_lost_for_good(node)):
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

    def _is_lost_for_good(self, node: SimulatedControlPlaneNode) -> bool:
        places = [index for index, voter in enumerate(self.voters_by_index) if voter is node]
        return bool(places) and self.lost_until_ns[places[0]] >= NEVER_NS

    def _send_last_update(self) -> None:
        self.network.loss_rate = self.network.late_rate = 0.0
        sent_ns = self.now
        update = self.workload.create(self.workload.highest_version + 1, b"last", 0.0)
        self.scheduler.run_until(sent_ns + ACKNOWLEDGE_WITHIN_NS)
        if update.acknowledged_ns is None:
            detail = f"the last order has no answer in {ACKNOWLEDGE_WITHIN_NS // SECOND} s"
            self.checker.report_violation("no_majority_left", detail)
