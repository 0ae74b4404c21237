"""What controllers say to each other, as msgpack bodies of HTTP calls on the inner port.

`POST /pull` asks for news; `POST /letter` carries the register's letters between disks. A pull waits at its
holder until there is news that can't wait, or its time is over.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from typing import Any

import msgpack

from meadowworks.telegraph.members import Card
from meadowworks.telegraph.news import Piece

SHAPE = (TypeError, ValueError, AttributeError, LookupError)  # what reading a message of another shape raises


class Garbled(ValueError):
    """A body that is no message between controllers."""


@dataclass(frozen=True, slots=True)
class Pull:
    """`table` is the version of the configuration that is held; `figures` what the asker has counted since
    its last pull; `wait_ms` how long the answer may be held back for want of urgent news; `kept` a receipt: a
    process of the asked box, and the version of its news up to which all drains and leaves are on the asker's
    disk. The vector is none: it tells what is in memory."""

    me: Card
    cards: tuple[Card, ...]
    vector: dict[str, int]
    table: int
    wait_ms: int
    figures: Any = None
    kept: tuple[str, int] | None = None

    def pack(self) -> bytes:
        cards = [card.pack() for card in self.cards]
        kept = None if self.kept is None else [*self.kept]
        return pack([self.me.pack(), cards, self.vector, self.table, self.wait_ms, self.figures, kept])


@dataclass(frozen=True, slots=True)
class News:
    """`sure`: the holder is in touch with a majority, so what it has is new. `table`: the version and the
    configuration, if it is newer than the asker's."""

    me: Card
    cards: tuple[Card, ...]
    pieces: tuple[Piece, ...]
    sure: bool
    table: tuple[int, bytes] | None = field(default=None)

    def pack(self) -> bytes:
        table = None if self.table is None else [self.table[0], zlib.compress(self.table[1], 6)]
        return pack(
            [
                self.me.pack(),
                [card.pack() for card in self.cards],
                [piece.pack() for piece in self.pieces],
                self.sure,
                table,
            ]
        )


def pack(what: Any) -> bytes:
    return msgpack.packb(what, use_bin_type=True)  # type: ignore[no-any-return]


def unpack(body: bytes) -> Any:
    """Raises Garbled."""
    try:
        return msgpack.unpackb(body, raw=False, strict_map_key=False)
    except Exception as trouble:  # the library raises half a dozen kinds
        raise Garbled(f"no msgpack: {trouble}") from None


def read_pull(body: bytes) -> Pull:
    """Raises Garbled."""
    try:
        me, cards, vector, table, wait, figures, kept = unpack(body)
        return Pull(
            Card.unpack(me),
            tuple(map(Card.unpack, cards)),
            {str(k): int(v) for k, v in vector.items()},
            int(table),
            int(wait),
            figures,
            None if kept is None else (str(kept[0]), int(kept[1])),
        )
    except SHAPE as trouble:
        raise Garbled(f"no pull: {trouble}") from None


def read_news(body: bytes) -> News:
    """Raises Garbled."""
    try:
        me, cards, pieces, sure, table = unpack(body)
        held = None if table is None else (int(table[0]), zlib.decompress(table[1]))
        return News(
            Card.unpack(me),
            tuple(map(Card.unpack, cards)),
            tuple(map(Piece.unpack, pieces)),
            bool(sure),
            held,
        )
    except (*SHAPE, zlib.error) as trouble:
        raise Garbled(f"no news: {trouble}") from None
