"""Scenario: hundreds of updates while a member is away."""

from __future__ import annotations

from functools import partial

from meadowworks.simulation.control.process_faults import stop_all
from meadowworks.simulation.control.scenario import NEVER_NS, ClusterScenario
from meadowworks.simulation.event_scheduler import MS, SECOND

ABSENCE_KINDS = ("frozen", "wiped", "down", "both", "out", "in")
START_NS = 3 * SECOND
MAX_VALUE_BYTES = 3000


def many_updates_while_away(scenario: ClusterScenario) -> None:
    """Send hundreds of updates while a member is away; sometimes stop all nodes around its return."""
    rng, scheduler = scenario.random, scenario.scheduler
    update_count = 1000 if rng.random() < 0.05 else rng.randrange(150, 400)
    gap_ns = rng.randrange(15, 60) * MS
    index, mode = rng.randrange(len(scenario.voters_by_index)), rng.choice(ABSENCE_KINDS)
    end_ns = 4 * SECOND + update_count * gap_ns
    scheduler.call_at(START_NS, partial(_update, scenario, update_count, gap_ns, end_ns + 3 * SECOND))
    scenario.generate_load(START_NS, end_ns + 12 * SECOND, scenario.workload.resend, (400, 2000))
    absence_start_ns = START_NS + rng.randrange(SECOND)
    absence_end_ns = end_ns - rng.randrange(end_ns // 2)
    scheduler.call_at(absence_start_ns, partial(_start_absence, scenario, index, mode))
    if rng.random() < 0.5:
        stop_ns = max(absence_start_ns, absence_end_ns - rng.randrange(3 * SECOND)) + 1
        scheduler.call_at(stop_ns, partial(_stop_all, scenario))
    return_ns = max(absence_start_ns, absence_end_ns) + 2 * SECOND
    scheduler.call_at(return_ns, partial(_end_absence, scenario, index, mode))
    if rng.random() < 0.3:
        stop_ns = return_ns + rng.randrange(100, 5000) * MS
        scheduler.call_at(stop_ns, partial(stop_all, scenario, True))
    scheduler.run_until(end_ns + 12 * SECOND)


def _update(scenario: ClusterScenario, update_count: int, gap_ns: int, end_ns: int) -> None:
    workload, rng = scenario.workload, scenario.random
    if scenario.now > end_ns or len(workload.updates) >= update_count:
        return
    version = workload.highest_version + rng.choice([1, 1, 2])
    value = b"%d " % version + bytes(rng.randrange(50, MAX_VALUE_BYTES))
    workload.send(version, value, 0.02)
    scenario.scheduler.call_later(gap_ns, partial(_update, scenario, update_count, gap_ns, end_ns))


def _start_absence(scenario: ClusterScenario, index: int, mode: str) -> None:
    scenario.lost_until_ns[index] = NEVER_NS
    node = scenario.voters_by_index[index]
    if mode in ("wiped", "down"):
        scenario.kill(node, scenario.random.random() < 0.5)
    else:
        scenario.isolate(node, mode)


def _stop_all(scenario: ClusterScenario) -> None:
    stop_all(scenario, scenario.random.random() < 0.5)


def _end_absence(scenario: ClusterScenario, index: int, mode: str) -> None:
    scenario.heal()
    node = scenario.voters_by_index[index]
    if mode == "wiped":
        node.wipe()
    if not node.up:
        scenario.restart(node)
    scenario.voter_returned(index)
