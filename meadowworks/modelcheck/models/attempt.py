"""The life of calls at proxies: `meadowworks.attempts.machine.Attempts` among backends, clients and a clock.

What is real here is the machine. The world keeps the truth beside it: which tries may run at a backend, what
each asking of a client was told. Time goes by in whole units; a reply may come before, in and after the unit
in which a try's wait is over. Backends that are alike are one by their signature: the state of a backend and
all tries at it. When a try runs is not a step of its own: until there is proof that it never did it may run
at any time, so a mutating call is held to one such try in all, which is the same as never running twice.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from functools import partial
from typing import Any

from meadowworks.attempts.machine import AttemptMachine, Call, FinalReply, RouteTable
from meadowworks.attempts.retry_policy import (
    ANSWERED,
    CANCELLED,
    FAILED,
    NEVER_RAN,
    SENT,
    Attempt,
    RouteRetryPolicy,
)
from meadowworks.modelcheck.model import LivenessProperty, Model, Property, Step, steps_starting_with

LIMIT, WAIT, LEAST, HOLD = 3, 1, 2, 1  # units: a call's time limit, a followed try's wait, see Way
PACE = 10
OPEN, DRAINED, ENDED = range(3)  # of a backend, as the table and its process have it
NONE, WAITING, TOLD, AWAY, CUT = range(5)  # of an asking
MANY = 2  # tries that may run beyond this count as this
ASKS = 2  # of a call at the most
REPLIES = (ANSWERED, NEVER_RAN, FAILED)


class Drawn(AttemptMachine):
    """The machine with its draws handed in: what chance picks, the explorer picks in every way. (Seeds cannot
    stand for that: with zlib.crc32 the draws of a seed hang together.)"""

    drawn = 0.0

    def random(self) -> float:
        return self.drawn


@dataclass(frozen=True, slots=True)
class Scene:
    """What a start fixes."""

    repeatable: bool
    policy: int
    backends: int = 2
    proxies: int = 1
    asks: tuple[int, ...] = (2,)  # of each call: the client's first, and its own retry
    deaths: int = 1
    flips: bool = True  # the way of trying again changes while calls are under way
    ends: bool = True  # backends end
    kept: int = 1  # answers that a proxy keeps for repeats
    limit: int = LIMIT
    wait: int = WAIT

    @property
    def way(self) -> RouteRetryPolicy:
        return RouteRetryPolicy(self.repeatable, self.limit, self.wait, LEAST, HOLD)


@dataclass(slots=True)
class Truth:
    """A try as it really is, while its machine knows it."""

    key: int
    backend: int
    heard: int = -1  # the reply that came
    cut: bool = False  # its backend ended: no answer will come


@dataclass(slots=True)
class Ask:
    state: int = NONE
    proxy: int = 0
    times: int = 0  # how often it was told something final
    back: bool = False  # it may come again


class World:
    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        self.outcomes: list[tuple[Any, ...]] = []
        self.now = 0
        self.backends = [OPEN] * scene.backends
        self.policy, self.deaths = scene.policy, scene.deaths
        self.asks = [[Ask() for _ in range(asks)] for asks in scene.asks]
        self.loose = [0] * len(scene.asks)  # tries that may run yet or have run, and that no machine knows
        self.tries: dict[tuple[int, int], Truth] = {}  # by proxy and number
        self.machines: list[Drawn | None] = [None] * scene.proxies
        for place in range(scene.proxies):
            self.rise(place)

    # -- proxies and their orders

    def rise(self, place: int) -> None:
        host = Side(self, place)
        self.machines[place] = Drawn(host, (self.scene.way,), PACE, self.scene.kept, 0)
        self.order(place)

    def order(self, place: int) -> None:
        if machine := self.machines[place]:
            machine.on_table(0, self.lines(), 1.0, self.policy)

    def lines(self) -> dict[int, float]:
        return {b: 1.0 for b, state in enumerate(self.backends) if state != DRAINED}

    def orders(self) -> None:
        for place in range(self.scene.proxies):
            self.order(place)

    # -- steps

    def enabled(self) -> Iterable[Step]:
        found: list[Step] = []
        open_to = len(self.lines()) or 1
        coming = False
        for key, asks in enumerate(self.asks):
            for place, ask in enumerate(asks):
                if ask.state == WAITING:
                    found.append(("leave", key, place))
                if ask.state != NONE or place and not self.retries(asks[place - 1]):
                    continue
                coming = True
                for p, machine in enumerate(self.machines):
                    if machine and key in machine.calls and machine.calls[key].outcome is None:
                        found.append(("ask", key, place, p, 0, 1))
                    elif machine:
                        found += [("ask", key, place, p, dice, 1) for dice in range(open_to)]
                        found.append(("ask", key, place, p, 0, 0))
        if not coming and not owed(self):
            return found  # whatever happens now, nobody is told anything
        draws = range(open_to if self.scene.backends > 2 else 1)
        for (p, number), truth in self.tries.items():
            if truth.heard < 0:
                hows = (NEVER_RAN, FAILED) if truth.cut else REPLIES
                found += [
                    ("reply", p, number, how, d) for how in hows for d in (draws if how != ANSWERED else (0,))
                ]
            elif truth.heard == NEVER_RAN:
                found.append(("cut", p, number))
        for b, state in enumerate(self.backends):
            if state != ENDED:
                found.append(("drain", b) if state == OPEN else ("back", b))
                if self.scene.ends:
                    found.append(("end", b))
        if self.policy and self.scene.flips:
            found.append(("strict",))
        for p, machine in enumerate(self.machines):
            if machine is None:
                found.append(("rise", p))
            elif self.deaths:
                found.append(("die", p))
        if any(machine and machine.calls for machine in self.machines):
            found += [("pass", d) for d in draws]
        return found

    def retries(self, before: Ask) -> bool:
        return before.state in (WAITING, AWAY, CUT) or before.state == TOLD and before.back

    def take_step(self, step: Step) -> None:
        self.outcomes = []
        kind, *what = step
        getattr(self, "do_" + kind)(*what)
        self.tidy()

    def dice(self, which: int) -> None:
        """All that is drawn in this step falls into one part of the range."""
        ways = len(self.lines()) or 1
        for machine in self.machines:
            if machine:
                machine.drawn = (which + 0.5) / ways

    def do_ask(self, key: int, place: int, p: int, dice: int, let_in: int) -> None:
        self.dice(dice)
        before = self.asks[key][place - 1] if place else Ask()
        ask, machine = self.asks[key][place], self.machines[p]
        assert machine is not None
        ask.state, ask.proxy = WAITING, p
        fresh = key not in machine.calls
        machine.tables[0].admission_ratio = float(let_in)
        machine.on_request(self.now, key, 0, key * ASKS + place, before.state in (WAITING, AWAY, CUT))
        machine.tables[0].admission_ratio = 1.0
        self.outcomes.append(("asked", fresh, let_in, ask.state == WAITING))

    def do_leave(self, key: int, place: int) -> None:
        ask = self.asks[key][place]
        ask.state = AWAY
        if machine := self.machines[ask.proxy]:
            machine.on_client_gone(self.now, key, key * ASKS + place)

    def do_reply(self, p: int, number: int, how: int, dice: int) -> None:
        self.dice(dice)
        truth, machine = self.tries[p, number], self.machines[p]
        truth.heard = how
        assert machine is not None
        machine.on_attempt_ended(self.now, truth.key, number, how)

    def do_cut(self, p: int, number: int) -> None:
        """The connection of a try that was answered for ends too, and the transport says so."""
        machine = self.machines[p]
        assert machine is not None
        machine.on_attempt_ended(self.now, self.tries[p, number].key, number, FAILED)

    def do_drain(self, b: int) -> None:
        self.backends[b] = DRAINED
        self.orders()

    def do_back(self, b: int) -> None:
        self.backends[b] = OPEN
        self.orders()

    def do_end(self, b: int) -> None:
        """Its process ends: what it had not answered is cut off, run or not."""
        self.backends[b] = ENDED
        for truth in self.tries.values():
            truth.cut |= truth.backend == b
        self.orders()

    def do_strict(self) -> None:
        self.policy = 0
        self.orders()

    def do_die(self, p: int) -> None:
        self.deaths -= 1
        self.machines[p] = None
        for at in [at for at in self.tries if at[0] == p]:
            self.let_go(at)
        for asks in self.asks:
            for ask in asks:
                if ask.state == WAITING and ask.proxy == p:
                    ask.state = CUT

    def do_rise(self, p: int) -> None:
        self.rise(p)

    def do_pass(self, dice: int) -> None:
        self.dice(dice)
        self.now += 1
        for machine in self.machines:
            if machine:
                machine.tick(self.now)

    def let_go(self, at: tuple[int, int]) -> None:
        truth = self.tries.pop(at)
        if truth.heard != NEVER_RAN and not self.scene.repeatable:
            self.loose[truth.key] = min(MANY, self.loose[truth.key] + 1)

    def tidy(self) -> None:
        """Tries that no machine knows any more are counted, no matter how they ended."""
        for at, truth in list(self.tries.items()):
            machine = self.machines[at[0]]
            call = machine.calls.get(truth.key) if machine else None
            if call is None or at[1] not in call.attempts:
                self.let_go(at)

    def may_run(self, key: int) -> int:
        """Tries of a call without proof that they never ran."""
        return self.loose[key] + sum(t.key == key and t.heard != NEVER_RAN for t in self.tries.values())

    # -- what the machine does

    def sent(self, p: int, key: int, number: int, b: int) -> None:
        machine = self.machines[p]
        assert machine is not None
        call = machine.calls[key]
        before = [self.tries[p, n] for n in call.attempts if n != number]
        proof = all(t.heard == NEVER_RAN for t in before)
        allowed = not before or self.policy > 0 and (proof or self.scene.repeatable and self.policy > 1)
        self.outcomes.append(
            (
                "sent",
                len(before),
                allowed,
                self.backends[b] != DRAINED,
                all(t.backend != b for t in before),
                call.deadline_ns - self.now,
                bool(call.waiters),
            )
        )
        self.tries[p, number] = Truth(key, b)
        if self.backends[b] == ENDED:
            self.tries[p, number].cut = True

    def told(self, p: int, key: int, asker: int, told: FinalReply) -> None:
        place = asker % ASKS
        ask = self.asks[key][place]
        machine = self.machines[p]
        assert machine is not None
        call = machine.calls.get(key)
        mine = [self.tries[p, n] for n in call.attempts if (p, n) in self.tries] if call else []
        could = any(t.heard != NEVER_RAN for t in mine) or not self.scene.repeatable and self.may_run(key) > 0
        heard = any(t.heard == ANSWERED for t in mine)
        early = (
            any(one.state == CANCELLED and one.wait_until_ns > self.now for one in call.attempts.values())
            if call
            else 0
        )
        self.outcomes.append(
            (
                "told",
                told.kind,
                told.may_have_run,
                told.retry_after_ns > 0,
                could,
                bool(mine),
                heard,
                early,
                ask.state == WAITING,
            )
        )
        ask.times += 1
        ask.back = told.retry_after_ns > 0
        if ask.state == WAITING:
            ask.state = TOLD

    # -- states

    def freeze(self) -> Any:
        return (
            self.scene,
            self.now,
            tuple(self.backends),
            self.policy,
            self.deaths,
            tuple(tuple((a.state, a.proxy, a.times, a.back) for a in asks) for asks in self.asks),
            tuple(self.loose),
            tuple((*at, t.key, t.backend, t.heard, t.cut) for at, t in self.tries.items()),
            tuple(frozen(machine) if machine else None for machine in self.machines),
        )

    def key(self) -> Any:
        """Backends by what they are and hold, calls and proxies in their order; times from now."""
        now = self.now
        machines: list[Any] = []
        at: list[list[Any]] = [[] for _ in self.backends]
        for p, machine in enumerate(self.machines):
            if machine is None:
                machines.append(None)
                continue
            calls = []
            for key, call in sorted(machine.calls.items()):
                over = call.outcome
                for place, (number, one) in enumerate(call.attempts.items()):
                    truth = self.tries[p, number]
                    at[one.backend].append(
                        (
                            p,
                            key,
                            place,
                            one.state,
                            truth.heard,
                            truth.cut,
                            one.wait_until_ns - now if one.state == SENT else 0,
                        )
                    )
                calls.append(
                    (
                        key,
                        tuple(call.waiters),
                        call.keep_until_ns - now if over else call.deadline_ns - now,
                        (over.kind, over.may_have_run, over.retry_after_ns > 0) if over else (),
                    )
                )
            machines.append((tuple(calls), tuple(machine.kept), machine.tables[0].retry_policy))
            for b in machine.tables[0].weights:
                at[b].append((p, -1))
        backends = tuple(sorted([(state, tuple(at[b])) for b, state in enumerate(self.backends)]))
        asks = tuple([(a.state, a.proxy, a.times, a.back) for asks in self.asks for a in asks])
        return (
            self.scene.repeatable,
            self.scene.policy,
            self.scene.kept,
            backends,
            self.policy,
            self.deaths,
            asks,
            tuple(self.loose),
            tuple(machines),
        )


def frozen(machine: AttemptMachine) -> Any:
    return (
        tuple(
            (
                key,
                c.route,
                c.deadline_ns,
                tuple(c.waiters),
                tuple((n, t.backend, t.state, t.wait_until_ns) for n, t in c.attempts.items()),
                c.outcome,
                c.keep_until_ns,
            )
            for key, c in machine.calls.items()
        ),
        tuple(machine.kept),
        tuple(machine.timers),
        machine.attempt_count,
        tuple(machine.tables[0].weights.items()),
        machine.tables[0].retry_policy,
    )


def thaw(state: Any) -> World:
    world = World.__new__(World)
    (world.scene, world.now, backends, world.policy, world.deaths, asks, loose, tries, machines) = state
    world.outcomes, world.backends, world.loose = [], list(backends), list(loose)
    world.asks = [[Ask(*ask) for ask in each] for each in asks]
    world.tries = {(p, number): Truth(*truth) for p, number, *truth in tries}
    world.machines = [None] * world.scene.proxies
    for place, kept in enumerate(machines):
        if kept is None:
            continue
        world.rise(place)
        machine = world.machines[place]
        assert machine is not None
        calls, over, due, machine.attempt_count, lines, policy = kept
        machine.tables[0] = RouteTable(dict(lines), 1.0, policy)
        for key, route, limit, askers, each, final, until in calls:
            machine.calls[key] = Call(
                route, limit, list(askers), {n: Attempt(b, s, d) for n, b, s, d in each}, final, until
            )
        machine.kept = dict.fromkeys(over)
        machine.timers = list(due)
    return world


class Side:
    """The host of one proxy's machine."""

    def __init__(self, world: World, place: int) -> None:
        self.send = partial(world.sent, place)
        self.reply = partial(world.told, place)

    def cancel(self, number: int) -> None:
        """A wish only: the try stays as it is, and may run."""

    def count(self, what: str) -> None:
        """Counted in the product; here no outcome hangs on it."""


# -- properties


def each(world: World, kind: str) -> list[tuple[Any, ...]]:
    return [event[1:] for event in world.outcomes if event[0] == kind]


def runs_once(world: World) -> bool:
    return world.scene.repeatable or all(world.may_run(key) <= 1 for key in range(len(world.scene.asks)))


def one_final(world: World) -> bool:
    return all(ask.times <= 1 for asks in world.asks for ask in asks)


def told_while_waiting(world: World) -> bool:
    return all(waiting for *_, waiting in each(world, "told"))


def two_further(world: World) -> bool:
    return all(before <= attempts_most(world) for before, *_ in each(world, "sent"))


def attempts_most(world: World) -> int:
    return 2 if world.scene.policy == 3 else min(1, world.scene.policy)


def as_ordered(world: World) -> bool:
    return all(allowed for _, allowed, *_ in each(world, "sent"))


def none_to_drained(world: World) -> bool:
    return all(open_to for _, _, open_to, *_ in each(world, "sent"))


def another_backend(world: World) -> bool:
    return all(other for _, _, _, other, *_ in each(world, "sent"))


def in_time(world: World) -> bool:
    return all(left >= LEAST for before, _, _, _, left, _ in each(world, "sent") if before)


def for_somebody(world: World) -> bool:
    return all(asked for *_, asked in each(world, "sent"))


def truthful(world: World) -> bool:
    for kind, may, _, could, _, heard, *_ in each(world, "told"):
        if kind == "answered" and not heard or kind != "answered" and not may and could:
            return False
    return True


def precise(world: World) -> bool:
    return all(
        could or kind == "answered" or not may or not mine
        for kind, may, _, could, mine, *_ in each(world, "told")
    )


def not_early(world: World) -> bool:
    return all(kind == "answered" or not early for kind, *_, early, _ in each(world, "told"))


def come_back(world: World) -> bool:
    for kind, may, back, *_ in each(world, "told"):
        wanted = kind != "answered" and not (may and not world.scene.repeatable)
        if back != wanted:
            return False
    return True


def throttled_at_once(world: World) -> bool:
    return not any(fresh and not level and waits for fresh, level, waits in each(world, "asked"))


def nothing_held(world: World) -> bool:
    """An open call has a try that is waited for: what is given up is answered at once."""
    for machine in world.machines:
        for call in machine.calls.values() if machine else ():
            if call.outcome is None and not any(
                one.state == SENT and one.wait_until_ns > world.now for one in call.attempts.values()
            ):
                return False
    return True


def within_limit(world: World) -> bool:
    for machine in world.machines:
        for call in machine.calls.values() if machine else ():
            if call.outcome is None and call.deadline_ns <= world.now:
                return False
    return True


def one_at_a_time(world: World) -> bool:
    return all(
        sum(one.state == SENT for one in call.attempts.values()) <= 1
        for machine in world.machines
        if machine
        for call in machine.calls.values()
    )


def bounded(world: World) -> bool:
    return all(
        len(machine.kept) <= machine.max_kept_replies
        and len(machine.calls) <= len(machine.kept) + len(world.scene.asks)
        for machine in world.machines
        if machine
    )


def owed(world: World) -> bool:
    return any(ask.state == WAITING for asks in world.asks for ask in asks)


def heard_out(world: World) -> bool:
    """A client whose mutating call was answered after it went away is told so when it asks again."""
    for machine in world.machines:
        for call in machine.calls.values() if machine else ():
            answered = any(one.state == ANSWERED for one in call.attempts.values())
            if call.outcome and answered and call.outcome.kind != "answered" and not world.scene.repeatable:
                return False
    return True


PROPERTIES = (
    Property(
        "mutating once", "a mutating call never runs twice, whatever is tried again and by whom", runs_once
    ),
    Property("one final answer", "an asking is told at most one final answer", one_final),
    Property(
        "told while waiting",
        "nobody is told who went away, was cut off or was told already",
        told_while_waiting,
        "step",
    ),
    Property(
        "two further tries",
        "a call has at most as many further tries as the way allows, two at most",
        two_further,
        "step",
    ),
    Property(
        "as ordered",
        "a further try leaves only as the order, the route's kind and proof allow",
        as_ordered,
        "step",
    ),
    Property(
        "none to the drained", "no try leaves for a backend that the table lacks", none_to_drained, "step"
    ),
    Property(
        "another backend", "a further try goes to a backend that was not tried", another_backend, "step"
    ),
    Property("in time", "no further try leaves with less time left than one needs", in_time, "step"),
    Property("for somebody", "no try leaves for a call that nobody waits for", for_somebody, "step"),
    Property(
        "truthful",
        "who is told answered has an answer; who is told it never ran, it never will",
        truthful,
        "step",
    ),
    Property("precise", "who is told that it may have run had a try without proof", precise, "step"),
    Property("not given up early", "nobody is told dropped while a try is waited for", not_early, "step"),
    Property(
        "come back",
        "who is turned away is told when to come back, unless a repeat might run twice",
        come_back,
        "step",
    ),
    Property(
        "throttled at once", "what is not let in is told so in the same step", throttled_at_once, "step"
    ),
    Property(
        "nothing held",
        "a call that waits has a try under way: what is given up is told at once",
        nothing_held,
    ),
    Property("within the limit", "no call outlives its time limit", within_limit),
    Property("one at a time", "a call has one try at a time that it waits for", one_at_a_time),
    Property("answers kept", "an answer that came late is what a repeat is told", heard_out),
    Property("bounded", "no more answers are kept than the bound", bounded),
)
LIVES = (
    LivenessProperty(
        "answered at last",
        "every asking that waits at a living proxy gets a final answer, if time goes on",
        owed,
        (steps_starting_with("pass"),),
    ),
)


def say(step: Step) -> str:
    kind, *v = step
    match kind:
        case "ask":
            who = "the client asks" if not v[1] else "the client asks again by itself"
            return f"{who}: call {v[0]} at proxy {v[2]}, " + (
                f"let in, draw {v[3]}" if v[4] else "not let in"
            )
        case "leave":
            return f"the client of call {v[0]} goes away (asking {v[1]})"
        case "reply":
            how = {
                ANSWERED: "the answer",
                NEVER_RAN: "proof that it never ran",
                FAILED: "an error, no proof,",
            }[v[2]]
            return f"{how} to try {v[1]} reaches proxy {v[0]}"
        case "cut":
            return f"the connection of try {v[1]} of proxy {v[0]} ends, after its reply"
        case "drain":
            return f"backend {v[0]} drains: the table lacks it"
        case "back":
            return f"backend {v[0]} is in the table again"
        case "end":
            return f"backend {v[0]} ends; what it had not answered is cut off"
        case "strict":
            return "the order says: no further tries"
        case "die":
            return f"proxy {v[0]} dies"
        case "rise":
            return f"proxy {v[0]} is back, knowing nothing"
        case _:
            return "a unit of time goes by"


def starts(scenes: tuple[Scene, ...]) -> list[World]:
    return [World(scene) for scene in scenes]


def model(large: bool = False) -> Model:
    """Two backends, a call and the client's one retry; large: three backends, two calls, two proxies."""
    scenes = [Scene(repeatable, policy) for repeatable in (False, True) for policy in range(4)]
    scenes.append(Scene(False, 1, kept=0))  # its memory is full
    if large:
        scenes = [replace(s, backends=3) for s in scenes]  # a call that may have three tries
        pair = Scene(False, 1, backends=3, asks=(1, 1), proxies=2, deaths=1, flips=False, ends=False)
        scenes += [pair, replace(pair, repeatable=True, deaths=0)]
    words = "three backends, two calls, two proxies" if large else "two backends, a call, the client's retry"
    return Model(
        "attempt",
        f"the life of a call at a proxy: {words}",
        partial(starts, tuple(scenes)),
        thaw,
        say,
        PROPERTIES,
        LIVES,
        may_terminate=lambda world: not owed(world),
    )
