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

from meadowworks.consensus.register import Held
from meadowworks.controlplane.api import Backends, Config, routes
from meadowworks.controlplane.config_service import Office
from meadowworks.controlplane.drain_service import Fencing, read
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
from meadowworks.runtime.cooperative import compress_steps, decompress_steps, run_cooperatively
from meadowworks.runtime.errors import RequestError, SettingsError
from meadowworks.runtime.http_server import BodyError, HttpServer, RequestLimits, read_body, send_response
from meadowworks.runtime.node_settings import NodeSettings, load_settings
from meadowworks.runtime.peer_client import Peer
from meadowworks.runtime.process import Tasks, now_ns, run
from meadowworks.storage.sqlite_store import Disk

PULL_MS, PULL_S = 500, 1.5  # that a pull may be held back, and is waited for
HELD_BACK_MS = 1000  # at most, whatever a puller asks for
OWED_MS = 50  # that one is held back while a receipt is owed: it goes with the next
SYNC_S = 0.1  # that a receipt is waited for before the next pull goes without it
BATCH_S = 0.15  # that news of backends gather in before a junction is told: each telling costs every junction
SUMMARY_TURNS = 10  # seconds between the log's lines of counters
BODY_MOST = 64 << 20
BODY_S = 300.0  # that an operator's body may take: 7 MB over a line of 200 kbit/s; a part is waited for 30 s
BODIES = 0.25  # part of the memory that such bodies may take while they come
OWN_PART = 0.1  # of it that one may have: its check takes four times its size beside it
log = logs.get_logger("box")


class Signalbox:
    def __init__(self, boot: NodeSettings) -> None:
        self.boot = boot
        self.life = f"{boot.node}.{uuid4().hex[:8]}"
        card = PeerRecord(
            boot.node, boot.ip, boot.peer_port, boot.zone, boot.voting, self.life, int(time.time())
        )
        self.members = PartialView(card, random.getrandbits(32))
        self.news = UpdateStore(self.life)
        self.news.update_listeners.append(self.told)
        self.lives = BackendDirectory(lambda name: self.news.silence_ns(now_ns(), name), now_ns)
        self.news.update_listeners.append(self.lives.on_update)
        self.fences = DrainLog(self.life)
        self.news.update_listeners.append(lambda event: self.fences.on_update(now_ns(), event))
        self.news.version_listeners.append(self.fences.on_version)
        self.beats = HeartbeatRegistry(self.news.publish, boot.heartbeat_ms, self.fences.state, self.known)
        self.peers: dict[tuple[str, int], Peer] = {}
        self.pulling: set[tuple[str, int]] = set()
        self.waiting: set[asyncio.Future[None]] = set()
        self.sums: dict[str, LoadReport] = {}
        self.summed_ns = now_ns()
        self.pulse = 0
        self.leaving = False
        folder = boot.data_dir or tempfile.mkdtemp(prefix="meadowworks-")
        self.tasks = Tasks()
        self.office = Office(boot, Disk(folder), self.peer, self.learnt, self.tasks)
        self.kept = self.office.disk.lives()
        self.fencing = Fencing(self.fences, self.office.disk, self.office.thread, self.tasks.start)
        fenced = read(self.office.disk.fences())
        self.fences.restore(now_ns(), fenced)
        self.beats.restore(now_ns(), fenced | read(self.kept))
        self.backends = Backends(self.beats, self.fencing, self.held_by_enough, self.near, self.sure)
        self.routes = routes(self.backends, Config(self.office))
        self.inner_door = HttpServer(self.inner, RequestLimits(65536, 3.0, 30.0), incarnation=self.life)
        self.room = MemoryBudget(int(boot.memory_mb * 1e6 * BODIES))
        self.packed: tuple[int, bytes] = (0, b"")  # the version held and its configuration, compressed
        self.packing: tuple[int, asyncio.Task[bytes]] | None = None
        self.ctl_door = HttpServer(self.ctl, RequestLimits(65536, 3.0, 30.0))

    def peer(self, host: str, port: int) -> Peer:
        return self.peers.setdefault((host, port), Peer(host, port))

    def known(self, ident: str) -> bool:
        """Whether anyone has spoken of a backend."""
        return self.lives.is_known(ident) or ident in self.fences.records

    def held_by_enough(self, version: int) -> bool:
        """Of the epoch's members: whoever else may vote may be gone for good tomorrow."""
        members = self.office.replica.acceptor.newest().members
        hosts = {address.rpartition(":")[0] for _, address in members} - {self.boot.ip}
        return self.fences.is_replicated(
            version, hosts, self.boot.tolerated_failures, self.office.replica.acceptor.votes()
        )

    def near(self, ident: str) -> list[str]:
        """Ctl addresses of signalboxes in a backend's zone, if this one is of another; ports are alike."""
        life = self.beats.registrations.get(ident)
        if life is None or life.zone == self.boot.zone:
            return []
        hosts = [c.host for c in self.members.voters(now_ns()) if c.zone == life.zone]
        return [f"{host}:{self.boot.bind['ctl'][1]}" for host in hosts]

    # -- what wakes a pull

    def told(self, event: KeyUpdate) -> None:
        if event.key.startswith(BACKENDS):
            self.ring()

    def learnt(self, held: Held) -> None:
        self.ring()

    def ring(self) -> None:
        waiting, self.waiting = self.waiting, set()
        for one in waiting:
            if not one.done():
                one.set_result(None)

    # -- the inner door

    async def inner(self, scope: Any, receive: Any, send: Any) -> None:
        body = await read_body(receive, BODY_MOST)
        if isinstance(body, BodyError):
            return await send_response(send, 413)
        try:
            match scope["path"]:
                case "/pull":
                    return await send_response(
                        send, 200, await self.pulled(post.decode_pull_request(body)), []
                    )
                case "/letter":
                    return await send_response(send, 200, await self.office.asked(body), [])
                case "/status":
                    return await send_response(send, 200, json.dumps(self.status()).encode())
        except post.DECODE_ERRORS as trouble:
            log.warning("a call without sense: {}", trouble)
            return await send_response(send, 400)
        except sqlite3.Error as trouble:
            log.warning("the disk refuses: {}", trouble)
            return await send_response(send, 503)
        await send_response(send, 404)

    async def pulled(self, pull: post.PullRequest) -> bytes:
        now = now_ns()
        self.members.merge(now, [pull.sender, *pull.peers])
        self.receipt(pull)
        if pull.load_report:
            self.sums.setdefault(pull.sender.zone, LoadReport()).merge(pull.load_report)
        end = asyncio.get_running_loop().time() + min(pull.max_wait_ms, HELD_BACK_MS) / 1000
        pieces = self.news.deltas_since(pull.version_vector, pull.sender.incarnation)
        while not self.urgent(pieces, pull):
            if (left := end - asyncio.get_running_loop().time()) <= 0:
                break
            waiting: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self.waiting.add(waiting)
            await asyncio.wait([waiting], timeout=left)
            self.waiting.discard(waiting)
            if not pull.sender.is_voter and self.held.version <= pull.config_version and not self.leaving:
                await asyncio.sleep(min(BATCH_S, max(0.0, end - asyncio.get_running_loop().time())))
            pieces = self.news.deltas_since(pull.version_vector, pull.sender.incarnation)
        while self.lacks(pull) and self.packed[0] != self.held.version:
            await self.pack()
        sure, acceptor = self.sure(), self.office.replica.acceptor
        table = self.packed if self.lacks(pull) else None
        cards = tuple(self.members.shuffle_sample()[1:]) if pull.peers else ()
        known = self.members.peers.get(pull.sender.host)
        if known is not None and known.record.heartbeat > pull.sender.heartbeat:
            cards = (*cards, known.record)  # its last life's: it will raise its own above that
        if pull.epoch_number is None:
            return post.PullReply(self.members.local, cards, tuple(pieces), sure, table).encode()
        newer = acceptor.installed and acceptor.epoch.number > pull.epoch_number
        return post.PullReply(
            self.members.local,
            cards,
            tuple(pieces),
            sure,
            table,
            acceptor.seen(),
            acceptor.epoch if newer else None,
            acceptor.past() if table else (),
        ).encode()

    async def pack(self) -> None:
        """Compresses the configuration held, once for all who lack it."""
        held = self.held
        if self.packing is None or self.packing[0] != held.version:
            self.packing = held.version, self.tasks.start(run_cooperatively(compress_steps(held.content)))
        version, task = self.packing
        self.packed = version, await asyncio.shield(task)

    @property
    def held(self) -> Held:
        return self.office.replica.acceptor.held

    def lacks(self, pull: post.PullRequest) -> bool:
        """Whether the asker is to be given the configuration. What is chosen is so for good, and signalboxes
        tell each other at once; to a junction nothing is handed out without a lease: it may be old."""
        return self.held.version > pull.config_version and (pull.epoch_number is not None or self.sure())

    def receipt(self, pull: post.PullRequest) -> None:
        """What another disk has of the own drains. A card older than what is known of its host is its last
        life's, whose receipts say nothing of the disk that is there now."""
        known = self.members.peers.get(pull.sender.host)
        if (
            pull.drain_acknowledgement is not None
            and pull.sender.is_voter
            and known is not None
            and known.record.incarnation == pull.sender.incarnation
        ):
            self.fences.on_acknowledgement(pull.sender.host, *pull.drain_acknowledgement)
            self.fencing.moved()

    def urgent(self, pieces: list[SourceDelta], pull: post.PullRequest) -> bool:
        return (
            self.leaving
            or self.lacks(pull)
            or self.life
            not in pull.version_vector  # the asker has never heard of this life: it is in touch at once
            or any(key.startswith(BACKENDS) for p in pieces for _, key, _ in p.changes)
        )

    def sure(self) -> bool:
        """Whether what is held here is new: this signalbox has its lease."""
        return not self.leaving and self.office.replica.sure(now_ns())

    # -- pulls of others' news

    async def pull(self, host: str, port: int) -> None:
        """Pulls from one signalbox until it is no longer known."""
        peer, turn, source = self.peer(host, port), 0, ""
        try:
            while any(c.host == host for c in self.members.voters()) or self.is_seed(host):
                cards = tuple(self.members.shuffle_sample()[1:]) if turn % 5 == 0 else ()
                pull = post.PullRequest(
                    self.members.local,
                    cards or (self.members.local,) if turn % 5 == 0 else (),
                    self.news.remote_version_vector(),
                    self.held.version,
                    PULL_MS if self.fences.is_caught_up(source) else OWED_MS,
                    epoch_number=self.office.replica.acceptor.newest().number,
                    drain_acknowledgement=self.fences.acknowledgement(source),
                )
                asked, sure = now_ns(), self.sure()
                try:
                    news = post.decode_pull_reply(await peer.call(b"/pull", pull.encode(), PULL_S))
                    version, packed = news.config or (0, b"")
                    held = Held(
                        version,
                        await run_cooperatively(decompress_steps(packed, BODY_MOST)) if version else b"",
                    )
                except (RequestError, ValueError) as trouble:
                    log.debug("no news: {}", trouble)
                    await asyncio.sleep(0.2 if self.sure() else 0.05)
                    continue
                turn += 1
                now = now_ns()
                self.members.merge(now, [news.sender, *news.peers])
                for piece in news.deltas:
                    self.news.apply(now, piece)
                source = news.sender.incarnation
                replica, now = self.office.replica, now_ns()
                if news.epoch is not None:
                    replica.told(now, news.epoch)
                if news.config is not None:
                    replica.learn(now, held, news.decided_digests)
                if news.acceptor_state is not None:
                    replica.met(now, asked, news.acceptor_state)
                self.office.pump()
                if self.sure() and not sure:
                    self.ring()  # whoever waits for a table may have it now
                await self.fencing.until(partial(self.fences.is_caught_up, source), SYNC_S)
        finally:
            self.pulling.discard((host, port))

    def is_seed(self, host: str) -> bool:
        return any(host == seed for seed, _ in self.boot.seeds)

    def neighbours(self) -> None:
        """Begins to pull from each signalbox that is known, and from seeds that nobody speaks for."""
        at = [(c.host, c.port) for c in self.members.voters()]
        for address in [*at, *self.members.undiscovered_seeds(self.boot.seeds, self.boot.peer_port)]:
            if address not in self.pulling and address[0] != self.boot.ip:
                self.pulling.add(address)
                self.tasks.start(self.pull(*address))

    # -- from time to time

    async def second(self) -> None:
        self.turn()
        kept = {ident: post.encode(value) for ident, value in self.beats.durable_values().items()}
        if kept.keys() != self.kept.keys():
            await asyncio.get_running_loop().run_in_executor(
                self.office.thread, self.office.disk.keep_lives, kept
            )
            self.kept = kept

    def turn(self) -> None:
        now = now_ns()
        self.members.advance_heartbeat()
        self.members.expire(now)
        self.news.expire_sources(now)
        self.beats.tick(now)
        self.lives.refresh_all()
        self.fences.tick(now, self.lives.is_draining_or_gone, self.news.sources)
        self.fencing.wake()
        self.lives.changed_ids.clear()
        self.pulse += 1
        if self.pulse % SUMMARY_TURNS == 0:
            log.info(
                "sure {}, {} members, {} lives call here, {} known",
                self.sure(),
                len(self.members.peers),
                len(self.beats.registrations),
                len(self.lives.instances),
            )
        self.news.publish("pulse", self.pulse)
        covers_ms = (now - self.summed_ns) // 1_000_000
        self.summed_ns = now
        for zone, sums in self.sums.items():
            if sums or self.news.sources[self.life].entries.get(FIGURES + zone, (0, None))[1]:
                self.news.publish(FIGURES + zone, [covers_ms, *sums.pack()] if sums else None)
        self.sums = {zone: LoadReport() for zone in self.sums}

    def status(self) -> dict[str, Any]:
        return {
            "node": self.boot.node,
            **self.office.replica.status(now_ns()),
            "members": [
                [k.record.name, k.record.host, k.record.zone, k.record.is_voter, k.record.heartbeat]
                for k in self.members.peers.values()
            ],
            "sources": self.news.version_vector(),
            "backends": self.lives.summary(),
        }

    # -- the outer door

    async def ctl(self, scope: Any, receive: Any, send: Any) -> None:
        most = min(BODY_MOST, int(self.boot.memory_mb * 1e6 * OWN_PART))
        body = await read_body(receive, most, self.room, BODY_S)
        if isinstance(body, BodyError):
            return await send_response(
                send, {BodyError.TOO_LARGE: 413, BodyError.OUT_OF_MEMORY: 503}.get(body, 408)
            )
        name, _, ident = scope["path"].removeprefix("/api/").partition("/")
        act = self.routes.get((scope["method"], name))
        if act is None or not scope["path"].startswith("/api/"):
            return await send_response(send, 404, b'{"err":"there is no such call"}')
        try:
            found = await act(ident, body)
        except sqlite3.Error as trouble:
            log.warning("the disk refuses: {}", trouble)
            return await send_response(send, 503, b'{"err":"the disk refuses"}')
        headers = [(b"content-type", b"application/json")]
        if found.retry_s:
            headers.append((b"retry-after", f"{found.retry_s:g}".encode()))
        await send_response(send, found.status, found.body, headers)

    def again(self) -> None:
        """Reads the settings again: the seeds may be others now."""
        try:
            self.boot = load_settings()
        except SettingsError as trouble:
            log.warning("settings not taken, the old ones stand: {}", trouble)

    async def serve(self, told: asyncio.Future[None]) -> None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.again)
        inner, ctl = self.inner_door, self.ctl_door
        await inner.listen(self.boot.ip, self.boot.peer_port)
        await self.office.begin()
        await ctl.listen(*self.boot.bind["ctl"])
        log.info("{} serves", self.boot.node)
        self.neighbours()
        self.tasks.start(self.tasks.every(1.0, self.second))
        self.tasks.start(self.tasks.every(0.25, self.neighbours))
        await asyncio.wait([told, self.tasks.broken], return_when=asyncio.FIRST_COMPLETED)
        if self.tasks.broken.done():
            self.tasks.broken.result()
        log.info("told to end")
        self.leaving = True
        loop = asyncio.get_running_loop()
        start, grace_s = loop.time(), self.boot.bounds.grace_s
        ctl.drain()
        self.ring()
        # What stands here alone is handed over before the others hear no more of this disk.
        handed = await self.office.leave(int(grace_s / 2 * 1e9))
        log.info("handed over: {}", type(handed).__name__)
        inner.drain()
        self.ring()
        while loop.time() < start + min(1.5, grace_s / 2) and (ctl.pending_count() or inner.pending_count()):
            await asyncio.sleep(0.05)


async def serve(boot: NodeSettings, told: asyncio.Future[None]) -> None:
    await Signalbox(boot).serve(told)


def main() -> int:
    return run(serve)
