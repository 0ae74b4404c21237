"""What controllers say to each other, as msgpack bodies of HTTP calls on the inner port.

`POST /pull` asks for news; `POST /letter` carries the register's letters between disks. A pull waits at its
holder until there is news that can't wait, or its time is over.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgpack

from meadowworks.gossip.peer_sampling import PeerRecord
from meadowworks.gossip.updates import SourceDelta

if TYPE_CHECKING:  # a junction speaks no letters: their import would be a tenth of its start
    from meadowworks.consensus.register import DigestHistory, Epoch, QueryReply

DECODE_ERRORS = (
    TypeError,
    ValueError,
    AttributeError,
    LookupError,
)  # what reading a message of another shape raises


class MalformedMessageError(ValueError):
    """A body that is no message between controllers."""


@dataclass(frozen=True, slots=True)
class PullRequest:
    """`table` is the version of the configuration that is held; `figures` what the asker has counted since
    its last pull; `wait_ms` how long the answer may be held back for want of urgent news; `epoch` the number
    of the newest epoch of members that a signalbox knows, none from a junction; `kept` a receipt: a process
    of the asked box, and the version of its news up to which all drains and leaves are on the asker's disk.
    The vector is none: it tells what is in memory."""

    sender: PeerRecord
    peers: tuple[PeerRecord, ...]
    version_vector: dict[str, int]
    config_version: int
    max_wait_ms: int
    load_report: Any = None
    epoch_number: int | None = None
    drain_acknowledgement: tuple[str, int] | None = None

    def encode(self) -> bytes:
        cards = [card.pack() for card in self.peers]
        kept = None if self.drain_acknowledgement is None else [*self.drain_acknowledgement]
        return encode(
            [
                self.sender.pack(),
                cards,
                self.version_vector,
                self.config_version,
                self.max_wait_ms,
                self.load_report,
                self.epoch_number,
                kept,
            ]
        )


@dataclass(frozen=True, slots=True)
class PullReply:
    """`sure`: the holder has a lease: a majority of disks answered questions that left shortly before.
    `table`: the version and the configuration, compressed, if it is newer than the
    asker's. Between signalboxes also
    `seen`: what the holder's own disk says of itself; `epoch`: the members, if the asker knows older ones;
    `history`: the digests of earlier versions, beside a table."""

    sender: PeerRecord
    peers: tuple[PeerRecord, ...]
    deltas: tuple[SourceDelta, ...]
    has_lease: bool
    config: tuple[int, bytes] | None = field(default=None)
    acceptor_state: QueryReply | None = None
    epoch: Epoch | None = None
    decided_digests: DigestHistory = ()

    def encode(self) -> bytes:
        table = None if self.config is None else list(self.config)
        return encode(
            [
                self.sender.pack(),
                [card.pack() for card in self.peers],
                [piece.pack() for piece in self.deltas],
                self.has_lease,
                table,
                *self.encode_consensus_fields(),
            ]
        )

    def encode_consensus_fields(self) -> list[Any]:
        if self.acceptor_state is None and self.epoch is None:
            return [None, None, []]
        from meadowworks.consensus import register

        return [
            None if self.acceptor_state is None else register.encode(self.acceptor_state),
            None if self.epoch is None else register.encode_epoch(self.epoch),
            [list(one) for one in self.decided_digests],
        ]


def encode(what: Any) -> bytes:
    return msgpack.packb(what, use_bin_type=True)  # type: ignore[no-any-return]


def decode(body: bytes) -> Any:
    """Raises Garbled."""
    try:
        return msgpack.unpackb(body, raw=False, strict_map_key=False)
    except Exception as trouble:  # the library raises half a dozen kinds
        raise MalformedMessageError(f"no msgpack: {trouble}") from None


def decode_consensus_fields(
    seen: Any, epoch: Any, history: Any
) -> tuple[QueryReply | None, Epoch | None, DigestHistory]:
    """Raises ValueError, TypeError or KeyError."""
    if seen is None and epoch is None and history == []:
        return None, None, ()
    from meadowworks.consensus import register

    found = None if seen is None else register.decode(seen)
    if not (found is None or isinstance(found, register.QueryReply)):
        raise ValueError("not what a disk says of itself")
    return found, None if epoch is None else register.decode_epoch(epoch), register.decode_history(history)


def decode_pull_request(body: bytes) -> PullRequest:
    """Raises Garbled."""
    try:
        me, cards, vector, table, wait, figures, epoch, kept = decode(body)
        return PullRequest(
            PeerRecord.unpack(me),
            tuple(map(PeerRecord.unpack, cards)),
            {str(k): int(v) for k, v in vector.items()},
            int(table),
            int(wait),
            figures,
            None if epoch is None else int(epoch),
            None if kept is None else (str(kept[0]), int(kept[1])),
        )
    except DECODE_ERRORS as trouble:
        raise MalformedMessageError(f"no pull: {trouble}") from None


def decode_pull_reply(body: bytes) -> PullReply:
    """Raises Garbled."""
    try:
        me, cards, pieces, sure, table, seen, epoch, history = decode(body)
        if table is not None and not isinstance(table[1], bytes):
            raise ValueError("no configuration")
        held = None if table is None else (int(table[0]), table[1])
        return PullReply(
            PeerRecord.unpack(me),
            tuple(map(PeerRecord.unpack, cards)),
            tuple(map(SourceDelta.unpack, pieces)),
            bool(sure),
            held,
            *decode_consensus_fields(seen, epoch, history),
        )
    except DECODE_ERRORS as trouble:
        raise MalformedMessageError(f"no news: {trouble}") from None
