"""Execution of a request's attempts: the I/O for the decisions of `RequestAttempts`."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from meadowworks.attempts.retry_policy import ANSWERED, CANCELLED, NEVER_RAN, retry_after_ns
from meadowworks.config.route_table import Route
from meadowworks.forwarding.connection_pool import ConnectionPool
from meadowworks.forwarding.endpoint_selection import NO_ENDPOINTS, EndpointChoices
from meadowworks.forwarding.memory_budget import MemoryReservation
from meadowworks.forwarding.request_attempts import (
    RETRY_AFTER_BASE_NS,
    AttemptEnded,
    CancelAttempts,
    ClientDisconnected,
    Command,
    ForwardResponse,
    RejectRequest,
    RequestAttempts,
    RequestReceived,
    SendAttempt,
    TimerExpired,
    choose_retry_policy,
    route_retry_policy,
)
from meadowworks.forwarding.retry_budget import RetryBudget
from meadowworks.load_balancing.service_balancer import ServiceBalancer
from meadowworks.proxy import counters as counter_names
from meadowworks.proxy.control_plane_view import ControlPlaneView
from meadowworks.proxy.counters import ProxyCounters
from meadowworks.proxy.endpoint_selector import EndpointSelector
from meadowworks.proxy.load_reporting import LoadReporter
from meadowworks.proxy.upstream_attempt import AttemptResult, UpstreamRequest, send_attempt
from meadowworks.registry.backends import BackendInstance
from meadowworks.runtime.background_tasks import BackgroundTasks
from meadowworks.runtime.clock import now_ns
from meadowworks.runtime.http_connection import ClientConnection, Response
from meadowworks.runtime.live_settings import LiveSettings
from meadowworks.runtime.server_connection import HttpConnection

MS, SECOND = 1_000_000, 1_000_000_000
# A rejected request that reached no backend counts as a route failure if it took longer than this fraction of
# the route's latency target.
NO_BACKEND_TARGET_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class ClientContext:
    """The client of a request: its deadline, memory and connection.

    :param deadline_ns: the monotonic time until which the client waits
    :param memory: the body memory that the request and its response hold
    :param connection: the client's connection; None if it has closed already
    """

    deadline_ns: int
    memory: MemoryReservation
    connection: HttpConnection | None

    def is_disconnected(self) -> bool:
        """Return whether the client has disconnected."""
        return self.connection is not None and self.connection.disconnected


class Forwarder:
    """Forwarder of requests to backends."""

    def __init__(
        self,
        settings: LiveSettings,
        view: ControlPlaneView,
        pool: ConnectionPool[ClientConnection],
        selector: EndpointSelector,
        reporter: LoadReporter,
        counters: ProxyCounters,
        tasks: BackgroundTasks,
    ) -> None:
        self._settings = settings
        self._view = view
        self._pool = pool
        self._reporter = reporter
        self.selector = selector
        self.counters = counters
        self.tasks = tasks
        self.random = random.Random()
        self.retry_budgets: dict[str, RetryBudget] = {}  # by service

    async def forward(
        self, route: Route, service: str, request: UpstreamRequest, client: ClientContext
    ) -> Response | RejectRequest:
        """Return the final response to a request: a backend's response, or a rejection by the proxy."""
        now = now_ns()
        balancer = self._view.balancers[service]
        retry_budget = self._retry_budget(service)
        retry_budget.record_request(now)
        self._reporter.record_request(service)
        balancer.priority_admission.record_request(route.priority)
        admission_ratio = balancer.admission_ratio_of(route.priority)
        if admission_ratio < 1 and self.random.random() >= admission_ratio:
            self.counters.increment(counter_names.NOT_ADMITTED)
            return RejectRequest(
                503, retry_after_ns(RETRY_AFTER_BASE_NS, admission_ratio, self.random.random())
            )
        overloaded = balancer.max_retries == 0
        attempts = RequestAttempts(
            route_retry_policy(route.is_safe, client.deadline_ns - now, int(route.target_ms * MS)),
            choose_retry_policy(route.is_safe, route.max_attempts, overloaded),
            client.deadline_ns,
            retry_budget,
        )
        result = await AttemptRunner(self, attempts, balancer, route, request, client).run(now)
        if client.is_disconnected() and isinstance(result, RejectRequest):
            self._reporter.withdraw_request(service)
        return result

    def backend(self, balancer: ServiceBalancer, endpoint: int) -> BackendInstance:
        """Return the backend instance of an endpoint number."""
        return self._view.backends.instances[balancer.endpoint_ids.name_by_index[endpoint]]

    async def run_attempt(
        self, backend: BackendInstance, request: UpstreamRequest, client: ClientContext
    ) -> AttemptResult:
        """Send a request to a backend and record the result."""
        instance_id, same_zone = backend.instance_id, backend.zone == self._settings.current.zone
        load_before = self._pool.load(instance_id).estimate(now_ns(), same_zone)
        if not same_zone:
            self.counters.increment(counter_names.CROSS_ZONE_ATTEMPTS)
        result = await send_attempt(
            self._pool, backend, request, client.deadline_ns, client.memory.reserve, client.is_disconnected
        )
        self._reporter.record_attempt(instance_id, result)
        if result.outcome == ANSWERED and result.response is not None:
            self._record_response(backend, result.response, result.elapsed_ns, load_before)
        if result.instance_superseded:
            self._view.mark_superseded(instance_id)
        return result

    def retry_windows(self, now: int) -> dict[str, tuple[int, int]]:
        """Return the retries and requests in the window of each service's retry budget."""
        return {service: budget.window_counts(now) for service, budget in self.retry_budgets.items()}

    def _retry_budget(self, service: str) -> RetryBudget:
        if (budget := self.retry_budgets.get(service)) is None:
            bounds = self._settings.current.bounds
            window_ns = int(bounds.retry_window_s * SECOND)
            budget = self.retry_budgets[service] = RetryBudget(bounds.retry_ratio, window_ns)
        return budget

    def _record_response(
        self, backend: BackendInstance, response: Response, elapsed_ns: int, load_before: float
    ) -> None:
        if balancer := self._view.balancers.get(backend.service):
            balancer.record_response(len(response.body))
        if load := self._pool.find_load(backend.instance_id):
            load.record_service_time(elapsed_ns, load_before, backend.capacity)


class AttemptRunner:
    """Executor of the commands of `RequestAttempts` for one request."""

    __slots__ = (
        "_attempts",
        "_balancer",
        "_client",
        "_forwarder",
        "_reached_backend",
        "_request",
        "_responses",
        "_route",
        "_target_ns",
        "_tasks",
    )

    def __init__(
        self,
        forwarder: Forwarder,
        attempts: RequestAttempts,
        balancer: ServiceBalancer,
        route: Route,
        request: UpstreamRequest,
        client: ClientContext,
    ) -> None:
        self._forwarder = forwarder
        self._attempts = attempts
        self._balancer = balancer
        self._route = route
        self._target_ns = route.target_ms * MS
        self._request = request
        self._client = client
        self._tasks: dict[asyncio.Task[AttemptResult], int] = {}  # numbers of attempts in flight, by task
        self._responses: dict[int, Response | None] = {}  # responses of ended attempts, by number
        self._reached_backend = False  # whether any attempt may have reached a backend

    async def run(self, started_ns: int) -> Response | RejectRequest:
        """Return the response to the request, or the proxy's rejection.

        :param started_ns: when forwarding started
        """
        connection = self._client.connection
        command = self._handle(RequestReceived(), started_ns, self._choices(started_ns))
        try:
            if connection is not None:
                connection.on_disconnect = self._on_disconnect
            while True:
                if isinstance(command, ForwardResponse):
                    return self._response(command.number)
                if isinstance(command, RejectRequest):
                    self._count_rejection(command, started_ns)
                    return command
                if isinstance(command, SendAttempt):
                    self._send(command)
                command = await self._next_command()
        finally:
            if connection is not None:
                connection.on_disconnect = None
            self._abandon_attempts()

    def _handle(
        self, event: RequestReceived | AttemptEnded | TimerExpired, now: int, choices: EndpointChoices
    ) -> Command:
        return self._attempts.handle_event(event, now, choices, self._forwarder.random.random())

    def _choices(self, now: int) -> EndpointChoices:
        return self._forwarder.selector.select(self._balancer, self._target_ns, now)

    def _send(self, command: SendAttempt) -> None:
        forwarder = self._forwarder
        backend = forwarder.backend(self._balancer, command.endpoint)
        task = forwarder.tasks.start(forwarder.run_attempt(backend, self._request, self._client))
        self._tasks[task] = command.number

    async def _next_command(self) -> Command:
        """Wait for an attempt to end or for the timer to expire, and return the resulting command."""
        now = now_ns()
        timeout_s = max(0.0, (self._attempts.next_timer_ns(now) - now) / 1e9)
        done, _ = await asyncio.wait(self._tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        now = now_ns()
        for task in done:
            if is_answered(task):  # this response is forwarded, so no endpoint has to be chosen
                return self._on_attempt_ended(task, now, NO_ENDPOINTS)
        choices = self._choices(now)
        if not done:
            return self._handle(TimerExpired(), now, choices)
        command: Command | None = None
        for task in done:
            command = self._on_attempt_ended(task, now, choices)
            if isinstance(command, ForwardResponse):
                break
        assert command is not None
        return command

    def _on_attempt_ended(
        self, task: asyncio.Task[AttemptResult], now: int, choices: EndpointChoices
    ) -> Command:
        number = self._tasks.pop(task)
        result = AttemptResult(CANCELLED, None, 0) if task.cancelled() else task.result()
        self._responses[number] = result.response
        if result.outcome != NEVER_RAN or result.response is not None:
            self._reached_backend = True
        return self._handle(AttemptEnded(number, result.outcome, result.status), now, choices)

    def _on_disconnect(self) -> None:
        command = self._attempts.handle_event(ClientDisconnected(), now_ns(), NO_ENDPOINTS, 0.0)
        if not isinstance(command, CancelAttempts):
            return
        for task in self._tasks:
            task.cancel()
            self._count_failure(counter_names.CANCELLED_ON_DISCONNECT)

    def _response(self, number: int) -> Response:
        response = self._responses[number]
        assert response is not None
        return response

    def _count_failure(self, kind: str) -> None:
        self._forwarder.counters.count_route_failure(self._route.name, kind)

    def _count_rejection(self, rejection: RejectRequest, started_ns: int) -> None:
        in_flight = bool(self._tasks)
        if in_flight and not self._attempts.client_disconnected:
            self._count_failure(counter_names.ABANDONED_IN_FLIGHT)
        elif not self._reached_backend and now_ns() - started_ns > self._target_ns * NO_BACKEND_TARGET_SHARE:
            self._count_failure(counter_names.NO_BACKEND_REACHED)
        if rejection.status != 503 and not self._reached_backend and not in_flight:
            self._count_failure(counter_names.failure_without_backend(rejection.status))

    def _abandon_attempts(self) -> None:
        """Cancel the remaining attempts at the deadline. Prevents leaks if a backend never responds."""
        time_left_s = (self._client.deadline_ns - now_ns()) / 1e9
        for task in self._tasks:
            self._forwarder.tasks.cancel_after(task, time_left_s, self._client.memory.release)


def is_answered(task: asyncio.Task[AttemptResult]) -> bool:
    """Return whether an attempt ended with a response that goes to the client."""
    return not task.cancelled() and task.result().outcome == ANSWERED
