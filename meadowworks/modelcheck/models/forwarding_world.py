"""Model of a client's request through a proxy to two backends of a service.

It runs `RequestAttempts`, `check_response`, the connection pool and the directory of backends. Responses may
be lost, late, or belong to another request. A backend may drain, or stop and lose its address to a backend of
another service.

Running an attempt and answering it are separate steps, so a backend may run an attempt that the proxy has
abandoned. This checks every statement that a request has not run. The client may repeat its request under
another id, as the protocol allows.
"""

from __future__ import annotations

import pickle
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from meadowworks.attempts.retry_policy import FAILED, NEVER_RAN
from meadowworks.forwarding.connection_pool import ConnectionPool, EndpointPool
from meadowworks.forwarding.endpoint_selection import EndpointChoices
from meadowworks.forwarding.request_attempts import (
    MS,
    AttemptEnded,
    Command,
    Event,
    ForwardResponse,
    RejectRequest,
    RequestAttempts,
    RequestReceived,
    SendAttempt,
    TimerExpired,
    choose_retry_policy,
    route_retry_policy,
)
from meadowworks.forwarding.response_check import NOT_RUN_STATUSES, check_response
from meadowworks.forwarding.retry_budget import RetryBudget
from meadowworks.gossip.updates import KeyUpdate
from meadowworks.modelcheck.model import Step
from meadowworks.modelcheck.models.forwarding_scenarios import ADDRESSES, INSTANCES, ForwardingScenario
from meadowworks.registry.backends import BackendDirectory

OTHER_INSTANCE = "c"  # of another service; takes the address of a stopped instance
# Maps the kind of a step, which counterexample files store, to the method that carries it out.
STEP_METHODS: dict[str, str] = {
    "run": "run_attempt",
    "answer": "answer_attempt",
    "surplus": "send_surplus_response",
    "reset": "reset_connection",
    "due": "expire_timer",
    "repeat": "repeat_request",
    "drain": "drain_instance",
    "reuse": "reuse_address",
}
SERVICE, OTHER_SERVICE = "s", "t"
DEADLINE_MS, TARGET_MS = 1000, 200


@dataclass(eq=False)
class ModelConnection:
    """A connection to the instance that had the address when the connection was opened."""

    number: int
    instance: str
    is_open: bool = True
    request_count: int = 0

    def is_usable(self) -> bool:
        """Return whether the connection may carry another request."""
        return self.is_open

    def close(self) -> None:
        """Close the connection."""
        self.is_open = False


@dataclass
class AttemptInFlight:
    """An attempt of a request, and how often its instance has run it."""

    request: int
    number: int
    instance: str
    connection: ModelConnection
    run_count: int = 0
    awaited: bool = True  # whether the proxy is waiting for the response
    promised_not_run: bool = False  # whether the backend guaranteed that it will not run


@dataclass
class ClientRequest:
    """A request and the response that its client received."""

    attempts: RequestAttempts
    status: int = 0  # 0: no response yet
    response_owner: str = ""  # id of the request that the response belongs to


@dataclass
class ForwardingWorld:
    """A proxy, two backends and a client."""

    scenario: ForwardingScenario
    outcomes: list[tuple[Any, ...]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.now = 0
        self.pool: ConnectionPool[ModelConnection] = ConnectionPool()
        self.backends = BackendDirectory(self.source_silence_ns, self.clock)
        self.instance_by_address = dict(zip(ADDRESSES, INSTANCES, strict=True))
        self.requests: list[ClientRequest] = []
        self.in_flight: list[AttemptInFlight] = []
        self.retry_budget = RetryBudget(0.0, 10_000 * MS)
        self.connection_count = 0
        self.client_retries = self.scenario.client_retries
        self.surplus_responses = self.scenario.surplus_responses
        self.draining: tuple[str, ...] = ()  # the instances that the proxy was told are draining
        self.violations: tuple[str, ...] = ()  # names of the violated properties
        for instance, address in zip(INSTANCES, ADDRESSES, strict=True):
            self.publish(instance, address, "up")
        if self.scenario.idle_connection:
            self.pool.load("a").in_flight += 1
            connection = self.open_connection("a")
            connection.request_count = 1
            self.pool.release(0, "a", connection, 60)
            self.pool.load("a").in_flight -= 1
        self.start_request()

    def source_silence_ns(self, source: str) -> int:  # noqa: ARG002
        """Return 0: no source is silent."""
        return 0

    def clock(self) -> int:
        """Return the world's time."""
        return self.now

    def publish(self, instance: str, address: str, state: str, service: str = SERVICE) -> None:
        """Apply an update about an instance to the proxy's directory."""
        self.backends.on_update(
            KeyUpdate("box", f"b/{instance}", [service, address, "home", 2.0, state, 1, 0, 0])
        )

    def open_connection(self, instance: str) -> ModelConnection:
        """Open a connection to an instance."""
        self.connection_count += 1
        return ModelConnection(self.connection_count, instance)

    # -- the proxy, wired as in `Forwarder`

    def choices(self) -> EndpointChoices:
        """Return the endpoints that a request may go to."""
        weights = {
            endpoint: 1.0
            for endpoint, instance in enumerate(INSTANCES)
            if (backend := self.backends.instances.get(instance))
            and backend.accepts_requests
            and not self.is_avoided(instance)
        }
        return EndpointChoices(weights, {endpoint: 100.0 * MS for endpoint in weights})

    def is_avoided(self, instance: str) -> bool:
        """Return whether an instance was recently unreachable."""
        load = self.pool.find_load(instance)
        return load is not None and load.is_avoided(self.now)

    def start_request(self) -> None:
        """Start a request of the client."""
        safe = self.scenario.safe
        deadline_ns = self.now + DEADLINE_MS * MS
        attempts = RequestAttempts(
            route_retry_policy(safe, DEADLINE_MS * MS, TARGET_MS * MS),
            choose_retry_policy(safe, self.scenario.max_attempts, False),
            deadline_ns,
            self.retry_budget,
        )
        self.retry_budget.record_request(self.now)
        self.requests.append(ClientRequest(attempts))
        self.run_command(len(self.requests) - 1, self.handle_event(attempts, RequestReceived()))

    def handle_event(self, attempts: RequestAttempts, event: Event) -> Command:
        """Pass an event to a request's attempts and return their command."""
        return attempts.handle_event(event, self.now, self.choices(), 0.0)

    def run_command(self, r: int, command: Command) -> None:
        """Execute a command of `RequestAttempts`."""
        request = self.requests[r]
        match command:
            case SendAttempt(number, endpoint):
                self.send_attempt(r, number, INSTANCES[endpoint])
            case RejectRequest(status):
                self.answer_client(r, status, "")
            case ForwardResponse(number):
                self.answer_client(r, *self.responses[r, number])
        if request.status:
            for attempt in self.in_flight:
                if attempt.request == r:
                    attempt.awaited = False

    responses: dict[tuple[int, int], tuple[int, str]] = field(default_factory=dict)

    def answer_client(self, r: int, status: int, owner: str) -> None:
        """Record a client's response and the properties that it violates."""
        self.requests[r].status, self.requests[r].response_owner = status, owner
        ran = any(attempt.request == r and attempt.run_count for attempt in self.in_flight)
        if status == 200 and owner != f"r{r}":
            self.violations += ("own answer",)
        if not self.scenario.safe and status in NOT_RUN_STATUSES and ran:
            self.violations += ("promises kept",)

    def send_attempt(self, r: int, number: int, instance: str) -> None:
        """Send an attempt, or end it at once if no connection can be opened."""
        if instance in self.draining:
            self.violations += ("drains kept",)
        self.pool.load(instance).in_flight += 1
        connection = self.pool.acquire(self.now, instance)
        if connection is None:
            address = ADDRESSES[INSTANCES.index(instance)]
            if address not in self.instance_by_address:  # no instance has the address: connecting fails
                self.pool.load(instance).mark_unreachable(self.now)
                self.pool.load(instance).in_flight -= 1
                self.on_attempt_ended(r, number, NEVER_RAN, 0)
                return
            connection = self.open_connection(self.instance_by_address[address])
        connection.request_count += 1
        self.in_flight.append(AttemptInFlight(r, number, instance, connection))

    def on_attempt_ended(self, r: int, number: int, outcome: int, status: int) -> None:
        """Report the result of an attempt to its request."""
        event = AttemptEnded(number, outcome, status)
        self.run_command(r, self.handle_event(self.requests[r].attempts, event))

    def finish_attempt(self, attempt: AttemptInFlight) -> None:
        """End an attempt on the proxy's side."""
        self.in_flight = [
            other if other is not attempt else replace(other, awaited=False) for other in self.in_flight
        ]
        self.pool.load(attempt.instance).in_flight -= 1

    # -- steps

    def enabled(self) -> Iterable[Step]:
        """Return the steps that can be taken in this state."""
        steps: list[Step] = []
        for k, attempt in enumerate(self.in_flight):
            alive = attempt.connection.instance in self.instance_by_address.values()
            if alive and not attempt.run_count and not attempt.promised_not_run:
                steps.append(("run", k))
            if attempt.awaited:
                steps.append(("reset", k))
                if alive:
                    steps += [("answer", k, status) for status in self.possible_statuses(attempt)]
                if self.surplus_responses and attempt.connection.is_open:
                    steps += [("surplus", k, status, 1) for status in (200, 421)]
                    if attempt.connection.request_count > 1:
                        steps.append(("surplus", k, 503, 0))
        for r, request in enumerate(self.requests):
            if not request.status and any(other.request == r and other.awaited for other in self.in_flight):
                steps.append(("due", r))
        last = self.requests[-1]
        if (
            self.client_retries
            and last.status
            and (last.status in NOT_RUN_STATUSES or self.scenario.safe and last.status >= 500)
        ):
            steps.append(("repeat",))
        if self.scenario.may_drain:
            steps += [("drain", instance) for instance in INSTANCES if instance not in self.draining]
        if self.scenario.reuses_address and OTHER_INSTANCE not in self.instance_by_address.values():
            steps += [("reuse", endpoint) for endpoint in range(len(INSTANCES))]
        return steps

    def possible_statuses(self, attempt: AttemptInFlight) -> tuple[int, ...]:
        """Return the statuses that a backend may answer with.

        0 stands for a 503 which states that the request did not run.
        """
        if attempt.connection.instance != attempt.instance:
            return (421,)
        return (200, 500, 503) if attempt.run_count else (0,)

    def take_step(self, step: Step) -> None:
        """Take one of the enabled steps."""
        self.outcomes = [step]
        kind, *args = step
        getattr(self, STEP_METHODS[kind])(*args)

    def run_attempt(self, k: int) -> None:
        """Let a backend run an attempt."""
        attempt = self.in_flight[k]
        if attempt.connection.instance != attempt.instance:
            return  # the other service's backend answers 421 without running it
        attempt.run_count += 1
        request = self.requests[attempt.request]
        if not self.scenario.safe:
            if sum(other.run_count for other in self.in_flight if other.request == attempt.request) > 1:
                self.violations += ("at most once",)
            if request.status in NOT_RUN_STATUSES:
                self.violations += ("promises kept",)

    def answer_attempt(self, k: int, status: int, owner: str = "", is_surplus: bool = False) -> None:
        """Deliver a response to an attempt.

        :param owner: id of the request that the response names; "" for the attempt's own, "nobody" for none
        :param is_surplus: whether the response belongs to an earlier request on the connection
        """
        attempt = self.in_flight[k]
        request_id, connection = owner or f"r{attempt.request}", attempt.connection
        headers = {} if owner == "nobody" else {b"x-request-id": request_id.encode()}
        if status == 200:
            headers[b"x-backend-seal"] = b"seal"
        if status == 421:
            headers[b"x-backend-id"] = connection.instance.encode()
        if not status:
            headers[b"x-not-run"] = b"full"
        own_id, expected_instance = f"r{attempt.request}".encode(), attempt.instance.encode()
        verdict = check_response(
            own_id, expected_instance, status or 503, headers.get, connection.request_count == 1
        )
        if verdict.connection_reusable and not is_surplus:
            self.pool.release(self.now, attempt.instance, connection, 60)
        else:
            connection.close()
        if not is_surplus and status in (0, 421):
            attempt.promised_not_run = True
        self.finish_attempt(attempt)
        if verdict.instance_superseded:
            self.backends.mark_superseded(attempt.instance)
        self.responses = {**self.responses, (attempt.request, attempt.number): (status or 503, request_id)}
        self.on_attempt_ended(
            attempt.request, attempt.number, verdict.outcome, (status or 503) if verdict.is_valid else 0
        )

    def send_surplus_response(self, k: int, status: int, has_id: int) -> None:
        """Deliver a late response to an earlier request in place of the attempt's own.

        A 503 states that a request did not run, without naming the request.
        """
        self.surplus_responses -= 1
        self.answer_attempt(k, 0 if status == 503 else status, "r-before" if has_id else "nobody", True)

    def reset_connection(self, k: int) -> None:
        """Reset the connection of an attempt."""
        attempt = self.in_flight[k]
        attempt.connection.close()
        self.finish_attempt(attempt)
        self.on_attempt_ended(attempt.request, attempt.number, FAILED, 0)

    def expire_timer(self, r: int) -> None:
        """Advance the time to a request's next timer and let it expire."""
        attempts = self.requests[r].attempts
        self.now = max(self.now, attempts.next_timer_ns(self.now))
        self.run_command(r, self.handle_event(attempts, TimerExpired()))

    def repeat_request(self) -> None:
        """Let the client repeat its request under another id."""
        self.client_retries -= 1
        self.now += 100 * MS
        self.start_request()

    def drain_instance(self, instance: str) -> None:
        """Deliver to the proxy the update that an instance is draining."""
        self.draining += (instance,)
        self.publish(instance, ADDRESSES[INSTANCES.index(instance)], "draining")

    def reuse_address(self, endpoint: int) -> None:
        """Stop a backend without notice and give its address to another service's backend."""
        self.instance_by_address[ADDRESSES[endpoint]] = OTHER_INSTANCE

    # -- states

    def freeze(self) -> bytes:
        """Return the pickled world, without the last outcomes and the bound methods of its directory."""
        outcomes, self.outcomes = self.outcomes, []
        silence_ns, clock = self.backends.source_silence_ns, self.backends.clock
        self.backends.source_silence_ns = self.backends.clock = None  # type: ignore[assignment]
        try:
            return pickle.dumps(self, pickle.HIGHEST_PROTOCOL)
        finally:
            self.outcomes = outcomes
            self.backends.source_silence_ns, self.backends.clock = silence_ns, clock

    def key(self) -> Any:
        """Return a value that is equal for worlds in the same state."""
        return (
            self.scenario.name,
            self.now,
            self.client_retries,
            self.surplus_responses,
            self.draining,
            self.violations,
            tuple(sorted(self.instance_by_address.items())),
            tuple(sorted(self.backends.superseded)),
            tuple([request_key(request) for request in self.requests]),
            tuple([attempt_key(attempt) for attempt in self.in_flight]),
            tuple([(instance, *pool_key(pool)) for instance, pool in sorted(self.pool.endpoints.items())]),
            tuple(self.retry_budget.retries),
        )


def request_key(request: ClientRequest) -> tuple[Any, ...]:
    """Return a value that identifies the state of a request."""
    attempts = request.attempts
    states = [
        (n, attempt.backend, attempt.state, attempt.wait_until_ns) for n, attempt in attempts.attempts.items()
    ]
    failures = tuple(attempts.backend_failures.items())
    return request.status, request.response_owner, attempts.latest_hedge_ns, tuple(states), failures


def connection_key(connection: ModelConnection) -> tuple[Any, ...]:
    """Return a value that identifies the state of a connection."""
    return connection.number, connection.instance, connection.is_open, connection.request_count


def attempt_key(attempt: AttemptInFlight) -> tuple[Any, ...]:
    """Return a value that identifies the state of an attempt."""
    return (
        attempt.request,
        attempt.number,
        attempt.instance,
        *connection_key(attempt.connection),
        attempt.run_count,
        attempt.awaited,
        attempt.promised_not_run,
    )


def pool_key(pool: EndpointPool[ModelConnection]) -> tuple[Any, ...]:
    """Return a value that identifies the state of an endpoint's pool."""
    idle = tuple([(until_ns, *connection_key(connection)) for until_ns, connection in pool.idle])
    return pool.load.in_flight, pool.load.avoided_until_ns, idle


def thaw(state: bytes) -> ForwardingWorld:
    """Rebuild a world from the result of `freeze`."""
    world: ForwardingWorld = pickle.loads(state)
    world.backends.source_silence_ns, world.backends.clock = world.source_silence_ns, world.clock
    return world
