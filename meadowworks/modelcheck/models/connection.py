"""The model of the fleet controller's connections.

What is real here: `ConnectionState`, `ConnectionLimit`, `ProxyStreams`, `TableUpdates` and `Mailbox`,
among peers that say and read what they like, in every order. Two connections say that they are the same
proxy, an older and a newer one; a third never says who it is. Both actors' mailboxes and the controller's
are queues that are taken from whenever the explorer likes, so that whatever is in flight may be
overtaken. The policy here only assigns tables to who joins, and changes weights.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field, fields, replace
from functools import cache, partial
from typing import Any

from meadowworks.fleet.connection_state import ConnectionLimits, ConnectionState
from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import (
    HEARTBEAT_REPLY,
    CollectorHello,
    ConnectionEnd,
    ConnectionItem,
    ControllerEvent,
    DemandReport,
    Heartbeat,
    ProxyHello,
    ProxyJoined,
    ProxyLeft,
    UpdateApplied,
    UpdateMessage,
)
from meadowworks.fleet.streams import ProxyStreams
from meadowworks.fleet.table_updates import TableUpdates
from meadowworks.modelcheck.model import LivenessProperty, Model, Property, Step, steps_starting_with
from meadowworks.runtime.connection_limit import ConnectionLimit

BOUNDS = ConnectionLimits(
    unsent_bytes=1, unreadable_lines=2, unknown_bytes=1
)  # messages, lines and bytes that a world has room for
REPORTS_MOST = 1
LAST = b"reject"  # how a last word begins
AWAY, HERE, DEAF, SHUT = range(4)  # the other side: not yet dialled; reads; reads nothing; has closed
PROXY = 0


@dataclass(frozen=True, slots=True)
class Scene:
    """Who dials: attaching proxies first, then strangers. Budgets are of each connection."""

    proxies: int = 2
    strangers: int = 0
    descriptors: int = 2
    beats: int = 1
    rubbish: int = 2
    spoilt: int = 1
    marks: int = 1
    orders: int = 1  # of the module, beside the tables that come with a joining
    deaf: bool = True


class Side:
    """One connection: the controller's end of it as the life's host, and what the other end does."""

    def __init__(self, world: World, place: int) -> None:
        self.world, self.place = world, place
        self.life = ConnectionState(self, world.knows, BOUNDS)
        self.box: Mailbox[ConnectionItem] = Mailbox(REPORTS_MOST)
        self.other = AWAY
        self.open = False  # the transport, as the controller sees it
        self.told_lost = False
        self.hired = self.begun = False
        self.unread = 0  # messages written that the other end has not read
        self.full = False  # the other end has been told a table
        self.holds: dict[str, float] = {}
        self.seen: list[int] = []  # marks that came with what it read
        self.left_of = [world.scene.beats, world.scene.rubbish, world.scene.spoilt, world.scene.marks]
        self.beats_owed = 0

    def write(self, data: bytes) -> None:
        self.world.outcomes.append(("write", self.place, self.open, bool(self.life.peer), data[:6]))
        if data == HEARTBEAT_REPLY:
            self.beats_owed -= 1
        if self.other == DEAF:
            self.unread += 1
        elif self.other == HERE and data.startswith(b"assign"):
            self.read(data.decode())

    def read(self, text: str) -> None:
        """As a proxy does: a full table in the place of the old one, a change to it."""
        for line in text.split("\r\n")[:-1]:
            says = dict(word.partition("=")[::2] for word in line.split()[1:])
            if "full" in says:
                self.holds, self.full = {}, True
            elif "endpoints" in says and not self.full:
                self.world.outcomes.append(("change without a table", self.place))
            for pair in filter(None, says.get("endpoints", "").split(",")):
                name, _, weight = pair.partition(":")
                self.holds[name] = float(weight)
            if "nonce_out" in says:
                self.seen.append(int(says["nonce_out"]))

    def unsent_bytes(self) -> int:
        return self.unread

    def close(self) -> None:
        self.open = False

    def abort(self) -> None:
        self.open = False

    def mark_identified(self) -> None:
        self.world.crowd.protect(self.place)

    def start_peer(self, first: ProxyHello | CollectorHello) -> None:
        self.hired = True

    def enqueue(self, item: ConnectionItem, report: bool) -> None:
        self.box.put(item, report)

    def joined_event(self, first: ProxyHello) -> ProxyJoined:
        return ProxyJoined(first, self.box)

    def left_event(self, first: ProxyHello) -> ProxyLeft:
        return ProxyLeft(first.proxy, self.box)

    def publish(self, item: ControllerEvent, report: bool) -> None:
        self.world.outcomes.append(("told", self.place, type(item).__name__, bool(self.life.peer)))
        self.world.module.put(item, report)

    def count(self, what: str) -> None:
        """Counted in the product; here no outcome hangs on it."""


@dataclass(slots=True)
class Heard:
    """What the module has been told of one connection."""

    state: int = 0  # 0: nothing, 1: joined, 2: left
    marks: list[int] = field(default_factory=list)  # sent on it, as the world knows


class World:
    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        self.outcomes: list[tuple[Any, ...]] = []
        self.now = 0
        self.module: Mailbox[ControllerEvent] = Mailbox(REPORTS_MOST)
        self.orders = TableUpdates(("all",), {0: "b"})
        self.streams = ProxyStreams(self.orders)
        self.crowd: ConnectionLimit[int] = ConnectionLimit(scene.descriptors, 0)
        self.sides = [Side(self, k) for k in range(scene.proxies + scene.strangers)]
        self.heard = [Heard() for _ in self.sides]
        self.orders_left, self.mark, self.weight = scene.orders, 0, 1.0
        self.bound = -1  # which connection the module takes the proxy to be on
        self.orders.set_weight(0, 0, 1.0)
        for _ in self.streams.send_updates():
            pass

    def knows(self, first: ProxyHello | CollectorHello) -> bool:
        return isinstance(first, ProxyHello) and first.proxy == PROXY

    def enabled(self) -> Iterable[Step]:
        found: list[Step] = []
        for k, side in enumerate(self.sides):
            if side.other == AWAY:
                if not self.crowd.is_full():
                    found.append(("dial", k))
                elif self.crowd.evictable:
                    found.append(("crowd", k))
                continue
            if side.other in (HERE, DEAF):
                found.append(("shut", k))
                if side.open:
                    found += self.says(k, side)
            if side.other == HERE and self.scene.deaf:
                found.append(("deafen", k))
            if side.open and not side.life.peer and not side.life.close_reason:
                found.append(("late", k))
            if not side.told_lost and (not side.open or side.other == SHUT):
                found.append(("lost", k))
            if side.hired and not side.begun:
                found.append(("begin", k))
            elif side.begun and side.box.items and not side.life.finish_reason:
                found.append(("act", k))
        if self.module.items:
            found.append(("module",))
        if self.orders_left and self.bound >= 0:
            found.append(("order",))
        return found

    def says(self, k: int, side: Side) -> list[Step]:
        beats, rubbish, spoilt, marks = side.left_of
        found: list[Step] = []
        if k < self.scene.proxies and not side.life.peer:
            found.append(("attach", k))
        if beats:
            found.append(("beat", k))
        if rubbish:
            found += [("rubbish", k), ("long", k)]
        if spoilt:
            found.append(("spoilt", k))
        if marks:
            found += [("mark", k, mark) for mark in sorted({max(s.seen, default=0) for s in self.sides})]
            if not side.life.peer:
                found.append(("usage", k))
        return found

    def take_step(self, step: Step) -> None:
        self.outcomes = []
        kind, *what = step
        getattr(self, "do_" + kind)(*what)

    # -- the other ends

    def do_dial(self, k: int) -> None:
        side = self.sides[k]
        side.other, side.open = HERE, True
        self.crowd.on_open(self.now, k)

    def do_crowd(self, k: int) -> None:
        """Somebody waits for a descriptor, and there is none."""
        self.now += 1
        oldest, _ = self.crowd.next_eviction(self.now)
        if oldest is not None:
            self.outcomes.append(("gave way", bool(self.sides[oldest].life.peer)))
            self.sides[oldest].life.on_evicted()

    def do_attach(self, k: int) -> None:
        self.sides[k].life.on_message(ProxyHello(PROXY, "z", 1.0, True))

    def spend(self, k: int, which: int) -> Side:
        self.sides[k].left_of[which] -= 1
        return self.sides[k]

    def do_beat(self, k: int) -> None:
        side = self.spend(k, 0)
        side.beats_owed += 1
        side.life.on_message(Heartbeat())

    def do_rubbish(self, k: int) -> None:
        side = self.spend(k, 1)
        run, was = side.life.unreadable_lines, side.life.close_reason
        side.life.on_unreadable_line()
        self.outcomes.append(("rubbish", k, run + 1, was, side.life.close_reason, bool(side.life.peer)))

    def do_long(self, k: int) -> None:
        side = self.spend(k, 1)
        side.life.on_partial_line(BOUNDS.unknown_bytes + 1, True)
        self.outcomes.append(("long", k, side.life.close_reason))

    def do_spoilt(self, k: int) -> None:
        side = self.spend(k, 2)
        was = side.life.close_reason
        side.life.on_malformed_message()
        self.outcomes.append(("spoilt", k, was, side.life.close_reason, bool(side.life.peer)))

    def do_mark(self, k: int, mark: int) -> None:
        self.spend(k, 3).life.on_message(UpdateApplied(PROXY, mark))

    def do_usage(self, k: int) -> None:
        self.spend(k, 3).life.on_message(DemandReport(PROXY, "all", 1, 0, 1))

    def do_deafen(self, k: int) -> None:
        self.sides[k].other = DEAF

    def do_shut(self, k: int) -> None:
        self.sides[k].other = SHUT

    # -- the controller

    def do_late(self, k: int) -> None:
        self.sides[k].life.on_handshake_timeout()

    def do_lost(self, k: int) -> None:
        side = self.sides[k]
        side.open, side.told_lost = False, True
        self.crowd.on_close(k)
        side.life.on_connection_lost("closed")

    def do_begin(self, k: int) -> None:
        self.sides[k].begun = True
        self.sides[k].life.on_actor_started()

    def do_act(self, k: int) -> None:
        side = self.sides[k]
        report, item = side.box.items.popleft()
        side.box.report_count -= report
        side.life.on_mailbox_item(item)
        if side.life.finish_reason:
            side.life.finish("its actor ended")  # as the actor does whatever ended it

    def do_module(self) -> None:
        report, item = self.module.items.popleft()
        self.module.report_count -= report
        match item:
            case ProxyJoined(attach, stream):
                k = self.place(stream)
                self.outcomes.append(("joined", k, self.heard[k].state))
                self.heard[k].state = 1
                self.streams.on_joined(attach.proxy, stream)
                self.bound = k
                self.orders.assign_table(0, attach.proxy, 0)
                self.flush()
            case ProxyLeft(proxy, stream):
                k = self.place(stream)
                self.outcomes.append(("left", k, self.heard[k].state))
                self.heard[k].state = 2
                if self.streams.on_left(proxy, stream):
                    self.outcomes.append(("unbound", k, self.bound))
                    self.bound = -1
            case UpdateApplied(proxy, mark):
                counted = self.streams.on_applied(proxy, mark)
                sent = self.bound >= 0 and mark in self.heard[self.bound].marks
                self.outcomes.append(("answered", counted, sent))
            case _:
                pass

    def do_order(self) -> None:
        self.orders_left -= 1
        self.weight = 3.0 - self.weight
        self.orders.set_weight(0, 0, self.weight)
        self.flush()

    def flush(self) -> None:
        self.mark += 1
        self.orders.nonce = self.mark
        for _ in self.streams.send_updates():
            if self.bound >= 0:
                self.heard[self.bound].marks.append(self.mark)

    def place(self, box: Mailbox[ConnectionItem]) -> int:
        return next(k for k, side in enumerate(self.sides) if side.box is box)

    # -- states

    def item(self, item: Any) -> Any:
        """An item of a mailbox without the mailboxes that it names."""
        match item:
            case ProxyJoined(_, stream):
                return "joined", self.place(stream)
            case ProxyLeft(_, stream):
                return "left", self.place(stream)
            case UpdateMessage(text, parts):
                return "message", text, parts
            case UpdateApplied(_, mark):
                return "done", mark
            case ConnectionEnd(why):
                return "end", why
            case Heartbeat():
                return ("beat",)
            case DemandReport():
                return ("asked",)
            case _:
                return ("attach",)

    def whole(self, told: tuple[Any, ...]) -> Any:
        match told:
            case "joined", place:
                return ProxyJoined(ProxyHello(PROXY, "z", 1.0, True), self.sides[place].box)
            case "left", place:
                return ProxyLeft(PROXY, self.sides[place].box)
            case "message", text, parts:
                return UpdateMessage(text, parts)
            case "done", mark:
                return UpdateApplied(PROXY, mark)
            case "end", why:
                return ConnectionEnd(why)
            case ("beat",):
                return Heartbeat()
            case ("asked",):
                return DemandReport(PROXY, "all", 1, 0, 1)
            case _:
                return ProxyHello(PROXY, "z", 1.0, True)

    def held(self, box: Mailbox[Any]) -> tuple[Any, ...]:
        """A mailbox's own count of its reports goes along: whether it is right is a property."""
        return (box.report_count, *((r, *self.item(i)) for r, i in box.items))

    def key(self) -> Any:
        sides: list[tuple[Any, ...]] = []
        for k, s in enumerate(self.sides):
            life, heard = s.life, self.heard[k]
            if s.told_lost and (life.finish_reason or not s.hired):
                marks = tuple(heard.marks) if self.bound == k else ()
                sides.append((SHUT, heard.state, marks))  # what it was makes no difference any more
                continue
            box = self.held(s.box)
            sides.append(
                (
                    s.other,
                    s.open,
                    s.told_lost,
                    s.hired,
                    s.begun,
                    s.unread,
                    s.full,
                    tuple(s.holds.items()),
                    tuple(s.seen[-1:]),
                    tuple(s.left_of),
                    s.beats_owed,
                    life.peer is not None,
                    life.close_reason,
                    life.finish_reason,
                    life.unreadable_lines,
                    box,
                    heard.state,
                    tuple(heard.marks),
                )
            )
        module = self.held(self.module)
        streams = tuple(
            [
                (p, self.place(box), tuple(self.streams.outstanding_nonces[p]))
                for p, box in self.streams.by_proxy.items()
            ]
        )
        return (
            kind_of(self.scene),
            tuple(sides),
            module,
            streams,
            self.mark,
            self.orders_left,
            self.weight,
            self.bound,
            self.crowd.open_count,
            tuple(self.crowd.evictable),
        )

    def freeze(self) -> Any:
        return self.scene, self.now, self.key()


@cache
def kind_of(scene: Scene) -> tuple[int, ...]:
    return tuple(int(getattr(scene, f.name)) for f in fields(scene))


def thaw(state: Any) -> World:
    scene, now, key = state
    world = World.__new__(World)
    world.scene, world.now, world.outcomes = scene, now, []
    (_, sides, module, streams, world.mark, world.orders_left, world.weight, world.bound, held, strangers) = (
        key
    )
    world.module = Mailbox(REPORTS_MOST)
    world.crowd = ConnectionLimit(scene.descriptors, 0)
    world.crowd.open_count, world.crowd.evictable = held, dict.fromkeys(strangers, 0)
    world.sides = [Side(world, k) for k in range(len(sides))]
    world.heard = []
    for s, kept in zip(world.sides, sides, strict=True):
        if len(kept) == 3:
            s.other, state_of, marks = kept
            s.told_lost, s.life.close_reason, s.life.finish_reason = True, "closed", "closed"
            world.heard.append(Heard(state_of, list(marks)))
            continue
        (
            s.other,
            s.open,
            s.told_lost,
            s.hired,
            s.begun,
            s.unread,
            s.full,
            holds,
            seen,
            left_of,
            s.beats_owed,
            named,
            s.life.close_reason,
            s.life.finish_reason,
            s.life.unreadable_lines,
            _,
            state_of,
            marks,
        ) = kept
        s.holds, s.seen, s.left_of = dict(holds), list(seen), list(left_of)
        s.life.peer = ProxyHello(PROXY, "z", 1.0, True) if named else None
        world.heard.append(Heard(state_of, list(marks)))
    for s, kept in zip(world.sides, sides, strict=True):
        fill(world, s.box, kept[15] if len(kept) > 3 else (0,))
    fill(world, world.module, module)
    world.orders = TableUpdates(("all",), {0: "b"})
    world.orders.table(0).weights[0] = world.weight
    world.streams = ProxyStreams(world.orders)
    for proxy, place, marks in streams:
        world.streams.by_proxy[proxy] = world.sides[place].box
        world.streams.outstanding_nonces[proxy] = deque(marks, maxlen=64)
        world.orders.assignments[proxy] = (0,)
        world.orders.table(0).proxies.add(proxy)
    return world


def fill(world: World, box: Mailbox[Any], held: tuple[Any, ...]) -> None:
    box.report_count, *items = held
    box.items.extend((report, world.whole(tuple(told))) for report, *told in items)


# -- properties


def events(world: World, kind: str) -> list[tuple[Any, ...]]:
    return [event[1:] for event in world.outcomes if event[0] == kind]


def in_order(world: World) -> bool:
    return all(state == 0 for _, state in events(world, "joined")) and all(
        state == 1 for _, state in events(world, "left")
    )


def newest(world: World) -> bool:
    """While the module takes a connection to be the proxy's, it is what orders are put to."""
    box = world.streams.by_proxy.get(PROXY)
    return (box is None) == (world.bound < 0) and (box is None or world.sides[world.bound].box is box)


def stays(world: World) -> bool:
    return all(k == bound for k, bound in events(world, "unbound"))


def nothing_after_the_end(world: World) -> bool:
    return all(open_to for _, open_to, *_ in events(world, "write"))


def nothing_from_strangers(world: World) -> bool:
    return all(named for *_, named in events(world, "told"))


def spoilt_alone(world: World) -> bool:
    return all(bool(was) == bool(over) if named else over for _, was, over, named in events(world, "spoilt"))


def rubbish_ends(world: World) -> bool:
    for _, run, was, over, named in events(world, "rubbish"):
        if not was and bool(over) != (not named or run >= BOUNDS.unreadable_lines):
            return False
    return all(over for _, over in events(world, "long"))


def unread_bounded(world: World) -> bool:
    return all(side.unread <= BOUNDS.unsent_bytes + 1 for side in world.sides)


def descriptors(world: World) -> bool:
    return world.crowd.open_count <= world.scene.descriptors and world.crowd.open_count == sum(
        side.other != AWAY and not side.told_lost for side in world.sides
    )


def peers_stay(world: World) -> bool:
    return not any(named for (named,) in events(world, "gave way"))


def marks_count(world: World) -> bool:
    return all(sent for counted, sent in events(world, "answered") if counted)


def changes_fit(world: World) -> bool:
    return not events(world, "change without a table")


def mailboxes(world: World) -> bool:
    boxes: list[Mailbox[Any]] = [world.module, *(side.box for side in world.sides)]
    return all(
        box.report_count <= REPORTS_MOST and box.report_count == sum(r for r, _ in box.items) for box in boxes
    )


def at_rest(world: World) -> bool:
    """Nothing is under way to the proxy's stream."""
    side = world.sides[world.bound]
    return (
        world.bound >= 0
        and side.other == HERE
        and side.open
        and not side.box.items
        and not world.module.items
    )


def tables_agree(world: World) -> bool:
    return not at_rest(world) or world.sides[world.bound].holds == {"b": world.weight}


def strangers_owe(world: World) -> bool:
    return any(side.open and side.other in (HERE, DEAF) and not side.life.peer for side in world.sides)


def replaced_lives(world: World) -> bool:
    """A connection that the module knows as joined, and that is not the proxy's any more, is still open."""
    return any(
        heard.state == 1 and k != world.bound and world.sides[k].open for k, heard in enumerate(world.heard)
    )


def unbound(world: World) -> bool:
    """A peer that is there, reads and has said who it is waits for its table, alone with its number."""
    named = [side for side in world.sides if side.life.peer and not side.life.finish_reason]
    return len(named) == 1 and named[0].open and named[0].other == HERE and not named[0].full


def beats_wait(world: World) -> bool:
    return any(side.beats_owed > 0 and side.open and side.other == HERE for side in world.sides)


def left_out(world: World) -> bool:
    """A proxy whose connection is gone still counts as joined."""
    return any(heard.state == 1 and world.sides[k].told_lost for k, heard in enumerate(world.heard))


PROPERTIES = (
    Property(
        "in order", "the module hears of a stream's joining once, then of its leaving once", in_order, "step"
    ),
    Property("newest", "orders go to the stream that the proxy joined by last", newest),
    Property("stays", "the end of a stream that was replaced takes nobody's table", stays, "step"),
    Property(
        "nothing after the end",
        "nothing is written to a connection that is over",
        nothing_after_the_end,
        "step",
    ),
    Property(
        "nothing from strangers",
        "nothing is passed on of who has not said who it is",
        nothing_from_strangers,
        "step",
    ),
    Property(
        "spoilt alone",
        "a spoilt message costs a peer that message, a stranger its connection",
        spoilt_alone,
        "step",
    ),
    Property(
        "rubbish ends", "what goes on with what cannot be read is ended, and not before", rubbish_ends, "step"
    ),
    Property("unread bounded", "who reads nothing is ended within the bound", unread_bounded),
    Property(
        "descriptors",
        "no more connections are open than there are descriptors, and all are counted",
        descriptors,
    ),
    Property("peers stay", "no peer is sent away for another's descriptor", peers_stay, "step"),
    Property(
        "marks count",
        "an answer counts only for a mark that was sent on that very stream",
        marks_count,
        "step",
    ),
    Property("changes fit", "a change never comes to a stream before its table", changes_fit, "step"),
    Property("mailboxes", "no mailbox holds more reports than its bound", mailboxes),
    Property(
        "tables agree", "with nothing under way, a proxy holds just the table it is bound to", tables_agree
    ),
)
WORK = (
    steps_starting_with("module"),
    *(steps_starting_with(name, k) for name in ("late", "lost", "begin", "act") for k in range(3)),
)
LIVES = (
    LivenessProperty("strangers end", "who never says who it is, is let go", strangers_owe, WORK),
    LivenessProperty("replaced ones end", "a stream that was replaced is ended", replaced_lives, WORK),
    LivenessProperty("bound at last", "a peer that is there is told its table", unbound, WORK),
    LivenessProperty(
        "signs of life", "who asks for a sign of life has one, or its connection ends", beats_wait, WORK
    ),
    LivenessProperty("leaves at last", "a proxy whose connection is gone has left", left_out, WORK),
)
SAYS = {
    "dial": "connection {0} is taken in",
    "crowd": "connection {0} waits, and there is no descriptor",
    "attach": "connection {0} says it is the proxy",
    "beat": "connection {0} asks for a sign of life",
    "rubbish": "connection {0} says what cannot be read",
    "long": "connection {0} sends a line without an end",
    "spoilt": "connection {0} says a message with a field spoilt",
    "mark": "connection {0} answers mark {1}",
    "usage": "connection {0} reports its usage",
    "deafen": "connection {0} reads nothing from now on",
    "shut": "the other side closes connection {0}",
    "late": "connection {0}: its time to say who it is, is over",
    "lost": "the controller sees the end of connection {0}",
    "begin": "the actor of connection {0} starts",
    "act": "the actor of connection {0} takes what came first",
    "module": "the module takes what came first",
    "order": "the module orders another weight",
}


def say(step: Step) -> str:
    return SAYS[step[0]].format(*step[1:])


def starts(scenes: tuple[Scene, ...]) -> list[World]:
    return [World(scene) for scene in scenes]


def model(large: bool = False) -> Model:
    """A proxy's two streams, and short of descriptors a stream beside two strangers."""
    none = Scene(beats=0, rubbish=0, spoilt=0, marks=0, orders=0, deaf=False)
    scenes: tuple[Scene, ...] = (
        Scene(proxies=1, descriptors=1, spoilt=0, marks=0),  # one peer with all that it may do
        replace(none, marks=1),  # two streams, and answers to marks of either
        replace(none, spoilt=1, beats=1),
        replace(none, deaf=True, orders=1),
        replace(none, proxies=1, strangers=2, beats=1),  # three want two descriptors
    )
    if large:
        scenes = (*scenes, replace(none, spoilt=1, marks=1), replace(none, deaf=True, orders=2))
    return Model(
        "connection",
        "the life of connections: an older and a newer stream of a proxy, strangers",
        partial(starts, scenes),
        thaw,
        say,
        PROPERTIES,
        LIVES,
    )
