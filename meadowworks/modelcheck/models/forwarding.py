"""The model `carriage`: a client's request and the connections that carry it."""

from __future__ import annotations

from typing import Any

from meadowworks.modelcheck.model import Model
from meadowworks.modelcheck.models import forwarding_world, http_connections
from meadowworks.modelcheck.models.forwarding_properties import PROPERTIES
from meadowworks.modelcheck.models.forwarding_scenarios import describe_step, scenarios


def initial_worlds(large: bool) -> list[Any]:
    """Return a world for each forwarding scenario, followed by the worlds of HTTP connections."""
    requests = [forwarding_world.ForwardingWorld(scenario) for scenario in scenarios(large)]
    return [*requests, *http_connections.initial_worlds(large)]


def thaw(state: Any) -> Any:
    """Rebuild a world of either kind from the result of its `freeze`."""
    return forwarding_world.thaw(state) if isinstance(state, bytes) else http_connections.thaw(state)


def model(large: bool) -> Model:
    """Return the model as the checker explores it."""
    return Model(
        "carriage",
        "a request through a proxy",
        lambda: initial_worlds(large),
        thaw,
        describe_step,
        PROPERTIES,
    )
