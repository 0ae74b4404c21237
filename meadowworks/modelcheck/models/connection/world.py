"""The state of the connection model: connections, the controller's streams, and the steps between states."""

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
    ModelConnection,
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
WEIGHT_SUM = 3.0  # sum of the weights 1 and 2, between which `change_weight` alternates

# Maps the kind of a step, which counterexample files store, to the method that carries it out.
STEP_METHODS: dict[str, str] = {
    "dial": "accept_connection",
    "crowd": "wait_for_descriptor",
    "attach": "send_hello",
    "beat": "send_heartbeat",
    "rubbish": "send_unreadable_line",
    "long": "send_partial_line",
    "spoilt": "send_malformed_message",
    "mark": "acknowledge_nonce",
    "usage": "report_demand",
    "deafen": "stop_reading",
    "shut": "close_remote_end",
    "late": "time_out_handshake",
    "lost": "lose_connection",
    "begin": "start_actor",
    "act": "run_actor",
    "module": "run_controller",
    "order": "change_weight",
}


class World(WorldState):
    """The state of a world, with its steps."""

    # -- steps

    def enabled(self) -> Iterable[Step]:
        """Return the enabled steps."""
        steps: list[Step] = []
        for connection in self.connections:
            if connection.remote == NOT_CONNECTED:
                steps += self._connect_steps(connection.index)
            else:
                steps += self._remote_steps(connection)
                steps += self._local_steps(connection)
        if self.controller_mailbox.items:
            steps.append(("module",))
        if self.weight_changes_left and self.bound != UNBOUND:
            steps.append(("order",))
        return steps

    def _connect_steps(self, index: int) -> Iterable[Step]:
        if not self.connection_limit.is_full():
            yield "dial", index
        elif self.connection_limit.evictable:
            yield "crowd", index

    def _remote_steps(self, connection: ModelConnection) -> Iterable[Step]:
        if connection.is_remote_open:
            yield "shut", connection.index
            if connection.is_open:
                yield from self._message_steps(connection)
        if connection.remote == READING and self.scenario.may_stop_reading:
            yield "deafen", connection.index

    def _message_steps(self, connection: ModelConnection) -> Iterable[Step]:
        index, budget = connection.index, connection.budget
        if index < self.scenario.proxy_connections and not connection.is_identified:
            yield "attach", index
        if budget.heartbeats:
            yield "beat", index
        if budget.unreadable_lines:
            yield "rubbish", index
            yield "long", index
        if budget.malformed_messages:
            yield "spoilt", index
        if budget.reports:
            for nonce in sorted({max(other.nonces, default=0) for other in self.connections}):
                yield "mark", index, nonce
            if not connection.is_identified:
                yield "usage", index

    def _local_steps(self, connection: ModelConnection) -> Iterable[Step]:
        index, state = connection.index, connection.state
        if connection.is_open and not connection.is_identified and not state.close_reason:
            yield "late", index
        if not connection.is_lost and (not connection.is_open or connection.remote == CLOSED):
            yield "lost", index
        if connection.has_actor and not connection.is_actor_running:
            yield "begin", index
        elif connection.is_actor_running and connection.mailbox.items and not state.finish_reason:
            yield "act", index

    def take_step(self, step: Step) -> None:
        """Take one of the enabled steps."""
        self.outcomes = []
        kind, *arguments = step
        getattr(self, STEP_METHODS[kind])(*arguments)

    # -- the remote ends

    def accept_connection(self, index: int) -> None:
        """Accept a connection."""
        connection = self.connections[index]
        connection.remote, connection.is_open = READING, True
        self.connection_limit.on_open(self.now_ns, index)

    def wait_for_descriptor(self, _index: int) -> None:
        """Let a connection wait for a descriptor while none is free, which may evict another connection."""
        self.now_ns += 1
        evicted, _ = self.connection_limit.next_eviction(self.now_ns)
        if evicted is not None:
            self.outcomes.append(Evicted(self.connections[evicted].is_identified))
            self.connections[evicted].state.on_evicted()

    def send_hello(self, index: int) -> None:
        """Send the message that identifies a remote end as the proxy."""
        self.connections[index].state.on_message(HELLO)

    def send_heartbeat(self, index: int) -> None:
        """Send a heartbeat from a remote end."""
        connection = self.connections[index]
        connection.budget.heartbeats -= 1
        connection.heartbeats_owed += 1
        connection.state.on_message(Heartbeat())

    def send_unreadable_line(self, index: int) -> None:
        """Send a line that is not a message from a remote end."""
        connection = self.connections[index]
        connection.budget.unreadable_lines -= 1
        state = connection.state
        line_count, former_reason = state.unreadable_lines + 1, state.close_reason
        state.on_unreadable_line()
        self.outcomes.append(
            UnreadableLine(index, line_count, former_reason, state.close_reason, connection.is_identified)
        )

    def send_partial_line(self, index: int) -> None:
        """Send a line from a remote end that exceeds the limit and has no end."""
        connection = self.connections[index]
        connection.budget.unreadable_lines -= 1
        connection.state.on_partial_line(LIMITS.max_unrecognized_bytes + 1, True)
        self.outcomes.append(PartialLine(index, connection.state.close_reason))

    def send_malformed_message(self, index: int) -> None:
        """Send a message with a malformed field from a remote end."""
        connection = self.connections[index]
        connection.budget.malformed_messages -= 1
        state, former_reason = connection.state, connection.state.close_reason
        state.on_malformed_message()
        self.outcomes.append(
            MalformedMessage(index, former_reason, state.close_reason, connection.is_identified)
        )

    def acknowledge_nonce(self, index: int, nonce: int) -> None:
        """Acknowledge a nonce that this or another remote end has received."""
        self.connections[index].budget.reports -= 1
        self.connections[index].state.on_message(UpdateApplied(PROXY, nonce))

    def report_demand(self, index: int) -> None:
        """Send a demand report from a remote end."""
        self.connections[index].budget.reports -= 1
        self.connections[index].state.on_message(DEMAND_REPORT)

    def stop_reading(self, index: int) -> None:
        """Make a remote end stop reading."""
        self.connections[index].remote = NOT_READING

    def close_remote_end(self, index: int) -> None:
        """Close a connection at its remote end."""
        self.connections[index].remote = CLOSED

    # -- the controller

    def time_out_handshake(self, index: int) -> None:
        """Let the handshake of an unidentified connection time out."""
        self.connections[index].state.on_handshake_timeout()

    def lose_connection(self, index: int) -> None:
        """Let the controller detect the end of a connection."""
        connection = self.connections[index]
        connection.is_open, connection.is_lost = False, True
        self.connection_limit.on_close(index)
        connection.state.on_connection_lost("closed")

    def start_actor(self, index: int) -> None:
        """Start the peer's actor."""
        self.connections[index].is_actor_running = True
        self.connections[index].state.publish_proxy_joined()

    def run_actor(self, index: int) -> None:
        """Let the peer's actor handle an item; when the actor ends, it ends its connection."""
        state = self.connections[index].state
        state.on_mailbox_item(take_item(self.connections[index].mailbox))
        if state.finish_reason:
            state.finish("its actor ended")

    def run_controller(self) -> None:
        """Let the controller handle an event."""
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
        self.outcomes.append(Joined(connection.index, connection.record.status))
        connection.record.status = JOINED
        self.streams.on_joined(proxy, stream)
        self.bound = connection.index
        self.table_updates.assign_table(0, proxy, TABLE)
        self._send_updates()

    def _on_left(self, proxy: int, stream: Mailbox[ConnectionItem]) -> None:
        connection = self.connection_of(stream)
        self.outcomes.append(Left(connection.index, connection.record.status))
        connection.record.status = LEFT
        if self.streams.on_left(proxy, stream):
            self.outcomes.append(Unbound(connection.index, self.bound))
            self.bound = UNBOUND

    def change_weight(self) -> None:
        """Change the weight as the policy does."""
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
        """Return the values that identify this state."""
        return freeze_state(self)

    def freeze(self) -> FrozenWorld:
        """Return plain values for `thaw`, without the outcomes of the last step."""
        return self.scenario, self.now_ns, self.key()


def initial_world(scenario: Scenario) -> World:
    """Return the initial world of a scenario, without connections."""
    world = World(scenario)
    world.table_updates.set_weight(TABLE, BACKEND, world.weight)
    for _ in world.streams.send_updates():
        pass
    return world


def thaw(frozen: FrozenWorld) -> World:
    """Return the world of a frozen state."""
    scenario, now_ns, state = frozen
    world = World(scenario)
    world.now_ns = now_ns
    restore_state(world, state)
    return world


def take_item(mailbox: Mailbox[T]) -> T:
    """Remove and return the first item of a mailbox."""
    report, item = mailbox.items.popleft()
    mailbox.report_count -= report
    return item
