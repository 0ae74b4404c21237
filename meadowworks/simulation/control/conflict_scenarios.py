"""Scenario: conflicting updates under one version number during kills and losses of power."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial

from meadowworks.simulation.control.node import SimulatedControlPlaneNode
from meadowworks.simulation.control.process_faults import restart_node, stop_all, stop_one
from meadowworks.simulation.control.scenario import ClusterScenario
from meadowworks.simulation.event_scheduler import MS, SECOND, Callback

UPDATE_GAP_MS = (300, 3000)


def conflicting_updates(scenario: ClusterScenario) -> None:
    """Send rival updates while replies are lost, updates are repeated, and nodes are killed or lose power."""
    rng = scenario.random
    read_gap_ms = rng.choice([(50, 400), (2000, 8000)])
    update = partial(_update_with_faults, scenario)
    scenario.generate_load(3 * SECOND, 28 * SECOND, update, UPDATE_GAP_MS, read_gap_ms)
    scenario.scheduler.run_until(30 * SECOND)


def _update_with_faults(scenario: ClusterScenario) -> None:
    rng, scheduler = scenario.random, scenario.scheduler
    if rng.random() < 0.25:
        conflicting_incarnations(scenario)
        return
    reply_loss = rng.choice([0.1, 0.4, 0.8])
    scenario.workload.submit(reply_loss, rival_count=rng.choice([0, 1, 1, 2, 3]))
    if rng.random() < 0.5:
        scheduler.call_later(rng.randrange(20, 3000) * MS, scenario.workload.resend)
    draw = rng.random()
    stop_delay_ns = rng.choice([rng.randrange(3, 25), rng.randrange(5, 400)]) * MS
    if draw < 0.25:
        scheduler.call_later(stop_delay_ns, partial(stop_all, scenario, True))
    elif draw < 0.35:
        scheduler.call_later(stop_delay_ns, partial(stop_all, scenario, False))
    elif draw < 0.7:
        scheduler.call_later(rng.randrange(2, 400) * MS, partial(stop_one, scenario))


def conflicting_incarnations(scenario: ClusterScenario) -> None:
    """Submit different updates with the same version to two incarnations of one node.

    The node has a slow disk and loses power after each of the two updates; some links are cut at times.
    """
    rng = scenario.random
    running = [node for node in scenario.voters() if node.up]
    if len(running) < 2 * scenario.tolerated_failures + 1:
        return
    node, *others = rng.sample(running, len(running))
    reachable, unreachable = others[: scenario.tolerated_failures], others[scenario.tolerated_failures :]
    version = scenario.workload.claim_next_version()

    def send(name: str) -> None:
        scenario.workload.send(version, f"{version}-{name}".encode(), 0.2, first_node=node)

    node.slow_disk = True
    steps: list[tuple[int, Callback]] = [  # (milliseconds after the previous step, action)
        (1, partial(send, "x")),
        (rng.randrange(2, 10), partial(_cut_links, scenario, [node], unreachable)),
        (rng.randrange(2, 20), partial(_end_first_incarnation, scenario, node, reachable)),
        (rng.randrange(50, 150), partial(restart_node, scenario, node)),
        (rng.randrange(520, 900), partial(send, "y")),
        (rng.randrange(8, 100), partial(scenario.kill, node, True)),
        (1, scenario.heal),
        (rng.randrange(500, 3000), partial(restart_node, scenario, node)),
    ]
    delay_ns = 0
    for step_delay_ms, action in steps:
        delay_ns += step_delay_ms * MS
        scenario.scheduler.call_later(delay_ns, action)


def _end_first_incarnation(
    scenario: ClusterScenario, node: SimulatedControlPlaneNode, reachable: Sequence[SimulatedControlPlaneNode]
) -> None:
    scenario.kill(node, True)
    node.slow_disk = False
    scenario.network.heal()
    if scenario.random.random() < 0.7:
        _cut_links(scenario, reachable, list(scenario.nodes.values()))
        _cut_links(scenario, list(scenario.nodes.values()), reachable)


def _cut_links(
    scenario: ClusterScenario,
    sources: Sequence[SimulatedControlPlaneNode],
    targets: Sequence[SimulatedControlPlaneNode],
) -> None:
    scenario.cluster.mark_fault()
    for source in sources:
        for target in targets:
            if source is not target:
                scenario.network.cut(source.address, target.address)
