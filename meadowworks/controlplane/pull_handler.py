"""The handler for pulls from proxies and other control-plane nodes, which are long polls."""

from __future__ import annotations

import asyncio

from meadowworks.controlplane.compressed_config import ConfigCompressor
from meadowworks.controlplane.node import ControlPlaneNode
from meadowworks.gossip.messages import PullReply, PullRequest
from meadowworks.gossip.peer_sampling import PeerRecord
from meadowworks.gossip.updates import SourceDelta
from meadowworks.registry.backend_state import BACKEND_KEY_PREFIX
from meadowworks.runtime.clock import now_ns

MAX_WAIT_MS = 1000  # upper bound of a long poll; longer waits requested by the sender are capped
PROXY_BATCHING_DELAY_S = 0.15  # collects backend changes: each reply costs every proxy a round
MS_PER_SECOND = 1000


class PullHandler:
    """Records the contents of a pull and replies with the state that its sender lacks."""

    def __init__(self, node: ControlPlaneNode) -> None:
        self._node = node
        self._compressor = ConfigCompressor(node.tasks)

    async def handle(self, pull: PullRequest) -> PullReply:
        """Return the reply to a pull, at the latest after the maximum wait that its sender requested."""
        self._record(pull)
        deltas = await self._wait_for_updates(pull)
        while self._lacks_config(pull) and self._compressor.latest.version != self._node.committed.version:
            await self._compressor.compress(self._node.committed)
        return self._reply(pull, deltas)

    def _record(self, pull: PullRequest) -> None:
        node = self._node
        node.cluster.peers.merge(now_ns(), [pull.sender, *pull.peers])
        self._record_acknowledgement(pull)
        if pull.load_report:
            node.zone_loads.add(pull.sender.zone, pull.load_report)

    def _record_acknowledgement(self, pull: PullRequest) -> None:
        """Record up to which version the sender's disk holds this node's drains.

        Ignores pulls from an earlier incarnation of the sender's host, whose disk may have been replaced.
        """
        if pull.drain_acknowledgement is None or not pull.sender.is_voter:
            return
        peer = self._node.cluster.peers.peers.get(pull.sender.host)
        if peer is not None and peer.record.incarnation == pull.sender.incarnation:
            self._node.drain_log.on_acknowledgement(pull.sender.host, *pull.drain_acknowledgement)
            self._node.drain_service.notify_waiters()

    async def _wait_for_updates(self, pull: PullRequest) -> list[SourceDelta]:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + min(pull.max_wait_ms, MAX_WAIT_MS) / MS_PER_SECOND
        deltas = self._deltas_for(pull)
        while not self._is_urgent(deltas, pull):
            if (remaining_s := deadline - loop.time()) <= 0:
                break
            await self._node.state_changed.wait(remaining_s)
            if self._may_batch(pull):
                await asyncio.sleep(min(PROXY_BATCHING_DELAY_S, max(0.0, deadline - loop.time())))
            deltas = self._deltas_for(pull)
        return deltas

    def _deltas_for(self, pull: PullRequest) -> list[SourceDelta]:
        return self._node.cluster.updates.deltas_since(pull.version_vector, pull.sender.incarnation)

    def _is_urgent(self, deltas: list[SourceDelta], pull: PullRequest) -> bool:
        return (
            self._node.shutting_down
            or self._lacks_config(pull)
            or self._node.cluster.incarnation not in pull.version_vector  # first contact
            or any(key.startswith(BACKEND_KEY_PREFIX) for delta in deltas for _, key, _ in delta.changes)
        )

    def _may_batch(self, pull: PullRequest) -> bool:
        """Whether a reply may be delayed for batching: not to control-plane nodes or with a configuration."""
        has_no_new_config = self._node.committed.version <= pull.config_version
        return not pull.sender.is_voter and has_no_new_config and not self._node.shutting_down

    def _lacks_config(self, pull: PullRequest) -> bool:
        """Whether to send the configuration.

        Control-plane nodes always receive a newer committed one. A proxy receives it only while this node
        holds a lease, since it may be out of date otherwise.
        """
        is_control_plane = pull.epoch_number is not None
        return self._node.committed.version > pull.config_version and (
            is_control_plane or self._node.holds_lease()
        )

    def _reply(self, pull: PullRequest, deltas: list[SourceDelta]) -> PullReply:
        node, acceptor = self._node, self._node.acceptor
        has_lease = node.holds_lease()
        latest = self._compressor.latest
        config = latest if self._lacks_config(pull) else None
        peers = self._peers_for(pull)
        if pull.epoch_number is None:
            return PullReply(node.cluster.peers.local, peers, tuple(deltas), has_lease, config)
        has_newer_epoch = acceptor.installed and acceptor.epoch.number > pull.epoch_number
        return PullReply(
            node.cluster.peers.local,
            peers,
            tuple(deltas),
            has_lease,
            config,
            acceptor.query_reply(),
            acceptor.epoch if has_newer_epoch else None,
            acceptor.digest_history() if config else (),
        )

    def _peers_for(self, pull: PullRequest) -> tuple[PeerRecord, ...]:
        known_peers = self._node.cluster.peers
        sample = tuple(known_peers.shuffle_sample()[1:]) if pull.peers else ()
        sender_entry = known_peers.peers.get(pull.sender.host)
        if sender_entry is not None and sender_entry.record.heartbeat > pull.sender.heartbeat:
            # The known record is of an earlier incarnation; the sender raises its heartbeat above it.
            return (*sample, sender_entry.record)
        return sample
