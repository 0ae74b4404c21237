"""One connection of a world: the host of the controller's end, and the remote end."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from meadowworks.fleet.connection_state import ConnectionState
from meadowworks.fleet.mailbox import Mailbox
from meadowworks.fleet.messages import (
    HEARTBEAT_REPLY,
    CollectorHello,
    ConnectionItem,
    ControllerEvent,
    ProxyHello,
    ProxyJoined,
    ProxyLeft,
)
from meadowworks.modelcheck.models.connection.outcomes import ChangeWithoutTable, Published, Written
from meadowworks.modelcheck.models.connection.scenarios import LIMITS, MAX_REPORTS, Scenario, SendBudget
from meadowworks.runtime.connection_limit import ConnectionLimit

PROXY = 0
HELLO = ProxyHello(PROXY, "z", 1.0, True)
NOT_CONNECTED, READING, NOT_READING, CLOSED = range(4)  # states of a remote end, ints so that they can freeze
UNKNOWN, JOINED, LEFT = range(3)  # states of a stream, by the events that the controller has taken


def is_known_peer(hello: ProxyHello | CollectorHello) -> bool:
    """Return whether the settings contain this peer."""
    return isinstance(hello, ProxyHello) and hello.proxy == PROXY


@dataclass(slots=True)
class StreamRecord:
    """The status of a connection's stream at the controller, and the nonces that were sent on it."""

    status: int = UNKNOWN
    sent_nonces: list[int] = field(default_factory=list)


class SharedState:
    """The state that the connections of a world share.

    :ivar outcomes: the outcomes of the last step.
    :ivar controller_mailbox: the events that the controller has not handled yet.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.outcomes: list[tuple[Any, ...]] = []
        self.controller_mailbox: Mailbox[ControllerEvent] = Mailbox(MAX_REPORTS)
        self.connection_limit: ConnectionLimit[int] = ConnectionLimit(scenario.descriptors, 0)


class ModelConnection:
    """The host of a connection's state machine, and its remote end.

    :ivar index: position of the connection in its world's `connections`.
    :ivar is_open: whether the transport is open at the controller's end.
    :ivar is_lost: whether the state machine has handled the connection's end.
    :ivar has_actor: whether the state machine has requested an actor.
    :ivar is_actor_running: whether that actor has started.
    :ivar unread: number of messages that were written and that the remote end has not read.
    :ivar has_table: whether the remote end has received a table.
    :ivar weights: the weights of that table, by name of the backend.
    :ivar nonces: the nonces that the remote end has read.
    :ivar budget: the messages that the remote end may still send.
    :ivar heartbeats_owed: number of heartbeats without a reply.
    """

    def __init__(self, shared: SharedState, index: int) -> None:
        self.shared, self.index = shared, index
        self.state = ConnectionState(self, is_known_peer, LIMITS)
        self.mailbox: Mailbox[ConnectionItem] = Mailbox(MAX_REPORTS)
        self.record = StreamRecord()
        self.is_open = self.is_lost = False
        self.has_actor = self.is_actor_running = False
        self.remote = NOT_CONNECTED
        self.unread = 0
        self.has_table = False
        self.weights: dict[str, float] = {}
        self.nonces: list[int] = []
        self.budget = SendBudget.of(shared.scenario)
        self.heartbeats_owed = 0

    @property
    def is_identified(self) -> bool:
        """Whether the peer has identified itself."""
        return self.state.peer is not None

    @property
    def is_remote_open(self) -> bool:
        """Whether the remote end has connected and has not closed."""
        return self.remote in (READING, NOT_READING)

    # -- the remote end

    def read(self, text: str) -> None:
        """Apply an update as a proxy does: a full table replaces the old one, a change modifies it."""
        for line in text.split("\r\n")[:-1]:
            self._read_line(dict(_split_pair(word, "=") for word in line.split()[1:]))

    def _read_line(self, values: dict[str, str]) -> None:
        if "full" in values:
            self.weights, self.has_table = {}, True
        elif "endpoints" in values and not self.has_table:
            self.shared.outcomes.append(ChangeWithoutTable(self.index))
        for pair in filter(None, values.get("endpoints", "").split(",")):
            name, weight = _split_pair(pair, ":")
            self.weights[name] = float(weight)
        if "nonce_out" in values:
            self.nonces.append(int(values["nonce_out"]))

    # -- the state machine's host

    def write(self, data: bytes) -> None:
        """Write data; a remote end that reads applies tables at once."""
        self.shared.outcomes.append(Written(self.index, self.is_open))
        if data == HEARTBEAT_REPLY:
            self.heartbeats_owed -= 1
        if self.remote == NOT_READING:
            self.unread += 1
        elif self.remote == READING and data.startswith(b"assign"):
            self.read(data.decode())

    def unsent_bytes(self) -> int:
        """Return the number of unread messages, which stands for the unsent bytes."""
        return self.unread

    def close(self) -> None:
        """Close the transport."""
        self.is_open = False

    def abort(self) -> None:
        """Close the transport."""
        self.is_open = False

    def mark_identified(self) -> None:
        """Protect the connection from eviction."""
        self.shared.connection_limit.protect(self.index)

    def start_peer(self, _hello: ProxyHello | CollectorHello) -> None:
        """Request the peer's actor, which the step `begin` starts."""
        self.has_actor = True

    def enqueue(self, item: ConnectionItem, is_report: bool) -> None:
        """Put an item into the actor's mailbox."""
        self.mailbox.put(item, is_report)

    def joined_event(self, hello: ProxyHello) -> ProxyJoined:
        """Return the event that the proxy has joined on this connection."""
        return ProxyJoined(hello, self.mailbox)

    def left_event(self, hello: ProxyHello) -> ProxyLeft:
        """Return the event that the proxy has left on this connection."""
        return ProxyLeft(hello.proxy, self.mailbox)

    def publish(self, item: ControllerEvent, is_report: bool) -> None:
        """Put an event into the controller's mailbox."""
        self.shared.outcomes.append(Published(self.index, self.is_identified))
        self.shared.controller_mailbox.put(item, is_report)

    def count(self, _event: str) -> None:
        """Ignore a count for the log."""


def _split_pair(text: str, separator: str) -> tuple[str, str]:
    name, _, value = text.partition(separator)
    return name, value
