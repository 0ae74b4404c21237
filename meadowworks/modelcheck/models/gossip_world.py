"""The world of the model ``telegraph``: two control-plane nodes and a proxy that pull updates.

It runs ``UpdateStore``, ``PartialView``, ``HeartbeatRegistry``, ``BackendDirectory`` and ``DrainLog``.
Replies may arrive late, twice or never. The control-plane nodes may be partitioned and rejoined, and may
restart under the same address. One backend sends heartbeats, drains and leaves at either node, and an old
heartbeat of it may arrive late. The key of a second backend is deleted, so that a process that lags behind
needs a snapshot. A drain is acknowledged once it is on the node's own disk and covered by the other node's
acknowledgement. Disk writes complete at once; the model ``roster`` covers slow disks.
"""

from __future__ import annotations

import pickle
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from meadowworks.gossip.messages import decode_delta, encode_delta
from meadowworks.gossip.peer_sampling import PeerRecord
from meadowworks.gossip.updates import SourceDelta
from meadowworks.modelcheck.model import Step
from meadowworks.modelcheck.models.gossip_node import CONTROL_PLANE, DRAINED_BACKEND, PROXY, GossipNode
from meadowworks.modelcheck.models.registry_node import heartbeat_document
from meadowworks.registry.backend_state import BACKEND_KEY_PREFIX, DRAINING, GONE, UP
from meadowworks.registry.heartbeats import CallAccepted, CallOutcome

PULLS = ((0, 1), (1, 0), (PROXY, 0), (PROXY, 1))  # (requester, host)
DELETED_BACKEND = "y"  # the backend whose key is deleted
# Maps the kind of a step, which counterexample files store, to the method that carries it out.
STEP_METHODS: dict[str, str] = {
    "drain": "drain_backend",
    "leave": "remove_backend",
    "late": "deliver_late_heartbeat",
    "silence": "expire_heartbeat",
    "restart": "restart_node",
    "forget": "delete_backend_key",
    "pull": "pull_updates",
    "ask": "start_slow_pull",
    "come": "deliver_reply",
    "lost": "drop_reply",
    "ack": "acknowledge_drain",
    "cut": "toggle_partition",
}


@dataclass(frozen=True, slots=True)
class GossipBudget:
    """How often each event may occur.

    :ivar late_heartbeats: old heartbeats that arrive late.
    :ivar slow_replies: replies to pulls that arrive late, or a second time.
    :ivar partitions: partitions between the control-plane nodes.
    """

    name: str
    drains: int = 0
    leaves: int = 0
    late_heartbeats: int = 0
    heartbeat_timeouts: int = 0
    restarts: int = 0
    key_deletions: int = 0
    slow_replies: int = 0
    partitions: int = 0
    pulls: int = 5


@dataclass(frozen=True, slots=True)
class DelayedReply:
    """A reply in flight to a host."""

    host: int
    deltas: tuple[SourceDelta, ...]
    sender: PeerRecord


class GossipWorld:
    """The state that is explored.

    :ivar outcomes: of the last step, for each process that did not restart: its rank and its peers'
        heartbeats before and after.
    :ivar sequence: sequence number of the drained backend's last heartbeat; ``state`` is its state.
    :ivar hints: by node, the values of ``HeartbeatRegistry`` stored for a restart.
    :ivar disks: by node, the rows of its drain log.
    :ivar unacknowledged: the node that accepted a drain or departure, and the version to be replicated.
    :ivar acknowledged: the nodes that must hold the drain or departure after its acknowledgement.
    """

    def __init__(self, budget: GossipBudget) -> None:
        self.budget, self.left = budget, budget
        self.outcomes: list[tuple[Any, ...]] = []
        self.nodes = [GossipNode(host, 1) for host in (*CONTROL_PLANE, PROXY)]
        self.sequence, self.state = 1, UP
        self.hints: list[dict[str, list[Any]]] = [{}, {}]
        self.disks: list[dict[str, Any]] = [{}, {}]
        self.unacknowledged: tuple[int, int] | None = None
        self.acknowledged: frozenset[int] = frozenset()
        self.is_partitioned = False
        self.delayed: DelayedReply | None = None
        backends = (DRAINED_BACKEND, DELETED_BACKEND) if budget.key_deletions else (DRAINED_BACKEND,)
        for backend in backends:
            self.nodes[0].heartbeats.record_heartbeat(0, backend, heartbeat_document(UP, 1))
        self.hints[0] = dict(self.nodes[0].heartbeats.durable_values())
        for host in (1, PROXY):
            self._pull(host, 0)

    # -- steps

    def enabled(self) -> Iterable[Step]:
        """Return the steps that may be taken now."""
        steps = list[Step]()
        for host in CONTROL_PLANE:
            steps += self._enabled_at(host)
        if self.left.key_deletions and DELETED_BACKEND in self.nodes[0].heartbeats.registrations:
            steps.append(("forget",))
        if self.left.pulls:
            steps += self._enabled_pulls()
        if self.delayed:
            steps += [("come",), ("lost",)]
        if self.unacknowledged and not self.acknowledged and self._is_replicated(*self.unacknowledged):
            steps.append(("ack",))
        if self.left.partitions or self.is_partitioned:
            steps.append(("cut",))
        return steps

    def _enabled_at(self, host: int) -> Iterable[Step]:
        left = self.left
        if left.drains and self.state == UP:
            yield "drain", host
        if left.leaves and self.state != GONE:
            yield "leave", host
        if left.late_heartbeats:
            yield "late", host
        if left.heartbeat_timeouts and DRAINED_BACKEND in self.nodes[host].heartbeats.registrations:
            yield "silence", host
        if left.restarts:
            yield "restart", host

    def _enabled_pulls(self) -> Iterable[Step]:
        for requester, host in PULLS:
            if self.is_partitioned and requester != PROXY:
                continue
            yield "pull", requester, host
            if self.left.slow_replies and not self.delayed:
                yield "ask", requester, host

    def take_step(self, step: Step) -> None:
        """Take one of the enabled steps."""
        kind, *arguments = step
        before = [(node.source_id, node.rank(), node.peer_heartbeats()) for node in self.nodes]
        getattr(self, STEP_METHODS[kind])(*arguments)
        self._write_drains()
        self.outcomes = []
        for node, (source_id, rank, heartbeats) in zip(self.nodes, before, strict=True):
            if node.source_id == source_id:
                self.outcomes.append(("rank", rank, node.rank()))
                after = node.peer_heartbeats()
                self.outcomes += [("peer", value, after.get(host, -1)) for host, value in heartbeats.items()]

    def drain_backend(self, host: int) -> None:
        """Let the backend drain and report this to a node."""
        self._use_budget("drains")
        self.sequence, self.state = self.sequence + 1, DRAINING
        outcome = self.nodes[host].heartbeats.record_heartbeat(
            0, DRAINED_BACKEND, heartbeat_document(DRAINING, self.sequence)
        )
        self.unacknowledged = host, version_of(outcome)

    def remove_backend(self, host: int) -> None:
        """Let the backend leave and report this to a node."""
        self._use_budget("leaves")
        self.state = GONE
        outcome, self.acknowledged = self.nodes[host].heartbeats.leave(0, DRAINED_BACKEND), frozenset()
        version = version_of(outcome)
        # The departure of an instance that is unknown to the node has no version to wait for.
        self.unacknowledged = (host, version) if version else None

    def deliver_late_heartbeat(self, host: int) -> None:
        """Deliver the backend's first heartbeat again."""
        self._use_budget("late_heartbeats")
        self.nodes[host].heartbeats.record_heartbeat(0, DRAINED_BACKEND, heartbeat_document(UP, 1))

    def expire_heartbeat(self, host: int) -> None:
        """Let the backend's heartbeats to a node time out."""
        self._use_budget("heartbeat_timeouts")
        registry = self.nodes[host].heartbeats
        registry.registrations[DRAINED_BACKEND].last_heartbeat_ns -= registry.suspect_after_ns + 1
        registry.tick(0)

    def restart_node(self, host: int) -> None:
        """Restart a node after a loss of power; its new incarnation publishes the contents of its disk."""
        self._use_budget("restarts")
        node = self.nodes[host] = GossipNode(host, self.nodes[host].incarnation + 1)
        node.drain_log.restore(0, self.disks[host])
        drains = {backend: list(value) for backend, value in self.disks[host].items()}
        node.heartbeats.restore(0, {**drains, **self.hints[host]})
        if self.unacknowledged and self.unacknowledged[0] == host:
            self.unacknowledged = None

    def delete_backend_key(self) -> None:
        """Delete the second backend's key at the first node."""
        self._use_budget("key_deletions")
        del self.nodes[0].heartbeats.registrations[DELETED_BACKEND]
        self.nodes[0].updates.publish(BACKEND_KEY_PREFIX + DELETED_BACKEND, None)

    def pull_updates(self, requester: int, host: int) -> None:
        """Let a process pull and receive the reply at once."""
        self._use_budget("pulls")
        for node in self.nodes:
            node.view.advance_heartbeat()
        self._pull(requester, host)

    def start_slow_pull(self, requester: int, host: int) -> None:
        """Let a process pull, and delay the reply."""
        self._use_budget("slow_replies")
        self.delayed = self._build_reply(requester, host)

    def deliver_reply(self) -> None:
        """Deliver the delayed reply, which may arrive again as the reply to a second pull."""
        assert self.delayed is not None
        self._apply_reply(self.delayed)
        if self.left.slow_replies:
            self._use_budget("slow_replies")
        else:
            self.delayed = None

    def drop_reply(self) -> None:
        """Drop the delayed reply, or its second copy."""
        self.delayed = None

    def acknowledge_drain(self) -> None:
        """Acknowledge the drain or departure to the backend."""
        self.acknowledged = frozenset(CONTROL_PLANE)

    def toggle_partition(self) -> None:
        """Start or heal a partition between the control-plane nodes."""
        if not self.is_partitioned:
            self._use_budget("partitions")
        self.is_partitioned = not self.is_partitioned

    def _use_budget(self, event: str) -> None:
        self.left = replace(self.left, **{event: getattr(self.left, event) - 1})

    def _is_replicated(self, host: int, version: int) -> bool:
        """Return whether ``controlplane`` would acknowledge a drain with this version."""
        return self.nodes[host].drain_log.is_replicated(version, [f"h{1 - host}"], 1, True)

    def _write_drains(self) -> None:
        for host in CONTROL_PLANE:
            if batch := self.nodes[host].drain_log.next_batch():
                self.disks[host] = {**self.disks[host], **batch.rows}
                self.nodes[host].drain_log.on_written()

    def _pull(self, requester: int, host: int) -> None:
        self._apply_reply(self._build_reply(requester, host))

    def _build_reply(self, requester: int, host: int) -> DelayedReply:
        client, server = self.nodes[requester], self.nodes[host]
        server.view.merge(0, [client.view.local])
        if requester != PROXY and host in client.replied:
            client.acknowledge_drains(f"h{requester}", client.replied[host], server)
        return DelayedReply(requester, server.deltas_for(client), server.view.local)

    def _apply_reply(self, reply: DelayedReply) -> None:
        node = self.nodes[reply.host]
        node.view.merge(0, [reply.sender])
        node.replied[int(reply.sender.host[1:])] = reply.sender.incarnation
        for delta in reply.deltas:
            node.updates.apply(0, decode_delta(encode_delta(delta)))

    # -- states

    def freeze(self) -> bytes:
        """Return the pickled world, without the last step's outcomes."""
        outcomes, self.outcomes = self.outcomes, []
        try:
            return pickle.dumps(self, pickle.HIGHEST_PROTOCOL)
        finally:
            self.outcomes = outcomes

    def key(self) -> Any:
        """Return a value that is equal for worlds in the same state."""
        return (
            repr(self.left),
            self.sequence,
            self.state,
            self.unacknowledged,
            tuple(sorted(self.acknowledged)),
            self.is_partitioned,
            repr(self.delayed),
            repr(self.hints),
            repr(self.disks),
            tuple([self._key_of(node) for node in self.nodes]),
        )

    def _key_of(self, node: GossipNode) -> Any:
        drain_log = node.drain_log
        return (
            node.source_id,
            tuple(
                [
                    (name, log.latest_version, log.compacted_version, repr(sorted(log.entries.items())))
                    for name, log in sorted(node.updates.sources.items())
                ]
            ),
            repr(sorted(drain_log.records.items())),
            repr(
                (
                    sorted(drain_log.durable_versions.items()),
                    sorted(drain_log.acknowledged_versions.items()),
                )
            ),
            repr((sorted(node.replied.items()), sorted(node.heartbeats.unknown_departures))),
            repr(sorted((key, instance.state) for key, instance in node.directory.instances.items())),
            repr(sorted(node.heartbeats.registrations.items())),
            node.view.local.heartbeat,  # depends on whether a restart came before or after pulls
            tuple(sorted(node.peer_heartbeats().items())),
        )


def thaw(state: bytes) -> GossipWorld:
    """Rebuild a world from the result of ``freeze``."""
    world: GossipWorld = pickle.loads(state)
    return world


def version_of(outcome: CallOutcome) -> int:
    """Return the version that must be replicated before a call is acknowledged; 0 for none."""
    return outcome.version if isinstance(outcome, CallAccepted) else 0
