"""Encoding of commands for the replicated log, and decoding.

Logs on disk outlive releases, so the wire names and the order of the fields must not change.
"""

from __future__ import annotations

from meadowworks.coordination.commands import (
    AcquireLock,
    Command,
    DiscardHistory,
    ExpireLock,
    IssueNumber,
    PutCell,
    ReleaseLock,
    RenewLock,
)
from meadowworks.coordination.record_codec import RecordCodec

WIRE_NAMES: dict[type[Command], str] = {
    AcquireLock: "Acquire",
    RenewLock: "Renew",
    ReleaseLock: "Release",
    ExpireLock: "Expire",
    IssueNumber: "Number",
    PutCell: "Put",
    DiscardHistory: "Discard",
}
_CODEC: RecordCodec[Command] = RecordCodec(WIRE_NAMES)


def encode_command(command: Command) -> bytes:
    """Return a command as bytes.

    :raises ValueError, TypeError: if a field has a wrong type, is not valid Unicode or exceeds 64 bits.
    """
    return _CODEC.encode(command)


def decode_command(data: bytes) -> Command:
    """Return the command that `encode_command` encoded, by this release or an earlier one.

    :raises ValueError, TypeError, KeyError: if `data` is not a command.
    """
    return _CODEC.decode(data)
