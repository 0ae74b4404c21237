"""Requests and replies in flight, and the entries that logs and snapshots contain."""

from __future__ import annotations

import marshal
from dataclasses import dataclass
from functools import lru_cache

from meadowworks.consensus.log_messages import LogRequest
from meadowworks.consensus.messages import Reply
from meadowworks.consensus.replicated_log import ReplicatedLog
from meadowworks.consensus.values import Term
from meadowworks.modelcheck.models.replica.plain_values import to_plain

MARSHAL_VERSION = 2  # later versions write back references, which differ between equal values


@dataclass(frozen=True, slots=True)
class RequestInFlight:
    """A request of the log. The reply to a copy is dropped.

    `source` and `destination` are node indices; `incarnation` is that of the source.
    """

    source: int
    incarnation: int
    destination: int
    target_id: str
    request: LogRequest
    is_copy: bool = False


@dataclass(frozen=True, slots=True)
class ReplyInFlight:
    """The reply of `member_id` to a request that was sent to `target_id`."""

    source: int
    destination: int
    target_id: str
    member_id: str
    reply: Reply


Message = RequestInFlight | ReplyInFlight


@dataclass(frozen=True, slots=True)
class LogRecord:
    """An entry without its index."""

    term: Term
    payload: bytes


Records = tuple[LogRecord, ...]


def encode_records(records: Records) -> bytes:
    """Return the content of a snapshot."""
    return marshal.dumps([(*record.term, record.payload) for record in records], MARSHAL_VERSION)


def decode_records(content: bytes) -> Records:
    """Return the entries that a snapshot contains."""
    if not content:
        return ()
    return tuple(LogRecord(Term(epoch, number), payload) for epoch, number, payload in marshal.loads(content))


def records_of(log: ReplicatedLog | None) -> Records:
    """Return all entries of a log from index 1 on, also those that are only in its snapshot."""
    if log is None:
        return ()
    entries = tuple(LogRecord(entry.term, entry.payload) for entry in log.entries_since_snapshot())
    return decode_records(log.snapshot.content) + entries


@lru_cache(maxsize=1 << 16)
def label(message: Message) -> str:
    """Return a text that identifies a message."""
    if isinstance(message, RequestInFlight):
        kind = "copy of request" if message.is_copy else "request"
        content = f"{message.target_id} incarnation {message.incarnation}: {message.request}"
    else:
        kind = "reply"
        content = f"{message.target_id} by {message.member_id}: {message.reply}"
    return f"{kind} {message.source}-{message.destination} {content}"


@lru_cache(maxsize=1 << 16)
def plain_message(message: Message) -> bytes:
    """Return a message in a form in which worlds are compared."""
    return marshal.dumps(to_plain(message), MARSHAL_VERSION)
