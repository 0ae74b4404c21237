"""The life of one connection, from its being taken in to its end, as a machine: a stranger, then a peer with
a name, then gone. It decides what each line and each thing that befalls a connection leads to; it acts by the
host that it is handed, reads no clock and no socket.

Two tasks drive it: the protocol on the socket for what comes in and for the transport, and the peer's actor
for its mailbox. `meadowworks/modelcheck` explores this very class.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from meadowworks.fleet.invariants import holds
from meadowworks.fleet.messages import (
    BEAT_OK,
    LINE_MOST,
    PARTS_MOST,
    Asked,
    Attach,
    Beat,
    Collector,
    Done,
    End,
    Joined,
    Left,
    Message,
    Met,
    News,
    Report,
    Spoken,
    Told,
    reject,
)


@dataclass(frozen=True, slots=True)
class Bounds:
    """What a connection may leave undone before it is ended. The bytes are many times what a queue at its cap
    holds; one line may be spoilt on its way, so many in a row are another protocol."""

    unsent: int = 1 << 18  # bytes written that the other side has not read
    unreadable: int = 8  # lines in a row that are no message
    strange: int = 1 << 12  # bytes without a line's end, as long as nothing tells what it is


class Line(Protocol):
    """What the machine may do with its connection. `employ` starts its actor, `put` goes to the actor's
    mailbox, `tell` to the module's."""

    def write(self, data: bytes) -> None: ...
    def unsent(self) -> int: ...
    def close(self) -> None: ...  # once what was written has gone
    def abort(self) -> None: ...
    def named(self) -> None: ...
    def employ(self, first: Attach | Collector) -> None: ...
    def put(self, item: Told, report: bool) -> None: ...
    def joined(self, first: Attach) -> Joined: ...
    def left(self, first: Attach) -> Left: ...
    def tell(self, item: News, report: bool) -> None: ...
    def count(self, what: str) -> None: ...


class Life:
    """`knows` says whether the settings have such a peer."""

    def __init__(self, line: Line, knows: Callable[[Attach | Collector], bool], bounds: Bounds) -> None:
        self.line, self.knows, self.bounds = line, knows, bounds
        self.first: Attach | Collector | None = None  # who it is, once it has said so
        self.over = ""  # why nothing is read any more
        self.gone = ""  # why its actor has ended
        self.unreadable = 0

    # -- what the socket brings

    def said(self, item: Spoken) -> None:
        if self.over:
            return
        self.unreadable = 0
        if self.first:
            return self.line.put(item, isinstance(item, Report))
        match item:
            case Beat():
                self.write(BEAT_OK)
            case Attach() | Collector() if self.knows(item):
                self.first = item
                self.line.named()
                self.line.employ(item)
            case Attach() | Collector():
                self.refuse("no such peer")
            case _:
                self.refuse("has not joined")

    def spoilt(self) -> None:
        """A message with a field that makes no sense: it costs a peer that message alone."""
        if not self.over and not self.first:
            self.refuse("cannot be read")

    def babbled(self) -> None:
        """A line that is no message."""
        if self.over:
            return
        self.unreadable += 1
        if not self.first:
            self.refuse("cannot be read")
        elif self.unreadable >= self.bounds.unreadable:
            self.end("goes on with what cannot be read")

    def unended(self, size: int, strange: bool) -> None:
        """So many bytes have come without a line's end; `strange`: they begin no message."""
        if self.over or size <= self.bounds.strange:
            return
        if not self.first:
            self.refuse("a line too long")
        elif size > LINE_MOST or strange:
            self.end("a line too long")

    def late(self) -> None:
        """It has not said who it is in time, whatever else it said: a sign of life holds a descriptor too."""
        if not self.over and not self.first:
            self.refuse("no name in time")

    def crowded(self) -> None:
        """Others wait for its descriptor. Told to strangers alone: `crowd` keeps those who have a name
        out."""
        self.refuse("too many")

    def lost(self, why: str) -> None:
        """The connection has ended, from either side."""
        self.over = self.over or why
        self.line.named()
        if self.first:
            self.line.put(End(self.over), False)

    # -- what the actor's mailbox brings

    def begin(self) -> None:
        """The actor has started."""
        if isinstance(self.first, Attach):
            self.line.tell(self.line.joined(self.first), False)

    def take(self, item: Told) -> None:
        if self.gone:
            return
        match item:
            case End(why):
                return self.finish(why)
            case Message(text, parts):
                holds(parts <= PARTS_MOST and len(text) <= LINE_MOST, "a message's most")
                self.write(text)
            case Beat():
                self.write(BEAT_OK)
            case _ if self.own(item):
                self.line.tell(item, True)  # type: ignore[arg-type]
            case Met():
                self.line.count("lines passed over: another zone's report")
            case _:
                self.line.count("lines passed over: not a stream's own")

    def own(self, item: Told) -> bool:
        """What this peer may say: a proxy its own usage and marks, a collector its zone's reports and any
        usage. What the backends met never comes by a proxy, nor a second joining by the same stream."""
        if isinstance(self.first, Attach):
            return isinstance(item, Asked | Done) and item.proxy == self.first.proxy
        assert self.first is not None
        return isinstance(item, Asked) or isinstance(item, Met) and item.zone == self.first.zone

    def finish(self, why: str) -> None:
        """The actor ends, and its connection with it. A proxy has left, and says so once."""
        if self.gone:
            return
        self.gone, self.over = why, self.over or why
        self.line.abort()
        if isinstance(self.first, Attach):
            self.line.tell(self.line.left(self.first), False)

    # -- what follows

    def write(self, data: bytes) -> None:
        """Guards against memory for who reads nothing: it is ended, and nobody waits for it."""
        if self.over:
            return
        self.line.write(data)
        if self.line.unsent() > self.bounds.unsent:
            self.end("does not read")

    def refuse(self, why: str) -> None:
        """Ends a stranger at once, with a word; one that reads nothing goes without it."""
        self.over = why
        self.line.count(f"strangers ended: {why}")
        self.line.named()
        self.line.write(reject(why))
        if self.line.unsent():
            self.line.abort()
        else:
            self.line.close()

    def end(self, why: str) -> None:
        """Ends the connection at once. A peer's actor hears of it as of any end."""
        self.over = why
        self.line.count(f"connections ended: {why}")
        self.line.abort()
