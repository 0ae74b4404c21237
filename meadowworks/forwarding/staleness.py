"""How old a proxy's view of the control plane is: whether a route that it does not know may be denied.

A reply that arrives now tells what was so when its request left, or later: the age is counted from there. A
reply that was held up, or that waited in a frozen process, is as old as its request.
"""

from __future__ import annotations

# Two long polls that are held back for their whole time, and half a second.
MAX_AGE_NS = 2_500_000_000


class StalenessTracker:
    """Times are of one steady clock, in nanoseconds."""

    def __init__(self, max_age_ns: int = MAX_AGE_NS) -> None:
        self.max_age_ns = max_age_ns
        self.confirmed_ns: int | None = None  # when the newest request left that a lease holder has answered

    def on_reply(self, sent_ns: int, has_lease: bool) -> None:
        """Record a complete reply.

        :param sent_ns: when its request left
        :param has_lease: whether the replying node holds a lease of a majority
        """
        if has_lease and (self.confirmed_ns is None or sent_ns > self.confirmed_ns):
            self.confirmed_ns = sent_ns

    @property
    def has_been_confirmed(self) -> bool:
        """Whether a lease holder has ever answered."""
        return self.confirmed_ns is not None

    def is_fresh(self, now: int) -> bool:
        """Whether what is not in the view may be said not to exist."""
        return self.confirmed_ns is not None and now - self.confirmed_ns < self.max_age_ns
