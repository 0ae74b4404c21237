"""Model of two callers on two connections, byte by byte.

It drives `send_attempt`, `ClientConnection` with its parsers, `PeerClient` and `RequestAttempts`, over
transports of its own. A response may break off or fall silent before its head, in it, at its end, in the body
and after it; bytes of an earlier call may come while a connection is idle, in the place of a response, and
behind one. What is late may still come. A backend may run what it has read although its caller has gone.

A world is kept as the steps that lead to it, and is made anew by taking them: parsers and tasks can't be
copied. One world of a process has tasks at a time.
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
    unread_bytes,
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
# After so many turns of the loop every task must wait for bytes.
MAX_LOOP_TURNS = 60
EARLIER_CALL = "before"  # the id of the call that an idle connection has carried


class RetriesAllowed:
    """A retry budget that is never exhausted."""

    def take_retry(self, now: int) -> bool:  # noqa: ARG002
        """Allow it."""
        return True


@dataclass
class Caller:
    """One request or call, its attempts in flight, and what it has been answered."""

    attempts: RequestAttempts
    tasks: dict[int, asyncio.Task[Any]] = field(default_factory=dict)
    responses: dict[int, Any] = field(default_factory=dict)
    status: int = 0  # 0: no response so far
    timed_out: bool = False


active_world: ConnectionWorld | None = None  # the world that has its tasks
inherited_worlds: list[ConnectionWorld] = []


class ConnectionWorld:
    """A backend or node at the far side of each connection, and two callers."""

    def __init__(self, scenario: ConnectionScenario, steps: Iterable[Step] = ()) -> None:
        self.scenario = scenario
        self.outcomes: list[tuple[Any, ...]] = []
        self.steps = list(steps)
        self.process = 0
        self.activate()

    def activate(self) -> None:
        """Make the world as it was after its steps, unless it is the one that has its tasks."""
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
        self.run_inside(self.start_earlier_calls)
        self.run_inside(self.answer_earlier_calls)
        for transport in self.transports:
            transport.newest_ran = False
        self.run_inside(self.start_caller)
        for step in self.steps:
            self.apply_step(step)

    def deactivate(self) -> None:
        """End the world's tasks."""
        tasks = [task for caller in self.callers for task in caller.tasks.values()]
        if self.process != os.getpid():
            # Made before the fork: its tasks are of a loop that does not turn here.
            inherited_worlds.append(self)
        elif tasks:
            for task in tasks:
                task.cancel()
            event_loop_of(self.process).run_until_complete(asyncio.gather(*tasks, return_exceptions=True))

    # -- the programs' side

    def run_inside(self, action: Any, *args: Any) -> None:
        """Act within the loop, with this world's transports and clock, until every task waits for bytes."""
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
        """Act, and turn the loop until every task waits for bytes."""
        action(*args)
        for _ in range(MAX_LOOP_TURNS):
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
        raise AssertionError("a task goes on and on")

    async def connect(
        self,
        host: str,
        port: int,  # noqa: ARG002
        wait_s: float,  # noqa: ARG002
        silent_ms: int = 0,  # noqa: ARG002
    ) -> ClientConnection:
        """Stand in for `http_connection.connect`."""
        transport = ModelTransport(self, len(self.transports), host)
        self.transports.append(transport)
        return transport.connection

    def next_call_id(self, size: int) -> str:  # noqa: ARG002
        """Stand in for `secrets.token_hex`."""
        return f"q{sum(len(w.requests) for w in self.transports)}.{len(self.callers) - 1}"

    def call_of(self, data: bytes) -> str:
        """The id of the call whose request these bytes are: between nodes it is the question's."""
        for name in (b"x-question: ", b"x-request-id: ", b"x-of: "):
            if name in data:
                return data.split(name)[1].split(b"\r\n")[0].decode()
        return EARLIER_CALL

    def start_earlier_calls(self) -> None:
        """Begin the calls that leave connections idle."""
        for _ in range(self.scenario.idle_connections):
            call = (
                self.peer.call(b"/pull", b"", 1e6)
                if self.is_between_nodes()
                else self.send_attempt(EARLIER_CALL, 0, DEADLINE_NS)
            )
            self.earlier_calls.append(asyncio.get_running_loop().create_task(call))

    def answer_earlier_calls(self) -> None:
        """Answer them."""
        for transport in self.transports:
            transport.feed(self.respond(transport)[0])

    def is_between_nodes(self) -> bool:
        """Whether the calls are between control-plane nodes."""
        return self.scenario.calls == "controllers"

    def send_attempt(self, call_id: str, endpoint: int, deadline_ns: int) -> Any:
        """A request to a backend, as the proxy sends it."""
        named = self.scenario.has_ids
        names = [(b"host", b"h"), (b"x-request-id" if named else b"x-of", call_id.encode())]
        request = UpstreamRequest(b"POST", b"/", names, b"", call_id.encode() if named else None)
        backend = BackendInstance(INSTANCES[endpoint], "s", INSTANCES[endpoint], 80, "home", 2, "up", 0, 0)
        return upstream_attempt.send_attempt(self.pool, backend, request, deadline_ns)

    def start_caller(self) -> None:
        """Begin a request or call."""
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
        """Run an attempt or call."""
        self.callers[r].tasks[number] = asyncio.get_running_loop().create_task(coroutine)

    def run_command(self, r: int, command: Command) -> None:
        """Carry out what the attempts command."""
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
        """Take in how an attempt or call has ended."""
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
        """Take in how a call between nodes has ended."""
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
        """Record a caller's response, and what is wrong with it."""
        caller = self.callers[r]
        if caller.status:
            return
        caller.status = status
        if status == 200 and body not in [f"of {call}".encode() for call in self.calls_of(r)]:
            self.violations.add("wrong caller")
        if status in NOT_RUN_STATUSES and self.scenario.calls == "unsafe" and self.run_counts.get(f"r{r}", 0):
            self.violations.add("ran twice")

    def calls_of(self, r: int) -> list[str]:
        """The ids under which a caller's requests go."""
        if not self.is_between_nodes():
            return [f"r{r}"]
        return [
            call for transport in self.transports for call in transport.requests if call.endswith(f".{r}")
        ]

    # -- steps

    def enabled(self) -> Iterable[Step]:
        """The steps that may be taken now."""
        self.activate()
        found: list[Step] = []
        if len(self.callers) < 2:
            found.append(("ask",))
        # Then nobody asks any more, and what may still run is all that matters.
        is_over = not found and all(caller.status for caller in self.callers)
        for k, transport in enumerate(self.transports):
            if self.may_run(transport):
                found.append(("run", k))
            if not is_over:
                found += self.transport_steps(k, transport)
        if self.timeouts_left:
            found += [("leave", r) for r, caller in enumerate(self.callers) if not caller.status]
        return found

    def may_run(self, transport: ModelTransport) -> bool:
        """Whether the far side may begin to work on its newest request, where that matters."""
        if self.scenario.calls != "unsafe" or not transport.pending_request():
            return False
        return not transport.newest_ran and not transport.newest_promised_not_run

    def transport_steps(self, k: int, transport: ModelTransport) -> list[Step]:
        """What the far side of a connection may say, and how the connection may break."""
        if not transport.is_open:
            return []
        if transport.unsent:
            return [("rest", k)]
        found: list[Step] = []
        if transport.pending_request():
            found.append(("say", k))
            if self.faults_left:
                found += [("reset", k, where) for where in self.scenario.cut_places]
                found += [("silence", k, where) for where in self.scenario.cut_places if 0 < where < 4]
                found += [("endless", k, whole) for whole in (0, 1)]
        if self.surplus_left and len(transport.requests) > bool(transport.pending_request()):
            found += self.surplus_steps(k, transport)
        return found

    def surplus_steps(self, k: int, transport: ModelTransport) -> list[Step]:
        """The responses to an earlier call that may come."""
        surplus = SURPLUS_RESPONSES if self.scenario.has_ids else SURPLUS_WITHOUT_ID
        found: list[Step] = [("extra", k, status, named) for status, named in surplus]
        if transport.pending_request():
            found += [("behind", k, status, named) for status, named in surplus if status != MISDIRECTED]
        return found

    def take_step(self, step: Step) -> None:
        """Take one of the steps that `enabled` has named."""
        self.activate()
        self.outcomes = [step]
        self.steps.append(step)
        self.apply_step(step)

    def apply_step(self, step: Step) -> None:
        """Take a step without recording it."""
        kind, *args = step
        self.run_inside(getattr(self, "do_" + kind), *args)

    def do_ask(self) -> None:
        """The other caller begins."""
        self.start_caller()

    def do_run(self, k: int) -> None:
        """The far side begins to work on its newest request."""
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
        """The response to the newest request: a success if it has run, else a promise that it will not."""
        call_id, named = transport.requests[-1], self.scenario.has_ids
        transport.answered_count = len(transport.requests)
        if self.scenario.calls == "unsafe" and not transport.newest_ran and call_id != EARLIER_CALL:
            transport.newest_promised_not_run = True
            return build_response(call_id, NOT_RUN, named)
        return build_response(call_id, OK, named, framed)

    def do_say(self, k: int) -> None:
        """The far side answers its newest request."""
        self.transports[k].feed(self.respond(self.transports[k])[0])

    def split_response(self, transport: ModelTransport, where: int) -> tuple[bytes, bytes]:
        """The two parts of a response that is cut at one of CUT_PLACES."""
        data, head = self.respond(transport)
        at = (0, head // 2, head, head + 3, len(data))[where]
        return data[:at], data[at:]

    def do_reset(self, k: int, where: int) -> None:
        """The connection is reset in the midst of a response."""
        self.faults_left -= 1
        transport = self.transports[k]
        promised, first = transport.newest_promised_not_run, self.split_response(transport, where)[0]
        transport.feed(first)
        if where < len(CUT_PLACES) - 1:  # nothing has been stated: it may run yet
            transport.newest_promised_not_run = promised
            transport.answered_count -= 1
        transport.is_open = False
        transport.stream.connection_lost(ConnectionResetError("reset"))

    def do_silence(self, k: int, where: int) -> None:
        """A response stops in its midst."""
        self.faults_left -= 1
        transport = self.transports[k]
        first, transport.unsent = self.split_response(transport, where)
        transport.feed(first)

    def do_rest(self, k: int) -> None:
        """The rest of a response comes after all."""
        transport = self.transports[k]
        rest, transport.unsent = transport.unsent, b""
        transport.feed(rest)

    def do_endless(self, k: int, whole: int) -> None:
        """A response without a length ends with its connection: in order, or by a reset in its body."""
        self.faults_left -= 1
        transport = self.transports[k]
        data, head = self.respond(transport, framed=False)
        transport.feed(data if whole else data[: head + 3])
        transport.is_open = False
        transport.stream.connection_lost(None if whole else ConnectionResetError("reset"))

    def do_extra(self, k: int, status: str, named: int) -> None:
        """A response to an earlier call comes."""
        self.surplus_left -= 1
        transport = self.transports[k]
        transport.feed(
            build_response(
                transport.requests[-2 if transport.pending_request() else -1], status, bool(named)
            )[0]
        )

    def do_behind(self, k: int, status: str, named: int) -> None:
        """A response to an earlier call comes behind the right one."""
        self.surplus_left -= 1
        transport = self.transports[k]
        transport.feed(
            self.respond(transport)[0] + build_response(transport.requests[-2], status, bool(named))[0]
        )

    def do_leave(self, r: int) -> None:
        """Its time is over: its attempts are cancelled, and it is told what that proves."""
        self.timeouts_left -= 1
        caller = self.callers[r]
        caller.timed_out = True
        for task in caller.tasks.values():
            task.cancel()
        caller.attempts.handle_event(ClientDisconnected(), self.now, CHOICES, 0.0)
        self.answer_caller(r, 504)

    # -- states

    def freeze(self) -> tuple[ConnectionScenario, tuple[Step, ...]]:
        """What the world can be made of again."""
        return self.scenario, tuple(self.steps)

    def key(self) -> Any:
        """What tells states apart."""
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
        """Connections that are kept for another call, and for which instance."""
        backends = [
            (instance, connection)
            for instance, pool in self.pool.endpoints.items()
            for _, connection in pool.idle
        ]
        return backends + [("a", connection) for connection in self.peer.idle_connections]

    def transport_number(self, connection: ClientConnection) -> int:
        """The number of a connection's transport."""
        return next(transport.number for transport in self.transports if transport.connection is connection)


def caller_key(caller: Caller) -> tuple[Any, ...]:
    """What tells the states of a caller apart."""
    attempts = tuple([(n, one.backend, one.state) for n, one in caller.attempts.attempts.items()])
    return caller.status, caller.timed_out, attempts, tuple(sorted(caller.tasks))


def transport_key(transport: ModelTransport) -> tuple[Any, ...]:
    """What tells the states of a transport and its connection apart."""
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
        unread_bytes(transport.connection),
    )


def thaw(state: tuple[ConnectionScenario, tuple[Step, ...]]) -> ConnectionWorld:
    """The world that `freeze` has kept."""
    scenario, steps = state
    return ConnectionWorld(scenario, steps)


def not_violated(name: str) -> Any:
    """A property that the worlds watch themselves."""
    return lambda world: name not in world.violations


def no_foreign_bytes(world: ConnectionWorld) -> bool:
    """No request goes on a connection with foreign bytes, and none is kept with bytes or a request on it."""
    world.activate()
    if "clean lines" in world.violations:
        return False
    idle = [
        world.transports[world.transport_number(connection)]
        for _, connection in world.idle_connections()
        if connection.is_usable()
    ]
    return not any(
        w.pending_request() or w.unsent or w.stream.buffer or unread_bytes(w.connection) for w in idle
    )


def no_connection_left(world: ConnectionWorld) -> bool:
    """A connection that nobody reads and that is not kept is ended."""
    world.activate()
    idle = [world.transport_number(connection) for _, connection in world.idle_connections()]
    return all(not w.is_open or w.is_awaited() or w.number in idle for w in world.transports)


def answered(world: ConnectionWorld) -> bool:
    """A caller without a task has its response."""
    world.activate()
    return all(caller.status or caller.tasks for caller in world.callers)


def initial_worlds(large: bool) -> list[ConnectionWorld]:
    """A world for each scenario."""
    return [ConnectionWorld(scenario) for scenario in scenarios(large)]
