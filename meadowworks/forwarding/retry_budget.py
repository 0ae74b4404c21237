"""How many retries a proxy may send to a service, without a word between proxies.

The operator's bound holds for the sum over all proxies in every window: so many retries for each request, and
a slack. Each proxy stays within its own requests' part, and an allowance so small that all of them together
stay within the slack.
"""

from __future__ import annotations

from collections import deque

# Part of the ratio that is used: other proxies count their requests at other moments.
RATIO_SAFETY_FACTOR = 0.9
# Retries in a window beyond the requests' part: a proxy with few requests may retry too.
BASE_RETRIES = 2


class RetryBudget:
    """The requests and retries of one service in a sliding window.

    :param ratio: retries allowed for each request
    :param window_ns: the length of the window, by a steady clock in nanoseconds
    """

    def __init__(self, ratio: float, window_ns: int) -> None:
        self.ratio, self.window_ns = ratio * RATIO_SAFETY_FACTOR, window_ns
        self.requests: deque[int] = deque()
        self.retries: deque[int] = deque()

    def record_request(self, now: int) -> None:
        """Count a request that came at the time `now`."""
        self.requests.append(now)

    def take_retry(self, now: int) -> bool:
        """Whether a retry may be sent; it is counted if so."""
        retries, requests = self.window_counts(now)
        if retries + 1 > self.ratio * requests + BASE_RETRIES:
            return False
        self.retries.append(now)
        return True

    def window_counts(self, now: int) -> tuple[int, int]:
        """Retries and requests in the window that ends now."""
        for times in (self.requests, self.retries):
            while times and times[0] <= now - self.window_ns:
                times.popleft()
        return len(self.retries), len(self.requests)
