"""Messages of the agreement as plain values for msgpack, and back.

A message is a list: its name on the wire, then its fields in their order. The names on the wire are older
than those of the classes; they stay, because replicas of two releases meet in a roll-out.
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
    """An epoch as its number and a list of member ids and addresses."""
    return [epoch.number, [list(m) for m in epoch.members]]


def decode_epoch(raw: Any) -> Epoch:
    """The epoch that `encode_epoch` has encoded.

    :raises ValueError, TypeError: if `raw` is not an epoch.
    """
    number, members = raw
    return Epoch(int(number), tuple((str(member_id), str(address)) for member_id, address in members))


def encode_field(value: Any) -> Any:
    """A field of a message as a plain value."""
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
    """A ballot from a list of its fields.

    :raises ValueError, TypeError: if `raw` is not a ballot.
    """
    epoch, number, proposer_id = raw
    return Ballot(int(epoch), int(number), str(proposer_id))


def decode_committed_value(raw: Any) -> CommittedValue:
    """A committed value from its version and bytes.

    :raises ValueError, TypeError: if `raw` is not a committed value.
    """
    version, value = raw
    return CommittedValue(int(version), bytes(value))


def decode_history(raw: Any) -> DigestHistory:
    """Versions and the digests of their values.

    :raises ValueError, TypeError: if `raw` is not a history.
    """
    return tuple((int(version), bytes(value_digest)) for version, value_digest in raw)


def decode_state(raw: Any) -> AcceptorState:
    """The state of an acceptor.

    :raises ValueError, TypeError: if `raw` is not a state.
    """
    committed, history, slots = raw
    return AcceptorState(
        decode_committed_value(committed),
        decode_history(history),
        tuple((int(v), decode_ballot(p), decode_ballot(a), bytes(c)) for v, p, a, c in slots),
    )


def decode_optional_state(raw: Any) -> AcceptorState | None:
    """The state of an acceptor, or none.

    :raises ValueError, TypeError: if `raw` is neither.
    """
    return None if raw is None else decode_state(raw)


# -- messages

# How a message is named on the wire, and the decoders of its fields in their order.
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
    """A message as a list of plain values for msgpack."""
    fields = (encode_field(getattr(message, name)) for name in message.__dataclass_fields__)
    return [WIRE_NAMES[type(message)], *fields]


def decode(raw: Any) -> Any:
    """The request or reply that `encode` has encoded.

    :raises ValueError, TypeError, KeyError: if `raw` is neither.
    """
    name, *fields = raw
    message_type = MESSAGE_TYPES[name]
    decoders = FIELD_DECODERS[message_type]
    if len(fields) != len(decoders):
        raise ValueError(f"not a {name} message: {len(fields)} fields")
    for decoder, field in zip(decoders, fields, strict=True):
        # Without this bytes(4) and int("4") would make a message of a value of the wrong type.
        if decoder in (int, bool, str, bytes) and type(field) is not decoder:
            raise TypeError(f"not a {name} message: a field is not {decoder!r}")
    return message_type(*(decoder(field) for decoder, field in zip(decoders, fields, strict=True)))
