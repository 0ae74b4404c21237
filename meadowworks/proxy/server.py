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

from meadowworks.attempts.retry_policy import ANSWERED, CANCELLED, NEVER_RAN, retry_after_ns
from meadowworks.config.route_table import Route, RouteTable, load_route_table_steps
from meadowworks.forwarding.connection_pool import ConnectionPool
from meadowworks.forwarding.endpoint_selection import (
    NO_ENDPOINTS,
    EndpointChoices,
    choose_endpoints,
    estimate_delays,
    local_zone_suffices,
)
from meadowworks.forwarding.memory_budget import MemoryBudget, MemoryReservation
from meadowworks.forwarding.request_attempts import (
    RETRY_AFTER_BASE_NS,
    AttemptEnded,
    CancelAttempts,
    ClientDisconnected,
    ForwardResponse,
    RejectRequest,
    RequestAttempts,
    RequestReceived,
    SendAttempt,
    TimerExpired,
    choose_retry_policy,
    retry_rules,
)
from meadowworks.forwarding.retry_budget import RetryBudget
from meadowworks.forwarding.staleness import StalenessTracker
from meadowworks.gossip import messages as post
from meadowworks.gossip.peer_sampling import PartialView, PeerRecord
from meadowworks.gossip.updates import KeyUpdate, UpdateStore
from meadowworks.load_balancing.load_reports import LOAD_REPORT_PREFIX as FIGURES
from meadowworks.load_balancing.load_reports import LoadReport
from meadowworks.load_balancing.service_balancer import BackendLoad, ServiceBalancer
from meadowworks.proxy.control_plane_selection import ControlPlaneSelector
from meadowworks.proxy.http_headers import forwarded_request_headers, forwarded_response_headers, parse_ms
from meadowworks.proxy.upstream_attempt import AttemptResult, UpstreamRequest, send_attempt
from meadowworks.registry.backends import BackendDirectory, BackendInstance
from meadowworks.registry.heartbeats import DRAINING
from meadowworks.runtime import logging as logs
from meadowworks.runtime.cooperative import Steps, decompress_steps, run_cooperatively
from meadowworks.runtime.errors import InvariantError, RequestError, SettingsError
from meadowworks.runtime.http_connection import ClientConnection, Response
from meadowworks.runtime.http_server import BodyError, HttpServer, read_body, send_response
from meadowworks.runtime.node_settings import NodeSettings, load_settings
from meadowworks.runtime.peer_client import PeerClient
from meadowworks.runtime.process import BackgroundTasks, now_ns, run_program

MS, SECOND = 1_000_000, 1_000_000_000
LONG_POLL_MS, PULL_TIMEOUT_S = 1000, 1.6
FIRST_PULL_TIMEOUT_S = (
    0.1  # that the first reply is waited for, and twice as long each time: who has power again is asked
)
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.02, 0.3  # between two questions while there is no table
MAX_CONFIG_BYTES = 64 << 20  # bytes of a configuration
READINESS_DRAIN_S = 2.3  # that connections may still come for after readyz says no: two polls a second apart
POLICY_TICK_S = 0.25  # the controllers' own turns come every half second
BODY_TIMEOUT_S = 30.0  # that a body in parts may take, if its client names no time
BODY_MEMORY_SHARE, CLIENT_FD_SHARE = (
    0.4,
    0.6,
)  # parts: of memory that bodies and answers may take, of descriptors for clients
COUNTER_LOG_INTERVAL_S = 10.0  # between the log's lines of counters
STARTUP_GRACE_NS = (
    3 * SECOND
)  # that one who is sure is waited for, and then until every service has a backend
UNSENT_TARGET_SHARE = (
    0.25  # part of a route's target that a request may be held without an offer to a backend
)
STALE_RETRY_AFTER_NS = 300 * MS  # in which one who is sure may be found again
log = logs.get_logger("junction")


class ProxyServer:
    def __init__(self, settings: NodeSettings) -> None:
        self.settings = settings
        self.incarnation = f"{settings.node}.{uuid4().hex[:8]}"
        card = PeerRecord(
            settings.node,
            settings.ip,
            settings.peer_port,
            settings.zone,
            False,
            self.incarnation,
            int(time.time()),
        )
        self.known_peers = PartialView(card, random.getrandbits(32))
        self.gossip = UpdateStore(self.incarnation)
        self.backends = BackendDirectory(lambda name: self.gossip.silence_ns(now_ns(), name), now_ns)
        self.gossip.update_listeners += [self.backends.on_update, self.on_load_report]
        self.control_plane_selector = ControlPlaneSelector(settings.zone)
        self.peer_clients: dict[tuple[str, int], PeerClient] = {}
        self.route_table: RouteTable | None = None
        self.services: dict[str, ServiceBalancer] = {}
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.connection_pool: ConnectionPool[ClientConnection] = ConnectionPool()
        self.unsent_report, self.last_second_report = LoadReport(), LoadReport()
        self.staleness = StalenessTracker()
        self.started_ns = now_ns()
        self.first_listed_ns = 0  # when the first list was taken as one to serve by
        self.pull_count, self.long_poll_ms, self.pull_timeout_s, self.backoff_s = (
            0,
            LONG_POLL_MS,
            FIRST_PULL_TIMEOUT_S,
            MIN_BACKOFF_S,
        )
        self.ready = self.shutting_down = False
        self.random = random.Random()
        self.counters: dict[str, int] = {}
        self.route_failures: dict[str, dict[str, int]] = {}  # by route: what its operator pays for
        self.logged_counters: dict[str, int] = {}  # counts when they were last logged
        self.tasks = BackgroundTasks()
        self.memory_budget = MemoryBudget(int(settings.memory_mb * 1e6 * BODY_MEMORY_SHARE))
        self.http_server = HttpServer(
            self.handle_request, max_connections=int(settings.max_fds * CLIENT_FD_SHARE)
        )
        self.readiness_server, self.internal_server = (
            HttpServer(self.handle_readiness),
            HttpServer(self.handle_internal, incarnation=self.incarnation),
        )

    # -- what is known

    def on_load_report(self, event: KeyUpdate) -> None:
        """The figures of a zone, as a signalbox has added them up."""
        zone = event.key.removeprefix(FIGURES)
        if not event.key.startswith(FIGURES) or event.value is None or zone not in self.settings.zones:
            return
        try:
            covers_ms, met, asked = event.value
            self.apply_load_report(zone, int(covers_ms), met, dict(asked))
        except (TypeError, ValueError) as trouble:
            log.warning("figures without sense: {}", trouble)

    def apply_load_report(self, zone: str, covers_ms: int, met: Any, asked: dict[str, int]) -> None:
        now, place = now_ns(), self.settings.zones.index(zone)
        by_service: dict[str, dict[str, BackendLoad]] = {}
        for ident, tries, bad, spent, told, running, waiting in met:
            if known := self.backends.instances.get(ident):
                mean = int(spent * MS / max(1, tries - bad))
                waits = waiting / told if told else -1.0
                by_service.setdefault(known.service, {})[ident] = BackendLoad(tries, bad, mean, waits)
                if told:
                    self.connection_pool.record_zone_load(now, ident, (running + waiting) / told)
        for name, service in self.services.items():
            service.record_zone_report(
                now, place, by_service.get(name, {}), asked.get(name, 0), max(1, covers_ms) * MS
            )

    def apply_route_table(self, table: RouteTable) -> None:
        """A version comes into force, whole: what begins from now on goes by it. Never an older one."""
        if self.route_table is not None and table.version <= self.route_table.version:
            return
        self.route_table = table
        limits = self.http_server.state.limits
        limits.max_header_bytes, limits.header_timeout_s = (
            table.max_header_bytes,
            table.header_timeout_ms / 1000,
        )
        limits.idle_timeout_s = table.idle_timeout_ms / 1000
        for name in table.max_connections:
            target_ns = int(table.latency_targets_ms.get(name, 1000.0) * MS) or SECOND
            if name in self.services:
                self.services[name].set_latency_target(target_ns)
            else:
                self.services[name] = ServiceBalancer(
                    name,
                    self.settings.zones,
                    self.settings.zone,
                    target_ns,
                    self.random.getrandbits(32),
                    now_ns(),
                )
        log.info("version {:08x} is in force", table.version)
        self.backends.changed_ids |= set(self.backends.instances)
        self.refresh_endpoints()

    def refresh_endpoints(self) -> None:
        """Hands lives that have changed to their services' controllers."""
        if not self.backends.changed_ids:
            return
        for ident in self.backends.changed_ids:
            if (known := self.backends.instances.get(ident)) and known.state == DRAINING:
                log.info("{} drains", ident)
        self.backends.changed_ids.clear()
        listing, now = self.backends.instances_by_service(), now_ns()
        for name, service in self.services.items():
            service.update_backends(now, listing.get(name, []))
        self.connection_pool.evict(now, set(self.backends.instances))

    def is_ready(self) -> bool:
        now = now_ns()
        if self.shutting_down or self.route_table is None or not self.first_listed_ns:
            return False
        served = all(self.services[name].weights for name in self.route_table.latency_targets_ms)
        return served or now - self.first_listed_ns > STARTUP_GRACE_NS

    def mark_backends_listed(self, now: int) -> None:
        """With nobody sure to be found the list that is there is served by, not spoken from."""
        if not self.first_listed_ns and (
            self.staleness.ever_confirmed or now - self.started_ns > STARTUP_GRACE_NS
        ):
            self.first_listed_ns = now

    # -- pulls

    def peer_client(self, host: str, port: int) -> PeerClient:
        return self.peer_clients.setdefault((host, port), PeerClient(host, port))

    async def pull_forever(self) -> None:
        """Pulls for ever. A fault in one pull does not end the next: a junction that hears nothing any more
        would go on serving by what it has."""
        while True:
            try:
                await self.pull_once()
            except InvariantError:
                raise
            except Exception:
                log.exception("a pull failed")
                self.long_poll_ms = 0
                await asyncio.sleep(0.5)

    async def pull_once(self) -> None:
        """One question to one signalbox, and what its reply tells."""
        now = now_ns()
        seeds = self.known_peers.undiscovered_seeds(self.settings.seeds, self.settings.peer_port)
        at = self.control_plane_selector.choose(now, self.known_peers.voters(), seeds)
        if at is None:
            await asyncio.sleep(0.2)
            return
        cards = (self.known_peers.local,) if self.pull_count % 5 == 0 else ()
        sums, self.unsent_report = self.unsent_report, LoadReport()
        pull = post.PullRequest(
            self.known_peers.local,
            cards,
            self.gossip.remote_version_vector(),
            self.route_table.version if self.route_table else 0,
            self.long_poll_ms,
            sums.pack() if sums else None,
        )
        asked_ns = now_ns()
        try:
            news = post.decode_pull_reply(
                await self.peer_client(*at).call(b"/pull", pull.encode(), self.pull_timeout_s)
            )
            table = await run_cooperatively(self.decode_route_table(news.config[1])) if news.config else None
        except (RequestError, *post.DECODE_ERRORS) as trouble:
            log.info("no news from {}: {}", at[0], trouble)
            self.unsent_report.merge(sums.pack())
            self.control_plane_selector.mark_failed(now_ns(), at[0])
            self.long_poll_ms = 0  # the picture has grown old: the next reply is wanted at once
            self.pull_timeout_s = min(PULL_TIMEOUT_S, self.pull_timeout_s * 2)
            await asyncio.sleep(0.1 if self.route_table else self.next_backoff_s())
            return
        self.pull_count, self.pull_timeout_s, now = self.pull_count + 1, PULL_TIMEOUT_S, now_ns()
        self.known_peers.merge(now, [news.sender, *news.peers])
        for piece in news.deltas:
            self.gossip.apply(now, piece)
        if table is not None:
            self.apply_route_table(table)
        self.refresh_endpoints()
        if not news.has_lease:
            # Guards against one that is cut off from the others and goes on telling what is old.
            self.control_plane_selector.mark_failed(now, at[0])
            self.long_poll_ms = 0 if self.long_poll_ms or self.route_table is None else LONG_POLL_MS
            self.pull_timeout_s = PULL_TIMEOUT_S if self.route_table else FIRST_PULL_TIMEOUT_S
            await asyncio.sleep(0.05 if self.route_table else self.next_backoff_s())
        else:
            self.long_poll_ms = LONG_POLL_MS
        self.staleness.on_reply(asked_ns, news.has_lease)
        self.mark_backends_listed(now)

    def next_backoff_s(self) -> float:
        """Seconds until a junction without a table asks again: longer each time."""
        self.backoff_s = min(MAX_BACKOFF_S, self.backoff_s * 1.5)
        return self.backoff_s

    def decode_route_table(self, packed: bytes) -> Steps[RouteTable]:
        body = yield from decompress_steps(packed, MAX_CONFIG_BYTES)
        return (yield from load_route_table_steps(body))

    # -- from time to time

    def run_every_second(self) -> None:
        now = now_ns()
        self.known_peers.advance_heartbeat()
        self.known_peers.expire(now)
        self.gossip.expire_sources(now)
        self.backends.refresh_all()
        self.refresh_endpoints()
        self.mark_backends_listed(now)
        own, self.last_second_report = self.last_second_report, LoadReport()
        mine = self.settings.zones.index(self.settings.zone)
        if any(service.report_overdue(now, mine) for service in self.services.values()):
            self.apply_load_report(self.settings.zone, 1000, own.pack()[0], own.service_requests)
        self.connection_pool.evict(now, set(self.backends.instances))

    def log_counters(self) -> None:
        """Counters, if there is anything to tell since the last time."""
        if self.counters != self.logged_counters or self.http_server.pending_count():
            log.info("answers {}, {} at work", self.counters, self.http_server.pending_count())
            self.logged_counters = dict(self.counters)
        windows = {name: budget.window_counts(now_ns()) for name, budget in self.retry_budgets.items()}
        if any(map(any, windows.values())):
            log.info("further tries of requests in the window: {}", windows)

    def tick_policies(self) -> None:
        now = now_ns()
        for service in self.services.values():
            service.tick(now)
            for note in service.log_entries:
                log.info("{}: {}", service.name, note)
            service.log_entries.clear()

    # -- a request

    async def handle_request(self, scope: Any, receive: Any, send: Any) -> None:
        came = now_ns()
        table = self.route_table
        if table is None:
            return await self.send_rejection(send, RejectRequest(503, 300 * MS))
        host, ident, deadline = "", None, None
        for name, value in scope["headers"]:
            if name == b"host":
                host = value.decode("latin-1")
            elif name == b"x-request-id":
                ident = value
            elif name == b"x-deadline-ms":
                deadline = value
        within_s = min(BODY_TIMEOUT_S, parse_ms(deadline, BODY_TIMEOUT_S * 1000) / 1000)
        body = await read_body(receive, table.max_body_bytes, self.memory_budget, within_s)
        if isinstance(body, BodyError):
            self.increment(f"bodies {body.counter}")
            if body is BodyError.OUT_OF_MEMORY:
                return await self.send_rejection(send, RejectRequest(503, SECOND))
            status = 413 if body is BodyError.TOO_LARGE else 408
            return await send_response(
                send, status, json.dumps({"err": f"the body is {body.value}"}).encode()
            )
        target: bytes = scope["target"]
        route = table.find_route(host, target.partition(b"?")[0].decode("latin-1"))
        if route is None and not self.staleness.is_fresh(now_ns()):
            # Guards against a table of before a cut or a freeze, which may lack a route that exists.
            return await self.send_rejection(send, RejectRequest(503, STALE_RETRY_AFTER_NS))
        if route is None:
            return await send_response(send, 404, b'{"err":"there is no such route"}')
        limit_ns = came + int(min(route.deadline_ms, parse_ms(deadline, route.deadline_ms)) * MS)
        request = UpstreamRequest(
            scope["method"].encode(), target, forwarded_request_headers(scope["headers"]), body, ident
        )
        chance = xxhash.xxh32_intdigest(ident) / 2**32 if ident else self.random.random()
        caller = scope.get("connection")
        if caller is not None and caller.disconnected:
            return self.increment("clients gone")
        share = MemoryReservation(self.memory_budget)
        try:
            if not share.reserve(len(body)):
                return await self.send_rejection(send, RejectRequest(503, SECOND))
            found = await self.forward_request(
                route, route.pick_service(chance), request, limit_ns, share, caller
            )
            if caller is not None and caller.disconnected:
                return self.increment("clients gone")
            if isinstance(found, RejectRequest):
                return await self.send_rejection(send, found)
            self.increment(str(found.status))
            await send_response(
                send,
                found.status,
                found.body,
                forwarded_response_headers(found),
                table.idle_timeout_ms / 1000,
            )
        except TimeoutError:  # guards against one that takes nothing of its answer, which is held for it
            self.count_failure(route, "broken off midway")
            if caller is not None:
                caller.transport.abort()
        finally:
            share.release()

    async def forward_request(
        self,
        route: Route,
        name: str,
        request: UpstreamRequest,
        limit_ns: int,
        share: MemoryReservation,
        caller: Any = None,
    ) -> Response | RejectRequest:
        """The final answer of a request, whose bytes are taken out of the share. `caller` is the connection
        that it came on."""
        now = now_ns()
        service = self.services[name]
        budget = self.retry_budgets.get(name)
        if budget is None:
            bounds = self.settings.bounds
            budget = self.retry_budgets[name] = RetryBudget(
                bounds.retry_ratio, int(bounds.retry_window_s * SECOND)
            )
        budget.record_request(now)
        self.unsent_report.record_request(name)
        self.last_second_report.record_request(name)
        if service.admission_ratio < 1 and self.random.random() >= service.admission_ratio:
            self.increment("let in no more")
            return RejectRequest(
                503, retry_after_ns(RETRY_AFTER_BASE_NS, service.admission_ratio, self.random.random())
            )
        jammed, target_ns = service.max_retries == 0, route.target_ms * MS
        journey = RequestAttempts(
            retry_rules(route.safe, limit_ns - now, int(target_ns)),
            choose_retry_policy(route.safe, route.max_attempts, jammed),
            limit_ns,
            budget,
        )
        offered = False  # to a backend, over a connection that was up
        tasks: dict[asyncio.Task[AttemptResult], int] = {}
        replies: dict[int, Response | None] = {}
        choices = NO_ENDPOINTS

        def left() -> None:
            command = journey.handle_event(ClientDisconnected(), now_ns(), NO_ENDPOINTS, 0.0)
            if isinstance(command, CancelAttempts):
                for task in tasks:
                    task.cancel()
                    self.count_failure(route, "ended, its client gone")

        step = journey.handle_event(
            RequestReceived(), now, self.select_endpoints(service, target_ns, now), self.random.random()
        )
        try:
            if caller is not None:
                caller.on_disconnect = left
            while True:
                if isinstance(step, ForwardResponse):
                    reply = replies[step.number]
                    assert reply is not None
                    return reply
                if isinstance(step, RejectRequest):
                    if tasks and not journey.client_gone:
                        self.count_failure(route, "broken off")
                    elif not offered and now_ns() - now > target_ns * UNSENT_TARGET_SHARE:
                        self.count_failure(route, "held without an offer")
                    if step.status != 503 and not offered and not tasks:
                        self.count_failure(route, f"{step.status} without an offer")
                    return step
                if isinstance(step, SendAttempt):
                    backend = self.backends.instances[service.endpoint_ids.name_by_index[step.endpoint]]
                    tasks[self.tasks.start(self.run_attempt(backend, request, limit_ns, share))] = step.number
                until = journey.next_timer_ns(now_ns())
                done, _ = await asyncio.wait(
                    tasks, timeout=max(0.0, (until - now_ns()) / 1e9), return_when=asyncio.FIRST_COMPLETED
                )
                later = now_ns()
                if answered := next((t for t in done if is_answered(t)), None):
                    done = {answered}  # the client gets it: there is nothing to choose
                else:
                    choices = self.select_endpoints(service, target_ns, later)
                if not done:
                    step = journey.handle_event(TimerExpired(), later, choices, self.random.random())
                    continue
                for task in done:
                    number = tasks.pop(task)
                    tried = AttemptResult(CANCELLED, None, 0) if task.cancelled() else task.result()
                    replies[number] = tried.response
                    offered = offered or tried.outcome != NEVER_RAN or tried.response is not None
                    step = journey.handle_event(
                        AttemptEnded(number, tried.outcome, tried.status),
                        later,
                        choices,
                        self.random.random(),
                    )
                    if isinstance(step, ForwardResponse):
                        break
        finally:
            if caller is not None:
                caller.on_disconnect = None
            # Guards against tries that nobody waits for, at backends that never answer.
            for task in tasks:
                self.tasks.cancel_after(task, (limit_ns - now_ns()) / 1e9, share.release)

    async def run_attempt(
        self, backend: BackendInstance, request: UpstreamRequest, limit_ns: int, share: MemoryReservation
    ) -> AttemptResult:
        busy = self.connection_pool.load(backend.instance_id).estimate(
            now_ns(), backend.zone == self.settings.zone
        )
        if backend.zone != self.settings.zone:
            self.increment("tries abroad")
        tried = await send_attempt(self.connection_pool, backend, request, limit_ns, share.reserve)
        good = tried.outcome == ANSWERED
        for sums in (self.unsent_report, self.last_second_report):
            sums.record_attempt(backend.instance_id, good, tried.elapsed_ns / MS)
            if tried.backend_load is not None:
                sums.record_backend_load(backend.instance_id, *tried.backend_load)
        if good and tried.response is not None:
            if service := self.services.get(backend.service):
                service.record_response(len(tried.response.body))
            if load := self.connection_pool.known_load(backend.instance_id):
                load.record_service_time(tried.elapsed_ns, busy, backend.capacity)
        if tried.incarnation_ended:
            log.info("{} is over: another answers at its address", backend.instance_id)
            self.backends.mark_superseded(backend.instance_id)
            self.refresh_endpoints()
        return tried

    def select_endpoints(self, service: ServiceBalancer, target_ns: float, now: int) -> EndpointChoices:
        """The lines that a request may take now, how long each would take, and whether a slot is free."""
        names = service.endpoint_ids.name_by_index
        kept: dict[int, float] = {}
        own: dict[int, float] = {}
        abroad: dict[int, float] = {}
        busy: dict[int, float] = {}
        needs: dict[int, float] = {}
        for lines in (service.weights, service.remote_weights):
            if lines is service.remote_weights and local_zone_suffices(own, busy, needs):
                return EndpointChoices(own, estimate_delays(own, busy, needs))
            for place, weight in lines.items():
                ident = names[place]
                known = self.backends.instances.get(ident)
                if known is None or not known.accepts_requests:
                    continue  # the table is a moment behind the list
                home = known.zone == self.settings.zone
                if lines is service.weights:
                    kept[place] = weight
                load = self.connection_pool.load(ident)
                if load.is_avoided(now):
                    continue
                found = own if home else abroad
                found[place] = max(weight, found.get(place, 0.0))
                busy[place] = load.estimate(now, home)
                if (need := load.service_time_ns) is not None:
                    needs[place] = need
        choices = choose_endpoints(own, abroad, busy, needs, target_ns, service.response_bytes)
        return choices if choices.weights else EndpointChoices(kept, {}, False)

    def count_failure(self, route: Route, what: str) -> None:
        prices = self.route_failures.setdefault(route.name, {})
        prices[what] = prices.get(what, 0) + 1

    def increment(self, what: str) -> None:
        self.counters[what] = self.counters.get(what, 0) + 1

    async def send_rejection(self, send: Any, refuse: RejectRequest) -> None:
        self.increment(f"own {refuse.status}")
        headers = [(b"content-type", b"application/json")]
        if refuse.retry_after_ns:
            headers.append((b"retry-after", f"{refuse.retry_after_ns / 1e9:.3f}".encode()))
        await send_response(send, refuse.status, b'{"err":"no backend answered"}', headers)

    # -- other doors

    async def handle_readiness(self, scope: Any, receive: Any, send: Any) -> None:
        await send_response(send, 200 if self.is_ready() else 503)

    async def handle_internal(self, scope: Any, receive: Any, send: Any) -> None:
        await read_body(receive, 65536)
        if scope["path"] != "/status":
            return await send_response(send, 404)
        await send_response(send, 200, json.dumps(self.status()).encode())

    def status(self) -> dict[str, Any]:
        return {
            "node": self.settings.node,
            "ready": self.is_ready(),
            "fresh": self.staleness.is_fresh(now_ns()),
            "version": f"{self.route_table.version if self.route_table else 0:08x}",
            "answers": self.counters,
            "prices": self.route_failures,
            "services": {
                name: {
                    **s.explain(now_ns()),
                    "further tries": self.retry_budgets[name].window_counts(now_ns())
                    if name in self.retry_budgets
                    else [0, 0],
                }
                for name, s in self.services.items()
            },
            "backends": self.backends.summary(),
        }

    def reload_settings(self) -> None:
        """Reads the settings again: the seeds may be others now."""
        try:
            self.settings = load_settings()
        except SettingsError as trouble:
            log.warning("settings not taken, the old ones stand: {}", trouble)

    async def serve(self, shutdown_requested: asyncio.Future[None]) -> None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload_settings)
        await self.internal_server.listen(self.settings.ip, self.settings.peer_port)
        await self.readiness_server.listen(*self.settings.bind["readyz"])
        await self.http_server.listen(*self.settings.bind["http"])
        log.info("{} serves", self.settings.node)
        self.tasks.start(self.pull_forever())
        self.tasks.start(self.tasks.run_periodically(1.0, self.run_every_second))
        self.tasks.start(self.tasks.run_periodically(POLICY_TICK_S, self.tick_policies))
        self.tasks.start(self.tasks.run_periodically(COUNTER_LOG_INTERVAL_S, self.log_counters))
        await asyncio.wait([shutdown_requested, self.tasks.fatal_error], return_when=asyncio.FIRST_COMPLETED)
        if self.tasks.fatal_error.done():
            self.tasks.fatal_error.result()
        await self.shut_down()

    async def shut_down(self) -> None:
        """Says that it is not ready, serves whom the platform still sends, then ends what is idle, and itself
        when nothing is at work any more."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        self.shutting_down = True
        log.info("told to end: {} at work, answers {}", self.http_server.pending_count(), self.counters)
        self.http_server.drain()
        await asyncio.sleep(min(READINESS_DRAIN_S, self.settings.bounds.grace_s / 2))
        self.http_server.shutdown()
        while self.http_server.pending_count() and loop.time() - start < self.settings.bounds.grace_s - 0.3:
            await asyncio.sleep(0.02)
        self.http_server.close()
        await asyncio.sleep(0.02)


def is_answered(task: asyncio.Task[AttemptResult]) -> bool:
    """Whether a try has ended with an answer for the client."""
    return not task.cancelled() and task.result().outcome == ANSWERED


async def serve(settings: NodeSettings, shutdown_requested: asyncio.Future[None]) -> None:
    await ProxyServer(settings).serve(shutdown_requested)


def main() -> int:
    return run_program(serve)
