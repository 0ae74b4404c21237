"""What controllers say to each other, as msgpack bodies of HTTP calls on the inner port.

`POST /pull` asks for news; `POST /letter` carries the register's letters between disks. A pull waits at its
holder until there is news that can't wait, or its time is over.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from functools import lru_cache
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
    its last pull; `wait_ms` how long the answer may be held back for want of urgent news."""

    me: Card
    cards: tuple[Card, ...]
    vector: dict[str, int]
    table: int
    wait_ms: int
    figures: Any = None

    def pack(self) -> bytes:
        cards = [card.pack() for card in self.cards]
        return pack([self.me.pack(), cards, self.vector, self.table, self.wait_ms, self.figures])


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
        table = None if self.table is None else [self.table[0], compressed(self.table[1])]
        return pack(
            [
                self.me.pack(),
                [card.pack() for card in self.cards],
                [piece.pack() for piece in self.pieces],
                self.sure,
                table,
            ]
        )


@lru_cache(maxsize=1)
def compressed(content: bytes) -> bytes:
    """A configuration as it travels. The same one goes to hundreds of askers at once: each that is compressed
    anew holds up all behind it, until they hang up and ask again."""
    return zlib.compress(content, 6)


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
        me, cards, vector, table, wait, figures = unpack(body)
        return Pull(
            Card.unpack(me),
            tuple(map(Card.unpack, cards)),
            {str(k): int(v) for k, v in vector.items()},
            int(table),
            int(wait),
            figures,
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
