"""Callers and their responses: long random runs of the model of connections, over the product's own classes.

`check carriage` explores small worlds whole; here they are larger and are walked through at random.
"""

from __future__ import annotations

import random
from functools import cache

from meadowworks.modelcheck.model import NO_DEADLOCK, Property
from meadowworks.modelcheck.models import http_connections
from meadowworks.modelcheck.models.forwarding_properties import PROPERTIES
from meadowworks.modelcheck.models.http_connection_scenarios import ConnectionScenario, describe_step
from meadowworks.simulation.control.counts import ScenarioCounts

WALKS = 12  # of one seed
MAX_STEPS = 60
CALL_KINDS = ("unsafe", "unsafe", "safe", "controllers")
COUNT_NAMES = {
    "ran twice": "ran_twice"
}  # the others are responses that reach, or could reach, another caller


@cache
def state_properties() -> tuple[Property, ...]:
    """What must hold of every state of a world of connections."""
    return tuple(one for one in PROPERTIES if one.checked_on == "state")


class CallerRun:
    """The walks of one seed, and what was seen in them."""

    def __init__(self, seed: int) -> None:
        self.counts = ScenarioCounts(days=1)
        self.messages: list[str] = []
        self._random = random.Random(seed)

    def run(self) -> None:
        """Walk through some worlds."""
        for _ in range(WALKS):
            self._walk(http_connections.ConnectionWorld(self._draw_scenario()))

    def _draw_scenario(self) -> ConnectionScenario:
        rng = self._random
        calls = rng.choice(CALL_KINDS)
        return ConnectionScenario(
            "drawn",
            calls,
            idle_connections=rng.randrange(3),
            max_faults=rng.randrange(4),
            surplus_responses=rng.randrange(4),
            client_timeouts=rng.randrange(2),
            has_ids=calls != "safe" or rng.random() < 0.8,
            cut_places=(0, 1, 2, 3, 4),
        )

    def _walk(self, world: http_connections.ConnectionWorld) -> None:
        taken = []
        for _ in range(MAX_STEPS):
            steps = list(world.enabled())
            if not steps:
                break
            step = self._random.choice(steps)
            taken.append(describe_step(step))
            world.take_step(step)
            broken = [one.name for one in state_properties() if not one.holds(world)]
            if broken:
                self._report(broken, taken)
                break
        self.counts.calls += len(world.callers)
        self.counts.calls_answered += sum(caller.status > 0 for caller in world.callers)

    def _report(self, broken: list[str], taken: list[str]) -> None:
        for name in broken:
            assert name != NO_DEADLOCK
            count_name = COUNT_NAMES.get(name, "wrong_caller")
            setattr(self.counts, count_name, getattr(self.counts, count_name) + 1)
            self.messages.append(f"{name}: {'; '.join(taken)}")
