"""The world of the model ``roster``: two control-plane nodes with slow disks, one of which may be lost.

It runs ``DrainLog``, ``HeartbeatRegistry``, ``BackendDirectory``, ``UpdateStore``. Two backends drain at the
first node. Writes begin and end in steps of their own, pulls carry acknowledgements as in
``controlplane.server``, replies come late or never, and either node may lose its power at any moment.
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


@dataclass(frozen=True, slots=True)
class Budget:
    """How often each event may happen.

    :ivar losses: of a node's power.
    :ivar late: replies that come later, or never.
    :ivar words: updates of the first node that are of no backend, so that its versions go on.
    :ivar refusals: of a write, by a disk.
    """

    name: str
    drains: int = 1
    losses: int = 1
    pulls: int = 3
    late: int = 0
    words: int = 0
    refusals: int = 0


class Node(RegistryNode):
    """One control-plane node; ``replied`` is the incarnation of the other that replied last."""

    def __init__(self, host: int, incarnation: int) -> None:
        super().__init__(f"{host}.{incarnation}")
        self.host, self.incarnation = host, incarnation
        self.replied = ""


@dataclass(frozen=True, slots=True)
class DelayedReply:
    """A reply on its way to a node, and the incarnation that sent it."""

    host: int
    sender: str
    deltas: tuple[SourceDelta, ...]


class RegistryWorld:
    """The state that is explored.

    :ivar disks: by node, the rows of its drain log.
    :ivar unacknowledged: drains that the first node's present incarnation took, with the version of each.
    """

    def __init__(self, budget: Budget) -> None:
        self.left = budget
        self.outcomes: list[tuple[Any, ...]] = []
        self.nodes = [Node(0, 1), Node(1, 1)]
        self.disks: list[dict[str, Any]] = [{}, {}]
        self.unacknowledged: dict[str, int] = {}
        self.acknowledged: frozenset[str] = frozenset()
        self.delayed: DelayedReply | None = None
        for backend in BACKENDS[: budget.drains]:
            self.nodes[0].heartbeats.record_heartbeat(0, backend, heartbeat_document(UP, 1))
        for host in (1, 0):
            self._take(self._reply(host))

    # -- steps

    def enabled(self) -> Iterable[Step]:
        """Returns the steps that may be taken now."""
        found = list[Step]()
        if self.left.drains:
            found.append(("drain", BACKENDS[self.left.drains - 1]))
        if self.left.words:
            found.append(("word",))
        for host in range(len(self.nodes)):
            found += self._enabled_at(host)
        if self.delayed is not None:
            found += [("come",), ("lost",)]
        is_replicated = self.nodes[0].drain_log.is_replicated
        found += [
            ("ack", backend)
            for backend, version in sorted(self.unacknowledged.items())
            if is_replicated(version, ["h1"], 1, True)
        ]
        return found

    def _enabled_at(self, host: int) -> Iterable[Step]:
        left, drain_log = self.left, self.nodes[host].drain_log
        if drain_log.write_in_flight is not None:
            yield "written", host
            if left.refusals:
                yield "refused", host
        elif drain_log.unsynced:
            yield "write", host
        if left.pulls:
            yield "pull", host
            if left.late and self.delayed is None:
                yield "ask", host
        if left.losses:
            yield "loss", host

    def take_step(self, step: Step) -> None:
        """Takes one of the enabled steps."""
        kind, *arguments = step
        getattr(self, "do_" + kind)(*arguments)

    def do_drain(self, backend: str) -> None:
        """A backend drains, and calls the first node."""
        self._spend("drains")
        outcome = self.nodes[0].heartbeats.record_heartbeat(0, backend, heartbeat_document(DRAINING, 2))
        assert isinstance(outcome, CallAccepted)
        self.unacknowledged[backend] = outcome.version

    def do_word(self) -> None:
        """The first node publishes something else."""
        self._spend("words")
        self.nodes[0].updates.publish("pulse", self.left.words)

    def do_pull(self, host: int) -> None:
        """A node pulls from the other, and gets the reply at once."""
        self._spend("pulls")
        self._take(self._reply(host))

    def do_ask(self, host: int) -> None:
        """A node pulls, and the reply is on its way."""
        self._spend("late")
        self.delayed = self._reply(host)

    def do_come(self) -> None:
        """The reply comes."""
        assert self.delayed is not None
        self._take(self.delayed)
        self.delayed = None

    def do_lost(self) -> None:
        """The reply is lost."""
        self.delayed = None

    def do_write(self, host: int) -> None:
        """A write of what the node has learnt begins."""
        self.nodes[host].drain_log.next_batch()

    def do_written(self, host: int) -> None:
        """The write in flight is on disk."""
        drain_log = self.nodes[host].drain_log
        assert drain_log.write_in_flight is not None
        self.disks[host] = {**self.disks[host], **drain_log.write_in_flight.rows}
        drain_log.on_written()

    def do_refused(self, host: int) -> None:
        """The disk refuses the write in flight."""
        self._spend("refusals")
        self.nodes[host].drain_log.on_write_failed()

    def do_loss(self, host: int) -> None:
        """A node loses its power: what is not on its disk is gone, and so is a write in flight.

        The backends go on calling, and old heartbeats come late.
        """
        self._spend("losses")
        node = self.nodes[host] = Node(host, self.nodes[host].incarnation + 1)
        node.drain_log.restore(0, self.disks[host])
        hints = {backend: as_first_registered(value) for backend, value in self.disks[host].items()}
        node.heartbeats.restore(0, hints)
        for backend in BACKENDS if host == 0 else ():
            node.heartbeats.record_heartbeat(0, backend, heartbeat_document(UP, 1))
            self.unacknowledged.pop(backend, None)
        if self.delayed is not None and self.delayed.host == host:
            self.delayed = None

    def do_ack(self, backend: str) -> None:
        """A drain is acknowledged to its caller."""
        del self.unacknowledged[backend]
        self.acknowledged |= {backend}

    def _spend(self, event: str) -> None:
        self.left = replace(self.left, **{event: getattr(self.left, event) - 1})

    def _reply(self, host: int) -> DelayedReply:
        asking, asked = self.nodes[host], self.nodes[1 - host]
        asking.acknowledge_drains(f"h{host}", asking.replied, asked)
        return DelayedReply(host, asked.source_id, asked.deltas_for(asking))

    def _take(self, reply: DelayedReply) -> None:
        node = self.nodes[reply.host]
        node.replied = reply.sender
        for delta in reply.deltas:
            node.updates.apply(0, delta)

    # -- states

    def freeze(self) -> bytes:
        """Returns what ``thaw`` makes the same world of."""
        return pickle.dumps(self, pickle.HIGHEST_PROTOCOL)

    def key(self) -> Any:
        """Returns what tells this state from others."""
        rest = repr((self.left, sorted(self.unacknowledged.items()), sorted(self.acknowledged), self.delayed))
        disks = tuple([repr(sorted(disk.items())) for disk in self.disks])
        return rest, disks, tuple([self._key_of(node) for node in self.nodes])

    def _key_of(self, node: Node) -> Any:
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
    """Returns a drain's value as it was while the instance was up."""
    return list(value._replace(state=UP))


def thaw(state: bytes) -> RegistryWorld:
    """Returns the world that was frozen."""
    world: RegistryWorld = pickle.loads(state)
    return world
