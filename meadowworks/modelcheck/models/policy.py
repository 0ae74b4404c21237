"""The model of the policy: `Controller` with the fleet's real `TableUpdates`, in a small world.

Three backends, two zones, a proxy in each; the endpoint list changes, proxies join and leave, reports
come or do not, the channel acknowledges or stalls, time goes by or jumps, in every order to a stated
depth.

The states have no end (there are clocks and decaying sums), so worlds are told apart byte by byte and the
exploration is bounded by depth, from starts that lie far apart. A world is kept as what `pickle` makes of
it, with the settings left out: see docs/design/state-checks.md for the ways that were weighed.
"""

from __future__ import annotations

import pickle
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from meadowworks.fleet.messages import TableUpdate
from meadowworks.fleet.table_updates import TableUpdates
from meadowworks.modelcheck.model import Model, Property, Step
from meadowworks.policy import Controller
from meadowworks.policy.interface import AttemptReport, EndpointEntry, Route, Settings

SECOND = 1_000_000_000
ROUTES = (Route(2.0, SECOND, False), Route(1.0, SECOND, False))
SETTINGS = Settings(
    routes=ROUTES,
    zone_count=2,
    proxy_count=2,
    backend_connections=0.0,
    controller_count=1,
    proxies_join_own_zone=True,
    watches_list=True,
    list_refresh_ns=8 * SECOND,
    removals_uncertain=False,
    health_checks=False,
    admission_unit="share",
    base_retry_policy=1,
    proxy_ejects_after=5,
    report_interval_ns=SECOND,
    fixed_weights=True,
    channel_rate=30.0,
    queue_limit=30.0,
    message_overhead=3.0,
    message_limit=6,
    message_window_ns=4 * SECOND,
    max_delay_ns=SECOND // 4,
    slow_start_share=0.3,
    overload_factor=2.5,
    slow_start_ns=4 * SECOND,
    slice_count=0,
    exclusive_slices=False,
    slice_lease_ns=SECOND,
    max_in_flight_ns=SECOND,
)
TICK = SETTINGS.report_interval_ns // 2
BATCH = SECOND // 1000
GRACE = BARE = 5 * SECOND // 2  # for lines to what drains, and without a line: what the settings would state
STALL = 6  # ticks: longer than the grace
ZONE_OF = (0, 1, 0)  # of each backend
LISTS = (("ready", "draining", "gone"), ("ready", "gone"), ("ready", "draining"))  # what is said of each
WEIGHT = 2.0
ROOM = 1e-9  # for sums of floats


class World:
    """The module's host, the channel and the proxies behind it."""

    def __init__(self, listed: bool = True) -> None:
        self.outcomes: list[tuple[Any, ...]] = []
        self.frozen = b""
        self.now = 1000 * SECOND
        self.listed = {b: ("ready", 0) for b in range(len(ZONE_OF))}
        self.told_ns: dict[int, int] = {}  # since when the module knows that a backend is not ready
        self.orders = TableUpdates(("a", "b"), {b: f"s-{b}" for b in range(len(ZONE_OF))})
        self.holds: dict[int, list[dict[str, float]]] = {}  # of each joined proxy: its table by route
        self.grants: dict[int, list[tuple[float, int] | None]] = {}
        self.bare_ns: dict[int, int] = {}  # since when a proxy has nothing to pick though something is warm
        self.heads: dict[int, deque[int]] = {}
        self.backlog, self.backlog_ns = 0.0, self.now
        self.marks: list[int] = []  # on their way
        self.stuck = False  # the channel answers nothing
        self.stood_ns = -GRACE  # when it last did so
        self.told = listed
        self.module = Controller(self, SETTINGS, 7, self.now)
        if listed:
            self.module.on_endpoints(self.now, "disk", self.entries())
        self.flush()

    def entries(self) -> list[EndpointEntry]:
        return [self.entry(b) for b in self.listed]

    def entry(self, b: int) -> EndpointEntry:
        state, since = self.listed[b]
        return EndpointEntry(b, ZONE_OF[b], state, since, WEIGHT)

    # -- the module's host

    def log(self, line: str) -> None:
        """The log."""

    def watch_list(self, on: bool) -> None:
        """The list is told by steps."""

    def check_health(self, backend: int) -> None:
        raise AssertionError("no probe is asked for where none is allowed")

    def release_backend(self, backend: int) -> None:
        assert not any(
            backend in table.weights for table in self.orders.tables.values()
        ), "a name still in use"

    def request_ack(self, number: int) -> None:
        self.orders.nonce = number
        self.marks.append(number)

    def set_timer(self, wait_ns: int) -> None:
        assert wait_ns == TICK

    def set_weight(self, table: int, backend: int, weight: float) -> None:
        assert weight >= 0
        self.orders.set_weight(table, backend, weight)

    def assign_table(self, routes: int, proxy: int, table: int) -> None:
        self.orders.assign_table(routes, proxy, table)

    def set_admission(self, table: int, routes: int, level: float, retry: int) -> None:
        self.outcomes.append(("level", level, retry))
        self.orders.set_admission(table, routes, level, retry)

    # -- the channel and the proxies

    def flush(self) -> None:
        """All orders of a step are one message a proxy; a proxy takes it in at once."""
        gone = (self.now - self.backlog_ns) / SECOND * SETTINGS.channel_rate
        self.backlog, self.backlog_ns = max(0.0, self.backlog - gone), self.now
        for users, parts in self.orders.take_messages():
            for proxy in users:
                self.backlog += SETTINGS.message_overhead + sum(part.channel_lines() for part in parts)
                heads = self.heads[proxy]
                heads.append(self.now)
                while heads[0] <= self.now - SETTINGS.message_window_ns:
                    heads.popleft()
                self.apply(proxy, parts)
        self.look()

    def apply(self, proxy: int, parts: list[TableUpdate]) -> None:
        for part in parts:
            for k, route in enumerate(("a", "b")):
                if part.routes and route not in part.routes:
                    continue
                held = self.holds[proxy][k]
                if part.replaces:
                    held.clear()
                    self.grants[proxy][k] = None
                held.update(part.weights)
                for name in [name for name, weight in held.items() if not weight]:
                    del held[name]
                if part.admission:
                    self.grants[proxy][k] = part.admission

    def look(self) -> None:
        """Notes since when a proxy lacks a line that it might have, by what the module has been told."""
        warm = self.told and any(
            state == "ready" and self.now - since >= SETTINGS.slow_start_ns
            for state, since in self.listed.values()
        )
        for proxy, tables in self.holds.items():
            if warm and not all(tables):
                self.bare_ns.setdefault(proxy, self.now)
            else:
                self.bare_ns.pop(proxy, None)
        if self.stuck:
            self.stood_ns = self.now

    def narrow(self, proxy: int) -> bool:
        """Whether the caps leave no room for one more urgent message to a proxy: a tenth of them is kept."""
        busy = len(self.heads[proxy]) >= SETTINGS.message_limit - 2
        return busy or self.backlog > SETTINGS.queue_limit / 2 or self.now - self.stood_ns <= GRACE

    # -- steps

    def enabled(self) -> Iterable[Step]:
        found: list[Step] = [("tick",), ("stall",), ("whole",)]
        if self.listed[2][0] != "gone":
            found.append(("miss", 2))
        for b, (state, _) in self.listed.items():
            found += [("list", b, to) for to in LISTS[b] if to != state]
        found += [("start", 0), ("start", 1), ("report", 0), ("report", -1), ("report", -2)]
        found += [("ask", 2), ("ask", 200)]
        for p in range(SETTINGS.proxy_count):
            found.append(("leave", p) if p in self.holds else ("join", p))
        found.append(("channel",))
        return found

    def take_step(self, step: Step) -> None:
        self.outcomes, self.frozen = [], b""
        self.now += BATCH  # each step is a batch of its own
        kind, *what = step
        getattr(self, "do_" + kind)(*what)
        self.flush()

    def do_tick(self, times: int = 1) -> None:
        self.now += TICK * times
        self.answer()
        self.module.tick(self.now)

    def do_stall(self) -> None:
        self.do_tick(STALL)

    def do_miss(self, b: int) -> None:
        """It is gone, and the change does not come: the next whole list lacks it."""
        self.listed[b] = "gone", self.listed[b][1]

    def do_whole(self) -> None:
        self.told = True
        for b, (state, _) in self.listed.items():
            if state == "gone":
                self.told_ns.setdefault(b, self.now)
        self.module.on_endpoints(
            self.now, "whole", [self.entry(b) for b, (s, _) in self.listed.items() if s != "gone"]
        )

    def do_list(self, b: int, state: str) -> None:
        self.tell(b, state, self.listed[b][1])

    def do_start(self, b: int) -> None:
        """The backend has just been started, under its name: cold."""
        self.tell(b, "ready", self.now)

    def tell(self, b: int, state: str, since: int) -> None:
        self.listed[b] = state, since
        if state == "ready":
            self.told_ns.pop(b, None)
        else:
            self.told_ns.setdefault(b, self.now)
        self.module.on_endpoints(self.now, "changes", [self.entry(b)])

    def do_report(self, ill: int) -> None:
        """A period in which what each proxy holds was tried. `ill` drops all; -1: none does; -2: all do."""
        for p, tables in self.holds.items():
            for name in tables[0]:
                b = int(name[2:])
                bad = 20 if ill in (b, -2) else 0
                load = {"queue": 9.0} if ill == -2 else {}
                self.module.on_backend_report(
                    self.now, p, b, AttemptReport(20, bad, SECOND // 10, SECOND, load)
                )

    def do_ask(self, calls: int) -> None:
        for p in self.holds:
            for k in range(len(ROUTES)):
                self.module.on_demand_report(self.now, p, k, calls, SECOND)

    def do_join(self, p: int) -> None:
        self.holds[p], self.grants[p] = [{}, {}], [None, None]
        self.heads[p] = deque()
        self.orders.add_proxy(p)
        self.module.on_proxy_joined(self.now, p, p, 10.0)

    def do_leave(self, p: int) -> None:
        for kept in (self.holds, self.grants, self.heads, self.bare_ns):
            kept.pop(p, None)
        self.orders.remove_proxy(p)
        self.module.on_proxy_left(self.now, p)

    def do_channel(self) -> None:
        """It stands, or goes on."""
        self.stuck = not self.stuck

    def answer(self) -> None:
        if not self.stuck:
            for mark in self.marks:
                self.module.on_ack(self.now, mark)
            self.marks.clear()

    # -- states

    def freeze(self) -> bytes:
        if self.frozen:
            return self.frozen
        module, did, self.outcomes = self.module, self.outcomes, []
        module.settings = None  # type: ignore[assignment]
        try:
            self.frozen = pickle.dumps(self, pickle.HIGHEST_PROTOCOL)
            return self.frozen
        finally:
            module.settings, self.outcomes = SETTINGS, did

    def key(self) -> bytes:
        return self.freeze()


def thaw(state: bytes) -> World:
    world: World = pickle.loads(state)
    world.module.settings = SETTINGS
    return world


# -- properties: the five rules, and that nobody lies to anybody


def never_bare(world: World) -> bool:
    """The limit runs on while the channel stands, as the grace of drains does."""
    return all(world.now - max(since, world.stood_ns) <= BARE for since in world.bare_ns.values())


def no_effect_twice(world: World) -> bool:
    return all(grant is None or grant[1] <= 1 for grants in world.grants.values() for grant in grants)


def drains_kept(world: World) -> bool:
    """The grace runs on while the channel stands: what is ordered then would only wait in it."""
    if not any(state == "ready" for state, _ in world.listed.values()):
        return True
    for b, told in world.told_ns.items():
        late = world.now - max(told, world.stood_ns) > GRACE
        if late and any(f"s-{b}" in table for tables in world.holds.values() for table in tables):
            return False
    return True


def drains_first(world: World) -> bool:
    """Told and done in one step, whatever else waits, as long as the caps leave room."""
    if not any(state == "ready" for state, _ in world.listed.values()):
        return True
    gone = {f"s-{b}" for b in world.told_ns}
    return all(
        world.narrow(proxy) or not any(gone & set(table) for table in tables)
        for proxy, tables in world.holds.items()
    )


def cold_spared(world: World) -> bool:
    """A line to a cold backend weighs no more than it can bear at its age, of its listed weight, as long as
    the caps leave room to say so."""
    for b, (_, since) in world.listed.items():
        age = (world.now - since) / SETTINGS.slow_start_ns
        if age >= 1:
            continue
        bears = WEIGHT * (SETTINGS.slow_start_share + (1 - SETTINGS.slow_start_share) * age)
        for proxy, tables in world.holds.items():
            if any(table.get(f"s-{b}", 0.0) > bears + ROOM for table in tables) and not world.narrow(proxy):
                return False
    return True


def queue_short(world: World) -> bool:
    return world.backlog <= SETTINGS.queue_limit + ROOM


def few_messages(world: World) -> bool:
    return all(len(heads) <= SETTINGS.message_limit for heads in world.heads.values())


def tables_held(world: World) -> bool:
    """What a proxy holds is what the module believes it to hold."""
    for p, tables in world.holds.items():
        if not world.module.proxies[p].assigned:
            continue
        for k, table in enumerate(tables):
            number = world.orders.assignments[p][k]
            if number is None or table != {f"s-{b}": w for b, w in world.module.tables[number].items()}:
                return False
    return True


def levels_sane(world: World) -> bool:
    return all(0 < level <= 1 for kind, level, _ in world.outcomes if kind == "level")


def important_first(world: World) -> bool:
    return all(
        not view.admissions or view.admissions[0][0] >= view.admissions[1][0] for view in world.module.views
    )


def under_budget(world: World) -> bool:
    """All that is let in stays under what the zone's estimate allows, but for the floor of each route."""
    for view in world.module.views:
        if not view.admissions or all(level >= 1 for level, _ in view.admissions):
            continue
        highest = [level for level, _ in view.admissions]
        if highest[1] > 0.1 + 0.025 and highest[0] < 1:
            return False  # the less important is let in beyond its floor while the other is cut
    return True


PROPERTIES = (
    Property(
        "never without a backend",
        "no joined proxy lacks a line for longer than the limit while a warm one is " "ready",
        never_bare,
    ),
    Property("no effect twice", "no order says to try again without proof", no_effect_twice, "state"),
    Property(
        "drains kept", "past the grace no joined proxy holds a line to what drains or is gone", drains_kept
    ),
    Property(
        "drains first", "what drains is out of the tables in the step in which it is told", drains_first
    ),
    Property(
        "cold ones spared", "no line to a cold backend weighs more than it can bear at its age", cold_spared
    ),
    Property("queue short", "no more lines wait in the channel than the cap", queue_short),
    Property("few messages", "no proxy is sent more messages within the span than the most", few_messages),
    Property("tables held", "a bound proxy holds just what the module believes", tables_held),
    Property("levels sane", "a level is above nothing and at most whole", levels_sane, "step"),
    Property("important first", "a route of more importance is let in at least as much", important_first),
    Property(
        "budget in order",
        "the less important is let in beyond its floor only when the other is let in whole",
        under_budget,
    ),
)


# -- starts


def fresh() -> World:
    """A controller that has just read its list from disk."""
    return World()


def quiet() -> World:
    """Both proxies joined, nine seconds into a quiet day."""
    world = World()
    play(world, ("join", 0), ("join", 1), ("whole",), *[("report", -1), ("ask", 2), ("tick",), ("tick",)] * 9)
    return world


def jammed() -> World:
    """All tries fail, calls are throttled."""
    world = quiet()
    play(world, *[("ask", 200), ("report", -2), ("tick",), ("tick",)] * 4)
    return world


def alone() -> World:
    """One backend left in all, one just started."""
    world = quiet()
    play(world, ("list", 0, "gone"), ("tick",), ("list", 1, "gone"), ("tick",), ("start", 0), ("tick",))
    return world


def blocked() -> World:
    """The channel stands with orders in it."""
    world = quiet()
    play(world, ("channel",), ("list", 0, "draining"), ("tick",), ("leave", 0), ("join", 0), ("tick",))
    return world


def play(world: World, *steps: Step) -> None:
    for step in steps:
        world.take_step(step)


def unlisted() -> World:
    """Both proxies joined, and no list so far."""
    world = World(listed=False)
    play(world, ("join", 0), ("join", 1), ("tick",))
    return world


def busy() -> World:
    """Nearly as many messages as may go out in the span have gone out."""
    world = quiet()
    play(world, *[("tick",)] * 8, ("list", 0, "draining"), ("tick",), ("list", 0, "ready"), ("tick",))
    play(world, ("tick",), ("list", 0, "draining"), ("tick",), ("list", 2, "draining"), ("tick",))
    return world


STARTS: tuple[Callable[[], World], ...] = (fresh, quiet, jammed, alone, blocked, unlisted, busy)


def starts() -> list[World]:
    return [start() for start in STARTS]


SAYS = {
    "tick": "half a report's time goes by",
    "stall": "the controller stands still for six ticks",
    "whole": "the whole list comes",
    "list": "the list says: backend {0} is {1}",
    "miss": "backend {0} is gone, and the change is missed",
    "start": "backend {0} has just been started",
    "join": "proxy {0} joins",
    "leave": "proxy {0} leaves",
    "ask": "{0} calls of each route come to each proxy",
    "channel": "the channel stands still, or goes on",
}


def say(step: Step) -> str:
    if step[0] == "report":
        return {-1: "reports: all is well", -2: "reports: every try fails, queues are full"}.get(
            step[1], f"reports: backend {step[1]} drops all"
        )
    return SAYS[step[0]].format(*step[1:])


def model(large: bool = False) -> Model:
    return Model(
        "module",
        "the decision module and the node's orders in a small world",
        starts,
        thaw,
        say,
        PROPERTIES,
        max_depth=4 if large else 3,
    )
