"""The points of `meadowworks lab control`: what befalls the machines on a day."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from meadowworks.simulation.control import NEVER, Box, Day, Order, Truth
from meadowworks.simulation.network import MS, SECOND

Trace = Callable[[str], None]


def cut_off(day: Day) -> None:
    """Some machines are cut off for twenty seconds, both ways, one way or frozen; orders and reads go on."""
    chance = day.chance
    lost = chance.sample(day.voters(), chance.randint(1, day.tolerate))

    def cut() -> None:
        for box in lost:
            day.isolate(box, chance.choice(["both", "in", "out", "frozen", "both"]))

    def back() -> None:
        day.heal()
        for box in day.voters():
            day.level(box)

    start = 5 * SECOND + chance.randrange(SECOND)
    if chance.random() < 0.3:
        return undecided(day)
    day.busy(3 * SECOND, 33 * SECOND, (150, 1200), day.order_now)
    day.time.at(start, cut)
    if chance.random() < 0.3:  # a cut that comes and goes
        day.time.at(start + 6 * SECOND, day.heal)
        day.time.at(start + 6 * SECOND + chance.randrange(2 * SECOND), cut)
    day.time.at(start + 20 * SECOND, back)
    day.time.run(34 * SECOND)


def undecided(day: Day) -> None:
    """Nobody else has a wish while an order is left half-way, again and again: leases go on."""
    chance = day.chance
    day.busy(3 * SECOND, 33 * SECOND, (60_000, 60_001), lambda: None, (60_000, 60_001))

    def some() -> None:
        box = chance.choice(day.voters())
        Order(day, day.highest + 1, b"%d" % day.highest, 0.0, first=box, patience=0)
        day.time.after(chance.randrange(5, 13) * MS, partial(day.kill, box, True))
        day.time.after(chance.randrange(100, 400) * MS, partial(come_back, day, box))

    for at in (4, 18):
        day.time.at(at * SECOND, some)
    day.time.run(34 * SECOND)


def one_number(day: Day) -> None:
    """Several operators under one number; answers are lost, orders come again, processes end, power goes."""
    chance = day.chance

    def some() -> None:
        if chance.random() < 0.25:
            return one_life_after_another(day)
        day.order_now(chance.choice([0.1, 0.4, 0.8]), chance.choice([0, 1, 1, 2, 3]))
        if chance.random() < 0.5:
            day.time.after(chance.randrange(20, 3000) * MS, day.resend)
        fate, soon = chance.random(), chance.choice([chance.randrange(3, 25), chance.randrange(5, 400)])
        if fate < 0.25:
            day.time.after(soon * MS, partial(all_stop, day, True))
        elif fate < 0.35:
            day.time.after(soon * MS, partial(all_stop, day, False))
        elif fate < 0.7:
            day.time.after(chance.randrange(2, 400) * MS, partial(one_stops, day))

    reads = chance.choice([(50, 400), (2000, 8000)])
    day.busy(3 * SECOND, 28 * SECOND, (300, 3000), some, reads)
    day.time.run(30 * SECOND)


def one_life_after_another(day: Day) -> None:
    """A signalbox with a slow disk takes one order, loses power, takes another under the same number, and is
    gone for a while; some of its links are cut now and then."""
    chance = day.chance
    boxes = [b for b in day.voters() if b.up]
    if len(boxes) < 2 * day.tolerate + 1:
        return
    box, *others = chance.sample(boxes, len(boxes))
    near, far = others[: day.tolerate], others[day.tolerate :]
    version = day.highest + 1
    day.highest = version

    def cut(some: list[Box], rest: list[Box]) -> None:
        day.trouble()
        for one in some:
            for other in rest:
                if one is not other:
                    day.network.cut(one.address, other.address)

    def ends() -> None:
        day.kill(box, True)
        box.slow = False
        day.network.join()
        if chance.random() < 0.7:
            cut(near, list(day.boxes.values()))
            cut(list(day.boxes.values()), near)

    def send(name: str) -> None:
        day.orders.append(Order(day, version, f"{version}-{name}".encode(), 0.2, first=box))

    box.slow = True
    steps: list[tuple[int, Callable[[], None]]] = [
        (1, partial(send, "x")),
        (chance.randrange(2, 10), partial(cut, [box], far)),
        (chance.randrange(2, 20), ends),
        (chance.randrange(50, 150), partial(come_back, day, box)),
        (chance.randrange(520, 900), partial(send, "y")),
        (chance.randrange(8, 100), partial(day.kill, box, True)),
        (1, day.heal),
        (chance.randrange(500, 3000), partial(come_back, day, box)),
    ]
    at = 0
    for wait, act in steps:
        at += wait * MS
        day.time.after(at, act)


def all_stop(day: Day, power: bool) -> None:
    """All processes are killed, or lose power, at once or within some ms, with their disks."""
    spread = day.chance.choice([0, 0, 30])
    for box in list(day.boxes.values()):
        if not box.removed and box.up:
            at = day.chance.randrange(spread * MS + 1)
            day.time.after(at, partial(day.kill, box, power))
            day.time.after(at + SECOND // 5 + day.chance.randrange(SECOND), partial(come_back, day, box))


def come_back(day: Day, box: Box) -> None:
    if box.removed or box.up:
        return
    day.restart(box)
    if box in day.posts and day.lost[day.posts.index(box)] < NEVER:
        day.there(day.posts.index(box))


def one_stops(day: Day) -> None:
    boxes = [b for b in day.voters() if b.up]
    if boxes:
        box = day.chance.choice(boxes)
        day.kill(box, day.chance.random() < 0.6)
        day.time.after(day.chance.randrange(50, 2500) * MS, partial(come_back, day, box))


def replaced(day: Day) -> None:
    """Machines are replaced, planned and suddenly, wiped, cut off and killed meanwhile; the next loss comes
    as soon as it may."""
    chance = day.chance
    day.busy(3 * SECOND, 42 * SECOND, (100, 900), partial(day.order_now, 0.1))
    acts = [sudden, sudden, wiped, wiped, planned, planned, powerless, still, split, everywhere]

    def step() -> None:
        if day.time.now > 38 * SECOND:
            return
        act = chance.choice(acts)
        free = day.free()
        if act in (split, everywhere):
            act(day, -1)
        elif free:
            act(day, chance.choice(free))
        mood = chance.random()
        ends = [u for u in day.lost if day.time.now < u < NEVER]
        if mood < 0.4 and ends:  # right after it counts as there again
            day.time.at(min(ends) + chance.randrange(30 * MS), step)
        elif mood < 0.7:
            day.time.after(chance.randrange(3 * SECOND), step)
        else:
            day.time.after(chance.randrange(7 * SECOND), step)

    day.time.at(4 * SECOND, step)
    day.time.run(44 * SECOND)
    if chance.random() < 0.5 and day.free():
        post = chance.choice(day.free())
        day.lost[post] = NEVER
        day.kill(day.posts[post], True)  # for good: the others are to go on without it


def eve(day: Day, box: Box) -> None:
    """An order that reaches some only, ms before the machine that took it is gone; a rival comes after it."""
    chance = day.chance
    if not box.up or chance.random() < 0.2:
        return
    others = [b for b in day.voters() if b is not box and b.up]
    version = day.highest + 1
    day.highest = version
    for other in others[: day.tolerate]:
        day.network.slow[box.address, other.address] = chance.randrange(10, 300) * MS
    day.orders.append(Order(day, version, b"%d-eve" % version, 0.1, first=box))
    if others:

        def rival() -> None:
            day.orders.append(Order(day, version, b"%d-rival" % version, 0.1, first=others[0]))

        for other in others[day.tolerate :]:
            day.time.after(20 * MS, partial(setattr, other, "slow", True))  # who could finish it is late
            day.time.after(2 * SECOND, partial(setattr, other, "slow", False))
        day.time.after(chance.choice([150, 300, chance.randrange(5, 1500)]) * MS, rival)


def sudden(day: Day, post: int) -> None:
    """A machine is gone for good, its successor starts elsewhere."""
    day.lost[post] = NEVER
    box = day.posts[post]
    eve(day, box)

    def gone() -> None:
        day.kill(box, True)
        box.removed = True
        day.network.slow.clear()

    day.time.after(day.chance.randrange(4, 60) * MS, gone)
    day.time.after(day.chance.randrange(100, 3000) * MS, partial(successor, day, post))


def successor(day: Day, post: int) -> None:
    day.posts[post] = day.add()
    day.restart(day.posts[post])
    day.there(post)


def wiped(day: Day, post: int) -> None:
    """A machine comes back at its address with an empty disk."""
    day.lost[post] = NEVER
    box = day.posts[post]
    eve(day, box)

    def gone() -> None:
        day.kill(box, day.chance.random() < 0.5)
        day.network.slow.clear()

    def back() -> None:
        box.wipe()
        day.restart(box)
        day.there(post)

    day.time.after(day.chance.randrange(4, 60) * MS, gone)
    day.time.after(day.chance.choice([70, 70, day.chance.randrange(70, 3000)]) * MS, back)


def planned(day: Day, post: int) -> None:
    """A successor starts, and its predecessor leaves, in either order; some leavers are killed half-way."""
    chance, old = day.chance, day.posts[post]
    day.lost[post] = NEVER

    def go() -> None:
        day.trouble()
        if not old.up:
            day.time.after(SECOND // 2, go)  # it is told to end once it is back
            return
        old.leave(6 * SECOND)
        if chance.random() < 0.3:
            day.time.after(chance.randrange(5, 600) * MS, half_way)

    def half_way() -> None:
        away = len([until for until in day.lost if until > day.time.now])
        if day.posts[post] is old or away < day.tolerate:  # it and its successor are two
            day.kill(old, chance.random() < 0.5)

    if chance.random() < 0.5:
        successor(day, post)
        day.time.after(chance.randrange(300, 5000) * MS, go)
    else:
        go()
        day.time.after(chance.randrange(300, 5000) * MS, partial(successor, day, post))


def powerless(day: Day, post: int) -> None:
    """A machine loses power and comes back with its disk."""
    day.lost[post] = NEVER
    day.kill(day.posts[post], True)

    def back() -> None:
        day.restart(day.posts[post])
        day.there(post)

    day.time.after(day.chance.randrange(50, 6000) * MS, back)


def still(day: Day, post: int) -> None:
    """A machine is frozen for some seconds."""
    box = day.posts[post]
    day.lost[post] = NEVER
    day.isolate(box, "frozen")

    def back() -> None:
        day.trouble()
        box.thaw()
        day.disturbed = any(b.frozen for b in day.boxes.values())
        day.there(post)

    day.time.after(day.chance.randrange(100, 9000) * MS, back)


def split(day: Day, post: int) -> None:
    """Machines are cut into two halves for some seconds: more than may be lost, but nothing wrong is said."""
    boxes = [b.address for b in day.voters()]
    day.chance.shuffle(boxes)
    near = day.chance.randint(1, len(boxes) - 1)
    oneway = day.chance.random() < 0.3
    day.trouble()
    day.disturbed = True
    day.note("#", f"cut: {boxes[:near]} from {boxes[near:]}{' one way' if oneway else ''}")
    for one in boxes[:near]:
        for other in boxes[near:]:
            day.network.cut(one, other)
            if not oneway:
                day.network.cut(other, one)

    def back() -> None:
        day.trouble()
        day.network.join()
        day.disturbed = False
        for p, until in enumerate(day.lost):
            if until < NEVER:
                day.there(p)

    wait = day.chance.randrange(200, 6000) * MS
    for p, until in enumerate(day.lost):
        day.lost[p] = max(until, day.time.now + wait + MS)
    day.time.after(wait, back)


def everywhere(day: Day, post: int) -> None:
    """All processes are killed or lose power at once, disks stay; of as many as may be lost they may go."""
    gone = [p for p in day.free() if day.posts[p].up]
    all_stop(day, day.chance.random() < 0.6)
    if gone and day.chance.random() < 0.5:
        post = day.chance.choice(gone)
        box = day.posts[post]
        day.lost[post] = NEVER

        def back() -> None:
            if not box.up:
                box.wipe()
                day.restart(box)
            day.there(post)

        day.kill(box, True)
        box.wipe()
        day.time.after(day.chance.randrange(100, 3000) * MS, back)


def hundreds(day: Day) -> None:
    """Hundreds of changes while a member is away; then all are killed at once; then it is back."""
    chance = day.chance
    most = 1000 if chance.random() < 0.05 else chance.randrange(150, 400)
    gap = chance.randrange(15, 60) * MS
    post = chance.randrange(len(day.posts))
    box, how = day.posts[post], chance.choice(["frozen", "wiped", "down", "both", "out", "in"])
    end = 4 * SECOND + most * gap

    def change() -> None:
        if day.time.now > end + 3 * SECOND or len(day.orders) >= most:
            return
        version = day.highest + chance.choice([1, 1, 2])
        day.orders.append(Order(day, version, b"%d " % version + bytes(chance.randrange(50, 3000)), 0.02))
        day.time.after(gap, change)

    day.time.at(3 * SECOND, change)
    day.busy(3 * SECOND, end + 12 * SECOND, (400, 2000), day.resend)

    def away() -> None:
        day.lost[post] = NEVER
        if how in ("wiped", "down"):
            day.kill(box, chance.random() < 0.5)
        else:
            day.isolate(box, how)

    def back() -> None:
        day.heal()
        if how == "wiped":
            box.wipe()
        if not box.up:
            day.restart(box)
        day.there(post)

    start, until = 3 * SECOND + chance.randrange(SECOND), end - chance.randrange(end // 2)
    day.time.at(start, away)
    if chance.random() < 0.5:

        def stop() -> None:
            all_stop(day, chance.random() < 0.5)

        day.time.at(max(start, until - chance.randrange(3 * SECOND)) + 1, stop)
    there = max(start, until) + 2 * SECOND
    day.time.at(there, back)
    if chance.random() < 0.3:
        day.time.at(there + chance.randrange(100, 5000) * MS, partial(all_stop, day, True))
    day.time.run(end + 12 * SECOND)


POINTS: dict[int, Callable[[Day], None]] = {1: cut_off, 2: one_number, 3: replaced, 4: hundreds}


def play(point: int, seed: int, trace: Trace | None = None) -> Truth:
    """One day of a point. Raises what the machines raise."""
    day = Day(seed * 8 + point, trace)
    POINTS[point](day)
    return day.finish(restore=point != 3)
