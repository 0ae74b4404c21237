"""The scenarios of `lab control`, by their numbers on the command line."""

from __future__ import annotations

from collections.abc import Callable

from meadowworks.simulation.control.absence_scenarios import many_updates_while_away
from meadowworks.simulation.control.cluster import Trace
from meadowworks.simulation.control.conflict_scenarios import conflicting_updates
from meadowworks.simulation.control.invariants import InvariantChecker
from meadowworks.simulation.control.partition_scenarios import isolate_minority
from meadowworks.simulation.control.replacement_scenarios import replace_machines
from meadowworks.simulation.control.scenario import Scenario

REPLACEMENT = 3  # in which machines may stay lost to the end
SCENARIOS: dict[int, Callable[[Scenario], None]] = {
    1: isolate_minority,
    2: conflicting_updates,
    REPLACEMENT: replace_machines,
    4: many_updates_while_away,
}


def run_scenario(number: int, seed: int, trace: Trace | None = None) -> InvariantChecker:
    """Play one scenario and return what was seen in it.

    :raises Exception: what the product's state machines raise.
    """
    scenario = Scenario(seed * 8 + number, trace)
    SCENARIOS[number](scenario)
    return scenario.finish(restart_lost=number != REPLACEMENT)
