"""The lease that lets a replica serve clients from its committed state.

A replica holds the lease while a majority of the epoch's members has answered requests that were sent within
the last `LEASE_DURATION_NS`, and every version that these members had accepted is committed here. The lease
starts when a request is sent, not when its reply arrives.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.messages import QueryReply
from meadowworks.consensus.timing import PEER_EXPIRY_NS

MAX_UNCONFIRMED = 8  # per peer; older ones are dropped, as more of them add nothing new


@dataclass(slots=True)
class PeerState:
    """The last reply of another replica and the requests that it confirmed.

    `confirmed_ns` is the send time of the newest request that counts for the lease. `unconfirmed` holds the
    answered requests that do not count yet, each as the version that must be committed here first and the
    send time.
    """

    last_reply: QueryReply
    last_reply_ns: int
    confirmed_ns: int = 0
    unconfirmed: list[tuple[int, int]] = field(default_factory=list)

    def on_reply(self, highest_version: int, sent_ns: int) -> None:
        """Record a reply to a request sent at `sent_ns` that names versions up to `highest_version`."""
        self.unconfirmed = [*self.unconfirmed, (highest_version, sent_ns)][-MAX_UNCONFIRMED:]

    def confirm_up_to(self, committed_version: int) -> None:
        """Confirm the requests whose replies name no version above the version committed here."""
        if not self.unconfirmed:
            return
        confirmed = [sent_ns for version, sent_ns in self.unconfirmed if version <= committed_version]
        self.confirmed_ns = max([self.confirmed_ns, *confirmed])
        self.unconfirmed = [(v, sent_ns) for v, sent_ns in self.unconfirmed if v > committed_version]

    def reset(self) -> None:
        """Discard the replies of an earlier epoch."""
        self.confirmed_ns, self.unconfirmed = 0, []


class LeaseTracker:
    """Tracks the replies of other replicas and the lease that they grant to this one."""

    def __init__(self, acceptor: Acceptor) -> None:
        self._acceptor = acceptor
        self.peers: dict[str, PeerState] = {}
        # A member also queries itself, because a value that it has accepted may already be acknowledged.
        self.own_state = PeerState(acceptor.query_reply(), 0)

    def on_query_reply(self, now_ns: int, sent_ns: int, reply: QueryReply) -> None:
        """Record another replica's reply to a request sent at `sent_ns`."""
        peer = self.peers.get(reply.member_id)
        if peer is None:
            for replaced in [k for k, p in self.peers.items() if p.last_reply.address == reply.address]:
                del self.peers[replaced]  # a new disk at the same address
            peer = self.peers[reply.member_id] = PeerState(reply, now_ns)
        peer.last_reply, peer.last_reply_ns = reply, now_ns
        if reply.may_vote and reply.epoch == self._acceptor.newest_epoch().number:
            peer.on_reply(reply.highest_version, sent_ns)
            peer.confirm_up_to(self._acceptor.committed.version)

    def query_self(self, now_ns: int) -> None:
        """Record the state of the own acceptor as a reply to a request sent now."""
        self.own_state.on_reply(self._acceptor.highest_undecided_version(), now_ns)
        self.own_state.confirm_up_to(self._acceptor.committed.version)

    def on_value_committed(self) -> None:
        """Confirm the requests that waited for a version which is now committed."""
        for peer in (self.own_state, *self.peers.values()):
            peer.confirm_up_to(self._acceptor.committed.version)

    def on_new_epoch(self) -> None:
        """Discard the replies that members gave in an earlier epoch."""
        for peer in self.peers.values():
            peer.reset()

    def on_stall(self, now_ns: int) -> None:
        """Restart the silence timeout of every peer after this process was suspended."""
        for peer in self.peers.values():
            peer.last_reply_ns = now_ns

    def expire_peers(self, now_ns: int) -> None:
        """Remove the peers that have not answered for `PEER_EXPIRY_NS`."""
        for member_id in [k for k, p in self.peers.items() if now_ns - p.last_reply_ns > PEER_EXPIRY_NS]:
            del self.peers[member_id]

    def lease_start_ns(self, now_ns: int) -> int | None:
        """Return the start of the lease; every value acknowledged before it is committed here.

        :returns: None if no majority of the members has confirmed a request.
        """
        epoch, acceptor = self._acceptor.newest_epoch(), self._acceptor
        if epoch.number < 1 or not epoch.members:
            return None
        confirmed_times = []
        for member_id, _ in epoch.members:
            if member_id == acceptor.member_id:
                if acceptor.may_vote():
                    undecided = acceptor.highest_undecided_version()
                    confirmed_times.append(self.own_state.confirmed_ns if undecided else now_ns)
            elif (peer := self.peers.get(member_id)) is not None and peer.confirmed_ns:
                confirmed_times.append(peer.confirmed_ns)
        if len(confirmed_times) < epoch.majority:
            return None
        return sorted(confirmed_times, reverse=True)[epoch.majority - 1]
