"""The model `replicated_log` as the explorer runs it, with descriptions of its steps."""

from __future__ import annotations

from collections.abc import Sequence
from typing import overload

from meadowworks.modelcheck.model import Model, Step, World
from meadowworks.modelcheck.models.replicated_log.properties import PROPERTIES
from meadowworks.modelcheck.models.replicated_log.scenarios import (
    LARGE_SCENARIOS,
    SCENARIOS,
    LogScenario,
)
from meadowworks.modelcheck.models.replicated_log.world import LogWorld, thaw_world

STEP_DESCRIPTIONS = {
    "request": "arrives: {}",
    "reply": "arrives: {}",
    "copy": "is duplicated: {}",
    "timeout": "node {} starts an election",
    "stop": "node {} finds that it may not vote",
    "heartbeat": "leader {} sends heartbeats",
    "write": "the write of node {} completes",
    "power": "node {} loses power and restarts",
    "wipe": "the disk of node {} is replaced by an empty one",
    "propose": "an entry is proposed at leader {}",
    "barrier": "a read barrier begins at leader {}",
    "compact": "leader {} compacts its log",
    "reconfigure": "the request of reconfiguration {} arrives at node {}",
}


def describe_step(step: Step) -> str:
    """Return the description of a step for printed paths.

    :raises ValueError: if this model has no such step.
    """
    kind, *arguments = step
    description = STEP_DESCRIPTIONS.get(kind)
    if description is None or description.count("{}") != len(arguments):
        raise ValueError(f"the model of the replicated log has no such step: {step!r}")
    return description.format(*arguments)


class InitialWorlds(Sequence[World]):
    """The initial worlds of some scenarios; a world is only prepared when it is asked for."""

    def __init__(self, scenarios: Sequence[LogScenario]) -> None:
        self._scenarios = scenarios

    def __len__(self) -> int:
        return len(self._scenarios)

    @overload
    def __getitem__(self, index: int) -> World: ...

    @overload
    def __getitem__(self, index: slice) -> Sequence[World]: ...

    def __getitem__(self, index: int | slice) -> World | Sequence[World]:
        if isinstance(index, slice):
            return InitialWorlds(self._scenarios[index])
        return LogWorld(self._scenarios[index])


def model_of(scenarios: Sequence[LogScenario]) -> Model:
    """Return the model of some scenarios."""
    return Model(
        "replicated_log",
        "the replicated log: elections, appends, read barriers, snapshots and epochs",
        lambda: InitialWorlds(scenarios),
        thaw_world,
        describe_step,
        PROPERTIES,
        may_terminate=lambda _world: True,
    )


def model(large: bool) -> Model:
    """Return the model, with larger scenarios if `large`."""
    return model_of((*SCENARIOS, *LARGE_SCENARIOS) if large else SCENARIOS)
