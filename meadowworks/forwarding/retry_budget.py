"""How many further tries a junction may make at a service, without a word between junctions.

The bound holds for the sum over all junctions in every window: so many for each request, and a slack. Each
junction lives within its own requests' part and an allowance so small that all of them stay in the slack.
"""

from __future__ import annotations

from collections import deque

REQUEST_SHARE = 0.9  # of the ratio that is used: requests are counted by others at other moments
ALLOWANCE = 2  # further tries in a window beyond the requests' part


class RetryBudget:
    """`window_ns` is the bound's; times are monotonic."""

    def __init__(self, ratio: float, window_ns: int) -> None:
        self.ratio, self.window_ns = ratio * REQUEST_SHARE, window_ns
        self.requests: deque[int] = deque()
        self.retries: deque[int] = deque()

    def record_request(self, now: int) -> None:
        self.requests.append(now)

    def take_retry(self, now: int) -> bool:
        """Whether a further try may be sent; it is counted if so."""
        again, came = self.window_counts(now)
        if again + 1 > self.ratio * came + ALLOWANCE:
            return False
        self.retries.append(now)
        return True

    def window_counts(self, now: int) -> tuple[int, int]:
        """Further tries and requests in the window that ends now."""
        for seen in (self.requests, self.retries):
            while seen and seen[0] <= now - self.window_ns:
                seen.popleft()
        return len(self.retries), len(self.requests)
