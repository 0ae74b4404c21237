"""How old a junction's picture of the gateway may be: what it may still say of a route that it does not know.

A reply that comes now tells what was so when its question had left, or later: the picture is counted from
there. A reply that was held up, or that waited in a frozen process, is as old as its question.
"""

from __future__ import annotations

MAX_AGE_NS = 2_500_000_000  # two pulls that are held back for their whole time, and half a second


class StalenessTracker:
    """Times are of one steady clock, in nanoseconds."""

    def __init__(self, fresh_ns: int = MAX_AGE_NS) -> None:
        self.max_age_ns = fresh_ns
        self.confirmed_ns: int | None = (
            None  # when the newest question left that one who was sure has answered
        )

    def on_reply(self, sent_ns: int, has_lease: bool) -> None:
        """A whole reply to the question that left then. `sure`: who answers holds a lease of a majority."""
        if has_lease and (self.confirmed_ns is None or sent_ns > self.confirmed_ns):
            self.confirmed_ns = sent_ns

    @property
    def ever_confirmed(self) -> bool:
        return self.confirmed_ns is not None

    def is_fresh(self, now: int) -> bool:
        """Whether what is not in it may be said not to be there."""
        return self.confirmed_ns is not None and now - self.confirmed_ns < self.max_age_ns
