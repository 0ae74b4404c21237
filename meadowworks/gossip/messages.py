"""Pull requests and replies and their encoding as msgpack bodies of HTTP calls on the inner port.

``POST /pull`` is a long poll for updates: a control-plane node delays the reply until it has an urgent
update, at most for as long as the request allows. A message is an array of positional fields. Two releases
run side by side during a rollout, so fields must not be moved or removed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

import msgpack

from meadowworks.gossip.peer_sampling import PeerRecord
from meadowworks.gossip.updates import SourceDelta

if TYPE_CHECKING:  # a proxy needs no consensus messages; importing them takes a tenth of its start time
    from meadowworks.consensus.messages import QueryReply
    from meadowworks.consensus.values import DigestHistory, Epoch

DECODE_ERRORS = (TypeError, ValueError, AttributeError, LookupError)  # raised for malformed messages


class MalformedMessageError(ValueError):
    """Raised for a body that is not a valid message. A retry with the same body fails, too."""


class DrainAcknowledgement(NamedTuple):
    """The statement that all drains of a source up to a version are on the sender's disk.

    A version vector does not imply this, since it covers updates that are only in memory.
    """

    source: str
    version: int


class CompressedConfig(NamedTuple):
    """A version of the configuration, compressed with zlib; version 0 and no data if there is none."""

    version: int = 0
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class PullRequest:
    """A request to a control-plane node for the updates that the sender lacks.

    :ivar sender: the requester's own record.
    :ivar peers: a sample of its view; if empty, the reply carries no sample either.
    :ivar version_vector: by source, the newest version that the requester has.
    :ivar config_version: the version of the requester's configuration; 0 for none.
    :ivar max_wait_ms: the maximum time for which the reply may be delayed if there is no urgent update.
    :ivar load_report: a proxy's counts since its last pull, as encoded by ``load_balancing.load_reports``.
    :ivar epoch_number: the newest membership epoch of a control-plane node; None from a proxy.
    :ivar drain_acknowledgement: from a control-plane node, for drains of the receiving node.
    """

    sender: PeerRecord
    peers: tuple[PeerRecord, ...]
    version_vector: dict[str, int]
    config_version: int
    max_wait_ms: int
    load_report: Any = None
    epoch_number: int | None = None
    drain_acknowledgement: DrainAcknowledgement | None = None

    def encode(self) -> bytes:
        """Return the body of the request."""
        acknowledgement = self.drain_acknowledgement
        return encode(
            [
                encode_peer(self.sender),
                [encode_peer(peer) for peer in self.peers],
                self.version_vector,
                self.config_version,
                self.max_wait_ms,
                self.load_report,
                self.epoch_number,
                None if acknowledgement is None else list(acknowledgement),
            ]
        )


@dataclass(frozen=True, slots=True)
class PullReply:
    """The reply of a control-plane node, with the updates that the requester lacks.

    :ivar sender: the node's own record.
    :ivar peers: a sample of its view, if the request carried one.
    :ivar has_lease: whether a majority of disks has answered the node recently; otherwise the reply may be
        stale.
    :ivar config: the configuration, if it is newer than the requester's.
    :ivar acceptor_state: between control-plane nodes, the state of the node's acceptor.
    :ivar epoch: between control-plane nodes, the members, if the requester's epoch is older.
    :ivar decided_digests: between control-plane nodes, digests of earlier versions, sent with ``config``.
    """

    sender: PeerRecord
    peers: tuple[PeerRecord, ...]
    deltas: tuple[SourceDelta, ...]
    has_lease: bool
    config: CompressedConfig | None = None
    acceptor_state: QueryReply | None = None
    epoch: Epoch | None = None
    decided_digests: DigestHistory = ()

    def encode(self) -> bytes:
        """Return the body of the reply."""
        return encode(
            [
                encode_peer(self.sender),
                [encode_peer(peer) for peer in self.peers],
                [encode_delta(delta) for delta in self.deltas],
                self.has_lease,
                None if self.config is None else list(self.config),
                *self.encode_consensus_fields(),
            ]
        )

    def encode_consensus_fields(self) -> list[Any]:
        """Return the last fields of a reply, which only control-plane nodes exchange."""
        if self.acceptor_state is None and self.epoch is None:
            return [None, None, []]
        from meadowworks.consensus import codec

        return [
            None if self.acceptor_state is None else codec.encode(self.acceptor_state),
            None if self.epoch is None else codec.encode_epoch(self.epoch),
            [list(entry) for entry in self.decided_digests],
        ]


def encode(value: Any) -> bytes:
    """Encode a value made of lists, maps, strings, numbers and bytes."""
    return msgpack.packb(value, use_bin_type=True)  # type: ignore[no-any-return]


def decode(body: bytes) -> Any:
    """Decode a body that ``encode`` has returned.

    :raises MalformedMessageError: if the body is not valid msgpack.
    """
    try:
        return msgpack.unpackb(body, raw=False, strict_map_key=False)
    except Exception as error:  # msgpack raises many unrelated types
        raise MalformedMessageError(f"invalid msgpack: {error}") from None


def decode_consensus_fields(
    acceptor_state: Any, epoch: Any, digests: Any
) -> tuple[QueryReply | None, Epoch | None, DigestHistory]:
    """Decode the fields that only control-plane nodes exchange.

    :raises ValueError, TypeError, KeyError: if they are malformed.
    """
    if acceptor_state is None and epoch is None and digests == []:
        return None, None, ()
    from meadowworks.consensus import codec
    from meadowworks.consensus.messages import QueryReply

    state = None if acceptor_state is None else codec.decode(acceptor_state)
    if not (state is None or isinstance(state, QueryReply)):
        raise ValueError(f"expected the state of an acceptor, not {type(state).__name__}")
    return state, None if epoch is None else codec.decode_epoch(epoch), codec.decode_history(digests)


def decode_pull_request(body: bytes) -> PullRequest:
    """Decode the body of a pull request.

    :raises MalformedMessageError: if it is malformed.
    """
    try:
        sender, peers, vector, config_version, max_wait_ms, load_report, epoch, acknowledgement = decode(body)
        return PullRequest(
            decode_peer(sender),
            tuple(map(decode_peer, peers)),
            {str(source): int(version) for source, version in vector.items()},
            int(config_version),
            int(max_wait_ms),
            load_report,
            None if epoch is None else int(epoch),
            None if acknowledgement is None else decode_acknowledgement(acknowledgement),
        )
    except DECODE_ERRORS as error:
        raise MalformedMessageError(f"malformed pull request: {error}") from None


def decode_pull_reply(body: bytes) -> PullReply:
    """Decode the body of a pull reply.

    :raises MalformedMessageError: if it is malformed.
    """
    try:
        sender, peers, deltas, has_lease, config, acceptor_state, epoch, digests = decode(body)
        if config is not None and not isinstance(config[1], bytes):
            raise ValueError("the data of the configuration is not bytes")
        return PullReply(
            decode_peer(sender),
            tuple(map(decode_peer, peers)),
            tuple(map(decode_delta, deltas)),
            bool(has_lease),
            None if config is None else CompressedConfig(int(config[0]), config[1]),
            *decode_consensus_fields(acceptor_state, epoch, digests),
        )
    except DECODE_ERRORS as error:
        raise MalformedMessageError(f"malformed pull reply: {error}") from None


def encode_peer(peer: PeerRecord) -> list[Any]:
    """Return a peer's record as encoded in a message."""
    return [
        peer.name,
        peer.host,
        peer.port,
        peer.zone,
        peer.is_voter,
        peer.incarnation,
        peer.heartbeat,
    ]


def decode_peer(raw: Any) -> PeerRecord:
    """Decode a peer's record.

    :raises ValueError, TypeError: if it is malformed.
    """
    name, host, port, zone, is_voter, incarnation, heartbeat = raw
    return PeerRecord(
        str(name), str(host), int(port), str(zone), bool(is_voter), str(incarnation), int(heartbeat)
    )


def encode_delta(delta: SourceDelta) -> list[Any]:
    """Return a delta as encoded in a message."""
    return [delta.source, delta.is_snapshot, delta.latest_version, [list(change) for change in delta.changes]]


def decode_delta(raw: Any) -> SourceDelta:
    """Decode a delta.

    :raises ValueError, TypeError: if it is malformed.
    """
    source, is_snapshot, latest_version, changes = raw
    if not isinstance(source, str) or not isinstance(latest_version, int):
        raise ValueError("expected a string as source and an integer as version of a delta")
    return SourceDelta(
        source,
        bool(is_snapshot),
        latest_version,
        tuple((int(version), str(key), value) for version, key, value in changes),
    )


def decode_acknowledgement(raw: Any) -> DrainAcknowledgement:
    """Decode an acknowledgement of drains.

    :raises ValueError, TypeError, LookupError: if it is malformed.
    """
    return DrainAcknowledgement(str(raw[0]), int(raw[1]))
