"""The scenarios of `lab control` by number, which is the value of `--point`."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from meadowworks.simulation.control.absence_scenarios import many_updates_while_away
from meadowworks.simulation.control.caller_scenario import CallerRun
from meadowworks.simulation.control.cluster import Trace
from meadowworks.simulation.control.conflict_scenarios import conflicting_updates
from meadowworks.simulation.control.counts import ScenarioCounts
from meadowworks.simulation.control.overlap_scenarios import acknowledged_then_disks_lost, overlapping_faults
from meadowworks.simulation.control.partition_scenarios import isolate_minority
from meadowworks.simulation.control.replacement_scenarios import replace_machines
from meadowworks.simulation.control.scenario import ClusterScenario

REPLACEMENT_SCENARIO = 3  # machines may stay lost until the end
CALLER_SCENARIO = 5  # models connections, without control planes
SCENARIOS: dict[int, Callable[[ClusterScenario], None]] = {
    1: isolate_minority,
    2: conflicting_updates,
    REPLACEMENT_SCENARIO: replace_machines,
    4: many_updates_while_away,
    6: overlapping_faults,
    7: acknowledged_then_disks_lost,
}
SCENARIO_NUMBERS = (*sorted({*SCENARIOS, CALLER_SCENARIO}),)
# By scenario; the seed selects one in turn, for memberships of three, five and seven.
TOLERATED_FAILURES = {6: (1, 2, 3), 7: (1, 2, 3)}


@dataclass(frozen=True, slots=True)
class ScenarioResult:
    """Counts and violation messages of one scenario."""

    counts: ScenarioCounts
    messages: list[str]


def run_scenario(number: int, seed: int, trace: Trace | None = None) -> ScenarioResult:
    """Run one scenario and return its counts and violation messages.

    :raises Exception: any exception of the product's state machines.
    """
    if number == CALLER_SCENARIO:
        run = CallerRun(seed)
        run.run()
        return ScenarioResult(run.counts, run.messages)
    sizes = TOLERATED_FAILURES.get(number, (0,))
    scenario = ClusterScenario(seed * 8 + number, trace, sizes[seed % len(sizes)])
    SCENARIOS[number](scenario)
    checker = scenario.finish(restart_lost=number != REPLACEMENT_SCENARIO)
    return ScenarioResult(checker.counts, checker.messages)
