"""The obligations that may be pending, and must not stay so for ever."""

from __future__ import annotations

from meadowworks.modelcheck.model import LivenessProperty, steps_starting_with
from meadowworks.modelcheck.models.connection.connection import JOINED, READING
from meadowworks.modelcheck.models.connection.world import World

MAX_CONNECTIONS = 3  # of any scenario
# What the controller does by itself: it does not put any of it off for ever.
FAIR_STEPS = (
    steps_starting_with("module"),
    *(
        steps_starting_with(name, place)
        for name in ("late", "lost", "begin", "act")
        for place in range(MAX_CONNECTIONS)
    ),
)


def unidentified_open(world: World) -> bool:
    """A connection that has not said who it is, is open."""
    return any(
        connection.is_open and connection.is_remote_open and not connection.is_identified
        for connection in world.connections
    )


def replaced_open(world: World) -> bool:
    """A connection that has joined, and that is not the proxy's any more, is still open."""
    return any(
        connection.record.status == JOINED and connection.place != world.bound and connection.is_open
        for connection in world.connections
    )


def table_awaited(world: World) -> bool:
    """A peer that reads and has said who it is waits for its table, alone with its number."""
    identified = [
        connection
        for connection in world.connections
        if connection.is_identified and not connection.state.finish_reason
    ]
    if len(identified) != 1:
        return False
    (connection,) = identified
    return connection.is_open and connection.remote == READING and not connection.has_table


def heartbeat_unanswered(world: World) -> bool:
    """A peer that reads waits for the reply to a heartbeat."""
    return any(
        connection.heartbeats_owed > 0 and connection.is_open and connection.remote == READING
        for connection in world.connections
    )


def leaving_unnoticed(world: World) -> bool:
    """A proxy whose connection is gone still counts as joined."""
    return any(connection.record.status == JOINED and connection.is_lost for connection in world.connections)


LIVENESS_PROPERTIES = (
    LivenessProperty("strangers end", "who never says who it is, is let go", unidentified_open, FAIR_STEPS),
    LivenessProperty("replaced ones end", "a stream that was replaced is ended", replaced_open, FAIR_STEPS),
    LivenessProperty("bound at last", "a peer that is there is told its table", table_awaited, FAIR_STEPS),
    LivenessProperty(
        "signs of life",
        "who asks for a sign of life has one, or its connection ends",
        heartbeat_unanswered,
        FAIR_STEPS,
    ),
    LivenessProperty(
        "leaves at last", "a proxy whose connection is gone has left", leaving_unnoticed, FAIR_STEPS
    ),
)
