"""Translates coordination calls to HTTP requests, and responses to outcomes."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from meadowworks.coordination.commands import AcquireLock, IssueNumber, PutCell, ReleaseLock, RenewLock
from meadowworks.coordination.results import (
    Cell,
    CellEvent,
    CellWritten,
    GroupEvents,
    HistoryDiscarded,
    LockGranted,
    LockLost,
    LockRefused,
    LockReleased,
    LockRenewed,
    NumberIssued,
    RevisionMismatch,
)
from meadowworks.simulation.coordination.history import (
    Arguments,
    InternalFailure,
    KeyMissing,
    Outcome,
    Overloaded,
    ReadCellCall,
    Unavailable,
    WatchGroupCall,
)

OK = 200
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
PRECONDITION_FAILED = 412
TOO_MANY_REQUESTS = 429
INTERNAL_SERVER_ERROR = 500
SERVICE_UNAVAILABLE = 503

Document = dict[str, Any]
OutcomeReader = Callable[[Document], Outcome]


class UnexpectedResponseError(Exception):
    """A response that the API does not have for this call."""


@dataclass(frozen=True, slots=True)
class WireRequest:
    """The method, the target and the body of a request."""

    method: bytes
    target: bytes
    body: bytes = b""


def encode_call(arguments: Arguments) -> WireRequest:
    """Return the request of a call."""
    match arguments:
        case AcquireLock(name, owner, hold_ms):
            return _post(f"Locks.Start/{name}", {"owner": owner, "holdMs": hold_ms})
        case RenewLock(name, owner, fence, hold_ms):
            return _post(f"Locks.Heartbeat/{name}", {"owner": owner, "fence": fence, "holdMs": hold_ms})
        case ReleaseLock(name, owner, fence):
            return _post(f"Locks.Stop/{name}", {"owner": owner, "fence": fence})
        case IssueNumber(name):
            return _post(f"numbers/{name}", {})
        case PutCell(name, value, None):
            return _post(f"Cells.Replace/{name}", {"value": value})
        case PutCell(name, value, expected):
            return _post(f"Cells.Replace/{name}", {"value": value, "enabled": expected})
        case ReadCellCall(name):
            return WireRequest(b"GET", f"/api/Cells.Read/{name}".encode())
        case WatchGroupCall(group, after, wait_ms):
            return WireRequest(b"GET", f"/api/watch/{group}?after={after}&waitMs={wait_ms}".encode())


def _post(path: str, document: Document) -> WireRequest:
    return WireRequest(b"POST", f"/api/{path}".encode(), json.dumps(document).encode())


def decode_response(arguments: Arguments, status: int, body: bytes) -> Outcome:
    """Return the outcome of a call.

    :raises UnexpectedResponseError: if the API does not have this response for the call.
    """
    if status in FAILURES:
        return FAILURES[status]
    reader = OUTCOME_READERS[type(arguments)].get(status)
    if reader is None:
        raise UnexpectedResponseError(f"{arguments} was answered with status {status}: {body[:200]!r}")
    try:
        document = json.loads(body) if body else {}
        return reader(document)
    except (ValueError, KeyError, TypeError) as error:
        raise UnexpectedResponseError(f"{arguments} was answered with {body[:200]!r}: {error!r}") from None


def _group_events(document: Document) -> GroupEvents:
    events = (CellEvent(event["name"], event["value"], event["revision"]) for event in document["events"])
    return GroupEvents(tuple(events), document["revision"])


FAILURES: Mapping[int, Outcome] = {
    TOO_MANY_REQUESTS: Overloaded(),
    INTERNAL_SERVER_ERROR: InternalFailure(),
    SERVICE_UNAVAILABLE: Unavailable(),
}
OUTCOME_READERS: Mapping[type[Arguments], Mapping[int, OutcomeReader]] = {
    AcquireLock: {
        OK: lambda document: LockGranted(document["fence"]),
        CONFLICT: lambda _: LockRefused(),
    },
    RenewLock: {OK: lambda _: LockRenewed(), CONFLICT: lambda _: LockLost()},
    ReleaseLock: {OK: lambda _: LockReleased()},
    IssueNumber: {OK: lambda document: NumberIssued(document["value"])},
    PutCell: {
        OK: lambda document: CellWritten(document["revision"]),
        PRECONDITION_FAILED: lambda document: RevisionMismatch(document["revision"]),
    },
    ReadCellCall: {
        OK: lambda document: Cell(document["value"], document["revision"]),
        NOT_FOUND: lambda _: KeyMissing(),
    },
    WatchGroupCall: {OK: _group_events, GONE: lambda _: HistoryDiscarded()},
}
