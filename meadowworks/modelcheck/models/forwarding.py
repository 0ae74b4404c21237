"""One client's request through a junction: `carriage.journey.Journey`, `carriage.answers.judge`, the yard of
lines by life and the fold of lives, among two backends of a service whose answers are lost, late or of
another request, that drain, end, and whose address another service's backend takes over.

A try's run and its answer are steps of their own, so that a try which was given up may run afterwards. A
promise that it has not run is held to that. The client sends anew, under another id, as the protocol allows.
"""

from __future__ import annotations

import pickle
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from meadowworks.attempts.retry_policy import FAILED, NEVER_RAN
from meadowworks.forwarding.connection_pool import ConnectionPool
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
    retry_rules,
)
from meadowworks.forwarding.response_check import NOT_RUN_STATUSES, check_response
from meadowworks.forwarding.retry_budget import RetryBudget
from meadowworks.gossip.updates import KeyUpdate
from meadowworks.modelcheck.model import Model, Property, Step
from meadowworks.modelcheck.models import wires
from meadowworks.registry.backends import BackendDirectory

LIVES, ADDRESSES, OTHER = ("a", "b"), ("x:1", "y:1"), "c"  # `c` is another service's, at an address of before
SERVICE, FOREIGN = "s", "t"
LIMIT_MS, TARGET_MS = 1000, 200


@dataclass(frozen=True, slots=True)
class Scene:
    name: str
    safe: bool = False
    tries: int = 2
    repeats: int = 0  # the client's own new tries
    drains: bool = False
    reuse: bool = False  # an address goes to another service's backend
    surplus: int = 0  # answers of before that still come on a kept line
    kept: bool = False  # a line to the first life is there from before


@dataclass(eq=False)
class Line:
    """A connection to an address; who answers there is whoever lives there when it was opened."""

    number: int
    life: str
    open: bool = True
    carried: int = 0  # requests

    def usable(self) -> bool:
        return self.open

    def close(self) -> None:
        self.open = False


@dataclass
class Flight:
    """A try on its way: the request's and its own number, the line it went on, and how often it has run."""

    request: int
    number: int
    want: str
    line: Line
    ran: int = 0
    heard: bool = True  # the junction still waits for its answer
    never: bool = False  # its backend has stated that it does not run it


@dataclass
class Asked:
    journey: RequestAttempts
    told: int = 0  # the status that its client has; 0: none so far
    whose: str = ""  # of which request the answer was, for a success


@dataclass
class World:
    scene: Scene
    outcomes: list[tuple[Any, ...]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.now = 0
        self.yard: ConnectionPool[Line] = ConnectionPool()
        self.lives = BackendDirectory(self.silent, self.clock)
        self.at = dict(zip(ADDRESSES, LIVES, strict=True))  # who lives where; nobody: absent
        self.asked: list[Asked] = []
        self.flights: list[Flight] = []
        self.budget = RetryBudget(0.0, 10_000 * MS)
        self.opened = 0
        self.repeats, self.surplus = self.scene.repeats, self.scene.surplus
        self.drained: tuple[str, ...] = ()  # told to the junction
        self.wrong: tuple[str, ...] = ()  # what went wrong, by property
        for life, address in zip(LIVES, ADDRESSES, strict=True):
            self.say(life, address, "up")
        if self.scene.kept:
            self.yard.load("a").in_flight += 1
            line = self.open("a")
            line.carried = 1
            self.yard.release(0, "a", line, 60)
            self.yard.load("a").in_flight -= 1
        self.begin()

    def silent(self, source: str) -> int:
        return 0

    def clock(self) -> int:
        return self.now

    def say(self, life: str, address: str, state: str, service: str = SERVICE) -> None:
        self.lives.on_update(KeyUpdate("box", f"b/{life}", [service, address, "home", 2.0, state, 1, 0, 0]))

    def open(self, life: str) -> Line:
        self.opened += 1
        return Line(self.opened, life)

    # -- the junction, as its shell does it

    def seen(self) -> EndpointChoices:
        lines = {
            place: 1.0
            for place, life in enumerate(LIVES)
            if (known := self.lives.instances.get(life)) and known.accepts_requests and not self.avoided(life)
        }
        return EndpointChoices(lines, {place: 100.0 * MS for place in lines})

    def avoided(self, life: str) -> bool:
        load = self.yard.known_load(life)
        return load is not None and load.is_avoided(self.now)

    def begin(self) -> None:
        safe = self.scene.safe
        limit = self.now + LIMIT_MS * MS
        journey = RequestAttempts(
            retry_rules(safe, LIMIT_MS * MS, TARGET_MS * MS),
            choose_retry_policy(safe, self.scene.tries, False),
            limit,
            self.budget,
        )
        self.budget.record_request(self.now)
        self.asked.append(Asked(journey))
        self.follow(len(self.asked) - 1, self.handle(journey, RequestReceived()))

    def handle(self, journey: RequestAttempts, event: Event) -> Command:
        return journey.handle_event(event, self.now, self.seen(), 0.0)

    def follow(self, r: int, step: Command) -> None:
        one = self.asked[r]
        match step:
            case SendAttempt(number, place):
                self.send(r, number, LIVES[place])
            case RejectRequest(status):
                self.tell(r, status, "")
            case ForwardResponse(number):
                self.tell(r, *self.answers[r, number])
        if one.told:
            for flight in self.flights:
                if flight.request == r:
                    flight.heard = False

    answers: dict[tuple[int, int], tuple[int, str]] = field(default_factory=dict)

    def tell(self, r: int, status: int, whose: str) -> None:
        self.asked[r].told, self.asked[r].whose = status, whose
        ran = any(f.request == r and f.ran for f in self.flights)
        if status == 200 and whose != f"r{r}":
            self.wrong += ("own answer",)
        if not self.scene.safe and status in NOT_RUN_STATUSES and ran:
            self.wrong += ("promises kept",)

    def send(self, r: int, number: int, life: str) -> None:
        if life in self.drained:
            self.wrong += ("drains kept",)
        self.yard.load(life).in_flight += 1
        line = self.yard.acquire(self.now, life)
        if line is None:
            address = ADDRESSES[LIVES.index(life)]
            if address not in self.at:  # nobody there: the connection never comes up
                self.yard.load(life).mark_unreachable(self.now)
                self.yard.load(life).in_flight -= 1
                return self.ended(r, number, NEVER_RAN, 0)
            line = self.open(self.at[address])
        line.carried += 1
        self.flights.append(Flight(r, number, life, line))

    def ended(self, r: int, number: int, state: int, status: int) -> None:
        event = AttemptEnded(number, state, status)
        self.follow(r, self.handle(self.asked[r].journey, event))

    def close(self, flight: Flight) -> None:
        """The try is over for the junction."""
        self.flights = [f if f is not flight else replace(f, heard=False) for f in self.flights]
        self.yard.load(flight.want).in_flight -= 1

    # -- steps

    def enabled(self) -> Iterable[Step]:
        found: list[Step] = []
        for k, f in enumerate(self.flights):
            alive = f.line.life in self.at.values()
            if alive and not f.ran and not f.never:
                found.append(("run", k))
            if f.heard:
                found.append(("reset", k))
                if alive:
                    found += [("answer", k, status) for status in self.may_say(f)]
                if self.surplus and f.line.open:
                    found += [("surplus", k, status, 1) for status in (200, 421)]
                    if f.line.carried > 1:
                        found.append(("surplus", k, 503, 0))
        for r, one in enumerate(self.asked):
            if not one.told and any(f.request == r and f.heard for f in self.flights):
                found.append(("due", r))
        last = self.asked[-1]
        if (
            self.repeats
            and last.told
            and (last.told in NOT_RUN_STATUSES or self.scene.safe and last.told >= 500)
        ):
            found.append(("repeat",))
        if self.scene.drains:
            found += [("drain", life) for life in LIVES if life not in self.drained]
        if self.scene.reuse and OTHER not in self.at.values():
            found += [("reuse", place) for place in range(len(LIVES))]
        return found

    def may_say(self, f: Flight) -> tuple[int, ...]:
        """Statuses that its backend may answer with: 0 stands for a 503 that states that it did not run."""
        if f.line.life != f.want:
            return (421,)
        return (200, 500, 503) if f.ran else (0,)

    def take_step(self, step: Step) -> None:
        self.outcomes = [step]
        kind, *what = step
        getattr(self, "do_" + kind)(*what)

    def do_run(self, k: int) -> None:
        f = self.flights[k]
        if f.line.life != f.want:
            return  # it answers 421 and does not run it
        f.ran += 1
        one = self.asked[f.request]
        if not self.scene.safe:
            if sum(g.ran for g in self.flights if g.request == f.request) > 1:
                self.wrong += ("at most once",)
            if one.told in NOT_RUN_STATUSES:
                self.wrong += ("promises kept",)

    def do_answer(self, k: int, status: int, whose: str = "", other: bool = False) -> None:
        f = self.flights[k]
        ident, line = whose or f"r{f.request}", f.line
        headers = {} if whose == "nobody" else {b"x-request-id": ident.encode()}
        if status == 200:
            headers[b"x-backend-seal"] = b"seal"
        if status == 421:
            headers[b"x-backend-id"] = line.life.encode()
        if not status:
            headers[b"x-not-run"] = b"full"
        mine, want = f"r{f.request}".encode(), f.want.encode()
        verdict = check_response(mine, want, status or 503, headers.get, line.carried == 1)
        if verdict.reusable and not other:
            self.yard.release(self.now, f.want, line, 60)
        else:
            line.close()
        if not other and status in (0, 421):
            f.never = True
        self.close(f)
        if verdict.incarnation_ended:
            self.lives.mark_superseded(f.want)
        self.answers = {**self.answers, (f.request, f.number): (status or 503, ident)}
        self.ended(f.request, f.number, verdict.outcome, (status or 503) if verdict.is_valid else 0)

    def do_surplus(self, k: int, status: int, named: int) -> None:
        """An answer to an earlier request comes in this one's place; its own is still to come. A 503 stands
        for one that says that it did not run, and does not say which request."""
        self.surplus -= 1
        self.do_answer(k, 0 if status == 503 else status, "r-before" if named else "nobody", True)

    def do_reset(self, k: int) -> None:
        f = self.flights[k]
        f.line.close()
        self.close(f)
        self.ended(f.request, f.number, FAILED, 0)

    def do_due(self, r: int) -> None:
        journey = self.asked[r].journey
        self.now = max(self.now, journey.next_timer_ns(self.now))
        self.follow(r, self.handle(journey, TimerExpired()))

    def do_repeat(self) -> None:
        self.repeats -= 1
        self.now += 100 * MS
        self.begin()

    def do_drain(self, life: str) -> None:
        self.drained += (life,)
        self.say(life, ADDRESSES[LIVES.index(life)], "draining")

    def do_reuse(self, place: int) -> None:
        """The backend ends without a word; its connections with it."""
        self.at[ADDRESSES[place]] = OTHER

    # -- states

    def freeze(self) -> bytes:
        did, self.outcomes = self.outcomes, []
        silent, now = self.lives.source_silence_ns, self.lives.clock
        self.lives.source_silence_ns = self.lives.clock = None  # type: ignore[assignment]
        try:
            return pickle.dumps(self, pickle.HIGHEST_PROTOCOL)
        finally:
            self.outcomes, self.lives.source_silence_ns, self.lives.clock = did, silent, now

    def key(self) -> Any:
        return (
            self.scene.name,
            self.now,
            self.repeats,
            self.surplus,
            self.drained,
            self.wrong,
            tuple(sorted(self.at.items())),
            tuple(sorted(self.lives.superseded)),
            tuple(
                [
                    (
                        one.told,
                        one.whose,
                        one.journey.unhedged_until_ns,
                        tuple(
                            [
                                (n, t.backend, t.state, t.wait_until_ns)
                                for n, t in one.journey.attempts.items()
                            ]
                        ),
                        tuple(one.journey.backend_failures.items()),
                    )
                    for one in self.asked
                ]
            ),
            tuple(
                [
                    (
                        f.request,
                        f.number,
                        f.want,
                        f.line.number,
                        f.line.life,
                        f.line.open,
                        f.line.carried,
                        f.ran,
                        f.heard,
                        f.never,
                    )
                    for f in self.flights
                ]
            ),
            tuple(
                [
                    (
                        life,
                        s.load.in_flight,
                        s.load.avoided_until_ns,
                        tuple([(u, line.number, line.life, line.open, line.carried) for u, line in s.idle]),
                    )
                    for life, s in sorted(self.yard.endpoints.items())
                ]
            ),
            tuple(self.budget.retries),
        )


def thaw(state: Any) -> Any:
    if not isinstance(state, bytes):
        return wires.thaw(state)
    world: World = pickle.loads(state)
    world.lives.source_silence_ns, world.lives.clock = world.silent, world.clock
    return world


def right(name: str) -> Any:
    return lambda world: name not in world.wrong


def of(kind: type, holds: Callable[[Any], bool]) -> Callable[[Any], bool]:
    """A property of worlds of one kind alone."""
    return lambda world: not isinstance(world, kind) or holds(world)


def own_lines(world: World) -> bool:
    """A line that is kept for a life leads to it."""
    return all(
        line.life == life
        for life, stall in world.yard.endpoints.items()
        for _, line in stall.idle
        if line.usable()
    )


def tries_bounded(world: World) -> bool:
    return all(len(one.journey.attempts) <= max(1, world.scene.tries) for one in world.asked)


def told_at_once(world: World) -> bool:
    """A request with no try under way, and none to come, has its answer."""
    return all(
        one.told or any(f.request == r and f.heard for f in world.flights)
        for r, one in enumerate(world.asked)
    )


PROPERTIES = (
    Property(
        "at most once", "an unsafe request runs once at most, whatever is tried again", right("at most once")
    ),
    Property(
        "promises kept",
        "an unsafe request that was told 503 or the like has not run and never will",
        right("promises kept"),
    ),
    Property("own answer", "a success that goes to a client is its own request's", right("own answer")),
    Property(
        "drains kept", "no try begins at a life that is known to drain or to be gone", right("drains kept")
    ),
    Property("own lines", "a kept line leads to the life that it is kept for", of(World, own_lines)),
    Property("tries bounded", "no more tries than the operator allows", of(World, tries_bounded)),
    Property(
        "told at once",
        "with no try under way its client has its answer",
        lambda world: wires.told(world) if isinstance(world, wires.Wired) else told_at_once(world),
    ),
    Property("wrong caller", "no caller is told a success that is not its own, whole", right("wrong caller")),
    Property("ran twice", "no unsafe call runs twice, or after a promise not to", right("ran twice")),
    Property("clean lines", "no call goes where bytes of another may come", of(wires.Wired, wires.clean)),
    Property("no line left", "a line that nobody reads is kept or ended", of(wires.Wired, wires.none_left)),
)


def say(step: Step) -> str:
    kind, *rest = step
    match kind, rest:
        case "run", [k]:
            return f"the backend begins to work on try {k}"
        case "answer", [k, status]:
            return f"try {k} is answered {status or '503, not run'}"
        case "surplus", [k, status, named]:
            which = "a request" if named else "some request"
            return f"an answer {status} to {which} of before comes in the place of try {k}'s"
        case "reset", [k]:
            return f"the connection of try {k} is reset"
        case "due", [r]:
            return f"request {r} is waited for long enough"
        case "repeat", []:
            return "the client sends anew"
        case "drain", [life]:
            return f"the junction hears that {life} drains"
        case "reuse", [place]:
            return f"backend {LIVES[place]} ends, and another service's takes its address"
    return wires.say(step)


def starts(large: bool) -> list[Any]:
    scenes = [
        Scene("an unsafe request"),
        Scene("a safe one", safe=True),
        Scene("one try alone", safe=True, tries=1),
        Scene("unsafe, with what is left of before", kept=True, surplus=1),
        Scene("an address is another's", reuse=True, kept=True),
        Scene("a drain under way", drains=True),
        Scene("the client sends anew", repeats=1),
    ]
    scenes += [
        Scene("safe, a drain, an address", safe=True, drains=True, reuse=True, kept=True),
        Scene("all of it", repeats=1, drains=True, reuse=True, kept=True, surplus=1),
    ]
    if large:
        scenes += [
            Scene("all of it, safe", True, 3, 1, drains=True, reuse=True, kept=True, surplus=1),
            Scene("all of it, twice anew", False, 2, 2, drains=True, reuse=True, kept=True, surplus=2),
        ]
    return [*(World(scene) for scene in scenes), *wires.starts(large)]


def model(large: bool) -> Model:
    return Model("carriage", "a request through a junction", lambda: starts(large), thaw, say, PROPERTIES)
