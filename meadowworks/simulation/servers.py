"""Stand-in servers, as flows: calls arrive by the fraction, wait up to a bound, are answered at what the
server can do at its age. A model of the rules' words, not a measurement of real machines."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from meadowworks.policy.interface import Settings

SECOND = 1_000_000_000
OVERLOAD_NS = 2 * SECOND  # a cold server that is sent too much for so long falls over
OVERLOAD_TOLERANCE = 1.1  # for what is uneven within a step
MAX_QUEUE_S = 0.5  # of its work may wait at a server; what comes beyond is turned away


@dataclass(slots=True)
class Server:
    """`power` in calls a second once warm; `since_ns` its last start, 0 long ago."""

    name: str
    zone: str
    full_rate: float
    settings: Settings
    weight: float = 2.0
    since_ns: int = 0
    state: str = "in_service"  # as discovery has it
    up: bool = True
    waiting: float = 0.0  # calls, with those that a step takes in
    queued: float = 0.0  # of them, beyond what it answers within the step
    recent_calls: deque[tuple[int, float, float]] = field(
        default_factory=deque
    )  # when, calls, what it could do
    worst_overload: float = 0.0  # the most sent within the span while cold, in times of what it could do

    def rate_at(self, now: int) -> float:
        """Calls a second at its age: from the cold share evenly to all."""
        age = (now - self.since_ns) / self.settings.slow_start_ns if self.since_ns else 1.0
        return self.full_rate * min(
            1.0, self.settings.slow_start_share + (1 - self.settings.slow_start_share) * age
        )

    def is_warming(self, now: int) -> bool:
        return bool(self.since_ns) and now - self.since_ns < self.settings.slow_start_ns

    def handle(self, now: int, calls: float, step_ns: int) -> tuple[float, int]:
        """The part of the calls that it turns away, and how long the others take, in nanoseconds."""
        if not self.up:
            return 1.0, 0
        can = self.rate_at(now)
        self.track_overload(now, calls, can * step_ns / SECOND)
        if self.state != "in_service":
            return 1.0, 0  # it finishes what it has
        self.waiting = max(0.0, self.waiting - can * step_ns / SECOND)
        room = max(0.0, can * (MAX_QUEUE_S + step_ns / SECOND) - self.waiting)
        self.waiting += min(calls, room)
        self.queued = max(0.0, self.waiting - can * step_ns / SECOND)
        return max(0.0, 1 - room / calls) if calls else 0.0, int((0.05 + self.waiting / can) * SECOND)

    def track_overload(self, now: int, calls: float, could: float) -> None:
        """Notes how far it is pushed while it is cold."""
        self.recent_calls.append((now, calls, could))
        while self.recent_calls[0][0] <= now - OVERLOAD_NS:
            self.recent_calls.popleft()
        if self.is_warming(now) and now - self.since_ns >= OVERLOAD_NS:
            all_could = sum(c for _, _, c in self.recent_calls)
            self.worst_overload = max(
                self.worst_overload, sum(s for _, s, _ in self.recent_calls) / max(all_could, 1e-9)
            )
