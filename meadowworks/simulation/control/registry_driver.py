"""Drives the product's backend registry for one incarnation of a simulated control plane."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any

from meadowworks.controlplane.drain_service import decode_rows, encode_rows
from meadowworks.gossip.messages import encode
from meadowworks.gossip.updates import KeyUpdate, SourceDelta, UpdateStore
from meadowworks.registry.backend_state import BACKEND_KEY_PREFIX
from meadowworks.registry.backends import BackendDirectory
from meadowworks.registry.drain_log import DrainLog, WriteBatch
from meadowworks.registry.heartbeats import CallAccepted, CallOutcome, HeartbeatRegistry
from meadowworks.simulation.control.simulated_disk import SimulatedStore
from meadowworks.simulation.event_scheduler import MS, SECOND

if TYPE_CHECKING:
    from meadowworks.simulation.control.node import SimulatedControlPlaneNode

HEARTBEAT_MS = 1500
ACKNOWLEDGE_WITHIN_NS = 700 * MS  # the product's DRAIN_ACK_TIMEOUT_S
WRITE_RETRY_NS = 200 * MS
TICK_NS = SECOND
TICK_KEY = "pulse"
WRITE_MS, SLOW_WRITE_MS = (1, 6), (20, 250)
MAX_INTERRUPTED_WRITE_OPERATIONS = 14  # exclusive bound

OnReply = Callable[[bool], None]  # called with whether the call is acknowledged


@dataclass(frozen=True, slots=True, eq=False)
class WaitingCall:
    """A backend's call that is acknowledged once it is durable."""

    version: int
    reply: OnReply


class RegistryDriver:
    """Connects the registry classes of a control-plane node as `controlplane.node` does.

    `sources` are the latest incarnations of other machines by address; `backend_update_count` is the number
    of received updates of backend keys.
    """

    def __init__(self, node: SimulatedControlPlaneNode, store: SimulatedStore) -> None:
        self._node, self._store, self._cluster = node, store, node.cluster
        self._incarnation = node.incarnation
        self.source_id = f"{node.address}.{node.incarnation}"
        self.sources: dict[str, str] = {}
        self.backend_update_count = 0
        self.updates = UpdateStore(self.source_id)
        self.backends = BackendDirectory(self._silence_ns, node.local_time)
        self.drain_log = DrainLog(self.source_id)
        self.updates.update_listeners += [self.backends.on_update, self._on_update]
        self.updates.version_listeners.append(self.drain_log.on_version)
        self.heartbeats = HeartbeatRegistry(
            self.updates.publish, HEARTBEAT_MS, self.drain_log.state, self._is_known_backend
        )
        self._waiting_calls: list[WaitingCall] = []
        self._pending_write: WriteBatch | None = None
        stored = decode_rows(store.load_drain_records())
        self.drain_log.restore(node.local_time(), stored)
        hints = decode_rows(store.load_backend_hints())
        self._stored_hint_ids = set(hints)
        self.heartbeats.restore(node.local_time(), stored | hints)

    # -- calls from backends

    def heartbeat(self, backend_id: str, document: Any, reply: OnReply) -> None:
        """Record a heartbeat and call `reply` with whether it is acknowledged."""
        self._answer(self.heartbeats.record_heartbeat(self._node.local_time(), backend_id, document), reply)

    def leave(self, backend_id: str, reply: OnReply) -> None:
        """Record the departure of a backend and call `reply` with whether it is acknowledged."""
        self._answer(self.heartbeats.leave(self._node.local_time(), backend_id), reply)

    def _answer(self, result: CallOutcome, reply: OnReply) -> None:
        if not isinstance(result, CallAccepted):
            reply(False)
        elif not result.version or self._is_durable(result.version):
            reply(True)
        elif not self._holds_lease():
            self.begin_write()
            reply(False)
        else:
            self.begin_write()
            waiting = WaitingCall(result.version, reply)
            self._waiting_calls.append(waiting)
            give_up = partial(self._node.deliver, self._incarnation, partial(self._give_up, waiting))
            self._cluster.scheduler.call_later(ACKNOWLEDGE_WITHIN_NS, give_up)

    def _give_up(self, waiting: WaitingCall) -> None:
        if waiting in self._waiting_calls:
            self._waiting_calls.remove(waiting)
            waiting.reply(False)

    def answer_durable_calls(self) -> None:
        """Acknowledge the waiting calls that have become durable."""
        durable = [call for call in self._waiting_calls if self._is_durable(call.version)]
        self._waiting_calls = [call for call in self._waiting_calls if call not in durable]
        for call in durable:
            call.reply(True)

    def _is_durable(self, version: int) -> bool:
        acceptor = self._node.replica.acceptor
        hosts = {address for _, address in acceptor.newest_epoch().members} - {self._node.address}
        tolerated = self._cluster.tolerated_failures
        return self.drain_log.is_replicated(version, hosts, tolerated, acceptor.may_vote())

    def _holds_lease(self) -> bool:
        return self._node.replica.holds_lease(self._node.local_time())

    def _is_known_backend(self, backend_id: str) -> bool:
        return self.backends.is_reported(backend_id) or backend_id in self.drain_log.records

    # -- gossip

    def deltas_for(self, vector: dict[str, int], requester: str) -> tuple[SourceDelta, ...]:
        """Return the changes that a requester with a version vector lacks."""
        return tuple(self.updates.deltas_since(vector, requester))

    def has_backend_changes(self, vector: dict[str, int], requester: str) -> bool:
        """Return whether a requester lacks a change of a backend; such a pull is answered at once."""
        return any(
            key.startswith(BACKEND_KEY_PREFIX)
            for delta in self.deltas_for(vector, requester)
            for _, key, _ in delta.changes
        )

    def apply(self, address: str, source: str, deltas: tuple[SourceDelta, ...]) -> None:
        """Apply another node's answer to a pull."""
        self.sources[address] = source
        now = self._node.local_time()
        for delta in deltas:
            self.updates.apply(now, delta)
        self.begin_write()

    def tick(self) -> None:
        """Run the periodic work of a node and schedule the next tick."""
        now = self._node.local_time()
        self.updates.expire_sources(now)
        self.heartbeats.tick(now)
        self.backends.refresh_all()
        self.drain_log.tick(now, self.backends.is_draining_or_gone, self.updates.sources)
        self.backends.changed_ids.clear()
        self.updates.publish(TICK_KEY, now)
        self.begin_write()
        self._store_hints()
        next_tick = partial(self._node.deliver, self._incarnation, self.tick)
        self._cluster.scheduler.call_later(TICK_NS, next_tick)

    def _silence_ns(self, source: str) -> int:
        return self.updates.silence_ns(self._node.local_time(), source)

    def _on_update(self, update: KeyUpdate) -> None:
        self.backend_update_count += update.key.startswith(BACKEND_KEY_PREFIX)
        self.drain_log.on_update(self._node.local_time(), update)

    # -- writes

    def _store_hints(self) -> None:
        """Store the live backends whenever their set has changed, as the product does."""
        values = self.heartbeats.durable_values()
        if values.keys() != self._stored_hint_ids:
            rows = {backend_id: encode(value) for backend_id, value in values.items()}
            self._store.save_backend_hints(rows)
            self._stored_hint_ids = set(values)

    def begin_write(self) -> None:
        """Write the next batch of drain records, unless a write is pending or there is no batch."""
        if self._pending_write is not None or (batch := self.drain_log.next_batch()) is None:
            return
        self._pending_write = batch
        wait_ms = self._cluster.random.uniform(*(SLOW_WRITE_MS if self._node.slow_disk else WRITE_MS))
        end_write = partial(self._node.deliver, self._incarnation, partial(self._end_write, batch))
        self._cluster.scheduler.call_later(int(wait_ms * MS), end_write)

    def _end_write(self, batch: WriteBatch) -> None:
        self._pending_write = None
        if self._cluster.random.random() < self._cluster.write_failure_rate:
            self.drain_log.on_write_failed()
            retry = partial(self._node.deliver, self._incarnation, self.begin_write)
            self._cluster.scheduler.call_later(WRITE_RETRY_NS, retry)
            return
        self._store.save_drain_records(encode_rows(batch), batch.deleted)
        self.drain_log.on_written()
        self.answer_durable_calls()
        self.begin_write()

    def interrupt_write(self) -> None:
        """Run some or all disk operations of a pending write, as if the process ended during the write."""
        if self._pending_write is None:
            return
        batch, self._pending_write = self._pending_write, None
        self._node.disk.operations_left = self._cluster.random.randrange(MAX_INTERRUPTED_WRITE_OPERATIONS)
        try:
            self._store.save_drain_records(encode_rows(batch), batch.deleted)
        except sqlite3.Error:
            return
