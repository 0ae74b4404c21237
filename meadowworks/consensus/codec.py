"""Encoding of consensus messages as plain values for msgpack, and decoding.

A message is a list of its wire name and its fields in declaration order. The wire names differ from the class
names and must not change, because replicas of different releases exchange messages during a rollout.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from meadowworks.consensus.messages import (
    AcceptedReply,
    AcceptRequest,
    BallotRejectedReply,
    InstalledReply,
    InstallRequest,
    LearnRequest,
    NotAMemberReply,
    PrepareRequest,
    PromiseReply,
    QueryReply,
    QueryRequest,
    Reply,
    Request,
    SealedReply,
    SealRequest,
    SnapshotReply,
    SnapshotRequest,
    StaleEpochReply,
    VersionDecidedReply,
)
from meadowworks.consensus.values import AcceptorState, Ballot, CommittedValue, DigestHistory, Epoch

# -- values


def encode_epoch(epoch: Epoch) -> list[Any]:
    """Return an epoch as its number and a list of member ids and addresses."""
    return [epoch.number, [list(m) for m in epoch.members]]


def decode_epoch(raw: Any) -> Epoch:
    """Return the epoch that `encode_epoch` encoded.

    :raises ValueError, TypeError: if `raw` is not an epoch.
    """
    number, members = raw
    return Epoch(int(number), tuple((str(member_id), str(address)) for member_id, address in members))


def encode_field(value: Any) -> Any:
    """Return a field of a message as a plain value."""
    match value:
        case Epoch():
            return encode_epoch(value)
        case CommittedValue(version, content):
            return [version, content]
        case AcceptorState(committed, history, slots):
            rows = [[v, list(p), list(a), c] for v, p, a, c in slots]
            return [encode_field(committed), [list(h) for h in history], rows]
        case Ballot():
            return list(value)
        case tuple():  # a DigestHistory
            return [list(h) for h in value]
    return value


def decode_ballot(raw: Any) -> Ballot:
    """Return a ballot from a list of its fields.

    :raises ValueError, TypeError: if `raw` is not a ballot.
    """
    epoch, number, proposer_id = raw
    return Ballot(int(epoch), int(number), str(proposer_id))


def decode_committed_value(raw: Any) -> CommittedValue:
    """Return a committed value from its version and bytes.

    :raises ValueError, TypeError: if `raw` is not a committed value.
    """
    version, value = raw
    return CommittedValue(int(version), bytes(value))


def decode_history(raw: Any) -> DigestHistory:
    """Return versions with the digests of their values.

    :raises ValueError, TypeError: if `raw` is not a history.
    """
    return tuple((int(version), bytes(value_digest)) for version, value_digest in raw)


def decode_state(raw: Any) -> AcceptorState:
    """Return the state of an acceptor.

    :raises ValueError, TypeError: if `raw` is not a state.
    """
    committed, history, slots = raw
    return AcceptorState(
        decode_committed_value(committed),
        decode_history(history),
        tuple((int(v), decode_ballot(p), decode_ballot(a), bytes(c)) for v, p, a, c in slots),
    )


def decode_optional_state(raw: Any) -> AcceptorState | None:
    """Return the state of an acceptor, or None if `raw` is None.

    :raises ValueError, TypeError: if `raw` is neither a state nor None.
    """
    return None if raw is None else decode_state(raw)


# -- messages

WIRE_NAMES: dict[type, str] = {
    PrepareRequest: "Prepare",
    AcceptRequest: "Accept",
    SealRequest: "Seal",
    InstallRequest: "Install",
    QueryRequest: "Look",
    SnapshotRequest: "Fetch",
    LearnRequest: "Teach",
    QueryReply: "Seen",
    PromiseReply: "Promised",
    AcceptedReply: "Accepted",
    BallotRejectedReply: "Refused",
    VersionDecidedReply: "Past",
    StaleEpochReply: "Newer",
    SealedReply: "Sealed",
    InstalledReply: "Installed",
    NotAMemberReply: "Outside",
    SnapshotReply: "Whole",
}
MESSAGE_TYPES = {name: message_type for message_type, name in WIRE_NAMES.items()}
FIELD_DECODERS: dict[type, tuple[Callable[[Any], Any], ...]] = {
    PrepareRequest: (int, int, decode_ballot),
    AcceptRequest: (int, int, decode_ballot, bytes),
    SealRequest: (int, decode_epoch),
    InstallRequest: (int, decode_epoch, decode_state),
    QueryRequest: (int,),
    SnapshotRequest: (int,),
    LearnRequest: (int, decode_committed_value, decode_history),
    QueryReply: (int, bool, int, int, str, str, bool),
    PromiseReply: (decode_ballot, decode_ballot, bytes),
    AcceptedReply: (decode_ballot,),
    BallotRejectedReply: (decode_ballot,),
    VersionDecidedReply: (decode_committed_value, decode_history),
    StaleEpochReply: (decode_epoch,),
    SealedReply: (decode_epoch, decode_optional_state),
    InstalledReply: (int,),
    NotAMemberReply: (int,),
    SnapshotReply: (decode_committed_value, decode_history),
}


def encode(message: Request | Reply) -> list[Any]:
    """Return a message as a list of plain values for msgpack."""
    fields = (encode_field(getattr(message, name)) for name in message.__dataclass_fields__)
    return [WIRE_NAMES[type(message)], *fields]


def decode(raw: Any) -> Any:
    """Return the request or reply that `encode` encoded.

    :raises ValueError, TypeError, KeyError: if `raw` is neither a request nor a reply.
    """
    name, *fields = raw
    message_type = MESSAGE_TYPES[name]
    decoders = FIELD_DECODERS[message_type]
    if len(fields) != len(decoders):
        raise ValueError(f"{name} message has {len(fields)} fields, expected {len(decoders)}")
    for decoder, field in zip(decoders, fields, strict=True):
        # Prevents a value of the wrong type from being converted, as in bytes(4) or int("4").
        if decoder in (int, bool, str, bytes) and type(field) is not decoder:
            raise TypeError(
                f"{name} message has a field of type {type(field).__name__}, expected {decoder.__name__}"
            )
    return message_type(*(decoder(field) for decoder, field in zip(decoders, fields, strict=True)))
