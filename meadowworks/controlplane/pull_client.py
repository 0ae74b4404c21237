"""The client that pulls gossip, the configuration and epochs from other control-plane nodes."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import NamedTuple

from meadowworks.consensus.values import CommittedValue
from meadowworks.controlplane.compressed_config import MAX_CONFIG_BYTES
from meadowworks.controlplane.node import ControlPlaneNode
from meadowworks.gossip.messages import PullReply, PullRequest, decode_pull_reply
from meadowworks.runtime import logging as logs
from meadowworks.runtime.clock import now_ns
from meadowworks.runtime.compression import decompress_steps
from meadowworks.runtime.cooperative import run_cooperatively
from meadowworks.runtime.errors import RequestError
from meadowworks.runtime.peer_client import PeerClient

PULL_PATH = b"/pull"
MAX_WAIT_MS = 500  # of a long poll; well below the lease duration of 1.8 s, since replies renew the lease
ACK_PENDING_MAX_WAIT_MS = 50  # while an acknowledgement of drains is pending, since the next pull carries it
# 0.5 s longer than the long poll. A lost pull and an immediate reply to the next fit into one lease duration.
REPLY_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.2
RETRY_DELAY_WITHOUT_LEASE_S = 0.05  # shorter, since a node without a lease can't serve requests
DRAIN_WRITE_WAIT_S = 0.1  # delays a pull until pending drains are written, so that it acknowledges them
PULLS_PER_SHUFFLE = 5  # every fifth pull exchanges peer records
log = logs.get_logger("gossip")


class PulledState(NamedTuple):
    """The reply to a pull, with its configuration decompressed.

    :param sent_ns: when the pull was sent; the reply confirms the state as of this time.
    :param config: the configuration; version 0 if the reply contains none.
    """

    sent_ns: int
    reply: PullReply
    config: CommittedValue


class PullClient:
    """Runs a long-polling loop for each other known control-plane node."""

    def __init__(self, node: ControlPlaneNode) -> None:
        self._node = node
        self._active: set[tuple[str, int]] = set()

    def start_missing(self) -> None:
        """Start the missing loops, for known voters and for seeds that match no known peer."""
        node = self._node
        voters = [(peer.host, peer.port) for peer in node.cluster.peers.voters()]
        for host, port in [*voters, *node.cluster.undiscovered_seeds(node.settings)]:
            if (host, port) not in self._active and host != node.settings.ip:
                self._active.add((host, port))
                node.tasks.start(self.pull_from(host, port))

    async def pull_from(self, host: str, port: int) -> None:
        """Pull from a node repeatedly until it is neither a known voter nor a seed."""
        client = self._node.peer_clients.client(host, port)
        successes, source = 0, ""  # the source is the peer's incarnation, known after the first reply
        has_failed = False  # whether the previous pull failed
        try:
            while self._is_wanted(host):
                with_peers = successes % PULLS_PER_SHUFFLE == 0
                pull = self._make_pull(source, with_peers, wants_reply_at_once=has_failed)
                had_lease = self._node.holds_lease()
                try:
                    pulled = await self._send(client, pull)
                except (RequestError, ValueError) as error:
                    retry_s = RETRY_DELAY_S if self._node.holds_lease() else RETRY_DELAY_WITHOUT_LEASE_S
                    log.debug("pull_failed", peer=f"{host}:{port}", reason=str(error), retry_s=retry_s)
                    has_failed = True
                    await asyncio.sleep(retry_s)
                    continue
                has_failed = False
                successes += 1
                source = pulled.reply.sender.incarnation
                self._apply(pulled)
                if self._node.holds_lease() and not had_lease:
                    self._node.state_changed.notify_all()  # proxies may receive the configuration now
                await self._wait_for_drain_writes(source)
        finally:
            self._active.discard((host, port))

    def _is_wanted(self, host: str) -> bool:
        is_voter = any(peer.host == host for peer in self._node.cluster.peers.voters())
        return is_voter or any(seed == host for seed, _ in self._node.settings.seeds)

    def _make_pull(self, source: str, with_peers: bool, wants_reply_at_once: bool) -> PullRequest:
        node, drain_log = self._node, self._node.drain_log
        max_wait_ms = MAX_WAIT_MS if drain_log.is_caught_up(source) else ACK_PENDING_MAX_WAIT_MS
        peers = node.cluster.peers
        sample = (tuple(peers.shuffle_sample()[1:]) or (peers.local,)) if with_peers else ()
        return PullRequest(
            peers.local,
            sample,
            node.cluster.updates.remote_version_vector(),
            node.committed.version,
            0 if wants_reply_at_once else max_wait_ms,
            epoch_number=node.acceptor.newest_epoch().number,
            drain_acknowledgement=drain_log.acknowledgement(source),
        )

    async def _send(self, client: PeerClient, pull: PullRequest) -> PulledState:
        """Send a pull and return its decompressed reply.

        :raises RequestError: there was no reply.
        :raises ValueError: the reply is malformed.
        """
        sent_ns = now_ns()
        reply = decode_pull_reply(await client.call(PULL_PATH, pull.encode(), REPLY_TIMEOUT_S))
        version, compressed = reply.config or (0, b"")
        value = await run_cooperatively(decompress_steps(compressed, MAX_CONFIG_BYTES)) if version else b""
        return PulledState(sent_ns, reply, CommittedValue(version, value))

    def _apply(self, pulled: PulledState) -> None:
        node, reply, replica = self._node, pulled.reply, self._node.config_service.replica
        node.cluster.apply_reply(now_ns(), reply)
        now = now_ns()
        if reply.epoch is not None:
            replica.on_epoch_announced(now, reply.epoch)
        if reply.config is not None:
            replica.on_committed_value(now, pulled.config, reply.decided_digests)
        if reply.acceptor_state is not None:
            replica.on_query_reply(now, pulled.sent_ns, reply.acceptor_state)
        node.config_service.run_effects()

    async def _wait_for_drain_writes(self, source: str) -> None:
        is_caught_up = partial(self._node.drain_log.is_caught_up, source)
        await self._node.drain_service.wait_until(is_caught_up, DRAIN_WRITE_WAIT_S)
