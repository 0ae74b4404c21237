"""Regression test: a member is lost right after a leaving member was replaced."""

from __future__ import annotations

from functools import partial

import pytest

from meadowworks.consensus.timing import MEMBER_SILENCE_TIMEOUT_NS
from meadowworks.simulation.control.replacement_scenarios import GRACE_NS, start_successor
from meadowworks.simulation.control.scenario import NEVER_NS, ClusterScenario
from meadowworks.simulation.event_scheduler import MS, SECOND


def three_members(first_seed: int) -> ClusterScenario:
    """Return a scenario with one tolerated failure, a reliable network and reliable disks."""
    seed = first_seed
    while (scenario := ClusterScenario(seed)).tolerated_failures != 1:
        seed += 1
    scenario.network.loss_rate = scenario.network.duplicate_rate = scenario.network.late_rate = 0.0
    scenario.cluster.write_failure_rate = 0.0
    return scenario


@pytest.mark.parametrize("seed", [1, 20, 40, 60, 80])
def test_majority_remains_when_member_is_lost_right_after_replacement(seed: int) -> None:
    scenario = three_members(seed)
    scheduler, first, second = scenario.scheduler, scenario.voters_by_index[0], scenario.voters_by_index[1]
    scheduler.run_until(5 * SECOND)
    # With three members the leaving one stays in the membership until a successor replaces it.
    scheduler.call_at(5 * SECOND, partial(first.shut_down, GRACE_NS))
    scheduler.call_at(5 * SECOND + 300 * MS, partial(start_successor, scenario, 0))
    loss_ns = 5 * SECOND + MEMBER_SILENCE_TIMEOUT_NS - 300 * MS  # before the silence timeout
    scheduler.call_at(loss_ns, partial(scenario.kill, second, True))
    scenario.lost_until_ns[1] = NEVER_NS
    scheduler.call_at(loss_ns, lambda: setattr(second, "removed", True))
    scheduler.run_until(loss_ns + 3 * SECOND)
    update = scenario.workload.create(scenario.workload.claim_next_version(), b"after", 0.0)
    scheduler.run_until(scheduler.now + 4 * SECOND)
    assert update.acknowledged_ns is not None
    assert not scenario.checker.counts.violations(), scenario.checker.messages
