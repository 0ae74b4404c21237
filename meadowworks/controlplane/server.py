"""The signalbox's process: its doors, its pulls of others' news, its clock."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sqlite3
import tempfile
import time
from functools import partial
from typing import Any
from uuid import uuid4

from meadowworks.consensus.values import CommittedValue
from meadowworks.controlplane.api import BackendsResource, ConfigResource, build_routes
from meadowworks.controlplane.config_service import ConfigService
from meadowworks.controlplane.drain_service import DrainService, decode_rows
from meadowworks.forwarding.memory_budget import MemoryBudget
from meadowworks.gossip import messages as post
from meadowworks.gossip.peer_sampling import PartialView, PeerRecord
from meadowworks.gossip.updates import KeyUpdate, SourceDelta, UpdateStore
from meadowworks.load_balancing.load_reports import LOAD_REPORT_PREFIX as FIGURES
from meadowworks.load_balancing.load_reports import LoadReport
from meadowworks.registry.backends import BackendDirectory
from meadowworks.registry.drain_log import DrainLog
from meadowworks.registry.heartbeats import BACKEND_KEY_PREFIX as BACKENDS
from meadowworks.registry.heartbeats import HeartbeatRegistry
from meadowworks.runtime import logging as logs
from meadowworks.runtime.compression import compress_steps, decompress_steps
from meadowworks.runtime.cooperative import run_cooperatively
from meadowworks.runtime.errors import RequestError, SettingsError
from meadowworks.runtime.http_server import HttpServer
from meadowworks.runtime.node_settings import NodeSettings, load_settings
from meadowworks.runtime.peer_client import PeerClient
from meadowworks.runtime.process import BackgroundTasks, now_ns, run_program
from meadowworks.runtime.request_body import BodyError, read_body
from meadowworks.runtime.response_writer import send_response
from meadowworks.runtime.server_connection import RequestLimits
from meadowworks.storage.sqlite_store import SqliteStore

PULL_WAIT_MS, PULL_TIMEOUT_S = 500, 1.5  # that a pull may be held back, and is waited for
MAX_PULL_WAIT_MS = 1000  # at most, whatever a puller asks for
ACK_PENDING_PULL_WAIT_MS = 50  # that one is held back while a receipt is owed: it goes with the next
DRAIN_WRITE_WAIT_S = 0.1  # that a receipt is waited for before the next pull goes without it
PROXY_BATCHING_DELAY_S = (
    0.15  # that news of backends gather in before a junction is told: each telling costs every junction
)
SUMMARY_INTERVAL_TICKS = 10  # seconds between the log's lines of counters
MAX_BODY_BYTES = 64 << 20
BODY_TIMEOUT_S = (
    300.0  # that an operator's body may take: 7 MB over a line of 200 kbit/s; a part is waited for 30 s
)
BODY_MEMORY_RATIO = 0.25  # part of the memory that such bodies may take while they come
SINGLE_BODY_MEMORY_RATIO = 0.1  # of it that one may have: its check takes four times its size beside it
log = logs.get_logger("box")


class ControlPlaneServer:
    def __init__(self, settings: NodeSettings) -> None:
        self.settings = settings
        self.incarnation = f"{settings.node}.{uuid4().hex[:8]}"
        card = PeerRecord(
            settings.node,
            settings.ip,
            settings.peer_port,
            settings.zone,
            settings.voting,
            self.incarnation,
            int(time.time()),
        )
        self.known_peers = PartialView(card, random.getrandbits(32))
        self.gossip = UpdateStore(self.incarnation)
        self.gossip.update_listeners.append(self.on_update)
        self.backends = BackendDirectory(lambda name: self.gossip.silence_ns(now_ns(), name), now_ns)
        self.gossip.update_listeners.append(self.backends.on_update)
        self.drain_log = DrainLog(self.incarnation)
        self.gossip.update_listeners.append(lambda event: self.drain_log.on_update(now_ns(), event))
        self.gossip.version_listeners.append(self.drain_log.on_version)
        self.heartbeats = HeartbeatRegistry(
            self.gossip.publish, settings.heartbeat_ms, self.drain_log.state, self.knows_backend
        )
        self.peer_clients: dict[tuple[str, int], PeerClient] = {}
        self.pulled_addresses: set[tuple[str, int]] = set()
        self.waiting_pulls: set[asyncio.Future[None]] = set()
        self.zone_load_sums: dict[str, LoadReport] = {}
        self.load_sums_since_ns = now_ns()
        self.tick_count = 0
        self.shutting_down = False
        folder = settings.data_dir or tempfile.mkdtemp(prefix="meadowworks-")
        self.tasks = BackgroundTasks()
        self.config_service = ConfigService(
            settings, SqliteStore(folder), self.peer_client, self.on_commit, self.tasks
        )
        self.stored_backends = self.config_service.store.load_backend_hints()
        self.drain_service = DrainService(
            self.drain_log, self.config_service.store, self.config_service.disk_executor, self.tasks.start
        )
        fenced = decode_rows(self.config_service.store.load_drain_records())
        self.drain_log.restore(now_ns(), fenced)
        self.heartbeats.restore(now_ns(), fenced | decode_rows(self.stored_backends))
        self.backends_resource = BackendsResource(
            self.heartbeats,
            self.drain_service,
            self.is_durable,
            self.api_addresses_in_zone_of,
            self.holds_lease,
        )
        self.api_routes = build_routes(self.backends_resource, ConfigResource(self.config_service))
        self.peer_server = HttpServer(
            self.handle_peer_request, RequestLimits(65536, 3.0, 30.0), incarnation=self.incarnation
        )
        self.body_memory = MemoryBudget(int(settings.memory_mb * 1e6 * BODY_MEMORY_RATIO))
        self.compressed_config: tuple[int, bytes] = (
            0,
            b"",
        )  # the version held and its configuration, compressed
        self.compression: tuple[int, asyncio.Task[bytes]] | None = None
        self.api_server = HttpServer(self.handle_api_request, RequestLimits(65536, 3.0, 30.0))

    def peer_client(self, host: str, port: int) -> PeerClient:
        return self.peer_clients.setdefault((host, port), PeerClient(host, port))

    def knows_backend(self, backend_id: str) -> bool:
        """Whether anyone has spoken of a backend."""
        return self.backends.is_known(backend_id) or backend_id in self.drain_log.records

    def is_durable(self, version: int) -> bool:
        """Of the epoch's members: whoever else may vote may be gone for good tomorrow."""
        members = self.config_service.replica.acceptor.newest_epoch().members
        hosts = {address.rpartition(":")[0] for _, address in members} - {self.settings.ip}
        return self.drain_log.is_replicated(
            version, hosts, self.settings.tolerated_failures, self.config_service.replica.acceptor.may_vote()
        )

    def api_addresses_in_zone_of(self, backend_id: str) -> list[str]:
        """Ctl addresses of signalboxes in a backend's zone, if this one is of another; ports are alike."""
        life = self.heartbeats.registrations.get(backend_id)
        if life is None or life.zone == self.settings.zone:
            return []
        hosts = [c.host for c in self.known_peers.voters(now_ns()) if c.zone == life.zone]
        return [f"{host}:{self.settings.bind['ctl'][1]}" for host in hosts]

    # -- what wakes a pull

    def on_update(self, event: KeyUpdate) -> None:
        if event.key.startswith(BACKENDS):
            self.wake_waiting_pulls()

    def on_commit(self, value: CommittedValue) -> None:
        self.wake_waiting_pulls()

    def wake_waiting_pulls(self) -> None:
        waiting, self.waiting_pulls = self.waiting_pulls, set()
        for one in waiting:
            if not one.done():
                one.set_result(None)

    # -- the inner door

    async def handle_peer_request(self, scope: Any, receive: Any, send: Any) -> None:
        body = await read_body(receive, MAX_BODY_BYTES)
        if isinstance(body, BodyError):
            return await send_response(send, 413)
        try:
            match scope["path"]:
                case "/pull":
                    return await send_response(
                        send, 200, await self.handle_pull(post.decode_pull_request(body)), []
                    )
                case "/letter":
                    return await send_response(send, 200, await self.config_service.handle_request(body), [])
                case "/status":
                    return await send_response(send, 200, json.dumps(self.status()).encode())
        except post.DECODE_ERRORS as trouble:
            log.warning("a call without sense: {}", trouble)
            return await send_response(send, 400)
        except sqlite3.Error as trouble:
            log.warning("the disk refuses: {}", trouble)
            return await send_response(send, 503)
        await send_response(send, 404)

    async def handle_pull(self, pull: post.PullRequest) -> bytes:
        now = now_ns()
        self.known_peers.merge(now, [pull.sender, *pull.peers])
        self.record_acknowledgement(pull)
        if pull.load_report:
            self.zone_load_sums.setdefault(pull.sender.zone, LoadReport()).merge(pull.load_report)
        end = asyncio.get_running_loop().time() + min(pull.max_wait_ms, MAX_PULL_WAIT_MS) / 1000
        pieces = self.gossip.deltas_since(pull.version_vector, pull.sender.incarnation)
        while not self.must_reply_now(pieces, pull):
            if (left := end - asyncio.get_running_loop().time()) <= 0:
                break
            waiting: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self.waiting_pulls.add(waiting)
            await asyncio.wait([waiting], timeout=left)
            self.waiting_pulls.discard(waiting)
            if (
                not pull.sender.is_voter
                and self.committed.version <= pull.config_version
                and not self.shutting_down
            ):
                await asyncio.sleep(
                    min(PROXY_BATCHING_DELAY_S, max(0.0, end - asyncio.get_running_loop().time()))
                )
            pieces = self.gossip.deltas_since(pull.version_vector, pull.sender.incarnation)
        while self.needs_config(pull) and self.compressed_config[0] != self.committed.version:
            await self.compress_config()
        sure, acceptor = self.holds_lease(), self.config_service.replica.acceptor
        table = self.compressed_config if self.needs_config(pull) else None
        cards = tuple(self.known_peers.shuffle_sample()[1:]) if pull.peers else ()
        known = self.known_peers.peers.get(pull.sender.host)
        if known is not None and known.record.heartbeat > pull.sender.heartbeat:
            cards = (*cards, known.record)  # its last life's: it will raise its own above that
        if pull.epoch_number is None:
            return post.PullReply(self.known_peers.local, cards, tuple(pieces), sure, table).encode()
        newer = acceptor.installed and acceptor.epoch.number > pull.epoch_number
        return post.PullReply(
            self.known_peers.local,
            cards,
            tuple(pieces),
            sure,
            table,
            acceptor.query_reply(),
            acceptor.epoch if newer else None,
            acceptor.digest_history() if table else (),
        ).encode()

    async def compress_config(self) -> None:
        """Compresses the configuration held, once for all who lack it."""
        held = self.committed
        if self.compression is None or self.compression[0] != held.version:
            self.compression = held.version, self.tasks.start(run_cooperatively(compress_steps(held.value)))
        version, task = self.compression
        self.compressed_config = version, await asyncio.shield(task)

    @property
    def committed(self) -> CommittedValue:
        return self.config_service.replica.acceptor.committed

    def needs_config(self, pull: post.PullRequest) -> bool:
        """Whether the asker is to be given the configuration. What is chosen is so for good, and signalboxes
        tell each other at once; to a junction nothing is handed out without a lease: it may be old."""
        return self.committed.version > pull.config_version and (
            pull.epoch_number is not None or self.holds_lease()
        )

    def record_acknowledgement(self, pull: post.PullRequest) -> None:
        """What another disk has of the own drains. A card older than what is known of its host is its last
        life's, whose receipts say nothing of the disk that is there now."""
        known = self.known_peers.peers.get(pull.sender.host)
        if (
            pull.drain_acknowledgement is not None
            and pull.sender.is_voter
            and known is not None
            and known.record.incarnation == pull.sender.incarnation
        ):
            self.drain_log.on_acknowledgement(pull.sender.host, *pull.drain_acknowledgement)
            self.drain_service.notify_waiters()

    def must_reply_now(self, updates: list[SourceDelta], pull: post.PullRequest) -> bool:
        return (
            self.shutting_down
            or self.needs_config(pull)
            or self.incarnation
            not in pull.version_vector  # the asker has never heard of this life: it is in touch at once
            or any(key.startswith(BACKENDS) for p in updates for _, key, _ in p.changes)
        )

    def holds_lease(self) -> bool:
        """Whether what is held here is new: this signalbox has its lease."""
        return not self.shutting_down and self.config_service.replica.holds_lease(now_ns())

    # -- pulls of others' news

    async def pull_from(self, host: str, port: int) -> None:
        """Pulls from one signalbox until it is no longer known."""
        peer, turn, source = self.peer_client(host, port), 0, ""
        try:
            while any(c.host == host for c in self.known_peers.voters()) or self.is_seed(host):
                cards = tuple(self.known_peers.shuffle_sample()[1:]) if turn % 5 == 0 else ()
                pull = post.PullRequest(
                    self.known_peers.local,
                    cards or (self.known_peers.local,) if turn % 5 == 0 else (),
                    self.gossip.remote_version_vector(),
                    self.committed.version,
                    PULL_WAIT_MS if self.drain_log.is_caught_up(source) else ACK_PENDING_PULL_WAIT_MS,
                    epoch_number=self.config_service.replica.acceptor.newest_epoch().number,
                    drain_acknowledgement=self.drain_log.acknowledgement(source),
                )
                asked, sure = now_ns(), self.holds_lease()
                try:
                    news = post.decode_pull_reply(await peer.call(b"/pull", pull.encode(), PULL_TIMEOUT_S))
                    version, packed = news.config or (0, b"")
                    held = CommittedValue(
                        version,
                        await run_cooperatively(decompress_steps(packed, MAX_BODY_BYTES)) if version else b"",
                    )
                except (RequestError, ValueError) as trouble:
                    log.debug("no news: {}", trouble)
                    await asyncio.sleep(0.2 if self.holds_lease() else 0.05)
                    continue
                turn += 1
                now = now_ns()
                self.known_peers.merge(now, [news.sender, *news.peers])
                for piece in news.deltas:
                    self.gossip.apply(now, piece)
                source = news.sender.incarnation
                replica, now = self.config_service.replica, now_ns()
                if news.epoch is not None:
                    replica.on_epoch(now, news.epoch)
                if news.config is not None:
                    replica.on_committed_value(now, held, news.decided_digests)
                if news.acceptor_state is not None:
                    replica.on_query_reply(now, asked, news.acceptor_state)
                self.config_service.run_effects()
                if self.holds_lease() and not sure:
                    self.wake_waiting_pulls()  # whoever waits for a table may have it now
                await self.drain_service.wait_until(
                    partial(self.drain_log.is_caught_up, source), DRAIN_WRITE_WAIT_S
                )
        finally:
            self.pulled_addresses.discard((host, port))

    def is_seed(self, host: str) -> bool:
        return any(host == seed for seed, _ in self.settings.seeds)

    def start_pulls(self) -> None:
        """Begins to pull from each signalbox that is known, and from seeds that nobody speaks for."""
        at = [(c.host, c.port) for c in self.known_peers.voters()]
        for address in [
            *at,
            *self.known_peers.undiscovered_seeds(self.settings.seeds, self.settings.peer_port),
        ]:
            if address not in self.pulled_addresses and address[0] != self.settings.ip:
                self.pulled_addresses.add(address)
                self.tasks.start(self.pull_from(*address))

    # -- from time to time

    async def run_maintenance(self) -> None:
        self.tick()
        kept = {ident: post.encode(value) for ident, value in self.heartbeats.durable_values().items()}
        if kept.keys() != self.stored_backends.keys():
            await asyncio.get_running_loop().run_in_executor(
                self.config_service.disk_executor, self.config_service.store.save_backend_hints, kept
            )
            self.stored_backends = kept

    def tick(self) -> None:
        now = now_ns()
        self.known_peers.advance_heartbeat()
        self.known_peers.expire(now)
        self.gossip.expire_sources(now)
        self.heartbeats.tick(now)
        self.backends.refresh_all()
        self.drain_log.tick(now, self.backends.is_draining_or_gone, self.gossip.sources)
        self.drain_service.start_pending_write()
        self.backends.changed_ids.clear()
        self.tick_count += 1
        if self.tick_count % SUMMARY_INTERVAL_TICKS == 0:
            log.info(
                "sure {}, {} members, {} lives call here, {} known",
                self.holds_lease(),
                len(self.known_peers.peers),
                len(self.heartbeats.registrations),
                len(self.backends.instances),
            )
        self.gossip.publish("pulse", self.tick_count)
        covers_ms = (now - self.load_sums_since_ns) // 1_000_000
        self.load_sums_since_ns = now
        for zone, sums in self.zone_load_sums.items():
            if sums or self.gossip.sources[self.incarnation].entries.get(FIGURES + zone, (0, None))[1]:
                self.gossip.publish(FIGURES + zone, [covers_ms, *sums.pack()] if sums else None)
        self.zone_load_sums = {zone: LoadReport() for zone in self.zone_load_sums}

    def status(self) -> dict[str, Any]:
        return {
            "node": self.settings.node,
            **self.config_service.replica.status(now_ns()),
            "members": [
                [k.record.name, k.record.host, k.record.zone, k.record.is_voter, k.record.heartbeat]
                for k in self.known_peers.peers.values()
            ],
            "sources": self.gossip.version_vector(),
            "backends": self.backends.summary(),
        }

    # -- the outer door

    async def handle_api_request(self, scope: Any, receive: Any, send: Any) -> None:
        most = min(MAX_BODY_BYTES, int(self.settings.memory_mb * 1e6 * SINGLE_BODY_MEMORY_RATIO))
        body = await read_body(receive, most, self.body_memory, BODY_TIMEOUT_S)
        if isinstance(body, BodyError):
            return await send_response(
                send, {BodyError.TOO_LARGE: 413, BodyError.OUT_OF_MEMORY: 503}.get(body, 408)
            )
        name, _, ident = scope["path"].removeprefix("/api/").partition("/")
        act = self.api_routes.get((scope["method"], name))
        if act is None or not scope["path"].startswith("/api/"):
            return await send_response(send, 404, b'{"err":"there is no such call"}')
        try:
            found = await act(ident, body)
        except sqlite3.Error as trouble:
            log.warning("the disk refuses: {}", trouble)
            return await send_response(send, 503, b'{"err":"the disk refuses"}')
        headers = [(b"content-type", b"application/json")]
        if found.retry_after_s:
            headers.append((b"retry-after", f"{found.retry_after_s:g}".encode()))
        await send_response(send, found.status, found.body, headers)

    def reload_settings(self) -> None:
        """Reads the settings again: the seeds may be others now."""
        try:
            self.settings = load_settings()
        except SettingsError as trouble:
            log.warning("settings not taken, the old ones stand: {}", trouble)

    async def serve(self, shutdown_requested: asyncio.Future[None]) -> None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload_settings)
        inner, ctl = self.peer_server, self.api_server
        await inner.listen(self.settings.ip, self.settings.peer_port)
        await self.config_service.start()
        await ctl.listen(*self.settings.bind["ctl"])
        log.info("{} serves", self.settings.node)
        self.start_pulls()
        self.tasks.start(self.tasks.run_periodically(1.0, self.run_maintenance))
        self.tasks.start(self.tasks.run_periodically(0.25, self.start_pulls))
        await asyncio.wait([shutdown_requested, self.tasks.fatal_error], return_when=asyncio.FIRST_COMPLETED)
        if self.tasks.fatal_error.done():
            self.tasks.fatal_error.result()
        log.info("told to end")
        self.shutting_down = True
        loop = asyncio.get_running_loop()
        start, grace_s = loop.time(), self.settings.bounds.grace_s
        ctl.drain()
        self.wake_waiting_pulls()
        # What stands here alone is handed over before the others hear no more of this disk.
        handed = await self.config_service.hand_over(int(grace_s / 2 * 1e9))
        log.info("handed over: {}", type(handed).__name__)
        inner.drain()
        self.wake_waiting_pulls()
        while loop.time() < start + min(1.5, grace_s / 2) and (ctl.pending_count() or inner.pending_count()):
            await asyncio.sleep(0.05)


async def serve(settings: NodeSettings, shutdown_requested: asyncio.Future[None]) -> None:
    await ControlPlaneServer(settings).serve(shutdown_requested)


def main() -> int:
    return run_program(serve)
