"""One world of the model: the connections, the controller's streams, and the steps that may come."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import (
    ConnectionItem,
    Heartbeat,
    ProxyJoined,
    ProxyLeft,
    UpdateApplied,
)
from meadowworks.modelcheck.model import Step
from meadowworks.modelcheck.models.connection.connection import (
    CLOSED,
    HELLO,
    JOINED,
    LEFT,
    NOT_CONNECTED,
    NOT_READING,
    PROXY,
    READING,
    Connection,
)
from meadowworks.modelcheck.models.connection.frozen import (
    FrozenState,
    FrozenWorld,
    freeze_state,
    restore_state,
)
from meadowworks.modelcheck.models.connection.outcomes import (
    Acknowledged,
    Evicted,
    Joined,
    Left,
    MalformedMessage,
    PartialLine,
    Unbound,
    UnreadableLine,
)
from meadowworks.modelcheck.models.connection.scenarios import LIMITS, Scenario
from meadowworks.modelcheck.models.connection.state import BACKEND, DEMAND_REPORT, TABLE, UNBOUND, WorldState

T = TypeVar("T")
WEIGHT_SUM = 3.0  # of two weights that follow each other: 1 and 2


class World(WorldState):
    """The state of a world, with its steps."""

    # -- steps

    def enabled(self) -> Iterable[Step]:
        """The steps that may come next."""
        found: list[Step] = []
        for connection in self.connections:
            if connection.remote == NOT_CONNECTED:
                found += self._connect_steps(connection.place)
            else:
                found += self._remote_steps(connection)
                found += self._local_steps(connection)
        if self.controller_mailbox.items:
            found.append(("module",))
        if self.weight_changes_left and self.bound != UNBOUND:
            found.append(("order",))
        return found

    def _connect_steps(self, place: int) -> Iterable[Step]:
        if not self.connection_limit.is_full():
            yield "dial", place
        elif self.connection_limit.evictable:
            yield "crowd", place

    def _remote_steps(self, connection: Connection) -> Iterable[Step]:
        if connection.is_remote_open:
            yield "shut", connection.place
            if connection.is_open:
                yield from self._message_steps(connection)
        if connection.remote == READING and self.scenario.may_stop_reading:
            yield "deafen", connection.place

    def _message_steps(self, connection: Connection) -> Iterable[Step]:
        place, budget = connection.place, connection.budget
        if place < self.scenario.proxy_connections and not connection.is_identified:
            yield "attach", place
        if budget.heartbeats:
            yield "beat", place
        if budget.unreadable_lines:
            yield "rubbish", place
            yield "long", place
        if budget.malformed_messages:
            yield "spoilt", place
        if budget.reports:
            for nonce in sorted({max(other.nonces, default=0) for other in self.connections}):
                yield "mark", place, nonce
            if not connection.is_identified:
                yield "usage", place

    def _local_steps(self, connection: Connection) -> Iterable[Step]:
        place, state = connection.place, connection.state
        if connection.is_open and not connection.is_identified and not state.close_reason:
            yield "late", place
        if not connection.is_lost and (not connection.is_open or connection.remote == CLOSED):
            yield "lost", place
        if connection.has_actor and not connection.is_actor_running:
            yield "begin", place
        elif connection.is_actor_running and connection.mailbox.items and not state.finish_reason:
            yield "act", place

    def take_step(self, step: Step) -> None:
        """Takes one of the enabled steps."""
        self.outcomes = []
        kind, *arguments = step
        getattr(self, "do_" + kind)(*arguments)

    # -- the remote ends

    def do_dial(self, place: int) -> None:
        """A connection is accepted."""
        connection = self.connections[place]
        connection.remote, connection.is_open = READING, True
        self.connection_limit.on_open(self.now_ns, place)

    def do_crowd(self, _place: int) -> None:
        """A connection waits for a descriptor, and there is none."""
        self.now_ns += 1
        evicted, _ = self.connection_limit.next_eviction(self.now_ns)
        if evicted is not None:
            self.outcomes.append(Evicted(self.connections[evicted].is_identified))
            self.connections[evicted].state.on_evicted()

    def do_attach(self, place: int) -> None:
        """A remote end says that it is the proxy."""
        self.connections[place].state.on_message(HELLO)

    def do_beat(self, place: int) -> None:
        """A remote end sends a heartbeat."""
        connection = self.connections[place]
        connection.budget.heartbeats -= 1
        connection.heartbeats_owed += 1
        connection.state.on_message(Heartbeat())

    def do_rubbish(self, place: int) -> None:
        """A remote end sends a line that is no message."""
        connection = self.connections[place]
        connection.budget.unreadable_lines -= 1
        state = connection.state
        lines, former_reason = state.unreadable_lines + 1, state.close_reason
        state.on_unreadable_line()
        self.outcomes.append(
            UnreadableLine(place, lines, former_reason, state.close_reason, connection.is_identified)
        )

    def do_long(self, place: int) -> None:
        """A remote end sends more of a line than the limit allows, and no end."""
        connection = self.connections[place]
        connection.budget.unreadable_lines -= 1
        connection.state.on_partial_line(LIMITS.max_unrecognized_bytes + 1, True)
        self.outcomes.append(PartialLine(place, connection.state.close_reason))

    def do_spoilt(self, place: int) -> None:
        """A remote end sends a message with a field that makes no sense."""
        connection = self.connections[place]
        connection.budget.malformed_messages -= 1
        state, former_reason = connection.state, connection.state.close_reason
        state.on_malformed_message()
        self.outcomes.append(
            MalformedMessage(place, former_reason, state.close_reason, connection.is_identified)
        )

    def do_mark(self, place: int, nonce: int) -> None:
        """A remote end acknowledges a nonce, its own or another's."""
        self.connections[place].budget.reports -= 1
        self.connections[place].state.on_message(UpdateApplied(PROXY, nonce))

    def do_usage(self, place: int) -> None:
        """A remote end reports its demand."""
        self.connections[place].budget.reports -= 1
        self.connections[place].state.on_message(DEMAND_REPORT)

    def do_deafen(self, place: int) -> None:
        """A remote end ceases to read."""
        self.connections[place].remote = NOT_READING

    def do_shut(self, place: int) -> None:
        """A remote end closes."""
        self.connections[place].remote = CLOSED

    # -- the controller

    def do_late(self, place: int) -> None:
        """The time to say who it is has gone by."""
        self.connections[place].state.on_handshake_timeout()

    def do_lost(self, place: int) -> None:
        """The controller sees the connection's end."""
        connection = self.connections[place]
        connection.is_open, connection.is_lost = False, True
        self.connection_limit.on_close(place)
        connection.state.on_connection_lost("closed")

    def do_begin(self, place: int) -> None:
        """The peer's actor starts."""
        self.connections[place].is_actor_running = True
        self.connections[place].state.on_actor_started()

    def do_act(self, place: int) -> None:
        """The peer's actor takes an item; whatever ends it, it ends its connection."""
        state = self.connections[place].state
        state.on_mailbox_item(take_item(self.connections[place].mailbox))
        if state.finish_reason:
            state.finish("its actor ended")

    def do_module(self) -> None:
        """The controller takes an event."""
        match take_item(self.controller_mailbox):
            case ProxyJoined(hello, stream):
                self._on_joined(hello.proxy, stream)
            case ProxyLeft(proxy, stream):
                self._on_left(proxy, stream)
            case UpdateApplied(proxy, nonce):
                was_sent = self.bound != UNBOUND and nonce in self.connections[self.bound].record.sent_nonces
                self.outcomes.append(Acknowledged(self.streams.on_applied(proxy, nonce), was_sent))
            case _:
                pass

    def _on_joined(self, proxy: int, stream: Mailbox[ConnectionItem]) -> None:
        connection = self.connection_of(stream)
        self.outcomes.append(Joined(connection.place, connection.record.status))
        connection.record.status = JOINED
        self.streams.on_joined(proxy, stream)
        self.bound = connection.place
        self.table_updates.assign_table(0, proxy, TABLE)
        self._send_updates()

    def _on_left(self, proxy: int, stream: Mailbox[ConnectionItem]) -> None:
        connection = self.connection_of(stream)
        self.outcomes.append(Left(connection.place, connection.record.status))
        connection.record.status = LEFT
        if self.streams.on_left(proxy, stream):
            self.outcomes.append(Unbound(connection.place, self.bound))
            self.bound = UNBOUND

    def do_order(self) -> None:
        """The policy changes the weight."""
        self.weight_changes_left -= 1
        self.weight = WEIGHT_SUM - self.weight
        self.table_updates.set_weight(TABLE, BACKEND, self.weight)
        self._send_updates()

    def _send_updates(self) -> None:
        self.last_nonce += 1
        self.table_updates.nonce = self.last_nonce
        for _ in self.streams.send_updates():
            if self.bound != UNBOUND:
                self.connections[self.bound].record.sent_nonces.append(self.last_nonce)

    # -- states

    def key(self) -> FrozenState:
        """What tells this state from others."""
        return freeze_state(self)

    def freeze(self) -> FrozenWorld:
        """What `thaw` makes the same world of, without the last step's outcomes."""
        return self.scenario, self.now_ns, self.key()


def initial_world(scenario: Scenario) -> World:
    """The world of a scenario, in which nobody has connected."""
    world = World(scenario)
    world.table_updates.set_weight(TABLE, BACKEND, world.weight)
    for _ in world.streams.send_updates():
        pass
    return world


def thaw(frozen: FrozenWorld) -> World:
    """The world that was frozen."""
    scenario, now_ns, state = frozen
    world = World(scenario)
    world.now_ns = now_ns
    restore_state(world, state)
    return world


def take_item(mailbox: Mailbox[T]) -> T:
    """Takes the first item out of a mailbox."""
    report, item = mailbox.items.popleft()
    mailbox.report_count -= report
    return item
