"""Model `carriage` of the command line: a client's request, and the connections that it goes over."""

from __future__ import annotations

from typing import Any

from meadowworks.modelcheck.model import Model
from meadowworks.modelcheck.models import forwarding_world, http_connections
from meadowworks.modelcheck.models.forwarding_properties import PROPERTIES
from meadowworks.modelcheck.models.forwarding_scenarios import describe_step, scenarios


def initial_worlds(large: bool) -> list[Any]:
    """A world for each scenario, and those of connections."""
    requests = [forwarding_world.ForwardingWorld(scenario) for scenario in scenarios(large)]
    return [*requests, *http_connections.initial_worlds(large)]


def thaw(state: Any) -> Any:
    """The world that `freeze` has kept, of either kind."""
    return forwarding_world.thaw(state) if isinstance(state, bytes) else http_connections.thaw(state)


def model(large: bool) -> Model:
    """The model, as the checker runs it."""
    return Model(
        "carriage",
        "a request through a junction",
        lambda: initial_worlds(large),
        thaw,
        describe_step,
        PROPERTIES,
    )
