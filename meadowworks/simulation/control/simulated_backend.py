"""A backend that announces itself, drains and leaves, at whichever control plane answers."""

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
ACKNOWLEDGEMENT_TIMEOUT_NS = 12 * SECOND  # after which a backend ends without an acknowledgement
REPLY_LOSS_RATE = 0.1
LEAVE_WITHOUT_DRAIN_RATE = 0.3
LATE_HEARTBEAT_RATE = 0.5
SERVICE_AFTER_DRAIN_MS = (2000, 6000)  # after its drain is acknowledged


class SimulatedBackend:
    """One instance of a backend.

    :param chance: of its own, so that it changes nothing else in a scenario.
    """

    def __init__(self, cluster: Cluster, backend_id: str, rng: random.Random) -> None:
        self.backend_id = backend_id
        self._cluster, self._random = cluster, rng
        self._state = UP
        self._sequence = 0
        self._leaves = False
        self._acknowledged = False
        self._announced_ns = 0
        self._ended = False

    def start(self) -> None:
        """Begin to send heartbeats."""
        self._beat()

    def end(self) -> None:
        """Announce the end: most say `draining` first, some leave at once."""
        if self._leaves or self._state != UP:
            return
        self._announced_ns = self._cluster.now
        if self._random.random() < LEAVE_WITHOUT_DRAIN_RATE:
            self._leave()
            return
        self._state = DRAINING
        self._cluster.checker.counts.drains += 1
        self._attempt()

    def _leave(self) -> None:
        self._leaves, self._acknowledged = True, False
        self._announced_ns = self._cluster.now
        self._cluster.checker.counts.leaves += 1
        self._attempt()

    def _beat(self) -> None:
        if self._leaves or self._ended:
            return
        if self._state == UP:
            self._call(lambda _: None)
        self._cluster.scheduler.call_later(HEARTBEAT_GAP_NS, self._beat)

    def _attempt(self) -> None:
        """Call a node; without an acknowledgement another one is called."""
        if self._acknowledged or self._ended:
            return
        if self._cluster.now - self._announced_ns > ACKNOWLEDGEMENT_TIMEOUT_NS:
            self._ended = True
            return
        is_leave = self._leaves
        waits = [True]  # for this attempt's answer

        def next_attempt() -> None:
            if waits and is_leave == self._leaves:
                waits.clear()
                self._cluster.scheduler.call_later(self._random.randrange(*RETRY_GAP_MS) * MS, self._attempt)

        def on_reply(acknowledged: bool) -> None:
            if acknowledged:
                self._cluster.checker.on_drain_acknowledged(self.backend_id)
            if self._random.random() < REPLY_LOSS_RATE or is_leave != self._leaves:
                return
            if not acknowledged:
                next_attempt()
            elif not self._acknowledged:
                waits.clear()
                self._on_acknowledged()

        self._call(on_reply)
        self._cluster.scheduler.call_later(CALL_TIMEOUT_NS, next_attempt)

    def _on_acknowledged(self) -> None:
        self._acknowledged = True
        counts, scheduler = self._cluster.checker.counts, self._cluster.scheduler
        if self._leaves:
            counts.leaves_acked += 1
            return
        counts.drains_acked += 1
        scheduler.call_later(self._random.randrange(*SERVICE_AFTER_DRAIN_MS) * MS, self._leave)
        if self._random.random() < LATE_HEARTBEAT_RATE:
            document = self._document(UP, self._sequence - 1)
            late_ns = self._random.randrange(4000) * MS
            scheduler.call_later(late_ns, partial(self._deliver_late, document))

    def _call(self, on_reply: Any) -> None:
        self._sequence += 1
        running = [node for node in self._cluster.voters() if node.up]
        if not running:
            return
        node = self._random.choice(running)
        if self._leaves:
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
