"""Machines that are cut off, and updates that are left half-way."""

from __future__ import annotations

from functools import partial

from meadowworks.simulation.control.process_faults import restart_node
from meadowworks.simulation.control.scenario import ClusterScenario
from meadowworks.simulation.event_scheduler import MS, SECOND

LOAD_START_NS, LOAD_END_NS, END_NS = 3 * SECOND, 33 * SECOND, 34 * SECOND
NO_UPDATES_MS = (60_000, 60_001)  # longer than the load
KINDS = ("both", "in", "out", "frozen", "both")


def isolate_minority(scenario: ClusterScenario) -> None:
    """Cut some machines off for twenty seconds, both ways, one way or frozen; updates and reads go on."""
    rng, scheduler = scenario.random, scenario.scheduler
    lost = rng.sample(scenario.voters(), rng.randint(1, scenario.tolerated_failures))

    def cut() -> None:
        for node in lost:
            scenario.isolate(node, rng.choice(KINDS))

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
    if rng.random() < 0.3:  # a cut that comes and goes
        scheduler.call_at(cut_ns + 6 * SECOND, scenario.heal)
        scheduler.call_at(cut_ns + 6 * SECOND + rng.randrange(2 * SECOND), cut)
    scheduler.call_at(cut_ns + 20 * SECOND, heal)
    scheduler.run_until(END_NS)


def abandon_updates(scenario: ClusterScenario) -> None:
    """Leave updates half-way, again and again, while nobody else has any: leases go on."""
    rng, scheduler, workload = scenario.random, scenario.scheduler, scenario.workload
    scenario.generate_load(LOAD_START_NS, LOAD_END_NS, lambda: None, NO_UPDATES_MS, NO_UPDATES_MS)

    def abandon_one() -> None:
        node = rng.choice(scenario.voters())
        version = workload.highest_version + 1
        value = b"%d" % workload.highest_version
        workload.create(version, value, 0.0, first_node=node, timeout_ns=0)
        scheduler.call_later(rng.randrange(5, 13) * MS, partial(scenario.kill, node, True))
        scheduler.call_later(rng.randrange(100, 400) * MS, partial(restart_node, scenario, node))

    for at_s in (4, 18):
        scheduler.call_at(at_s * SECOND, abandon_one)
    scheduler.run_until(END_NS)
