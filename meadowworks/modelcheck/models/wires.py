"""Two callers on two lines, byte by byte: `junction.forward.attempt`, `track.line.Line` with its parsers,
`track.peer.Peer` and `carriage.journey.Journey`, over wires that are made here.

An answer may break off or fall silent before its head, in it, at its end, in the body and after it; bytes of
a call of before may come while a line rests, in the place of an answer, and behind one. What is late may
still come. A backend may run what it has read although its caller has gone.

A world is kept as the steps that lead to it, and is made anew by taking them: parsers and tasks can't be
kept as they are. One world of a process has tasks at a time.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import cache
from typing import Any, cast

from meadowworks.attempts.retry_policy import CANCELLED
from meadowworks.forwarding.connection_pool import ConnectionPool
from meadowworks.forwarding.endpoint_selection import EndpointChoices
from meadowworks.forwarding.request_attempts import (
    MS,
    AttemptEnded,
    ClientDisconnected,
    ForwardResponse,
    RejectRequest,
    RequestAttempts,
    RequestReceived,
    SendAttempt,
    choose_retry_policy,
    retry_rules,
)
from meadowworks.forwarding.response_check import NOT_RUN_STATUSES
from meadowworks.modelcheck.model import Step
from meadowworks.proxy import upstream_attempt as forward
from meadowworks.proxy.upstream_attempt import AttemptResult, UpstreamRequest
from meadowworks.registry.backends import BackendInstance
from meadowworks.runtime import peer_client as peers
from meadowworks.runtime.buffered_stream import BufferedStream
from meadowworks.runtime.errors import RequestError
from meadowworks.runtime.http_connection import ClientConnection
from meadowworks.runtime.peer_client import PeerClient

LIVES = ("a", "b")
CHOICES = EndpointChoices({place: 1.0 for place in range(len(LIVES))}, {})
LIMIT_NS = 1000 * MS
TURNS = 60  # of the loop, after which every task must wait for bytes
BEFORE = "before"  # whose call a kept line has carried
OK, NOT_RUN, OTHER = "200 OK", "503 Full", "421 Misdirected"
CUTS = ("before the head", "in the head", "at the end of the head", "in the body", "after it")


@dataclass(frozen=True, slots=True)
class Wiring:
    """`calls`: unsafe, safe or controllers (calls between them). Of unsafe ones it matters when they run."""

    name: str
    calls: str = "unsafe"
    kept: int = 0  # lines to the first life that have carried a call before
    cuts: int = 0  # resets, silences and answers without a length
    extras: int = 0  # answers to the call of before that still come
    leaves: int = 0  # callers that go
    named: bool = True  # calls have ids
    where: tuple[int, ...] = (0, 1, 3, 4)  # places among the cuts


def said(ident: str, status: str = OK, named: bool = True, framed: bool = True) -> tuple[bytes, int]:
    """The bytes of an answer, and how many of them are its head."""
    lines = [f"HTTP/1.1 {status}", "X-Backend-Seal: s", "x-life: l"]
    lines += [f"X-Request-Id: {ident}", f"x-question: {ident}"] if named else []
    lines += ["X-Not-Run: 1"] if status == NOT_RUN else []
    lines += ["X-Backend-Id: c"] if status == OTHER else []
    body = f"of {ident}".encode()
    lines += [f"Content-Length: {len(body)}"] if framed else []
    head = "\r\n".join([*lines, "", ""]).encode()
    return head + body, len(head)


class RetriesAllowed:
    """A retry budget that is never exhausted."""

    def take_retry(self, now: int) -> bool:
        return True


class Wire:
    """A transport whose far side is the model's."""

    def __init__(self, world: Wired, number: int, life: str) -> None:
        self.world, self.number, self.life = world, number, life
        self.open = True
        self.calls: list[str] = []  # read by the far side, in order
        self.answered = 0
        self.ran = self.never = False  # of the newest call
        self.rest = b""  # what is still to come of an answer that fell silent
        self.stream = BufferedStream()
        self.stream.connection_made(cast(Any, self))
        self.line = ClientConnection(self.stream, life, 80)

    def write(self, data: bytes) -> None:
        if not data:
            return
        if self.stream.buffer or self.stream.at_eof:
            self.world.wrong.add("clean lines")
        self.ran = self.never = False
        self.calls.append(self.world.ident(data))

    def is_closing(self) -> bool:
        return not self.open

    def abort(self) -> None:
        if self.open:
            self.open = False
            self.stream.connection_lost(None)

    close = abort

    def get_extra_info(self, name: str) -> Any:
        return None

    def awaited(self) -> bool:
        return self.stream.read_waiter is not None and not self.stream.read_waiter.done()

    def pending(self) -> str | None:
        return self.calls[-1] if len(self.calls) > self.answered else None

    def feed(self, data: bytes) -> None:
        if self.open and data:
            self.stream.data_received(data)


@dataclass
class Asked:
    journey: RequestAttempts
    tasks: dict[int, asyncio.Task[Any]] = field(default_factory=dict)
    replies: dict[int, Any] = field(default_factory=dict)
    told: int = 0
    left: bool = False


@cache
def looped(pid: int) -> asyncio.AbstractEventLoop:
    """One loop a process; worlds that are let go leave their tasks unended, which is no fault."""
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda *_: None)
    return loop


awake: Wired | None = None  # the world that has its tasks
foreign: list[Wired] = []


class Wired:
    """A world as the explorer wants it."""

    def __init__(self, scene: Wiring, steps: Iterable[Step] = ()) -> None:
        self.scene = scene
        self.outcomes: list[tuple[Any, ...]] = []
        self.steps = list(steps)
        self.process = 0
        self.wake()

    def wake(self) -> None:
        """Makes the world as it was after its steps, unless it is the one that has its tasks."""
        global awake
        if awake is self and self.process == os.getpid():
            return
        if awake is not None:
            awake.sleep()
        awake, self.process = self, os.getpid()
        self.now = 0
        self.wrong: set[str] = set()
        self.wires: list[Wire] = []
        self.asked: list[Asked] = []
        self.ran: dict[str, int] = {}
        self.yard: ConnectionPool[ClientConnection] = ConnectionPool()
        self.peer = PeerClient("a", 80)
        self.cuts, self.extras, self.leaves = self.scene.cuts, self.scene.extras, self.scene.leaves
        self.earlier: list[asyncio.Task[Any]] = []
        self.inside(self.begin)
        self.inside(self.answered)
        for wire in self.wires:
            wire.ran = False
        self.inside(self.ask)
        for step in self.steps:
            self.take(step)

    def sleep(self) -> None:
        tasks = [task for one in self.asked for task in one.tasks.values()]
        if self.process != os.getpid():
            foreign.append(self)  # made before the fork: its tasks are of a loop that does not turn here
        elif tasks:
            for task in tasks:
                task.cancel()
            looped(self.process).run_until_complete(asyncio.gather(*tasks, return_exceptions=True))

    # -- the programs' side

    def inside(self, act: Any, *what: Any) -> None:
        """Acts within the loop, with this world's wires and clock, until every task waits for bytes."""
        loop = looped(os.getpid())
        names = [(forward, "connect", self.connect), (forward, "now_ns", lambda: self.now)]
        names += [(peers, "connect", self.connect), (peers, "token_hex", self.question)]
        kept = [getattr(module, name) for module, name, _ in names]
        for module, name, value in names:
            setattr(module, name, value)
        try:
            loop.run_until_complete(self.turn(act, what))
        finally:
            for (module, name, _), value in zip(names, kept, strict=True):
                setattr(module, name, value)

    async def turn(self, act: Any, what: tuple[Any, ...]) -> None:
        act(*what)
        for _ in range(TURNS):
            await asyncio.sleep(0)
            for r, one in enumerate(self.asked):
                for number, task in list(one.tasks.items()):
                    if task.done():
                        del one.tasks[number]
                        self.over(r, number, task)
            tasks = sum(len(one.tasks) for one in self.asked) + sum(not t.done() for t in self.earlier)
            if tasks == sum(wire.awaited() for wire in self.wires):
                return
        raise AssertionError("a task goes on and on")

    async def connect(self, host: str, port: int, wait_s: float, silent_ms: int = 0) -> ClientConnection:
        wire = Wire(self, len(self.wires), host)
        self.wires.append(wire)
        return wire.line

    def question(self, size: int) -> str:
        return f"q{sum(len(w.calls) for w in self.wires)}.{len(self.asked) - 1}"

    def ident(self, data: bytes) -> str:
        """The call that a request is of. One between controllers is named by its question."""
        for name in (b"x-question: ", b"x-request-id: ", b"x-of: "):
            if name in data:
                return data.split(name)[1].split(b"\r\n")[0].decode()
        return BEFORE

    def begin(self) -> None:
        for _ in range(self.scene.kept):
            call = self.peer.call(b"/pull", b"", 1e6) if self.between() else self.attempt(BEFORE, 0, LIMIT_NS)
            self.earlier.append(asyncio.get_running_loop().create_task(call))

    def answered(self) -> None:
        for wire in self.wires:
            wire.feed(self.answer(wire)[0])

    def between(self) -> bool:
        return self.scene.calls == "controllers"

    def attempt(self, ident: str, place: int, limit_ns: int) -> Any:
        named = self.scene.named
        names = [(b"host", b"h"), (b"x-request-id" if named else b"x-of", ident.encode())]
        asked = UpstreamRequest(b"POST", b"/", names, b"", ident.encode() if named else None)
        there = BackendInstance(LIVES[place], "s", LIVES[place], 80, "home", 2, "up", 0, 0)
        return forward.send_attempt(self.yard, there, asked, limit_ns)

    def ask(self) -> None:
        r, scene = len(self.asked), self.scene
        safe = scene.calls == "safe"
        journey = RequestAttempts(
            retry_rules(safe, LIMIT_NS, LIMIT_NS),
            choose_retry_policy(safe, 2, False),
            self.now + LIMIT_NS,
            RetriesAllowed(),
        )
        self.asked.append(Asked(journey))
        if self.between():
            self.start(r, 1, self.peer.call(b"/pull", b"", 1e6))
        else:
            self.follow(r, journey.handle_event(RequestReceived(), self.now, CHOICES, 0.0))

    def start(self, r: int, number: int, what: Any) -> None:
        self.asked[r].tasks[number] = asyncio.get_running_loop().create_task(what)

    def follow(self, r: int, step: Any) -> None:
        one = self.asked[r]
        match step:
            case SendAttempt(number, place):
                self.start(r, number, self.attempt(f"r{r}", place, one.journey.deadline_ns))
            case RejectRequest(status):
                self.tell(r, status)
            case ForwardResponse(number):
                reply = one.replies[number]
                self.tell(r, reply.status, reply.body)

    def over(self, r: int, number: int, task: asyncio.Task[Any]) -> None:
        one = self.asked[r]
        if self.between():
            if task.cancelled():
                return self.tell(r, 504)
            trouble = task.exception()
            if trouble is not None and not isinstance(trouble, RequestError):
                raise trouble
            return self.tell(r, 502) if trouble else self.tell(r, 200, task.result())
        tried = AttemptResult(CANCELLED, None, 0) if task.cancelled() else task.result()
        one.replies[number] = tried.response
        if not one.told:
            event = AttemptEnded(number, tried.outcome, tried.status)
            self.follow(r, one.journey.handle_event(event, self.now, CHOICES, 0.0))

    def tell(self, r: int, status: int, body: bytes = b"") -> None:
        one = self.asked[r]
        if one.told:
            return
        one.told = status
        if status == 200 and body not in [f"of {call}".encode() for call in self.calls(r)]:
            self.wrong.add("wrong caller")
        if status in NOT_RUN_STATUSES and self.scene.calls == "unsafe" and self.ran.get(f"r{r}", 0):
            self.wrong.add("ran twice")

    def calls(self, r: int) -> list[str]:
        """Names under which a caller's calls go."""
        if not self.between():
            return [f"r{r}"]
        return [call for wire in self.wires for call in wire.calls if call.endswith(f".{r}")]

    # -- steps

    def enabled(self) -> Iterable[Step]:
        self.wake()
        found: list[Step] = []
        if len(self.asked) < 2:
            found.append(("ask",))
        over = not found and all(one.told for one in self.asked)
        for k, wire in enumerate(self.wires):
            if self.scene.calls == "unsafe" and wire.pending() and not wire.ran and not wire.never:
                found.append(("run", k))
            if over:  # nobody asks any more: what may still run is all that matters
                continue
            if wire.rest and wire.open:
                found.append(("rest", k))
            if not wire.open or wire.rest:
                continue
            if wire.pending():
                found.append(("say", k))
                if self.cuts:
                    found += [("reset", k, where) for where in self.scene.where]
                    found += [("silence", k, where) for where in self.scene.where if 0 < where < 4]
                    found.append(("endless", k))
            if self.extras and len(wire.calls) > bool(wire.pending()):
                extras = EXTRAS if self.scene.named else NAMELESS
                found += [("extra", k, status, named) for status, named in extras]
                if wire.pending():
                    found += [("behind", k, status, named) for status, named in extras if status != OTHER]
        for r, one in enumerate(self.asked):
            if self.leaves and not one.told:
                found.append(("leave", r))
        return found

    def take_step(self, step: Step) -> None:
        self.wake()
        self.outcomes = [step]
        self.steps.append(step)
        self.take(step)

    def take(self, step: Step) -> None:
        kind, *what = step
        self.inside(getattr(self, "do_" + kind), *what)

    def do_ask(self) -> None:
        self.ask()

    def do_run(self, k: int) -> None:
        wire = self.wires[k]
        wire.ran = True
        ident = wire.calls[-1]
        self.ran[ident] = self.ran.get(ident, 0) + 1
        r = int(ident[1:]) if ident[1:].isdigit() else None
        if r is not None and self.scene.calls == "unsafe":
            told = self.asked[r].told
            if self.ran[ident] > 1 or told in NOT_RUN_STATUSES:
                self.wrong.add("ran twice")

    def answer(self, wire: Wire, framed: bool = True) -> tuple[bytes, int]:
        """The answer to the newest call: a success if it has run, else that it has not and never will."""
        ident, named = wire.calls[-1], self.scene.named
        wire.answered = len(wire.calls)
        if self.scene.calls == "unsafe" and not wire.ran and ident != BEFORE:
            wire.never = True
            return said(ident, NOT_RUN, named)
        return said(ident, OK, named, framed)

    def do_say(self, k: int) -> None:
        self.wires[k].feed(self.answer(self.wires[k])[0])

    def split(self, wire: Wire, where: int) -> tuple[bytes, bytes]:
        data, head = self.answer(wire)
        at = (0, head // 2, head, head + 3, len(data))[where]
        return data[:at], data[at:]

    def do_reset(self, k: int, where: int) -> None:
        self.cuts -= 1
        wire = self.wires[k]
        never, first = wire.never, self.split(wire, where)[0]
        wire.feed(first)
        if where < len(CUTS) - 1:  # nothing has been stated: it may run yet
            wire.never, wire.answered = never, wire.answered - 1
        wire.open = False
        wire.stream.connection_lost(None)

    def do_silence(self, k: int, where: int) -> None:
        self.cuts -= 1
        wire = self.wires[k]
        first, wire.rest = self.split(wire, where)
        wire.feed(first)

    def do_rest(self, k: int) -> None:
        wire = self.wires[k]
        rest, wire.rest = wire.rest, b""
        wire.feed(rest)

    def do_endless(self, k: int) -> None:
        """An answer without a length, whose end is the connection's, in the midst of its body."""
        self.cuts -= 1
        wire = self.wires[k]
        data, head = self.answer(wire, framed=False)
        wire.feed(data[: head + 3])
        wire.open = False
        wire.stream.connection_lost(None)

    def do_extra(self, k: int, status: str, named: int) -> None:
        self.extras -= 1
        wire = self.wires[k]
        wire.feed(said(wire.calls[-2 if wire.pending() else -1], status, bool(named))[0])

    def do_behind(self, k: int, status: str, named: int) -> None:
        self.extras -= 1
        wire = self.wires[k]
        wire.feed(self.answer(wire)[0] + said(wire.calls[-2], status, bool(named))[0])

    def do_leave(self, r: int) -> None:
        """Its time is over: its tries are cancelled, and it is told what that proves."""
        self.leaves -= 1
        one = self.asked[r]
        one.left = True
        for task in one.tasks.values():
            task.cancel()
        one.journey.handle_event(ClientDisconnected(), self.now, CHOICES, 0.0)
        self.tell(r, 504)

    # -- states

    def freeze(self) -> tuple[Wiring, tuple[Step, ...]]:
        return self.scene, tuple(self.steps)

    def key(self) -> Any:
        self.wake()
        return (
            "wired",
            self.scene.name,
            self.cuts,
            self.extras,
            self.leaves,
            tuple(sorted(self.wrong)),
            tuple(sorted(self.ran.items())),
            tuple(
                [
                    (
                        one.told,
                        one.left,
                        tuple([(n, t.backend, t.state) for n, t in one.journey.attempts.items()]),
                        tuple(sorted(one.tasks)),
                    )
                    for one in self.asked
                ]
            ),
            tuple(
                [
                    (
                        wire.life,
                        wire.open,
                        tuple(wire.calls),
                        wire.answered,
                        wire.ran,
                        wire.never,
                        len(wire.rest),
                        len(wire.stream.buffer),
                        wire.stream.at_eof,
                        wire.line.reusable,
                        wire.line.http11.is_idle(),
                        unread(wire.line),
                    )
                    for wire in self.wires
                ]
            ),
            tuple([self.kept(line) for _, line in self.idle()]),
        )

    def idle(self) -> list[tuple[str, ClientConnection]]:
        """Lines that are kept for a further call, and for whom."""
        backends = [(life, line) for life, stall in self.yard.endpoints.items() for _, line in stall.idle]
        return backends + [("a", line) for line in self.peer.idle_connections]

    def kept(self, line: ClientConnection) -> int:
        return next(wire.number for wire in self.wires if wire.line is line)


EXTRAS, NAMELESS = ((OK, 1), (OTHER, 1), (NOT_RUN, 0)), ((OK, 0), (NOT_RUN, 0))


def unread(line: ClientConnection) -> int:
    """Bytes behind an answer that the parser holds."""
    return len(line.http11._h11_state.trailing_data[0])


def thaw(state: tuple[Wiring, tuple[Step, ...]]) -> Wired:
    scene, steps = state
    return Wired(scene, steps)


def right(name: str) -> Any:
    return lambda world: name not in world.wrong


def clean(world: Wired) -> bool:
    """No call goes on a line with bytes of nobody, and none is kept with a call, or bytes, on it."""
    world.wake()
    if "clean lines" in world.wrong:
        return False
    kept = [world.wires[world.kept(line)] for _, line in world.idle() if line.usable()]
    return not any(w.pending() or w.rest or w.stream.buffer or unread(w.line) for w in kept)


def none_left(world: Wired) -> bool:
    """A line that nobody reads and that is not kept is ended."""
    world.wake()
    kept = [world.kept(line) for _, line in world.idle()]
    return all(not w.open or w.awaited() or w.number in kept for w in world.wires)


def told(world: Wired) -> bool:
    world.wake()
    return all(one.told or one.tasks for one in world.asked)


def say(step: Step) -> str:
    kind, *rest = step
    match kind, rest:
        case "ask", []:
            return "the other caller asks"
        case "run", [k]:
            return f"the far side of line {k} begins to work on its newest call"
        case "say", [k]:
            return f"it answers on line {k}"
        case "reset", [k, where]:
            return f"line {k} is reset {CUTS[where]}"
        case "silence", [k, where]:
            return f"line {k} falls silent {CUTS[where]}"
        case "rest", [k]:
            return f"the rest of that answer comes on line {k} after all"
        case "endless", [k]:
            return f"on line {k} an answer without a length ends in the midst of its body"
        case "extra", [k, status, named]:
            name = "" if named else ", without a name,"
            return f"an answer {status!r} to the call before{name} comes on line {k}"
        case "behind", [k, status, named]:
            name = "" if named else ", without a name,"
            return f"it answers on line {k}, and behind that {status!r} to the call before{name}"
        case "leave", [r]:
            return f"caller {r} waits no longer"
    raise ValueError(f"no such step: {step!r}")


def starts(large: bool) -> list[Wired]:
    scenes = [
        Wiring("two unsafe calls, lines that break", cuts=1),
        Wiring("two unsafe calls on lines of before", kept=1, extras=1),
        Wiring("two safe calls, lines that break", "safe", cuts=1),
        Wiring("calls without an id", "safe", kept=1, extras=1, named=False),
        Wiring("callers that wait no longer", leaves=1),
        Wiring("calls between controllers", "controllers", kept=1, extras=1),
        Wiring("calls between controllers, lines that break", "controllers", cuts=1, leaves=1),
    ]
    if large:
        scenes += [
            Wiring("unsafe, all of it", kept=1, cuts=1, extras=1, leaves=1),
            Wiring("safe, all of it", "safe", kept=2, cuts=1, extras=1),
            Wiring("unsafe, lines that break twice", cuts=2, where=(0, 1, 2, 3, 4)),
            Wiring("controllers, all of it", "controllers", kept=1, cuts=1, extras=1, leaves=1),
        ]
    return [Wired(scene) for scene in scenes]
