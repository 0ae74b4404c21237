"""What must hold of a client's request, and of the connections that it goes over."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from meadowworks.modelcheck.model import Property
from meadowworks.modelcheck.models import http_connections
from meadowworks.modelcheck.models.forwarding_world import ForwardingWorld


def not_violated(name: str) -> Any:
    """A property that the worlds watch themselves."""
    return lambda world: name not in world.violations


def only_for(kind: type, holds: Callable[[Any], bool]) -> Callable[[Any], bool]:
    """A property of worlds of one kind alone."""
    return lambda world: not isinstance(world, kind) or holds(world)


def connections_lead_home(world: ForwardingWorld) -> bool:
    """An idle connection leads to the instance that it is kept for."""
    return all(
        connection.instance == instance
        for instance, pool in world.pool.endpoints.items()
        for _, connection in pool.idle
        if connection.is_usable()
    )


def attempts_bounded(world: ForwardingWorld) -> bool:
    """No more attempts than the operator allows."""
    return all(len(one.attempts.attempts) <= max(1, world.scenario.max_attempts) for one in world.requests)


def answered_at_once(world: ForwardingWorld) -> bool:
    """A request with no try under way, and none to come, has its answer."""
    return all(
        one.status or any(f.request == r and f.awaited for f in world.in_flight)
        for r, one in enumerate(world.requests)
    )


PROPERTIES = (
    Property(
        "at most once",
        "an unsafe request runs once at most, whatever is tried again",
        not_violated("at most once"),
    ),
    Property(
        "promises kept",
        "an unsafe request that was told 503 or the like has not run and never will",
        not_violated("promises kept"),
    ),
    Property(
        "own answer", "a success that goes to a client is its own request's", not_violated("own answer")
    ),
    Property(
        "drains kept",
        "no try begins at a life that is known to drain or to be gone",
        not_violated("drains kept"),
    ),
    Property(
        "own lines",
        "a kept line leads to the life that it is kept for",
        only_for(ForwardingWorld, connections_lead_home),
    ),
    Property(
        "tries bounded", "no more tries than the operator allows", only_for(ForwardingWorld, attempts_bounded)
    ),
    Property(
        "told at once",
        "with no try under way its client has its answer",
        lambda world: http_connections.answered(world)
        if isinstance(world, http_connections.ConnectionWorld)
        else answered_at_once(world),
    ),
    Property(
        "wrong caller", "no caller is told a success that is not its own, whole", not_violated("wrong caller")
    ),
    Property("ran twice", "no unsafe call runs twice, or after a promise not to", not_violated("ran twice")),
    Property(
        "clean lines",
        "no call goes where bytes of another may come",
        only_for(http_connections.ConnectionWorld, http_connections.no_foreign_bytes),
    ),
    Property(
        "no line left",
        "a line that nobody reads is kept or ended",
        only_for(http_connections.ConnectionWorld, http_connections.no_connection_left),
    ),
)
