"""The points of `meadowworks lab control`: what befalls the machines on a day."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from meadowworks.simulation.control import (
    NEVER_NS,
    ControlPlaneNode,
    InvariantChecker,
    OperatorUpdate,
    Scenario,
)
from meadowworks.simulation.network import MS, SECOND

Trace = Callable[[str], None]


def isolate_minority(scenario: Scenario) -> None:
    """Some machines are cut off for twenty seconds, both ways, one way or frozen; orders and reads go on."""
    chance = scenario.random
    lost = chance.sample(scenario.voters(), chance.randint(1, scenario.tolerated_losses))

    def cut() -> None:
        for box in lost:
            scenario.isolate(box, chance.choice(["both", "in", "out", "frozen", "both"]))

    def back() -> None:
        scenario.heal()
        for box in scenario.voters():
            scenario.expect_catch_up(box)

    start = 5 * SECOND + chance.randrange(SECOND)
    if chance.random() < 0.3:
        return abandon_updates(scenario)
    scenario.generate_load(3 * SECOND, 33 * SECOND, (150, 1200), scenario.submit_update)
    scenario.scheduler.call_at(start, cut)
    if chance.random() < 0.3:  # a cut that comes and goes
        scenario.scheduler.call_at(start + 6 * SECOND, scenario.heal)
        scenario.scheduler.call_at(start + 6 * SECOND + chance.randrange(2 * SECOND), cut)
    scenario.scheduler.call_at(start + 20 * SECOND, back)
    scenario.scheduler.run_until(34 * SECOND)


def abandon_updates(scenario: Scenario) -> None:
    """Nobody else has a wish while an order is left half-way, again and again: leases go on."""
    chance = scenario.random
    scenario.generate_load(3 * SECOND, 33 * SECOND, (60_000, 60_001), lambda: None, (60_000, 60_001))

    def some() -> None:
        box = chance.choice(scenario.voters())
        OperatorUpdate(
            scenario,
            scenario.highest_version + 1,
            b"%d" % scenario.highest_version,
            0.0,
            first_node=box,
            timeout_ns=0,
        )
        scenario.scheduler.call_later(chance.randrange(5, 13) * MS, partial(scenario.kill, box, True))
        scenario.scheduler.call_later(chance.randrange(100, 400) * MS, partial(restart_node, scenario, box))

    for at in (4, 18):
        scenario.scheduler.call_at(at * SECOND, some)
    scenario.scheduler.run_until(34 * SECOND)


def conflicting_updates(scenario: Scenario) -> None:
    """Several operators under one number; answers are lost, orders come again, processes end, power goes."""
    chance = scenario.random

    def some() -> None:
        if chance.random() < 0.25:
            return conflicting_incarnations(scenario)
        scenario.submit_update(chance.choice([0.1, 0.4, 0.8]), chance.choice([0, 1, 1, 2, 3]))
        if chance.random() < 0.5:
            scenario.scheduler.call_later(chance.randrange(20, 3000) * MS, scenario.resend_update)
        fate, soon = chance.random(), chance.choice([chance.randrange(3, 25), chance.randrange(5, 400)])
        if fate < 0.25:
            scenario.scheduler.call_later(soon * MS, partial(stop_all, scenario, True))
        elif fate < 0.35:
            scenario.scheduler.call_later(soon * MS, partial(stop_all, scenario, False))
        elif fate < 0.7:
            scenario.scheduler.call_later(chance.randrange(2, 400) * MS, partial(stop_one, scenario))

    reads = chance.choice([(50, 400), (2000, 8000)])
    scenario.generate_load(3 * SECOND, 28 * SECOND, (300, 3000), some, reads)
    scenario.scheduler.run_until(30 * SECOND)


def conflicting_incarnations(scenario: Scenario) -> None:
    """A signalbox with a slow disk takes one order, loses power, takes another under the same number, and is
    gone for a while; some of its links are cut now and then."""
    chance = scenario.random
    boxes = [b for b in scenario.voters() if b.up]
    if len(boxes) < 2 * scenario.tolerated_losses + 1:
        return
    box, *others = chance.sample(boxes, len(boxes))
    near, far = others[: scenario.tolerated_losses], others[scenario.tolerated_losses :]
    version = scenario.highest_version + 1
    scenario.highest_version = version

    def cut(some: list[ControlPlaneNode], rest: list[ControlPlaneNode]) -> None:
        scenario.mark_fault()
        for one in some:
            for other in rest:
                if one is not other:
                    scenario.network.cut(one.address, other.address)

    def ends() -> None:
        scenario.kill(box, True)
        box.slow_disk = False
        scenario.network.heal()
        if chance.random() < 0.7:
            cut(near, list(scenario.nodes.values()))
            cut(list(scenario.nodes.values()), near)

    def send(name: str) -> None:
        scenario.updates.append(
            OperatorUpdate(scenario, version, f"{version}-{name}".encode(), 0.2, first_node=box)
        )

    box.slow_disk = True
    steps: list[tuple[int, Callable[[], None]]] = [
        (1, partial(send, "x")),
        (chance.randrange(2, 10), partial(cut, [box], far)),
        (chance.randrange(2, 20), ends),
        (chance.randrange(50, 150), partial(restart_node, scenario, box)),
        (chance.randrange(520, 900), partial(send, "y")),
        (chance.randrange(8, 100), partial(scenario.kill, box, True)),
        (1, scenario.heal),
        (chance.randrange(500, 3000), partial(restart_node, scenario, box)),
    ]
    at = 0
    for wait, act in steps:
        at += wait * MS
        scenario.scheduler.call_later(at, act)


def stop_all(scenario: Scenario, power_lost: bool) -> None:
    """All processes are killed, or lose power, at once or within some ms, with their disks."""
    spread = scenario.random.choice([0, 0, 30])
    for box in list(scenario.nodes.values()):
        if not box.removed and box.up:
            at = scenario.random.randrange(spread * MS + 1)
            scenario.scheduler.call_later(at, partial(scenario.kill, box, power_lost))
            scenario.scheduler.call_later(
                at + SECOND // 5 + scenario.random.randrange(SECOND), partial(restart_node, scenario, box)
            )


def restart_node(scenario: Scenario, node: ControlPlaneNode) -> None:
    if node.removed or node.up:
        return
    scenario.restart(node)
    if (
        node in scenario.voters_by_index
        and scenario.lost_until_ns[scenario.voters_by_index.index(node)] < NEVER_NS
    ):
        scenario.voter_returned(scenario.voters_by_index.index(node))


def stop_one(scenario: Scenario) -> None:
    boxes = [b for b in scenario.voters() if b.up]
    if boxes:
        box = scenario.random.choice(boxes)
        scenario.kill(box, scenario.random.random() < 0.6)
        scenario.scheduler.call_later(
            scenario.random.randrange(50, 2500) * MS, partial(restart_node, scenario, box)
        )


def replace_machines(scenario: Scenario) -> None:
    """Machines are replaced, planned and suddenly, wiped, cut off and killed meanwhile; the next loss comes
    as soon as it may."""
    chance = scenario.random
    scenario.generate_load(3 * SECOND, 42 * SECOND, (100, 900), partial(scenario.submit_update, 0.1))
    acts = [
        lose_machine,
        lose_machine,
        wipe_machine,
        wipe_machine,
        replace_gracefully,
        replace_gracefully,
        lose_power,
        freeze_process,
        split_network,
        stop_all_and_wipe_one,
    ]

    def step() -> None:
        if scenario.scheduler.now > 38 * SECOND:
            return
        act = chance.choice(acts)
        free = scenario.losable_voters()
        if act in (split_network, stop_all_and_wipe_one):
            act(scenario, -1)
        elif free:
            act(scenario, chance.choice(free))
        mood = chance.random()
        ends = [u for u in scenario.lost_until_ns if scenario.scheduler.now < u < NEVER_NS]
        if mood < 0.4 and ends:  # right after it counts as there again
            scenario.scheduler.call_at(min(ends) + chance.randrange(30 * MS), step)
        elif mood < 0.7:
            scenario.scheduler.call_later(chance.randrange(3 * SECOND), step)
        else:
            scenario.scheduler.call_later(chance.randrange(7 * SECOND), step)

    scenario.scheduler.call_at(4 * SECOND, step)
    scenario.scheduler.run_until(44 * SECOND)
    if chance.random() < 0.5 and scenario.losable_voters():
        post = chance.choice(scenario.losable_voters())
        scenario.lost_until_ns[post] = NEVER_NS
        scenario.kill(scenario.voters_by_index[post], True)  # for good: the others are to go on without it


def partial_update_before_loss(scenario: Scenario, node: ControlPlaneNode) -> None:
    """An order that reaches some only, ms before the machine that took it is gone; a rival comes after it."""
    chance = scenario.random
    if not node.up or chance.random() < 0.2:
        return
    others = [b for b in scenario.voters() if b is not node and b.up]
    version = scenario.highest_version + 1
    scenario.highest_version = version
    for other in others[: scenario.tolerated_losses]:
        scenario.network.extra_delay_ns[node.address, other.address] = chance.randrange(10, 300) * MS
    scenario.updates.append(OperatorUpdate(scenario, version, b"%d-eve" % version, 0.1, first_node=node))
    if others:

        def rival() -> None:
            scenario.updates.append(
                OperatorUpdate(scenario, version, b"%d-rival" % version, 0.1, first_node=others[0])
            )

        for other in others[scenario.tolerated_losses :]:
            scenario.scheduler.call_later(
                20 * MS, partial(setattr, other, "slow_disk", True)
            )  # who could finish it is late
            scenario.scheduler.call_later(2 * SECOND, partial(setattr, other, "slow_disk", False))
        scenario.scheduler.call_later(chance.choice([150, 300, chance.randrange(5, 1500)]) * MS, rival)


def lose_machine(scenario: Scenario, index: int) -> None:
    """A machine is gone for good, its successor starts elsewhere."""
    scenario.lost_until_ns[index] = NEVER_NS
    box = scenario.voters_by_index[index]
    partial_update_before_loss(scenario, box)

    def gone() -> None:
        scenario.kill(box, True)
        box.removed = True
        scenario.network.extra_delay_ns.clear()

    scenario.scheduler.call_later(scenario.random.randrange(4, 60) * MS, gone)
    scenario.scheduler.call_later(
        scenario.random.randrange(100, 3000) * MS, partial(start_successor, scenario, index)
    )


def start_successor(scenario: Scenario, index: int) -> None:
    scenario.voters_by_index[index] = scenario.add_node()
    scenario.restart(scenario.voters_by_index[index])
    scenario.voter_returned(index)


def wipe_machine(scenario: Scenario, index: int) -> None:
    """A machine comes back at its address with an empty disk."""
    scenario.lost_until_ns[index] = NEVER_NS
    box = scenario.voters_by_index[index]
    partial_update_before_loss(scenario, box)

    def gone() -> None:
        scenario.kill(box, scenario.random.random() < 0.5)
        scenario.network.extra_delay_ns.clear()

    def back() -> None:
        box.wipe()
        scenario.restart(box)
        scenario.voter_returned(index)

    scenario.scheduler.call_later(scenario.random.randrange(4, 60) * MS, gone)
    scenario.scheduler.call_later(
        scenario.random.choice([70, 70, scenario.random.randrange(70, 3000)]) * MS, back
    )


def replace_gracefully(scenario: Scenario, index: int) -> None:
    """A successor starts, and its predecessor leaves, in either order; some leavers are killed half-way."""
    chance, old = scenario.random, scenario.voters_by_index[index]
    scenario.lost_until_ns[index] = NEVER_NS

    def go() -> None:
        scenario.mark_fault()
        if not old.up:
            scenario.scheduler.call_later(SECOND // 2, go)  # it is told to end once it is back
            return
        old.shut_down(6 * SECOND)
        if chance.random() < 0.3:
            scenario.scheduler.call_later(chance.randrange(5, 600) * MS, half_way)

    def half_way() -> None:
        away = len([until for until in scenario.lost_until_ns if until > scenario.scheduler.now])
        if (
            scenario.voters_by_index[index] is old or away < scenario.tolerated_losses
        ):  # it and its successor are two
            scenario.kill(old, chance.random() < 0.5)

    if chance.random() < 0.5:
        start_successor(scenario, index)
        scenario.scheduler.call_later(chance.randrange(300, 5000) * MS, go)
    else:
        go()
        scenario.scheduler.call_later(
            chance.randrange(300, 5000) * MS, partial(start_successor, scenario, index)
        )


def lose_power(scenario: Scenario, index: int) -> None:
    """A machine loses power and comes back with its disk."""
    scenario.lost_until_ns[index] = NEVER_NS
    scenario.kill(scenario.voters_by_index[index], True)

    def back() -> None:
        scenario.restart(scenario.voters_by_index[index])
        scenario.voter_returned(index)

    scenario.scheduler.call_later(scenario.random.randrange(50, 6000) * MS, back)


def freeze_process(scenario: Scenario, index: int) -> None:
    """A machine is frozen for some seconds."""
    box = scenario.voters_by_index[index]
    scenario.lost_until_ns[index] = NEVER_NS
    scenario.isolate(box, "frozen")

    def back() -> None:
        scenario.mark_fault()
        box.thaw()
        scenario.fault_active = any(b.frozen for b in scenario.nodes.values())
        scenario.voter_returned(index)

    scenario.scheduler.call_later(scenario.random.randrange(100, 9000) * MS, back)


def split_network(scenario: Scenario, index: int) -> None:
    """Machines are cut into two halves for some seconds: more than may be lost, but nothing wrong is said."""
    boxes = [b.address for b in scenario.voters()]
    scenario.random.shuffle(boxes)
    near = scenario.random.randint(1, len(boxes) - 1)
    oneway = scenario.random.random() < 0.3
    scenario.mark_fault()
    scenario.fault_active = True
    scenario.log("#", f"cut: {boxes[:near]} from {boxes[near:]}{' one way' if oneway else ''}")
    for one in boxes[:near]:
        for other in boxes[near:]:
            scenario.network.cut(one, other)
            if not oneway:
                scenario.network.cut(other, one)

    def back() -> None:
        scenario.mark_fault()
        scenario.network.heal()
        scenario.fault_active = False
        for p, until in enumerate(scenario.lost_until_ns):
            if until < NEVER_NS:
                scenario.voter_returned(p)

    wait = scenario.random.randrange(200, 6000) * MS
    for p, until in enumerate(scenario.lost_until_ns):
        scenario.lost_until_ns[p] = max(until, scenario.scheduler.now + wait + MS)
    scenario.scheduler.call_later(wait, back)


def stop_all_and_wipe_one(scenario: Scenario, index: int) -> None:
    """All processes are killed or lose power at once, disks stay; of as many as may be lost they may go."""
    gone = [p for p in scenario.losable_voters() if scenario.voters_by_index[p].up]
    stop_all(scenario, scenario.random.random() < 0.6)
    if gone and scenario.random.random() < 0.5:
        index = scenario.random.choice(gone)
        box = scenario.voters_by_index[index]
        scenario.lost_until_ns[index] = NEVER_NS

        def back() -> None:
            if not box.up:
                box.wipe()
                scenario.restart(box)
            scenario.voter_returned(index)

        scenario.kill(box, True)
        box.wipe()
        scenario.scheduler.call_later(scenario.random.randrange(100, 3000) * MS, back)


def many_updates_while_away(scenario: Scenario) -> None:
    """Hundreds of changes while a member is away; then all are killed at once; then it is back."""
    chance = scenario.random
    most = 1000 if chance.random() < 0.05 else chance.randrange(150, 400)
    gap = chance.randrange(15, 60) * MS
    post = chance.randrange(len(scenario.voters_by_index))
    box, how = scenario.voters_by_index[post], chance.choice(["frozen", "wiped", "down", "both", "out", "in"])
    end = 4 * SECOND + most * gap

    def change() -> None:
        if scenario.scheduler.now > end + 3 * SECOND or len(scenario.updates) >= most:
            return
        version = scenario.highest_version + chance.choice([1, 1, 2])
        scenario.updates.append(
            OperatorUpdate(scenario, version, b"%d " % version + bytes(chance.randrange(50, 3000)), 0.02)
        )
        scenario.scheduler.call_later(gap, change)

    scenario.scheduler.call_at(3 * SECOND, change)
    scenario.generate_load(3 * SECOND, end + 12 * SECOND, (400, 2000), scenario.resend_update)

    def away() -> None:
        scenario.lost_until_ns[post] = NEVER_NS
        if how in ("wiped", "down"):
            scenario.kill(box, chance.random() < 0.5)
        else:
            scenario.isolate(box, how)

    def back() -> None:
        scenario.heal()
        if how == "wiped":
            box.wipe()
        if not box.up:
            scenario.restart(box)
        scenario.voter_returned(post)

    start, until = 3 * SECOND + chance.randrange(SECOND), end - chance.randrange(end // 2)
    scenario.scheduler.call_at(start, away)
    if chance.random() < 0.5:

        def stop() -> None:
            stop_all(scenario, chance.random() < 0.5)

        scenario.scheduler.call_at(max(start, until - chance.randrange(3 * SECOND)) + 1, stop)
    there = max(start, until) + 2 * SECOND
    scenario.scheduler.call_at(there, back)
    if chance.random() < 0.3:
        scenario.scheduler.call_at(
            there + chance.randrange(100, 5000) * MS, partial(stop_all, scenario, True)
        )
    scenario.scheduler.run_until(end + 12 * SECOND)


SCENARIOS: dict[int, Callable[[Scenario], None]] = {
    1: isolate_minority,
    2: conflicting_updates,
    3: replace_machines,
    4: many_updates_while_away,
}


def run_scenario(point: int, seed: int, trace: Trace | None = None) -> InvariantChecker:
    """One day of a point. Raises what the machines raise."""
    day = Scenario(seed * 8 + point, trace)
    SCENARIOS[point](day)
    return day.finish(restart_lost=point != 3)
