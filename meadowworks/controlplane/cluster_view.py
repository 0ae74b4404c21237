"""A process's view of the other nodes and the backends, maintained by gossip."""

from __future__ import annotations

import random
import time
from uuid import uuid4

from meadowworks.gossip.messages import PullReply
from meadowworks.gossip.peer_sampling import PartialView, PeerRecord
from meadowworks.gossip.updates import UpdateStore
from meadowworks.registry.backends import BackendDirectory
from meadowworks.runtime.clock import now_ns
from meadowworks.runtime.node_settings import NodeSettings

RANDOM_SEED_BITS = 32


class ClusterView:
    """The gossip state of one process; each start of the program is a new incarnation.

    :param settings: the node's name, address and zone.
    :param is_voter: whether the node may vote in the consensus; false for proxies.
    """

    def __init__(self, settings: NodeSettings, is_voter: bool) -> None:
        self.incarnation = f"{settings.node}.{uuid4().hex[:8]}"
        record = PeerRecord(
            settings.node,
            settings.ip,
            settings.peer_port,
            settings.zone,
            is_voter,
            self.incarnation,
            int(time.time()),  # exceeds the heartbeats of earlier incarnations
        )
        self.peers = PartialView(record, random.getrandbits(RANDOM_SEED_BITS))
        self.updates = UpdateStore(self.incarnation)
        self.backends = BackendDirectory(lambda source: self.updates.silence_ns(now_ns(), source), now_ns)
        self.updates.update_listeners.append(self.backends.on_update)

    def apply_reply(self, now_ns: int, reply: PullReply) -> None:
        """Merge the peers and the updates of a pull reply."""
        self.peers.merge(now_ns, [reply.sender, *reply.peers])
        for delta in reply.deltas:
            self.updates.apply(now_ns, delta)

    def tick(self, now_ns: int) -> None:
        """Advance this node's heartbeat and expire silent peers and sources; call it every second."""
        self.peers.advance_heartbeat()
        self.peers.expire(now_ns)
        self.updates.expire_sources(now_ns)

    def undiscovered_seeds(self, settings: NodeSettings) -> list[tuple[str, int]]:
        """Return the peer addresses of the configured seeds that match no known peer."""
        return self.peers.undiscovered_seeds(settings.seeds, settings.peer_port)
