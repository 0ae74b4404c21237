"""The world of the model ``roster``: two control-plane nodes with slow disks.

It runs ``DrainLog``, ``HeartbeatRegistry``, ``BackendDirectory`` and ``UpdateStore``. Two backends drain at
the first node. The start and the completion of a write are separate steps, pulls carry acknowledgements as in
``controlplane.server``, replies may arrive late or never, and either node may lose power at any time.
"""

from __future__ import annotations

import pickle
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from meadowworks.gossip.updates import SourceDelta
from meadowworks.modelcheck.model import Step
from meadowworks.modelcheck.models.registry_node import RegistryNode, heartbeat_document
from meadowworks.registry.backend_state import DRAINING, UP, BackendValue
from meadowworks.registry.heartbeats import CallAccepted

BACKENDS = ("i", "j")
# Maps the kind of a step, which counterexample files store, to the method that carries it out.
STEP_METHODS: dict[str, str] = {
    "drain": "drain_backend",
    "word": "publish_unrelated_update",
    "write": "start_write",
    "written": "complete_write",
    "refused": "fail_write",
    "pull": "pull_updates",
    "ask": "start_slow_pull",
    "come": "deliver_reply",
    "lost": "drop_reply",
    "loss": "restart_after_power_loss",
    "ack": "acknowledge_drain",
}


@dataclass(frozen=True, slots=True)
class RegistryBudget:
    """How often each event may occur.

    :ivar power_losses: losses of power, at either node.
    :ivar delayed_replies: replies that arrive late or never.
    :ivar unrelated_updates: updates of the first node that concern no backend but increase its version.
    :ivar write_failures: failed disk writes, at either node.
    """

    name: str
    drains: int = 1
    power_losses: int = 1
    pulls: int = 3
    delayed_replies: int = 0
    unrelated_updates: int = 0
    write_failures: int = 0


class PeerNode(RegistryNode):
    """A control-plane node.

    :ivar replied: the incarnation of the other node that sent the latest reply.
    """

    def __init__(self, host: int, incarnation: int) -> None:
        super().__init__(f"{host}.{incarnation}")
        self.host, self.incarnation = host, incarnation
        self.replied = ""


@dataclass(frozen=True, slots=True)
class DelayedPullReply:
    """A reply in flight to a node, and the incarnation that sent it."""

    host: int
    sender: str
    deltas: tuple[SourceDelta, ...]


class RegistryWorld:
    """The state that is explored.

    :ivar disks: by node, the rows of its drain log.
    :ivar unacknowledged: the drains that the first node's current incarnation accepted, with their versions.
    """

    def __init__(self, budget: RegistryBudget) -> None:
        self.left = budget
        self.outcomes: list[tuple[Any, ...]] = []
        self.nodes = [PeerNode(0, 1), PeerNode(1, 1)]
        self.disks: list[dict[str, Any]] = [{}, {}]
        self.unacknowledged: dict[str, int] = {}
        self.acknowledged: frozenset[str] = frozenset()
        self.delayed: DelayedPullReply | None = None
        for backend in BACKENDS[: budget.drains]:
            self.nodes[0].heartbeats.record_heartbeat(0, backend, heartbeat_document(UP, 1))
        for host in (1, 0):
            self._apply_reply(self._build_reply(host))

    # -- steps

    def enabled(self) -> Iterable[Step]:
        """Return the steps that may be taken now."""
        steps = list[Step]()
        if self.left.drains:
            steps.append(("drain", BACKENDS[self.left.drains - 1]))
        if self.left.unrelated_updates:
            steps.append(("word",))
        for host in range(len(self.nodes)):
            steps += self._enabled_at(host)
        if self.delayed is not None:
            steps += [("come",), ("lost",)]
        is_replicated = self.nodes[0].drain_log.is_replicated
        steps += [
            ("ack", backend)
            for backend, version in sorted(self.unacknowledged.items())
            if is_replicated(version, ["h1"], 1, True)
        ]
        return steps

    def _enabled_at(self, host: int) -> Iterable[Step]:
        left, drain_log = self.left, self.nodes[host].drain_log
        if drain_log.write_in_flight is not None:
            yield "written", host
            if left.write_failures:
                yield "refused", host
        elif drain_log.unsynced:
            yield "write", host
        if left.pulls:
            yield "pull", host
            if left.delayed_replies and self.delayed is None:
                yield "ask", host
        if left.power_losses:
            yield "loss", host

    def take_step(self, step: Step) -> None:
        """Take one of the enabled steps."""
        kind, *arguments = step
        getattr(self, STEP_METHODS[kind])(*arguments)

    def drain_backend(self, backend: str) -> None:
        """Let a backend drain and report this to the first node."""
        self._use_budget("drains")
        outcome = self.nodes[0].heartbeats.record_heartbeat(0, backend, heartbeat_document(DRAINING, 2))
        assert isinstance(outcome, CallAccepted)
        self.unacknowledged[backend] = outcome.version

    def publish_unrelated_update(self) -> None:
        """Publish an update at the first node that concerns no backend."""
        self._use_budget("unrelated_updates")
        self.nodes[0].updates.publish("pulse", self.left.unrelated_updates)

    def pull_updates(self, host: int) -> None:
        """Let a node pull from the other and receive the reply at once."""
        self._use_budget("pulls")
        self._apply_reply(self._build_reply(host))

    def start_slow_pull(self, host: int) -> None:
        """Let a node pull, and delay the reply."""
        self._use_budget("delayed_replies")
        self.delayed = self._build_reply(host)

    def deliver_reply(self) -> None:
        """Deliver the delayed reply."""
        assert self.delayed is not None
        self._apply_reply(self.delayed)
        self.delayed = None

    def drop_reply(self) -> None:
        """Drop the delayed reply."""
        self.delayed = None

    def start_write(self, host: int) -> None:
        """Start the write of a node's unsynced drains."""
        self.nodes[host].drain_log.next_batch()

    def complete_write(self, host: int) -> None:
        """Complete the write in flight of a node."""
        drain_log = self.nodes[host].drain_log
        assert drain_log.write_in_flight is not None
        self.disks[host] = {**self.disks[host], **drain_log.write_in_flight.rows}
        drain_log.on_written()

    def fail_write(self, host: int) -> None:
        """Let the write in flight of a node fail."""
        self._use_budget("write_failures")
        self.nodes[host].drain_log.on_write_failed()

    def restart_after_power_loss(self, host: int) -> None:
        """Restart a node after a loss of power, without its unsynced state and write in flight.

        The node has a new incarnation. Old heartbeats of the backends arrive late at the first node.
        """
        self._use_budget("power_losses")
        node = self.nodes[host] = PeerNode(host, self.nodes[host].incarnation + 1)
        node.drain_log.restore(0, self.disks[host])
        hints = {backend: as_first_registered(value) for backend, value in self.disks[host].items()}
        node.heartbeats.restore(0, hints)
        for backend in BACKENDS if host == 0 else ():
            node.heartbeats.record_heartbeat(0, backend, heartbeat_document(UP, 1))
            self.unacknowledged.pop(backend, None)
        if self.delayed is not None and self.delayed.host == host:
            self.delayed = None

    def acknowledge_drain(self, backend: str) -> None:
        """Acknowledge a drain to the backend."""
        del self.unacknowledged[backend]
        self.acknowledged |= {backend}

    def _use_budget(self, event: str) -> None:
        self.left = replace(self.left, **{event: getattr(self.left, event) - 1})

    def _build_reply(self, host: int) -> DelayedPullReply:
        client, server = self.nodes[host], self.nodes[1 - host]
        client.acknowledge_drains(f"h{host}", client.replied, server)
        return DelayedPullReply(host, server.source_id, server.deltas_for(client))

    def _apply_reply(self, reply: DelayedPullReply) -> None:
        node = self.nodes[reply.host]
        node.replied = reply.sender
        for delta in reply.deltas:
            node.updates.apply(0, delta)

    # -- states

    def freeze(self) -> bytes:
        """Return the pickled world."""
        return pickle.dumps(self, pickle.HIGHEST_PROTOCOL)

    def key(self) -> Any:
        """Return a value that is equal for worlds in the same state."""
        shared_state = repr(
            (self.left, sorted(self.unacknowledged.items()), sorted(self.acknowledged), self.delayed)
        )
        disks = tuple([repr(sorted(disk.items())) for disk in self.disks])
        return shared_state, disks, tuple([self._key_of(node) for node in self.nodes])

    def _key_of(self, node: PeerNode) -> Any:
        drain_log, write = node.drain_log, node.drain_log.write_in_flight
        return repr(
            (
                node.source_id,
                node.replied,
                sorted(
                    (name, log.latest_version, sorted(log.entries.items()))
                    for name, log in node.updates.sources.items()
                ),
                sorted(drain_log.records.items()),
                sorted(drain_log.unsynced),
                sorted(drain_log.pending_versions.items()),
                sorted(drain_log.durable_versions.items()),
                write and (sorted(write.rows.items()), sorted(write.versions.items())),
                sorted(drain_log.acknowledged_versions.items()),
            )
        )


def as_first_registered(value: BackendValue) -> list[Any]:
    """Return the value that a drained instance had while it was up."""
    return list(value._replace(state=UP))


def thaw(state: bytes) -> RegistryWorld:
    """Rebuild a world from the result of ``freeze``."""
    world: RegistryWorld = pickle.loads(state)
    return world
