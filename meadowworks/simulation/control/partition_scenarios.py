"""Scenario: isolated machines and abandoned updates."""

from __future__ import annotations

from functools import partial

from meadowworks.simulation.control.process_faults import restart_node
from meadowworks.simulation.control.scenario import ClusterScenario
from meadowworks.simulation.event_scheduler import MS, SECOND

LOAD_START_NS, LOAD_END_NS, END_NS = 3 * SECOND, 33 * SECOND, 34 * SECOND
NO_UPDATES_MS = (60_000, 60_001)  # longer than the load
ISOLATION_MODES = ("both", "in", "out", "frozen", "both")


def isolate_minority(scenario: ClusterScenario) -> None:
    """Isolate a minority for twenty seconds during updates and reads, or abandon updates."""
    rng, scheduler = scenario.random, scenario.scheduler
    isolated = rng.sample(scenario.voters(), rng.randint(1, scenario.tolerated_failures))

    def cut() -> None:
        for node in isolated:
            scenario.isolate(node, rng.choice(ISOLATION_MODES))

    def heal() -> None:
        scenario.heal()
        for node in scenario.voters():
            scenario.expect_catch_up(node)

    cut_ns = 5 * SECOND + rng.randrange(SECOND)
    if rng.random() < 0.3:
        abandon_updates(scenario)
        return
    scenario.generate_load(LOAD_START_NS, LOAD_END_NS, scenario.workload.submit, (150, 1200))
    scheduler.call_at(cut_ns, cut)
    if rng.random() < 0.3:  # interrupt the isolation
        scheduler.call_at(cut_ns + 6 * SECOND, scenario.heal)
        scheduler.call_at(cut_ns + 6 * SECOND + rng.randrange(2 * SECOND), cut)
    scheduler.call_at(cut_ns + 20 * SECOND, heal)
    scheduler.run_until(END_NS)


def abandon_updates(scenario: ClusterScenario) -> None:
    """Abandon two partially replicated updates without further load; nodes must keep their leases."""
    rng, scheduler, workload = scenario.random, scenario.scheduler, scenario.workload
    scenario.generate_load(LOAD_START_NS, LOAD_END_NS, lambda: None, NO_UPDATES_MS, NO_UPDATES_MS)

    def abandon_update() -> None:
        node = rng.choice(scenario.voters())
        version = workload.highest_version + 1
        value = b"%d" % workload.highest_version
        workload.create(version, value, 0.0, first_node=node, timeout_ns=0)
        scheduler.call_later(rng.randrange(5, 13) * MS, partial(scenario.kill, node, True))
        scheduler.call_later(rng.randrange(100, 400) * MS, partial(restart_node, scenario, node))

    for at_s in (4, 18):
        scheduler.call_at(at_s * SECOND, abandon_update)
    scheduler.run_until(END_NS)
