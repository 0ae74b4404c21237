"""A process of the model ``telegraph``, with its view of its peers."""

from __future__ import annotations

from meadowworks.gossip.peer_sampling import PartialView, PeerRecord
from meadowworks.modelcheck.models.registry_node import RegistryNode
from meadowworks.registry.backend_state import DRAINING, GONE, SUSPECT, UP

CONTROL_PLANE, PROXY = (0, 1), 2  # host numbers
DRAINED_BACKEND = "x"  # the backend that drains and leaves
RANK_OF_STATE = {UP: 0, SUSPECT: 0, DRAINING: 1, GONE: 2}
UNKNOWN_RANK = -1


class GossipNode(RegistryNode):
    """A process on a host, with its view of its peers.

    :ivar replied: by host, the incarnation that sent the latest reply.
    """

    def __init__(self, host: int, incarnation: int) -> None:
        super().__init__(f"{host}.{incarnation}", max_tombstones=0)
        self.host, self.incarnation = host, incarnation
        self.replied: dict[int, str] = {}
        is_voter = host != PROXY
        record = PeerRecord(
            self.source_id, f"h{host}", 1, "z", is_voter, self.source_id, heartbeat=100 * incarnation
        )
        self.view = PartialView(record, 1)

    def rank(self) -> int:
        """Return the rank of the drained backend's state in this process.

        Reports of a backend whose address is still missing have a state too.
        """
        instance = self.directory.instances.get(DRAINED_BACKEND)
        if instance is not None:
            return RANK_OF_STATE.get(instance.state, UNKNOWN_RANK)
        if DRAINED_BACKEND in self.directory.reports:
            return RANK_OF_STATE[self.directory.merged_state(DRAINED_BACKEND)]
        return UNKNOWN_RANK

    def peer_heartbeats(self) -> dict[str, int]:
        """Return the heartbeat counter of each peer in the view, by host."""
        return {host: entry.record.heartbeat for host, entry in self.view.peers.items()}
