"""A simulated machine with a control-plane process that starts, stops, freezes and shuts down."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from meadowworks.consensus.effects import Committed
from meadowworks.consensus.messages import Request
from meadowworks.consensus.metadata import load_acceptor
from meadowworks.consensus.replica import Replica
from meadowworks.consensus.replicated_log import ReplicatedLog, StoredLog
from meadowworks.simulation.control.cluster import Cluster
from meadowworks.simulation.control.pull import Pull
from meadowworks.simulation.control.registry_driver import RegistryDriver
from meadowworks.simulation.control.replica_driver import OnOutcome, ReplicaDriver, RequestOrigin
from meadowworks.simulation.control.simulated_disk import SimulatedDisk, SimulatedStore
from meadowworks.simulation.event_scheduler import MS, SECOND, Callback

MAX_DEFERRED = 5000  # events that are queued for a frozen process
HAND_OVER_MARGIN_NS = 200 * MS  # from the deadline of the hand-over to the end of the process
PULLS_BEGIN_WITHIN_NS = 20 * MS


class SimulatedControlPlaneNode:
    """A machine with a disk and a control-plane process; each start of the process is an incarnation.

    :param voting: whether its control plane may become a voting member.
    :param on_unfinished_shutdown: called if a process that shuts down ends before its hand-over is committed.
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
        self.disk_stalled_until_ns = 0  # writes end after this time
        self.stale_reported = self.minority_reported = False  # per incarnation; set by the checker
        self._clock_offset_ns = cluster.random.randrange(1, 10**6) * SECOND
        self._on_unfinished_shutdown = on_unfinished_shutdown
        self._handed_over = False
        self._deferred: list[Callback] = []  # events that arrive while the process is frozen

    @property
    def has_started(self) -> bool:
        """Whether the process has been started at least once."""
        return self._driver is not None

    @property
    def driver(self) -> ReplicaDriver:
        """The driver of the replica of the current or latest incarnation.

        :raises AssertionError: before the first start.
        """
        assert self._driver is not None
        return self._driver

    @property
    def replica(self) -> Replica:
        """The replica of the current or latest incarnation."""
        return self.driver.replica

    @property
    def registry(self) -> RegistryDriver:
        """The driver of the backend registry of the current or latest incarnation.

        :raises AssertionError: before the first start.
        """
        assert self._registry is not None
        return self._registry

    def local_time(self) -> int:
        """Return the time of the machine's clock in nanoseconds."""
        return self.cluster.now + self._clock_offset_ns

    def to_simulated_time(self, local_ns: int) -> int:
        """Convert a time of the machine's clock to simulated time."""
        return local_ns - self._clock_offset_ns

    def log(self, text: str) -> None:
        """Write a line of this machine to the trace."""
        self.cluster.log(self.address, text)

    # -- the process

    def start(self, bootstrap: bool = False) -> None:
        """Start the process from the state on its disk, unless it is up or the machine is removed."""
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
            log=self._load_log(stored.log) if self.cluster.attach_service is not None else None,
        )
        replica = Replica(acceptor, self.cluster.tolerated_failures, self.cluster.random.random)
        self._driver = ReplicaDriver(self, replica, store)
        self._registry = RegistryDriver(self, store)
        if self.cluster.attach_service is not None:
            self.cluster.attach_service(self)
        epoch, version = acceptor.epoch.number, acceptor.committed.version
        self.log(f"starts: member {acceptor.member_id[:4]}, epoch {epoch}, version {version}")
        replica.start(self.local_time())
        self._driver.run_effects()
        self._registry.tick()
        for address in list(self.cluster.nodes):
            if address != self.address:
                self.begin_pulls(address, PULLS_BEGIN_WITHIN_NS)

    def _load_log(self, stored: StoredLog | None) -> ReplicatedLog:
        return ReplicatedLog() if stored is None else ReplicatedLog.from_stored(stored)

    def stop(self, power_lost: bool) -> None:
        """End the process at once; a loss of power may also lose writes that are not synced."""
        if not self.up:
            return
        self.driver.interrupt_write(power_lost)
        self.registry.interrupt_write()
        self.up = False
        if self.shutting_down:
            self.removed = True  # a process that shut down is not restarted
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
        """Cut the machine's power and replace its disk by an empty one."""
        self.stop(power_lost=True)
        self.disk.remove()
        self.disk = SimulatedDisk(self.cluster.random)

    def freeze(self) -> None:
        """Suspend the process as SIGSTOP does."""
        self.frozen = self.up
        self.log("freezes")

    def thaw(self) -> None:
        """Resume a frozen process and run its deferred events in random order."""
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
        """Run an action in the process if it is still the given incarnation; defer it while frozen."""
        if not self.up or incarnation != self.incarnation:
            return
        if self.frozen:
            if len(self._deferred) < MAX_DEFERRED:
                self._deferred.append(partial(self.deliver, incarnation, action))
            return
        action()
        self.driver.run_effects()

    def shut_down(self, grace_ns: int) -> None:
        """Shut the process down as SIGTERM does: it hands over, then ends, at the latest after `grace_ns`."""
        if not self.up or self.shutting_down:
            return
        self.shutting_down = True
        self.log("shuts down")
        incarnation, scheduler = self.incarnation, self.cluster.scheduler
        finish = partial(self._finish_shutdown, incarnation)

        def on_handed_over(outcome: object) -> None:
            if self.up and self.incarnation == incarnation:
                self.log(f"hand-over ended: {outcome}")
                self._handed_over = isinstance(outcome, Committed)
                scheduler.call_later(0, finish)

        leave = partial(self.driver.leave, grace_ns - HAND_OVER_MARGIN_NS, on_handed_over)
        self.deliver(incarnation, leave)
        scheduler.call_later(grace_ns, finish)

    def _finish_shutdown(self, incarnation: int) -> None:
        if self.up and self.incarnation == incarnation:
            self.stop(power_lost=False)

    # -- requests from other nodes and operators

    def on_request(self, origin: RequestOrigin, request: Request) -> None:
        """Pass a request of another node's replica to the own replica."""
        if self.up:
            self.deliver(self.incarnation, partial(self.driver.on_request, origin, request))

    def submit(self, version: int, value: bytes, on_outcome: OnOutcome) -> None:
        """Submit an operator's update."""
        self.driver.submit(version, value, on_outcome)

    def read(self) -> None:
        """Start a quorum read."""
        self.driver.read()

    # -- pulls from other nodes

    def begin_pulls(self, address: str, within_ns: int) -> None:
        """Start to pull from another node repeatedly, after a random delay below `within_ns`."""
        wait_ns = self.cluster.random.randrange(within_ns)
        self.cluster.scheduler.call_later(wait_ns, partial(self.pull, self.incarnation, address))

    def pull(self, incarnation: int, address: str) -> None:
        """Pull once from another node; the end of the pull schedules the next one."""
        if not self.up or incarnation != self.incarnation:
            return
        if self.frozen:
            self._deferred.append(partial(self.pull, incarnation, address))
            return
        target = self.cluster.nodes[address]
        if not target.removed:
            Pull(self, target).send()
