"""The status of a node, as shown by the commands `status`, `members`, `nodes` and `backends`."""

from __future__ import annotations

from typing import Any

from meadowworks.controlplane.node import ControlPlaneNode
from meadowworks.runtime.clock import now_ns


def node_status(node: ControlPlaneNode) -> dict[str, Any]:
    """Return the status of a node as a JSON object."""
    records = [entry.record for entry in node.cluster.peers.peers.values()]
    return {
        "node": node.settings.node,
        **node.config_service.replica.status(now_ns()),
        **node.coordination.status(),
        "members": [
            [record.name, record.host, record.zone, record.is_voter, record.heartbeat] for record in records
        ],
        "sources": node.cluster.updates.version_vector(),
        "backends": node.cluster.backends.summary(),
    }
