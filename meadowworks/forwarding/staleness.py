"""How old a junction's picture of the gateway may be: what it may still say of a route that it does not know.

A reply that comes now tells what was so when its question had left, or later: the picture is counted from
there. A reply that was held up, or that waited in a frozen process, is as old as its question.
"""

from __future__ import annotations

FRESH_NS = 2_500_000_000  # two pulls that are held back for their whole time, and half a second


class Picture:
    """Times are of one steady clock, in nanoseconds."""

    def __init__(self, fresh_ns: int = FRESH_NS) -> None:
        self.fresh_ns = fresh_ns
        self.asked_ns: int | None = None  # when the newest question left that one who was sure has answered

    def told(self, asked_ns: int, sure: bool) -> None:
        """A whole reply to the question that left then. `sure`: who answers holds a lease of a majority."""
        if sure and (self.asked_ns is None or asked_ns > self.asked_ns):
            self.asked_ns = asked_ns

    @property
    def ever(self) -> bool:
        return self.asked_ns is not None

    def fresh(self, now: int) -> bool:
        """Whether what is not in it may be said not to be there."""
        return self.asked_ns is not None and now - self.asked_ns < self.fresh_ns
