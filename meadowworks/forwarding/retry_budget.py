"""Retry budget of a service at one proxy, without coordination between proxies.

The operator limits the retries of all proxies together in every window: a ratio of the requests, plus a
slack. Each proxy limits itself to that ratio of its own requests, plus a constant so small that the sum over
all proxies stays within the slack.
"""

from __future__ import annotations

from collections import deque

# Fraction of the configured ratio that is used, because the windows of the proxies are not aligned.
RATIO_SAFETY_FACTOR = 0.9
# Retries allowed per window in addition to the ratio, so that a proxy with few requests can retry too.
BASE_RETRIES = 2


class RetryBudget:
    """Requests and retries of one service in a sliding window. All times are monotonic, in nanoseconds.

    :param ratio: the retries allowed per request
    :param window_ns: the length of the window
    """

    def __init__(self, ratio: float, window_ns: int) -> None:
        self.ratio, self.window_ns = ratio * RATIO_SAFETY_FACTOR, window_ns
        self.requests: deque[int] = deque()
        self.retries: deque[int] = deque()

    def record_request(self, now: int) -> None:
        """Count a request that arrived at `now`."""
        self.requests.append(now)

    def take_retry(self, now: int) -> bool:
        """Return whether a retry may be sent, and count it if so."""
        retries, requests = self.window_counts(now)
        if retries + 1 > self.ratio * requests + BASE_RETRIES:
            return False
        self.retries.append(now)
        return True

    def window_counts(self, now: int) -> tuple[int, int]:
        """Return the number of retries and of requests in the window that ends at `now`."""
        for times_ns in (self.requests, self.retries):
            while times_ns and times_ns[0] <= now - self.window_ns:
                times_ns.popleft()
        return len(self.retries), len(self.requests)
