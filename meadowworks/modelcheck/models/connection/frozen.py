"""Conversion of states to plain values and back.

Plain values are numbers, strings and tuples, since the explorer marshals them.
"""

from __future__ import annotations

from collections import deque
from typing import Any

from meadowworks.fleet.connection_state import ConnectionState
from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import (
    ConnectionEnd,
    ConnectionItem,
    ControllerEvent,
    DemandReport,
    Heartbeat,
    ProxyJoined,
    ProxyLeft,
    UpdateApplied,
    UpdateMessage,
)
from meadowworks.fleet.streams import MAX_OUTSTANDING_NONCES
from meadowworks.modelcheck.models.connection.connection import (
    CLOSED,
    HELLO,
    PROXY,
    ModelConnection,
    StreamRecord,
)
from meadowworks.modelcheck.models.connection.scenarios import Scenario, SendBudget, freeze_scenario
from meadowworks.modelcheck.models.connection.state import BACKEND, DEMAND_REPORT, TABLE, WorldState

Frozen = tuple[Any, ...]
FrozenState = tuple[Any, ...]
FrozenWorld = tuple[Scenario, int, FrozenState]
# Indices of the parts of a frozen connection that has not ended.
TRANSPORT, REMOTE, STATE, MAILBOX, RECORD = slice(0, 5), slice(5, 11), slice(11, 15), 15, slice(16, 18)
ENDED_CONNECTION_SIZE = 3  # number of values of a frozen connection that has ended
EMPTY_MAILBOX: Frozen = (0,)


def freeze_state(world: WorldState) -> FrozenState:
    """Return the values that identify a state."""
    return (
        freeze_scenario(world.scenario),
        tuple([_freeze_connection(world, connection) for connection in world.connections]),
        _freeze_mailbox(world, world.controller_mailbox),
        _freeze_streams(world),
        world.last_nonce,
        world.weight_changes_left,
        world.weight,
        world.bound,
        world.connection_limit.open_count,
        tuple(world.connection_limit.evictable),
    )


def restore_state(world: WorldState, frozen: FrozenState) -> None:
    """Restore a frozen state in a new world of its scenario."""
    _, connections, controller_mailbox, streams, *scalars = frozen
    world.last_nonce, world.weight_changes_left, world.weight, world.bound, *limit = scalars
    world.connection_limit.open_count, evictable = limit
    world.connection_limit.evictable = dict.fromkeys(evictable, 0)
    for connection, values in zip(world.connections, connections, strict=True):
        _restore_connection(world, connection, values)
    _restore_mailbox(world, world.controller_mailbox, controller_mailbox)
    _restore_streams(world, streams)


# -- streams and tables


def _freeze_streams(world: WorldState) -> Frozen:
    return tuple(
        [
            (proxy, world.connection_of(stream).index, tuple(world.streams.outstanding_nonces[proxy]))
            for proxy, stream in world.streams.by_proxy.items()
        ]
    )


def _restore_streams(world: WorldState, frozen: Frozen) -> None:
    table = world.table_updates.table(TABLE)
    table.weights[BACKEND] = world.weight
    for proxy, index, nonces in frozen:
        world.streams.by_proxy[proxy] = world.connections[index].mailbox
        world.streams.outstanding_nonces[proxy] = deque(nonces, maxlen=MAX_OUTSTANDING_NONCES)
        world.table_updates.assignments[proxy] = (TABLE,)
        table.proxies.add(proxy)


# -- connections


def _freeze_connection(world: WorldState, connection: ModelConnection) -> Frozen:
    state, record = connection.state, connection.record
    if connection.is_lost and (state.finish_reason or not connection.has_actor):
        nonces = tuple(record.sent_nonces) if world.bound == connection.index else ()
        return CLOSED, record.status, nonces  # the other values have no effect any more
    return (
        *_freeze_transport(connection),
        *_freeze_remote(connection),
        *_freeze_connection_state(state),
        _freeze_mailbox(world, connection.mailbox),
        record.status,
        tuple(record.sent_nonces),
    )


def _restore_connection(world: WorldState, connection: ModelConnection, frozen: Frozen) -> None:
    if len(frozen) == ENDED_CONNECTION_SIZE:
        connection.remote, status, nonces = frozen
        connection.is_lost = True
        connection.state.close_reason = connection.state.finish_reason = "closed"
        connection.record = StreamRecord(status, list(nonces))
        _restore_mailbox(world, connection.mailbox, EMPTY_MAILBOX)
        return
    _restore_transport(connection, frozen[TRANSPORT])
    _restore_remote(connection, frozen[REMOTE])
    _restore_connection_state(connection.state, frozen[STATE])
    _restore_mailbox(world, connection.mailbox, frozen[MAILBOX])
    status, nonces = frozen[RECORD]
    connection.record = StreamRecord(status, list(nonces))


def _freeze_transport(connection: ModelConnection) -> Frozen:
    return (
        connection.remote,
        connection.is_open,
        connection.is_lost,
        connection.has_actor,
        connection.is_actor_running,
    )


def _restore_transport(connection: ModelConnection, frozen: Frozen) -> None:
    connection.remote, connection.is_open, connection.is_lost, *actor = frozen
    connection.has_actor, connection.is_actor_running = actor


def _freeze_remote(connection: ModelConnection) -> Frozen:
    return (
        connection.unread,
        connection.has_table,
        tuple(connection.weights.items()),
        tuple(connection.nonces[-1:]),
        connection.budget.freeze(),
        connection.heartbeats_owed,
    )


def _restore_remote(connection: ModelConnection, frozen: Frozen) -> None:
    connection.unread, connection.has_table, weights, nonces, budget, connection.heartbeats_owed = frozen
    connection.weights, connection.nonces = dict(weights), list(nonces)
    connection.budget = SendBudget(*budget)


def _freeze_connection_state(state: ConnectionState) -> Frozen:
    return state.peer is not None, state.close_reason, state.finish_reason, state.unreadable_lines


def _restore_connection_state(state: ConnectionState, frozen: Frozen) -> None:
    is_identified, state.close_reason, state.finish_reason, state.unreadable_lines = frozen
    state.peer = HELLO if is_identified else None


# -- mailboxes


def _freeze_mailbox(world: WorldState, mailbox: Mailbox[ConnectionItem] | Mailbox[ControllerEvent]) -> Frozen:
    """Freeze a mailbox with its own count of reports, which a property checks."""
    return (mailbox.report_count, *((report, *_freeze_item(world, item)) for report, item in mailbox.items))


def _restore_mailbox(world: WorldState, mailbox: Mailbox[Any], frozen: Frozen) -> None:
    mailbox.report_count, *items = frozen
    mailbox.items.extend((report, _thaw_item(world, tuple(item))) for report, *item in items)


def _freeze_item(world: WorldState, item: ConnectionItem | ControllerEvent) -> Frozen:
    """Freeze an item of a mailbox; a mailbox in it is replaced by the index of its connection."""
    match item:
        case ProxyJoined(_, stream):
            return "joined", world.connection_of(stream).index
        case ProxyLeft(_, stream):
            return "left", world.connection_of(stream).index
        case UpdateMessage(data, part_count):
            return "message", data, part_count
        case UpdateApplied(_, nonce):
            return "done", nonce
        case ConnectionEnd(reason):
            return "end", reason
        case Heartbeat():
            return ("beat",)
        case DemandReport():
            return ("asked",)
        case _:
            return ("attach",)


def _thaw_item(world: WorldState, frozen: Frozen) -> ConnectionItem | ControllerEvent:
    match frozen:
        case "joined", index:
            return ProxyJoined(HELLO, world.connections[index].mailbox)
        case "left", index:
            return ProxyLeft(PROXY, world.connections[index].mailbox)
        case "message", data, part_count:
            return UpdateMessage(data, part_count)
        case "done", nonce:
            return UpdateApplied(PROXY, nonce)
        case "end", reason:
            return ConnectionEnd(reason)
        case ("beat",):
            return Heartbeat()
        case ("asked",):
            return DEMAND_REPORT
        case _:
            return HELLO
