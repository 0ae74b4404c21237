"""Encoding of results for the node that forwarded the command, and decoding.

Nodes of different releases exchange results during a rollout, so the wire names and the order of the fields
must not change.
"""

from __future__ import annotations

from meadowworks.coordination.record_codec import RecordCodec
from meadowworks.coordination.results import (
    CellWritten,
    Done,
    LockGranted,
    LockLost,
    LockRefused,
    LockReleased,
    LockRenewed,
    NumberIssued,
    Result,
    RevisionMismatch,
    TooManyNames,
)

WIRE_NAMES: dict[type[Result], str] = {
    LockGranted: "Granted",
    LockRefused: "Refused",
    LockRenewed: "Renewed",
    LockLost: "Lost",
    LockReleased: "Released",
    NumberIssued: "Number",
    CellWritten: "Written",
    RevisionMismatch: "Mismatch",
    TooManyNames: "Limit",
    Done: "Done",
}
_CODEC: RecordCodec[Result] = RecordCodec(WIRE_NAMES)


def encode_result(result: Result) -> bytes:
    """Return a result as bytes.

    :raises ValueError, TypeError: if a field has a wrong type or exceeds 64 bits.
    """
    return _CODEC.encode(result)


def decode_result(data: bytes) -> Result:
    """Return the result that `encode_result` encoded.

    :raises ValueError, TypeError, KeyError: if `data` is not a result.
    """
    return _CODEC.decode(data)
