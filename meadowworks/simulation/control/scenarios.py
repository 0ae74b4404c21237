"""The scenarios of `lab control`, by their numbers on the command line."""

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

REPLACEMENT_SCENARIO = 3  # in which machines may stay lost to the end
CALLER_SCENARIO = 5  # which has connections and no control plane
SCENARIOS: dict[int, Callable[[ClusterScenario], None]] = {
    1: isolate_minority,
    2: conflicting_updates,
    REPLACEMENT_SCENARIO: replace_machines,
    4: many_updates_while_away,
    6: overlapping_faults,
    7: acknowledged_then_disks_lost,
}
SCENARIO_NUMBERS = (*sorted({*SCENARIOS, CALLER_SCENARIO}),)
# Of these scenarios, by turns of the seed: memberships of three, five and seven.
TOLERATED_FAILURES = {6: (1, 2, 3), 7: (1, 2, 3)}


@dataclass(frozen=True, slots=True)
class ScenarioResult:
    """What one scenario came to."""

    counts: ScenarioCounts
    messages: list[str]


def run_scenario(number: int, seed: int, trace: Trace | None = None) -> ScenarioResult:
    """Play one scenario and return what was seen in it.

    :raises Exception: what the product's state machines raise.
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
