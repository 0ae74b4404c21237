"""Simulated servers, as a fluid model.

Calls are fractional amounts, which wait in a bounded queue and are answered at the rate of the server at its
age. The model covers the load rules only and doesn't represent real machines.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from meadowworks.policy.interface import Settings

SECOND = 1_000_000_000
OVERLOAD_WINDOW_NS = 2 * SECOND  # period over which a cold server's load is compared with its capacity
OVERLOAD_TOLERANCE = 1.1  # allows for load that is uneven within a step
MAX_QUEUE_S = 0.5  # calls that would wait longer are rejected


@dataclass(slots=True)
class Server:
    """A server.

    `full_rate` is its calls per second once warm; `since_ns` is its last start, 0 for long ago.
    """

    name: str
    zone: str
    full_rate: float
    settings: Settings
    weight: float = 2.0
    since_ns: int = 0
    state: str = "in_service"  # as in discovery
    is_up: bool = True
    waiting: float = 0.0  # calls in the queue, with those accepted in this step
    queued: float = 0.0  # of them, those that it doesn't answer within the step
    recent_calls: deque[tuple[int, float, float]] = field(default_factory=deque)  # time, calls, capacity
    worst_overload: float = 0.0  # the largest ratio of calls to capacity in a window while cold

    def rate_at(self, now: int) -> float:
        """Return the calls per second at its age; they grow linearly from the cold share to the full rate."""
        age = (now - self.since_ns) / self.settings.slow_start_ns if self.since_ns else 1.0
        return self.full_rate * min(
            1.0, self.settings.slow_start_share + (1 - self.settings.slow_start_share) * age
        )

    def is_warming(self, now: int) -> bool:
        """Return whether its slow start is not over."""
        return bool(self.since_ns) and now - self.since_ns < self.settings.slow_start_ns

    def handle(self, now: int, calls: float, step_ns: int) -> tuple[float, int]:
        """Return the fraction of the calls that it rejects, and the latency of the others in nanoseconds."""
        if not self.is_up:
            return 1.0, 0
        rate = self.rate_at(now)
        self.track_overload(now, calls, rate * step_ns / SECOND)
        if self.state != "in_service":
            return 1.0, 0  # a draining server only finishes its queue
        self.waiting = max(0.0, self.waiting - rate * step_ns / SECOND)
        available = max(0.0, rate * (MAX_QUEUE_S + step_ns / SECOND) - self.waiting)
        self.waiting += min(calls, available)
        self.queued = max(0.0, self.waiting - rate * step_ns / SECOND)
        return max(0.0, 1 - available / calls) if calls else 0.0, int((0.05 + self.waiting / rate) * SECOND)

    def track_overload(self, now: int, calls: float, capacity: float) -> None:
        """Record the ratio of calls to capacity while it is cold."""
        self.recent_calls.append((now, calls, capacity))
        while self.recent_calls[0][0] <= now - OVERLOAD_WINDOW_NS:
            self.recent_calls.popleft()
        if self.is_warming(now) and now - self.since_ns >= OVERLOAD_WINDOW_NS:
            total_capacity = sum(c for _, _, c in self.recent_calls)
            self.worst_overload = max(
                self.worst_overload, sum(s for _, s, _ in self.recent_calls) / max(total_capacity, 1e-9)
            )
