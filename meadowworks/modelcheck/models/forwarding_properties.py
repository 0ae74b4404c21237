"""Properties of a client's request and of the connections that carry it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from meadowworks.modelcheck.model import Property
from meadowworks.modelcheck.models import http_connections
from meadowworks.modelcheck.models.forwarding_world import ForwardingWorld


def not_violated(name: str) -> Any:
    """Return the predicate of a property whose violations the world records itself."""
    return lambda world: name not in world.violations


def only_for_worlds_of(world_class: type, holds: Callable[[Any], bool]) -> Callable[[Any], bool]:
    """Return a predicate that holds for all worlds but those of one class that violate it."""
    return lambda world: not isinstance(world, world_class) or holds(world)


def idle_connections_match_instance(world: ForwardingWorld) -> bool:
    """Return whether every idle connection is open to the instance in whose pool it is."""
    return all(
        connection.instance == instance
        for instance, pool in world.pool.endpoints.items()
        for _, connection in pool.idle
        if connection.is_usable()
    )


def attempts_bounded(world: ForwardingWorld) -> bool:
    """Return whether no request has more attempts than configured."""
    return all(
        len(request.attempts.attempts) <= max(1, world.scenario.max_attempts) for request in world.requests
    )


def all_requests_answered(world: ForwardingWorld) -> bool:
    """Return whether every request without an attempt in flight has its response."""
    return all(
        request.status or any(attempt.request == r and attempt.awaited for attempt in world.in_flight)
        for r, request in enumerate(world.requests)
    )


PROPERTIES = (
    Property(
        "at most once",
        "an unsafe request runs at most once, also with retries",
        not_violated("at most once"),
    ),
    Property(
        "promises kept",
        "an unsafe request that was answered with 503 or a similar status has not run and never will",
        not_violated("promises kept"),
    ),
    Property(
        "own answer",
        "a successful response that a client receives belongs to its own request",
        not_violated("own answer"),
    ),
    Property(
        "drains kept",
        "no attempt starts at an instance that is known to be draining or gone",
        not_violated("drains kept"),
    ),
    Property(
        "own lines",
        "an idle connection leads to the instance in whose pool it is",
        only_for_worlds_of(ForwardingWorld, idle_connections_match_instance),
    ),
    Property(
        "tries bounded",
        "no request has more attempts than configured",
        only_for_worlds_of(ForwardingWorld, attempts_bounded),
    ),
    Property(
        "told at once",
        "a client whose request has no attempt in flight has its response",
        lambda world: http_connections.all_callers_answered(world)
        if isinstance(world, http_connections.ConnectionWorld)
        else all_requests_answered(world),
    ),
    Property(
        "wrong caller",
        "a caller receives only its own, complete successful response",
        not_violated("wrong caller"),
    ),
    Property(
        "ran twice",
        "no unsafe call runs twice, or after the guarantee that it has not run",
        not_violated("ran twice"),
    ),
    Property(
        "clean lines",
        "no call uses a connection on which bytes of another call may arrive",
        only_for_worlds_of(http_connections.ConnectionWorld, http_connections.no_unread_bytes),
    ),
    Property(
        "no line left",
        "a connection that no task reads is idle in a pool or closed",
        only_for_worlds_of(http_connections.ConnectionWorld, http_connections.no_leaked_connections),
    ),
)
