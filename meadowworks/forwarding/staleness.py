"""Age of a proxy's view of the control plane, which decides whether a route may be reported as missing.

A reply reflects the state at the time its request was sent, or a later one, so its age counts from that time.
A reply that was delayed, or that waited in a frozen process, is therefore as old as its request.
"""

from __future__ import annotations

# Two long polls of maximum duration, plus half a second.
MAX_AGE_NS = 2_500_000_000


class StalenessTracker:
    """Tracker of the newest confirmed state. All times are monotonic, in nanoseconds."""

    def __init__(self, max_age_ns: int = MAX_AGE_NS) -> None:
        self.max_age_ns = max_age_ns
        self.confirmed_ns: int | None = None  # send time of the newest request that a lease holder answered

    def on_reply(self, sent_ns: int, has_lease: bool) -> None:
        """Record a complete reply.

        :param sent_ns: when its request was sent
        :param has_lease: whether the replying node holds a lease of a majority
        """
        if has_lease and (self.confirmed_ns is None or sent_ns > self.confirmed_ns):
            self.confirmed_ns = sent_ns

    @property
    def has_been_confirmed(self) -> bool:
        """Whether a lease holder has ever replied."""
        return self.confirmed_ns is not None

    def is_fresh(self, now: int) -> bool:
        """Return whether the view is recent enough to conclude that a missing route does not exist."""
        return self.confirmed_ns is not None and now - self.confirmed_ns < self.max_age_ns
