"""What came of a step, for the properties that are checked on steps.

Connections go by their place in the world. Reasons are those of `ConnectionState`, empty where there is none.
"""

from __future__ import annotations

from typing import NamedTuple


class Written(NamedTuple):
    """Something was written to a connection."""

    connection: int
    was_open: bool


class Published(NamedTuple):
    """An event of a connection went to the controller."""

    connection: int
    is_identified: bool


class ChangeWithoutTable(NamedTuple):
    """A remote end was told a change of a table that it does not have."""

    connection: int


class Evicted(NamedTuple):
    """A connection was closed so that another could come in."""

    is_identified: bool


class UnreadableLine(NamedTuple):
    """A line that is no message, the `line_count`-th in a row."""

    connection: int
    line_count: int
    former_reason: str
    close_reason: str
    is_identified: bool


class PartialLine(NamedTuple):
    """A line without an end, longer than the limit."""

    connection: int
    close_reason: str


class MalformedMessage(NamedTuple):
    """A message with a field that makes no sense."""

    connection: int
    former_reason: str
    close_reason: str
    is_identified: bool


class Joined(NamedTuple):
    """The controller took the joining of a stream that had a status before."""

    connection: int
    former_status: int


class Left(NamedTuple):
    """The controller took the end of a stream that had a status before."""

    connection: int
    former_status: int


class Unbound(NamedTuple):
    """By the end of a connection the proxy has left; it was taken to be on the `bound` one."""

    connection: int
    bound: int


class Acknowledged(NamedTuple):
    """An acknowledgement came, of a nonce that was or was not sent on the proxy's stream."""

    is_counted: bool
    was_sent: bool
