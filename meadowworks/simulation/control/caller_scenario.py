"""Scenario: random walks through the connection model, which runs the product's own classes.

`check carriage` explores small worlds exhaustively; these walks sample larger ones.
"""

from __future__ import annotations

import random
from functools import cache

from meadowworks.modelcheck.model import NO_DEADLOCK, Property
from meadowworks.modelcheck.models import http_connections
from meadowworks.modelcheck.models.forwarding_properties import PROPERTIES
from meadowworks.modelcheck.models.http_connection_scenarios import ConnectionScenario, describe_step
from meadowworks.simulation.control.counts import ScenarioCounts

WALKS = 12  # per seed
MAX_STEPS = 60
CALL_KINDS = ("unsafe", "unsafe", "safe", "controllers")
COUNT_NAMES = {"ran twice": "ran_twice"}  # by property; the other properties count as "wrong_caller"


@cache
def state_properties() -> tuple[Property, ...]:
    """Return the properties that every state of the connection model must satisfy."""
    return tuple(prop for prop in PROPERTIES if prop.checked_on == "state")


class CallerRun:
    """The random walks of one seed, with their counts and violation messages."""

    def __init__(self, seed: int) -> None:
        self.counts = ScenarioCounts(days=1)
        self.messages: list[str] = []
        self._random = random.Random(seed)

    def run(self) -> None:
        """Run all walks."""
        for _ in range(WALKS):
            self._walk(http_connections.ConnectionWorld(self._draw_scenario()))

    def _draw_scenario(self) -> ConnectionScenario:
        rng = self._random
        call_kind = rng.choice(CALL_KINDS)
        return ConnectionScenario(
            "drawn",
            call_kind,
            idle_connections=rng.randrange(3),
            max_faults=rng.randrange(4),
            surplus_responses=rng.randrange(4),
            client_timeouts=rng.randrange(2),
            has_ids=call_kind != "safe" or rng.random() < 0.8,
            cut_places=(0, 1, 2, 3, 4),
        )

    def _walk(self, world: http_connections.ConnectionWorld) -> None:
        step_texts = []
        for _ in range(MAX_STEPS):
            steps = list(world.enabled())
            if not steps:
                break
            step = self._random.choice(steps)
            step_texts.append(describe_step(step))
            world.take_step(step)
            violated = [prop.name for prop in state_properties() if not prop.holds(world)]
            if violated:
                self._report(violated, step_texts)
                break
        self.counts.calls += len(world.callers)
        self.counts.calls_answered += sum(caller.status > 0 for caller in world.callers)

    def _report(self, violated: list[str], step_texts: list[str]) -> None:
        for name in violated:
            assert name != NO_DEADLOCK
            count_name = COUNT_NAMES.get(name, "wrong_caller")
            setattr(self.counts, count_name, getattr(self.counts, count_name) + 1)
            self.messages.append(f"{name}: {'; '.join(step_texts)}")
