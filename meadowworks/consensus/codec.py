"""Encoding of consensus messages as plain values for msgpack, and decoding.

A message is a list of its wire name and its fields in declaration order. The wire names differ from the class
names and must not change, because replicas of different releases exchange messages during a rollout.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgpack

from meadowworks.consensus.log_messages import (
    AppendReply,
    AppendRequest,
    CampaignReply,
    CampaignRequest,
    LogVoteReply,
    LogVoteRequest,
    SnapshotAppendRequest,
    SnapshotOfferRequest,
    SnapshotPendingReply,
)
from meadowworks.consensus.messages import (
    AcceptedReply,
    AcceptRequest,
    BallotRejectedReply,
    InstalledReply,
    InstallPositionRequest,
    InstallRequest,
    LearnRequest,
    LogMissingReply,
    NotAMemberReply,
    PrepareRequest,
    PromiseReply,
    QueryReply,
    QueryRequest,
    Reply,
    Request,
    SealedPositionReply,
    SealedReply,
    SealPositionRequest,
    SealRequest,
    SnapshotReply,
    SnapshotRequest,
    StaleEpochReply,
    VersionDecidedReply,
)
from meadowworks.consensus.replicated_log import Entry, EntryPosition, LogSnapshot, LogSource, LogState
from meadowworks.consensus.transfer_messages import (
    EntriesReply,
    EntriesRequest,
    SnapshotChunkReply,
    SnapshotChunkRequest,
)
from meadowworks.consensus.values import (
    NO_BALLOT,
    AcceptorState,
    Ballot,
    CommittedValue,
    DigestHistory,
    Epoch,
    Term,
)

# The log of an acceptor's state is sent as a slot of this version, which releases without a log ignore.
LOG_SLOT_VERSION = -1

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
        case AcceptorState(committed, history, slots, log):
            rows = [[v, list(p), list(a), c] for v, p, a, c in slots]
            if log is not None:
                rows.append([LOG_SLOT_VERSION, list(NO_BALLOT), list(NO_BALLOT), encode_log_state(log)])
            return [encode_field(committed), [list(h) for h in history], rows]
        case Ballot() | Term():
            return list(value)
        case EntryPosition(term, index):
            return [list(term), index]
        case LogSource(position, address):
            return [encode_field(position), address]
        case LogSnapshot(index, term, content):
            return [index, list(term), content]
        case Entry(term, payload):
            return [list(term), payload]
        case tuple() if value and isinstance(value[0], Entry):
            return [encode_field(entry) for entry in value]
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
    log = [bytes(content) for version, _, _, content in slots if version == LOG_SLOT_VERSION]
    return AcceptorState(
        decode_committed_value(committed),
        decode_history(history),
        tuple(
            (int(v), decode_ballot(p), decode_ballot(a), bytes(c))
            for v, p, a, c in slots
            if v != LOG_SLOT_VERSION
        ),
        decode_log_state(log[0]) if log else None,
    )


def decode_optional_state(raw: Any) -> AcceptorState | None:
    """Return the state of an acceptor, or None if `raw` is None.

    :raises ValueError, TypeError: if `raw` is neither a state nor None.
    """
    return None if raw is None else decode_state(raw)


# -- the replicated log


def decode_term(raw: Any) -> Term:
    """Return a term from its epoch and number.

    :raises ValueError, TypeError: if `raw` is not a term.
    """
    epoch, number = raw
    return Term(int(epoch), int(number))


def decode_position(raw: Any) -> EntryPosition:
    """Return a position from its term and index.

    :raises ValueError, TypeError: if `raw` is not a position.
    """
    term, index = raw
    return EntryPosition(decode_term(term), int(index))


def decode_optional_log_source(raw: Any) -> LogSource | None:
    """Return where a log ends and where it can be fetched, or None if `raw` is None.

    :raises ValueError, TypeError: if `raw` is neither of them.
    """
    if raw is None:
        return None
    position, address = raw
    return LogSource(decode_position(position), str(address))


def decode_entries(raw: Any) -> tuple[Entry, ...]:
    """Return entries from their terms and payloads.

    :raises ValueError, TypeError: if `raw` does not consist of entries.
    """
    return tuple(Entry(decode_term(term), bytes(payload)) for term, payload in raw)


def decode_log_snapshot(raw: Any) -> LogSnapshot:
    """Return a snapshot from its index, term and content.

    :raises ValueError, TypeError: if `raw` is not a snapshot.
    """
    index, term, content = raw
    return LogSnapshot(int(index), decode_term(term), bytes(content))


def encode_log_state(state: LogState) -> bytes:
    """Return a log as bytes, in the form in which a slot contains it."""
    fields = [encode_field(state.snapshot), [encode_field(entry) for entry in state.entries]]
    return msgpack.packb(fields, use_bin_type=True)  # type: ignore[no-any-return]


def decode_log_state(content: bytes) -> LogState:
    """Return the log that `encode_log_state` encoded.

    :raises ValueError, TypeError: if `content` is not a log.
    """
    snapshot, entries = msgpack.unpackb(content, raw=False)
    return LogState(decode_log_snapshot(snapshot), decode_entries(entries))


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
    AppendRequest: "LogAppend",
    SnapshotAppendRequest: "LogSnapshot",
    LogVoteRequest: "LogVote",
    CampaignRequest: "LogCampaign",
    AppendReply: "LogAppended",
    LogVoteReply: "LogVoted",
    CampaignReply: "LogCampaigning",
    SealPositionRequest: "SealAt",
    SealedPositionReply: "SealedAt",
    InstallPositionRequest: "InstallAt",
    LogMissingReply: "LogMissing",
    SnapshotOfferRequest: "LogOffer",
    SnapshotPendingReply: "LogPending",
    SnapshotChunkRequest: "ReadSnapshot",
    SnapshotChunkReply: "SnapshotChunk",
    EntriesRequest: "ReadEntries",
    EntriesReply: "Entries",
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
    AppendRequest: (int, decode_term, str, decode_position, decode_entries, int, int),
    SnapshotAppendRequest: (int, decode_term, str, decode_log_snapshot, int),
    LogVoteRequest: (int, decode_term, str, decode_position, bool, bool),
    CampaignRequest: (int, decode_term),
    AppendReply: (decode_term, bool, int, int),
    LogVoteReply: (decode_term, decode_term, bool, bool),
    CampaignReply: (decode_term,),
    SealPositionRequest: (int, decode_epoch),
    SealedPositionReply: (decode_epoch, decode_state, decode_optional_log_source),
    InstallPositionRequest: (int, decode_epoch, decode_state, decode_optional_log_source),
    LogMissingReply: (int,),
    SnapshotOfferRequest: (int, decode_term, str, decode_position, int),
    SnapshotPendingReply: (decode_term, int),
    SnapshotChunkRequest: (int, decode_position, int),
    SnapshotChunkReply: (decode_position, int, bytes, int, bytes),
    EntriesRequest: (int, decode_position),
    EntriesReply: (decode_position, bool, decode_entries),
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
