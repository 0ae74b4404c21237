"""Byte-level model of two callers on two connections.

It runs `send_attempt`, `ClientConnection` with its parsers, `PeerClient` and `RequestAttempts` over simulated
transports. A response may be cut off or stall before, in or at the end of its head, in its body, or after it,
and a stalled response may resume. Bytes of an earlier call may arrive on an idle connection, in place of a
response, or after one. A backend may process a request that it has read after the caller has gone.

Parsers and tasks cannot be copied, so a world is stored as its list of steps and restored by replaying them.
At most one world in a process has running tasks.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Coroutine, Iterable
from dataclasses import dataclass, field
from typing import Any

from meadowworks.attempts.retry_policy import CANCELLED
from meadowworks.forwarding.connection_pool import ConnectionPool
from meadowworks.forwarding.endpoint_selection import EndpointChoices
from meadowworks.forwarding.request_attempts import (
    MS,
    AttemptEnded,
    ClientDisconnected,
    Command,
    ForwardResponse,
    RejectRequest,
    RequestAttempts,
    RequestReceived,
    SendAttempt,
    choose_retry_policy,
    route_retry_policy,
)
from meadowworks.forwarding.response_check import NOT_RUN_STATUSES
from meadowworks.modelcheck.model import Step
from meadowworks.modelcheck.models.http_connection_scenarios import ConnectionScenario, scenarios
from meadowworks.modelcheck.models.model_transport import (
    CUT_PLACES,
    MISDIRECTED,
    NOT_RUN,
    OK,
    SURPLUS_RESPONSES,
    SURPLUS_WITHOUT_ID,
    ModelTransport,
    build_response,
    event_loop_of,
    unread_byte_count,
)
from meadowworks.proxy import upstream_attempt
from meadowworks.proxy.upstream_attempt import AttemptResult, UpstreamRequest
from meadowworks.registry.backends import BackendInstance
from meadowworks.runtime import peer_client
from meadowworks.runtime.errors import RequestError
from meadowworks.runtime.http_connection import ClientConnection
from meadowworks.runtime.peer_client import PeerClient

INSTANCES = ("a", "b")
CHOICES = EndpointChoices({endpoint: 1.0 for endpoint in range(len(INSTANCES))}, {})
DEADLINE_NS = 1000 * MS
# Every task must be waiting for bytes after this many iterations of the event loop.
MAX_LOOP_ITERATIONS = 60
EARLIER_CALL = "before"  # id of the call that an idle connection carried earlier
# Maps the kind of a step, which counterexample files store, to the method that carries it out.
STEP_METHODS: dict[str, str] = {
    "ask": "start_second_caller",
    "run": "run_request",
    "say": "send_response",
    "reset": "reset_connection",
    "silence": "stall_response",
    "rest": "resume_response",
    "endless": "send_unframed_response",
    "extra": "send_surplus_response",
    "behind": "send_response_and_surplus",
    "leave": "time_out_caller",
}


class RetriesAllowed:
    """A retry budget that is never exhausted."""

    def take_retry(self, now: int) -> bool:  # noqa: ARG002
        """Allow every retry."""
        return True


@dataclass
class Caller:
    """One request or call with its attempts in flight and its response."""

    attempts: RequestAttempts
    tasks: dict[int, asyncio.Task[Any]] = field(default_factory=dict)
    responses: dict[int, Any] = field(default_factory=dict)
    status: int = 0  # 0: no response yet
    timed_out: bool = False


active_world: ConnectionWorld | None = None  # the world whose tasks are running
# Worlds created before a fork, referenced here so that their tasks are not garbage-collected.
inherited_worlds: list[ConnectionWorld] = []


class ConnectionWorld:
    """Two callers, and a backend or control-plane node at the remote end of each connection."""

    def __init__(self, scenario: ConnectionScenario, steps: Iterable[Step] = ()) -> None:
        self.scenario = scenario
        self.outcomes: list[tuple[Any, ...]] = []
        self.steps = list(steps)
        self.process = 0
        self.activate()

    def activate(self) -> None:
        """Rebuild the world by replaying its steps, unless its tasks are already running."""
        global active_world
        if active_world is self and self.process == os.getpid():
            return
        if active_world is not None:
            active_world.deactivate()
        active_world, self.process = self, os.getpid()
        self.now = 0
        self.violations: set[str] = set()
        self.transports: list[ModelTransport] = []
        self.callers: list[Caller] = []
        self.run_counts: dict[str, int] = {}
        self.pool: ConnectionPool[ClientConnection] = ConnectionPool()
        self.peer = PeerClient("a", 80)
        self.faults_left = self.scenario.max_faults
        self.surplus_left = self.scenario.surplus_responses
        self.timeouts_left = self.scenario.client_timeouts
        self.earlier_calls: list[asyncio.Task[Any]] = []
        self.run_in_loop(self.start_earlier_calls)
        self.run_in_loop(self.answer_earlier_calls)
        for transport in self.transports:
            transport.newest_ran = False
        self.run_in_loop(self.start_caller)
        for step in self.steps:
            self.apply_step(step)

    def deactivate(self) -> None:
        """Cancel the world's tasks."""
        tasks = [task for caller in self.callers for task in caller.tasks.values()]
        if self.process != os.getpid():
            # Created before the fork: its tasks belong to an event loop that does not run in this process.
            inherited_worlds.append(self)
        elif tasks:
            for task in tasks:
                task.cancel()
            event_loop_of(self.process).run_until_complete(asyncio.gather(*tasks, return_exceptions=True))

    # -- the product's code, run in the event loop

    def run_in_loop(self, action: Any, *args: Any) -> None:
        """Call `action` in the event loop with this world's transports and clock, until all tasks wait."""
        loop = event_loop_of(os.getpid())
        patches = [
            (upstream_attempt, "connect", self.connect),
            (upstream_attempt, "now_ns", lambda: self.now),
        ]
        patches += [(peer_client, "connect", self.connect), (peer_client, "token_hex", self.next_call_id)]
        originals = [getattr(module, name) for module, name, _ in patches]
        for module, name, value in patches:
            setattr(module, name, value)
        try:
            loop.run_until_complete(self.run_until_idle(action, args))
        finally:
            for (module, name, _), value in zip(patches, originals, strict=True):
                setattr(module, name, value)

    async def run_until_idle(self, action: Any, args: tuple[Any, ...]) -> None:
        """Call `action` and iterate the event loop until every task is waiting for bytes.

        :raises AssertionError: if a task is still running after `MAX_LOOP_ITERATIONS`.
        """
        action(*args)
        for _ in range(MAX_LOOP_ITERATIONS):
            await asyncio.sleep(0)
            for r, caller in enumerate(self.callers):
                for number, task in list(caller.tasks.items()):
                    if task.done():
                        del caller.tasks[number]
                        self.on_task_done(r, number, task)
            tasks = sum(len(caller.tasks) for caller in self.callers) + sum(
                not t.done() for t in self.earlier_calls
            )
            if tasks == sum(transport.is_awaited() for transport in self.transports):
                return
        raise AssertionError(f"tasks are still running after {MAX_LOOP_ITERATIONS} event loop iterations")

    async def connect(
        self,
        host: str,
        port: int,  # noqa: ARG002
        wait_s: float,  # noqa: ARG002
        silent_ms: int = 0,  # noqa: ARG002
    ) -> ClientConnection:
        """Replace `http_connection.connect`: return a connection over a simulated transport."""
        transport = ModelTransport(self, len(self.transports), host)
        self.transports.append(transport)
        return transport.connection

    def next_call_id(self, size: int) -> str:  # noqa: ARG002
        """Replace `secrets.token_hex` by deterministic, unique call ids."""
        return f"q{sum(len(transport.requests) for transport in self.transports)}.{len(self.callers) - 1}"

    def call_id_of(self, data: bytes) -> str:
        """Return the id of the call that sent these request bytes."""
        for name in (b"x-question: ", b"x-request-id: ", b"x-of: "):
            if name in data:
                return data.split(name)[1].split(b"\r\n")[0].decode()
        return EARLIER_CALL

    def start_earlier_calls(self) -> None:
        """Start the calls that later leave idle connections."""
        for _ in range(self.scenario.idle_connections):
            call = (
                self.peer.call(b"/pull", b"", 1e6)
                if self.is_between_nodes()
                else self.send_attempt(EARLIER_CALL, 0, DEADLINE_NS)
            )
            self.earlier_calls.append(asyncio.get_running_loop().create_task(call))

    def answer_earlier_calls(self) -> None:
        """Send the responses to the earlier calls."""
        for transport in self.transports:
            transport.feed(self.respond(transport)[0])

    def is_between_nodes(self) -> bool:
        """Return whether the calls are between control-plane nodes."""
        return self.scenario.calls == "controllers"

    def send_attempt(self, call_id: str, endpoint: int, deadline_ns: int) -> Any:
        """Return the coroutine that sends a request to a backend, as the proxy does."""
        has_id = self.scenario.has_ids
        names = [(b"host", b"h"), (b"x-request-id" if has_id else b"x-of", call_id.encode())]
        request = UpstreamRequest(b"POST", b"/", names, b"", call_id.encode() if has_id else None)
        backend = BackendInstance(INSTANCES[endpoint], "s", INSTANCES[endpoint], 80, "home", 2, "up", 0, 0)
        return upstream_attempt.send_attempt(self.pool, backend, request, deadline_ns)

    def start_caller(self) -> None:
        """Start a request or call."""
        r, scenario = len(self.callers), self.scenario
        safe = scenario.calls == "safe"
        attempts = RequestAttempts(
            route_retry_policy(safe, DEADLINE_NS, DEADLINE_NS),
            choose_retry_policy(safe, 2, False),
            self.now + DEADLINE_NS,
            RetriesAllowed(),
        )
        self.callers.append(Caller(attempts))
        if self.is_between_nodes():
            self.start_task(r, 1, self.peer.call(b"/pull", b"", 1e6))
        else:
            self.run_command(r, attempts.handle_event(RequestReceived(), self.now, CHOICES, 0.0))

    def start_task(self, r: int, number: int, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run an attempt or call as a task."""
        self.callers[r].tasks[number] = asyncio.get_running_loop().create_task(coroutine)

    def run_command(self, r: int, command: Command) -> None:
        """Execute a command of `RequestAttempts`."""
        caller = self.callers[r]
        match command:
            case SendAttempt(number, endpoint):
                self.start_task(r, number, self.send_attempt(f"r{r}", endpoint, caller.attempts.deadline_ns))
            case RejectRequest(status):
                self.answer_caller(r, status)
            case ForwardResponse(number):
                response = caller.responses[number]
                self.answer_caller(r, response.status, response.body)

    def on_task_done(self, r: int, number: int, task: asyncio.Task[Any]) -> None:
        """Handle the result of an attempt or call."""
        caller = self.callers[r]
        if self.is_between_nodes():
            self.on_call_done(r, task)
            return
        result = AttemptResult(CANCELLED, None, 0) if task.cancelled() else task.result()
        caller.responses[number] = result.response
        if not caller.status:
            event = AttemptEnded(number, result.outcome, result.status)
            self.run_command(r, caller.attempts.handle_event(event, self.now, CHOICES, 0.0))

    def on_call_done(self, r: int, task: asyncio.Task[Any]) -> None:
        """Handle the result of a call between nodes."""
        if task.cancelled():
            self.answer_caller(r, 504)
            return
        error = task.exception()
        if error is None:
            self.answer_caller(r, 200, task.result())
        elif isinstance(error, RequestError):
            self.answer_caller(r, 502)
        else:
            raise error

    def answer_caller(self, r: int, status: int, body: bytes = b"") -> None:
        """Record a caller's response and the properties that it violates."""
        caller = self.callers[r]
        if caller.status:
            return
        caller.status = status
        if status == 200 and body not in [f"of {call}".encode() for call in self.call_ids_of(r)]:
            self.violations.add("wrong caller")
        if status in NOT_RUN_STATUSES and self.scenario.calls == "unsafe" and self.run_counts.get(f"r{r}", 0):
            self.violations.add("ran twice")

    def call_ids_of(self, r: int) -> list[str]:
        """Return the ids of a caller's requests."""
        if not self.is_between_nodes():
            return [f"r{r}"]
        return [
            call for transport in self.transports for call in transport.requests if call.endswith(f".{r}")
        ]

    # -- steps

    def enabled(self) -> Iterable[Step]:
        """Return the steps that can be taken in this state."""
        self.activate()
        steps: list[Step] = []
        if len(self.callers) < 2:
            steps.append(("ask",))
        # Once all callers have a response, only requests that a backend may still run can violate a property.
        is_over = not steps and all(caller.status for caller in self.callers)
        for k, transport in enumerate(self.transports):
            if self.can_start_processing(transport):
                steps.append(("run", k))
            if not is_over:
                steps += self.transport_steps(k, transport)
        if self.timeouts_left:
            steps += [("leave", r) for r, caller in enumerate(self.callers) if not caller.status]
        return steps

    def can_start_processing(self, transport: ModelTransport) -> bool:
        """Return whether the remote end may start to process its newest request.

        Only modelled for unsafe requests, as it makes no difference for others.
        """
        if self.scenario.calls != "unsafe" or not transport.pending_request():
            return False
        return not transport.newest_ran and not transport.newest_promised_not_run

    def transport_steps(self, k: int, transport: ModelTransport) -> list[Step]:
        """Return the responses and faults that are possible on a connection."""
        if not transport.is_open:
            return []
        if transport.unsent:
            return [("rest", k)]
        steps: list[Step] = []
        if transport.pending_request():
            steps.append(("say", k))
            if self.faults_left:
                steps += [("reset", k, cut_place) for cut_place in self.scenario.cut_places]
                steps += [
                    ("silence", k, cut_place) for cut_place in self.scenario.cut_places if 0 < cut_place < 4
                ]
                steps += [("endless", k, ends_cleanly) for ends_cleanly in (0, 1)]
        if self.surplus_left and len(transport.requests) > bool(transport.pending_request()):
            steps += self.surplus_steps(k, transport)
        return steps

    def surplus_steps(self, k: int, transport: ModelTransport) -> list[Step]:
        """Return the responses to an earlier call that may arrive."""
        surplus = SURPLUS_RESPONSES if self.scenario.has_ids else SURPLUS_WITHOUT_ID
        steps: list[Step] = [("extra", k, status, has_id) for status, has_id in surplus]
        if transport.pending_request():
            steps += [("behind", k, status, has_id) for status, has_id in surplus if status != MISDIRECTED]
        return steps

    def take_step(self, step: Step) -> None:
        """Take one of the enabled steps."""
        self.activate()
        self.outcomes = [step]
        self.steps.append(step)
        self.apply_step(step)

    def apply_step(self, step: Step) -> None:
        """Take a step without recording it."""
        kind, *args = step
        self.run_in_loop(getattr(self, STEP_METHODS[kind]), *args)

    def start_second_caller(self) -> None:
        """Start the second caller."""
        self.start_caller()

    def run_request(self, k: int) -> None:
        """Let the remote end start to process its newest request."""
        transport = self.transports[k]
        transport.newest_ran = True
        call_id = transport.requests[-1]
        self.run_counts[call_id] = self.run_counts.get(call_id, 0) + 1
        r = int(call_id[1:]) if call_id[1:].isdigit() else None
        if r is not None and self.scenario.calls == "unsafe":
            status = self.callers[r].status
            if self.run_counts[call_id] > 1 or status in NOT_RUN_STATUSES:
                self.violations.add("ran twice")

    def respond(self, transport: ModelTransport, framed: bool = True) -> tuple[bytes, int]:
        """Return the response to the newest request and the length of its head.

        An unsafe request that has not run is rejected with the guarantee that it will not run.
        """
        call_id, has_id = transport.requests[-1], self.scenario.has_ids
        transport.answered_count = len(transport.requests)
        if self.scenario.calls == "unsafe" and not transport.newest_ran and call_id != EARLIER_CALL:
            transport.newest_promised_not_run = True
            return build_response(call_id, NOT_RUN, has_id)
        return build_response(call_id, OK, has_id, framed)

    def send_response(self, k: int) -> None:
        """Send the response to the newest request."""
        self.transports[k].feed(self.respond(self.transports[k])[0])

    def split_response(self, transport: ModelTransport, cut_place: int) -> tuple[bytes, bytes]:
        """Split a response at one of `CUT_PLACES`."""
        data, head = self.respond(transport)
        at = (0, head // 2, head, head + 3, len(data))[cut_place]
        return data[:at], data[at:]

    def reset_connection(self, k: int, cut_place: int) -> None:
        """Reset the connection at one of `CUT_PLACES` of a response."""
        self.faults_left -= 1
        transport = self.transports[k]
        promised, first = transport.newest_promised_not_run, self.split_response(transport, cut_place)[0]
        transport.feed(first)
        if cut_place < len(CUT_PLACES) - 1:  # no complete response was sent: the request may still run
            transport.newest_promised_not_run = promised
            transport.answered_count -= 1
        transport.is_open = False
        transport.stream.connection_lost(ConnectionResetError("reset"))

    def stall_response(self, k: int, cut_place: int) -> None:
        """Send the first part of a response and hold back the rest."""
        self.faults_left -= 1
        transport = self.transports[k]
        first, transport.unsent = self.split_response(transport, cut_place)
        transport.feed(first)

    def resume_response(self, k: int) -> None:
        """Send the part of a stalled response that was held back."""
        transport = self.transports[k]
        remainder, transport.unsent = transport.unsent, b""
        transport.feed(remainder)

    def send_unframed_response(self, k: int, ends_cleanly: int) -> None:
        """Send a response without a length and end the connection: by EOF, or by a reset in the body."""
        self.faults_left -= 1
        transport = self.transports[k]
        data, head = self.respond(transport, framed=False)
        transport.feed(data if ends_cleanly else data[: head + 3])
        transport.is_open = False
        transport.stream.connection_lost(None if ends_cleanly else ConnectionResetError("reset"))

    def send_surplus_response(self, k: int, status: str, has_id: int) -> None:
        """Send a response to an earlier call."""
        self.surplus_left -= 1
        transport = self.transports[k]
        transport.feed(
            build_response(
                transport.requests[-2 if transport.pending_request() else -1], status, bool(has_id)
            )[0]
        )

    def send_response_and_surplus(self, k: int, status: str, has_id: int) -> None:
        """Send the correct response followed by a response to an earlier call."""
        self.surplus_left -= 1
        transport = self.transports[k]
        transport.feed(
            self.respond(transport)[0] + build_response(transport.requests[-2], status, bool(has_id))[0]
        )

    def time_out_caller(self, r: int) -> None:
        """Cancel a caller's attempts at its timeout and answer it with 504."""
        self.timeouts_left -= 1
        caller = self.callers[r]
        caller.timed_out = True
        for task in caller.tasks.values():
            task.cancel()
        caller.attempts.handle_event(ClientDisconnected(), self.now, CHOICES, 0.0)
        self.answer_caller(r, 504)

    # -- states

    def freeze(self) -> tuple[ConnectionScenario, tuple[Step, ...]]:
        """Return the scenario and steps from which `thaw` rebuilds the world."""
        return self.scenario, tuple(self.steps)

    def key(self) -> Any:
        """Return a value that is equal for worlds in the same state."""
        self.activate()
        return (
            "wired",
            self.scenario.name,
            self.faults_left,
            self.surplus_left,
            self.timeouts_left,
            tuple(sorted(self.violations)),
            tuple(sorted(self.run_counts.items())),
            tuple([caller_key(caller) for caller in self.callers]),
            tuple([transport_key(transport) for transport in self.transports]),
            tuple([self.transport_number(connection) for _, connection in self.idle_connections()]),
        )

    def idle_connections(self) -> list[tuple[str, ClientConnection]]:
        """Return the idle connections that may be reused, each with its instance."""
        backends = [
            (instance, connection)
            for instance, pool in self.pool.endpoints.items()
            for _, connection in pool.idle
        ]
        return backends + [("a", connection) for connection in self.peer.idle_connections]

    def transport_number(self, connection: ClientConnection) -> int:
        """Return the number of a connection's transport."""
        return next(transport.number for transport in self.transports if transport.connection is connection)


def caller_key(caller: Caller) -> tuple[Any, ...]:
    """Return a value that identifies the state of a caller."""
    attempts = tuple([(n, attempt.backend, attempt.state) for n, attempt in caller.attempts.attempts.items()])
    return caller.status, caller.timed_out, attempts, tuple(sorted(caller.tasks))


def transport_key(transport: ModelTransport) -> tuple[Any, ...]:
    """Return a value that identifies the state of a transport and its connection."""
    return (
        transport.host,
        transport.is_open,
        tuple(transport.requests),
        transport.answered_count,
        transport.newest_ran,
        transport.newest_promised_not_run,
        len(transport.unsent),
        len(transport.stream.buffer),
        transport.stream.at_eof,
        transport.connection.is_reusable,
        transport.connection.http11.is_idle(),
        unread_byte_count(transport.connection),
    )


def thaw(state: tuple[ConnectionScenario, tuple[Step, ...]]) -> ConnectionWorld:
    """Rebuild a world from the result of `freeze`."""
    scenario, steps = state
    return ConnectionWorld(scenario, steps)


def not_violated(name: str) -> Any:
    """Return the predicate of a property whose violations the world records itself."""
    return lambda world: name not in world.violations


def no_unread_bytes(world: ConnectionWorld) -> bool:
    """Return whether no request met unread bytes, and idle connections have no unread bytes or requests."""
    world.activate()
    if "clean lines" in world.violations:
        return False
    idle = [
        world.transports[world.transport_number(connection)]
        for _, connection in world.idle_connections()
        if connection.is_usable()
    ]
    return not any(
        transport.pending_request()
        or transport.unsent
        or transport.stream.buffer
        or unread_byte_count(transport.connection)
        for transport in idle
    )


def no_leaked_connections(world: ConnectionWorld) -> bool:
    """Return whether every open connection is either being read or idle in a pool."""
    world.activate()
    idle = [world.transport_number(connection) for _, connection in world.idle_connections()]
    return all(
        not transport.is_open or transport.is_awaited() or transport.number in idle
        for transport in world.transports
    )


def all_callers_answered(world: ConnectionWorld) -> bool:
    """Return whether every caller without a running task has its response."""
    world.activate()
    return all(caller.status or caller.tasks for caller in world.callers)


def initial_worlds(large: bool) -> list[ConnectionWorld]:
    """Return a world for each scenario."""
    return [ConnectionWorld(scenario) for scenario in scenarios(large)]
