"""The metrics of a control-plane node, as listed in docs/metrics.md."""

from __future__ import annotations

from collections.abc import Iterator

from meadowworks.consensus.timing import LEASE_DURATION_NS
from meadowworks.controlplane.api_replies import ApiReplyCounter
from meadowworks.controlplane.coordination_metrics import coordination_metrics
from meadowworks.controlplane.node import ControlPlaneNode
from meadowworks.registry.backend_metrics import backend_metrics
from meadowworks.runtime.clock import NS_PER_SECOND, now_ns
from meadowworks.runtime.metrics import MetricFamily, Sample, counter, gauge

PREFIX = "meadowworks_control_plane_"


class ControlPlaneMetrics:
    """Collects the metrics of a node's services.

    :param reply_counter: counts the replies of the node's API.
    """

    def __init__(self, node: ControlPlaneNode, reply_counter: ApiReplyCounter) -> None:
        self._node = node
        self._reply_counter = reply_counter

    def collect(self) -> Iterator[MetricFamily]:
        """Yield all metrics with their current values."""
        yield self._api_replies()
        yield from self._consensus_metrics()
        yield from self._registry_metrics()
        yield from backend_metrics(self._node.cluster.backends)
        yield from coordination_metrics(self._node.coordination)

    def _api_replies(self) -> MetricFamily:
        counts = self._reply_counter.counts
        return counter(
            PREFIX + "api_replies",
            "Replies of the API, by action and status code.",
            *(Sample(count, (kind.action, str(kind.status))) for kind, count in counts.items()),
            labels=("action", "code"),
        )

    def _consensus_metrics(self) -> Iterator[MetricFamily]:
        node, replica, acceptor, now = (
            self._node,
            self._node.config_service.replica,
            self._node.acceptor,
            now_ns(),
        )
        epoch, lease_start_ns = acceptor.newest_epoch(), replica.lease_start_ns(now)
        lease_ns = 0 if lease_start_ns is None else max(0, LEASE_DURATION_NS - (now - lease_start_ns))
        yield gauge(PREFIX + "lease_held", "1 if this node may answer.", Sample(node.holds_lease()))
        yield gauge(
            PREFIX + "lease_remaining_seconds",
            "How long the lease lasts if no majority answers any more.",
            Sample(lease_ns / NS_PER_SECOND),
        )
        yield gauge(
            PREFIX + "voting", "1 if this node's disk is a member and may vote.", Sample(acceptor.may_vote())
        )
        yield gauge(PREFIX + "disk_failed", "1 if the disk takes no writes.", Sample(acceptor.disk_failed))
        yield gauge(PREFIX + "epoch", "Number of the newest epoch known here.", Sample(epoch.number))
        yield gauge(PREFIX + "members", "Members of that epoch.", Sample(len(epoch.members)))
        yield gauge(PREFIX + "peers", "Nodes that this node knows.", Sample(len(node.cluster.peers.peers)))
        yield gauge(
            PREFIX + "config_version",
            "Newest committed configuration known here.",
            Sample(node.committed.version),
        )
        yield gauge(
            PREFIX + "undecided_versions",
            "Versions that were accepted here and are not known as decided.",
            Sample(sum(bool(version) for version in acceptor.slots)),
        )

    def _registry_metrics(self) -> Iterator[MetricFamily]:
        node = self._node
        yield gauge(
            PREFIX + "registrations",
            "Backends that send their heartbeats to this node.",
            Sample(len(node.heartbeats.registrations)),
        )
        yield gauge(
            PREFIX + "drain_records",
            "Drains and departures on this disk.",
            Sample(len(node.drain_log.records)),
        )
        yield gauge(
            PREFIX + "drain_records_unwritten",
            "Drains and departures that are not on this disk yet.",
            Sample(len(node.drain_log.unsynced)),
        )
