"""The junction's process: its doors, its pulls of news, each request's way to a backend and back."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import time
from typing import Any
from uuid import uuid4

import xxhash

from meadowworks.attempts.retry_policy import ANSWERED, CANCELLED, UNRUN, come_back_ns
from meadowworks.config.route_table import Route, RouteTable, load_route_table_steps
from meadowworks.forwarding.attempts import PACE_NS, Forward, Journey, Refuse, Send, Step, policy, way
from meadowworks.forwarding.connection_pool import Yard
from meadowworks.forwarding.latency_estimate import delays, reach, suffices
from meadowworks.forwarding.memory_budget import Room, Share
from meadowworks.forwarding.retry_budget import Budget
from meadowworks.forwarding.staleness import Picture
from meadowworks.gossip import messages as post
from meadowworks.gossip.peer_sampling import PartialView, PeerRecord
from meadowworks.gossip.updates import KeyUpdate, UpdateStore
from meadowworks.load_balancing.load_reports import PREFIX as FIGURES
from meadowworks.load_balancing.load_reports import Sums
from meadowworks.load_balancing.service import Met, Service
from meadowworks.proxy.control_plane_selection import Upstream
from meadowworks.proxy.upstream_attempt import Request, Tried, attempt, back_headers, on_headers
from meadowworks.registry.backends import BackendDirectory, BackendInstance
from meadowworks.registry.heartbeats import DRAINING
from meadowworks.runtime import logging as logs
from meadowworks.runtime.cooperative import Steps, decompress_steps, run_cooperatively
from meadowworks.runtime.errors import InvariantViolation, RequestError, SettingsError
from meadowworks.runtime.http_connection import ClientConnection, Response
from meadowworks.runtime.http_server import BodyError, HttpServer, read_body, send_response
from meadowworks.runtime.node_settings import NodeSettings, load_settings
from meadowworks.runtime.peer_client import Peer
from meadowworks.runtime.process import Tasks, now_ns, run

MS, SECOND = 1_000_000, 1_000_000_000
PULL_MS, PULL_S = 1000, 1.6
FIRST_S = 0.1  # that the first reply is waited for, and twice as long each time: who has power again is asked
PAUSE_S, PAUSE_MOST_S = 0.02, 0.3  # between two questions while there is no table
TABLE_MOST = 64 << 20  # bytes of a configuration
POLLS_S = 2.3  # that connections may still come for after readyz says no: two polls a second apart
TICK_S = 0.25  # the controllers' own turns come every half second
BODY_S = 30.0  # that a body in parts may take, if its client names no time
BODIES, CLIENTS = 0.4, 0.6  # parts: of memory that bodies and answers may take, of descriptors for clients
SUMMARY_S = 10.0  # between the log's lines of counters
SETTLE_NS = 3 * SECOND  # that one who is sure is waited for, and then until every service has a backend
HELD = 0.25  # part of a route's target that a request may be held without an offer to a backend
STALE_NS = 300 * MS  # in which one who is sure may be found again
log = logs.get_logger("junction")


class Junction:
    def __init__(self, boot: NodeSettings) -> None:
        self.boot = boot
        self.life = f"{boot.node}.{uuid4().hex[:8]}"
        card = PeerRecord(boot.node, boot.ip, boot.peer_port, boot.zone, False, self.life, int(time.time()))
        self.members = PartialView(card, random.getrandbits(32))
        self.news = UpdateStore(self.life)
        self.lives = BackendDirectory(lambda name: self.news.silence_ns(now_ns(), name), now_ns)
        self.news.update_listeners += [self.lives.on_update, self.figures]
        self.upstream = Upstream(boot.zone)
        self.peers: dict[tuple[str, int], Peer] = {}
        self.table: RouteTable | None = None
        self.services: dict[str, Service] = {}
        self.budgets: dict[str, Budget] = {}
        self.yard: Yard[ClientConnection] = Yard()
        self.sums, self.own = Sums(), Sums()
        self.picture = Picture()
        self.born_ns = now_ns()
        self.listed_ns = 0  # when the first list was taken as one to serve by
        self.turn, self.hold_ms, self.wait_s, self.pause_s = 0, PULL_MS, FIRST_S, PAUSE_S
        self.ready = self.leaving = False
        self.random = random.Random()
        self.counts: dict[str, int] = {}
        self.prices: dict[str, dict[str, int]] = {}  # by route: what its operator pays for
        self.summed: dict[str, int] = {}  # counts when they were last logged
        self.tasks = Tasks()
        self.room = Room(int(boot.memory_mb * 1e6 * BODIES))
        self.door = HttpServer(self.app, max_connections=int(boot.max_fds * CLIENTS))
        self.polls, self.inner = HttpServer(self.readyz), HttpServer(self.asked, incarnation=self.life)

    # -- what is known

    def figures(self, event: KeyUpdate) -> None:
        """The figures of a zone, as a signalbox has added them up."""
        zone = event.key.removeprefix(FIGURES)
        if not event.key.startswith(FIGURES) or event.value is None or zone not in self.boot.zones:
            return
        try:
            covers_ms, met, asked = event.value
            self.heard(zone, int(covers_ms), met, dict(asked))
        except (TypeError, ValueError) as trouble:
            log.warning("figures without sense: {}", trouble)

    def heard(self, zone: str, covers_ms: int, met: Any, asked: dict[str, int]) -> None:
        now, place = now_ns(), self.boot.zones.index(zone)
        by_service: dict[str, dict[str, Met]] = {}
        for ident, tries, bad, spent, told, running, waiting in met:
            if known := self.lives.instances.get(ident):
                mean = int(spent * MS / max(1, tries - bad))
                waits = waiting / told if told else -1.0
                by_service.setdefault(known.service, {})[ident] = Met(tries, bad, mean, waits)
                if told:
                    self.yard.figures(now, ident, (running + waiting) / told)
        for name, service in self.services.items():
            service.heard(now, place, by_service.get(name, {}), asked.get(name, 0), max(1, covers_ms) * MS)

    def take_table(self, table: RouteTable) -> None:
        """A version comes into force, whole: what begins from now on goes by it. Never an older one."""
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        limits = self.door.state.limits
        limits.max_header_bytes, limits.header_timeout_s = (
            table.max_header_bytes,
            table.header_timeout_ms / 1000,
        )
        limits.idle_timeout_s = table.idle_timeout_ms / 1000
        for name in table.max_connections:
            target_ns = int(table.latency_targets_ms.get(name, 1000.0) * MS) or SECOND
            if name in self.services:
                self.services[name].aims(target_ns)
            else:
                self.services[name] = Service(
                    name, self.boot.zones, self.boot.zone, target_ns, self.random.getrandbits(32), now_ns()
                )
        log.info("version {:08x} is in force", table.version)
        self.lives.changed_ids |= set(self.lives.instances)
        self.relist()

    def relist(self) -> None:
        """Hands lives that have changed to their services' controllers."""
        if not self.lives.changed_ids:
            return
        for ident in self.lives.changed_ids:
            if (known := self.lives.instances.get(ident)) and known.state == DRAINING:
                log.info("{} drains", ident)
        self.lives.changed_ids.clear()
        listing, now = self.lives.instances_by_service(), now_ns()
        for name, service in self.services.items():
            service.listed(now, listing.get(name, []))
        self.yard.sweep(now, set(self.lives.instances))

    def is_ready(self) -> bool:
        now = now_ns()
        if self.leaving or self.table is None or not self.listed_ns:
            return False
        served = all(self.services[name].lines for name in self.table.latency_targets_ms)
        return served or now - self.listed_ns > SETTLE_NS

    def settle(self, now: int) -> None:
        """With nobody sure to be found the list that is there is served by, not spoken from."""
        if not self.listed_ns and (self.picture.ever or now - self.born_ns > SETTLE_NS):
            self.listed_ns = now

    # -- pulls

    def peer(self, host: str, port: int) -> Peer:
        return self.peers.setdefault((host, port), Peer(host, port))

    async def pulls(self) -> None:
        """Pulls for ever. A fault in one pull does not end the next: a junction that hears nothing any more
        would go on serving by what it has."""
        while True:
            try:
                await self.pull()
            except InvariantViolation:
                raise
            except Exception:
                log.exception("a pull failed")
                self.hold_ms = 0
                await asyncio.sleep(0.5)

    async def pull(self) -> None:
        """One question to one signalbox, and what its reply tells."""
        now = now_ns()
        seeds = self.members.undiscovered_seeds(self.boot.seeds, self.boot.peer_port)
        at = self.upstream.choose(now, self.members.voters(), seeds)
        if at is None:
            await asyncio.sleep(0.2)
            return
        cards = (self.members.local,) if self.turn % 5 == 0 else ()
        sums, self.sums = self.sums, Sums()
        pull = post.PullRequest(
            self.members.local,
            cards,
            self.news.remote_version_vector(),
            self.table.version if self.table else 0,
            self.hold_ms,
            sums.pack() if sums else None,
        )
        asked_ns = now_ns()
        try:
            news = post.decode_pull_reply(await self.peer(*at).call(b"/pull", pull.encode(), self.wait_s))
            table = await run_cooperatively(self.unpacked(news.config[1])) if news.config else None
        except (RequestError, *post.DECODE_ERRORS) as trouble:
            log.info("no news from {}: {}", at[0], trouble)
            self.sums.add(sums.pack())
            self.upstream.failed(now_ns(), at[0])
            self.hold_ms = 0  # the picture has grown old: the next reply is wanted at once
            self.wait_s = min(PULL_S, self.wait_s * 2)
            await asyncio.sleep(0.1 if self.table else self.pause())
            return
        self.turn, self.wait_s, now = self.turn + 1, PULL_S, now_ns()
        self.members.merge(now, [news.sender, *news.peers])
        for piece in news.deltas:
            self.news.apply(now, piece)
        if table is not None:
            self.take_table(table)
        self.relist()
        if not news.has_lease:
            # Guards against one that is cut off from the others and goes on telling what is old.
            self.upstream.failed(now, at[0])
            self.hold_ms = 0 if self.hold_ms or self.table is None else PULL_MS
            self.wait_s = PULL_S if self.table else FIRST_S
            await asyncio.sleep(0.05 if self.table else self.pause())
        else:
            self.hold_ms = PULL_MS
        self.picture.told(asked_ns, news.has_lease)
        self.settle(now)

    def pause(self) -> float:
        """Seconds until a junction without a table asks again: longer each time."""
        self.pause_s = min(PAUSE_MOST_S, self.pause_s * 1.5)
        return self.pause_s

    def unpacked(self, packed: bytes) -> Steps[RouteTable]:
        body = yield from decompress_steps(packed, TABLE_MOST)
        return (yield from load_route_table_steps(body))

    # -- from time to time

    def second(self) -> None:
        now = now_ns()
        self.members.advance_heartbeat()
        self.members.expire(now)
        self.news.expire_sources(now)
        self.lives.refresh_all()
        self.relist()
        self.settle(now)
        own, self.own = self.own, Sums()
        mine = self.boot.zones.index(self.boot.zone)
        if any(service.late(now, mine) for service in self.services.values()):
            self.heard(self.boot.zone, 1000, own.pack()[0], own.asked)
        self.yard.sweep(now, set(self.lives.instances))

    def summary(self) -> None:
        """Counters, if there is anything to tell since the last time."""
        if self.counts != self.summed or self.door.pending_count():
            log.info("answers {}, {} at work", self.counts, self.door.pending_count())
            self.summed = dict(self.counts)
        windows = {name: budget.window(now_ns()) for name, budget in self.budgets.items()}
        if any(map(any, windows.values())):
            log.info("further tries of requests in the window: {}", windows)

    def half(self) -> None:
        now = now_ns()
        for service in self.services.values():
            service.tick(now)
            for note in service.notes:
                log.info("{}: {}", service.name, note)
            service.notes.clear()

    # -- a request

    async def app(self, scope: Any, receive: Any, send: Any) -> None:
        came = now_ns()
        table = self.table
        if table is None:
            return await self.refused(send, Refuse(503, 300 * MS))
        host, ident, deadline = "", None, None
        for name, value in scope["headers"]:
            if name == b"host":
                host = value.decode("latin-1")
            elif name == b"x-request-id":
                ident = value
            elif name == b"x-deadline-ms":
                deadline = value
        within_s = min(BODY_S, milliseconds(deadline, BODY_S * 1000) / 1000)
        body = await read_body(receive, table.max_body_bytes, self.room, within_s)
        if isinstance(body, BodyError):
            self.count(f"bodies {body.counter}")
            if body is BodyError.OUT_OF_MEMORY:
                return await self.refused(send, Refuse(503, SECOND))
            status = 413 if body is BodyError.TOO_LARGE else 408
            return await send_response(
                send, status, json.dumps({"err": f"the body is {body.value}"}).encode()
            )
        target: bytes = scope["target"]
        route = table.find_route(host, target.partition(b"?")[0].decode("latin-1"))
        if route is None and not self.picture.fresh(now_ns()):
            # Guards against a table of before a cut or a freeze, which may lack a route that exists.
            return await self.refused(send, Refuse(503, STALE_NS))
        if route is None:
            return await send_response(send, 404, b'{"err":"there is no such route"}')
        limit_ns = came + int(min(route.deadline_ms, milliseconds(deadline, route.deadline_ms)) * MS)
        request = Request(scope["method"].encode(), target, on_headers(scope["headers"]), body, ident)
        chance = xxhash.xxh32_intdigest(ident) / 2**32 if ident else self.random.random()
        caller = scope.get("connection")
        if caller is not None and caller.disconnected:
            return self.count("clients gone")
        share = Share(self.room)
        try:
            if not share.take(len(body)):
                return await self.refused(send, Refuse(503, SECOND))
            found = await self.travel(route, route.pick_service(chance), request, limit_ns, share, caller)
            if caller is not None and caller.disconnected:
                return self.count("clients gone")
            if isinstance(found, Refuse):
                return await self.refused(send, found)
            self.count(str(found.status))
            await send_response(
                send, found.status, found.body, back_headers(found), table.idle_timeout_ms / 1000
            )
        except TimeoutError:  # guards against one that takes nothing of its answer, which is held for it
            self.price(route, "broken off midway")
            if caller is not None:
                caller.transport.abort()
        finally:
            share.give()

    async def travel(
        self, route: Route, name: str, request: Request, limit_ns: int, share: Share, caller: Any = None
    ) -> Response | Refuse:
        """The final answer of a request, whose bytes are taken out of the share. `caller` is the connection
        that it came on."""
        now = now_ns()
        service = self.services[name]
        budget = self.budgets.get(name)
        if budget is None:
            bounds = self.boot.bounds
            budget = self.budgets[name] = Budget(bounds.retry_ratio, int(bounds.retry_window_s * SECOND))
        budget.request(now)
        self.sums.came(name)
        self.own.came(name)
        if service.level < 1 and self.random.random() >= service.level:
            self.count("let in no more")
            return Refuse(503, come_back_ns(PACE_NS, service.level, self.random.random()))
        jammed, target_ns = service.retry == 0, route.target_ms * MS
        journey = Journey(
            way(route.safe, limit_ns - now, int(target_ns)),
            policy(route.safe, route.max_attempts, jammed),
            limit_ns,
        )
        again = lambda: budget.take(now_ns())  # noqa: E731
        offered = False  # to a backend, over a connection that was up
        tasks: dict[asyncio.Task[Tried], int] = {}
        replies: dict[int, Response | None] = {}
        lines: dict[int, float] = {}
        waits: dict[int, float] = {}

        def left() -> None:
            if journey.left():
                for task in tasks:
                    task.cancel()
                    self.price(route, "ended, its client gone")

        step: Step = journey.start(now, *self.seen(service, target_ns, now)[:2], self.random.random())
        try:
            if caller is not None:
                caller.on_disconnect = left
            while True:
                if isinstance(step, Forward):
                    reply = replies[step.number]
                    assert reply is not None
                    return reply
                if isinstance(step, Refuse):
                    if tasks and not journey.gone:
                        self.price(route, "broken off")
                    elif not offered and now_ns() - now > target_ns * HELD:
                        self.price(route, "held without an offer")
                    if step.status != 503 and not offered and not tasks:
                        self.price(route, f"{step.status} without an offer")
                    return step
                if isinstance(step, Send):
                    backend = self.lives.instances[service.places.names[step.place]]
                    tasks[self.tasks.start(self.attempt(backend, request, limit_ns, share))] = step.number
                until = journey.wait(now_ns()).until_ns
                done, _ = await asyncio.wait(
                    tasks, timeout=max(0.0, (until - now_ns()) / 1e9), return_when=asyncio.FIRST_COMPLETED
                )
                later = now_ns()
                if answered := next((t for t in done if whole(t)), None):
                    done = {answered}  # the client gets it: there is nothing to choose
                else:
                    lines, waits, free = self.seen(service, target_ns, later)
                if not done:
                    step = journey.due(later, lines, waits, self.random.random(), again, free)
                    continue
                for task in done:
                    number = tasks.pop(task)
                    tried = Tried(CANCELLED, None, 0) if task.cancelled() else task.result()
                    replies[number] = tried.reply
                    offered = offered or tried.state != UNRUN or tried.reply is not None
                    step = journey.ended(
                        later, number, tried.state, tried.status, lines, waits, self.random.random(), again
                    )
                    if isinstance(step, Forward):
                        break
        finally:
            if caller is not None:
                caller.on_disconnect = None
            # Guards against tries that nobody waits for, at backends that never answer.
            for task in tasks:
                self.tasks.bound(task, (limit_ns - now_ns()) / 1e9, share.give)

    async def attempt(self, backend: BackendInstance, request: Request, limit_ns: int, share: Share) -> Tried:
        busy = self.yard.busy(now_ns(), backend.instance_id, backend.zone == self.boot.zone)
        if backend.zone != self.boot.zone:
            self.count("tries abroad")
        tried = await attempt(self.yard, backend, request, limit_ns, share.take)
        good = tried.state == ANSWERED
        for sums in (self.sums, self.own):
            sums.tried(backend.instance_id, good, tried.spent_ns / MS)
            if tried.load is not None:
                sums.loaded(backend.instance_id, *tried.load)
        if good and tried.reply is not None:
            if service := self.services.get(backend.service):
                service.answered(len(tried.reply.body))
            self.yard.answered(backend.instance_id, tried.spent_ns, busy, backend.capacity)
        if tried.over:
            log.info("{} is over: another answers at its address", backend.instance_id)
            self.lives.mark_superseded(backend.instance_id)
            self.relist()
        return tried

    def seen(
        self, service: Service, target_ns: float, now: int
    ) -> tuple[dict[int, float], dict[int, float], bool]:
        """The lines that a request may take now, how long each would take, and whether a slot is free."""
        names = service.places.names
        kept: dict[int, float] = {}
        own: dict[int, float] = {}
        abroad: dict[int, float] = {}
        busy: dict[int, float] = {}
        needs: dict[int, float] = {}
        for lines in (service.lines, service.abroad):
            if lines is service.abroad and suffices(own, busy, needs):
                return own, delays(own, busy, needs), True
            for place, weight in lines.items():
                ident = names[place]
                known = self.lives.instances.get(ident)
                if known is None or not known.accepts_requests:
                    continue  # the table is a moment behind the list
                home = known.zone == self.boot.zone
                if lines is service.lines:
                    kept[place] = weight
                if self.yard.avoided(now, ident):
                    continue
                found = own if home else abroad
                found[place] = max(weight, found.get(place, 0.0))
                busy[place] = self.yard.busy(now, ident, home)
                if (need := self.yard.stall(ident).needs) is not None:
                    needs[place] = need
        lines, waits, free = reach(own, abroad, busy, needs, target_ns, service.size)
        return (lines, waits, free) if lines else (kept, {}, False)

    def price(self, route: Route, what: str) -> None:
        prices = self.prices.setdefault(route.name, {})
        prices[what] = prices.get(what, 0) + 1

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    async def refused(self, send: Any, refuse: Refuse) -> None:
        self.count(f"own {refuse.status}")
        headers = [(b"content-type", b"application/json")]
        if refuse.back_ns:
            headers.append((b"retry-after", f"{refuse.back_ns / 1e9:.3f}".encode()))
        await send_response(send, refuse.status, b'{"err":"no backend answered"}', headers)

    # -- other doors

    async def readyz(self, scope: Any, receive: Any, send: Any) -> None:
        await send_response(send, 200 if self.is_ready() else 503)

    async def asked(self, scope: Any, receive: Any, send: Any) -> None:
        await read_body(receive, 65536)
        if scope["path"] != "/status":
            return await send_response(send, 404)
        await send_response(send, 200, json.dumps(self.status()).encode())

    def status(self) -> dict[str, Any]:
        return {
            "node": self.boot.node,
            "ready": self.is_ready(),
            "fresh": self.picture.fresh(now_ns()),
            "version": f"{self.table.version if self.table else 0:08x}",
            "answers": self.counts,
            "prices": self.prices,
            "services": {
                name: {
                    **s.why(now_ns()),
                    "further tries": self.budgets[name].window(now_ns()) if name in self.budgets else [0, 0],
                }
                for name, s in self.services.items()
            },
            "backends": self.lives.summary(),
        }

    def again(self) -> None:
        """Reads the settings again: the seeds may be others now."""
        try:
            self.boot = load_settings()
        except SettingsError as trouble:
            log.warning("settings not taken, the old ones stand: {}", trouble)

    async def serve(self, told: asyncio.Future[None]) -> None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.again)
        await self.inner.listen(self.boot.ip, self.boot.peer_port)
        await self.polls.listen(*self.boot.bind["readyz"])
        await self.door.listen(*self.boot.bind["http"])
        log.info("{} serves", self.boot.node)
        self.tasks.start(self.pulls())
        self.tasks.start(self.tasks.every(1.0, self.second))
        self.tasks.start(self.tasks.every(TICK_S, self.half))
        self.tasks.start(self.tasks.every(SUMMARY_S, self.summary))
        await asyncio.wait([told, self.tasks.broken], return_when=asyncio.FIRST_COMPLETED)
        if self.tasks.broken.done():
            self.tasks.broken.result()
        await self.leave()

    async def leave(self) -> None:
        """Says that it is not ready, serves whom the platform still sends, then ends what is idle, and itself
        when nothing is at work any more."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        self.leaving = True
        log.info("told to end: {} at work, answers {}", self.door.pending_count(), self.counts)
        self.door.drain()
        await asyncio.sleep(min(POLLS_S, self.boot.bounds.grace_s / 2))
        self.door.shutdown()
        while self.door.pending_count() and loop.time() - start < self.boot.bounds.grace_s - 0.3:
            await asyncio.sleep(0.02)
        self.door.close()
        await asyncio.sleep(0.02)


def whole(task: asyncio.Task[Tried]) -> bool:
    """Whether a try has ended with an answer for the client."""
    return not task.cancelled() and task.result().state == ANSWERED


def milliseconds(text: bytes | None, otherwise: float) -> float:
    try:
        return float(text) if text is not None else otherwise
    except ValueError:
        return otherwise


async def serve(boot: NodeSettings, told: asyncio.Future[None]) -> None:
    await Junction(boot).serve(told)


def main() -> int:
    return run(serve)
