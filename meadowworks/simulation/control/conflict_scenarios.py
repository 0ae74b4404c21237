"""Several operators under one version number, while processes end and power goes."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial

from meadowworks.simulation.control.node import ControlPlaneNode
from meadowworks.simulation.control.process_faults import restart_node, stop_all, stop_one
from meadowworks.simulation.control.scenario import Scenario
from meadowworks.simulation.event_scheduler import MS, SECOND, Callback

UPDATE_GAP_MS = (300, 3000)


def conflicting_updates(scenario: Scenario) -> None:
    """Send rival updates; answers are lost, updates come again, processes end, power goes."""
    chance = scenario.random
    read_gap_ms = chance.choice([(50, 400), (2000, 8000)])
    update = partial(_update_with_trouble, scenario)
    scenario.generate_load(3 * SECOND, 28 * SECOND, update, UPDATE_GAP_MS, read_gap_ms)
    scenario.scheduler.run_until(30 * SECOND)


def _update_with_trouble(scenario: Scenario) -> None:
    chance, scheduler = scenario.random, scenario.scheduler
    if chance.random() < 0.25:
        conflicting_incarnations(scenario)
        return
    reply_loss = chance.choice([0.1, 0.4, 0.8])
    scenario.workload.submit(reply_loss, rivals=chance.choice([0, 1, 1, 2, 3]))
    if chance.random() < 0.5:
        scheduler.call_later(chance.randrange(20, 3000) * MS, scenario.workload.resend)
    fate = chance.random()
    soon_ns = chance.choice([chance.randrange(3, 25), chance.randrange(5, 400)]) * MS
    if fate < 0.25:
        scheduler.call_later(soon_ns, partial(stop_all, scenario, True))
    elif fate < 0.35:
        scheduler.call_later(soon_ns, partial(stop_all, scenario, False))
    elif fate < 0.7:
        scheduler.call_later(chance.randrange(2, 400) * MS, partial(stop_one, scenario))


def conflicting_incarnations(scenario: Scenario) -> None:
    """Let two incarnations of one node take different updates under the same number.

    The node has a slow disk, loses power after each, and is gone for a while; some of its links are cut now
    and then.
    """
    chance = scenario.random
    running = [node for node in scenario.voters() if node.up]
    if len(running) < 2 * scenario.tolerated_failures + 1:
        return
    node, *others = chance.sample(running, len(running))
    near, far = others[: scenario.tolerated_failures], others[scenario.tolerated_failures :]
    version = scenario.workload.claim_next_version()

    def send(name: str) -> None:
        scenario.workload.send(version, f"{version}-{name}".encode(), 0.2, first_node=node)

    node.slow_disk = True
    steps: list[tuple[int, Callback]] = [  # milliseconds after the step before
        (1, partial(send, "x")),
        (chance.randrange(2, 10), partial(_cut, scenario, [node], far)),
        (chance.randrange(2, 20), partial(_end_first_incarnation, scenario, node, near)),
        (chance.randrange(50, 150), partial(restart_node, scenario, node)),
        (chance.randrange(520, 900), partial(send, "y")),
        (chance.randrange(8, 100), partial(scenario.kill, node, True)),
        (1, scenario.heal),
        (chance.randrange(500, 3000), partial(restart_node, scenario, node)),
    ]
    at_ns = 0
    for wait_ms, action in steps:
        at_ns += wait_ms * MS
        scenario.scheduler.call_later(at_ns, action)


def _end_first_incarnation(
    scenario: Scenario, node: ControlPlaneNode, near: Sequence[ControlPlaneNode]
) -> None:
    scenario.kill(node, True)
    node.slow_disk = False
    scenario.network.heal()
    if scenario.random.random() < 0.7:
        _cut(scenario, near, list(scenario.nodes.values()))
        _cut(scenario, list(scenario.nodes.values()), near)


def _cut(
    scenario: Scenario, sources: Sequence[ControlPlaneNode], targets: Sequence[ControlPlaneNode]
) -> None:
    scenario.cluster.mark_fault()
    for source in sources:
        for target in targets:
            if source is not target:
                scenario.network.cut(source.address, target.address)
