"""What a leader knows about one follower's log."""

from __future__ import annotations

from dataclasses import dataclass

NOTHING_IN_FLIGHT = 0


@dataclass(slots=True)
class FollowerProgress:
    """The progress of a follower, as far as its replies have shown it.

    `next_index` is the index of the next entry to send. `match_index` is the last index that the follower
    has on disk and that equals the leader's log. `confirmed_round` is the highest round that it has replied
    to. One request is in flight at a time; `resend_at_ns` is when the next one is due at the latest.
    """

    next_index: int
    match_index: int = 0
    confirmed_round: int = 0
    sent_commit_index: int = 0
    in_flight_since_ns: int = NOTHING_IN_FLIGHT
    resend_at_ns: int = 0
    last_reply_ns: int = 0

    def on_sent(self, now_ns: int, commit_index: int, resend_at_ns: int) -> None:
        """Record that a request has been sent."""
        self.in_flight_since_ns, self.sent_commit_index = now_ns, commit_index
        self.resend_at_ns = resend_at_ns

    def on_accepted(self, now_ns: int, last_index: int, round_number: int) -> None:
        """Record that the follower's log equals the leader's up to an index."""
        self._on_reply(now_ns, round_number)
        self.match_index = max(self.match_index, last_index)
        self.next_index = self.match_index + 1

    def on_rejected(self, now_ns: int, last_index: int, round_number: int) -> None:
        """Go back to the index that the follower has named, but not below what it has confirmed."""
        self._on_reply(now_ns, round_number)
        self.next_index = max(self.match_index + 1, min(self.next_index - 1, last_index + 1))

    def on_pending(self, now_ns: int, round_number: int) -> None:
        """Record that the follower is fetching a snapshot."""
        self._on_reply(now_ns, round_number)

    def on_failed(self) -> None:
        """Record that the request in flight will get no reply; `resend_at_ns` stays."""
        self.in_flight_since_ns = NOTHING_IN_FLIGHT

    def _on_reply(self, now_ns: int, round_number: int) -> None:
        self.in_flight_since_ns, self.last_reply_ns = NOTHING_IN_FLIGHT, now_ns
        self.confirmed_round = max(self.confirmed_round, round_number)
