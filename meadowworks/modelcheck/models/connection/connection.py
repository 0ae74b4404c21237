"""One connection of a world: the host of the controller's end, and what the remote end does."""

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
from meadowworks.modelcheck.models.connection.scenarios import LIMITS, MAX_REPORTS, Budget, Scenario
from meadowworks.runtime.connection_limit import ConnectionLimit

PROXY = 0
HELLO = ProxyHello(PROXY, "z", 1.0, True)
NOT_CONNECTED, READING, NOT_READING, CLOSED = range(4)  # the remote end; plain numbers, as states keep them
UNKNOWN, JOINED, LEFT = range(3)  # a stream, as the controller has been told


def is_known_peer(hello: ProxyHello | CollectorHello) -> bool:
    """Whether the settings have such a peer."""
    return isinstance(hello, ProxyHello) and hello.proxy == PROXY


@dataclass(slots=True)
class StreamRecord:
    """What the controller has been told of a connection, and the nonces that were sent on it."""

    status: int = UNKNOWN
    sent_nonces: list[int] = field(default_factory=list)


class Shared:
    """What the connections of a world share.

    :ivar outcomes: of the last step.
    :ivar controller_mailbox: the events that the controller has still to take.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.outcomes: list[tuple[Any, ...]] = []
        self.controller_mailbox: Mailbox[ControllerEvent] = Mailbox(MAX_REPORTS)
        self.connection_limit: ConnectionLimit[int] = ConnectionLimit(scenario.descriptors, 0)


class Connection:
    """The host of a connection's state machine, and its remote end.

    :ivar is_open: whether the transport is open, as the controller sees it.
    :ivar is_lost: whether the state machine has been told of the connection's end.
    :ivar has_actor: whether an actor was asked for; `is_actor_running` once it has started.
    :ivar unread: messages that were written and that the remote end has not read.
    :ivar has_table: whether the remote end has been told a table.
    :ivar weights: of that table, by the backends' names.
    :ivar nonces: that came with what the remote end has read.
    :ivar heartbeats_owed: heartbeats that were sent and not replied to.
    """

    def __init__(self, shared: Shared, place: int) -> None:
        self.shared, self.place = shared, place
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
        self.budget = Budget.of(shared.scenario)
        self.heartbeats_owed = 0

    @property
    def is_identified(self) -> bool:
        """Whether its peer has said who it is."""
        return self.state.peer is not None

    @property
    def is_remote_open(self) -> bool:
        """Whether the remote end has connected and has not closed."""
        return self.remote in (READING, NOT_READING)

    # -- the remote end

    def read(self, text: str) -> None:
        """Reads a message as a proxy does: a table in the place of the old one, or a change to it."""
        for line in text.split("\r\n")[:-1]:
            self._read_line(dict(_split_pair(word, "=") for word in line.split()[1:]))

    def _read_line(self, values: dict[str, str]) -> None:
        if "full" in values:
            self.weights, self.has_table = {}, True
        elif "endpoints" in values and not self.has_table:
            self.shared.outcomes.append(ChangeWithoutTable(self.place))
        for pair in filter(None, values.get("endpoints", "").split(",")):
            name, weight = _split_pair(pair, ":")
            self.weights[name] = float(weight)
        if "nonce_out" in values:
            self.nonces.append(int(values["nonce_out"]))

    # -- the state machine's host

    def write(self, data: bytes) -> None:
        """Writes; a remote end that reads takes in tables at once."""
        self.shared.outcomes.append(Written(self.place, self.is_open))
        if data == HEARTBEAT_REPLY:
            self.heartbeats_owed -= 1
        if self.remote == NOT_READING:
            self.unread += 1
        elif self.remote == READING and data.startswith(b"assign"):
            self.read(data.decode())

    def unsent_bytes(self) -> int:
        """How many messages have not been read."""
        return self.unread

    def close(self) -> None:
        """Closes the connection."""
        self.is_open = False

    def abort(self) -> None:
        """Closes the connection."""
        self.is_open = False

    def mark_identified(self) -> None:
        """Keeps the connection from being evicted."""
        self.shared.connection_limit.protect(self.place)

    def start_peer(self, _hello: ProxyHello | CollectorHello) -> None:
        """Asks for the peer's actor, which the step `begin` starts."""
        self.has_actor = True

    def enqueue(self, item: ConnectionItem, is_report: bool) -> None:
        """Puts an item into the actor's mailbox."""
        self.mailbox.put(item, is_report)

    def joined_event(self, hello: ProxyHello) -> ProxyJoined:
        """The event that this proxy has joined by this connection."""
        return ProxyJoined(hello, self.mailbox)

    def left_event(self, hello: ProxyHello) -> ProxyLeft:
        """The event that this proxy has left by this connection."""
        return ProxyLeft(hello.proxy, self.mailbox)

    def publish(self, item: ControllerEvent, is_report: bool) -> None:
        """Puts an event into the controller's mailbox."""
        self.shared.outcomes.append(Published(self.place, self.is_identified))
        self.shared.controller_mailbox.put(item, is_report)

    def count(self, _event: str) -> None:
        """Drops a count for the log."""


def _split_pair(text: str, separator: str) -> tuple[str, str]:
    name, _, value = text.partition(separator)
    return name, value
