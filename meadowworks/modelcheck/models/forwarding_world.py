"""Model of one client's request through a proxy, among two backends of a service.

It drives `RequestAttempts`, `check_response`, the connection pool and the directory of backends. Responses
are lost, late, or those of another request; a backend drains, or ends, and its address goes to another
service's.

An attempt's run and its response are steps of their own, so that an attempt which was given up may run
afterwards: a promise that a request has not run is held to that. The client sends anew, under another id, as
the protocol allows.
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
from meadowworks.modelcheck.models.forwarding_scenarios import ADDRESSES, INSTANCES, Scenario
from meadowworks.registry.backends import BackendDirectory

OTHER_INSTANCE = "c"  # another service's, which takes the address of an instance that has ended
SERVICE, OTHER_SERVICE = "s", "t"
DEADLINE_MS, TARGET_MS = 1000, 200


@dataclass(eq=False)
class ModelConnection:
    """A connection to an address: to the instance that was there when it was opened."""

    number: int
    instance: str
    is_open: bool = True
    request_count: int = 0

    def is_usable(self) -> bool:
        """Whether it may carry another request."""
        return self.is_open

    def close(self) -> None:
        """End it."""
        self.is_open = False


@dataclass
class AttemptInFlight:
    """An attempt: of which request, its own number, its instance, and how often it has run there."""

    request: int
    number: int
    instance: str
    connection: ModelConnection
    run_count: int = 0
    awaited: bool = True  # the proxy still waits for its response
    promised_not_run: bool = False  # its backend has said so


@dataclass
class ClientRequest:
    """A request, and what its client has been answered."""

    attempts: RequestAttempts
    status: int = 0  # 0: no response so far
    response_owner: str = ""  # whose response it was


@dataclass
class ForwardingWorld:
    """One proxy, two backends, and a client."""

    scenario: Scenario
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
        self.draining: tuple[str, ...] = ()  # as the proxy knows
        self.violations: tuple[str, ...] = ()  # what went wrong, by property
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
        """No source is silent."""
        return 0

    def clock(self) -> int:
        """The world's time."""
        return self.now

    def publish(self, instance: str, address: str, state: str, service: str = SERVICE) -> None:
        """Let the proxy know of an instance."""
        self.backends.on_update(
            KeyUpdate("box", f"b/{instance}", [service, address, "home", 2.0, state, 1, 0, 0])
        )

    def open_connection(self, instance: str) -> ModelConnection:
        """A new connection to an instance."""
        self.connection_count += 1
        return ModelConnection(self.connection_count, instance)

    # -- the proxy, as `Forwarder` does it

    def choices(self) -> EndpointChoices:
        """The endpoints that a request may go to."""
        lines = {
            endpoint: 1.0
            for endpoint, instance in enumerate(INSTANCES)
            if (known := self.backends.instances.get(instance))
            and known.accepts_requests
            and not self.is_avoided(instance)
        }
        return EndpointChoices(lines, {endpoint: 100.0 * MS for endpoint in lines})

    def is_avoided(self, instance: str) -> bool:
        """Whether an instance could not be reached a moment ago."""
        load = self.pool.find_load(instance)
        return load is not None and load.is_avoided(self.now)

    def start_request(self) -> None:
        """Let the client send a request."""
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
        """Hand an event to a request's attempts."""
        return attempts.handle_event(event, self.now, self.choices(), 0.0)

    def run_command(self, r: int, command: Command) -> None:
        """Carry out what the attempts command."""
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
        """Record a client's response, and what is wrong with it."""
        self.requests[r].status, self.requests[r].response_owner = status, owner
        ran = any(f.request == r and f.run_count for f in self.in_flight)
        if status == 200 and owner != f"r{r}":
            self.violations += ("own answer",)
        if not self.scenario.safe and status in NOT_RUN_STATUSES and ran:
            self.violations += ("promises kept",)

    def send_attempt(self, r: int, number: int, instance: str) -> None:
        """Send an attempt, as far as a connection comes up."""
        if instance in self.draining:
            self.violations += ("drains kept",)
        self.pool.load(instance).in_flight += 1
        connection = self.pool.acquire(self.now, instance)
        if connection is None:
            address = ADDRESSES[INSTANCES.index(instance)]
            if address not in self.instance_by_address:  # nobody there: the connection never comes up
                self.pool.load(instance).mark_unreachable(self.now)
                self.pool.load(instance).in_flight -= 1
                self.on_attempt_ended(r, number, NEVER_RAN, 0)
                return
            connection = self.open_connection(self.instance_by_address[address])
        connection.request_count += 1
        self.in_flight.append(AttemptInFlight(r, number, instance, connection))

    def on_attempt_ended(self, r: int, number: int, outcome: int, status: int) -> None:
        """Tell a request's attempts how one has ended."""
        event = AttemptEnded(number, outcome, status)
        self.run_command(r, self.handle_event(self.requests[r].attempts, event))

    def finish_attempt(self, attempt: AttemptInFlight) -> None:
        """The attempt is over for the proxy."""
        self.in_flight = [f if f is not attempt else replace(f, awaited=False) for f in self.in_flight]
        self.pool.load(attempt.instance).in_flight -= 1

    # -- steps

    def enabled(self) -> Iterable[Step]:
        """The steps that may be taken now."""
        found: list[Step] = []
        for k, f in enumerate(self.in_flight):
            alive = f.connection.instance in self.instance_by_address.values()
            if alive and not f.run_count and not f.promised_not_run:
                found.append(("run", k))
            if f.awaited:
                found.append(("reset", k))
                if alive:
                    found += [("answer", k, status) for status in self.possible_statuses(f)]
                if self.surplus_responses and f.connection.is_open:
                    found += [("surplus", k, status, 1) for status in (200, 421)]
                    if f.connection.request_count > 1:
                        found.append(("surplus", k, 503, 0))
        for r, one in enumerate(self.requests):
            if not one.status and any(f.request == r and f.awaited for f in self.in_flight):
                found.append(("due", r))
        last = self.requests[-1]
        if (
            self.client_retries
            and last.status
            and (last.status in NOT_RUN_STATUSES or self.scenario.safe and last.status >= 500)
        ):
            found.append(("repeat",))
        if self.scenario.may_drain:
            found += [("drain", instance) for instance in INSTANCES if instance not in self.draining]
        if self.scenario.reuses_address and OTHER_INSTANCE not in self.instance_by_address.values():
            found += [("reuse", endpoint) for endpoint in range(len(INSTANCES))]
        return found

    def possible_statuses(self, f: AttemptInFlight) -> tuple[int, ...]:
        """The statuses that a backend may answer with; 0 stands for a 503 that states that it did not run."""
        if f.connection.instance != f.instance:
            return (421,)
        return (200, 500, 503) if f.run_count else (0,)

    def take_step(self, step: Step) -> None:
        """Take one of the steps that `enabled` has named."""
        self.outcomes = [step]
        kind, *what = step
        getattr(self, "do_" + kind)(*what)

    def do_run(self, k: int) -> None:
        """A backend runs an attempt."""
        f = self.in_flight[k]
        if f.connection.instance != f.instance:
            return  # it answers 421 and does not run it
        f.run_count += 1
        one = self.requests[f.request]
        if not self.scenario.safe:
            if sum(g.run_count for g in self.in_flight if g.request == f.request) > 1:
                self.violations += ("at most once",)
            if one.status in NOT_RUN_STATUSES:
                self.violations += ("promises kept",)

    def do_answer(self, k: int, status: int, owner: str = "", other: bool = False) -> None:
        """A backend answers an attempt."""
        f = self.in_flight[k]
        request_id, connection = owner or f"r{f.request}", f.connection
        headers = {} if owner == "nobody" else {b"x-request-id": request_id.encode()}
        if status == 200:
            headers[b"x-backend-seal"] = b"seal"
        if status == 421:
            headers[b"x-backend-id"] = connection.instance.encode()
        if not status:
            headers[b"x-not-run"] = b"full"
        mine, want = f"r{f.request}".encode(), f.instance.encode()
        verdict = check_response(mine, want, status or 503, headers.get, connection.request_count == 1)
        if verdict.connection_reusable and not other:
            self.pool.release(self.now, f.instance, connection, 60)
        else:
            connection.close()
        if not other and status in (0, 421):
            f.promised_not_run = True
        self.finish_attempt(f)
        if verdict.instance_superseded:
            self.backends.mark_superseded(f.instance)
        self.responses = {**self.responses, (f.request, f.number): (status or 503, request_id)}
        self.on_attempt_ended(
            f.request, f.number, verdict.outcome, (status or 503) if verdict.is_valid else 0
        )

    def do_surplus(self, k: int, status: int, named: int) -> None:
        """A response to an earlier request comes in this one's place; its own is still to come.

        A 503 stands for one that says that it did not run, and does not say which request.
        """
        self.surplus_responses -= 1
        self.do_answer(k, 0 if status == 503 else status, "r-before" if named else "nobody", True)

    def do_reset(self, k: int) -> None:
        """The connection of an attempt is reset."""
        f = self.in_flight[k]
        f.connection.close()
        self.finish_attempt(f)
        self.on_attempt_ended(f.request, f.number, FAILED, 0)

    def do_due(self, r: int) -> None:
        """A request's timer expires."""
        attempts = self.requests[r].attempts
        self.now = max(self.now, attempts.next_timer_ns(self.now))
        self.run_command(r, self.handle_event(attempts, TimerExpired()))

    def do_repeat(self) -> None:
        """The client sends its request anew."""
        self.client_retries -= 1
        self.now += 100 * MS
        self.start_request()

    def do_drain(self, instance: str) -> None:
        """The proxy learns that an instance drains."""
        self.draining += (instance,)
        self.publish(instance, ADDRESSES[INSTANCES.index(instance)], "draining")

    def do_reuse(self, endpoint: int) -> None:
        """The backend ends without a word; its connections with it."""
        self.instance_by_address[ADDRESSES[endpoint]] = OTHER_INSTANCE

    # -- states

    def freeze(self) -> bytes:
        """What the world can be made of again."""
        outcomes, self.outcomes = self.outcomes, []
        silence_ns, clock = self.backends.source_silence_ns, self.backends.clock
        self.backends.source_silence_ns = self.backends.clock = None  # type: ignore[assignment]
        try:
            return pickle.dumps(self, pickle.HIGHEST_PROTOCOL)
        finally:
            self.outcomes = outcomes
            self.backends.source_silence_ns, self.backends.clock = silence_ns, clock

    def key(self) -> Any:
        """What tells states apart."""
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
    """What tells the states of a request apart."""
    attempts = request.attempts
    states = [(n, one.backend, one.state, one.wait_until_ns) for n, one in attempts.attempts.items()]
    failures = tuple(attempts.backend_failures.items())
    return request.status, request.response_owner, attempts.latest_hedge_ns, tuple(states), failures


def connection_key(connection: ModelConnection) -> tuple[Any, ...]:
    """What tells the states of a connection apart."""
    return connection.number, connection.instance, connection.is_open, connection.request_count


def attempt_key(attempt: AttemptInFlight) -> tuple[Any, ...]:
    """What tells the states of an attempt apart."""
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
    """What tells the states of an endpoint's pool apart."""
    idle = tuple([(until_ns, *connection_key(connection)) for until_ns, connection in pool.idle])
    return pool.load.in_flight, pool.load.avoided_until_ns, idle


def thaw(state: bytes) -> ForwardingWorld:
    """The world that `freeze` has kept."""
    world: ForwardingWorld = pickle.loads(state)
    world.backends.source_silence_ns, world.backends.clock = world.source_silence_ns, world.clock
    return world
