"""What controllers say to each other, as msgpack bodies of HTTP calls on the inner port.

`POST /pull` asks for news; `POST /letter` carries the register's letters between disks. A pull waits at its
holder until there is news that can't wait, or its time is over.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgpack

from meadowworks.gossip.peer_sampling import Card
from meadowworks.gossip.updates import Piece

if TYPE_CHECKING:  # a junction speaks no letters: their import would be a tenth of its start
    from meadowworks.consensus.register import Epoch, History, Seen

SHAPE = (TypeError, ValueError, AttributeError, LookupError)  # what reading a message of another shape raises


class Garbled(ValueError):
    """A body that is no message between controllers."""


@dataclass(frozen=True, slots=True)
class Pull:
    """`table` is the version of the configuration that is held; `figures` what the asker has counted since
    its last pull; `wait_ms` how long the answer may be held back for want of urgent news; `epoch` the number
    of the newest epoch of members that a signalbox knows, none from a junction; `kept` a receipt: a process
    of the asked box, and the version of its news up to which all drains and leaves are on the asker's disk.
    The vector is none: it tells what is in memory."""

    me: Card
    cards: tuple[Card, ...]
    vector: dict[str, int]
    table: int
    wait_ms: int
    figures: Any = None
    epoch: int | None = None
    kept: tuple[str, int] | None = None

    def pack(self) -> bytes:
        cards = [card.pack() for card in self.cards]
        kept = None if self.kept is None else [*self.kept]
        return pack(
            [self.me.pack(), cards, self.vector, self.table, self.wait_ms, self.figures, self.epoch, kept]
        )


@dataclass(frozen=True, slots=True)
class News:
    """`sure`: the holder has a lease: a majority of disks answered questions that left shortly before.
    `table`: the version and the configuration, compressed, if it is newer than the
    asker's. Between signalboxes also
    `seen`: what the holder's own disk says of itself; `epoch`: the members, if the asker knows older ones;
    `history`: the digests of earlier versions, beside a table."""

    me: Card
    cards: tuple[Card, ...]
    pieces: tuple[Piece, ...]
    sure: bool
    table: tuple[int, bytes] | None = field(default=None)
    seen: Seen | None = None
    epoch: Epoch | None = None
    history: History = ()

    def pack(self) -> bytes:
        table = None if self.table is None else list(self.table)
        return pack(
            [
                self.me.pack(),
                [card.pack() for card in self.cards],
                [piece.pack() for piece in self.pieces],
                self.sure,
                table,
                *self.pack_members(),
            ]
        )

    def pack_members(self) -> list[Any]:
        if self.seen is None and self.epoch is None:
            return [None, None, []]
        from meadowworks.consensus import register

        return [
            None if self.seen is None else register.pack(self.seen),
            None if self.epoch is None else register.pack_epoch(self.epoch),
            [list(one) for one in self.history],
        ]


def pack(what: Any) -> bytes:
    return msgpack.packb(what, use_bin_type=True)  # type: ignore[no-any-return]


def unpack(body: bytes) -> Any:
    """Raises Garbled."""
    try:
        return msgpack.unpackb(body, raw=False, strict_map_key=False)
    except Exception as trouble:  # the library raises half a dozen kinds
        raise Garbled(f"no msgpack: {trouble}") from None


def read_members(seen: Any, epoch: Any, history: Any) -> tuple[Seen | None, Epoch | None, History]:
    """Raises ValueError, TypeError or KeyError."""
    if seen is None and epoch is None and history == []:
        return None, None, ()
    from meadowworks.consensus import register

    found = None if seen is None else register.unpack(seen)
    if not (found is None or isinstance(found, register.Seen)):
        raise ValueError("not what a disk says of itself")
    return found, None if epoch is None else register.unpack_epoch(epoch), register.history(history)


def read_pull(body: bytes) -> Pull:
    """Raises Garbled."""
    try:
        me, cards, vector, table, wait, figures, epoch, kept = unpack(body)
        return Pull(
            Card.unpack(me),
            tuple(map(Card.unpack, cards)),
            {str(k): int(v) for k, v in vector.items()},
            int(table),
            int(wait),
            figures,
            None if epoch is None else int(epoch),
            None if kept is None else (str(kept[0]), int(kept[1])),
        )
    except SHAPE as trouble:
        raise Garbled(f"no pull: {trouble}") from None


def read_news(body: bytes) -> News:
    """Raises Garbled."""
    try:
        me, cards, pieces, sure, table, seen, epoch, history = unpack(body)
        if table is not None and not isinstance(table[1], bytes):
            raise ValueError("no configuration")
        held = None if table is None else (int(table[0]), table[1])
        return News(
            Card.unpack(me),
            tuple(map(Card.unpack, cards)),
            tuple(map(Piece.unpack, pieces)),
            bool(sure),
            held,
            *read_members(seen, epoch, history),
        )
    except SHAPE as trouble:
        raise Garbled(f"no news: {trouble}") from None
