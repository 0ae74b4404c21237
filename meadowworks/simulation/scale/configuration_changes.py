"""Changes of the configuration by an operator, and the times at which proxies apply them."""

from __future__ import annotations

import json
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from meadowworks.config.validation import validate_configuration
from meadowworks.gossip.messages import decode, encode
from meadowworks.simulation.event_scheduler import MS, Callback
from meadowworks.simulation.scale.control_plane import ACKNOWLEDGEMENT_BYTES, COMPRESSION_LEVEL
from meadowworks.simulation.scale.deployment import ControlPlaneHost, Deployment
from meadowworks.simulation.scale.scheduler import SimulatedNode
from meadowworks.simulation.scale.topology import IN_ZONE_NS

DISK_SYNC_NS = 5 * MS
CONSENSUS_REPLY_BYTES = 40


@dataclass(slots=True)
class ConfigurationChange:
    """A configuration that was sent; `applied_ns` is by the proxies' names. 0 stands for not yet."""

    version: int
    sent_ns: int
    acknowledged_ns: int = 0
    applied_ns: dict[str, int] = field(default_factory=dict)


class ConfigurationChanges:
    """An operator that periodically replaces the configuration at the first control plane.

    Consensus is represented by its two rounds of messages, each with a disk sync at the replicas.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._scheduler = deployment.scheduler
        self.changes: list[ConfigurationChange] = []

    def send(self, version: int, interval_ns: int) -> None:
        """Send a version with one changed route, and schedule the next one after the interval."""
        deployment = self._deployment
        self._scheduler.call_later(interval_ns, partial(self.send, version + 1, interval_ns))
        body = self._changed_configuration(version)
        change = ConfigurationChange(version, deployment.now)
        self.changes.append(change)
        host = deployment.control_planes[0]
        arrival = partial(self._on_received, host, change, body)
        self._scheduler.call_later(IN_ZONE_NS, partial(self._scheduler.enqueue, host.node, arrival))

    def on_applied(self, node: SimulatedNode, version: int) -> None:
        """Record that a proxy has applied a version, and thus all earlier ones."""
        for change in self.changes:
            if change.version <= version:
                change.applied_ns.setdefault(node.name, self._deployment.now)

    def _changed_configuration(self, version: int) -> bytes:
        configuration, rng = self._deployment.configuration, self._deployment.random
        host = configuration["vhosts"][rng.randrange(len(configuration["vhosts"]))]
        route = rng.choice(host["prefixes"])
        route["deadlineMs"] = 1000 + version % 500
        configuration["ver"] = f"{version:08x}"
        return json.dumps(configuration).encode()

    def _on_received(self, host: ControlPlaneHost, change: ConfigurationChange, body: bytes) -> None:
        meter = host.program.meter
        meter.received(len(body))
        meter.timed("check a configuration", lambda: validate_configuration(body))

        def commit() -> None:
            host.program.adopt_configuration(change.version, body)
            meter.sent(ACKNOWLEDGEMENT_BYTES)
            self._scheduler.call_after_work(0, acknowledge)

        def acknowledge() -> None:
            change.acknowledged_ns = self._deployment.now

        prepare: list[Any] = [0, change.version, 1, "disk"]
        accept = [*prepare, body]
        self._send_round(host, encode(prepare), lambda: self._send_round(host, encode(accept), commit))

    def _send_round(self, host: ControlPlaneHost, message: bytes, on_majority: Callback) -> None:
        """Send a message of consensus to all replicas; call `on_majority` once enough have written it."""
        deployment, scheduler = self._deployment, self._scheduler
        required_replies = len(deployment.control_planes) // 2
        compressed = host.program.meter.timed("letters", lambda: zlib.compress(message, COMPRESSION_LEVEL))
        on_reply = _count_replies(required_replies, partial(scheduler.enqueue, host.node, on_majority), host)
        for replica in deployment.control_planes[1:]:
            host.program.meter.sent(len(compressed))
            delay_ns = deployment.topology.link_delay_ns(host.node.zone, replica.node.zone)
            reply = partial(scheduler.enqueue, host.node, on_reply)
            answer = partial(self._answer_round, replica, compressed, DISK_SYNC_NS + delay_ns, reply)
            scheduler.call_after_work(delay_ns, partial(scheduler.enqueue, replica.node, answer))
        if not required_replies:
            scheduler.call_after_work(DISK_SYNC_NS, partial(scheduler.enqueue, host.node, on_majority))

    def _answer_round(
        self, replica: ControlPlaneHost, compressed: bytes, wait_ns: int, reply: Callback
    ) -> None:
        meter = replica.program.meter
        meter.received(len(compressed))
        meter.timed("letters", lambda: decode(zlib.decompress(compressed)))
        meter.sent(CONSENSUS_REPLY_BYTES)
        self._scheduler.call_after_work(wait_ns, reply)


def _count_replies(required_replies: int, action: Callback, host: ControlPlaneHost) -> Callable[[], None]:
    """Return a callback that counts replies and calls the action at the last required one."""
    replies = 0

    def on_reply() -> None:
        nonlocal replies
        host.program.meter.received(CONSENSUS_REPLY_BYTES)
        replies += 1
        if replies == required_replies:
            action()

    return on_reply
