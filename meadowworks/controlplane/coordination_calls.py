"""Calls that the leader of the coordination log answers, its replies, and their encoding between nodes.

A node that is not the leader sends them as msgpack arrays to `POST /coordination` on the leader's peer port.
Two releases run side by side during a rollout, so kinds and fields must not be moved or removed.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Any, NamedTuple, assert_never

from meadowworks.coordination.command_codec import decode_command, encode_command
from meadowworks.coordination.commands import Command
from meadowworks.coordination.result_codec import decode_result, encode_result
from meadowworks.coordination.results import Cell, Result
from meadowworks.gossip import messages
from meadowworks.gossip.messages import MalformedMessageError

# -- calls


@dataclass(frozen=True, slots=True)
class SubmitCommand:
    """Commit a command and return its result."""

    command: Command


@dataclass(frozen=True, slots=True)
class ReadCell:
    """Read a key."""

    name: str


@dataclass(frozen=True, slots=True)
class ReadGroupRevision:
    """Read the revision of the latest put of a group."""

    group: str


@dataclass(frozen=True, slots=True)
class ReadBarrier:
    """Return a log index that covers all commands acknowledged before the call."""


@dataclass(frozen=True, slots=True)
class RetainHistory:
    """Keep the events of a group above a revision that a watch is about to return.

    `after` is the revision that the watch resumed from.
    """

    group: str
    after: int
    revision: int


ReadCall = ReadCell | ReadGroupRevision | ReadBarrier | RetainHistory
Call = SubmitCommand | ReadCall

# -- replies


@dataclass(frozen=True, slots=True)
class CommandResult:
    """The command was committed with this result."""

    result: Result


@dataclass(frozen=True, slots=True)
class CellContent:
    """The content of a key; None if the key does not exist."""

    cell: Cell | None


@dataclass(frozen=True, slots=True)
class GroupRevision:
    """The revision of the latest put of a group, 0 if there was none."""

    revision: int


@dataclass(frozen=True, slots=True)
class BarrierIndex:
    """The log index that a read must wait for."""

    index: int


@dataclass(frozen=True, slots=True)
class HistoryRetained:
    """Whether the events are kept; otherwise the watch must not return the revision."""

    is_kept: bool


@dataclass(frozen=True, slots=True)
class NotLeader:
    """The node is not the leader and did nothing; `leader_address` is empty if the leader is not known."""

    leader_address: str = ""


@dataclass(frozen=True, slots=True)
class Overloaded:
    """Too many calls wait at the leader; it did nothing."""


@dataclass(frozen=True, slots=True)
class InDoubt:
    """The command may have taken effect, or may do so later."""


Answer = CommandResult | CellContent | GroupRevision | BarrierIndex | HistoryRetained
Reply = Answer | NotLeader | Overloaded | InDoubt

# -- encoding


class Kind(IntEnum):
    """The first field of a call and of a reply. A call and its answer have the same kind."""

    COMMAND = 1
    CELL = 2
    GROUP_REVISION = 3
    BARRIER = 4
    NOT_LEADER = 5
    OVERLOADED = 6
    IN_DOUBT = 7
    RETENTION = 8


class TimedCall(NamedTuple):
    """A call, and how long its sender waits for the reply."""

    call: Call
    timeout_ms: int


def encode_call(call: Call, timeout_ms: int) -> bytes:
    """Encode a call.

    :raises ValueError: a string is not valid Unicode.
    """
    match call:
        case SubmitCommand(command):
            return messages.encode([Kind.COMMAND, timeout_ms, encode_command(command)])
        case ReadCell(name):
            return messages.encode([Kind.CELL, timeout_ms, name])
        case ReadGroupRevision(group):
            return messages.encode([Kind.GROUP_REVISION, timeout_ms, group])
        case ReadBarrier():
            return messages.encode([Kind.BARRIER, timeout_ms])
        case RetainHistory(group, after, revision):
            return messages.encode([Kind.RETENTION, timeout_ms, group, after, revision])
        case _:
            assert_never(call)


def decode_call(body: bytes) -> TimedCall:
    """Decode a call.

    :raises MalformedMessageError: the body can't be decoded; or another of `gossip.messages.DECODE_ERRORS`.
    """
    kind, timeout_ms, *arguments = messages.decode(body)
    return TimedCall(_decode_call(kind, arguments), int(timeout_ms))


def _decode_call(kind: int, arguments: list[Any]) -> Call:
    match kind:
        case Kind.COMMAND:
            return SubmitCommand(decode_command(arguments[0]))
        case Kind.CELL:
            return ReadCell(str(arguments[0]))
        case Kind.GROUP_REVISION:
            return ReadGroupRevision(str(arguments[0]))
        case Kind.BARRIER:
            return ReadBarrier()
        case Kind.RETENTION:
            group, after, revision = arguments
            return RetainHistory(str(group), int(after), int(revision))
    raise MalformedMessageError(f"unknown kind of coordination call: {kind!r}")


def encode_reply(reply: Reply) -> bytes:
    """Encode a reply."""
    match reply:
        case CommandResult(result):
            return messages.encode([Kind.COMMAND, encode_result(result)])
        case CellContent(cell):
            return messages.encode([Kind.CELL, None if cell is None else [cell.value, cell.revision]])
        case GroupRevision(revision):
            return messages.encode([Kind.GROUP_REVISION, revision])
        case BarrierIndex(index):
            return messages.encode([Kind.BARRIER, index])
        case HistoryRetained(is_kept):
            return messages.encode([Kind.RETENTION, is_kept])
        case NotLeader(address):
            return messages.encode([Kind.NOT_LEADER, address])
        case Overloaded():
            return messages.encode([Kind.OVERLOADED])
        case InDoubt():
            return messages.encode([Kind.IN_DOUBT])
        case _:
            assert_never(reply)


def decode_reply(body: bytes) -> Reply:
    """Decode a reply.

    :raises MalformedMessageError: the body can't be decoded; or another of `gossip.messages.DECODE_ERRORS`.
    """
    kind, *fields = messages.decode(body)
    match kind:
        case Kind.COMMAND:
            return CommandResult(decode_result(fields[0]))
        case Kind.CELL:
            return CellContent(None if fields[0] is None else Cell(str(fields[0][0]), int(fields[0][1])))
        case Kind.GROUP_REVISION:
            return GroupRevision(int(fields[0]))
        case Kind.BARRIER:
            return BarrierIndex(int(fields[0]))
        case Kind.RETENTION:
            return HistoryRetained(bool(fields[0]))
        case Kind.NOT_LEADER:
            return NotLeader(str(fields[0]))
        case Kind.OVERLOADED:
            return Overloaded()
        case Kind.IN_DOUBT:
            return InDoubt()
    raise MalformedMessageError(f"unknown kind of coordination reply: {kind!r}")
