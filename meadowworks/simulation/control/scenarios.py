"""The scenarios of `lab control`, by their numbers on the command line."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from meadowworks.simulation.control.absence_scenarios import many_updates_while_away
from meadowworks.simulation.control.caller_scenario import CallerRun
from meadowworks.simulation.control.cluster import Trace
from meadowworks.simulation.control.conflict_scenarios import conflicting_updates
from meadowworks.simulation.control.counts import ScenarioCounts
from meadowworks.simulation.control.overlap_scenarios import acknowledged_then_disks_lost, halves_and_overlaps
from meadowworks.simulation.control.partition_scenarios import isolate_minority
from meadowworks.simulation.control.replacement_scenarios import replace_machines
from meadowworks.simulation.control.scenario import Scenario

REPLACEMENT = 3  # in which machines may stay lost to the end
CALLERS = 5  # which has connections and no control plane
SCENARIOS: dict[int, Callable[[Scenario], None]] = {
    1: isolate_minority,
    2: conflicting_updates,
    REPLACEMENT: replace_machines,
    4: many_updates_while_away,
    6: halves_and_overlaps,
    7: acknowledged_then_disks_lost,
}
POINTS = (*sorted({*SCENARIOS, CALLERS}),)
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
    if number == CALLERS:
        run = CallerRun(seed)
        run.run()
        return ScenarioResult(run.counts, run.messages)
    sizes = TOLERATED_FAILURES.get(number, (0,))
    scenario = Scenario(seed * 8 + number, trace, sizes[seed % len(sizes)])
    SCENARIOS[number](scenario)
    checker = scenario.finish(restart_lost=number != REPLACEMENT)
    return ScenarioResult(checker.counts, checker.messages)
