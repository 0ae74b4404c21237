"""Timing of pulls from the control plane, without I/O: timeouts, long polls and pauses.

A proxy with a configuration can wait. One without a configuration is not ready, and looks for a node that
replies quickly.
"""

from __future__ import annotations

# How long a node may delay its reply while it has nothing new, in milliseconds.
LONG_POLL_MS = 1000
# Timeout of a pull, somewhat longer than a long poll.
PULL_TIMEOUT_S = 1.6
# Timeout of the first pull; it doubles with each failure. A short one finds the running nodes quickly after a
# power failure.
FIRST_PULL_TIMEOUT_S = 0.1
# Backoff between pulls without a configuration. The maximum is a rate that many proxies can sustain together.
MIN_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.3
BACKOFF_FACTOR = 1.5
# Pause after a failed pull with a configuration.
FAILURE_PAUSE_S = 0.1
# Pause after a reply of a node without a lease, with a configuration.
NO_LEASE_PAUSE_S = 0.05


class PullSchedule:
    """Timing of the next pull.

    `long_poll_ms` is how long its reply may be delayed, and `timeout_s` how long the pull may take.
    """

    def __init__(self) -> None:
        self.long_poll_ms = LONG_POLL_MS
        self.timeout_s = FIRST_PULL_TIMEOUT_S
        self._backoff_s = MIN_BACKOFF_S

    def request_immediate_reply(self) -> None:
        """Disable the long poll for the next pull, because the view may be stale."""
        self.long_poll_ms = 0

    def on_failure(self, has_config: bool) -> float:
        """Return the pause after a pull without a usable reply, in seconds."""
        self.request_immediate_reply()
        self.timeout_s = min(PULL_TIMEOUT_S, self.timeout_s * 2)
        return FAILURE_PAUSE_S if has_config else self._next_backoff_s()

    def on_reply(self, has_lease: bool, has_config: bool) -> float:
        """Return the pause after a reply, in seconds.

        :param has_lease: whether the replying node holds a lease
        :param has_config: whether there is a configuration, this reply included
        """
        self.timeout_s = PULL_TIMEOUT_S
        if has_lease:
            self.long_poll_ms = LONG_POLL_MS
            return 0.0
        # Long-poll every other time. Prevents constant requests to nodes without a lease.
        self.long_poll_ms = 0 if self.long_poll_ms or not has_config else LONG_POLL_MS
        self.timeout_s = PULL_TIMEOUT_S if has_config else FIRST_PULL_TIMEOUT_S
        return NO_LEASE_PAUSE_S if has_config else self._next_backoff_s()

    def _next_backoff_s(self) -> float:
        self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * BACKOFF_FACTOR)
        return self._backoff_s
