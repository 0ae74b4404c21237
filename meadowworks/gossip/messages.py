"""The pull request and its reply, and their encoding as msgpack bodies of HTTP calls on the inner port.

``POST /pull`` asks a control-plane node for updates. The node holds the reply back until it has an update
that is urgent, or until the requester's limit: a long poll. A message is an array whose fields go by place;
nodes of two releases meet in a roll-out, so fields are neither moved nor dropped.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

import msgpack

from meadowworks.gossip.peer_sampling import PeerRecord
from meadowworks.gossip.updates import SourceDelta

if TYPE_CHECKING:  # a proxy sends no consensus messages: their import would be a tenth of its start
    from meadowworks.consensus.messages import QueryReply
    from meadowworks.consensus.values import DigestHistory, Epoch

# What decoding a message of another shape raises.
DECODE_ERRORS = (TypeError, ValueError, AttributeError, LookupError)


class MalformedMessageError(ValueError):
    """A body that is no message between nodes. A retry of the same body fails alike."""


class DrainAcknowledgement(NamedTuple):
    """All drains that a source has published up to a version are on the sender's disk.

    A version vector can't state this: it tells what is in memory.
    """

    source: str
    version: int


class CompressedConfig(NamedTuple):
    """A version of the configuration, compressed by zlib; 0 and nothing where none is held."""

    version: int = 0
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class PullRequest:
    """Asks a control-plane node for the updates that the sender lacks.

    :ivar sender: the requester's own record.
    :ivar peers: a sample of its view; empty where none is wanted in return.
    :ivar version_vector: by source, the newest version that it holds.
    :ivar config_version: the version of the configuration that it holds; 0 for none.
    :ivar max_wait_ms: for how long the reply may be held back for want of urgent updates.
    :ivar load_report: what a proxy has counted since its last pull, as ``load_balancing.load_reports``
        encodes it.
    :ivar epoch_number: the newest epoch of members that a control-plane node knows; None from a proxy.
    :ivar drain_acknowledgement: of the node asked, from a control-plane node.
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
        """Returns the body of the call."""
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
    """What a control-plane node knows and the requester lacks.

    :ivar sender: the node's own record.
    :ivar peers: a sample of its view, if the request carried one.
    :ivar has_lease: whether a majority of disks has answered the node recently; without it what the node
        says may be out of date.
    :ivar config: the configuration, if it is newer than the requester's.
    :ivar acceptor_state: between control-plane nodes, what the node's acceptor says of itself.
    :ivar epoch: between control-plane nodes, the members, if the requester knows older ones.
    :ivar decided_digests: between control-plane nodes, digests of earlier versions, beside ``config``.
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
        """Returns the body of the reply."""
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
        """Returns the fields between control-plane nodes, as they stand at a reply's end."""
        if self.acceptor_state is None and self.epoch is None:
            return [None, None, []]
        from meadowworks.consensus import codec

        return [
            None if self.acceptor_state is None else codec.encode(self.acceptor_state),
            None if self.epoch is None else codec.encode_epoch(self.epoch),
            [list(one) for one in self.decided_digests],
        ]


def encode(value: Any) -> bytes:
    """Encodes a value of lists, maps, strings, numbers and bytes."""
    return msgpack.packb(value, use_bin_type=True)  # type: ignore[no-any-return]


def decode(body: bytes) -> Any:
    """Decodes what ``encode`` returns.

    :raises MalformedMessageError: for any other body.
    """
    try:
        return msgpack.unpackb(body, raw=False, strict_map_key=False)
    except Exception as error:  # the library raises half a dozen kinds
        raise MalformedMessageError(f"no msgpack: {error}") from None


def decode_consensus_fields(
    seen: Any, epoch: Any, history: Any
) -> tuple[QueryReply | None, Epoch | None, DigestHistory]:
    """Reads the fields between control-plane nodes.

    :raises ValueError, TypeError, KeyError: if they are malformed.
    """
    if seen is None and epoch is None and history == []:
        return None, None, ()
    from meadowworks.consensus import codec
    from meadowworks.consensus.messages import QueryReply

    found = None if seen is None else codec.decode(seen)
    if not (found is None or isinstance(found, QueryReply)):
        raise ValueError("no state of an acceptor")
    return found, None if epoch is None else codec.decode_epoch(epoch), codec.decode_history(history)


def decode_pull_request(body: bytes) -> PullRequest:
    """Decodes the body of a pull.

    :raises MalformedMessageError: if it is none.
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
        raise MalformedMessageError(f"no pull: {error}") from None


def decode_pull_reply(body: bytes) -> PullReply:
    """Decodes the reply to a pull.

    :raises MalformedMessageError: if it is none.
    """
    try:
        sender, peers, deltas, has_lease, config, acceptor_state, epoch, digests = decode(body)
        if config is not None and not isinstance(config[1], bytes):
            raise ValueError("no configuration")
        return PullReply(
            decode_peer(sender),
            tuple(map(decode_peer, peers)),
            tuple(map(decode_delta, deltas)),
            bool(has_lease),
            None if config is None else CompressedConfig(int(config[0]), config[1]),
            *decode_consensus_fields(acceptor_state, epoch, digests),
        )
    except DECODE_ERRORS as error:
        raise MalformedMessageError(f"no reply to a pull: {error}") from None


def encode_peer(peer: PeerRecord) -> list[Any]:
    """Returns a peer's record as it stands in a message."""
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
    """Reads a peer's record.

    :raises ValueError, TypeError: if it is none.
    """
    name, host, port, zone, is_voter, incarnation, heartbeat = raw
    return PeerRecord(
        str(name), str(host), int(port), str(zone), bool(is_voter), str(incarnation), int(heartbeat)
    )


def encode_delta(delta: SourceDelta) -> list[Any]:
    """Returns a delta as it stands in a message."""
    return [delta.source, delta.is_snapshot, delta.latest_version, [list(change) for change in delta.changes]]


def decode_delta(raw: Any) -> SourceDelta:
    """Reads a delta.

    :raises ValueError, TypeError: if it is none.
    """
    source, is_snapshot, latest_version, changes = raw
    if not isinstance(source, str) or not isinstance(latest_version, int):
        raise ValueError("no delta of a source")
    return SourceDelta(
        source,
        bool(is_snapshot),
        latest_version,
        tuple((int(version), str(key), value) for version, key, value in changes),
    )


def decode_acknowledgement(raw: Any) -> DrainAcknowledgement:
    """Reads an acknowledgement of drains.

    :raises ValueError, TypeError, LookupError: if it is none.
    """
    return DrainAcknowledgement(str(raw[0]), int(raw[1]))
