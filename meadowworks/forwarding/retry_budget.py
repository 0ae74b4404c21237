"""How many further tries a junction may make at a service, without a word between junctions.

The bound holds for the sum over all junctions in every window: so many for each request, and a slack. Each
junction lives within its own requests' part and an allowance so small that all of them stay in the slack.
"""

from __future__ import annotations

from collections import deque

PART = 0.9  # of the ratio that is used: requests are counted by others at other moments
ALLOWANCE = 2  # further tries in a window beyond the requests' part


class Budget:
    """`window_ns` is the bound's; times are monotonic."""

    def __init__(self, ratio: float, window_ns: int) -> None:
        self.ratio, self.window_ns = ratio * PART, window_ns
        self.came: deque[int] = deque()
        self.again: deque[int] = deque()

    def request(self, now: int) -> None:
        self.came.append(now)

    def take(self, now: int) -> bool:
        """Whether a further try may be sent; it is counted if so."""
        again, came = self.window(now)
        if again + 1 > self.ratio * came + ALLOWANCE:
            return False
        self.again.append(now)
        return True

    def window(self, now: int) -> tuple[int, int]:
        """Further tries and requests in the window that ends now."""
        for seen in (self.came, self.again):
            while seen and seen[0] <= now - self.window_ns:
                seen.popleft()
        return len(self.again), len(self.came)
