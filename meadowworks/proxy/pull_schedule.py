"""How long a pull may take, how long its reply may be held back, and when the next one follows.

Free of I/O. A proxy with a configuration can wait; one without is not ready, and looks for a node that
answers soon.
"""

from __future__ import annotations

# How long a node may hold its reply back while it has nothing new.
LONG_POLL_MS = 1000
# A reply is waited for a little longer than it may be held back.
PULL_TIMEOUT_S = 1.6
# The first reply is waited for so long, and each further one twice as long: after a power cut the node that
# is up is found soon.
FIRST_PULL_TIMEOUT_S = 0.1
# Between two pulls while there is no configuration: from a start in milliseconds to a rate that many proxies
# may keep up together.
MIN_BACKOFF_S, MAX_BACKOFF_S, BACKOFF_FACTOR = 0.02, 0.3, 1.5
# Between two pulls with a configuration, after a failure and after a reply of a node without a lease.
FAILURE_PAUSE_S, NO_LEASE_PAUSE_S = 0.1, 0.05


class PullSchedule:
    """The times of the next pull.

    `long_poll_ms` is how long its reply may be held back, and `timeout_s` how long the pull may take.
    """

    def __init__(self) -> None:
        self.long_poll_ms = LONG_POLL_MS
        self.timeout_s = FIRST_PULL_TIMEOUT_S
        self._backoff_s = MIN_BACKOFF_S

    def request_immediate_reply(self) -> None:
        """The view has grown old: the next reply must not be held back."""
        self.long_poll_ms = 0

    def on_failure(self, has_config: bool) -> float:
        """After a pull without a usable reply: how long to wait, in seconds."""
        self.request_immediate_reply()
        self.timeout_s = min(PULL_TIMEOUT_S, self.timeout_s * 2)
        return FAILURE_PAUSE_S if has_config else self._next_backoff_s()

    def on_reply(self, has_lease: bool, has_config: bool) -> float:
        """After a reply: how long to wait, in seconds.

        :param has_lease: whether the replying node holds a lease
        :param has_config: whether there is a configuration, with this reply
        """
        self.timeout_s = PULL_TIMEOUT_S
        if has_lease:
            self.long_poll_ms = LONG_POLL_MS
            return 0.0
        # Every other reply may be held back: guards against nodes without a lease being asked all the time.
        self.long_poll_ms = 0 if self.long_poll_ms or not has_config else LONG_POLL_MS
        self.timeout_s = PULL_TIMEOUT_S if has_config else FIRST_PULL_TIMEOUT_S
        return NO_LEASE_PAUSE_S if has_config else self._next_backoff_s()

    def _next_backoff_s(self) -> float:
        self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * BACKOFF_FACTOR)
        return self._backoff_s
