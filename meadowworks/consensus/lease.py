"""The lease by which a replica may answer for what it knows.

A replica holds its lease while a majority of the epoch's members has answered requests that left within
`LEASE_DURATION_NS`, and what these had accepted is known here. The lease counts from when a request left, not
from when its reply came.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.messages import QueryReply
from meadowworks.consensus.timing import PEER_EXPIRY_NS

UNCONFIRMED_KEPT = 8  # newest requests of a peer whose versions are not known here yet; more tell nothing new


@dataclass(slots=True)
class PeerState:
    """What is known of another replica's disk.

    `confirmed_ns`: when the newest request left that counts for the lease. `unconfirmed`: versions that must
    be known here before a request counts, and when it left.
    """

    last_reply: QueryReply
    last_reply_ns: int
    confirmed_ns: int = 0
    unconfirmed: list[tuple[int, int]] = field(default_factory=list)

    def on_reply(self, highest_version: int, sent_ns: int) -> None:
        """A reply to a request that left at `sent_ns` speaks of versions up to this one."""
        self.unconfirmed = [*self.unconfirmed, (highest_version, sent_ns)][-UNCONFIRMED_KEPT:]

    def confirm(self, committed_version: int) -> None:
        """Counts the requests whose replies speak of nothing above the version committed here."""
        if not self.unconfirmed:
            return
        known = [sent_ns for version, sent_ns in self.unconfirmed if version <= committed_version]
        self.confirmed_ns = max([self.confirmed_ns, *known])
        self.unconfirmed = [(v, sent_ns) for v, sent_ns in self.unconfirmed if v > committed_version]

    def reset(self) -> None:
        """What it said in an earlier epoch no longer counts."""
        self.confirmed_ns, self.unconfirmed = 0, []


class LeaseTracker:
    """Other replicas' disks, and until when what they said lets this one answer."""

    def __init__(self, acceptor: Acceptor) -> None:
        self._acceptor = acceptor
        self.peers: dict[str, PeerState] = {}
        # As a member this replica asks itself too: what it has accepted may be acknowledged already.
        self.own_state = PeerState(acceptor.query_reply(), 0)

    def on_query_reply(self, now_ns: int, sent_ns: int, reply: QueryReply) -> None:
        """Another replica's reply to a request that left at `sent_ns`."""
        peer = self.peers.get(reply.member_id)
        if peer is None:
            for replaced in [d for d, p in self.peers.items() if p.last_reply.address == reply.address]:
                del self.peers[replaced]  # an empty disk stands there now
            peer = self.peers[reply.member_id] = PeerState(reply, now_ns)
        peer.last_reply, peer.last_reply_ns = reply, now_ns
        if reply.may_vote and reply.epoch == self._acceptor.newest_epoch().number:
            peer.on_reply(reply.highest_version, sent_ns)
            peer.confirm(self._acceptor.committed.version)

    def query_self(self, now_ns: int) -> None:
        """The own acceptor's reply to a request of now."""
        self.own_state.on_reply(self._acceptor.highest_undecided_version(), now_ns)
        self.own_state.confirm(self._acceptor.committed.version)

    def on_value_committed(self) -> None:
        """More may be known here than when the replies came."""
        for peer in (self.own_state, *self.peers.values()):
            peer.confirm(self._acceptor.committed.version)

    def on_new_epoch(self) -> None:
        """What the members of an earlier epoch said no longer counts."""
        for peer in self.peers.values():
            peer.reset()

    def on_stall(self, now_ns: int) -> None:
        """This process was suspended: nobody was silent meanwhile as far as it knows."""
        for peer in self.peers.values():
            peer.last_reply_ns = now_ns

    def expire_peers(self, now_ns: int) -> None:
        """Forgets disks that have not answered for `PEER_EXPIRY_NS`."""
        for member_id in [d for d, p in self.peers.items() if now_ns - p.last_reply_ns > PEER_EXPIRY_NS]:
            del self.peers[member_id]

    def lease_start_ns(self, now_ns: int) -> int | None:
        """The time such that whatever was acknowledged before it is known here; none if there is none."""
        epoch, acceptor = self._acceptor.newest_epoch(), self._acceptor
        if epoch.number < 1 or not epoch.members:
            return None
        times = []
        for member_id, _ in epoch.members:
            if member_id == acceptor.member_id:
                if acceptor.may_vote():
                    undecided = acceptor.highest_undecided_version()
                    times.append(self.own_state.confirmed_ns if undecided else now_ns)
            elif (peer := self.peers.get(member_id)) is not None and peer.confirmed_ns:
                times.append(peer.confirmed_ns)
        if len(times) < epoch.majority:
            return None
        return sorted(times, reverse=True)[epoch.majority - 1]
