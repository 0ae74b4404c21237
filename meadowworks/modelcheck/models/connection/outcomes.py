"""Records of what happened in a step, for the step properties.

Connections are given by their index in the world. Reasons are those of `ConnectionState`, empty if there is
none.
"""

from __future__ import annotations

from typing import NamedTuple


class Written(NamedTuple):
    """Data was written to a connection."""

    connection: int
    was_open: bool


class Published(NamedTuple):
    """A connection published an event to the controller."""

    connection: int
    is_identified: bool


class ChangeWithoutTable(NamedTuple):
    """A remote end received a change of a table that it does not have."""

    connection: int


class Evicted(NamedTuple):
    """A connection was closed to free its descriptor for another."""

    is_identified: bool


class UnreadableLine(NamedTuple):
    """A connection received the `line_count`-th line in a row that is not a message."""

    connection: int
    line_count: int
    former_reason: str
    close_reason: str
    is_identified: bool


class PartialLine(NamedTuple):
    """A connection received part of a line without an end, longer than the limit."""

    connection: int
    close_reason: str


class MalformedMessage(NamedTuple):
    """A connection received a message with a malformed field."""

    connection: int
    former_reason: str
    close_reason: str
    is_identified: bool


class Joined(NamedTuple):
    """The controller handled the joining of a stream; `former_status` is the stream's status before it."""

    connection: int
    former_status: int


class Left(NamedTuple):
    """The controller handled the leaving of a stream; `former_status` is the stream's status before it."""

    connection: int
    former_status: int


class Unbound(NamedTuple):
    """The end of a connection unbound the proxy, which was bound to `former_connection`."""

    connection: int
    former_connection: int


class Acknowledged(NamedTuple):
    """The controller handled an acknowledgement; `was_sent` if its nonce was sent on the proxy's stream."""

    is_counted: bool
    was_sent: bool
