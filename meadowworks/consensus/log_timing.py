"""Durations of the replicated log, in nanoseconds of the monotonic clock."""

from __future__ import annotations

from meadowworks.consensus.timing import MILLISECOND_NS

HEARTBEAT_INTERVAL_NS = 80 * MILLISECOND_NS
# A follower starts an election after a random time without a leader. The minimum is longer than a process
# whose processor quota is spent stands still.
MIN_ELECTION_TIMEOUT_NS = 350 * MILLISECOND_NS
MAX_ELECTION_TIMEOUT_NS = 700 * MILLISECOND_NS
# A leader without replies from a majority for this long steps down, so that its callers try elsewhere.
LEADER_QUORUM_TIMEOUT_NS = 700 * MILLISECOND_NS
# Followers learn a new commit index with the next entries, or after this time.
COMMIT_NOTIFICATION_DELAY_NS = 4 * MILLISECOND_NS
# A request that has got neither a reply nor a failure is given up after this time.
APPEND_TIMEOUT_NS = 1_500 * MILLISECOND_NS
# A resigning leader accepts no new entries for this long.
TRANSFER_TIMEOUT_NS = 300 * MILLISECOND_NS
