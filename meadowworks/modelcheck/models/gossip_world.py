"""The world of the model ``telegraph``: two control-plane nodes and a proxy that pull updates.

It runs ``UpdateStore``, ``PartialView``, ``HeartbeatRegistry``, ``BackendDirectory``, ``DrainLog``. Replies
come late, twice or never; the control-plane nodes are partitioned and joined again, and restart under the
same address. One backend calls, drains and leaves at either node, and an old heartbeat of it may come late;
another is forgotten, so that a process that lags behind needs a snapshot. A drain is acknowledged once it
is on the node's own disk and the other's acknowledgement covers it. Disks write at once here; the model
``roster`` is of slow ones.
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
from meadowworks.modelcheck.models.gossip_node import CONTROL_PLANE, DRAINED_BACKEND, PROXY, Node
from meadowworks.modelcheck.models.registry_node import heartbeat_document
from meadowworks.registry.backend_state import BACKEND_KEY_PREFIX, DRAINING, GONE, UP
from meadowworks.registry.heartbeats import CallAccepted, CallOutcome

PULLS = ((0, 1), (1, 0), (PROXY, 0), (PROXY, 1))  # who pulls from whom
FORGOTTEN_BACKEND = "y"  # its key is deleted


@dataclass(frozen=True, slots=True)
class Budget:
    """How often each event may happen.

    :ivar late: old heartbeats that come late.
    :ivar slow: replies to pulls that come later, or twice.
    :ivar cuts: partitions of the control-plane nodes.
    """

    name: str
    drains: int = 0
    leaves: int = 0
    late: int = 0
    silences: int = 0
    restarts: int = 0
    forgets: int = 0
    slow: int = 0
    cuts: int = 0
    pulls: int = 5


@dataclass(frozen=True, slots=True)
class DelayedReply:
    """A reply on its way to a host."""

    host: int
    deltas: tuple[SourceDelta, ...]
    sender: PeerRecord


class GossipWorld:
    """The state that is explored.

    :ivar outcomes: of the last step, in each process that went on: its rank and its peers' heartbeats before
        and after.
    :ivar sequence: the drained backend's last heartbeat; ``state`` is its state.
    :ivar hints: by node, the values of ``HeartbeatRegistry`` that were stored for a restart.
    :ivar disks: by node, the rows of its drain log.
    :ivar unacknowledged: the node that took a drain or a departure, and the version it waits for.
    :ivar acknowledged: the nodes that must know of it, once it was acknowledged.
    """

    def __init__(self, budget: Budget) -> None:
        self.budget, self.left = budget, budget
        self.outcomes: list[tuple[Any, ...]] = []
        self.nodes = [Node(host, 1) for host in (*CONTROL_PLANE, PROXY)]
        self.sequence, self.state = 1, UP
        self.hints: list[dict[str, list[Any]]] = [{}, {}]
        self.disks: list[dict[str, Any]] = [{}, {}]
        self.unacknowledged: tuple[int, int] | None = None
        self.acknowledged: frozenset[int] = frozenset()
        self.is_partitioned = False
        self.delayed: DelayedReply | None = None
        backends = (DRAINED_BACKEND, FORGOTTEN_BACKEND) if budget.forgets else (DRAINED_BACKEND,)
        for backend in backends:
            self.nodes[0].heartbeats.record_heartbeat(0, backend, heartbeat_document(UP, 1))
        self.hints[0] = dict(self.nodes[0].heartbeats.durable_values())
        for host in (1, PROXY):
            self._pull(host, 0)

    # -- steps

    def enabled(self) -> Iterable[Step]:
        """Returns the steps that may be taken now."""
        found = list[Step]()
        for host in CONTROL_PLANE:
            found += self._enabled_at(host)
        if self.left.forgets and FORGOTTEN_BACKEND in self.nodes[0].heartbeats.registrations:
            found.append(("forget",))
        if self.left.pulls:
            found += self._enabled_pulls()
        if self.delayed:
            found += [("come",), ("lost",)]
        if self.unacknowledged and not self.acknowledged and self._is_replicated(*self.unacknowledged):
            found.append(("ack",))
        if self.left.cuts or self.is_partitioned:
            found.append(("cut",))
        return found

    def _enabled_at(self, host: int) -> Iterable[Step]:
        left = self.left
        if left.drains and self.state == UP:
            yield "drain", host
        if left.leaves and self.state != GONE:
            yield "leave", host
        if left.late:
            yield "late", host
        if left.silences and DRAINED_BACKEND in self.nodes[host].heartbeats.registrations:
            yield "silence", host
        if left.restarts:
            yield "restart", host

    def _enabled_pulls(self) -> Iterable[Step]:
        for requester, host in PULLS:
            if self.is_partitioned and requester != PROXY:
                continue
            yield "pull", requester, host
            if self.left.slow and not self.delayed:
                yield "ask", requester, host

    def take_step(self, step: Step) -> None:
        """Takes one of the enabled steps."""
        kind, *arguments = step
        before = [(node.source_id, node.rank(), node.peer_heartbeats()) for node in self.nodes]
        getattr(self, "do_" + kind)(*arguments)
        self._write_drains()
        self.outcomes = []
        for node, (source_id, rank, heartbeats) in zip(self.nodes, before, strict=True):
            if node.source_id == source_id:
                self.outcomes.append(("rank", rank, node.rank()))
                after = node.peer_heartbeats()
                self.outcomes += [("peer", value, after.get(host, -1)) for host, value in heartbeats.items()]

    def do_drain(self, host: int) -> None:
        """The backend drains, and calls a node."""
        self._spend("drains")
        self.sequence, self.state = self.sequence + 1, DRAINING
        outcome = self.nodes[host].heartbeats.record_heartbeat(
            0, DRAINED_BACKEND, heartbeat_document(DRAINING, self.sequence)
        )
        self.unacknowledged = host, version_of(outcome)

    def do_leave(self, host: int) -> None:
        """The backend leaves, and calls a node."""
        self._spend("leaves")
        self.state = GONE
        outcome, self.acknowledged = self.nodes[host].heartbeats.leave(0, DRAINED_BACKEND), frozenset()
        version = version_of(outcome)
        # Nothing is acknowledged of an instance that the node had never heard of.
        self.unacknowledged = (host, version) if version else None

    def do_late(self, host: int) -> None:
        """The backend's first heartbeat comes once more."""
        self._spend("late")
        self.nodes[host].heartbeats.record_heartbeat(0, DRAINED_BACKEND, heartbeat_document(UP, 1))

    def do_silence(self, host: int) -> None:
        """A node has not heard the backend for long."""
        self._spend("silences")
        registry = self.nodes[host].heartbeats
        registry.registrations[DRAINED_BACKEND].last_heartbeat_ns -= registry.suspect_after_ns + 1
        registry.tick(0)

    def do_restart(self, host: int) -> None:
        """A node loses its power: what is on its disk is published again, by a new incarnation."""
        self._spend("restarts")
        node = self.nodes[host] = Node(host, self.nodes[host].incarnation + 1)
        node.drain_log.restore(0, self.disks[host])
        drains = {backend: list(value) for backend, value in self.disks[host].items()}
        node.heartbeats.restore(0, {**drains, **self.hints[host]})
        if self.unacknowledged and self.unacknowledged[0] == host:
            self.unacknowledged = None

    def do_forget(self) -> None:
        """The first node deletes the other backend's key."""
        self._spend("forgets")
        del self.nodes[0].heartbeats.registrations[FORGOTTEN_BACKEND]
        self.nodes[0].updates.publish(BACKEND_KEY_PREFIX + FORGOTTEN_BACKEND, None)

    def do_pull(self, requester: int, host: int) -> None:
        """A process pulls, and gets the reply at once."""
        self._spend("pulls")
        for node in self.nodes:
            node.view.advance_heartbeat()
        self._pull(requester, host)

    def do_ask(self, requester: int, host: int) -> None:
        """A process pulls, and the reply is on its way."""
        self._spend("slow")
        self.delayed = self._reply(requester, host)

    def do_come(self) -> None:
        """The reply comes, and may come once more: to a process that has asked twice."""
        assert self.delayed is not None
        self._take(self.delayed)
        if self.left.slow:
            self._spend("slow")
        else:
            self.delayed = None

    def do_lost(self) -> None:
        """The reply is lost, or was the last of it."""
        self.delayed = None

    def do_ack(self) -> None:
        """The drain is acknowledged to its caller."""
        self.acknowledged = frozenset(CONTROL_PLANE)

    def do_cut(self) -> None:
        """The control-plane nodes are partitioned, or joined again."""
        if not self.is_partitioned:
            self._spend("cuts")
        self.is_partitioned = not self.is_partitioned

    def _spend(self, event: str) -> None:
        self.left = replace(self.left, **{event: getattr(self.left, event) - 1})

    def _is_replicated(self, host: int, version: int) -> bool:
        """Returns what ``controlplane`` asks before it acknowledges a drain."""
        return self.nodes[host].drain_log.is_replicated(version, [f"h{1 - host}"], 1, True)

    def _write_drains(self) -> None:
        for host in CONTROL_PLANE:
            if batch := self.nodes[host].drain_log.next_batch():
                self.disks[host] = {**self.disks[host], **batch.rows}
                self.nodes[host].drain_log.on_written()

    def _pull(self, requester: int, host: int) -> None:
        self._take(self._reply(requester, host))

    def _reply(self, requester: int, host: int) -> DelayedReply:
        asking, asked = self.nodes[requester], self.nodes[host]
        asked.view.merge(0, [asking.view.local])
        if requester != PROXY and host in asking.replied:
            asking.acknowledge_drains(f"h{requester}", asking.replied[host], asked)
        return DelayedReply(requester, asked.deltas_for(asking), asked.view.local)

    def _take(self, reply: DelayedReply) -> None:
        node = self.nodes[reply.host]
        node.view.merge(0, [reply.sender])
        node.replied[int(reply.sender.host[1:])] = reply.sender.incarnation
        for delta in reply.deltas:
            node.updates.apply(0, decode_delta(encode_delta(delta)))

    # -- states

    def freeze(self) -> bytes:
        """Returns what ``thaw`` makes the same world of, without the last step's outcomes."""
        outcomes, self.outcomes = self.outcomes, []
        try:
            return pickle.dumps(self, pickle.HIGHEST_PROTOCOL)
        finally:
            self.outcomes = outcomes

    def key(self) -> Any:
        """Returns what tells this state from others."""
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

    def _key_of(self, node: Node) -> Any:
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
            node.view.local.heartbeat,  # a restart before or after pulls leaves another
            tuple(sorted(node.peer_heartbeats().items())),
        )


def thaw(state: bytes) -> GossipWorld:
    """Returns the world that was frozen."""
    world: GossipWorld = pickle.loads(state)
    return world


def version_of(outcome: CallOutcome) -> int:
    """Returns the version that a call's acknowledgement waits for; 0 for none."""
    return outcome.version if isinstance(outcome, CallAccepted) else 0
