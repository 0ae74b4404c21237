"""Checks the invariants of a scenario with a view of all machines."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from functools import partial
from typing import Any

from meadowworks.consensus.codec import decode_epoch
from meadowworks.consensus.effects import Persist
from meadowworks.consensus.messages import AcceptRequest, Request
from meadowworks.consensus.timing import LEASE_DURATION_NS
from meadowworks.consensus.values import AcceptorSlot, Ballot, CommittedValue, Epoch, digest
from meadowworks.registry.backend_state import SUSPECT, UP
from meadowworks.simulation.control.cluster import Cluster
from meadowworks.simulation.control.counts import ScenarioCounts
from meadowworks.simulation.control.node import SimulatedControlPlaneNode
from meadowworks.simulation.event_scheduler import MS, SECOND, Callback

MAX_MESSAGES = 20  # kept per scenario
CONTACT_SLACK_NS = 20 * MS  # tolerated age of a contact before the start of a lease
DRAIN_VISIBLE_WITHIN_NS = 3 * SECOND  # of fault-free time
READ_AFTER_ACKNOWLEDGEMENT_RATE = 0.2  # per node


class InvariantChecker:
    """Observes the writes, acknowledgements and reads of all machines and counts violations.

    `messages` describe the violations; `epoch_in_force` is the newest epoch that a majority of its members
    has installed, or -1.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.counts = ScenarioCounts(days=1)
        self.messages: list[str] = []
        self.epoch_in_force = -1
        self._cluster = cluster
        self._chosen: dict[int, set[bytes]] = defaultdict(set)  # values by version
        self._acknowledged: list[tuple[int, int]] = []  # (time, highest version acknowledged by then)
        self._drained_since_ns: dict[str, int] = {}  # by backend, for acknowledged drains and departures
        self.acknowledgement_listeners: list[Callback] = []  # for updates and drains
        self._accepted_by: dict[tuple[int, Ballot], set[str]] = defaultdict(set)  # by version and ballot
        self._installed_by: dict[int, set[str]] = defaultdict(set)  # members by epoch
        self._epochs: dict[int, Epoch] = {}
        self._epoch_of: dict[str, int] = {}  # by member
        self._members_of_epoch: dict[int, tuple[tuple[str, str], ...]] = {}

    def report_violation(self, count_name: str, detail: str) -> None:
        """Increment a violation count and record the detail."""
        setattr(self.counts, count_name, getattr(self.counts, count_name) + 1)
        if len(self.messages) < MAX_MESSAGES:
            self.messages.append(f"{self._cluster.now / SECOND:.3f} {count_name}: {detail}")
        self._cluster.log("!", f"{count_name}: {detail}")

    # -- chosen values

    def on_chosen(self, version: int, value: bytes, source: str) -> None:
        """Record a chosen value; two different values for one version are a violation."""
        values = self._chosen[version]
        if version > 0 and value not in values:
            values.add(value)
            if len(values) == 2:
                self.report_violation("confirmed_twice", f"{version} is {values} ({source})")

    def on_persisted(self, node: SimulatedControlPlaneNode, effect: Persist) -> None:
        """Record the accepted values and installed epochs of a completed write."""
        member, metadata = node.replica.acceptor.member_id, effect.update.metadata
        if metadata is not None:
            self._epoch_of[member] = metadata["epoch"][0]
        for version, slot in effect.update.slots.items():
            if slot is not None and version and slot.accepted.epoch >= 1:
                self._on_accepted(node, member, version, slot)
        if metadata is not None and metadata["installed"]:
            self._on_installed(member, metadata)

    def _on_accepted(
        self, node: SimulatedControlPlaneNode, member: str, version: int, slot: AcceptorSlot
    ) -> None:
        if slot.accepted.epoch != self._epoch_of[member]:
            return  # a copy received with a membership change
        voters = self._accepted_by[version, slot.accepted]
        if member in voters:
            return
        voters.add(member)
        epoch = self._epochs.get(slot.accepted.epoch)
        if (
            epoch is not None
            and len([voter for voter in voters if epoch.has_member(voter)]) == epoch.majority
        ):
            self.on_chosen(version, slot.value, node.address)

    def _on_installed(self, member: str, metadata: Mapping[str, Any]) -> None:
        epoch = decode_epoch(metadata["epoch"])
        number = epoch.number
        if self._members_of_epoch.setdefault(number, epoch.members) != epoch.members:
            self.report_violation("confirmed_twice", f"epoch {number} has two sets of members")
        self._epochs[number] = epoch
        if epoch.has_member(member) or number == 0:
            self._installed_by[number].add(member)
        if len(self._installed_by[number]) >= epoch.majority and number > self.epoch_in_force:
            self.epoch_in_force = number
            self._cluster.log("*", f"epoch {number} in force: {[address for _, address in epoch.members]}")

    # -- acknowledgements of updates

    def newest_acknowledged(self, at_ns: int) -> int:
        """Return the highest version acknowledged at or before a time, or 0."""
        for acknowledged_ns, version in reversed(self._acknowledged):
            if acknowledged_ns <= at_ns:
                return version
        return 0

    def on_acknowledged(self, version: int, value: bytes, node: SimulatedControlPlaneNode) -> None:
        """Check that a node has committed the version it acknowledges, and start reads at random nodes."""
        committed = node.replica.acceptor.committed
        if committed.version == version:
            self.on_chosen(version, value, f"acknowledged by {node.address}")
        elif committed.version < version:
            self.report_violation("acked_then_lost", f"{version} acknowledged at {committed.version}")
        self._notify_acknowledgement()
        cluster = self._cluster
        if version > self.newest_acknowledged(cluster.now):
            self._acknowledged.append((cluster.now, version))
            for other in cluster.nodes.values():
                if other.up and cluster.random.random() < READ_AFTER_ACKNOWLEDGEMENT_RATE:
                    delay_ns = cluster.random.randrange(4 * MS)
                    read = partial(other.deliver, other.incarnation, other.read)
                    cluster.scheduler.call_later(delay_ns, read)

    # -- acknowledgements of drains

    def on_drain_acknowledged(self, backend_id: str) -> None:
        """Record that the drain or departure of a backend was acknowledged."""
        self._drained_since_ns.setdefault(backend_id, self._cluster.now)
        self._notify_acknowledgement()

    def check_drains(self, node: SimulatedControlPlaneNode) -> None:
        """Check that a node lists no backend as available long after its drain was acknowledged."""
        for backend_id, since_ns in list(self._drained_since_ns.items()):
            state = node.registry.backends.merged_state(backend_id)
            if since_ns + DRAIN_VISIBLE_WITHIN_NS < self._cluster.now and state in (UP, SUSPECT):
                self.report_violation("drains_forgotten", f"{backend_id} is {state} at {node.address}")
                del self._drained_since_ns[backend_id]  # report each backend once

    def _notify_acknowledgement(self) -> None:
        for listener in self.acknowledgement_listeners:
            listener()

    def on_conflict(self, version: int, value: bytes, node: SimulatedControlPlaneNode) -> None:
        """Check that a rejected value was not chosen for its version."""
        chosen = {digest(chosen_value) for chosen_value in self._chosen[version]}
        for other in self._cluster.nodes.values():
            if other.has_started and (stored_digest := other.replica.acceptor.history.get(version)):
                chosen.add(stored_digest)
        if digest(value) in chosen or not chosen:
            detail = f"{version} by {node.address}; chosen: {len(chosen)}"
            self.report_violation("refused_though_taken", detail)

    # -- leases and reads

    def check_lease(self, node: SimulatedControlPlaneNode) -> None:
        """Check that a node with a lease has the acknowledged state and recent contact to a majority."""
        if not node.replica.holds_lease(node.local_time()):
            return
        now = self._cluster.now
        version = node.replica.acceptor.committed.version
        newest = self.newest_acknowledged(now - LEASE_DURATION_NS)
        if version < newest and not node.stale_reported:
            node.stale_reported = True  # report once per incarnation
            self.report_violation("old_served", f"{node.address} is sure of {version} < {newest}")
        contacts, required = self._count_contacts(node, now - LEASE_DURATION_NS - CONTACT_SLACK_NS)
        if contacts < required and not node.minority_reported:
            node.minority_reported = True
            detail = f"{node.address} is sure, heard {contacts} of {required}"
            self.report_violation("served_without_majority", detail)

    def on_read(self, node: SimulatedControlPlaneNode, started_ns: int, committed: CommittedValue) -> None:
        """Check the result of a quorum read that started at `started_ns`."""
        newest = self.newest_acknowledged(started_ns)
        if committed.version < newest:
            self.report_violation("old_served", f"{node.address} reads {committed.version} < {newest}")
        if committed.version:
            self.on_chosen(committed.version, committed.value, f"read at {node.address}")
        contacts, required = self._count_contacts(node, started_ns)
        if contacts < required:
            detail = f"{node.address} reads, heard {contacts} of {required}"
            self.report_violation("served_without_majority", detail)

    def _count_contacts(self, node: SimulatedControlPlaneNode, since_ns: int) -> tuple[int, int]:
        """Count the members with a message to the node sent since a time.

        :returns: the number of these members, including the node itself, and the number it requires.
        """
        acceptor, last_contact = node.replica.acceptor, self._cluster.network.last_contact
        epoch = acceptor.newest_epoch()
        contacts = sum(
            member in (acceptor.member_id, acceptor.bootstrap_id)
            or last_contact.get((address, node.address), -1) >= since_ns
            for member, address in epoch.members
        )
        return contacts, epoch.majority

    def on_late_acceptance(self, node: SimulatedControlPlaneNode, request: Request) -> None:
        """Report that a member has accepted a value in an epoch that has ended."""
        version = request.version if isinstance(request, AcceptRequest) else 0
        self.report_violation("led_with_old", f"{node.address} takes {version} late")
