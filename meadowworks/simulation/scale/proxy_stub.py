"""A stub that sends the same pulls as a proxy, at a fraction of the cost."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from meadowworks.gossip.messages import PullReply, PullRequest
from meadowworks.gossip.peer_sampling import PeerRecord
from meadowworks.proxy.control_plane_client import PULLS_PER_OWN_RECORD
from meadowworks.proxy.pull_schedule import LONG_POLL_MS
from meadowworks.simulation.scale.resource_meter import ResourceMeter


class ProxyStub:
    """Sends the pulls of a proxy with the product's codec; of the replies it keeps only version numbers.

    :param load_report: returns a random load report for the time since the previous pull.
    """

    def __init__(self, record: PeerRecord, load_report: Callable[[], Any], meter: ResourceMeter) -> None:
        self.record, self.meter = record, meter
        self.version_vector: dict[str, int] = {}
        self.configuration_version = 0
        self._load_report = load_report
        self._pulls_answered = 0

    def restart(self, record: PeerRecord) -> None:
        """Start a new incarnation, which has no state."""
        self.record = record
        self.version_vector, self.configuration_version = {}, 0

    def build_pull(self, heartbeat: int) -> bytes:
        """Return an encoded pull of updates."""
        self.record = replace(self.record, heartbeat=heartbeat)
        includes_record = self._pulls_answered % PULLS_PER_OWN_RECORD == 0
        records = (self.record,) if includes_record else ()
        request = PullRequest(
            self.record,
            records,
            self.version_vector,
            self.configuration_version,
            LONG_POLL_MS,
            self._load_report(),
        )
        body = request.encode()
        self.meter.sent(len(body))
        return body

    def on_pull_reply(self, body: bytes, reply: PullReply) -> None:
        """Record the versions in the reply to a pull."""
        self.meter.received(len(body))
        self._pulls_answered += 1
        for delta in reply.deltas:
            self.version_vector[delta.source] = delta.latest_version
        if reply.config is not None:
            self.configuration_version = reply.config[0]
