"""A machine with a control plane, whose process starts, ends, freezes and shuts down."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from meadowworks.consensus.effects import Committed
from meadowworks.consensus.messages import Request
from meadowworks.consensus.metadata import load_acceptor
from meadowworks.consensus.replica import Replica
from meadowworks.simulation.control.cluster import Cluster
from meadowworks.simulation.control.pull import Pull
from meadowworks.simulation.control.registry_driver import RegistryDriver
from meadowworks.simulation.control.replica_driver import OnOutcome, ReplicaDriver, RequestOrigin
from meadowworks.simulation.control.simulated_disk import SimulatedDisk, SimulatedStore
from meadowworks.simulation.event_scheduler import MS, SECOND, Callback

MAX_DEFERRED = 5000  # messages that wait for a frozen process
HAND_OVER_MARGIN_NS = 200 * MS  # between the end of a hand-over and that of the process
PULLS_BEGIN_WITHIN_NS = 20 * MS


class SimulatedControlPlaneNode:
    """One machine; each start of its process is an incarnation.

    :param voting: whether its control plane may be a member.
    :param on_unfinished_shutdown: is told if the process ends before it has handed over.
    """

    def __init__(
        self,
        cluster: Cluster,
        address: str,
        voting: bool,
        on_unfinished_shutdown: Callable[[SimulatedControlPlaneNode], None],
    ) -> None:
        self.cluster, self.address, self.voting = cluster, address, voting
        self.disk = SimulatedDisk(cluster.random)
        self._driver: ReplicaDriver | None = None
        self._registry: RegistryDriver | None = None
        self.up = self.frozen = self.shutting_down = self.removed = False
        self.incarnation = 0
        self.voter_index = -1
        self.slow_disk = False
        self.stale_reported = self.minority_reported = False  # of this incarnation, for the checker
        self._clock_offset_ns = cluster.random.randrange(1, 10**6) * SECOND
        self._on_unfinished_shutdown = on_unfinished_shutdown
        self._handed_over = False
        self._deferred: list[Callback] = []  # what happens to it while it is frozen

    @property
    def has_started(self) -> bool:
        """Whether there has been an incarnation yet."""
        return self._driver is not None

    @property
    def driver(self) -> ReplicaDriver:
        """What drives the replica of this or the last incarnation.

        :raises AssertionError: before the first.
        """
        assert self._driver is not None
        return self._driver

    @property
    def replica(self) -> Replica:
        """The replica of this or the last incarnation."""
        return self.driver.replica

    @property
    def registry(self) -> RegistryDriver:
        """What drives the registry of backends of this or the last incarnation.

        :raises AssertionError: before the first.
        """
        assert self._registry is not None
        return self._registry

    def local_time(self) -> int:
        """Return the time by the machine's own clock."""
        return self.cluster.now + self._clock_offset_ns

    def to_simulated_time(self, local_ns: int) -> int:
        """Return the simulated time of a time by the machine's own clock."""
        return local_ns - self._clock_offset_ns

    def log(self, text: str) -> None:
        """Say what the machine does."""
        self.cluster.log(self.address, text)

    # -- the process

    def start(self, bootstrap: bool = False) -> None:
        """Start the process from what is on the disk."""
        if self.up or self.removed:
            return
        self.up, self.frozen, self.shutting_down = True, False, False
        self.incarnation += 1
        self.stale_reported = self.minority_reported = False
        store = SimulatedStore(self.disk)
        stored = store.load()
        acceptor = load_acceptor(
            stored.metadata,
            new_member_id=f"{self.cluster.random.getrandbits(64):016x}",
            address=self.address,
            seeds=self.cluster.seed_addresses,
            bootstrap=bootstrap,
            voting=self.voting,
            committed=stored.committed,
            history=stored.history,
            slots=stored.slots,
        )
        replica = Replica(acceptor, self.cluster.tolerated_failures, self.cluster.random.random)
        self._driver = ReplicaDriver(self, replica, store)
        self._registry = RegistryDriver(self, store)
        epoch, version = acceptor.epoch.number, acceptor.committed.version
        self.log(f"starts: member {acceptor.member_id[:4]} epoch {epoch} at {version}")
        replica.start(self.local_time())
        self._driver.run_effects()
        self._registry.tick()
        for address in list(self.cluster.nodes):
            if address != self.address:
                self.begin_pulls(address, PULLS_BEGIN_WITHIN_NS)

    def stop(self, power_lost: bool) -> None:
        """End the process at once; if power is lost, what is not synced may be lost with it."""
        if not self.up:
            return
        self.driver.interrupt_write(power_lost)
        self.registry.interrupt_write()
        self.up = False
        if self.shutting_down:
            self.removed = True  # nobody starts it again
            if not self._handed_over:
                self._on_unfinished_shutdown(self)
        self._deferred = []
        self.incarnation += 1
        if power_lost:
            self.disk.lose_power()
        else:
            self.disk.kill_process()
        self.driver.abandon_store()
        self.log("loses power" if power_lost else "is killed")

    def wipe(self) -> None:
        """Take power and disk from the machine, and give it an empty one."""
        self.stop(power_lost=True)
        self.disk.remove()
        self.disk = SimulatedDisk(self.cluster.random)

    def freeze(self) -> None:
        """Stop the process as SIGSTOP does."""
        self.frozen = self.up
        self.log("freezes")

    def thaw(self) -> None:
        """Let a frozen process go on; what has come meanwhile comes now, in any order."""
        if not self.frozen:
            return
        self.frozen = False
        self.log("thaws")
        self.cluster.checker.check_lease(self)
        deferred, self._deferred = self._deferred, []
        self.cluster.random.shuffle(deferred)
        for action in deferred:
            if self.up:
                action()
                self.driver.run_effects()

    def deliver(self, incarnation: int, action: Callback) -> None:
        """Let something happen to the process, if it is still the same incarnation."""
        if not self.up or incarnation != self.incarnation:
            return
        if self.frozen:
            if len(self._deferred) < MAX_DEFERRED:
                self._deferred.append(partial(self.deliver, incarnation, action))
            return
        action()
        self.driver.run_effects()

    def shut_down(self, grace_ns: int) -> None:
        """End the process as SIGTERM does: it hands over, then is gone."""
        if not self.up or self.shutting_down:
            return
        self.shutting_down = True
        self.log("shuts down")
        incarnation, scheduler = self.incarnation, self.cluster.scheduler
        finish = partial(self._finish_shutdown, incarnation)

        def on_handed_over(outcome: object) -> None:
            if self.up and self.incarnation == incarnation:
                self.log(f"has handed over: {outcome}")
                self._handed_over = isinstance(outcome, Committed)
                scheduler.call_later(0, finish)

        leave = partial(self.driver.leave, grace_ns - HAND_OVER_MARGIN_NS, on_handed_over)
        self.deliver(incarnation, leave)
        scheduler.call_later(grace_ns, finish)

    def _finish_shutdown(self, incarnation: int) -> None:
        if self.up and self.incarnation == incarnation:
            self.stop(power_lost=False)

    # -- what others send

    def on_request(self, origin: RequestOrigin, request: Request) -> None:
        """Take a request of another node's replica."""
        if self.up:
            self.deliver(self.incarnation, partial(self.driver.on_request, origin, request))

    def submit(self, version: int, value: bytes, on_outcome: OnOutcome) -> None:
        """Take an operator's change."""
        self.driver.submit(version, value, on_outcome)

    def read(self) -> None:
        """Do a quorum read."""
        self.driver.read()

    # -- pulls from others

    def begin_pulls(self, address: str, within_ns: int) -> None:
        """Pull from another node, again and again, from some time on."""
        wait_ns = self.cluster.random.randrange(within_ns)
        self.cluster.scheduler.call_later(wait_ns, partial(self.pull, self.incarnation, address))

    def pull(self, incarnation: int, address: str) -> None:
        """Pull once from another node, which leads to the next pull."""
        if not self.up or incarnation != self.incarnation:
            return
        if self.frozen:
            self._deferred.append(partial(self.pull, incarnation, address))
            return
        target = self.cluster.nodes[address]
        if not target.removed:
            Pull(self, target).send()
