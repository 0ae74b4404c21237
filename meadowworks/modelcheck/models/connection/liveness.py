"""Liveness properties: obligations that may not stay pending forever."""

from __future__ import annotations

from meadowworks.modelcheck.model import LivenessProperty, steps_starting_with
from meadowworks.modelcheck.models.connection.connection import JOINED, READING
from meadowworks.modelcheck.models.connection.world import World

MAX_CONNECTIONS = 3  # the most connections of any scenario
# The controller's own steps; it does not delay any of them forever.
FAIR_STEPS = (
    steps_starting_with("module"),
    *(
        steps_starting_with(name, index)
        for name in ("late", "lost", "begin", "act")
        for index in range(MAX_CONNECTIONS)
    ),
)


def is_unidentified_open(world: World) -> bool:
    """Return whether an unidentified connection is open."""
    return any(
        connection.is_open and connection.is_remote_open and not connection.is_identified
        for connection in world.connections
    )


def is_replaced_open(world: World) -> bool:
    """Return whether a connection of the proxy that was replaced by a newer one is still open."""
    return any(
        connection.record.status == JOINED and connection.index != world.bound and connection.is_open
        for connection in world.connections
    )


def is_table_awaited(world: World) -> bool:
    """Return whether the only identified peer reads and has not received its table."""
    identified = [
        connection
        for connection in world.connections
        if connection.is_identified and not connection.state.finish_reason
    ]
    if len(identified) != 1:
        return False
    (connection,) = identified
    return connection.is_open and connection.remote == READING and not connection.has_table


def is_heartbeat_unanswered(world: World) -> bool:
    """Return whether a peer that reads waits for the reply to a heartbeat."""
    return any(
        connection.heartbeats_owed > 0 and connection.is_open and connection.remote == READING
        for connection in world.connections
    )


def is_leaving_unnoticed(world: World) -> bool:
    """Return whether a proxy without a connection still counts as joined."""
    return any(connection.record.status == JOINED and connection.is_lost for connection in world.connections)


LIVENESS_PROPERTIES = (
    LivenessProperty(
        "strangers end", "an unidentified connection is closed", is_unidentified_open, FAIR_STEPS
    ),
    LivenessProperty("replaced ones end", "a replaced stream is closed", is_replaced_open, FAIR_STEPS),
    LivenessProperty("bound at last", "an identified peer receives its table", is_table_awaited, FAIR_STEPS),
    LivenessProperty(
        "signs of life",
        "a heartbeat gets a reply, or its connection ends",
        is_heartbeat_unanswered,
        FAIR_STEPS,
    ),
    LivenessProperty(
        "leaves at last", "a proxy whose connection has ended leaves", is_leaving_unnoticed, FAIR_STEPS
    ),
)
