"""Client of the control plane: pulls configurations and updates from one node at a time, by long polls.

The requests carry this proxy's load reports.
"""

from __future__ import annotations

import asyncio
import random
import time

from meadowworks.config.route_table import RouteTable, load_route_table_steps
from meadowworks.gossip import messages
from meadowworks.gossip.messages import DECODE_ERRORS, PullReply, PullRequest
from meadowworks.gossip.peer_sampling import PartialView, PeerRecord
from meadowworks.load_balancing.load_reports import LoadReport
from meadowworks.proxy.control_plane_selection import ControlPlaneSelector
from meadowworks.proxy.control_plane_view import ControlPlaneView
from meadowworks.proxy.load_reporting import LoadReporter
from meadowworks.proxy.pull_schedule import PullSchedule
from meadowworks.runtime import logging as logs
from meadowworks.runtime.clock import now_ns
from meadowworks.runtime.compression import decompress_steps
from meadowworks.runtime.cooperative import run_cooperatively
from meadowworks.runtime.errors import InvariantError, RequestError
from meadowworks.runtime.live_settings import LiveSettings
from meadowworks.runtime.peer_client import PeerClient
from meadowworks.runtime.steps import Steps

# Prevents a compressed reply from exhausting the memory when it is decompressed.
MAX_CONFIG_BYTES = 64 << 20
# The proxy's own peer record is sent with one pull in this many, so that it does not expire.
PULLS_PER_OWN_RECORD = 5
# Pause while no control-plane node is known.
NO_NODE_PAUSE_S = 0.2
# Pause after a pull that failed with an unexpected exception.
FAULT_PAUSE_S = 0.5
log = logs.get_logger("proxy")


def decode_config_steps(compressed: bytes) -> Steps[RouteTable]:
    """Decompress and load a configuration, in steps between which other tasks can run."""
    body = yield from decompress_steps(compressed, MAX_CONFIG_BYTES)
    return (yield from load_route_table_steps(body))


class ControlPlaneClient:
    """Puller that keeps a proxy's view of the control plane up to date.

    :param incarnation: the id of this process
    """

    def __init__(
        self,
        settings: LiveSettings,
        incarnation: str,
        view: ControlPlaneView,
        reporter: LoadReporter,
    ) -> None:
        self._settings = settings
        self._view = view
        self._reporter = reporter
        self._selector = ControlPlaneSelector(settings.current.zone)
        self._schedule = PullSchedule()
        self._pull_count = 0
        self.known_peers = PartialView(local_peer_record(settings, incarnation), random.getrandbits(32))
        self.peer_clients: dict[tuple[str, int], PeerClient] = {}

    def peer_client(self, host: str, port: int) -> PeerClient:
        """Return the client of a control-plane node, with its connections; create it if it is missing."""
        return self.peer_clients.setdefault((host, port), PeerClient(host, port))

    async def pull_forever(self) -> None:
        """Pull in an endless loop.

        An unexpected exception in one pull does not end the loop. Prevents the proxy from serving by a view
        that is no longer updated.

        :raises InvariantError: the state of the proxy is inconsistent
        """
        while True:
            try:
                await self.pull_once()
            except InvariantError:
                raise
            except Exception:
                log.exception("pull_failed_internally")
                self._schedule.request_immediate_reply()
                await asyncio.sleep(FAULT_PAUSE_S)

    async def pull_once(self) -> None:
        """Send one request to one control-plane node and apply its reply."""
        node = self._choose_node()
        if node is None:
            await asyncio.sleep(NO_NODE_PAUSE_S)
            return
        host, port = node
        report = self._reporter.take_unsent()
        request = self._build_request(report)
        sent_ns = now_ns()
        try:
            client, timeout_s = self.peer_client(host, port), self._schedule.timeout_s
            reply = messages.decode_pull_reply(await client.call(b"/pull", request.encode(), timeout_s))
            table = await run_cooperatively(decode_config_steps(reply.config[1])) if reply.config else None
        except (RequestError, *DECODE_ERRORS) as error:
            log.info("control_plane_node_left", node_ip=host, reason=str(error))
            self._reporter.restore_unsent(report)
            self._selector.mark_failed(now_ns(), host)
            await asyncio.sleep(self._schedule.on_failure(self._view.route_table is not None))
            return
        now = now_ns()
        self._apply_reply(reply, table, now)
        has_config = self._view.route_table is not None
        pause_s = self._schedule.on_reply(reply.has_lease, has_config)
        if not reply.has_lease:
            # Prevents the proxy from following a partitioned node, whose state no longer changes.
            self._selector.mark_failed(now, host)
            await asyncio.sleep(pause_s)
        self._view.on_reply(sent_ns, reply.has_lease, now)

    def advance_heartbeat(self, now: int) -> None:
        """Advance this process's heartbeat and remove peers whose heartbeat has stopped.

        Must be called every second.
        """
        self.known_peers.advance_heartbeat()
        self.known_peers.expire(now)

    def _choose_node(self) -> tuple[str, int] | None:
        settings = self._settings.current
        seeds = self.known_peers.undiscovered_seeds(settings.seeds, settings.peer_port)
        return self._selector.choose(now_ns(), self.known_peers.voters(), seeds)

    def _build_request(self, report: LoadReport) -> PullRequest:
        local_record = self.known_peers.local
        return PullRequest(
            local_record,
            (local_record,) if self._pull_count % PULLS_PER_OWN_RECORD == 0 else (),
            self._view.gossip.remote_version_vector(),
            self._view.config_version,
            self._schedule.long_poll_ms,
            report.pack() if report else None,
        )

    def _apply_reply(self, reply: PullReply, table: RouteTable | None, now: int) -> None:
        self._pull_count += 1
        self.known_peers.merge(now, [reply.sender, *reply.peers])
        for delta in reply.deltas:
            self._view.gossip.apply(now, delta)
        if table is not None:
            self._view.apply_route_table(table)
        self._view.refresh_endpoints()


def local_peer_record(settings: LiveSettings, incarnation: str) -> PeerRecord:
    """Return the peer record of this process.

    Its heartbeat starts at the wall-clock time, above that of an earlier process.
    """
    node = settings.current
    heartbeat = int(time.time())
    return PeerRecord(node.node, node.ip, node.peer_port, node.zone, False, incarnation, heartbeat)
