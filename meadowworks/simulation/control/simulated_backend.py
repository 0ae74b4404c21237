"""A simulated backend that sends heartbeats, drains and leaves."""

from __future__ import annotations

import random
from functools import partial
from typing import Any

from meadowworks.registry.backend_state import DRAINING, UP
from meadowworks.simulation.control.cluster import Cluster
from meadowworks.simulation.control.node import SimulatedControlPlaneNode
from meadowworks.simulation.event_scheduler import MS, SECOND

HEARTBEAT_GAP_NS = 1500 * MS
CALL_TIMEOUT_NS = SECOND
RETRY_GAP_MS = (20, 200)
ACKNOWLEDGEMENT_TIMEOUT_NS = 12 * SECOND  # after which a backend stops without an acknowledgement
REPLY_LOSS_RATE = 0.1
LEAVE_WITHOUT_DRAIN_RATE = 0.3
LATE_HEARTBEAT_RATE = 0.5
SERVICE_AFTER_DRAIN_MS = (2000, 6000)  # from the acknowledgement of its drain to its departure


class SimulatedBackend:
    """One backend instance, which calls a random control plane for each message.

    :param rng: a separate generator, so that backends do not shift the random numbers of the scenario.
    """

    def __init__(self, cluster: Cluster, backend_id: str, rng: random.Random) -> None:
        self.backend_id = backend_id
        self._cluster, self._random = cluster, rng
        self._state = UP
        self._sequence = 0
        self._is_leaving = False
        self._acknowledged = False
        self._first_attempt_ns = 0
        self._has_given_up = False

    def start(self) -> None:
        """Start to send heartbeats."""
        self._send_heartbeats()

    def end(self) -> None:
        """Start to drain, or leave at once, at random."""
        if self._is_leaving or self._state != UP:
            return
        self._first_attempt_ns = self._cluster.now
        if self._random.random() < LEAVE_WITHOUT_DRAIN_RATE:
            self._leave()
            return
        self._state = DRAINING
        self._cluster.checker.counts.drains += 1
        self._attempt()

    def _leave(self) -> None:
        self._is_leaving, self._acknowledged = True, False
        self._first_attempt_ns = self._cluster.now
        self._cluster.checker.counts.leaves += 1
        self._attempt()

    def _send_heartbeats(self) -> None:
        if self._is_leaving or self._has_given_up:
            return
        if self._state == UP:
            self._call(lambda _: None)
        self._cluster.scheduler.call_later(HEARTBEAT_GAP_NS, self._send_heartbeats)

    def _attempt(self) -> None:
        """Report the drain or departure to a random node, and retry until it is acknowledged."""
        if self._acknowledged or self._has_given_up:
            return
        if self._cluster.now - self._first_attempt_ns > ACKNOWLEDGEMENT_TIMEOUT_NS:
            self._has_given_up = True
            return
        was_leaving = self._is_leaving
        pending = [True]  # cleared when this attempt ends

        def next_attempt() -> None:
            if pending and was_leaving == self._is_leaving:
                pending.clear()
                self._cluster.scheduler.call_later(self._random.randrange(*RETRY_GAP_MS) * MS, self._attempt)

        def on_reply(acknowledged: bool) -> None:
            if acknowledged:
                self._cluster.checker.on_drain_acknowledged(self.backend_id)
            if self._random.random() < REPLY_LOSS_RATE or was_leaving != self._is_leaving:
                return
            if not acknowledged:
                next_attempt()
            elif not self._acknowledged:
                pending.clear()
                self._on_acknowledged()

        self._call(on_reply)
        self._cluster.scheduler.call_later(CALL_TIMEOUT_NS, next_attempt)

    def _on_acknowledged(self) -> None:
        self._acknowledged = True
        counts, scheduler = self._cluster.checker.counts, self._cluster.scheduler
        if self._is_leaving:
            counts.leaves_acked += 1
            return
        counts.drains_acked += 1
        scheduler.call_later(self._random.randrange(*SERVICE_AFTER_DRAIN_MS) * MS, self._leave)
        if self._random.random() < LATE_HEARTBEAT_RATE:
            document = self._document(UP, self._sequence - 1)
            delay_ns = self._random.randrange(4000) * MS
            scheduler.call_later(delay_ns, partial(self._deliver_late, document))

    def _call(self, on_reply: Any) -> None:
        self._sequence += 1
        running = [node for node in self._cluster.voters() if node.up]
        if not running:
            return
        node = self._random.choice(running)
        if self._is_leaving:
            call = partial(self._deliver_leave, node, on_reply)
        else:
            call = partial(
                self._deliver_heartbeat, node, self._document(self._state, self._sequence), on_reply
            )
        delay_ns = self._random.randrange(MS, 4 * MS)
        self._cluster.scheduler.call_later(delay_ns, partial(node.deliver, node.incarnation, call))

    def _deliver_late(self, document: Any) -> None:
        running = [node for node in self._cluster.voters() if node.up]
        if running:
            node = self._random.choice(running)
            call = partial(self._deliver_heartbeat, node, document, lambda _: None)
            node.deliver(node.incarnation, call)

    def _deliver_heartbeat(self, node: SimulatedControlPlaneNode, document: Any, on_reply: Any) -> None:
        node.registry.heartbeat(self.backend_id, document, on_reply)

    def _deliver_leave(self, node: SimulatedControlPlaneNode, on_reply: Any) -> None:
        node.registry.leave(self.backend_id, on_reply)

    def _document(self, state: str, sequence: int) -> dict[str, Any]:
        details = {"svc": "s", "zone": "z", "capacity": 2, "ver": "v"}
        status = {"state": state, "calls": max(1, sequence), "warmupMs": 0}
        return {"addr": "h:1", "details": details, "status": status}
